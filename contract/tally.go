package contract

// Tally is what a data node saw of its calls at a server lately: those that got no connection, those that failed in another
// way, and those that were answered well.
type Tally struct {
	Lost   int64 `json:"l,omitempty"`
	Failed int64 `json:"f,omitempty"`
	Well   int64 `json:"w,omitempty"`
}

// Bad counts the calls that were not answered well.
func (tally Tally) Bad() int64 { return tally.Lost + tally.Failed }

func (tally Tally) Calls() int64 { return tally.Bad() + tally.Well }

func (tally Tally) Plus(other Tally) Tally {
	return Tally{Lost: tally.Lost + other.Lost, Failed: tally.Failed + other.Failed, Well: tally.Well + other.Well}
}
