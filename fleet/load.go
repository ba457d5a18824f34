package fleet

import (
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// loadScenario is an event that happens while the usual traffic runs.
type loadScenario struct {
	name string
	run  func(*Fleet)
}

// A scenario starts after some traffic, lasts, and is followed by more traffic.
const (
	scenarioStart  = 8 * time.Second
	scenarioLength = 16 * time.Second
	scenarioTail   = 16 * time.Second
)

var loadScenarios = []loadScenario{
	{"calm", func(*Fleet) {}},
	{"crowd", func(fleet *Fleet) { fleet.Traffic(scenarioLength, 12) }},
	{"swing", func(fleet *Fleet) {
		for index, class := range []string{"long", "short", "long", "short"} {
			fleet.World.After(scenarioLength*time.Duration(index)/4, func() { fleet.sendBurst(class, scenarioLength/4, 120) })
		}
	}},
	{"zone drain", func(fleet *Fleet) {
		zone := fleet.Machines[0].Zone
		fleet.Write(fleet.Machines[3], fleet.drainRequest(zone), nil)
		fleet.World.After(scenarioLength, func() { fleet.undrainUntilAccepted(zone, 0) })
	}},
	{"zone lost", func(fleet *Fleet) {
		zone := fleet.Machines[0].Zone
		fleet.KillFor(fleet.InZone(zone), scenarioLength)
		fleet.loseServers(func(server *Server) bool { return server.Zone == zone }, scenarioLength)
	}},
	{"region return", func(fleet *Fleet) { fleet.KillRegion(fleet.Site.Regions()[0], scenarioLength/4) }},
	{"region return, all cold", func(fleet *Fleet) {
		region := fleet.Site.Regions()[0]
		fleet.KillRegion(region, scenarioLength/4)
		fleet.loseServers(func(server *Server) bool { return server.Region == region }, scenarioLength/4)
	}},
}

// ScenarioNames returns the names of the load scenarios, as the command line takes them.
func ScenarioNames() []string {
	names := []string{}
	for _, scenario := range loadScenarios {
		names = append(names, scenario.name)
	}
	return names
}

// LoadResult is the result of one load scenario. PrefixHits counts the calls, of PrefixCalls, that found their prefix cached, and
// SameServerTurns the session turns, of SessionTurns, that ran on the server of the turn before.
type LoadResult struct {
	Stats                         ledger.Stats
	Violations                    []ledger.Violation
	PrefixHits, PrefixCalls       int
	SessionTurns, SameServerTurns int
}

// Load runs a scenario by name at the full rates of the site.
func Load(deployment site.Site, seed uint64, name string) LoadResult {
	fleet := New(deployment, seed)
	if !fleet.StartAndServe() {
		return LoadResult{Violations: []ledger.Violation{{Rule: ledger.SlowRecovery, Detail: "the fleet never served"}}}
	}
	fleet.Run(trafficStarts - fleet.World.Now)
	fleet.Traffic(scenarioStart+scenarioLength+scenarioTail, 1)
	fleet.Run(scenarioStart)
	for _, scenario := range loadScenarios {
		if scenario.name == name {
			scenario.run(fleet)
		}
	}
	fleet.Run(scenarioLength + scenarioTail)
	result := LoadResult{Violations: fleet.Close(), Stats: fleet.Ledger.Stats, SessionTurns: fleet.SessionTurns, SameServerTurns: fleet.SameServerTurns}
	for _, server := range fleet.Servers {
		result.PrefixHits, result.PrefixCalls = result.PrefixHits+server.PrefixHits, result.PrefixCalls+server.PrefixCalls
	}
	return result
}
