package main

import (
	"fmt"
	"runtime/debug"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// runLoadScenes runs every load scene in memory with several seeds and prints the figures of each call class.
func runLoadScenes(args arguments) (bool, error) {
	debug.SetGCPercent(gcPercent)
	deployment, err := site.Load(args.Site)
	if err != nil {
		return false, err
	}
	clean := true
	for _, name := range fleet.SceneNames() {
		figures, prefixHits, prefixLookups, turns, sessionsKept, breaches := ledger.NewStats(), 0, 0, 0, 0, 0
		for _, result := range runParallel(args, args.LoadSeeds, func(seed uint64) fleet.Loaded { return fleet.Load(deployment, seed, name) }) {
			figures.Add(result.Figures)
			prefixHits, prefixLookups, turns, sessionsKept, breaches = prefixHits+result.Hits, prefixLookups+result.Asked, turns+result.Turns, sessionsKept+result.Kept, breaches+len(result.Breaches)
		}
		fmt.Printf("%s: %d seeds from %d, prefixes held %d of %d, sessions kept %d of %d, breaches %d\n%s\n", name, args.LoadSeeds, args.Seed, prefixHits, prefixLookups, sessionsKept, turns, breaches, figures.Summary())
		clean = clean && breaches == 0
	}
	return clean, nil
}
