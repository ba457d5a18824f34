package gateway

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

// warming lets the servers of the service begin cold.
func warming(read *manifest.Manifest) {
	read.Gateway.Services["s"] = manifest.Service{WarmupDuration: 3 * time.Second, WarmupRate: 10}
}

// told gives the list of servers a and b, with what it says of a.
func told(suspected bool, ill int64) Listed {
	one := candidate("a", "east-a")
	one.Suspected, one.RecoverySteps = suspected, ill
	return listOf("east", one, candidate("b", "east-a"))
}

// ranked names the fleet so that this node has the given place in the order of a server.
func ranked(server string, count, place int) Fleet {
	names := contract.RendezvousOrder("ramp/"+server, fleetOf(count))
	return Fleet{Self: names[place], Names: names}
}

// sentTo counts the calls that a server gets while a caller sends one every few milliseconds, each of which is answered well after a while.
func sentTo(bench *bench, name string, span time.Duration) int {
	GinkgoHelper()
	count, ends, running := 0, bench.now+span, []Dispatch{}
	for ; bench.now < ends; bench.now += 5 * time.Millisecond {
		dispatch := bench.sent("/write/x")
		if dispatch.Server.Name == name {
			count++
		}
		if running = append(running, dispatch); len(running) > 10 {
			bench.ends(running[0], Whole)
			running = running[1:]
		}
	}
	for _, dispatch := range running {
		bench.ends(dispatch, Whole)
	}
	return count
}

