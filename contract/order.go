package contract

import (
	"hash/fnv"
	"sort"
)

// RendezvousWeight hashes the parts for rendezvous hashing. The final mixing spreads short inputs that differ in a few bits.
func RendezvousWeight(parts ...string) uint64 {
	hash := fnv.New64a()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// RendezvousOrder sorts names by their rendezvous weight for a subject. Every node computes the same order, and removing a name leaves the
// order of the others unchanged.
func RendezvousOrder(subject string, names []string) []string {
	ordered := append([]string{}, names...)
	sort.Slice(ordered, func(left, right int) bool {
		first, second := RendezvousWeight(subject, ordered[left]), RendezvousWeight(subject, ordered[right])
		if first != second {
			return first > second
		}
		return ordered[left] < ordered[right]
	})
	return ordered
}

// ShardOf returns the shard that a server belongs to, of a number of shards. With fewer than one shard, it is shard 0.
func ShardOf(server string, shards int) int {
	if shards < 1 {
		return 0
	}
	return int(RendezvousWeight("shard", server) % uint64(shards))
}
