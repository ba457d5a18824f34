package contract

import (
	"hash/fnv"
	"sort"
)

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

// Ordered gives names in the agreed order for a subject: every node computes the same one.
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

func ShardOf(server string, shards int) int {
	if shards < 1 {
		return 0
	}
	return int(RendezvousWeight("shard", server) % uint64(shards))
}
