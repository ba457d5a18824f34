package calls

import (
	"time"

	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a caller that sends far more than all others", func() {
	for _, name := range harness.SiteNames {
		It("does not keep a small one of the same route from being served in "+name, func() {
			played := harness.StartReadyFleet(name, 381)
			played.Run(8 * time.Second)
			home := harness.HomeRegion(played)
			nodes := played.InRegion(home)
			small := []*fleet.Probe{}
			for index := range 6000 {
				played.World.After(time.Duration(index)*2*time.Millisecond, func() {
					played.Probe("long", home).Of("greedy").Send(nodes[index%len(nodes)])
				})
			}
			for index := range 40 {
				played.World.After(4*time.Second+time.Duration(index)*200*time.Millisecond, func() {
					small = append(small, played.Probe("long", home).Of("small").Send(nodes[index%len(nodes)]))
				})
			}
			played.Run(24 * time.Second)
			ends, slowest := map[string]int{}, time.Duration(0)
			for _, probe := range small {
				ends[probe.Ended]++
				slowest = max(slowest, probe.Took())
			}
			Expect(ends["done"]).To(Equal(len(small)), "%v, slowest %v", ends, slowest)
			Expect(slowest).To(BeNumerically("<", 8*time.Second))
			harness.ExpectNoBreaches(played)
		})
	}
})
