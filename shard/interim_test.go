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

var _ = ginkgo.Describe("a question for a list at a control node that is not the owner", func() {
	now := 5 * time.Second
	seen := Seen{Manifest: manifest.Manifest{Regions: map[string]manifest.Region{"east": {Shards: 1}}, Zones: map[string]manifest.Zone{"closed": {Region: "east", Drained: true}},
		Gateway: manifest.Gateway{Services: map[string]manifest.Service{"service": {}}}}}
	row := func(name, zone string) contract.ListedServer {
		return contract.ListedServer{Name: name, Address: name + ":80", Zone: zone, Region: "east", Pool: "service", Incarnation: name, AssumedReady: true}
	}
	node := func(prompt bool) *reader {
		made := reading(prompt)
		seen.Members = made.members
		made.Handle(now, seen)
		leaving, other := row("leaving", "zone"), row("other", "zone")
		leaving.Leaving, other.Pool = true, "nobody"
		cold := row("cold", "zone")
		cold.WarmupMs = 2000
		made.Handle(now, ListingRead{Began: now, Listing: contract.Listing{Servers: []contract.ListedServer{row("good", "zone"), cold, leaving, row("drained", "closed"), other}}})
		return made
	}
	send := func(node *reader, at time.Duration, ask contract.LeaseRequest) []contract.Send {
		ask.Node, ask.Address, ask.Region, ask.ShardCount, ask.SentAt = "data", "data:1", "east", 1, 7
		body, failure := json.Marshal(ask)
		Expect(failure).NotTo(HaveOccurred())
		sent := []contract.Send{}
		for _, command := range node.Handle(at, contract.Message{Kind: MessageAsk, From: "data", Body: body}) {
			if send, fine := command.(contract.Send); fine {
				sent = append(sent, send)
			}
		}
		return sent
	}
	asks := func(node *reader, at time.Duration, interim bool) []contract.Send {
		return send(node, at, contract.LeaseRequest{Interim: interim})
	}

	ginkgo.It("given who asks for notices, when the listing here is fresh, then it is told the owner, and who leaves by this listing", func() {
		told := send(node(true), now, contract.LeaseRequest{DeparturesOnly: true})
		Expect(told).To(HaveLen(2))
		Expect(told[0].Kind).To(Equal(MessageNotOwner))
		Expect(told[1]).To(Equal(contract.Send{To: "data:1", Kind: MessageNotices, Body: contract.DepartureNotice{Region: "east", Leaving: []string{"leaving"}}}))
	})

	ginkgo.It("given an old listing, or an owner whose leases bind, when notices are asked for, then none are told", func() {
		Expect(send(node(true), now+env.DefaultBounds().PlatformGrace(), contract.LeaseRequest{DeparturesOnly: true})).To(HaveLen(1))
		Expect(send(node(false), now, contract.LeaseRequest{DeparturesOnly: true})).To(HaveLen(1))
	})

	ginkgo.It("given who has no list, when it asks, then it is told the owner, and what may take work as seen here, without an epoch", func() {
		told := asks(node(true), now, true)
		Expect(told).To(HaveLen(2))
		Expect(told[0].Kind).To(Equal(MessageNotOwner))
		lease := told[1].Body.(contract.Lease)
		Expect(lease.Interim).To(BeTrue())
		Expect(lease.Epoch).To(Equal(contract.Epoch{}))
		Expect(lease.RequestSentAt).To(Equal(time.Duration(7)))
		names := map[string]int64{}
		for _, server := range lease.Servers {
			names[server.Name] = server.WarmupMs
		}
		Expect(names).To(Equal(map[string]int64{"good": 0, "cold": 2000}))
	})

	ginkgo.It("given who has a list, or an owner whose leases bind, when it asks, then it is told the owner alone", func() {
		Expect(asks(node(true), now, false)).To(HaveLen(1))
		Expect(asks(node(false), now, true)).To(HaveLen(1))
	})

	ginkgo.It("given a listing that was read too long ago, when who has no list asks, then none is given", func() {
		Expect(asks(node(true), now+env.DefaultBounds().PlatformGrace(), true)).To(HaveLen(1))
	})
})
