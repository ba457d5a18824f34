package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// troubleSeries is a sort of trouble that recurs throughout a soak.
type troubleSeries struct {
	// kinds are the troubles that are drawn from each time.
	kinds []Trouble
	// minGapS and maxGapS bound the time from the start of one to the start of the next.
	minGapS, maxGapS float64
}

// soakSeries are the troubles of a soak. The series are independent, so that they overlap in many ways.
func soakSeries() []troubleSeries {
	return []troubleSeries{
		{kinds: []Trouble{{Kind: "release", Service: "model", Share: 0.3, GapS: 0.7}, {Kind: "release", Share: 0.4, GapS: 0.4},
			{Kind: "release", Share: 0.2, GapS: 0.2}}, minGapS: 2, maxGapS: 5},
		{kinds: []Trouble{{Kind: "core_cut", How: "alone", ForS: 8}, {Kind: "core_cut", How: "near", ForS: 8}, {Kind: "core_cut", How: "alone one_way", ForS: 8},
			{Kind: "core_cut", How: "near one_way", ForS: 7}, {Kind: "core_cut", How: "all", ForS: 6}}, minGapS: 12, maxGapS: 22},
		{kinds: []Trouble{{Kind: "roll_term", Share: 0.4, GapS: 0.6}, {Kind: "roll_term", Share: 0.2, GapS: 0.1}, {Kind: "roll_term", Share: 0.7, GapS: 1.1}},
			minGapS: 9, maxGapS: 18},
		{kinds: []Trouble{{Kind: "node_kill", Share: 0.2, ForS: 1}, {Kind: "node_kill", Share: 0.1, How: "power", ForS: 4}, {Kind: "node_freeze", Share: 0.2, ForS: 5},
			{Kind: "node_cut", Count: 1, ForS: 6}, {Kind: "node_kill", Core: true, How: "leader", ForS: 2}, {Kind: "herd_kill", Share: 0.4, ForS: 1}}, minGapS: 7, maxGapS: 16},
		{kinds: []Trouble{{Kind: "srv_crash", Service: "model", Share: 0.1, ForS: 3}, {Kind: "srv_crash", How: "dark", Share: 0.1, ForS: 4}, {Kind: "answer_lost", Share: 0.3, X: 0.03, ForS: 4},
			{Kind: "garble", Share: 0.4, X: 0.03, ForS: 4}, {Kind: "burst", X: 1.6, ForS: 5}}, minGapS: 8, maxGapS: 20},
		{kinds: []Trouble{{Kind: "evacuate", ForS: 6}, {Kind: "config_race", Count: 2, GapS: 0.5}, {Kind: "bad_config", Count: 2, GapS: 0.5}, {Kind: "config_change", How: "idle"}},
			minGapS: 5, maxGapS: 12},
		{kinds: []Trouble{{Kind: "clock_step", Share: 0.4, X: 2.5, ForS: 4}, {Kind: "disk_slow", X: 25, ForS: 4}, {Kind: "disk_stall", ForS: 3}, {Kind: "disk_full", ForS: 3}},
			minGapS: 15, maxGapS: 40},
	}
}

// tenantSeries are the changes of API keys on a site with tenants.
var tenantSeries = troubleSeries{kinds: []Trouble{{Kind: "revoke", Count: 2, GapS: 1}, {Kind: "tenant", GapS: 0.5}, {Kind: "revoke"}}, minGapS: 3, maxGapS: 8}

const (
	// soakStartS leaves the first seconds of the traffic undisturbed.
	soakStartS = 2.0
	// minStormGapS and maxStormGapS bound the pause between configuration changes, which continue throughout a soak.
	minStormGapS, maxStormGapS = 0.15, 0.4
)

// Soak gives the plan of a long day with overlapping series of troubles, constant configuration changes, and clients that use their
// connections until the other end closes them.
func Soak(site Site, seed uint64) Plan {
	random, length := rand.New(rand.NewPCG(seed, 11)), site.DayS
	between := func(least, most float64) float64 { return least + random.Float64()*(most-least) }
	plan := Plan{KeepsConnections: true, Troubles: []Trouble{{Kind: "config_storm", AtS: soakStartS, ForS: length - soakStartS, GapS: between(minStormGapS, maxStormGapS)}}}
	all := soakSeries()
	if site.Tenants > 0 {
		all = append(all, tenantSeries)
	}
	for _, one := range all {
		for at := soakStartS + random.Float64()*one.maxGapS; at < length*9/10; at += between(one.minGapS, one.maxGapS) {
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
		plan.FinalFault = []string{"kill_all", "power_off_all", "wipe_after_ack"}[random.IntN(3)]
	}
	return plan
}
