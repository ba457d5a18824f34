package neighbour

import (
	"cmp"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Suspected returns the members that are not heard of any more and have not announced that they leave.
func (membership *Membership) Suspected(now time.Duration) []string {
	names := []string{}
	for _, name := range membership.names() {
		if !membership.Alive(now, name) && !membership.table[name].hasLeft {
			names = append(names, name)
		}
	}
	return names
}

// ActiveAddresses returns the addresses of the members in the active view.
func (membership *Membership) ActiveAddresses() []string {
	addresses := []string{}
	for _, name := range membership.active {
		addresses = append(addresses, membership.table[name].member.Address)
	}
	return addresses
}

// DirectPeers returns the live members whose own messages arrived here within the suspicion time.
func (membership *Membership) DirectPeers(now time.Duration) []contract.Member {
	return membership.Live(now, func(member contract.Member) bool {
		record, found := membership.table[member.Name]
		return found && record.heardAt > 0 && now-record.heardAt < membership.bounds.SuspicionTimeout()
	})
}

// mostRecentlyHeard returns the members whose own messages arrived here last, however long ago: an isolated node starts with them.
func (membership *Membership) mostRecentlyHeard(limit int) []string {
	names := slices.DeleteFunc(slices.Clone(membership.names()), func(name string) bool { return membership.table[name].heardAt == 0 })
	slices.SortStableFunc(names, func(left, right string) int {
		return cmp.Compare(membership.table[right].heardAt, membership.table[left].heardAt)
	})
	return names[:min(limit, len(names))]
}

// Lookup returns the row of a member, alive or not.
func (membership *Membership) Lookup(name string) (contract.Member, bool) {
	if name == membership.self.Name {
		return membership.self, true
	}
	record, found := membership.table[name]
	if !found {
		return contract.Member{}, false
	}
	return record.member, true
}

// Isolated reports whether no known member on another machine has been heard for the suspicion time.
func (membership *Membership) Isolated(now time.Duration) bool {
	return len(membership.table) > 1 && membership.outsideHeardAt > 0 && now-membership.outsideHeardAt > membership.bounds.SuspicionTimeout()
}

// HasLeft reports whether this node has announced that it leaves.
func (membership *Membership) HasLeft() bool { return membership.hasLeft }

// Seeds returns the addresses that this node starts from.
func (membership *Membership) Seeds() []string { return membership.seeds }

// SetImpaired sets whether this node tells the others that it cannot read the platform, which shard owners need.
func (membership *Membership) SetImpaired(blind bool) {
	if membership.self.Impaired != blind {
		membership.self.Impaired, membership.liveMembers = blind, nil
	}
}
