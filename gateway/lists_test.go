package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

// said gives the commands of a node that tell operators something of this kind.
func said(commands []contract.Command, what string) []contract.Say {
	found := []contract.Say{}
	for _, command := range commands {
		if say, fine := command.(contract.Say); fine && say.What == what {
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
		Expect(told).To(ContainElement(contract.Gauge{Name: "list_age_ms", Value: node.unconfirmedAfter().Milliseconds()}))
		Expect(told).To(ContainElement(contract.Count{Name: "lists_unconfirmed", By: 1}))
		node.now += time.Second
		Expect(said(node.take(contract.Tick{}), "list is not confirmed")).To(BeEmpty())
	})

	It("given a list that was reported, when its owner confirms it, then that is told, and its age begins anew", func() {
		node := holding()
		node.now += node.unconfirmedAfter()
		node.take(contract.Tick{})
		same := lease(2, 5, node.now)
		same.Same = true
		Expect(said(node.take(message(shard.MessageLease, "owner-control", same)), "list is confirmed again")).To(HaveLen(1))
		Expect(node.take(contract.Tick{})).To(ContainElement(contract.Gauge{Name: "list_age_ms", Value: 0}))
	})
})
