package neighbour

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// The active view has this many neighbours of the own zone and of other zones of the region; the others are any members. Messages stay
// in the zone for the most part, where links are short and cost nothing, and some always cross, so that zones and regions stay joined.
const (
	activeZone   = 2
	activeRegion = 1
)

// chooseActive draws the next active neighbour: from the own zone first, then from its region, then from anywhere; half of the draws
// prefer those that are heard here.
func (owner *Owner) chooseActive(now time.Duration, passive []string) string {
	zone, region := 0, 0
	for _, name := range owner.active {
		switch {
		case owner.sameZone(name):
			zone++
		case owner.sameRegion(name):
			region++
		}
	}
	fitting := passive
	switch inside := func(name string) bool { return owner.sameRegion(name) && !owner.sameZone(name) }; {
	case zone < activeZone && slices.ContainsFunc(passive, owner.sameZone):
		fitting = among(passive, owner.sameZone)
	case region < activeRegion && slices.ContainsFunc(passive, inside):
		fitting = among(passive, inside)
	}
	heard := among(fitting, func(name string) bool {
		known := owner.table[name]
		return known.heard > 0 && now-known.heard < owner.bounds.SuspicionTimeout()
	})
	if len(heard) > 0 && owner.random.IntN(2) == 0 {
		fitting = heard
	}
	return fitting[owner.random.IntN(len(fitting))]
}

// drawActive draws a neighbour to shuffle with; one of another region is passed over most times, except in fleets that are small anyway.
func (owner *Owner) drawActive() string {
	name := owner.active[owner.random.IntN(len(owner.active))]
	if !owner.sameRegion(name) && owner.random.IntN(owner.healOdds()) >= leastOdds {
		name = owner.active[owner.random.IntN(len(owner.active))]
	}
	return name
}

func (owner *Owner) sameZone(name string) bool {
	return owner.table[name].member.Zone == owner.self.Zone
}
func (owner *Owner) sameRegion(name string) bool {
	return owner.table[name].member.Region == owner.self.Region
}

func among(names []string, fits func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !fits(name) })
}

// healOdds is how seldom, one in so many, a seed or any member is tried besides the neighbours: all nodes together do so about as often
// in a large fleet as in a small one.
func (owner *Owner) healOdds() int { return max(leastOdds, len(owner.table)/perOdds) }

const perOdds = 4

// controlsFirst moves control nodes ahead of others, up to half of a shuffle, behind those that it tells whole: lists have the owners
// that each node takes for alive, and one that is taken for dead by some has its duty taken over again and again.
func (owner *Owner) controlsFirst(names []string) []string {
	ahead, behind := slices.Clone(names[:wholeRows]), []string{}
	for _, name := range names[wholeRows:] {
		if len(ahead) < wholeRows+shuffleSize/2 && owner.table[name].member.Kind == contract.KindControl {
			ahead = append(ahead, name)
		} else {
			behind = append(behind, name)
		}
	}
	return append(ahead, behind...)
}

// room is how many rows there may be where one of a member is added: a table full of data nodes has an eighth more for control nodes.
func (owner *Owner) room(member contract.Member) int {
	if member.Kind == contract.KindControl {
		return tableSize + tableSize/8
	}
	return tableSize
}
