package gateway

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

var _ = Describe("notices of servers that leave", func() {
	control := func(name, host string) contract.Member {
		return contract.Member{Name: name + "-control", Boot: "boot", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: host + ":8166"}
	}
	tells := func(node *follower, region string, leaving ...string) []contract.Command {
		return node.take(message(shard.MessageServerNotices, "other-control", contract.DepartureNotice{Region: region, Leaving: leaving}))
	}
	// asked gives the addresses that were asked for notices in one tick, in order.
	asked := func(node *follower) []string {
		addresses := []string{}
		for _, command := range node.take(contract.Tick{}) {
			if send, fine := command.(contract.Send); fine && send.Kind == shard.MessageLeaseRequest && send.Body.(contract.LeaseRequest).DeparturesOnly {
				addresses = append(addresses, send.To)
			}
		}
		slices.Sort(addresses)
		return slices.Compact(addresses)
	}
	holding := func() *follower {
		node, sibling := following(), control("node000", "10.0.0.9")
		// Whoever cannot see the platform owns no shard while others can.
		sibling.Impaired = true
		node.meets(control("first", "10.0.0.1"), control("second", "10.0.0.2"), sibling)
		node.take(contract.Tick{})
		for _, region := range []string{"east", "west"} {
			given := lease(2, 5, node.now, "a", "b", "c")
			given.Region = region
			node.take(message(shard.MessageLease, "first-control", given))
		}
		return node
	}

	It("given a list that its owner confirms, when it is asked for, then nobody is asked for notices", func() {
		node := holding()
		node.now += node.askEvery()
		Expect(asked(node)).To(BeEmpty())
	})

	It("given an owner that is silent, when its list is asked for, then the control node of this machine and another one are asked too", func() {
		node := holding()
		node.now += 2 * node.askEvery()
		addresses := asked(node)
		Expect(addresses).To(ContainElement("10.0.0.9:8166"))
		Expect(len(addresses)).To(BeNumerically(">", 1))
	})

	It("given a list that is held, when a control node tells that a server leaves, then it is taken out, once, and the others stay", func() {
		node := holding()
		told := tells(node, "east", "b", "unknown")
		Expect(lists(told)).To(Equal([][]string{{"a", "c"}}))
		Expect(said(told, "servers leave by notice")).To(HaveLen(1))
		Expect(told).To(ContainElement(contract.AddCounter{Name: "servers_noticed", Delta: 1}))
		Expect(lists(tells(node, "east", "b"))).To(BeEmpty())
	})

	It("given a server that was taken out, when the owner says that its list is the same, then the server stays out, and the owner's next list holds", func() {
		node := holding()
		tells(node, "east", "b")
		node.now += time.Second
		same := lease(2, 5, node.now-time.Millisecond)
		same.Unchanged = true
		Expect(lists(node.take(message(shard.MessageLease, "first-control", same)))).To(BeEmpty())
		Expect(lists(node.take(message(shard.MessageLease, "first-control", lease(2, 6, node.now, "a", "c", "d"))))).To(Equal([][]string{{"a", "c", "d"}}))
	})

	It("given notices of a region that is not known, or a node without lists, when they come, then nothing changes", func() {
		Expect(lists(tells(holding(), "moon", "a"))).To(BeEmpty())
		Expect(lists(tells(following(), "east", "a"))).To(BeEmpty())
	})
})
