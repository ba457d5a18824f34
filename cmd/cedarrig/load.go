package main

import (
	"fmt"
	"runtime/debug"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// loads plays every scene of load with several seeds and prints what each class saw.
func loads(given arguments) (bool, error) {
	debug.SetGCPercent(sweepGarbage)
	described, err := site.Load(given.Site)
	if err != nil {
		return false, err
	}
	clean := true
	for _, name := range fleet.ScenarioNames() {
		sum, hits, asked, turns, kept, breaches := ledger.NewStats(), 0, 0, 0, 0, 0
		for _, one := range beside(given, given.Load, func(seed uint64) fleet.LoadResult { return fleet.Load(described, seed, name) }) {
			sum.Add(one.Stats)
			hits, asked, turns, kept, breaches = hits+one.PrefixHits, asked+one.PrefixCalls, turns+one.SessionTurns, kept+one.SameServerTurns, breaches+len(one.Violations)
		}
		fmt.Printf("%s: %d seeds from %d, prefixes held %d of %d, sessions kept %d of %d, breaches %d\n%s\n", name, given.Load, given.Seed, hits, asked, kept, turns, breaches, sum.Summary())
		clean = clean && breaches == 0
	}
	return clean, nil
}
