package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const recoverySeedCount = 5

// measureRecovery injects a fault under several seeds and measures how long it takes until the configuration can be read and written again, and
// how many view changes there were. go test -v prints the medians and maxima.
func measureRecovery(name string, injectFault func(*fleet.Fleet)) {
	GinkgoHelper()
	readDelays, writeDelays, viewChanges := []time.Duration{}, []time.Duration{}, []int64{}
	for seed := uint64(370); seed < 370+recoverySeedCount; seed++ {
		testFleet := harness.StartReadyFleet("brazos", seed)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[1], 1).Status).To(BeElementOf(200, 202))
		before, start := harness.ChainView(testFleet, testFleet.Machines[1]).Number, testFleet.World.Now
		injectFault(testFleet)
		testFleet.Run(50 * time.Millisecond)
		requester := testFleet.MachinesWhere(func(machine *fleet.Machine) bool { return machine.Up() && !machine.Core })[0]
		Expect(testFleet.RunUntil(30*time.Second, func() bool {
			return testFleet.Operate(requester, contract.OperatorRequest{Verb: contract.VerbGet}).Status == 200
		})).To(BeTrue(), "%s: read, seed %d", name, seed)
		readDelays = append(readDelays, testFleet.World.Now-start)
		Expect(testFleet.RunUntil(30*time.Second, func() bool {
			status := harness.SendPatch(testFleet, requester, 2).Status
			return status == 200 || status == 202
		})).To(BeTrue(), "%s: write, seed %d", name, seed)
		writeDelays = append(writeDelays, testFleet.World.Now-start)
		testFleet.Run(20 * time.Second)
		view := harness.ChainView(testFleet, requester)
		Expect(view.Chain).To(HaveLen(3), "%s: whole again, seed %d", name, seed)
		viewChanges = append(viewChanges, view.Number-before)
		harness.ExpectNoBreaches(testFleet)
	}
	slices.Sort(readDelays)
	slices.Sort(writeDelays)
	slices.Sort(viewChanges)
	median := recoverySeedCount / 2
	summary := fmt.Sprintf("%s: read again after %v (%v at worst), write acknowledged after %v (%v), %d views (%d)", name,
		readDelays[median], readDelays[recoverySeedCount-1], writeDelays[median], writeDelays[recoverySeedCount-1], viewChanges[median], viewChanges[recoverySeedCount-1])
	AddReportEntry(summary, ReportEntryVisibilityAlways)
}

var _ = Describe("the core serves again", func() {
	It("after all of it was killed for a second", func() {
		measureRecovery("all of the core killed for 1 s", func(testFleet *fleet.Fleet) { testFleet.KillFor(testFleet.Cores(), time.Second) })
	})
	It("after its head restarted", func() {
		measureRecovery("the head restarted within 0.5 s", func(testFleet *fleet.Fleet) { testFleet.KillFor(testFleet.Cores()[:1], 500*time.Millisecond) })
	})
	It("after its head was away", func() {
		measureRecovery("the head away for 5 s", func(testFleet *fleet.Fleet) { testFleet.KillFor(testFleet.Cores()[:1], 5*time.Second) })
	})
	It("while one machine stays dark after a loss of all power", func() {
		measureRecovery("all of the core lost power for 1 s, one machine for 12 s", func(testFleet *fleet.Fleet) {
			testFleet.KillFor(testFleet.Cores()[:1], 12*time.Second)
			testFleet.KillFor(testFleet.Cores()[1:], time.Second)
		})
	})
	It("after a replacement that is followed by a second loss", func() {
		measureRecovery("a machine replaced, another killed 2 s later for 3 s", func(testFleet *fleet.Fleet) {
			cores := testFleet.Cores()
			testFleet.ReplaceCore(cores[0])
			testFleet.Run(2 * time.Second)
			testFleet.KillFor(cores[1:2], 3*time.Second)
		})
	})
})