var _ = Describe("what a node tells of its servers", func() {
	for _, ended := range []struct {
		outcome Outcome
		want    contract.CallTally
	}{{Unsent, contract.CallTally{Unconnected: 1}}, {Broken, contract.CallTally{Failed: 1}}} {
		It("given a call that ended as "+string(ended.outcome)+", when the list is asked for, then its server's tally is told", func() {
			bench := started(nil, eastList("a"))
			bench.ends(bench.sent("/write/x"), ended.outcome)
			Expect(bench.Tallies(bench.now, "east")).To(Equal(map[string]contract.CallTally{"a": ended.want}))
			Expect(bench.Tallies(bench.now, "west")).To(BeEmpty())
		})
	}

	It("given a server that says nothing, when the list is asked for, then the call is told as a failed one, since the server may be slow", func() {
		bench := started(nil, eastList("a"))
		first := bench.sent("/write/x")
		bench.now += first.Patience
		bench.one(Silent{Token: first.Token, Attempt: first.Attempt})
		Expect(bench.Tallies(bench.now, "east")).To(Equal(map[string]contract.CallTally{"a": {Failed: 1}}))
	})

	It("given a failure of the server's own, when the list is asked for, then it is told as a failed call", func() {
		bench := started(nil, eastList("a"))
		dispatch := bench.sent("/write/x")
		bench.one(Ended{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: Whole, Failed: true})
		Expect(bench.Tallies(bench.now, "east")).To(Equal(map[string]contract.CallTally{"a": {Failed: 1}}))
	})

	It("given servers that answer well, when the list is asked for, then only the watched one is told", func() {
		list := told(false, 0)
		list.Servers[0].HealthTracked = true
		bench := started(nil, list)
		Expect(sentTo(bench, "a", time.Second)).To(BeNumerically(">", 0))
		tallies := bench.Tallies(bench.now, "east")
		Expect(tallies).To(HaveLen(1))
		Expect(tallies["a"].Succeeded).To(BeNumerically(">", 0))
	})

	It("given a call that failed, when the time of contact has passed, then it is told no more", func() {
		bench := started(nil, eastList("a"))
		bench.ends(bench.sent("/write/x"), Broken)
		Expect(bench.Tallies(bench.now+bench.terms.Contact/2, "east")).NotTo(BeEmpty())
		Expect(bench.Tallies(bench.now+bench.terms.Contact, "east")).To(BeEmpty())
	})

	It("given a node that lost nearly all servers that it called, when the list is asked for, then it accuses none", func() {
		bench := started(nil, eastList("a", "b", "c", "d"))
		for range 4 {
			bench.ends(bench.sent("/write/x"), Unsent)
		}
		Expect(bench.Tallies(bench.now, "east")).To(BeEmpty())
	})

	It("given very many servers that fail, when the list is asked for, then a bounded number is told, the worst first", func() {
		names := []string{}
		for place := range 2 * mostTallies {
			names = append(names, fmt.Sprintf("server%03d", place))
		}
		bench := started(nil, eastList(names...))
		for place, name := range names {
			bench.servers[name].tallies.at(bench.now, bench.terms.Contact/2).Failed = int64(place + 1)
		}
		tallies := bench.Tallies(bench.now, "east")
		Expect(tallies).To(HaveLen(mostTallies))
		Expect(tallies).To(HaveKey(names[len(names)-1]))
		Expect(tallies).NotTo(HaveKey(names[0]))
	})

	It("given a call that failed, when the node asks for the list, then the tally travels with the question", func() {
		node := following()
		owner := contract.Member{Name: "owner-control", Boot: "b", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: "10.0.0.9:8166"}
		node.meets(owner)
		traffic := node.known.(*Traffic)
		traffic.Handle(node.now, config(nil))
		traffic.Handle(node.now, eastList("a"))
		traffic.Handle(node.now, Listed{Region: "west"})
		sent := traffic.Handle(node.now, Arrive{Token: 1, Host: "h.example", Path: "/write/x"})[0].(Dispatch)
		traffic.Handle(node.now, Ended{Token: 1, Attempt: sent.Attempt, Outcome: Broken})
		node.now += node.askEvery()
		asked := 0
		for _, command := range node.take(contract.Tick{}) {
			if send, fine := command.(contract.Send); fine && send.Kind == shard.MessageLeaseRequest && send.Body.(contract.LeaseRequest).Region == "east" {
				asked++
				Expect(send.Body.(contract.LeaseRequest).Tallies).To(Equal(map[string]contract.CallTally{"a": {Failed: 1}}))
			}
		}
		Expect(asked).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a server that the list calls suspected", func() {
	It("given a node that never called it, when calls press, then it gets no more than it bears cold, and so for a warm-up afterwards", func() {
		bench := started(warming, told(false, 0))
		bench.now += 10 * time.Second
		bench.Handle(bench.now, told(true, 0))
		for range 10 {
			Expect(sentTo(bench, "a", time.Second)).To(And(BeNumerically(">", 0), BeNumerically("<=", 10*1.5+5)))
		}
		bench.Handle(bench.now, told(false, 0))
		for range 3 {
			Expect(sentTo(bench, "a", time.Second)).To(BeNumerically("<=", 10*1.5+5))
		}
		Expect(sentTo(bench, "a", time.Second)).To(BeNumerically(">", 50))
	})

	It("given a node that hears it all the time, when calls press, then nothing changes there, until it was silent for a while", func() {
		bench := started(warming, told(false, 0))
		bench.now += 10 * time.Second
		sentTo(bench, "a", time.Second)
		bench.Handle(bench.now, told(true, 0))
		Expect(sentTo(bench, "a", 5*time.Second)).To(BeNumerically(">", 250))
		bench.now += bench.terms.Contact
		Expect(sentTo(bench, "a", time.Second)).To(BeNumerically("<=", 10*1.5+5))
		bench.Handle(bench.now, told(false, 0))
		Expect(sentTo(bench, "a", time.Second)).To(BeNumerically("<=", 10*1.5+5))
	})

	It("given a call that waits while a suspected server is silent, when the answer comes, then the server is taken for cold", func() {
		bench := started(warming, told(false, 0))
		bench.now += 10 * time.Second
		waiting := bench.sent("/write/x")
		for waiting.Server.Name != "a" {
			waiting = bench.sent("/write/x")
		}
		bench.Handle(bench.now, told(true, 0))
		bench.now += bench.terms.Contact
		bench.Handle(bench.now, Head{Token: waiting.Token, Attempt: waiting.Attempt})
		Expect(sentTo(bench, "a", time.Second)).To(BeNumerically("<=", 10*1.5+5))
	})

	It("given a service whose servers are never cold, when one is suspected, then nothing changes", func() {
		bench := started(nil, told(true, 0))
		Expect(sentTo(bench, "a", time.Second)).To(BeNumerically(">", 50))
	})

	It("given a node that has no part of it, when it is the only server, then a first call goes there, but no further attempt", func() {
		bench := started(warming, told(true, 0))
		bench.now += 10 * time.Second
		bench.Handle(bench.now, ranked("a", 40, 39))
		for range 20 {
			dispatch := bench.sent("/read/x")
			Expect(dispatch.Server.Name).To(Equal("b"))
			Expect(bench.ends(dispatch, NotRun)).To(BeAssignableToTypeOf(Refuse{}))
		}
		bench.Handle(bench.now, listOf("east", told(true, 0).Servers[0]))
		Expect(bench.sent("/read/x").Server.Name).To(Equal("a"))
	})
})

var _ = Describe("a server that rests for all", func() {
	for _, step := range []struct {
		ill   int64
		tries int
	}{{2, trialNodes}, {1, 10}} {
		It(fmt.Sprintf("given 40 nodes, when it has %d steps to go, then the first %d in the order try it, one call at a time, and no others", step.ill, step.tries), func() {
			for place := range 40 {
				bench := started(nil, told(true, step.ill))
				bench.Handle(bench.now, ranked("a", 40, place))
				span := 4 * time.Second
				count := sentTo(bench, "a", span)
				if place >= step.tries {
					Expect(count).To(BeZero(), "place %d", place)
					continue
				}
				Expect(count).To(And(BeNumerically(">", 0), BeNumerically("<=", int(span/(bench.terms.Contact/4)))), "place %d", place)
			}
		})
	}

	It("given a server that is well again, when the list tells it, then it serves like the others", func() {
		bench := started(nil, told(true, 2))
		bench.Handle(bench.now, ranked("a", 40, 39))
		Expect(sentTo(bench, "a", time.Second)).To(BeZero())
		bench.Handle(bench.now, told(false, 0))
		Expect(sentTo(bench, "a", time.Second)).To(BeNumerically(">", 50))
	})

	It("given no other server, when calls come, then they go there rather than being refused", func() {
		bench := started(nil, listOf("east", told(true, 2).Servers[0]))
		bench.Handle(bench.now, ranked("a", 40, 39))
		Expect(bench.sent("/write/x").Server.Name).To(Equal("a"))
	})
})
