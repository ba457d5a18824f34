package core

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// All other nodes still reach every member during the cut, so membership reports each member as alive and can't detect the fault.
var _ = Describe("a member that is cut off from its peers alone", func() {
	for chainIndex := range 3 {
		for _, bothWays := range []bool{true, false} {
			It(fmt.Sprintf("does not hold up writes and reads for long (place %d in the chain, cut both ways: %v)", chainIndex, bothWays), func() {
				testFleet := harness.StartReadyFleet("seri", uint64(380+chainIndex))
				view := harness.ChainView(testFleet, testFleet.Machines[1])
				member := view.Chain[chainIndex][:3]
				others := []string{}
				for _, core := range testFleet.Cores() {
					if core.Name != member {
						others = append(others, core.Name)
					}
				}
				healLinks := []func(){testFleet.World.Cut([]string{member}, others)}
				if bothWays {
					healLinks = append(healLinks, testFleet.World.Cut(others, []string{member}))
				}
				testFleet.World.After(20*time.Second, func() {
					for _, heal := range healLinks {
						heal()
					}
				})
				requester := testFleet.MachinesWhere(func(machine *fleet.Machine) bool { return !machine.Core })[0]
				start := testFleet.World.Now
				Expect(testFleet.RunUntil(12*time.Second, func() bool {
					status := harness.SendPatch(testFleet, requester, 1).Status
					return status == 200 || status == 202
				})).To(BeTrue(), "a write is acknowledged during the cut")
				Expect(testFleet.World.Now - start).To(BeNumerically("<", 12*time.Second))
				Expect(testFleet.RunUntil(4*time.Second, func() bool {
					return testFleet.Operate(requester, contract.OperatorRequest{Verb: contract.VerbGet}).Status == 200
				})).To(BeTrue(), "a read is answered during the cut")
				viewNumber := harness.ChainView(testFleet, requester).Number
				testFleet.Run(4 * time.Second)
				Expect(harness.ChainView(testFleet, requester).Number).To(BeNumerically("<=", viewNumber+1), "the view rests during the cut")
				testFleet.Run(20 * time.Second)
				Expect(harness.ChainView(testFleet, requester).Chain).To(HaveLen(3), "all are back after it")
				harness.ExpectNoBreaches(testFleet)
			})
		}
	}
})
