package calls

import (
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// repeatAtAllNodes sends one call that takes seconds, disturbs the fleet, and repeats the call at every running node of its home region. It
// returns how many repeats ended with each outcome.
func repeatAtAllNodes(name string, seed uint64, send func(*fleet.Probe, *fleet.Machine), disturb func(*fleet.Fleet, []*fleet.Machine)) map[string]int {
	GinkgoHelper()
	testFleet := harness.StartReadyFleet(name, seed)
	nodes := testFleet.InRegion(harness.HomeRegion(testFleet))
	probe := testFleet.Probe("short", harness.HomeRegion(testFleet)).WithProfile(slowReply).Send(nodes[int(seed)%len(nodes)])
	Expect(testFleet.RunUntil(8*time.Second, func() bool { return len(testFleet.BusyServers()) == 1 })).To(BeTrue(), "the call runs")
	disturb(testFleet, nodes)
	outcomes := map[string]int{}
	for _, node := range nodes {
		if node.Up() {
			send(probe, node)
			outcomes[probe.Outcome(40*time.Second)]++
		}
	}
	harness.ExpectNoBreaches(testFleet)
	return outcomes
}

// sendUnmarked sends a call again without marking it as a repeat.
func sendUnmarked(probe *fleet.Probe, node *fleet.Machine) { probe.SendUnmarked(node) }

var _ = Describe("a repeat that is not marked as one never runs a second time", func() {
	for _, name := range harness.SiteNames {
		It("in "+name+", after the loss and return of any two nodes", func() {
			for seed := uint64(301); seed < 305; seed++ {
				repeatAtAllNodes(name, seed, sendUnmarked, func(testFleet *fleet.Fleet, nodes []*fleet.Machine) {
					first := int(seed) % len(nodes)
					testFleet.KillFor([]*fleet.Machine{nodes[first], nodes[(first+1+int(seed)%5)%len(nodes)]}, time.Second)
					testFleet.Run(4 * time.Second)
				})
			}
		})

		It("in "+name+", after the loss and return of a whole zone, and while views of the members differ", func() {
			for seed := uint64(321); seed < 325; seed++ {
				repeatAtAllNodes(name, seed, sendUnmarked, func(testFleet *fleet.Fleet, nodes []*fleet.Machine) {
					testFleet.KillFor(testFleet.InZone(nodes[int(seed)%len(nodes)].Zone), 500*time.Millisecond)
					testFleet.Run(500*time.Millisecond + time.Duration(seed%5)*400*time.Millisecond)
				})
			}
		})

		It("in "+name+", after the loss and return of all nodes of its region at once", func() {
			for seed := uint64(335); seed < 337; seed++ {
				repeatAtAllNodes(name, seed, sendUnmarked, func(testFleet *fleet.Fleet, nodes []*fleet.Machine) {
					testFleet.KillFor(nodes, time.Duration(seed%2)*time.Second+100*time.Millisecond)
					testFleet.Run(3 * time.Second)
				})
			}
		})

		It("in "+name+", after a rolling restart of the region's nodes", func() {
			for seed := uint64(341); seed < 342; seed++ {
				repeatAtAllNodes(name, seed, sendUnmarked, func(testFleet *fleet.Fleet, nodes []*fleet.Machine) {
					for _, node := range nodes {
						testFleet.KillFor([]*fleet.Machine{node}, 300*time.Millisecond)
						testFleet.Run(1500 * time.Millisecond)
					}
				})
			}
		})

		It("in "+name+", at the other side of a cut between the zones", func() {
			for seed := uint64(351); seed < 355; seed++ {
				repeatAtAllNodes(name, seed, sendUnmarked, func(testFleet *fleet.Fleet, nodes []*fleet.Machine) {
					zone := testFleet.InZone(nodes[int(seed)%len(nodes)].Zone)
					testFleet.CutFor(fleet.Names(zone), 20*time.Second, seed%2 == 0)
					testFleet.Run(time.Duration(seed%3) * 2 * time.Second)
				})
			}
		})
	}
})

var _ = Describe("a marked repeat of a call that no node saw", func() {
	for _, name := range harness.SiteNames {
		It("runs in "+name+" while a zone is away, and after two machines of it are gone", func() {
			for seed := uint64(361); seed < 363; seed++ {
				testFleet := harness.StartReadyFleet(name, seed)
				nodes := testFleet.InRegion(harness.HomeRegion(testFleet))
				testFleet.Run(10 * time.Second)
				lost := testFleet.InZone(nodes[len(nodes)-1].Zone)
				if seed%2 == 0 {
					lost = lost[:2]
				}
				for _, machine := range lost {
					machine.Kill()
				}
				testFleet.Run(5 * time.Second)
				probe := testFleet.Probe("short", harness.HomeRegion(testFleet)).Send(lost[0])
				Expect(probe.Outcome(time.Second)).To(Equal("not_run"), "it was sent to a dead node")
				Expect(probe.Send(nodes[0]).Outcome(10 * time.Second)).To(Equal("done"))
				harness.ExpectNoBreaches(testFleet)
			}
		})
	}
})
