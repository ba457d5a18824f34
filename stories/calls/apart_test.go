package calls

import (
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// apart cuts the machines of the two zones of a region from each other; all others still hear both.
func apart(played *fleet.Fleet) (left, right []*fleet.Machine, mend func()) {
	nodes := played.InRegion(harness.HomeRegion(played))
	left = played.InZone(nodes[0].Zone)
	right = played.InZone(nodes[len(nodes)-1].Zone)
	return left, right, played.World.CutBoth(fleet.Names(left), fleet.Names(right))
}

var _ = Describe("two zones of a region that are cut from each other", func() {
	for _, name := range harness.SiteNames {
		It("both go on serving in "+name+", with a third zone's word for each call", func() {
			played := harness.StartReadyFleet(name, 371)
			played.Run(8 * time.Second)
			left, right, mend := apart(played)
			played.World.After(20*time.Second, mend)
			played.Run(3 * time.Second)
			ends := map[string]int{}
			for index := range 40 {
				node := append(left, right...)[index%(len(left)+len(right))]
				ends[played.Probe("short", harness.HomeRegion(played)).Send(node).Outcome(10*time.Second)]++
			}
			Expect(ends["done"]).To(BeNumerically(">", 36), "%v", ends)
			harness.ExpectNoBreaches(played)
		})

		It("do not run a call of the other in "+name+": during the cut, after it, and when the other zone is then lost", func() {
			for seed := uint64(372); seed < 375; seed++ {
				played := harness.StartReadyFleet(name, seed)
				played.Run(8 * time.Second)
				left, right, mend := apart(played)
				played.Run(3 * time.Second)
				probe := played.Probe("short", harness.HomeRegion(played)).With(slowly).Send(left[int(seed)%len(left)])
				Expect(played.Until(5*time.Second, func() bool { return len(played.Running()) == 1 })).To(BeTrue(), "the call runs")
				if seed != 372 {
					mend()
				}
				if seed == 374 {
					played.KillFor(left, time.Minute)
				}
				ends := map[string]int{}
				for _, node := range right {
					ends[probe.Again(node).Outcome(40*time.Second)]++
					ends[probe.Send(node).Outcome(40*time.Second)]++
				}
				Expect(ends).NotTo(HaveKey("silence"))
				harness.ExpectNoBreaches(played)
			}
		})
	}
})

var _ = Describe("a few nodes that were cut off together, of both zones of a region", func() {
	for _, name := range harness.SiteNames {
		It("do not run again in "+name+" what the others run, the moment they are back", func() {
			for seed := uint64(391); seed < 397; seed++ {
				played := harness.StartReadyFleet(name, seed)
				played.Run(8 * time.Second)
				left, right, mend := apart(played)
				mend()
				island := []*fleet.Machine{left[0], right[0]}
				rest := played.Pick(func(machine *fleet.Machine) bool { return machine != left[0] && machine != right[0] })
				mend = played.World.CutBoth(fleet.Names(island), fleet.Names(rest))
				played.Run(4 * time.Second)
				probe := played.Probe("short", harness.HomeRegion(played)).With(slowly).Send(left[1])
				Expect(played.Until(5*time.Second, func() bool { return len(played.Running()) == 1 })).To(BeTrue(), "the call runs")
				mend()
				played.Run(time.Duration(seed%3) * 30 * time.Millisecond)
				probe.Again(island[int(seed)%2])
				played.Run(5 * time.Second)
				harness.ExpectNoBreaches(played)
			}
		})
	}
})
