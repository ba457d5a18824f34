package neighbour

import (
	"cmp"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Silent names the members that were known and are not heard of now.
func (owner *Owner) Silent(now time.Duration) []string {
	names := []string{}
	for _, name := range owner.names() {
		if !owner.Alive(now, name) && !owner.table[name].gone {
			names = append(names, name)
		}
	}
	return names
}

func (owner *Owner) Active() []string {
	addresses := []string{}
	for _, name := range owner.active {
		addresses = append(addresses, owner.table[name].member.Address)
	}
	return addresses
}

// Near gives the members whose own messages came here lately.
func (owner *Owner) Near(now time.Duration) []contract.Member {
	return owner.Live(now, func(member contract.Member) bool {
		known, there := owner.table[member.Name]
		return there && known.heard > 0 && now-known.heard < owner.bounds.SuspicionTimeout()
	})
}

// lastHeard gives those whose own messages came here last, however long ago: a node that hears nobody begins with them.
func (owner *Owner) lastHeard(most int) []string {
	names := slices.DeleteFunc(slices.Clone(owner.names()), func(name string) bool { return owner.table[name].heard == 0 })
	slices.SortStableFunc(names, func(left, right string) int { return cmp.Compare(owner.table[right].heard, owner.table[left].heard) })
	return names[:min(most, len(names))]
}

func (owner *Owner) Look(name string) (contract.Member, bool) {
	if name == owner.self.Name {
		return owner.self, true
	}
	known, there := owner.table[name]
	if !there {
		return contract.Member{}, false
	}
	return known.member, true
}

// Deaf holds when others are known and none of another machine has been heard for the time after which they are suspected.
func (owner *Owner) Deaf(now time.Duration) bool {
	return len(owner.table) > 1 && owner.spoken > 0 && now-owner.spoken > owner.bounds.SuspicionTimeout()
}

// Left tells whether this node has said goodbye: it tells nobody of itself any more.
func (owner *Owner) Left() bool { return owner.left }

// Seeds are the addresses that this node starts from.
func (owner *Owner) Seeds() []string { return owner.seeds }

// Blind says to the others that this node cannot do the duties that want sight of the platform.
func (owner *Owner) Blind(blind bool) {
	if owner.self.Impaired != blind {
		owner.self.Impaired, owner.cached = blind, nil
	}
}
