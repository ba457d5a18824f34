package shard

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("short calls of all nodes", func() {
	ginkgo.It("given nodes that send some, when others ask, then they are told the least pause, as long as those nodes ask and send", func() {
		ward := warded(2, 3, 2)
		ask := func(node string, short map[string]int64) map[string]int64 {
			ginkgo.GinkgoHelper()
			ward.now += ward.bounds.Withdraw() / 8
			request := contract.LeaseRequest{Node: node, Address: node + ":1", Region: "east", Asked: ward.now, Shards: 1, Short: short}
			ward.Handle(ward.now, ListingRead{Began: ward.now, Listing: ward.listing})
			body, failure := json.Marshal(request)
			Expect(failure).NotTo(HaveOccurred())
			ward.Handle(ward.now, Seen{Members: ward.nodes, Manifest: ward.seen.Manifest})
			for _, command := range ward.Handle(ward.now, contract.Message{Kind: MessageAsk, Body: body}) {
				if lease, there := ward.lease(command); there {
					return lease.Short
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
		held, owner := &duty{}, warded(1, 1, 1)
		held.short.tell("node00", map[string]int64{"s": 5})
		Expect(owner.shortCalls(owner.now, held)).To(BeEmpty(), "it has not asked")
		next := held.short.next
		Expect(next).To(BeNumerically(">", owner.now))
		owner.shortCalls(owner.now+time.Millisecond, held)
		Expect(held.short.next).To(Equal(next))
	})
})
