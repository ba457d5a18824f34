package gateway

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

var _ = Describe("notices of servers that are leaving", func() {
	control := func(name, host string) contract.Member {
		return contract.Member{Name: name + "-control", Boot: "boot", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: host + ":8166"}
	}
	notify := func(node *testNode, region string, leaving ...string) []contract.Command {
		return node.process(message(shard.MessageServerNotices, "other-control", contract.DepartureNotice{Region: region, Leaving: leaving}))
	}
	// asked returns the addresses that were asked for notices in one tick, sorted.
	asked := func(node *testNode) []string {
		addresses := []string{}
		for _, command := range node.process(contract.Tick{}) {
			if send, ok := command.(contract.Send); ok && send.Kind == shard.MessageLeaseRequest && send.Body.(contract.LeaseRequest).DeparturesOnly {
				addresses = append(addresses, send.To)
			}
		}
		slices.Sort(addresses)
		return slices.Compact(addresses)
	}
	nodeWithLists := func() *testNode {
		node, sibling := startedNode(), control("node000", "10.0.0.9")
		// A control node that cannot see the platform owns no shard while others can.
		sibling.Impaired = true
		node.addMembers(control("first", "10.0.0.1"), control("second", "10.0.0.2"), sibling)
		node.process(contract.Tick{})
		for _, region := range []string{"east", "west"} {
			given := leaseOf(2, 5, node.now, "a", "b", "c")
			given.Region = region
			node.process(message(shard.MessageLease, "first-control", given))
		}
		return node
	}

	It("given a list that its owner confirms, when it is requested, then nobody is asked for notices", func() {
		node := nodeWithLists()
		node.now += node.listRequestInterval()
		Expect(asked(node)).To(BeEmpty())
	})

	It("given an owner that is silent, when its list is requested, then the control node of this machine and another one are asked too", func() {
		node := nodeWithLists()
		node.now += 2 * node.listRequestInterval()
		addresses := asked(node)
		Expect(addresses).To(ContainElement("10.0.0.9:8166"))
		Expect(len(addresses)).To(BeNumerically(">", 1))
	})

	It("given a list, when a control node reports that a server is leaving, then it is removed, once, and the others stay", func() {
		node := nodeWithLists()
		commands := notify(node, "east", "b", "unknown")
		Expect(listedNames(commands)).To(Equal([][]string{{"a", "c"}}))
		Expect(logEntries(commands, "servers leave by notice")).To(HaveLen(1))
		Expect(commands).To(ContainElement(contract.AddCounter{Name: "servers_noticed", Delta: 1}))
		Expect(listedNames(notify(node, "east", "b"))).To(BeEmpty())
	})

	It("given a server that was removed, when the owner confirms its list as unchanged, then the server stays out, until the owner's next list", func() {
		node := nodeWithLists()
		notify(node, "east", "b")
		node.now += time.Second
		same := leaseOf(2, 5, node.now-time.Millisecond)
		same.Unchanged = true
		Expect(listedNames(node.process(message(shard.MessageLease, "first-control", same)))).To(BeEmpty())
		Expect(listedNames(node.process(message(shard.MessageLease, "first-control", leaseOf(2, 6, node.now, "a", "c", "d"))))).To(Equal([][]string{{"a", "c", "d"}}))
	})

	It("given notices of an unknown region, or a node without lists, when they arrive, then nothing changes", func() {
		Expect(listedNames(notify(nodeWithLists(), "moon", "a"))).To(BeEmpty())
		Expect(listedNames(notify(startedNode(), "east", "a"))).To(BeEmpty())
	})
})
