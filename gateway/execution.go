package gateway

// Execution says what is known, once a dispatch has ended, about whether the call ran at that server.
type Execution int

const (
	// NeverRan means that the call did not run at that server and never will. It may be sent to another one.
	NeverRan Execution = iota
	// MayHaveRun means that some of the call reached the server and no complete answer came. Only a call that may run twice may be retried.
	MayHaveRun
	// Ran means that the server answered the call.
	Ran
)

// Execution implements the at-most-once rule: this is the only place that decides whether a call may have run after a dispatch ended so.
func (outcome Outcome) Execution() Execution {
	switch outcome {
	case OutcomeNotSent, OutcomeNotRun, OutcomeWrongServer:
		return NeverRan
	case OutcomeComplete:
		return Ran
	}
	return MayHaveRun
}

// mayRetry reports whether a call may be sent again after a dispatch ended so. Repeatable says that it may run twice.
func (outcome Outcome) mayRetry(repeatable bool) bool {
	return outcome.Execution() == NeverRan || repeatable
}
