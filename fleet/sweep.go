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
	Breaches []ledger.Violation
	Figures  ledger.Stats
	Ready    bool
	Serves   bool
	Hits     int
	Asked    int
	Turns    int
	Kept     int
	Records  int64
}

// Plan is what a day is: its span, its part of the site's traffic, and how many faults of which name, or of any.
type Plan struct {
	Span   time.Duration
	Rate   float64
	Faults int
	Name   string
}

// Usual is a short day at the site's full rates.
func Usual(faults int, name string) Plan {
	return Plan{Span: 50 * time.Second, Rate: 1, Faults: faults, Name: name}
}

const (
	// trafficStarts is the brief's "about 10 seconds after the machines do".
	trafficStarts = 10 * time.Second
)

// Day plays a seeded day: traffic all along, faults in the middle, all mended, and serving wanted again at the end. The last
// event of every third day wipes the folders of all core machines.
func Day(described site.Site, seed uint64, plan Plan, options ...Option) Round {
	fleet := New(described, seed, options...)
	round := Round{Seed: seed, Ready: fleet.Ready()}
	if !round.Ready {
		return round
	}
	fleet.Run(trafficStarts - fleet.World.Now)
	fleet.Traffic(plan.Span+fleet.Bounds.Return()*2, plan.Rate)
	round.Faults = fleet.Trouble(plan.Span, plan.Faults, plan.Name)
	fleet.Run(plan.Span)
	if seed%3 == 0 {
		round.Faults = append(round.Faults, "all core folders wiped as the last event")
		fleet.wipeCores()
	}
	fleet.Mend()
	fleet.Run(fleet.Bounds.Return())
	round.Serves = fleet.Until(fleet.Bounds.Return(), fleet.Serves)
	round.Breaches = fleet.Close()
	round.Figures = fleet.Ledger.Stats
	for _, machine := range fleet.Machines {
		if machine.Up() {
			round.Records = max(round.Records, machine.Data.Gauges["records"])
		}
	}
	round.Turns, round.Kept = fleet.Turns, fleet.Kept
	for _, server := range fleet.Servers {
		round.Hits, round.Asked = round.Hits+server.PrefixHits, round.Asked+server.PrefixAsked
	}
	return round
}

// Clean tells whether nothing was wrong.
func (round Round) Clean() bool { return round.Ready && round.Serves && len(round.Breaches) == 0 }
