package shard

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("observations of all nodes", func() {
	ginkgo.It("given nodes that report short calls, when others ask, then they get the shortest pause, as long as those nodes ask and report", func() {
		fixture := newFixture(2, 3, 2)
		requestLease := func(node string, short map[string]int64) map[string]int64 {
			ginkgo.GinkgoHelper()
			fixture.now += fixture.bounds.Withdraw() / 8
			request := contract.LeaseRequest{Node: node, Address: node + ":1", Region: "east", SentAt: fixture.now, ShardCount: 1, CallObservations: contract.CallObservations{ShortPromptGapMs: short}}
			fixture.Handle(fixture.now, ListingResult{StartedAt: fixture.now, Listing: fixture.listing})
			body, err := json.Marshal(request)
			Expect(err).NotTo(HaveOccurred())
			fixture.Handle(fixture.now, ClusterState{Members: fixture.nodes, Manifest: fixture.clusterState.Manifest})
			for _, command := range fixture.Handle(fixture.now, contract.Message{Kind: MessageLeaseRequest, Body: body}) {
				if lease, found := fixture.lease(command); found {
					return lease.ShortPromptGapMs
				}
			}
			ginkgo.Fail("no list")
			return nil
		}
		Expect(requestLease("node00", nil)).To(BeEmpty())
		requestLease("node01", map[string]int64{"s": 600, "t": 200})
		Expect(requestLease("node00", map[string]int64{"s": 400})).To(Equal(map[string]int64{"s": 400, "t": 200}))
		Expect(requestLease("node00", nil)).To(Equal(map[string]int64{"s": 600, "t": 200}))
		for ends := fixture.now + fixture.bounds.Lease(); fixture.now < ends; {
			requestLease("node02", nil)
		}
		Expect(requestLease("node02", nil)).To(BeEmpty(), "a node that stopped asking no longer counts")
	})

	ginkgo.It("given many requests within a moment, when they are answered, then the nodes' reports are merged once", func() {
		shard, manager := &shardState{nodeAcks: map[string]retire.NodeStatus{}}, newFixture(1, 1, 1)
		shard.observations.add("node00", contract.CallObservations{ShortPromptGapMs: map[string]int64{"s": 5}})
		shard.nodeAcks["node00"] = retire.NodeStatus{ReportedAt: manager.now}
		Expect(manager.mergedObservations(manager.now, shard).ShortPromptGapMs).To(Equal(map[string]int64{"s": 5}))
		nextMerge := shard.observations.nextMerge
		Expect(nextMerge).To(BeNumerically(">", manager.now))
		shard.observations.add("node00", contract.CallObservations{ShortPromptGapMs: map[string]int64{"s": 4}})
		Expect(manager.mergedObservations(nextMerge-1, shard).ShortPromptGapMs).To(Equal(map[string]int64{"s": 5}))
		Expect(manager.mergedObservations(nextMerge, shard).ShortPromptGapMs).To(Equal(map[string]int64{"s": 4}))
	})

	ginkgo.It("given reading times with outliers on both sides, when they are merged, then a low quantile is used", func() {
		all := &observations{}
		for place, read := range []int64{90000, 31000, 30000, 1, 32000, 200000, 0} {
			all.add(string(rune('a'+place)), contract.CallObservations{PrefillUsPerK: map[string]int64{"s": read}, ShortPromptGapMs: map[string]int64{"s": 1}})
		}
		Expect(all.readTimes()).To(Equal(map[string]int64{"s": 31000}))
		all.add("a", contract.CallObservations{})
		Expect(all.byNode).To(HaveLen(6))
	})
})
