package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	. "github.com/onsi/gomega"
)

// routerWithReplica returns a router that knows a replica of the index nearer than the owner.
func routerWithReplica() *testRouter {
	router := routerWithIndex(withEngines)
	router.Handle(router.now, IndexReachability{OwnerKnown: true, ReplicaNear: true})
	return router
}

func (router *testRouter) expectReplicaQuery(own string) PlaceQuery {
	GinkgoHelper()
	ask := expectPlaceQuery(router.sendLongPrompt(own))
	Expect(ask.Ask.Known).To(BeTrue())
	return ask
}

// refuseFromReplica delivers a refusal of the replica and returns the query to the owner that follows.
func (router *testRouter) refuseFromReplica(near PlaceQuery) PlaceQuery {
	GinkgoHelper()
	ask := expectPlaceQuery(router.handleOne(PlaceAnswer{Token: near.Token}))
	Expect(ask.Ask.Known).To(BeFalse())
	Expect(ask.Token).To(Equal(near.Token))
	return ask
}

func (router *testRouter) expectOwnerQuery(own string) PlaceQuery {
	GinkgoHelper()
	ask := expectPlaceQuery(router.sendLongPrompt(own))
	Expect(ask.Ask.Known).To(BeFalse())
	return ask
}

var _ = Describe("a nearby replica of the index", func() {
	It("given a prompt that is not known here, when a call arrives, then the replica is asked first, with a short timeout and only the key", func() {
		router := routerWithReplica()
		near := router.expectReplicaQuery("one")
		Expect(near.Ask).To(Equal(index.PlacementRequest{Key: near.Ask.Key, Known: true}))
		Expect(near.Ask.Anchor).NotTo(BeZero())
		Expect(near.Timeout).To(Equal(router.policy.Contact / 64))
		Expect(expectDispatch(router.answerPlace(near, "e")).Server.Name).To(Equal("e"))
		Expect(expectDispatch(router.sendLongPrompt("two")).Server.Name).To(Equal("e"))
	})

	It("given a replica that does not know the prompt, when it refuses, then the owner is asked as without it, and both again for the next prompt", func() {
		router, withoutReplica := routerWithReplica(), routerWithIndex(withEngines)
		near := router.expectReplicaQuery("one")
		ask, expected := router.refuseFromReplica(near), expectPlaceQuery(withoutReplica.sendLongPrompt("one"))
		Expect(ask.Ask).To(Equal(expected.Ask))
		Expect(ask.Timeout).To(Equal(expected.Timeout))
		Expect(expectDispatch(router.answerPlace(ask, lastCandidate(ask))).Server.Name).To(Equal(lastCandidate(ask)))
		other := engine.Prompt{Model: "m", Input: 13100, Output: 9, Parts: []engine.Part{{ID: "other", Tokens: 13000}, {ID: "own", Tokens: 100}}}
		next := expectPlaceQuery(router.arrive("/stream/x", withPrompt(other)))
		Expect(next.Ask.Known).To(BeTrue())
		router.refuseFromReplica(next)
	})

	It("given a replica that does not answer in time, when calls arrive, then only the owner is asked for a while, and then the replica again", func() {
		router := routerWithReplica()
		near := router.expectReplicaQuery("one")
		router.now += near.Timeout
		ask := expectPlaceQuery(router.handleOne(PlaceAnswer{Token: near.Token, TimedOut: true}))
		Expect(ask.Ask.Known).To(BeFalse())
		Expect(ask.Ask.Candidates).NotTo(BeEmpty())
		router.now += router.policy.Contact/4 - 1
		router.expectOwnerQuery("two")
		router.now++
		router.expectReplicaQuery("three")
	})

	It("given an owner that does not answer after a replica refused, when calls arrive, then only the replica is asked for a while", func() {
		router := routerWithReplica()
		ask := router.refuseFromReplica(router.expectReplicaQuery("one"))
		Expect(expectDispatch(router.handleOne(PlaceAnswer{Token: ask.Token, TimedOut: true})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		near := router.expectReplicaQuery("two")
		Expect(expectDispatch(router.handleOne(PlaceAnswer{Token: near.Token})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		router.now += router.policy.Contact / 4
		router.refuseFromReplica(router.expectReplicaQuery("three"))
	})

	It("given a replica and an owner that refuse, when calls arrive, then each call asks both once and goes by the rendezvous order", func() {
		router := routerWithReplica()
		for _, own := range []string{"one", "two"} {
			ask := router.refuseFromReplica(router.expectReplicaQuery(own))
			Expect(expectDispatch(router.handleOne(PlaceAnswer{Token: ask.Token})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		}
	})

	It("given a known place that is lost, when a call arrives, then the owner is asked at once", func() {
		router := routerWithReplica()
		sent := expectDispatch(router.answerPlace(router.expectReplicaQuery("one"), "a"))
		router.completeAfter(sent, 600*time.Millisecond)
		router.Handle(router.now, eastList("b", "c", "d", "e", "f"))
		Expect(router.expectOwnerQuery("two").Ask.Lost).To(Equal("a"))
	})

	It("given a replica that names a lost server, when it answers, then the owner is told that it is lost, and is still asked twice at most", func() {
		router := routerWithReplica()
		ask := expectPlaceQuery(router.answerPlace(router.expectReplicaQuery("one"), "gone-0"))
		Expect([]any{ask.Ask.Known, ask.Ask.Lost}).To(Equal([]any{false, "gone-0"}))
		again := expectPlaceQuery(router.answerPlace(ask, "gone-1"))
		Expect([]any{again.Ask.Known, again.Ask.Lost}).To(Equal([]any{false, "gone-1"}))
		Expect(expectDispatch(router.answerPlace(again, "gone-2")).Server.Name).To(Equal(ask.Ask.Candidates[0]))
	})

	It("given a replica that is no longer near, when a call arrives, then the owner is asked at once", func() {
		router := routerWithReplica()
		router.Handle(router.now, IndexReachability{OwnerKnown: true})
		router.expectOwnerQuery("one")
	})

	It("given a caller that leaves while the replica is asked, when the answer is late, then nothing of the call remains, and the replica is still asked afterwards", func() {
		router := routerWithReplica()
		near := router.expectReplicaQuery("one")
		Expect(router.handleOne(DispatchEnded{Token: near.Token, Outcome: OutcomeCallerLeft})).To(BeAssignableToTypeOf(Fail{}))
		Expect(router.handleOne(PlaceAnswer{Token: near.Token, TimedOut: true})).To(BeAssignableToTypeOf(Fail{}))
		Expect(router.calls).To(BeEmpty())
		router.refuseFromReplica(router.expectReplicaQuery("two"))
	})

	It("given only one server, when a call arrives, then nobody is asked", func() {
		router := startedRouter(withEngines, eastList("a"))
		router.Handle(router.now, IndexReachability{OwnerKnown: true, ReplicaNear: true})
		expectDispatch(router.sendLongPrompt("one"))
	})
})
