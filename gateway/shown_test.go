package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	. "github.com/onsi/gomega"
)

// useAfter completes a call with the long prompt at its place and returns the use that it recorded.
func (router *testRouter) useAfter(span time.Duration, load *Load) index.Use {
	GinkgoHelper()
	router.TakePlaceUses()
	dispatch := expectDispatch(router.sendLongPrompt("own"))
	router.now += span
	router.Handle(router.now, HeadReceived{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: load})
	router.Handle(router.now, StreamStarted{Token: dispatch.Token, Attempt: dispatch.Attempt})
	router.endDispatch(dispatch, OutcomeComplete)
	uses := router.TakePlaceUses()
	Expect(uses).To(HaveLen(1))
	return uses[0]
}

func isLate(use index.Use) bool {
	_, late := use.Verdict.MissSlack(time.Duration(use.Took) * time.Millisecond)
	return late
}

var _ = Describe("what a call's first chunk shows about its place", func() {
	const quick, between, slow = 100 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond
	lowLoad := &Load{Running: 1, Slots: 48}

	// routerWithPlace returns a router that was told a place to which it never sent the prompt itself.
	routerWithPlace := func() *testRouter {
		router := routerWithIndex(withEngines)
		dispatch := expectDispatch(router.answerPlace(expectPlaceQuery(router.sendLongPrompt("one")), "b"))
		router.Handle(router.now, DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: OutcomeCallerLeft})
		router.servers["b"].cacheEstimate = engine.NewCacheEstimate(300000)
		return router
	}

	It("given a place that only other nodes used, when the first chunk arrives, then it shows kept, unclear or late, and when", func() {
		router := routerWithPlace()
		use := router.useAfter(quick, lowLoad)
		Expect(use.Verdict).To(Equal(index.Kept))
		Expect(use.At).To(Equal(router.now))
		Expect(router.useAfter(between, lowLoad).Verdict).To(Equal(index.Unclear))
		Expect(isLate(router.useAfter(slow, lowLoad))).To(BeTrue())
	})

	It("given a first chunk that came sooner than reading allows, when the server is busy, then it still shows that the prompt was cached", func() {
		Expect(routerWithPlace().useAfter(quick, &Load{Running: 48, Waiting: 6, Slots: 48}).Verdict).To(Equal(index.Kept))
	})

	It("given a server where other calls wait, or where another call of this node is read, when the first chunk is late, then it is unclear", func() {
		Expect(routerWithPlace().useAfter(slow, &Load{Running: 48, Waiting: 6, Slots: 48}).Verdict).To(Equal(index.Unclear))
		router := routerWithPlace()
		expectDispatch(router.sendLongPrompt("beside"))
		Expect(router.useAfter(slow, lowLoad).Verdict).To(Equal(index.Unclear))
	})

	It("given calls that showed the usual overhead in a region, when one is later than that plus reading, then it is late, and before it was not", func() {
		router, wait := routerWithPlace(), 320*time.Millisecond
		Expect(router.useAfter(wait, lowLoad).Verdict).To(Equal(index.Unclear))
		router.useAfter(quick, lowLoad)
		use := router.useAfter(wait, lowLoad)
		Expect(isLate(use)).To(BeTrue())
		spare, _ := use.Verdict.MissSlack(wait)
		Expect(spare).To(And(BeNumerically(">", 0), BeNumerically("<", wait-presumedReadTime(13000)/2)))
	})

	It("given any result, when it is reported, then no call is refused, sent twice or kept from its place because of it", func() {
		router := routerWithPlace()
		for range 8 {
			Expect(isLate(router.useAfter(slow, lowLoad))).To(BeTrue())
		}
		Expect(expectDispatch(router.sendLongPrompt("next")).Server.Name).To(Equal("b"))
		Expect(router.StaleCaches("east")).To(HaveLen(1), "the check at this node is independent of it")
	})
})

var _ = Describe("a place that moved from its server", func() {
	It("given the owner's message, when the next call arrives, then it queries again once, reports no lost server, and goes where it is told", func() {
		router := routerWithIndex(withEngines)
		key := router.learnPlace("b")
		Expect(router.servers["b"].cacheEstimate.CachedTokens(longPrompt("x"))).To(Equal(int64(13000)))
		router.Handle(router.now, PlacesMoved{Places: []index.Placement{{Key: key}}})
		ask := expectPlaceQuery(router.sendLongPrompt("two"))
		Expect(ask.Ask.Lost).To(BeEmpty())
		Expect(router.servers["b"].cacheEstimate.CachedTokens(longPrompt("x"))).To(BeZero(), "its cache does not contain the prompt")
		Expect(expectDispatch(router.answerPlace(ask, "e")).Server.Name).To(Equal("e"))
		Expect(expectDispatch(router.sendLongPrompt("three")).Server.Name).To(Equal("e"))
	})

	It("given a place that is not known here, when its move is reported, then nothing changes", func() {
		router := routerWithIndex(withEngines)
		router.Handle(router.now, PlacesMoved{Places: []index.Placement{{Key: index.Key{Scope: "s", Anchor: 9}}}})
		Expect(router.places.known.Len()).To(BeZero())
	})
})
