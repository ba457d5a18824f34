package contract

// CallTally counts the recent calls of a data node at a server: those that got no connection, those that failed in another way, and those
// that succeeded.
type CallTally struct {
	Unconnected int64 `json:"l,omitempty"`
	Failed      int64 `json:"f,omitempty"`
	Succeeded   int64 `json:"w,omitempty"`
}

// Failures counts the calls that got no connection or failed in another way.
func (tally CallTally) Failures() int64 { return tally.Unconnected + tally.Failed }

// Total counts all calls.
func (tally CallTally) Total() int64 { return tally.Failures() + tally.Succeeded }

// Add returns the sum of two tallies.
func (tally CallTally) Add(other CallTally) CallTally {
	return CallTally{Unconnected: tally.Unconnected + other.Unconnected, Failed: tally.Failed + other.Failed, Succeeded: tally.Succeeded + other.Succeeded}
}
