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
			testFleet := harness.StartReadyFleet(name, 21)
			testFleet.Traffic(40*time.Second, 1.5)
			testFleet.Run(10 * time.Second)
			pool := harness.PoolServers(testFleet, testFleet.Servers[0].Pool)
			for _, server := range pool[:len(pool)/2] {
				server.Crash()
				testFleet.World.After(5*time.Second, server.Replace)
			}
			testFleet.Run(30 * time.Second)
			harness.ExpectNoBreaches(testFleet)
			Expect(testFleet.Ledger.Stats.ColdShare).To(BeNumerically(">", 0), "cold servers were judged")
		})

		It("is not flooded in "+name+" by callers who leave while it is still at their calls", func() {
			testFleet := harness.StartReadyFleet(name, 23)
			testFleet.Run(8 * time.Second)
			for _, server := range harness.PoolServers(testFleet, testFleet.Servers[0].Pool) {
				server.Replace()
			}
			for index := range 600 {
				testFleet.World.After(time.Duration(index)*10*time.Millisecond, func() {
					testFleet.SendAndHangUp("long", harness.HomeRegion(testFleet), 60*time.Millisecond)
				})
			}
			testFleet.Run(12 * time.Second)
			harness.ExpectNoBreaches(testFleet)
			Expect(testFleet.Ledger.Stats.ColdShare).To(BeNumerically(">", 0), "cold servers were judged")
		})

		It("is not flooded in "+name+" when a node that serves it is cut off from its peers in the middle of its calls", func() {
			for seed := uint64(24); seed < 28; seed++ {
				testFleet := harness.StartReadyFleet(name, seed)
				testFleet.Run(8 * time.Second)
				for _, server := range harness.PoolServers(testFleet, testFleet.Servers[0].Pool) {
					server.Replace()
				}
				nodes := testFleet.InRegion(harness.HomeRegion(testFleet))
				for index := range 900 {
					testFleet.World.After(time.Duration(index)*10*time.Millisecond, func() {
						testFleet.Probe("short", harness.HomeRegion(testFleet)).Send(nodes[index%len(nodes)])
					})
				}
				for nodeIndex, node := range nodes {
					testFleet.World.After(3*time.Second+time.Duration(nodeIndex)*400*time.Millisecond, func() {
						testFleet.World.CutBoth([]string{node.Name}, fleet.Names(testFleet.Machines))
					})
				}
				testFleet.Run(12 * time.Second)
				testFleet.World.Heal()
				harness.ExpectNoBreaches(testFleet)
			}
		})

		It("stays on its ramp in "+name+" when its shard changes owner in the middle", func() {
			testFleet := harness.StartReadyFleet(name, 22)
			testFleet.Traffic(40*time.Second, 2)
			testFleet.Run(10 * time.Second)
			for _, server := range harness.PoolServers(testFleet, testFleet.Servers[0].Pool) {
				server.Crash()
				testFleet.World.After(2*time.Second, server.Replace)
			}
			testFleet.Run(5 * time.Second)
			region := testFleet.Servers[0].Region
			for _, machine := range testFleet.InRegion(region)[:2] {
				machine.Freeze()
				testFleet.World.After(10*time.Second, machine.Wake)
			}
			testFleet.Run(25 * time.Second)
			harness.ExpectNoBreaches(testFleet)
		})
	}
})
