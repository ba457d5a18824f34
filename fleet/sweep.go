package fleet

import (
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// Round is one seeded day of trouble.
type Round struct {
	Seed     uint64
	Faults   []string
	Breaches []ledger.Breach
	Figures  ledger.Figures
	Ready    bool
	Serves   bool
}

const (
	troubleSpan = 50 * time.Second
	trafficPart = 0.6
)

// Day plays a seeded day: traffic all along, faults in the middle, all mended, and serving wanted again at the end.
func Day(described site.Site, seed uint64, count int, name string, options ...Option) Round {
	fleet := New(described, seed, options...)
	round := Round{Seed: seed, Ready: fleet.Ready()}
	if !round.Ready {
		return round
	}
	fleet.Traffic(troubleSpan+fleet.Bounds.Return()*2, trafficPart)
	round.Faults = fleet.Trouble(troubleSpan, count, name)
	fleet.Run(troubleSpan)
	fleet.Mend()
	fleet.Run(fleet.Bounds.Return())
	round.Serves = fleet.Until(fleet.Bounds.Return(), fleet.Serves)
	round.Breaches = fleet.Close()
	round.Figures = fleet.Ledger.Figures
	return round
}

// Clean tells whether nothing was wrong.
func (round Round) Clean() bool { return round.Ready && round.Serves && len(round.Breaches) == 0 }
