package gateway

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/relay"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

// logEntries returns the log entries with a text among a node's commands.
func logEntries(commands []contract.Command, what string) []contract.Log {
	found := []contract.Log{}
	for _, command := range commands {
		if say, ok := command.(contract.Log); ok && say.Message == what {
			found = append(found, say)
		}
	}
	return found
}

var _ = Describe("the age of a list", func() {
	nodeWithList := func() *testNode {
		node := startedNode()
		node.process(contract.Tick{})
		node.process(message(shard.MessageLease, "owner-control", leaseOf(2, 5, node.now, "a")))
		return node
	}

	It("given a list that nobody confirms, when half of the bound for withdrawals has passed, then it is reported once, with its age", func() {
		node := nodeWithList()
		Expect(logEntries(node.process(contract.Tick{}), "list is not confirmed")).To(BeEmpty())
		node.now += node.unconfirmedAfter()
		commands := node.process(contract.Tick{})
		Expect(logEntries(commands, "list is not confirmed")).To(HaveLen(1))
		Expect(commands).To(ContainElement(contract.SetGauge{Name: "list_age_ms", Value: node.unconfirmedAfter().Milliseconds()}))
		Expect(commands).To(ContainElement(contract.AddCounter{Name: "lists_unconfirmed", Delta: 1}))
		node.now += time.Second
		Expect(logEntries(node.process(contract.Tick{}), "list is not confirmed")).To(BeEmpty())
	})

	It("given a list that was reported, when its owner confirms it, then that is logged, and its age starts at 0 again", func() {
		node := nodeWithList()
		node.now += node.unconfirmedAfter()
		node.process(contract.Tick{})
		same := leaseOf(2, 5, node.now)
		same.Unchanged = true
		Expect(logEntries(node.process(message(shard.MessageLease, "owner-control", same)), "list is confirmed again")).To(HaveLen(1))
		Expect(node.process(contract.Tick{})).To(ContainElement(contract.SetGauge{Name: "list_age_ms", Value: 0}))
	})
})

var _ = Describe("the observations of all nodes about a region", func() {
	It("given an owner that reports short calls, when its answers arrive, also those without a new list, then each change is passed on once", func() {
		node := startedNode()
		node.process(contract.Tick{})
		first := leaseOf(2, 5, node.now, "a")
		first.ShortPromptGapMs = map[string]int64{"s": 400}
		region := first.Region
		Expect(events[ObservationsChanged](node.process(message(shard.MessageLease, "owner-control", first)))).To(Equal([]ObservationsChanged{{region, first.CallObservations}}))
		same := leaseOf(2, 5, node.now)
		same.Unchanged, same.ShortPromptGapMs = true, map[string]int64{"s": 400}
		Expect(events[ObservationsChanged](node.process(message(shard.MessageLease, "owner-control", same)))).To(BeEmpty())
		same.ShortPromptGapMs = nil
		Expect(events[ObservationsChanged](node.process(message(shard.MessageLease, "owner-control", same)))).To(Equal([]ObservationsChanged{{Region: region}}))
		same.PrefillUsPerK = map[string]int64{"s": 30000}
		Expect(events[ObservationsChanged](node.process(message(shard.MessageLease, "owner-control", same)))).To(Equal([]ObservationsChanged{{region, same.CallObservations}}))
	})
})

var _ = Describe("an owner that does not answer", func() {
	owner := contract.Member{Name: "owner-control", Boot: "b", Kind: contract.KindControl, Zone: "east-b", Region: "east", Address: "10.0.0.9:8166"}
	// carried returns the relays that are asked to forward a request to the owner.
	carried := func(commands []contract.Command) []string {
		relays := []string{}
		for _, command := range commands {
			send, ok := command.(contract.Send)
			if !ok || send.Kind != relay.MessageForward {
				continue
			}
			envelope := send.Body.(relay.Envelope)
			Expect(envelope.To).To(Equal(owner.Address))
			Expect(envelope.Kind).To(Equal(shard.MessageLeaseRequest))
			var ask contract.LeaseRequest
			Expect(json.Unmarshal(envelope.Body, &ask)).To(Succeed())
			if ask.Region == "east" && ask.Shard == 0 {
				relays = append(relays, send.To)
			}
		}
		return relays
	}
	nodeWithOwner := func() *testNode {
		node := startedNode()
		node.addMembers(owner, dataNode("near", "east-b", "10.0.1.1"), dataNode("other", "east-a", "10.0.0.2"))
		node.process(message(shard.MessageLease, owner.Name, leaseOf(2, 5, node.now, "a")))
		return node
	}
	asks := func(node *testNode) []contract.Command {
		node.now += node.listRequestInterval()
		node.addMembers(owner, dataNode("near", "east-b", "10.0.1.1"), dataNode("other", "east-a", "10.0.0.2"))
		return node.process(contract.Tick{})
	}
	answer := func(node *testNode, via string, names ...string) {
		given := message(shard.MessageLease, owner.Name, leaseOf(2, 6, node.now, names...))
		given.ReturnRoute = via
		node.process(given)
	}

	It("given one missing answer, when the node requests the list again, then relays carry its request, one of the owner's zone among them", func() {
		node := nodeWithOwner()
		Expect(carried(asks(node))).To(BeEmpty(), "the answer may be on its way")
		Expect(carried(asks(node))).To(ConsistOf("10.0.1.1:7720", "10.0.0.2:7720"))
	})

	It("given an answer through a relay, when the node requests the list again, then that relay carries the request, until the owner answers directly", func() {
		node := nodeWithOwner()
		asks(node)
		asks(node)
		answer(node, "10.0.1.1:7720", "a", "b")
		Expect(carried(asks(node))).To(Equal([]string{"10.0.1.1:7720"}))
		answer(node, "10.0.1.1:7720", "a", "b")
		Expect(carried(asks(node))).To(Equal([]string{"10.0.1.1:7720"}))
		answer(node, "", "a", "b")
		answer(node, "10.0.1.1:7720", "a", "b")
		Expect(carried(asks(node))).To(BeEmpty(), "the late answer through the relay is to a request that was answered directly")
	})

	It("given a relay that stops answering too, when the node requests the list again, then other relays are chosen", func() {
		node := nodeWithOwner()
		asks(node)
		asks(node)
		answer(node, "10.0.1.1:7720", "a")
		asks(node)
		Expect(carried(asks(node))).To(ConsistOf("10.0.1.1:7720", "10.0.0.2:7720"))
	})
})
