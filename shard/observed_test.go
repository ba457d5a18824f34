package shard

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("short calls of all nodes", func() {
	ginkgo.It("given nodes that send some, when others ask, then they are told the least pause, as long as those nodes ask and send", func() {
		ward := warded(2, 3, 2)
		ask := func(node string, short map[string]int64) map[string]int64 {
			ginkgo.GinkgoHelper()
			ward.now += ward.bounds.Withdraw() / 8
			request := contract.LeaseRequest{Node: node, Address: node + ":1", Region: "east", SentAt: ward.now, ShardCount: 1, CallObservations: contract.CallObservations{ShortPromptGapMs: short}}
			ward.Handle(ward.now, ListingRead{Began: ward.now, Listing: ward.listing})
			body, failure := json.Marshal(request)
			Expect(failure).NotTo(HaveOccurred())
			ward.Handle(ward.now, Seen{Members: ward.nodes, Manifest: ward.seen.Manifest})
			for _, command := range ward.Handle(ward.now, contract.Message{Kind: MessageAsk, Body: body}) {
				if lease, there := ward.lease(command); there {
					return lease.ShortPromptGapMs
				}
			}
			ginkgo.Fail("no list")
			return nil
		}
		Expect(ask("node00", nil)).To(BeEmpty())
		ask("node01", map[string]int64{"s": 600, "t": 200})
		Expect(ask("node00", map[string]int64{"s": 400})).To(Equal(map[string]int64{"s": 400, "t": 200}))
		Expect(ask("node00", nil)).To(Equal(map[string]int64{"s": 600, "t": 200}))
		for ends := ward.now + ward.bounds.Lease(); ward.now < ends; {
			ask("node02", nil)
		}
		Expect(ask("node02", nil)).To(BeEmpty(), "a node that asks no more sends no more")
	})

	ginkgo.It("given many questions within a moment, when they are answered, then what nodes tell is merged once", func() {
		held, owner := &duty{words: map[string]retire.Word{}}, warded(1, 1, 1)
		held.observations.tell("node00", contract.CallObservations{ShortPromptGapMs: map[string]int64{"s": 5}})
		held.words["node00"] = retire.Word{Told: owner.now}
		Expect(owner.observed(owner.now, held).ShortPromptGapMs).To(Equal(map[string]int64{"s": 5}))
		next := held.observations.next
		Expect(next).To(BeNumerically(">", owner.now))
		held.observations.tell("node00", contract.CallObservations{ShortPromptGapMs: map[string]int64{"s": 4}})
		Expect(owner.observed(next-1, held).ShortPromptGapMs).To(Equal(map[string]int64{"s": 5}))
		Expect(owner.observed(next, held).ShortPromptGapMs).To(Equal(map[string]int64{"s": 4}))
	})

	ginkgo.It("given nodes that saw prompts being read, some behind others and one that errs, when it is merged, then a low one of their times holds", func() {
		all := &observations{}
		for place, read := range []int64{90000, 31000, 30000, 1, 32000, 200000, 0} {
			all.tell(string(rune('a'+place)), contract.CallObservations{PrefillUsPerK: map[string]int64{"s": read}, ShortPromptGapMs: map[string]int64{"s": 1}})
		}
		Expect(all.readTimes()).To(Equal(map[string]int64{"s": 31000}))
		all.tell("a", contract.CallObservations{})
		Expect(all.byNode).To(HaveLen(6))
	})
})
