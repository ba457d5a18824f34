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
			testFleet := harness.StartReadyFleet(name, 381)
			testFleet.Run(8 * time.Second)
			home := harness.HomeRegion(testFleet)
			nodes := testFleet.InRegion(home)
			smallProbes := []*fleet.Probe{}
			for index := range 6000 {
				testFleet.World.After(time.Duration(index)*2*time.Millisecond, func() {
					testFleet.Probe("long", home).WithCaller("greedy").Send(nodes[index%len(nodes)])
				})
			}
			for index := range 40 {
				testFleet.World.After(4*time.Second+time.Duration(index)*200*time.Millisecond, func() {
					smallProbes = append(smallProbes, testFleet.Probe("long", home).WithCaller("small").Send(nodes[index%len(nodes)]))
				})
			}
			testFleet.Run(24 * time.Second)
			outcomes, slowest := map[string]int{}, time.Duration(0)
			for _, probe := range smallProbes {
				outcomes[probe.Result]++
				slowest = max(slowest, probe.Duration())
			}
			Expect(outcomes["done"]).To(Equal(len(smallProbes)), "%v, slowest %v", outcomes, slowest)
			Expect(slowest).To(BeNumerically("<", 8*time.Second))
			harness.ExpectNoBreaches(testFleet)
		})
	}
})
