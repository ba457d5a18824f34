package neighbour

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// The active view has sameZonePeers of the own zone and sameRegionPeers of other zones of the region; the others are any members. Most
// messages stay in the zone, where links are short and cost nothing, and some always leave it, so that zones and regions stay connected.
const (
	sameZonePeers   = 2
	sameRegionPeers = 1
)

// chooseActive picks the next active neighbour at random: from the own zone first, then from its region, then from anywhere. Half of
// the picks prefer members that are heard directly.
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
	switch sameRegionOnly := func(name string) bool { return owner.sameRegion(name) && !owner.sameZone(name) }; {
	case zone < sameZonePeers && slices.ContainsFunc(passive, owner.sameZone):
		fitting = filter(passive, owner.sameZone)
	case region < sameRegionPeers && slices.ContainsFunc(passive, sameRegionOnly):
		fitting = filter(passive, sameRegionOnly)
	}
	heard := filter(fitting, func(name string) bool {
		record := owner.table[name]
		return record.heard > 0 && now-record.heard < owner.bounds.SuspicionTimeout()
	})
	if len(heard) > 0 && owner.random.IntN(2) == 0 {
		fitting = heard
	}
	return fitting[owner.random.IntN(len(fitting))]
}

// pickGossipTarget picks a neighbour to shuffle with. One of another region is mostly skipped, except in small fleets.
func (owner *Owner) pickGossipTarget() string {
	name := owner.active[owner.random.IntN(len(owner.active))]
	if !owner.sameRegion(name) && owner.random.IntN(owner.healOdds()) >= minHealOdds {
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

func filter(names []string, fits func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !fits(name) })
}

// healOdds: one gossip in healOdds also goes to a seed, and one to any member, besides the neighbours. It grows with the fleet, so that
// all nodes together do so about as often in a large fleet as in a small one.
func (owner *Owner) healOdds() int { return max(minHealOdds, len(owner.table)/membersPerOdds) }

const membersPerOdds = 4

// controlsFirst moves control nodes ahead, up to half of a shuffle, behind those that are sent in full. Data nodes take shard owners from
// their own view of the live members: a control node that some take for dead would have its shards taken over again and again.
func (owner *Owner) controlsFirst(names []string) []string {
	ahead, behind := slices.Clone(names[:fullRows]), []string{}
	for _, name := range names[fullRows:] {
		if len(ahead) < fullRows+shuffleSize/2 && owner.table[name].member.Kind == contract.KindControl {
			ahead = append(ahead, name)
		} else {
			behind = append(behind, name)
		}
	}
	return append(ahead, behind...)
}

// capacityFor returns how many rows the table may have when a member is added: there is an eighth more room for control nodes, so that
// data nodes cannot fill it.
func (owner *Owner) capacityFor(member contract.Member) int {
	if member.Kind == contract.KindControl {
		return tableSize + tableSize/8
	}
	return tableSize
}
