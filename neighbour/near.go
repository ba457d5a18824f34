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
func (membership *Membership) chooseActive(now time.Duration, passive []string) string {
	zone, region := 0, 0
	for _, name := range membership.active {
		switch {
		case membership.sameZone(name):
			zone++
		case membership.sameRegion(name):
			region++
		}
	}
	fitting := passive
	switch sameRegionOnly := func(name string) bool { return membership.sameRegion(name) && !membership.sameZone(name) }; {
	case zone < sameZonePeers && slices.ContainsFunc(passive, membership.sameZone):
		fitting = filterNames(passive, membership.sameZone)
	case region < sameRegionPeers && slices.ContainsFunc(passive, sameRegionOnly):
		fitting = filterNames(passive, sameRegionOnly)
	}
	recentlyHeard := filterNames(fitting, func(name string) bool {
		record := membership.table[name]
		return record.heardAt > 0 && now-record.heardAt < membership.bounds.SuspicionTimeout()
	})
	if len(recentlyHeard) > 0 && membership.random.IntN(2) == 0 {
		fitting = recentlyHeard
	}
	return fitting[membership.random.IntN(len(fitting))]
}

// pickGossipTarget picks a neighbour to shuffle with. One of another region is mostly skipped, except in small fleets.
func (membership *Membership) pickGossipTarget() string {
	name := membership.active[membership.random.IntN(len(membership.active))]
	if !membership.sameRegion(name) && membership.random.IntN(membership.healOdds()) >= minHealOdds {
		name = membership.active[membership.random.IntN(len(membership.active))]
	}
	return name
}

func (membership *Membership) sameZone(name string) bool {
	return membership.table[name].member.Zone == membership.self.Zone
}
func (membership *Membership) sameRegion(name string) bool {
	return membership.table[name].member.Region == membership.self.Region
}

func filterNames(names []string, fits func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !fits(name) })
}

// healOdds: one gossip in healOdds also goes to a seed, and one to any member, besides the neighbours. It grows with the fleet, so that
// all nodes together do so about as often in a large fleet as in a small one.
func (membership *Membership) healOdds() int {
	return max(minHealOdds, len(membership.table)/membersPerDraw)
}

const membersPerDraw = 4

// controlsFirst moves control nodes ahead, up to half of a shuffle, behind those that are sent in full. Data nodes take shard owners from
// their own view of the live members: a control node that some take for dead would have its shards taken over again and again.
func (membership *Membership) controlsFirst(names []string) []string {
	ahead, behind := slices.Clone(names[:fullRows]), []string{}
	for _, name := range names[fullRows:] {
		if len(ahead) < fullRows+shuffleSize/2 && membership.table[name].member.Kind == contract.KindControl {
			ahead = append(ahead, name)
		} else {
			behind = append(behind, name)
		}
	}
	return append(ahead, behind...)
}

// capacityFor returns how many rows the table may have when a member is added: there is an eighth more room for control nodes, so that
// data nodes cannot fill it.
func (membership *Membership) capacityFor(member contract.Member) int {
	if member.Kind == contract.KindControl {
		return tableSize + tableSize/8
	}
	return tableSize
}
