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

// retirements measures each cause over many seeds, with the exceptions of reclaim and drain and without them.
func retirements(given arguments) (bool, error) {
	debug.SetGCPercent(sweepGarbage)
	described, err := site.Load(given.Site)
	if err != nil {
		return false, err
	}
	clean := true
	for _, cause := range fleet.RetirementCauses {
		for _, ordinary := range []bool{false, true} {
			if ordinary && (cause == "scale-down" || cause == "scale-to-zero") {
				continue
			}
			clean = measured(given, described, cause, ordinary) && clean
		}
	}
	return clean, nil
}

func measured(given arguments, described site.Site, cause string, ordinary bool) bool {
	options := []fleet.Option{}
	if ordinary {
		options = append(options, fleet.WithoutEarlyWithdrawal())
	}
	all := beside(given, given.Retire, func(seed uint64) fleet.RetirementResult { return fleet.Retire(described, seed, cause, options...) })
	took, turns, ends, states := []time.Duration{}, []time.Duration{}, map[string]int{}, map[string]int{}
	recalled, hits, asked, breaches := int64(0), 0, 0, 0
	for _, one := range all {
		took, turns = append(took, one.Duration), append(turns, one.NextTurnDelays...)
		for end, count := range one.Outcomes {
			ends[end] += count
		}
		for state, held := range map[string]bool{"released": one.Released, "held": one.Held, "aborted": one.Aborted} {
			if held {
				states[state]++
			}
		}
		recalled, hits, asked, breaches = recalled+one.Recalled, hits+one.PrefixHits, asked+one.PrefixCalls, breaches+one.Violations
	}
	path := "as shipped"
	if ordinary {
		path = "ordinary path alone"
	}
	fmt.Printf("%s, %s: %d seeds from %d; let go after p50 %v, worst %v; states %v; laden calls %v, recalled %d; next turn began after p50 %v, worst %v (%d); prefixes held %d of %d; breaches %d\n",
		cause, path, given.Retire, given.Seed, part(took, 2), part(took, 1), states, ends, recalled, part(turns, 2), part(turns, 1), len(turns), hits, asked, breaches)
	return breaches == 0
}

// beside plays a seeded thing so many times, some at once.
func beside[Played any](given arguments, count int, play func(seed uint64) Played) []Played {
	all := make([]Played, count)
	room, group := make(chan struct{}, given.Beside), sync.WaitGroup{}
	for place := range all {
		group.Add(1)
		room <- struct{}{}
		go func() {
			defer group.Done()
			all[place] = play(given.Seed + uint64(place))
			<-room
		}()
	}
	group.Wait()
	return all
}

// part gives the longest of the shortest half, third and so on; of all for one.
func part(spans []time.Duration, of int) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	slices.Sort(spans)
	return spans[(len(spans)-1)/of].Round(time.Millisecond)
}
