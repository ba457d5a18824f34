package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

var _ = Describe("the interim list until an owner's list arrives", func() {
	deliver := func(node *testNode, given contract.Lease) [][]string {
		return listedNames(node.process(message(shard.MessageLease, "some-control", given)))
	}
	interimLease := func(asked time.Duration, names ...string) contract.Lease {
		given := leaseOf(0, 0, asked, names...)
		given.Epoch, given.Interim = contract.Epoch{}, true
		return given
	}
	asks := func(node *testNode) map[string][]contract.LeaseRequest {
		found := map[string][]contract.LeaseRequest{}
		for _, command := range node.process(contract.Tick{}) {
			if send, ok := command.(contract.Send); ok && send.Kind == shard.MessageLeaseRequest {
				found[send.To] = append(found[send.To], send.Body.(contract.LeaseRequest))
			}
		}
		return found
	}
	control := func(name, host string) contract.Member {
		return contract.Member{Name: name + "-control", Boot: "boot", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: host + ":8166"}
	}

	It("given a node without lists, when a control node sends an interim one, then its servers are used at once, and newer ones replace them", func() {
		node := startedNode()
		Expect(deliver(node, interimLease(100, "a", "b"))).To(Equal([][]string{{"a", "b"}}))
		Expect(deliver(node, interimLease(90, "c"))).To(BeEmpty(), "an answer to an older request")
		Expect(deliver(node, interimLease(200, "a"))).To(Equal([][]string{{"a"}}))
	})

	It("given an interim list, when the owner's list arrives, then that holds from then on, whatever other nodes send", func() {
		node := startedNode()
		deliver(node, interimLease(100, "a", "b"))
		Expect(deliver(node, leaseOf(1, 1, 50, "c"))).To(Equal([][]string{{"c"}}))
		Expect(deliver(node, interimLease(300, "a", "b"))).To(BeEmpty())
	})

	It("given a node that knows an owner's epoch and has its list, when interim lists arrive, then they change nothing", func() {
		node := startedNode()
		deliver(node, leaseOf(4, 2, 100, "a"))
		Expect(deliver(node, interimLease(200, "b"))).To(BeEmpty())
	})

	It("given interim lists of unknown shards or regions, when they arrive, then they are refused", func() {
		node := startedNode()
		for _, change := range []func(*contract.Lease){func(given *contract.Lease) { given.Shard = 2 }, func(given *contract.Lease) { given.Region = "moon" }} {
			given := interimLease(100, "a")
			change(&given)
			Expect(deliver(node, given)).To(BeEmpty())
		}
	})

	It("given a node without lists, when it requests them, then it asks the owner and one more node for whole lists, until it has one", func() {
		node := startedNode()
		node.addMembers(control("c1", "10.0.0.8"), control("c2", "10.0.0.9"))
		node.now += node.listRequestInterval()
		both := asks(node)
		Expect(both).To(HaveLen(2))
		for _, requests := range both {
			for _, ask := range requests {
				Expect(ask.Interim).To(BeTrue())
				Expect(ask.OmitUnchanged).To(BeFalse())
			}
		}
		deliver(node, interimLease(node.now, "a"))
		node.now += node.listRequestInterval() / 4
		again := asks(node)
		first, second := again["10.0.0.8:8166"], again["10.0.0.9:8166"]
		Expect(append(first, second...)).To(ContainElement(HaveField("Interim", false)), "the shard with an interim list asks only its owner")
		node.now += node.listRequestInterval()
		for _, requests := range asks(node) {
			Expect(requests).NotTo(ContainElement(HaveField("Interim", false)), "the interim list is renewed as often as a list")
		}
	})

	It("given a node that knows no control node yet, when it asks, then it asks a seed", func() {
		settings := settingsFor("node000")
		settings.Seeds = []string{"10.0.0.7:8166"}
		node := &testNode{Node: NewNode(settings, "boot", NewRouter(settings, seededRandom(3)), seededRandom(3)), now: time.Second}
		node.process(manifestMessage())
		Expect(asks(node)).To(HaveKey("10.0.0.7:8166"))
	})
})
