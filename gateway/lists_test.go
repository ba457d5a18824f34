package gateway

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/relay"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

// said gives the commands of a node that tell operators something of this kind.
func said(commands []contract.Command, what string) []contract.Log {
	found := []contract.Log{}
	for _, command := range commands {
		if say, fine := command.(contract.Log); fine && say.Message == what {
			found = append(found, say)
		}
	}
	return found
}

var _ = Describe("the age of a list", func() {
	holding := func() *follower {
		node := following()
		node.take(contract.Tick{})
		node.take(message(shard.MessageLease, "owner-control", lease(2, 5, node.now, "a")))
		return node
	}

	It("given a list that nobody confirms, when half of the bound for withdrawals has passed, then it is reported once, with its age", func() {
		node := holding()
		Expect(said(node.take(contract.Tick{}), "list is not confirmed")).To(BeEmpty())
		node.now += node.unconfirmedAfter()
		told := node.take(contract.Tick{})
		Expect(said(told, "list is not confirmed")).To(HaveLen(1))
		Expect(told).To(ContainElement(contract.SetGauge{Name: "list_age_ms", Value: node.unconfirmedAfter().Milliseconds()}))
		Expect(told).To(ContainElement(contract.AddCounter{Name: "lists_unconfirmed", Delta: 1}))
		node.now += time.Second
		Expect(said(node.take(contract.Tick{}), "list is not confirmed")).To(BeEmpty())
	})

	It("given a list that was reported, when its owner confirms it, then that is told, and its age begins anew", func() {
		node := holding()
		node.now += node.unconfirmedAfter()
		node.take(contract.Tick{})
		same := lease(2, 5, node.now)
		same.Unchanged = true
		Expect(said(node.take(message(shard.MessageLease, "owner-control", same)), "list is confirmed again")).To(HaveLen(1))
		Expect(node.take(contract.Tick{})).To(ContainElement(contract.SetGauge{Name: "list_age_ms", Value: 0}))
	})
})

var _ = Describe("what all nodes send to a region", func() {
	It("given an owner that tells of short calls, when its answers come, also those that the list is the same, then each change is handed on once", func() {
		node := following()
		node.take(contract.Tick{})
		first := lease(2, 5, node.now, "a")
		first.ShortPromptGapMs = map[string]int64{"s": 400}
		region := first.Region
		Expect(events[Observed](node.take(message(shard.MessageLease, "owner-control", first)))).To(Equal([]Observed{{region, first.CallObservations}}))
		same := lease(2, 5, node.now)
		same.Unchanged, same.ShortPromptGapMs = true, map[string]int64{"s": 400}
		Expect(events[Observed](node.take(message(shard.MessageLease, "owner-control", same)))).To(BeEmpty())
		same.ShortPromptGapMs = nil
		Expect(events[Observed](node.take(message(shard.MessageLease, "owner-control", same)))).To(Equal([]Observed{{Region: region}}))
		same.PrefillUsPerK = map[string]int64{"s": 30000}
		Expect(events[Observed](node.take(message(shard.MessageLease, "owner-control", same)))).To(Equal([]Observed{{region, same.CallObservations}}))
	})
})

var _ = Describe("an owner that does not answer", func() {
	owner := contract.Member{Name: "owner-control", Boot: "b", Kind: contract.KindControl, Zone: "east-b", Region: "east", Address: "10.0.0.9:8166"}
	// carried gives the relays that are asked to carry a question to the owner.
	carried := func(commands []contract.Command) []string {
		relays := []string{}
		for _, command := range commands {
			send, fine := command.(contract.Send)
			if !fine || send.Kind != relay.MessageForward {
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
	met := func() *follower {
		node := following()
		node.meets(owner, dataNode("near", "east-b", "10.0.1.1"), dataNode("other", "east-a", "10.0.0.2"))
		node.take(message(shard.MessageLease, owner.Name, lease(2, 5, node.now, "a")))
		return node
	}
	asks := func(node *follower) []contract.Command {
		node.now += node.askEvery()
		node.meets(owner, dataNode("near", "east-b", "10.0.1.1"), dataNode("other", "east-a", "10.0.0.2"))
		return node.take(contract.Tick{})
	}
	answer := func(node *follower, via string, names ...string) {
		given := message(shard.MessageLease, owner.Name, lease(2, 6, node.now, names...))
		given.ReturnRoute = via
		node.take(given)
	}

	It("given one missing answer, when the node asks again, then other members carry its question, one of the owner's zone among them", func() {
		node := met()
		Expect(carried(asks(node))).To(BeEmpty(), "the answer may be on its way")
		Expect(carried(asks(node))).To(ConsistOf("10.0.1.1:7720", "10.0.0.2:7720"))
	})

	It("given an answer by way of a member, when the node asks again, then that one carries the question, until the owner answers directly", func() {
		node := met()
		asks(node)
		asks(node)
		answer(node, "10.0.1.1:7720", "a", "b")
		Expect(carried(asks(node))).To(Equal([]string{"10.0.1.1:7720"}))
		answer(node, "10.0.1.1:7720", "a", "b")
		Expect(carried(asks(node))).To(Equal([]string{"10.0.1.1:7720"}))
		answer(node, "", "a", "b")
		answer(node, "10.0.1.1:7720", "a", "b")
		Expect(carried(asks(node))).To(BeEmpty(), "the late answer by the relay is to a question that was answered directly")
	})

	It("given a relay that falls silent too, when the node asks again, then others are drawn", func() {
		node := met()
		asks(node)
		asks(node)
		answer(node, "10.0.1.1:7720", "a")
		asks(node)
		Expect(carried(asks(node))).To(ConsistOf("10.0.1.1:7720", "10.0.0.2:7720"))
	})
})
