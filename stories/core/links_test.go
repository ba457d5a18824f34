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

// Other nodes reach all members meanwhile, so that membership tells each of them to be alive.
var _ = Describe("a member that is cut off from its peers alone", func() {
	for rank := range 3 {
		for _, bothWays := range []bool{true, false} {
			It(fmt.Sprintf("does not hold up writes and reads for long (place %d in the chain, cut both ways: %v)", rank, bothWays), func() {
				played := harness.StartReadyFleet("seri", uint64(380+rank))
				view := harness.ChainView(played, played.Machines[1])
				member := view.Chain[rank][:3]
				others := []string{}
				for _, core := range played.Cores() {
					if core.Name != member {
						others = append(others, core.Name)
					}
				}
				lifts := []func(){played.World.Cut([]string{member}, others)}
				if bothWays {
					lifts = append(lifts, played.World.Cut(others, []string{member}))
				}
				played.World.After(20*time.Second, func() {
					for _, lift := range lifts {
						lift()
					}
				})
				asker := played.Pick(func(machine *fleet.Machine) bool { return !machine.Core })[0]
				began := played.World.Now
				Expect(played.Until(12*time.Second, func() bool {
					status := harness.SendPatch(played, asker, 1).Status
					return status == 200 || status == 202
				})).To(BeTrue(), "a write is acknowledged during the cut")
				Expect(played.World.Now - began).To(BeNumerically("<", 12*time.Second))
				Expect(played.Until(4*time.Second, func() bool {
					return played.Operate(asker, contract.OperatorRequest{Verb: contract.VerbGet}).Status == 200
				})).To(BeTrue(), "a read is answered during the cut")
				number := harness.ChainView(played, asker).Number
				played.Run(4 * time.Second)
				Expect(harness.ChainView(played, asker).Number).To(BeNumerically("<=", number+1), "the view rests during the cut")
				played.Run(20 * time.Second)
				Expect(harness.ChainView(played, asker).Chain).To(HaveLen(3), "all are back after it")
				harness.ExpectNoBreaches(played)
			})
		}
	}
})
