package neighbour

import (
	"cmp"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Suspected returns the members that are not heard of any more and have not announced that they leave.
func (owner *Owner) Suspected(now time.Duration) []string {
	names := []string{}
	for _, name := range owner.names() {
		if !owner.Alive(now, name) && !owner.table[name].departed {
			names = append(names, name)
		}
	}
	return names
}

// ActiveAddresses returns the addresses of the members in the active view.
func (owner *Owner) ActiveAddresses() []string {
	addresses := []string{}
	for _, name := range owner.active {
		addresses = append(addresses, owner.table[name].member.Address)
	}
	return addresses
}

// DirectPeers returns the live members whose own messages arrived here within the suspicion time.
func (owner *Owner) DirectPeers(now time.Duration) []contract.Member {
	return owner.Live(now, func(member contract.Member) bool {
		record, found := owner.table[member.Name]
		return found && record.heard > 0 && now-record.heard < owner.bounds.SuspicionTimeout()
	})
}

// mostRecentlyHeard returns the members whose own messages arrived here last, however long ago: an isolated node starts with them.
func (owner *Owner) mostRecentlyHeard(limit int) []string {
	names := slices.DeleteFunc(slices.Clone(owner.names()), func(name string) bool { return owner.table[name].heard == 0 })
	slices.SortStableFunc(names, func(left, right string) int { return cmp.Compare(owner.table[right].heard, owner.table[left].heard) })
	return names[:min(limit, len(names))]
}

// Lookup returns the row of a member, alive or not.
func (owner *Owner) Lookup(name string) (contract.Member, bool) {
	if name == owner.self.Name {
		return owner.self, true
	}
	record, found := owner.table[name]
	if !found {
		return contract.Member{}, false
	}
	return record.member, true
}

// Isolated reports whether no known member on another machine has been heard for the suspicion time.
func (owner *Owner) Isolated(now time.Duration) bool {
	return len(owner.table) > 1 && owner.outsideHeardAt > 0 && now-owner.outsideHeardAt > owner.bounds.SuspicionTimeout()
}

// HasLeft reports whether this node has announced that it leaves.
func (owner *Owner) HasLeft() bool { return owner.hasLeft }

// Seeds returns the addresses that this node starts from.
func (owner *Owner) Seeds() []string { return owner.seeds }

// Blind sets whether this node tells the others that it cannot read the platform, which shard owners need.
func (owner *Owner) Blind(blind bool) {
	if owner.self.Impaired != blind {
		owner.self.Impaired, owner.liveMembers = blind, nil
	}
}
