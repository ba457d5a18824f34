package gateway

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/gomega"
)

func shortSharedPrompt(own string) engine.Prompt {
	return engine.Prompt{Model: "m", Input: 1900, Output: 100, Parts: []engine.Part{{ID: "terms", Tokens: minSharedTokens - 1}, {ID: own, Tokens: 901}}}
}

func withPrompt(prompt engine.Prompt) func(*CallArrived) {
	return func(arrive *CallArrived) { arrive.Prompt = prompt }
}

// routerWithIndex returns a router that knows an owner of the index.
func routerWithIndex(change func(*manifest.Manifest)) *testRouter {
	router := startedRouter(change, eastList("a", "b", "c", "d", "e", "f"))
	router.Handle(router.now, IndexReachability{OwnerKnown: true})
	return router
}

func expectPlaceQuery(command contract.Command) PlaceQuery {
	GinkgoHelper()
	Expect(command).To(BeAssignableToTypeOf(PlaceQuery{}))
	return command.(PlaceQuery)
}

func (router *testRouter) sendLongPrompt(own string) contract.Command {
	GinkgoHelper()
	return router.arrive("/stream/x", withPrompt(longPrompt(own)))
}

// answerPlace answers a query with a place and returns what the call does then.
func (router *testRouter) answerPlace(ask PlaceQuery, server string) contract.Command {
	GinkgoHelper()
	return router.handleOne(PlaceAnswer{Token: ask.Token, Place: index.Placement{Key: ask.Ask.Key, Server: server}})
}

// learnPlace places the long prompt on the server, by a call that completes.
func (router *testRouter) learnPlace(server string) index.Key {
	GinkgoHelper()
	ask := expectPlaceQuery(router.sendLongPrompt("first"))
	sent := expectDispatch(router.answerPlace(ask, server))
	Expect(sent.Server.Name).To(Equal(server))
	router.completeAfter(sent, 600*time.Millisecond)
	return ask.Ask.Key
}

// lastCandidate returns the last candidate in the rendezvous order.
func lastCandidate(ask PlaceQuery) string { return ask.Ask.Candidates[len(ask.Ask.Candidates)-1] }

