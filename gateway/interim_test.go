package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

var _ = Describe("the list that stands in until an owner's comes", func() {
	give := func(node *follower, given contract.Lease) [][]string {
		return lists(node.take(message(shard.MessageLease, "some-control", given)))
	}
	interim := func(asked time.Duration, names ...string) contract.Lease {
		given := lease(0, 0, asked, names...)
		given.Epoch, given.Interim = contract.Epoch{}, true
		return given
	}
	asks := func(node *follower) map[string][]contract.LeaseRequest {
		found := map[string][]contract.LeaseRequest{}
		for _, command := range node.take(contract.Tick{}) {
			if send, fine := command.(contract.Send); fine && send.Kind == shard.MessageLeaseRequest {
				found[send.To] = append(found[send.To], send.Body.(contract.LeaseRequest))
			}
		}
		return found
	}
	control := func(name, host string) contract.Member {
		return contract.Member{Name: name + "-control", Boot: "boot", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: host + ":8166"}
	}

	It("given a node without any list, when some control node tells what it sees, then servers are known at once, and newer ones replace them", func() {
		node := following()
		Expect(give(node, interim(100, "a", "b"))).To(Equal([][]string{{"a", "b"}}))
		Expect(give(node, interim(90, "c"))).To(BeEmpty(), "an answer to an older question")
		Expect(give(node, interim(200, "a"))).To(Equal([][]string{{"a"}}))
	})

	It("given such a list, when the owner's comes, then it holds from then on, whatever others tell", func() {
		node := following()
		give(node, interim(100, "a", "b"))
		Expect(give(node, lease(1, 1, 50, "c"))).To(Equal([][]string{{"c"}}))
		Expect(give(node, interim(300, "a", "b"))).To(BeEmpty())
	})

	It("given a node that has heard of an owner's epoch and lost nothing, when others tell what they see, then it changes nothing", func() {
		node := following()
		give(node, lease(4, 2, 100, "a"))
		Expect(give(node, interim(200, "b"))).To(BeEmpty())
	})

	It("given lists of shards or regions that are not known, when they come, then they are refused", func() {
		node := following()
		for _, change := range []func(*contract.Lease){func(given *contract.Lease) { given.Shard = 2 }, func(given *contract.Lease) { given.Region = "moon" }} {
			given := interim(100, "a")
			change(&given)
			Expect(give(node, given)).To(BeEmpty())
		}
	})

	It("given a node without lists, when it asks, then it wants whole ones of the owner and of one more, until it has something", func() {
		node := following()
		node.meets(control("c1", "10.0.0.8"), control("c2", "10.0.0.9"))
		node.now += node.askEvery()
		both := asks(node)
		Expect(both).To(HaveLen(2))
		for _, told := range both {
			for _, ask := range told {
				Expect(ask.Interim).To(BeTrue())
				Expect(ask.OmitUnchanged).To(BeFalse())
			}
		}
		give(node, interim(node.now, "a"))
		node.now += node.askEvery() / 4
		again := asks(node)
		first, second := again["10.0.0.8:8166"], again["10.0.0.9:8166"]
		Expect(append(first, second...)).To(ContainElement(HaveField("Interim", false)), "the shard that is stood in for asks its owner alone")
		node.now += node.askEvery()
		for _, told := range asks(node) {
			Expect(told).NotTo(ContainElement(HaveField("Interim", false)), "what stands in is as fresh as a list")
		}
	})

	It("given a node that knows no control node yet, when it asks, then it asks a seed", func() {
		settings := settingsFor("node000")
		settings.Seeds = []string{"10.0.0.7:8166"}
		node := &follower{Node: NewNode(settings, "boot", NewTraffic(settings, seeded(3)), seeded(3)), now: time.Second}
		node.take(configured())
		Expect(asks(node)).To(HaveKey("10.0.0.7:8166"))
	})
})
