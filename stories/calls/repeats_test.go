package calls

import (
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// repeated sends one call that goes on for seconds, lets something happen, and sends it again at every node of its home.
func repeated(name string, seed uint64, send func(*fleet.Probe, *fleet.Machine), happens func(*fleet.Fleet, []*fleet.Machine)) map[string]int {
	GinkgoHelper()
	played := harness.StartReadyFleet(name, seed)
	nodes := played.InRegion(harness.HomeRegion(played))
	probe := played.Probe("short", harness.HomeRegion(played)).With(slowly).Send(nodes[int(seed)%len(nodes)])
	Expect(played.Until(8*time.Second, func() bool { return len(played.Running()) == 1 })).To(BeTrue(), "the call runs")
	happens(played, nodes)
	ends := map[string]int{}
	for _, node := range nodes {
		if node.Up() {
			send(probe, node)
			ends[probe.Outcome(40*time.Second)]++
		}
	}
	harness.ExpectNoBreaches(played)
	return ends
}

func unmarked(probe *fleet.Probe, node *fleet.Machine) { probe.Again(node) }

var _ = Describe("a repeat that is not marked as one never runs a second time", func() {
	for _, name := range harness.SiteNames {
		It("in "+name+", after the loss and return of any two nodes", func() {
			for seed := uint64(301); seed < 305; seed++ {
				repeated(name, seed, unmarked, func(played *fleet.Fleet, nodes []*fleet.Machine) {
					first := int(seed) % len(nodes)
					played.KillFor([]*fleet.Machine{nodes[first], nodes[(first+1+int(seed)%5)%len(nodes)]}, time.Second)
					played.Run(4 * time.Second)
				})
			}
		})

		It("in "+name+", after the loss and return of a whole zone, and while views of the members differ", func() {
			for seed := uint64(321); seed < 325; seed++ {
				repeated(name, seed, unmarked, func(played *fleet.Fleet, nodes []*fleet.Machine) {
					played.KillFor(played.InZone(nodes[int(seed)%len(nodes)].Zone), 500*time.Millisecond)
					played.Run(500*time.Millisecond + time.Duration(seed%5)*400*time.Millisecond)
				})
			}
		})

		It("in "+name+", after the loss and return of all nodes of its region at once", func() {
			for seed := uint64(335); seed < 337; seed++ {
				repeated(name, seed, unmarked, func(played *fleet.Fleet, nodes []*fleet.Machine) {
					played.KillFor(nodes, time.Duration(seed%2)*time.Second+100*time.Millisecond)
					played.Run(3 * time.Second)
				})
			}
		})

		It("in "+name+", after a rolling restart of the region's nodes", func() {
			for seed := uint64(341); seed < 342; seed++ {
				repeated(name, seed, unmarked, func(played *fleet.Fleet, nodes []*fleet.Machine) {
					for _, node := range nodes {
						played.KillFor([]*fleet.Machine{node}, 300*time.Millisecond)
						played.Run(1500 * time.Millisecond)
					}
				})
			}
		})

		It("in "+name+", at the other side of a cut between the zones", func() {
			for seed := uint64(351); seed < 355; seed++ {
				repeated(name, seed, unmarked, func(played *fleet.Fleet, nodes []*fleet.Machine) {
					zone := played.InZone(nodes[int(seed)%len(nodes)].Zone)
					played.CutFor(fleet.Names(zone), 20*time.Second, seed%2 == 0)
					played.Run(time.Duration(seed%3) * 2 * time.Second)
				})
			}
		})
	}
})

var _ = Describe("a marked repeat of a call that no node saw", func() {
	for _, name := range harness.SiteNames {
		It("runs in "+name+" while a zone is away, and after two machines of it are gone", func() {
			for seed := uint64(361); seed < 363; seed++ {
				played := harness.StartReadyFleet(name, seed)
				nodes := played.InRegion(harness.HomeRegion(played))
				played.Run(10 * time.Second)
				lost := played.InZone(nodes[len(nodes)-1].Zone)
				if seed%2 == 0 {
					lost = lost[:2]
				}
				for _, machine := range lost {
					machine.Kill()
				}
				played.Run(5 * time.Second)
				probe := played.Probe("short", harness.HomeRegion(played)).Send(lost[0])
				Expect(probe.Outcome(time.Second)).To(Equal("not_run"), "it was sent to a dead node")
				Expect(probe.Send(nodes[0]).Outcome(10 * time.Second)).To(Equal("done"))
				harness.ExpectNoBreaches(played)
			}
		})
	}
})
