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
	Hits     int
	Asked    int
	Turns    int
	Kept     int
}

const (
	troubleSpan = 50 * time.Second
	trafficPart = 0.6
	// trafficStarts is the brief's "about 10 seconds after the machines do".
	trafficStarts = 10 * time.Second
)

// Day plays a seeded day: traffic all along, faults in the middle, all mended, and serving wanted again at the end.
func Day(described site.Site, seed uint64, count int, name string, options ...Option) Round {
	fleet := New(described, seed, options...)
	round := Round{Seed: seed, Ready: fleet.Ready()}
	if !round.Ready {
		return round
	}
	fleet.Run(trafficStarts - fleet.World.Now)
	fleet.Traffic(troubleSpan+fleet.Bounds.Return()*2, trafficPart)
	round.Faults = fleet.Trouble(troubleSpan, count, name)
	fleet.Run(troubleSpan)
	fleet.Mend()
	fleet.Run(fleet.Bounds.Return())
	round.Serves = fleet.Until(fleet.Bounds.Return(), fleet.Serves)
	round.Breaches = fleet.Close()
	round.Figures = fleet.Ledger.Figures
	round.Turns, round.Kept = fleet.Turns, fleet.Kept
	for _, server := range fleet.Servers {
		round.Hits, round.Asked = round.Hits+server.PrefixHits, round.Asked+server.PrefixAsked
	}
	return round
}

// Clean tells whether nothing was wrong.
func (round Round) Clean() bool { return round.Ready && round.Serves && len(round.Breaches) == 0 }
