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

const recoverySeeds = 5

// recovery measures, over several seeds, how long after a trouble began the configuration can be read and written again, and how many
// views that took. Run with -v to see the figures.
func recovery(name string, trouble func(*fleet.Fleet)) {
	GinkgoHelper()
	reads, writes, views := []time.Duration{}, []time.Duration{}, []int64{}
	for seed := uint64(370); seed < 370+recoverySeeds; seed++ {
		played := harness.StartReadyFleet("brazos", seed)
		Expect(harness.SendPatch(played, played.Machines[1], 1).Status).To(BeElementOf(200, 202))
		before, began := harness.ChainView(played, played.Machines[1]).Number, played.World.Now
		trouble(played)
		played.Run(50 * time.Millisecond)
		asker := played.Pick(func(machine *fleet.Machine) bool { return machine.Up() && !machine.Core })[0]
		Expect(played.Until(30*time.Second, func() bool {
			return played.Operate(asker, contract.OperatorRequest{Verb: contract.VerbGet}).Status == 200
		})).To(BeTrue(), "%s: read, seed %d", name, seed)
		reads = append(reads, played.World.Now-began)
		Expect(played.Until(30*time.Second, func() bool {
			status := harness.SendPatch(played, asker, 2).Status
			return status == 200 || status == 202
		})).To(BeTrue(), "%s: write, seed %d", name, seed)
		writes = append(writes, played.World.Now-began)
		played.Run(20 * time.Second)
		view := harness.ChainView(played, asker)
		Expect(view.Chain).To(HaveLen(3), "%s: whole again, seed %d", name, seed)
		views = append(views, view.Number-before)
		harness.ExpectNoBreaches(played)
	}
	slices.Sort(reads)
	slices.Sort(writes)
	slices.Sort(views)
	middle := recoverySeeds / 2
	text := fmt.Sprintf("%s: read again after %v (%v at worst), write acknowledged after %v (%v), %d views (%d)", name,
		reads[middle], reads[recoverySeeds-1], writes[middle], writes[recoverySeeds-1], views[middle], views[recoverySeeds-1])
	AddReportEntry(text, ReportEntryVisibilityAlways)
}

var _ = Describe("the core serves again", func() {
	It("after all of it was killed for a second", func() {
		recovery("all of the core killed for 1 s", func(played *fleet.Fleet) { played.KillFor(played.Cores(), time.Second) })
	})
	It("after its head restarted", func() {
		recovery("the head restarted within 0.5 s", func(played *fleet.Fleet) { played.KillFor(played.Cores()[:1], 500*time.Millisecond) })
	})
	It("after its head was away", func() {
		recovery("the head away for 5 s", func(played *fleet.Fleet) { played.KillFor(played.Cores()[:1], 5*time.Second) })
	})
	It("while one machine stays dark after a loss of all power", func() {
		recovery("all of the core lost power for 1 s, one machine for 12 s", func(played *fleet.Fleet) {
			played.KillFor(played.Cores()[:1], 12*time.Second)
			played.KillFor(played.Cores()[1:], time.Second)
		})
	})
	It("after a replacement that is followed by a second loss", func() {
		recovery("a machine replaced, another killed 2 s later for 3 s", func(played *fleet.Fleet) {
			cores := played.Cores()
			played.Swap(cores[0])
			played.Run(2 * time.Second)
			played.KillFor(cores[1:2], 3*time.Second)
		})
	})
})
