package gateway

// Execution says what is known of a try at a server once it is over.
type Execution int

const (
	// NeverSent: the call did not run at that server and never will. It may go to another one.
	NeverSent Execution = iota
	// MayHaveRun: some of the call reached the server and no whole answer came. Only a call that may run twice goes on.
	MayHaveRun
	// Ran: the server answered for it.
	Ran
)

// Execution is the rule of at most once: it is the only place that tells whether a try that ended so may have run.
func (outcome Outcome) Execution() Execution {
	switch outcome {
	case Unsent, NotRun, Moved:
		return NeverSent
	case Whole:
		return Ran
	}
	return MayHaveRun
}

// mayRepeat tells whether a call may be sent once more after a try that ended so.
func (outcome Outcome) mayRepeat(repeatable bool) bool {
	return outcome.Execution() == NeverSent || repeatable
}
