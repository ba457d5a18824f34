package fleet

import (
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// DayResult is the result of one seeded day; the counters are those of LoadResult, and Records is the highest record count of a node.
type DayResult struct {
	Seed            uint64
	Faults          []string
	Violations      []ledger.Violation
	Stats           ledger.Stats
	Ready           bool
	Serves          bool
	PrefixHits      int
	PrefixCalls     int
	SessionTurns    int
	SameServerTurns int
	Records         int64
}

// DayPlan describes a day: its span, the share of the site's traffic, and the number of faults. An empty Name means random faults.
type DayPlan struct {
	Span   time.Duration
	Rate   float64
	Faults int
	Name   string
}

// DefaultPlan is a short day at the full rates of the site.
func DefaultPlan(faults int, name string) DayPlan {
	return DayPlan{Span: 50 * time.Second, Rate: 1, Faults: faults, Name: name}
}

const (
	// trafficStarts is the time at which clients start: about 10 s after the machines.
	trafficStarts = 10 * time.Second
)

// Day runs a seeded day: traffic all the time, faults in the middle, then repair, after which the fleet has to serve again. With every
// third seed the last event wipes the disks of all core machines.
func Day(deployment site.Site, seed uint64, plan DayPlan, options ...Option) DayResult {
	fleet := New(deployment, seed, options...)
	result := DayResult{Seed: seed, Ready: fleet.StartAndServe()}
	if !result.Ready {
		return result
	}
	fleet.Run(trafficStarts - fleet.World.Now)
	fleet.Traffic(plan.Span+fleet.Bounds.Return()*2, plan.Rate)
	result.Faults = fleet.ScheduleFaults(plan.Span, plan.Faults, plan.Name)
	fleet.Run(plan.Span)
	if seed%3 == 0 {
		result.Faults = append(result.Faults, "all core folders wiped as the last event")
		fleet.wipeCores()
	}
	fleet.RepairAll()
	fleet.Run(fleet.Bounds.Return())
	result.Serves = fleet.RunUntil(fleet.Bounds.Return(), fleet.Serving)
	result.Violations = fleet.Close()
	result.Stats = fleet.Ledger.Stats
	for _, machine := range fleet.Machines {
		if machine.Up() {
			result.Records = max(result.Records, machine.Data.Gauges["records"])
		}
	}
	result.SessionTurns, result.SameServerTurns = fleet.SessionTurns, fleet.SameServerTurns
	for _, server := range fleet.Servers {
		result.PrefixHits, result.PrefixCalls = result.PrefixHits+server.PrefixHits, result.PrefixCalls+server.PrefixCalls
	}
	return result
}

// Clean tells whether the fleet served at the start and at the end, and no rule was violated.
func (result DayResult) Clean() bool {
	return result.Ready && result.Serves && len(result.Violations) == 0
}
