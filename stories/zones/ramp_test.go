package zones

import (
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a server that comes back cold", func() {
	for _, name := range harness.SiteNames {
		It("is not flooded in "+name+", by a crowd after a crash of half a pool", func() {
			played := harness.StartReadyFleet(name, 21)
			played.Traffic(40*time.Second, 1.5)
			played.Run(10 * time.Second)
			pool := harness.PoolServers(played, played.Servers[0].Pool)
			for _, server := range pool[:len(pool)/2] {
				server.Crash()
				played.World.After(5*time.Second, server.Replace)
			}
			played.Run(30 * time.Second)
			harness.ExpectNoBreaches(played)
			Expect(played.Ledger.Stats.ColdShare).To(BeNumerically(">", 0), "cold servers were judged")
		})

		It("is not flooded in "+name+" by callers who leave while it is still at their calls", func() {
			played := harness.StartReadyFleet(name, 23)
			played.Run(8 * time.Second)
			for _, server := range harness.PoolServers(played, played.Servers[0].Pool) {
				server.Replace()
			}
			for index := range 600 {
				played.World.After(time.Duration(index)*10*time.Millisecond, func() {
					played.Hurried("long", harness.HomeRegion(played), 60*time.Millisecond)
				})
			}
			played.Run(12 * time.Second)
			harness.ExpectNoBreaches(played)
			Expect(played.Ledger.Stats.ColdShare).To(BeNumerically(">", 0), "cold servers were judged")
		})

		It("is not flooded in "+name+" when a node that serves it is cut off from its peers in the middle of its calls", func() {
			for seed := uint64(24); seed < 28; seed++ {
				played := harness.StartReadyFleet(name, seed)
				played.Run(8 * time.Second)
				for _, server := range harness.PoolServers(played, played.Servers[0].Pool) {
					server.Replace()
				}
				nodes := played.InRegion(harness.HomeRegion(played))
				for index := range 900 {
					played.World.After(time.Duration(index)*10*time.Millisecond, func() {
						played.Probe("short", harness.HomeRegion(played)).Send(nodes[index%len(nodes)])
					})
				}
				for place, node := range nodes {
					played.World.After(3*time.Second+time.Duration(place)*400*time.Millisecond, func() {
						played.World.CutBoth([]string{node.Name}, fleet.Names(played.Machines))
					})
				}
				played.Run(12 * time.Second)
				played.World.Heal()
				harness.ExpectNoBreaches(played)
			}
		})

		It("stays on its ramp in "+name+" when its shard changes owner in the middle", func() {
			played := harness.StartReadyFleet(name, 22)
			played.Traffic(40*time.Second, 2)
			played.Run(10 * time.Second)
			for _, server := range harness.PoolServers(played, played.Servers[0].Pool) {
				server.Crash()
				played.World.After(2*time.Second, server.Replace)
			}
			played.Run(5 * time.Second)
			region := played.Servers[0].Region
			for _, machine := range played.InRegion(region)[:2] {
				machine.Freeze()
				played.World.After(10*time.Second, machine.Wake)
			}
			played.Run(25 * time.Second)
			harness.ExpectNoBreaches(played)
		})
	}
})
