package contract

// Tally is what a data node saw of its calls at a server lately: those that got no connection, those that failed in another
// way, and those that were answered well.
type CallTally struct {
	Unconnected int64 `json:"l,omitempty"`
	Failed      int64 `json:"f,omitempty"`
	Succeeded   int64 `json:"w,omitempty"`
}

// Bad counts the calls that were not answered well.
func (tally CallTally) Failures() int64 { return tally.Unconnected + tally.Failed }

func (tally CallTally) Total() int64 { return tally.Failures() + tally.Succeeded }

func (tally CallTally) Add(other CallTally) CallTally {
	return CallTally{Unconnected: tally.Unconnected + other.Unconnected, Failed: tally.Failed + other.Failed, Succeeded: tally.Succeeded + other.Succeeded}
}
