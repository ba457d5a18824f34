package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// series is one sort of trouble that comes again and again through a soak, whatever else is under way.
type series struct {
	// kinds are the troubles that one is drawn from each time.
	kinds []Trouble
	// leastGapS and mostGapS bound the pause between two of them, from beginning to beginning.
	leastGapS, mostGapS float64
}

// soakSeries are the troubles of a soak. Each series goes on by itself, so that they overlap in all ways.
func soakSeries() []series {
	return []series{
		{kinds: []Trouble{{Kind: "release", Service: "model", Share: 0.3, GapS: 0.7}, {Kind: "release", Share: 0.4, GapS: 0.4},
			{Kind: "release", Share: 0.2, GapS: 0.2}}, leastGapS: 2, mostGapS: 5},
		{kinds: []Trouble{{Kind: "core_cut", How: "alone", ForS: 8}, {Kind: "core_cut", How: "near", ForS: 8}, {Kind: "core_cut", How: "alone one_way", ForS: 8},
			{Kind: "core_cut", How: "near one_way", ForS: 7}, {Kind: "core_cut", How: "all", ForS: 6}}, leastGapS: 12, mostGapS: 22},
		{kinds: []Trouble{{Kind: "roll_term", Share: 0.4, GapS: 0.6}, {Kind: "roll_term", Share: 0.2, GapS: 0.1}, {Kind: "roll_term", Share: 0.7, GapS: 1.1}},
			leastGapS: 9, mostGapS: 18},
		{kinds: []Trouble{{Kind: "node_kill", Share: 0.2, ForS: 1}, {Kind: "node_kill", Share: 0.1, How: "power", ForS: 4}, {Kind: "node_freeze", Share: 0.2, ForS: 5},
			{Kind: "node_cut", Count: 1, ForS: 6}, {Kind: "node_kill", Core: true, How: "leader", ForS: 2}, {Kind: "herd_kill", Share: 0.4, ForS: 1}}, leastGapS: 7, mostGapS: 16},
		{kinds: []Trouble{{Kind: "srv_crash", Service: "model", Share: 0.1, ForS: 3}, {Kind: "srv_crash", How: "dark", Share: 0.1, ForS: 4}, {Kind: "answer_lost", Share: 0.3, X: 0.03, ForS: 4},
			{Kind: "garble", Share: 0.4, X: 0.03, ForS: 4}, {Kind: "burst", X: 1.6, ForS: 5}}, leastGapS: 8, mostGapS: 20},
		{kinds: []Trouble{{Kind: "evacuate", ForS: 6}, {Kind: "config_race", Count: 2, GapS: 0.5}, {Kind: "bad_config", Count: 2, GapS: 0.5}, {Kind: "config_change", How: "idle"}},
			leastGapS: 5, mostGapS: 12},
		{kinds: []Trouble{{Kind: "clock_step", Share: 0.4, X: 2.5, ForS: 4}, {Kind: "disk_slow", X: 25, ForS: 4}, {Kind: "disk_stall", ForS: 3}, {Kind: "disk_full", ForS: 3}},
			leastGapS: 15, mostGapS: 40},
	}
}

// tenantSeries are the changes of keys on a site with tenants.
var tenantSeries = series{kinds: []Trouble{{Kind: "revoke", Count: 2, GapS: 1}, {Kind: "tenant", GapS: 0.5}, {Kind: "revoke"}}, leastGapS: 3, mostGapS: 8}

const (
	// soakStart leaves the first seconds of the traffic alone.
	soakStart = 2.0
	// stormLeastS and stormMostS bound the pause between two changes of the configuration, which come all through a soak.
	stormLeastS, stormMostS = 0.15, 0.4
)

// Soak gives the plan of a long day on which troubles come in overlapping series, changes of the configuration all the time, and callers
// use their connections until the other end closes them.
func Soak(site Site, seed uint64) Plan {
	random, length := rand.New(rand.NewPCG(seed, 11)), site.DayS
	between := func(least, most float64) float64 { return least + random.Float64()*(most-least) }
	plan := Plan{Stay: true, Troubles: []Trouble{{Kind: "config_storm", AtS: soakStart, ForS: length - soakStart, GapS: between(stormLeastS, stormMostS)}}}
	all := soakSeries()
	if site.Tenants > 0 {
		all = append(all, tenantSeries)
	}
	for _, one := range all {
		for at := soakStart + random.Float64()*one.mostGapS; at < length*9/10; at += between(one.leastGapS, one.mostGapS) {
			trouble := one.kinds[random.IntN(len(one.kinds))]
			trouble.AtS = at
			if trouble.ForS > 0 {
				trouble.ForS *= between(0.6, 1.4)
			}
			plan.Troubles = append(plan.Troubles, trouble)
		}
	}
	slices.SortStableFunc(plan.Troubles, func(left, right Trouble) int {
		return int((left.AtS - right.AtS) * float64(time.Second/time.Millisecond))
	})
	if random.IntN(3) == 0 {
		plan.Closing = []string{"kill_all", "power_off_all", "wipe_after_ack"}[random.IntN(3)]
	}
	return plan
}
