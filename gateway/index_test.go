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
		if update, fine := command.(Update); fine {
			if event, there := update.Event.(Event); there {
				found = append(found, event)
			}
		}
	}
	return found
}

func sends(commands []contract.Command, kind string) []contract.Send {
	found := []contract.Send{}
	for _, command := range commands {
		if send, fine := command.(contract.Send); fine && send.Kind == kind {
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
	beat := func(node *follower) []contract.Command {
		node.now += node.askEvery()
		return node.take(contract.Tick{})
	}
	ask := AskPlace{Token: 9, Ask: index.Ask{Key: index.Key{Scope: "s", Anchor: 1<<64 - 1}, Candidates: []string{"a"}, Work: 7}}

	It("given no control node, when a question comes, then it is refused and the calls are told of no owner", func() {
		node := following()
		node.meets(dataNode("a2", "east-a", "10.0.0.2"))
		Expect(events[Indexed](beat(node))).To(BeEmpty())
		Expect(node.take(ask)).To(ContainElement(contract.ErrorResponse(9, 503, "no owner of the index is known", 0)))
	})

	It("given control nodes, when a question comes, then it goes to the first in the agreed order alone, whatever order they were met in", func() {
		for _, met := range [][]int{{0, 1, 2}, {2, 1, 0}} {
			node := following()
			for _, place := range met {
				node.meets(controls[place])
			}
			Expect(events[Indexed](beat(node))).To(Equal([]Indexed{{Known: true}}))
			Expect(events[Indexed](beat(node))).To(BeEmpty(), "told once")
			forwards := []contract.Forward{}
			for _, command := range node.take(ask) {
				if forward, fine := command.(contract.Forward); fine {
					forwards = append(forwards, forward)
				}
			}
			Expect(forwards).To(HaveLen(1))
			Expect(forwards[0].Address).To(Equal(first().Address))
			Expect(forwards[0].Request.Token).To(Equal(int64(9)))
			Expect(forwards[0].Request.Verb).To(Equal(contract.VerbPlace))
			var carried index.Ask
			Expect(json.Unmarshal(forwards[0].Request.Body, &carried)).To(Succeed())
			Expect(carried).To(Equal(ask.Ask))
		}
	})

	Describe("and the replica near it", func() {
		at := func(name, zone, region string) contract.Member {
			member := controlNode(name, name)
			member.Zone, member.Region = zone, region
			return member
		}
		// names are in the agreed order, that of the owner first.
		names := func(count int) []string {
			drawn := []string{}
			for number := range count {
				drawn = append(drawn, fmt.Sprintf("k%d-control", number))
			}
			ordered := contract.RendezvousOrder("index", drawn)
			for place := range ordered {
				ordered[place] = strings.TrimSuffix(ordered[place], "-control")
			}
			return ordered
		}(5)
		known := AskPlace{Token: 9, Ask: index.Ask{Key: index.Key{Scope: "s", Anchor: 7}, Known: true}}
		addresses := func(commands []contract.Command) []string {
			found := []string{}
			for _, command := range commands {
				if forward, fine := command.(contract.Forward); fine {
					found = append(found, forward.Address)
				}
			}
			return found
		}

		DescribeTable("given control nodes, when a question for what is known comes, then it goes to the first of the own zone, else region, and others go to the owner",
			func(near string, members ...contract.Member) {
				for range 2 {
					node := following()
					node.meets(members...)
					Expect(events[Indexed](beat(node))).To(Equal([]Indexed{{Known: true, Near: true}}))
					Expect(addresses(node.take(known))).To(Equal([]string{near + ":8166"}))
					Expect(addresses(node.take(ask))).To(Equal([]string{names[0] + ":8166"}))
					slices.Reverse(members)
				}
			},
			Entry("zone before region", names[3], at(names[0], "west-a", "west"), at(names[1], "west-a", "west"), at(names[2], "east-b", "east"), at(names[3], "east-a", "east"), at(names[4], "east-a", "east")),
			Entry("region", names[2], at(names[0], "west-a", "west"), at(names[1], "west-a", "west"), at(names[2], "east-b", "east"), at(names[3], "east-c", "east")),
		)

		DescribeTable("given none that is nearer than the owner, when a question for what is known comes, then it is refused",
			func(members ...contract.Member) {
				node := following()
				node.meets(members...)
				Expect(events[Indexed](beat(node))).To(Equal([]Indexed{{Known: true}}))
				Expect(node.take(known)).To(ContainElement(contract.ErrorResponse(9, 503, "no replica of the index is near", 0)))
				Expect(addresses(node.take(ask))).To(Equal([]string{names[0] + ":8166"}))
			},
			Entry("owner in the region, another in the zone", at(names[0], "east-b", "east"), at(names[1], "east-a", "east")),
			Entry("owner in the zone", at(names[0], "east-a", "east"), at(names[1], "east-a", "east")),
			Entry("nobody in the region", at(names[0], "west-a", "west"), at(names[1], "west-a", "west")),
		)

		It("given an owner far away, when a replica comes near and leaves, then the calls are told each once", func() {
			node := following()
			node.meets(at(names[0], "west-a", "west"))
			told := events[Indexed](beat(node))
			node.meets(at(names[1], "east-b", "east"))
			told = append(told, events[Indexed](beat(node))...)
			node.take(message(neighbour.MessageLeave, names[1], neighbour.Leave{Name: names[1] + "-control", Boot: "boot", Heartbeat: node.beat}))
			for range 2 {
				told = append(told, events[Indexed](beat(node))...)
			}
			Expect(told).To(Equal([]Indexed{{Known: true}, {Known: true, Near: true}, {Known: true}}))
		})
	})

	It("given the only control node that falls silent, when the beat comes, then the calls are told that nobody can be asked", func() {
		node := following()
		node.meets(controls[0])
		beat(node)
		told := []Indexed{}
		for range 40 {
			told = append(told, events[Indexed](beat(node))...)
		}
		Expect(told).To(Equal([]Indexed{{Known: false}}))
	})

	It("given uses, when the beat comes, then the owner is told them once with this node's address, and not between beats", func() {
		node, uses := following(), []index.Use{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "a", Took: 5}}
		node.known = telling{node.known, func() []index.Use {
			given := uses
			uses = nil
			return given
		}}
		node.meets(controls...)
		node.now = node.nextTell - 1
		Expect(sends(node.take(contract.Tick{}), index.MessageUsage)).To(BeEmpty())
		sent := sends(beat(node), index.MessageUsage)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].To).To(Equal(first().Address))
		Expect(sent[0].Body).To(Equal(index.Usage{Address: node.Self().Address, Uses: []index.Use{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "a", Took: 5}}}))
		Expect(sends(beat(node), index.MessageUsage)).To(BeEmpty())
	})

	It("given a message of corrections, when it comes, then the calls are told, and one that cannot be read changes nothing", func() {
		node := following()
		places := []index.Place{{Key: index.Key{Scope: "s", Anchor: 1}, Server: "b"}}
		Expect(events[Relocated](node.take(message(index.MessageMoved, "c1-control", index.Moved{Places: places})))).To(Equal([]Relocated{{Places: places}}))
		Expect(events[Relocated](node.take(contract.Message{Kind: index.MessageMoved, Body: []byte(`{"places":7}`)}))).To(BeEmpty())
	})
})

// telling has uses of its own to tell.
type telling struct {
	Known
	uses func() []index.Use
}

func (telling telling) Uses() []index.Use { return telling.uses() }
