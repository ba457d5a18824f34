package gateway

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
	. "github.com/onsi/gomega"
)

// withWarmup lets the servers of the service start cold.
func withWarmup(read *manifest.Manifest) {
	read.Gateway.Services["s"] = manifest.Service{WarmupDuration: 3 * time.Second, WarmupRate: 10}
}

// listWithCondition returns the list of servers a and b, with the given condition of a.
func listWithCondition(suspected bool, ill int64) ServersListed {
	suspect := candidate("a", "east-a")
	suspect.Suspected, suspect.RecoverySteps = suspected, ill
	return listOf("east", suspect, candidate("b", "east-a"))
}

// fleetWithRank returns a fleet in which this node has the given rank in the order for a server.
func fleetWithRank(server string, count, place int) FleetChanged {
	names := contract.RendezvousOrder("ramp/"+server, fleetOf(count))
	return FleetChanged{Self: names[place], Names: names}
}

// countSentTo counts the calls that a server gets while a caller sends one every 5 ms, each of which is answered after ten more.
func countSentTo(router *testRouter, name string, span time.Duration) int {
	GinkgoHelper()
	count, ends, running := 0, router.now+span, []Dispatch{}
	for ; router.now < ends; router.now += 5 * time.Millisecond {
		dispatch := router.dispatchCall("/write/x")
		if dispatch.Server.Name == name {
			count++
		}
		if running = append(running, dispatch); len(running) > 10 {
			router.endDispatch(running[0], OutcomeComplete)
			running = running[1:]
		}
	}
	for _, dispatch := range running {
		router.endDispatch(dispatch, OutcomeComplete)
	}
	return count
}

