package shard

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a lease request at a control node that is not the owner", func() {
	now := 5 * time.Second
	seen := ClusterState{Manifest: manifest.Manifest{Regions: map[string]manifest.Region{"east": {Shards: 1}}, Zones: map[string]manifest.Zone{"closed": {Region: "east", Drained: true}},
		Gateway: manifest.Gateway{Services: map[string]manifest.Service{"service": {}}}}}
	row := func(name, zone string) contract.ListedServer {
		return contract.ListedServer{Name: name, Address: name + ":80", Zone: zone, Region: "east", Pool: "service", Incarnation: name, AssumedReady: true}
	}
	node := func(prompt bool) *poller {
		fixture := newPoller(prompt)
		seen.Members = fixture.members
		fixture.Handle(now, seen)
		leaving, other := row("leaving", "zone"), row("other", "zone")
		leaving.Leaving, other.Pool = true, "nobody"
		cold := row("cold", "zone")
		cold.WarmupMs = 2000
		fixture.Handle(now, ListingResult{StartedAt: now, Listing: contract.Listing{Servers: []contract.ListedServer{row("good", "zone"), cold, leaving, row("drained", "closed"), other}}})
		return fixture
	}
	send := func(node *poller, at time.Duration, request contract.LeaseRequest) []contract.Send {
		request.Node, request.Address, request.Region, request.ShardCount, request.SentAt = "data", "data:1", "east", 1, 7
		body, err := json.Marshal(request)
		Expect(err).NotTo(HaveOccurred())
		sent := []contract.Send{}
		for _, command := range node.Handle(at, contract.Message{Kind: MessageLeaseRequest, From: "data", Body: body}) {
			if send, ok := command.(contract.Send); ok {
				sent = append(sent, send)
			}
		}
		return sent
	}
	requestList := func(node *poller, at time.Duration, interim bool) []contract.Send {
		return send(node, at, contract.LeaseRequest{Interim: interim})
	}

	ginkgo.It("given a request for notices, when the listing is fresh, then the reply names the owner and the servers that leave by this listing", func() {
		replies := send(node(true), now, contract.LeaseRequest{DeparturesOnly: true})
		Expect(replies).To(HaveLen(2))
		Expect(replies[0].Kind).To(Equal(MessageNotOwner))
		Expect(replies[1]).To(Equal(contract.Send{To: "data:1", Kind: MessageServerNotices, Body: contract.DepartureNotice{Region: "east", Leaving: []string{"leaving"}}}))
	})

	ginkgo.It("given an old listing, or binding leases, when notices are requested, then none are sent", func() {
		Expect(send(node(true), now+env.DefaultBounds().PlatformGrace(), contract.LeaseRequest{DeparturesOnly: true})).To(HaveLen(1))
		Expect(send(node(false), now, contract.LeaseRequest{DeparturesOnly: true})).To(HaveLen(1))
	})

	ginkgo.It("given a node without a list, when it asks, then it gets the owner's name and the eligible servers as seen here, without an epoch", func() {
		replies := requestList(node(true), now, true)
		Expect(replies).To(HaveLen(2))
		Expect(replies[0].Kind).To(Equal(MessageNotOwner))
		lease := replies[1].Body.(contract.Lease)
		Expect(lease.Interim).To(BeTrue())
		Expect(lease.Epoch).To(Equal(contract.Epoch{}))
		Expect(lease.RequestSentAt).To(Equal(time.Duration(7)))
		names := map[string]int64{}
		for _, server := range lease.Servers {
			names[server.Name] = server.WarmupMs
		}
		Expect(names).To(Equal(map[string]int64{"good": 0, "cold": 2000}))
	})

	ginkgo.It("given a node with a list, or binding leases, when it asks, then it gets only the owner's name", func() {
		Expect(requestList(node(true), now, false)).To(HaveLen(1))
		Expect(requestList(node(false), now, true)).To(HaveLen(1))
	})

	ginkgo.It("given an old listing, when a node without a list asks, then it gets none", func() {
		Expect(requestList(node(true), now+env.DefaultBounds().PlatformGrace(), true)).To(HaveLen(1))
	})
})
