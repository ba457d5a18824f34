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

// faultyOwner wraps a state machine and drops the events and commands that its filters reject; a nil filter accepts all.
type faultyOwner struct {
	contract.StateMachine
	acceptsEvent   func(contract.Event) bool
	acceptsCommand func(contract.Command) bool
}

func (filter faultyOwner) Handle(now time.Duration, event contract.Event) []contract.Command {
	if filter.acceptsEvent != nil && !filter.acceptsEvent(event) {
		return nil
	}
	commands := []contract.Command{}
	for _, command := range filter.StateMachine.Handle(now, event) {
		if filter.acceptsCommand == nil || filter.acceptsCommand(command) {
			commands = append(commands, command)
		}
	}
	return commands
}

// fleetWithFaults starts a fleet with several simultaneous faults for which the ledger excuses breaches: cut links, a frozen machine and a
// killed one.
func fleetWithFaults(seed uint64) *fleet.Fleet {
	testFleet := harness.StartReadyFleet("brazos", seed)
	testFleet.CutFor([]string{"m12"}, 25*time.Second, true)
	testFleet.World.Cut([]string{"m02"}, []string{"m03", "platform-central"})
	testFleet.FreezeFor([]*fleet.Machine{testFleet.Machine("m07")}, 20*time.Second)
	testFleet.KillFor([]*fleet.Machine{testFleet.Machine("m08")}, 20*time.Second)
	return testFleet
}

// breachFound closes the fleet and reports whether the ledger found a breach of the rule.
func breachFound(testFleet *fleet.Fleet, rule ledger.Rule) bool {
	testFleet.Close()
	return testFleet.Ledger.CountsByRule()[rule] > 0
}

var _ = Describe("an excuse for ill nodes cannot hide a breach by one that is well", func() {
	It("when it gives no answer", func() {
		testFleet := fleetWithFaults(131)
		testFleet.Machine("m02").Data.ReplaceOwner(func(owner contract.StateMachine) contract.StateMachine {
			return faultyOwner{StateMachine: owner, acceptsCommand: func(command contract.Command) bool {
				_, isResponse := command.(contract.Response)
				return !isResponse
			}}
		})
		testFleet.Traffic(10*time.Second, 0.5)
		testFleet.Run(10 * time.Second)
		Expect(breachFound(testFleet, ledger.UnansweredCall)).To(BeTrue())
	})

	It("when it stays behind, with links of its own cut", func() {
		testFleet := fleetWithFaults(132)
		testFleet.Machine("m02").Data.ReplaceOwner(func(owner contract.StateMachine) contract.StateMachine {
			return faultyOwner{StateMachine: owner, acceptsEvent: func(event contract.Event) bool {
				message, isMessage := event.(contract.Message)
				return !isMessage || message.Kind != feed.MessageDelivery
			}}
		})
		Expect(harness.SendPatch(testFleet, testFleet.Machines[3], 1).Status).To(Equal(202))
		testFleet.Run(8 * time.Second)
		Expect(breachFound(testFleet, ledger.StaleManifest)).To(BeTrue())
	})
})

var _ = Describe("an accepted manifest that does not hold what its operator sent", func() {
	It("is found, though it reads back as it was kept", func() {
		testFleet := harness.StartReadyFleet("brazos", 133)
		Expect(harness.SendPatch(testFleet, testFleet.Machines[3], 1).Status).To(Equal(200))
		Expect(harness.SendPatch(testFleet, testFleet.Machines[5], 2).Status).To(Equal(200))
		lastWrite := &testFleet.Writes[len(testFleet.Writes)-1]
		lastWrite.Request.Body = []byte(strings.Replace(string(lastWrite.Request.Body), "guest-2", "guest-3", 1))
		Expect(breachFound(testFleet, ledger.LostManifest)).To(BeTrue())
	})
})
