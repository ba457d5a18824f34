package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/neighbour"
	. "github.com/onsi/gomega"
)

func controlNode(name, host string) contract.Member {
	return contract.Member{Name: name + "-control", Boot: "boot", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: host + ":8166"}
}

func events[Event contract.Event](commands []contract.Command) []Event {
	found := []Event{}
	for _, command := range commands {
		if update, ok := command.(Update); ok {
			if event, isEvent := update.Event.(Event); isEvent {
				found = append(found, event)
			}
		}
	}
	return found
}

func sends(commands []contract.Command, kind string) []contract.Send {
	found := []contract.Send{}
	for _, command := range commands {
		if send, ok := command.(contract.Send); ok && send.Kind == kind {
			found = append(found, send)
		}
	}
	return found
}

var _ = Describe("the owner of the index, as a node sees it", func() {
	controls := []contract.Member{controlNode("c4", "10.0.0.7"), controlNode("c5", "10.0.0.8"), controlNode("c6", "10.0.0.9")}
	first := func() contract.Member {
		name := contract.RendezvousOrder("index", []string{"c4-control", "c5-control", "c6-control"})[0]
		Expect(name).NotTo(Equal("c4-control"), "the order is not that of names")
		for _, member := range controls {
			if member.Name == name {
				return member
			}
		}
		return contract.Member{}
	}
	tick := func(node *testNode) []contract.Command {
		node.now += node.listRequestInterval()
		return node.process(contract.Tick{})
	}
	ask := AskPlace{Token: 9, Ask: index.PlacementRequest{Key: index.Key{Scope: "s", Anchor: 1<<64 - 1}, Candidates: []string{"a"}, Work: 7}}

	It("given no control node, when a place is queried, then the query is refused and the router is told of no owner", func() {
		node := startedNode()
		node.addMembers(dataNode("a2", "east-a", "10.0.0.2"))
		Expect(events[IndexReachability](tick(node))).To(BeEmpty())
		Expect(node.process(ask)).To(ContainElement(contract.ErrorResponse(9, 503, "no owner of the index is known", 0)))
	})

	It("given control nodes, when a place is queried, then only the first in the rendezvous order is asked, in whatever order they were met", func() {
		for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}} {
			node := startedNode()
			for _, number := range order {
				node.addMembers(controls[number])
			}
			Expect(events[IndexReachability](tick(node))).To(Equal([]IndexReachability{{OwnerKnown: true}}))
			Expect(events[IndexReachability](tick(node))).To(BeEmpty(), "reported once")
			forwards := []contract.Forward{}
			for _, command := range node.process(ask) {
				if forward, ok := command.(contract.Forward); ok {
					forwards = append(forwards, forward)
				}
			}
			Expect(forwards).To(HaveLen(1))
			Expect(forwards[0].Address).To(Equal(first().Address))
			Expect(forwards[0].Request.Token).To(Equal(int64(9)))
			Expect(forwards[0].Request.Verb).To(Equal(contract.VerbPlace))
			var carried index.PlacementRequest
			Expect(json.Unmarshal(forwards[0].Request.Body, &carried)).To(Succeed())
			Expect(carried).To(Equal(ask.Ask))
		}
	})

	Describe("and the replica near it", func() {
		controlIn := func(name, zone, region string) contract.Member {
			member := controlNode(name, name)
			member.Zone, member.Region = zone, region
			return member
		}
		// names are in the rendezvous order, that of the owner first.
		names := func(count int) []string {
			unordered := []string{}
			for number := range count {
				unordered = append(unordered, fmt.Sprintf("k%d-control", number))
			}
			ordered := contract.RendezvousOrder("index", unordered)
			for number := range ordered {
				ordered[number] = strings.TrimSuffix(ordered[number], "-control")
			}
			return ordered
		}(5)
		known := AskPlace{Token: 9, Ask: index.PlacementRequest{Key: index.Key{Scope: "s", Anchor: 7}, Known: true}}
		addresses := func(commands []contract.Command) []string {
			found := []string{}
			for _, command := range commands {
				if forward, ok := command.(contract.Forward); ok {
					found = append(found, forward.Address)
				}
			}
			return found
		}

		DescribeTable("given control nodes, when a known place is queried, then the first of the own zone, else of the region, is asked, and the owner for other queries",
			func(near string, members ...contract.Member) {
				for range 2 {
					node := startedNode()
					node.addMembers(members...)
					Expect(events[IndexReachability](tick(node))).To(Equal([]IndexReachability{{OwnerKnown: true, ReplicaNear: true}}))
					Expect(addresses(node.process(known))).To(Equal([]string{near + ":8166"}))
					Expect(addresses(node.process(ask))).To(Equal([]string{names[0] + ":8166"}))
					slices.Reverse(members)
				}
			},
			Entry("zone before region", names[3], controlIn(names[0], "west-a", "west"), controlIn(names[1], "west-a", "west"), controlIn(names[2], "east-b", "east"), controlIn(names[3], "east-a", "east"), controlIn(names[4], "east-a", "east")),
			Entry("region", names[2], controlIn(names[0], "west-a", "west"), controlIn(names[1], "west-a", "west"), controlIn(names[2], "east-b", "east"), controlIn(names[3], "east-c", "east")),
		)

		DescribeTable("given no replica nearer than the owner, when a known place is queried, then the query is refused",
			func(members ...contract.Member) {
				node := startedNode()
				node.addMembers(members...)
				Expect(events[IndexReachability](tick(node))).To(Equal([]IndexReachability{{OwnerKnown: true}}))
				Expect(node.process(known)).To(ContainElement(contract.ErrorResponse(9, 503, "no replica of the index is near", 0)))
				Expect(addresses(node.process(ask))).To(Equal([]string{names[0] + ":8166"}))
			},
			Entry("owner in the region, another in the zone", controlIn(names[0], "east-b", "east"), controlIn(names[1], "east-a", "east")),
			Entry("owner in the zone", controlIn(names[0], "east-a", "east"), controlIn(names[1], "east-a", "east")),
			Entry("nobody in the region", controlIn(names[0], "west-a", "west"), controlIn(names[1], "west-a", "west")),
		)

		It("given a distant owner, when a replica comes near and leaves, then the router is told of each change once", func() {
			node := startedNode()
			node.addMembers(controlIn(names[0], "west-a", "west"))
			reachability := events[IndexReachability](tick(node))
			node.addMembers(controlIn(names[1], "east-b", "east"))
			reachability = append(reachability, events[IndexReachability](tick(node))...)
			node.process(message(neighbour.MessageLeave, names[1], neighbour.Leave{Name: names[1] + "-control", Boot: "boot", Heartbeat: node.heartbeat}))
			for range 2 {
				reachability = append(reachability, events[IndexReachability](tick(node))...)
			}
			Expect(reachability).To(Equal([]IndexReachability{{OwnerKnown: true}, {OwnerKnown: true, ReplicaNear: true}, {OwnerKnown: true}}))
		})
	})

	It("given the only control node is silent, when the next report is due, then the router is told that nobody can be asked", func() {
		node := startedNode()
		node.addMembers(controls[0])
		tick(node)
		reachability := []IndexReachability{}
		for range 40 {
			reachability = append(reachability, events[IndexReachability](tick(node))...)
		}
		Expect(reachability).To(Equal([]IndexReachability{{OwnerKnown: false}}))
	})

	It("given uses of places, when the next report is due, then the owner gets them once with this node's address, and not before", func() {
		node, uses := startedNode(), []index.Use{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "a", Took: 5}}
		node.reports = reportsWithUses{node.reports, func() []index.Use {
			given := uses
			uses = nil
			return given
		}}
		node.addMembers(controls...)
		node.now = node.nextIndexUpdate - 1
		Expect(sends(node.process(contract.Tick{}), index.MessageUsage)).To(BeEmpty())
		sent := sends(tick(node), index.MessageUsage)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].To).To(Equal(first().Address))
		Expect(sent[0].Body).To(Equal(index.Usage{Address: node.Self().Address, Uses: []index.Use{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "a", Took: 5}}}))
		Expect(sends(tick(node), index.MessageUsage)).To(BeEmpty())
	})

	It("given a message of moved places, when it arrives, then the router gets them, and one that cannot be decoded changes nothing", func() {
		node := startedNode()
		places := []index.Placement{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "b"}}
		Expect(events[PlacesMoved](node.process(message(index.MessageMoved, "c1-control", index.PlacementUpdate{Places: places})))).To(Equal([]PlacesMoved{{Places: places}}))
		Expect(events[PlacesMoved](node.process(contract.Message{Kind: index.MessageMoved, Body: []byte(`{"places":7}`)}))).To(BeEmpty())
	})
})

// reportsWithUses replaces the uses that are reported.
type reportsWithUses struct {
	CallReports
	uses func() []index.Use
}

func (reports reportsWithUses) TakePlaceUses() []index.Use { return reports.uses() }
