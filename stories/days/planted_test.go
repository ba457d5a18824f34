package days

import (
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/feed"
	"github.com/cedarreel/cedarreel/fleet"
	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/stories/harness"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// faulty is an owner with a fault planted in it: what it hears and what it says goes through a sieve.
type faulty struct {
	contract.StateMachine
	hears func(contract.Event) bool
	says  func(contract.Command) bool
}

func (faulty faulty) Handle(now time.Duration, event contract.Event) []contract.Command {
	if faulty.hears != nil && !faulty.hears(event) {
		return nil
	}
	said := []contract.Command{}
	for _, command := range faulty.StateMachine.Handle(now, event) {
		if faulty.says == nil || faulty.says(command) {
			said = append(said, command)
		}
	}
	return said
}

// troubled is a fleet in which much is excused at the same time: a cut machine, a frozen one, a dead one.
func troubled(seed uint64) *fleet.Fleet {
	played := harness.StartReadyFleet("brazos", seed)
	played.CutFor([]string{"m12"}, 25*time.Second, true)
	played.World.Cut([]string{"m02"}, []string{"m03", "platform-central"})
	played.FreezeFor([]*fleet.Machine{played.Machine("m07")}, 20*time.Second)
	played.KillFor([]*fleet.Machine{played.Machine("m08")}, 20*time.Second)
	return played
}

func found(played *fleet.Fleet, rule ledger.Rule) bool {
	played.Close()
	return played.Ledger.CountsByRule()[rule] > 0
}

var _ = Describe("an excuse for ill nodes cannot hide a breach by one that is well", func() {
	It("when it gives no answer", func() {
		played := troubled(131)
		played.Machine("m02").Data.Plant(func(owner contract.StateMachine) contract.StateMachine {
			return faulty{StateMachine: owner, says: func(command contract.Command) bool {
				_, answer := command.(contract.Response)
				return !answer
			}}
		})
		played.Traffic(10*time.Second, 0.5)
		played.Run(10 * time.Second)
		Expect(found(played, ledger.UnansweredCall)).To(BeTrue())
	})

	It("when it stays behind, with links of its own cut", func() {
		played := troubled(132)
		played.Machine("m02").Data.Plant(func(owner contract.StateMachine) contract.StateMachine {
			return faulty{StateMachine: owner, hears: func(event contract.Event) bool {
				message, fine := event.(contract.Message)
				return !fine || message.Kind != feed.MessageDelivery
			}}
		})
		Expect(harness.SendPatch(played, played.Machines[3], 1).Status).To(Equal(202))
		played.Run(8 * time.Second)
		Expect(found(played, ledger.StaleManifest)).To(BeTrue())
	})
})

var _ = Describe("an accepted manifest that does not hold what its operator sent", func() {
	It("is found, though it reads back as it was kept", func() {
		played := harness.StartReadyFleet("brazos", 133)
		Expect(harness.SendPatch(played, played.Machines[3], 1).Status).To(Equal(200))
		Expect(harness.SendPatch(played, played.Machines[5], 2).Status).To(Equal(200))
		last := &played.Writes[len(played.Writes)-1]
		last.Ask.Body = []byte(strings.Replace(string(last.Ask.Body), "guest-2", "guest-3", 1))
		Expect(found(played, ledger.LostManifest)).To(BeTrue())
	})
})
