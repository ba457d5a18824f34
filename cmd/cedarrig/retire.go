package main

import (
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/site"
)

// measureRetirements measures server retirements of each cause, for reclaim and drain both with their special handling and without it.
func measureRetirements(args arguments) (bool, error) {
	debug.SetGCPercent(gcPercent)
	deployment, err := site.Load(args.Site)
	if err != nil {
		return false, err
	}
	clean := true
	for _, cause := range fleet.Causes {
		for _, ordinaryOnly := range []bool{false, true} {
			if ordinaryOnly && (cause == "scale-down" || cause == "scale-to-zero") {
				continue
			}
			clean = measureCause(args, deployment, cause, ordinaryOnly) && clean
		}
	}
	return clean, nil
}

// measureCause measures the retirements of one cause over all seeds, prints one line and reports whether no rule was broken.
func measureCause(args arguments, deployment site.Site, cause string, ordinaryOnly bool) bool {
	options := []fleet.Option{}
	if ordinaryOnly {
		options = append(options, fleet.WithOrdinary())
	}
	results := runParallel(args, args.Retirements, func(seed uint64) fleet.Retired { return fleet.Retire(deployment, seed, cause, options...) })
	durations, nextTurns, ends, states := []time.Duration{}, []time.Duration{}, map[string]int{}, map[string]int{}
	recalled, prefixHits, prefixLookups, breaches := int64(0), 0, 0, 0
	for _, result := range results {
		durations, nextTurns = append(durations, result.Took), append(nextTurns, result.NextTurn...)
		for end, count := range result.Ends {
			ends[end] += count
		}
		for state, reached := range map[string]bool{"released": result.Released, "held": result.Held, "aborted": result.Aborted} {
			if reached {
				states[state]++
			}
		}
		recalled, prefixHits, prefixLookups, breaches = recalled+result.Recalled, prefixHits+result.Hits, prefixLookups+result.Asked, breaches+result.Breaches
	}
	path := "as shipped"
	if ordinaryOnly {
		path = "ordinary path alone"
	}
	fmt.Printf("%s, %s: %d seeds from %d; let go after p50 %v, worst %v; states %v; laden calls %v, recalled %d; next turn began after p50 %v, worst %v (%d); prefixes held %d of %d; breaches %d\n",
		cause, path, args.Retirements, args.Seed, quantile(durations, 2), quantile(durations, 1), states, ends, recalled, quantile(nextTurns, 2), quantile(nextTurns, 1), len(nextTurns), prefixHits, prefixLookups, breaches)
	return breaches == 0
}

// runParallel calls run for count consecutive seeds, several at once, and returns the results in the order of the seeds.
func runParallel[Result any](args arguments, count int, run func(seed uint64) Result) []Result {
	results := make([]Result, count)
	slots, group := make(chan struct{}, args.Parallel), sync.WaitGroup{}
	for index := range results {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			results[index] = run(args.Seed + uint64(index))
			<-slots
		}()
	}
	group.Wait()
	return results
}

// quantile returns the upper bound of the shortest 1/divisor of the durations: the median for 2, the longest for 1.
func quantile(spans []time.Duration, divisor int) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	slices.Sort(spans)
	return spans[(len(spans)-1)/divisor].Round(time.Millisecond)
}
