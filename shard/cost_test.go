package shard_test

import (
	"fmt"
	"testing"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/planned"
	"github.com/cedarreel/cedarreel/shard"
)

// BenchmarkFirst measures finding the owner of a shard among all members, which each lease request does.
func BenchmarkFirst(b *testing.B) {
	for _, nodes := range []int{48, 350, planned.Nodes} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			members := []contract.Member{}
			for index := range nodes + nodes*planned.ControlNodes/planned.Nodes {
				member := contract.Member{Name: fmt.Sprintf("node-%05d", index), Kind: contract.KindData, Region: fmt.Sprintf("region-%02d", index%planned.Regions)}
				if index >= nodes {
					member.Kind = contract.KindControl
				}
				members = append(members, member)
			}
			b.ResetTimer()
			for range b.N {
				shard.PreferredOwner(members, "region-07", 0)
			}
		})
	}
}
