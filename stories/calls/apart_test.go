package calls

import (
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cutZonesApart cuts the links between the first and the last zone of the home region; all other machines still reach both. It returns the
// machines of each zone and a function that heals the links.
func cutZonesApart(testFleet *fleet.Fleet) (left, right []*fleet.Machine, heal func()) {
	nodes := testFleet.InRegion(harness.HomeRegion(testFleet))
	left = testFleet.InZone(nodes[0].Zone)
	right = testFleet.InZone(nodes[len(nodes)-1].Zone)
	return left, right, testFleet.World.CutBoth(fleet.Names(left), fleet.Names(right))
}

var _ = Describe("two zones of a region that are cut from each other", func() {
	for _, name := range harness.SiteNames {
		It("both go on serving in "+name+", with a third zone's word for each call", func() {
			testFleet := harness.StartReadyFleet(name, 371)
			testFleet.Run(8 * time.Second)
			left, right, heal := cutZonesApart(testFleet)
			testFleet.World.After(20*time.Second, heal)
			testFleet.Run(3 * time.Second)
			outcomes := map[string]int{}
			for index := range 40 {
				node := append(left, right...)[index%(len(left)+len(right))]
				outcomes[testFleet.Probe("short", harness.HomeRegion(testFleet)).Send(node).Outcome(10*time.Second)]++
			}
			Expect(outcomes["done"]).To(BeNumerically(">", 36), "%v", outcomes)
			harness.ExpectNoBreaches(testFleet)
		})

		It("do not run a call of the other in "+name+": during the cut, after it, and when the other zone is then lost", func() {
			for seed := uint64(372); seed < 375; seed++ {
				testFleet := harness.StartReadyFleet(name, seed)
				testFleet.Run(8 * time.Second)
				left, right, heal := cutZonesApart(testFleet)
				testFleet.Run(3 * time.Second)
				probe := testFleet.Probe("short", harness.HomeRegion(testFleet)).WithProfile(slowReply).Send(left[int(seed)%len(left)])
				Expect(testFleet.RunUntil(5*time.Second, func() bool { return len(testFleet.BusyServers()) == 1 })).To(BeTrue(), "the call runs")
				if seed != 372 {
					heal()
				}
				if seed == 374 {
					testFleet.KillFor(left, time.Minute)
				}
				outcomes := map[string]int{}
				for _, node := range right {
					outcomes[probe.SendUnmarked(node).Outcome(40*time.Second)]++
					outcomes[probe.Send(node).Outcome(40*time.Second)]++
				}
				Expect(outcomes).NotTo(HaveKey("silence"))
				harness.ExpectNoBreaches(testFleet)
			}
		})
	}
})

var _ = Describe("a few nodes that were cut off together, of both zones of a region", func() {
	for _, name := range harness.SiteNames {
		It("do not run again in "+name+" what the others run, the moment they are back", func() {
			for seed := uint64(391); seed < 397; seed++ {
				testFleet := harness.StartReadyFleet(name, seed)
				testFleet.Run(8 * time.Second)
				left, right, heal := cutZonesApart(testFleet)
				heal()
				isolated := []*fleet.Machine{left[0], right[0]}
				others := testFleet.MachinesWhere(func(machine *fleet.Machine) bool { return machine != left[0] && machine != right[0] })
				heal = testFleet.World.CutBoth(fleet.Names(isolated), fleet.Names(others))
				testFleet.Run(4 * time.Second)
				probe := testFleet.Probe("short", harness.HomeRegion(testFleet)).WithProfile(slowReply).Send(left[1])
				Expect(testFleet.RunUntil(5*time.Second, func() bool { return len(testFleet.BusyServers()) == 1 })).To(BeTrue(), "the call runs")
				heal()
				testFleet.Run(time.Duration(seed%3) * 30 * time.Millisecond)
				probe.SendUnmarked(isolated[int(seed)%2])
				testFleet.Run(5 * time.Second)
				harness.ExpectNoBreaches(testFleet)
			}
		})
	}
})