var _ = Describe("the outcomes that a node reports of its servers", func() {
	for _, test := range []struct {
		outcome Outcome
		want    contract.CallTally
	}{{OutcomeNotSent, contract.CallTally{Unconnected: 1}}, {OutcomeBroken, contract.CallTally{Failed: 1}}} {
		It("given a call that ended as "+string(test.outcome)+", when the list is requested, then the tally of its server is reported", func() {
			router := startedRouter(nil, eastList("a"))
			router.endDispatch(router.dispatchCall("/write/x"), test.outcome)
			Expect(router.Tallies(router.now, "east")).To(Equal(map[string]contract.CallTally{"a": test.want}))
			Expect(router.Tallies(router.now, "west")).To(BeEmpty())
		})
	}

	It("given a silent server, when the list is requested, then the call is reported as failed rather than lost, since the server may be slow", func() {
		router := startedRouter(nil, eastList("a"))
		first := router.dispatchCall("/write/x")
		router.now += first.SilenceTimeout
		router.handleOne(ServerSilent{Token: first.Token, Attempt: first.Attempt})
		Expect(router.Tallies(router.now, "east")).To(Equal(map[string]contract.CallTally{"a": {Failed: 1}}))
	})

	It("given a server error, when the list is requested, then it is reported as a failed call", func() {
		router := startedRouter(nil, eastList("a"))
		dispatch := router.dispatchCall("/write/x")
		router.handleOne(DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: OutcomeComplete, ServerError: true})
		Expect(router.Tallies(router.now, "east")).To(Equal(map[string]contract.CallTally{"a": {Failed: 1}}))
	})

	It("given servers that answer, when the list is requested, then only the watched one is reported", func() {
		list := listWithCondition(false, 0)
		list.Servers[0].HealthTracked = true
		router := startedRouter(nil, list)
		Expect(countSentTo(router, "a", time.Second)).To(BeNumerically(">", 0))
		tallies := router.Tallies(router.now, "east")
		Expect(tallies).To(HaveLen(1))
		Expect(tallies["a"].Succeeded).To(BeNumerically(">", 0))
	})

	It("given a call that failed, when the contact time has passed, then it is no longer reported", func() {
		router := startedRouter(nil, eastList("a"))
		router.endDispatch(router.dispatchCall("/write/x"), OutcomeBroken)
		Expect(router.Tallies(router.now+router.policy.Contact/2, "east")).NotTo(BeEmpty())
		Expect(router.Tallies(router.now+router.policy.Contact, "east")).To(BeEmpty())
	})

	It("given a node that lost nearly all servers that it called, when the list is requested, then it reports none", func() {
		router := startedRouter(nil, eastList("a", "b", "c", "d"))
		for range 4 {
			router.endDispatch(router.dispatchCall("/write/x"), OutcomeNotSent)
		}
		Expect(router.Tallies(router.now, "east")).To(BeEmpty())
	})

	It("given very many servers that fail, when the list is requested, then a limited number is reported, those with the most failures", func() {
		names := []string{}
		for index := range 2 * maxTallies {
			names = append(names, fmt.Sprintf("server%03d", index))
		}
		router := startedRouter(nil, eastList(names...))
		for index, name := range names {
			router.servers[name].outcomes.current(router.now, router.policy.Contact/2).Failed = int64(index + 1)
		}
		tallies := router.Tallies(router.now, "east")
		Expect(tallies).To(HaveLen(maxTallies))
		Expect(tallies).To(HaveKey(names[len(names)-1]))
		Expect(tallies).NotTo(HaveKey(names[0]))
	})

	It("given a call that failed, when the node requests the list, then the tally is part of the request", func() {
		node := startedNode()
		owner := contract.Member{Name: "owner-control", Boot: "b", Kind: contract.KindControl, Zone: "east-a", Region: "east", Address: "10.0.0.9:8166"}
		node.addMembers(owner)
		router := node.reports.(*Router)
		router.Handle(node.now, configuration(nil))
		router.Handle(node.now, eastList("a"))
		router.Handle(node.now, ServersListed{Region: "west"})
		sent := router.Handle(node.now, CallArrived{Token: 1, Host: "h.example", Path: "/write/x"})[0].(Dispatch)
		router.Handle(node.now, DispatchEnded{Token: 1, Attempt: sent.Attempt, Outcome: OutcomeBroken})
		node.now += node.listRequestInterval()
		asked := 0
		for _, command := range node.process(contract.Tick{}) {
			if send, ok := command.(contract.Send); ok && send.Kind == shard.MessageLeaseRequest && send.Body.(contract.LeaseRequest).Region == "east" {
				asked++
				Expect(send.Body.(contract.LeaseRequest).Tallies).To(Equal(map[string]contract.CallTally{"a": {Failed: 1}}))
			}
		}
		Expect(asked).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a server that the list marks as suspected", func() {
	It("given a node that never called it, when many calls arrive, then it gets no more than a cold server may, also for one warm-up afterwards", func() {
		router := startedRouter(withWarmup, listWithCondition(false, 0))
		router.now += 10 * time.Second
		router.Handle(router.now, listWithCondition(true, 0))
		for range 10 {
			Expect(countSentTo(router, "a", time.Second)).To(And(BeNumerically(">", 0), BeNumerically("<=", 10*1.5+5)))
		}
		router.Handle(router.now, listWithCondition(false, 0))
		for range 3 {
			Expect(countSentTo(router, "a", time.Second)).To(BeNumerically("<=", 10*1.5+5))
		}
		Expect(countSentTo(router, "a", time.Second)).To(BeNumerically(">", 50))
	})

	It("given a node that hears from it all the time, when many calls arrive, then nothing changes, until it was silent for a while", func() {
		router := startedRouter(withWarmup, listWithCondition(false, 0))
		router.now += 10 * time.Second
		countSentTo(router, "a", time.Second)
		router.Handle(router.now, listWithCondition(true, 0))
		Expect(countSentTo(router, "a", 5*time.Second)).To(BeNumerically(">", 250))
		router.now += router.policy.Contact
		Expect(countSentTo(router, "a", time.Second)).To(BeNumerically("<=", 10*1.5+5))
		router.Handle(router.now, listWithCondition(false, 0))
		Expect(countSentTo(router, "a", time.Second)).To(BeNumerically("<=", 10*1.5+5))
	})

	It("given a call that waits while a suspected server is silent, when the answer comes, then the server is treated as cold", func() {
		router := startedRouter(withWarmup, listWithCondition(false, 0))
		router.now += 10 * time.Second
		waiting := router.dispatchCall("/write/x")
		for waiting.Server.Name != "a" {
			waiting = router.dispatchCall("/write/x")
		}
		router.Handle(router.now, listWithCondition(true, 0))
		router.now += router.policy.Contact
		router.Handle(router.now, HeadReceived{Token: waiting.Token, Attempt: waiting.Attempt})
		Expect(countSentTo(router, "a", time.Second)).To(BeNumerically("<=", 10*1.5+5))
	})

	It("given a service whose servers are never cold, when one is suspected, then nothing changes", func() {
		router := startedRouter(nil, listWithCondition(true, 0))
		Expect(countSentTo(router, "a", time.Second)).To(BeNumerically(">", 50))
	})

	It("given a node that has no share of it, when it is the only server, then a first attempt goes there, but no further one", func() {
		router := startedRouter(withWarmup, listWithCondition(true, 0))
		router.now += 10 * time.Second
		router.Handle(router.now, fleetWithRank("a", 40, 39))
		for range 20 {
			dispatch := router.dispatchCall("/read/x")
			Expect(dispatch.Server.Name).To(Equal("b"))
			Expect(router.endDispatch(dispatch, OutcomeNotRun)).To(BeAssignableToTypeOf(Refuse{}))
		}
		router.Handle(router.now, listOf("east", listWithCondition(true, 0).Servers[0]))
		Expect(router.dispatchCall("/read/x").Server.Name).To(Equal("a"))
	})
})

var _ = Describe("a server that rests for all", func() {
	for _, step := range []struct {
		ill   int64
		tries int
	}{{2, probingNodes}, {1, 10}} {
		It(fmt.Sprintf("given 40 nodes, when it has %d steps to go, then the first %d in the order probe it, one call at a time, and no others", step.ill, step.tries), func() {
			for rank := range 40 {
				router := startedRouter(nil, listWithCondition(true, step.ill))
				router.Handle(router.now, fleetWithRank("a", 40, rank))
				span := 4 * time.Second
				count := countSentTo(router, "a", span)
				if rank >= step.tries {
					Expect(count).To(BeZero(), "place %d", rank)
					continue
				}
				Expect(count).To(And(BeNumerically(">", 0), BeNumerically("<=", int(span/(router.policy.Contact/4)))), "place %d", rank)
			}
		})
	}

	It("given a server that is well again, when the list says so, then it serves like the others", func() {
		router := startedRouter(nil, listWithCondition(true, 2))
		router.Handle(router.now, fleetWithRank("a", 40, 39))
		Expect(countSentTo(router, "a", time.Second)).To(BeZero())
		router.Handle(router.now, listWithCondition(false, 0))
		Expect(countSentTo(router, "a", time.Second)).To(BeNumerically(">", 50))
	})

	It("given no other server, when calls arrive, then they go there rather than being refused", func() {
		router := startedRouter(nil, listOf("east", listWithCondition(true, 2).Servers[0]))
		router.Handle(router.now, fleetWithRank("a", 40, 39))
		Expect(router.dispatchCall("/write/x").Server.Name).To(Equal("a"))
	})
})