var _ = Describe("the query for a prompt's place", func() {
	It("given a long shared prompt that is not known here, when a call arrives, then it is queried once with the candidates in the rendezvous order", func() {
		left, right := routerWithIndex(withEngines), routerWithIndex(withEngines)
		ask := expectPlaceQuery(left.sendLongPrompt("one"))
		Expect(ask.Ask.Lost).To(BeEmpty())
		Expect(ask.Ask.Work).To(Equal(int64(14000 / presumedTokensPerMs)))
		Expect(ask.Ask.Candidates).To(ConsistOf("a", "b", "c", "d", "e", "f"))
		Expect(ask.Timeout).To(Equal(left.policy.Contact / 16))
		Expect(expectPlaceQuery(right.sendLongPrompt("two")).Ask).To(Equal(ask.Ask), "another node sends the same query for the same shared prompt")
		reference := startedRouter(withEngines, eastList("a", "b", "c", "d", "e", "f"))
		Expect(reference.dispatchPrompt("/stream/x", longPrompt("one")).Server.Name).To(Equal(ask.Ask.Candidates[0]))
	})

	DescribeTable("given a call that has no place in the index, when it arrives, then it is sent at once", func(change func(*manifest.Manifest), prompt engine.Prompt, known bool, servers ...string) {
		router := startedRouter(change, eastList(servers...))
		router.Handle(router.now, IndexReachability{OwnerKnown: known})
		Expect(expectDispatch(router.arrive("/stream/x", withPrompt(prompt))).Server.Name).NotTo(BeEmpty())
	},
		Entry("short shared prompt", withEngines, shortSharedPrompt("one"), true, "a", "b"),
		Entry("no prompt", withEngines, engine.Prompt{}, true, "a", "b"),
		Entry("service without engines", nil, longPrompt("one"), true, "a", "b"),
		Entry("no owner known", withEngines, longPrompt("one"), false, "a", "b"),
		Entry("only one server", withEngines, longPrompt("one"), true, "a"),
	)

	It("given an owner that is no longer known, when a call arrives, then it is not asked", func() {
		router := routerWithIndex(withEngines)
		router.Handle(router.now, IndexReachability{OwnerKnown: false})
		expectDispatch(router.sendLongPrompt("one"))
	})

	It("given no answer, when calls arrive, then they go by the rendezvous order, and this node asks again only after a while", func() {
		router := routerWithIndex(withEngines)
		ask := expectPlaceQuery(router.sendLongPrompt("one"))
		router.now += ask.Timeout
		Expect(expectDispatch(router.handleOne(PlaceAnswer{Token: ask.Token, TimedOut: true})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		router.now += router.policy.Contact/4 - 1
		expectDispatch(router.sendLongPrompt("two"))
		router.now++
		expectPlaceQuery(router.sendLongPrompt("three"))
	})

	It("given an owner that refuses, when calls arrive, then each goes by the rendezvous order after one query, and others ask at once", func() {
		router := routerWithIndex(withEngines)
		for _, own := range []string{"one", "two"} {
			ask := expectPlaceQuery(router.sendLongPrompt(own))
			Expect(expectDispatch(router.handleOne(PlaceAnswer{Token: ask.Token})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		}
		ask := expectPlaceQuery(router.sendLongPrompt("three"))
		Expect(expectDispatch(router.answerPlace(ask, lastCandidate(ask))).Server.Name).To(Equal(lastCandidate(ask)))
	})

	It("given an answer, when calls arrive, then they go to the place, whatever the rendezvous order says, and nobody is asked", func() {
		router := routerWithIndex(withEngines)
		ask := expectPlaceQuery(router.sendLongPrompt("one"))
		expected := lastCandidate(ask)
		Expect(expectDispatch(router.answerPlace(ask, expected)).Server.Name).To(Equal(expected))
		Expect(expectDispatch(router.sendLongPrompt("two")).Server.Name).To(Equal(expected))
	})

	It("given more prompts than are remembered, when more arrive, then the least recently used one is queried again", func() {
		router := routerWithIndex(withEngines)
		key := router.learnPlace("a")
		places := []index.Placement{}
		for anchor := range uint64(maxKnownPlaces) {
			places = append(places, index.Placement{Key: index.Key{Scope: key.Scope, Anchor: anchor}, Server: "b"})
		}
		router.Handle(router.now, PlacesMoved{Places: places})
		Expect(router.places.known.Len()).To(Equal(maxKnownPlaces))
		Expect(expectPlaceQuery(router.sendLongPrompt("two")).Ask.Lost).To(BeEmpty())
	})
})

var _ = Describe("a place that is no longer available", func() {
	DescribeTable("given a known place, when it is unavailable for longer than a moment, then the next call reports it as lost and goes where it moved",
		func(gone func(*testRouter, string)) {
			router := routerWithIndex(withEngines)
			router.learnPlace("a")
			gone(router, "a")
			ask := expectPlaceQuery(router.sendLongPrompt("two"))
			Expect(ask.Ask.Lost).To(Equal("a"))
			Expect(ask.Ask.Candidates).NotTo(ContainElement("a"))
			moved := expectDispatch(router.answerPlace(ask, "b"))
			Expect(moved.Server.Name).To(Equal("b"))
			router.completeAfter(moved, 600*time.Millisecond)
			Expect(expectDispatch(router.sendLongPrompt("three")).Server.Name).To(Equal("b"))
		},
		Entry("unlisted", func(router *testRouter, _ string) { router.Handle(router.now, eastList("b", "c", "d", "e", "f")) }),
		Entry("unlisted, with a call in flight", func(router *testRouter, name string) {
			router.servers[name].inFlight++
			router.Handle(router.now, eastList("b", "c", "d", "e", "f"))
		}),
		Entry("its zone drained", func(router *testRouter, name string) {
			listed := eastList("a", "b", "c", "d", "e", "f")
			listed.Servers[0].Zone = "east-b"
			router.Handle(router.now, listed)
			router.Handle(router.now, configuration(func(read *manifest.Manifest) {
				withEngines(read)
				read.Zones["east-b"] = manifest.Zone{Region: "east", Drained: true}
			}))
		}),
		Entry("wrong server at its address", func(router *testRouter, name string) {
			again := expectDispatch(router.endDispatch(expectDispatch(router.sendLongPrompt("moved")), OutcomeWrongServer))
			Expect(again.Server.Name).NotTo(Equal(name))
			router.endDispatch(again, OutcomeComplete)
			router.servers[again.Server.Name].cacheEstimate.Clear()
		}),
		Entry("failing", func(router *testRouter, name string) {
			for range 4 {
				router.recordFault(router.now, router.servers[name])
			}
		}),
	)

	It("given a place that failed once, when a call arrives, then nobody is asked and the place stays", func() {
		router := routerWithIndex(withEngines)
		router.learnPlace("a")
		router.recordFault(router.now, router.servers["a"])
		Expect(expectDispatch(router.sendLongPrompt("two")).Server.Name).NotTo(Equal("a"), "it rests")
		router.now += router.policy.Contact
		Expect(expectDispatch(router.sendLongPrompt("three")).Server.Name).To(Equal("a"))
	})

	It("given an owner that answers with places that this node knows to be lost, when it is asked, then it is asked twice at most", func() {
		router := routerWithIndex(withEngines)
		ask := expectPlaceQuery(router.sendLongPrompt("one"))
		again := expectPlaceQuery(router.answerPlace(ask, "gone-1"))
		Expect(again.Ask.Lost).To(Equal("gone-1"))
		Expect(expectDispatch(router.answerPlace(again, "gone-2")).Server.Name).To(Equal(ask.Ask.Candidates[0]))
	})
})

var _ = Describe("a caller that leaves during a place query", func() {
	It("given a pending query, when its caller leaves, then nothing of the call remains, and a late answer sends nothing", func() {
		router := routerWithIndex(withEngines)
		ask := expectPlaceQuery(router.sendLongPrompt("one"))
		Expect(router.handleOne(DispatchEnded{Token: ask.Token, Outcome: OutcomeCallerLeft})).To(BeAssignableToTypeOf(Fail{}))
		Expect(router.calls).To(BeEmpty())
		Expect(router.answerPlace(ask, "b")).To(BeAssignableToTypeOf(Fail{}))
		Expect(router.calls).To(BeEmpty())
		Expect(router.CallsInFlight("east")).To(BeEmpty())
		Expect(expectDispatch(router.sendLongPrompt("two")).Server.Name).To(Equal("b"), "but the place was learned")
	})
})

var _ = Describe("the uses that a node reports to the owner of the index", func() {
	It("given calls that went to a place, when they are reported, then each is reported once with its wait, and other calls are not", func() {
		router := routerWithIndex(withEngines)
		Expect(router.TakePlaceUses()).To(BeEmpty())
		key := router.learnPlace("b")
		router.completeAfter(router.dispatchPrompt("/stream/x", shortSharedPrompt("one")), 20*time.Millisecond)
		Expect(router.TakePlaceUses()).To(Equal([]index.Use{{Key: key, Server: "b", Took: 600, Verdict: index.MissVerdict(600*time.Millisecond, 317*time.Millisecond), At: 1600 * time.Millisecond}}))
		Expect(router.TakePlaceUses()).To(BeEmpty())
	})

	It("given a call that did not go to its place, when uses are reported, then it is not among them", func() {
		router := routerWithIndex(withEngines)
		router.learnPlace("b")
		router.TakePlaceUses()
		router.recordFault(router.now, router.servers["b"])
		sent := expectDispatch(router.sendLongPrompt("two"))
		Expect(sent.Server.Name).NotTo(Equal("b"))
		router.completeAfter(sent, 600*time.Millisecond)
		Expect(router.TakePlaceUses()).To(BeEmpty())
	})

	It("given more uses than the limit, when nobody takes them, then the rest is dropped", func() {
		router := routerWithIndex(withEngines)
		router.learnPlace("b")
		for range index.MaxUses + 20 {
			router.completeAfter(expectDispatch(router.sendLongPrompt("one")), time.Millisecond)
		}
		Expect(router.TakePlaceUses()).To(HaveLen(index.MaxUses))
	})

	It("given a moved place, when the next call arrives, then it goes there without a query", func() {
		router := routerWithIndex(withEngines)
		key := router.learnPlace("b")
		router.Handle(router.now, PlacesMoved{Places: []index.Placement{{Key: key, Server: "e"}}})
		Expect(expectDispatch(router.sendLongPrompt("two")).Server.Name).To(Equal("e"))
	})
})

var _ = Describe("prompts of one root", func() {
	It("given prompts with two shared parts, when they are queried, then each has its own place, its root is sent, and the first candidates are the same", func() {
		names := []string{}
		for number := range 3 * index.MaxCandidates {
			names = append(names, fmt.Sprintf("s%02d", number))
		}
		router := startedRouter(withEngines, eastList(names...))
		router.Handle(router.now, IndexReachability{OwnerKnown: true})
		ask := func(branch string) index.PlacementRequest {
			GinkgoHelper()
			return expectPlaceQuery(router.arrive("/stream/x", withPrompt(engine.Prompt{Model: "m", Input: 7000, Output: 9, Parts: []engine.Part{
				{ID: "root", Tokens: 4000}, {ID: branch, Tokens: 2000}, {ID: "own", Tokens: 1000}}}))).Ask
		}
		first, second := ask("x"), ask("y")
		Expect(first.Anchor).NotTo(Equal(second.Anchor))
		Expect(first.Root).NotTo(BeZero())
		Expect(first.Root).To(Equal(second.Root))
		Expect(first.Work).To(Equal(router.readTime("s", 7000).Milliseconds()))
		Expect(first.RootWork).To(Equal(router.readTime("s", 4000).Milliseconds()))
		Expect(first.Candidates[:rootCandidates]).To(Equal(second.Candidates[:rootCandidates]))
		Expect(first.Candidates).NotTo(Equal(second.Candidates))
	})

	It("given a prompt with one shared part, when it is queried, then no root is sent", func() {
		router := routerWithIndex(withEngines)
		Expect(expectPlaceQuery(router.sendLongPrompt("one")).Ask.Root).To(BeZero())
	})
})

var _ = Describe("the scope of a place", func() {
	It("given a route that is bound to a region, when its calls share a prompt with others, then they have a place of their own", func() {
		router := routerWithIndex(func(read *manifest.Manifest) {
			withEngines(read)
			changeRoute("resumed", func(route *manifest.GatewayRoute) { route.AllowedRegions = []string{"east"} })(read)
		})
		router.Handle(router.now, listOf("west", candidate("w1", "west-a"), candidate("w2", "west-a")))
		free := expectPlaceQuery(router.sendLongPrompt("one"))
		Expect(free.Ask.Candidates).To(ContainElement("w1"))
		expectDispatch(router.answerPlace(free, "w1"))
		bound := expectPlaceQuery(router.arrive("/resumed/x", withPrompt(longPrompt("two"))))
		Expect(bound.Ask.Anchor).To(Equal(free.Ask.Anchor))
		Expect(bound.Ask.Scope).NotTo(Equal(free.Ask.Scope))
		Expect(bound.Ask.Candidates).NotTo(ContainElements("w1"))
		Expect(expectDispatch(router.answerPlace(bound, "c")).Server.Name).To(Equal("c"))
	})
})

var _ = Describe("a node without an index", func() {
	It("given no owner and an owner that never answers, when the same calls arrive, then both go by the rendezvous order, as without an index", func() {
		withoutOwner, unanswered := startedRouter(withEngines, eastList("a", "b", "c", "d", "e", "f")), routerWithIndex(withEngines)
		for _, id := range []string{"p", "q", "r", "s", "t", "u", "v", "w"} {
			prompt := engine.Prompt{Model: "m", Input: 13100, Output: 9, Parts: []engine.Part{{ID: id, Tokens: 13000}, {ID: "own", Tokens: 100}}}
			want, best := "", uint64(0)
			for _, server := range withoutOwner.serversByService["s"] {
				if weight := mixHash(server.nameHash ^ prompt.Anchor()); want == "" || weight > best {
					want, best = server.Name, weight
				}
			}
			Expect(withoutOwner.dispatchPrompt("/stream/x", prompt).Server.Name).To(Equal(want))
			command := unanswered.arrive("/stream/x", withPrompt(prompt))
			if ask, asks := command.(PlaceQuery); asks {
				command = unanswered.handleOne(PlaceAnswer{Token: ask.Token, TimedOut: true})
			}
			Expect(expectDispatch(command).Server.Name).To(Equal(want))
		}
	})
})
