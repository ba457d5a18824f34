package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/gomega"
)

// withEngines makes every server of the service a model server with a prompt cache.
func withEngines(read *manifest.Manifest) {
	read.Gateway.Services["s"] = manifest.Service{Engine: &manifest.Engine{Slots: 48, TokenCapacity: 300000, TokensPerStep: 5}}
}

func longPrompt(own string) engine.Prompt {
	return engine.Prompt{Model: "m", Input: 14000, Output: 100, Parts: []engine.Part{{ID: "contract", Tokens: 13000}, {ID: own, Tokens: 1000}}}
}

// completeAfter delivers the first chunk of a dispatch after a time, and then the end of a complete answer.
func (router *testRouter) completeAfter(dispatch Dispatch, span time.Duration) {
	GinkgoHelper()
	router.now += span
	router.Handle(router.now, HeadReceived{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: &Load{Running: 1, Slots: 48}})
	router.Handle(router.now, StreamStarted{Token: dispatch.Token, Attempt: dispatch.Attempt})
	Expect(router.endDispatch(dispatch, OutcomeComplete)).To(BeAssignableToTypeOf(PassAnswer{}))
}

var _ = Describe("the check of a server's prompt cache", func() {
	const quick, slow = 60 * time.Millisecond, 600 * time.Millisecond

	withCachedPrompt := func() (*testRouter, string) {
		router := startedRouter(withEngines, eastList("a", "b", "c", "d", "e", "f"))
		first := router.dispatchPrompt("/stream/x", longPrompt("one"))
		router.completeAfter(first, slow)
		return router, first.Server.Name
	}

	It("given a server that caches what it read, when more calls share it, then they go there and nothing is doubted", func() {
		router, holder := withCachedPrompt()
		for _, own := range []string{"two", "three", "four"} {
			dispatch := router.dispatchPrompt("/stream/x", longPrompt(own))
			Expect(dispatch.Server.Name).To(Equal(holder))
			router.completeAfter(dispatch, quick)
		}
		Expect(router.StaleCaches("east")).To(BeEmpty())
	})

	It("given a server that lost its cache, when two calls in a row are read again, then its index is discarded and reported as stale", func() {
		router, holder := withCachedPrompt()
		router.completeAfter(router.dispatchPrompt("/stream/x", longPrompt("two")), slow)
		Expect(router.StaleCaches("east")).To(BeEmpty(), "one slow call proves nothing")
		router.completeAfter(router.dispatchPrompt("/stream/x", longPrompt("three")), slow)
		Expect(router.StaleCaches("east")).To(Equal(map[string]int64{holder: 0}))
		Expect(router.servers[holder].cacheCheck.isDistrusted(router.now)).To(BeTrue())
		Expect(router.servers[holder].cacheEstimate.CachedTokens(longPrompt("four"))).To(Equal(int64(13000)), "the last call was read there")
	})

	It("given a server that other nodes keep busy, when first chunks are late, then the index is not blamed", func() {
		router, _ := withCachedPrompt()
		for _, own := range []string{"two", "three", "four"} {
			dispatch := router.dispatchPrompt("/stream/x", longPrompt(own))
			router.now += slow
			router.Handle(router.now, HeadReceived{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: &Load{Running: 40, Waiting: 6, Slots: 48}})
			router.Handle(router.now, StreamStarted{Token: dispatch.Token, Attempt: dispatch.Attempt})
			router.endDispatch(dispatch, OutcomeComplete)
		}
		Expect(router.StaleCaches("east")).To(BeEmpty())
	})

	It("given another server that certainly caches the prompt, when the holder's index is discarded, then calls go to that server", func() {
		router, holder := withCachedPrompt()
		other := router.serverOtherThan(holder)
		other.cacheEstimate = engine.NewCacheEstimate(300000)
		other.cacheEstimate.Add(longPrompt("kept"))
		router.Handle(router.now, listWithCacheGeneration(holder, 1))
		Expect(router.dispatchPrompt("/stream/x", longPrompt("two")).Server.Name).To(Equal(other.Name))
	})

	It("given a discarded index, when no server certainly caches the prompt, then it is read again at its holder only", func() {
		router, holder := withCachedPrompt()
		router.Handle(router.now, listWithCacheGeneration(holder, 1))
		for _, own := range []string{"two", "three", "four"} {
			Expect(router.dispatchPrompt("/stream/x", longPrompt(own)).Server.Name).To(Equal(holder))
		}
	})

	It("given a discarded index, when its time is over, then the holder is believed again", func() {
		router, holder := withCachedPrompt()
		router.Handle(router.now, listWithCacheGeneration(holder, 1))
		Expect(router.presumedCached(router.now, router.servers[holder], longPrompt("two"), holder)).To(BeZero())
		router.now += router.policy.RepeatWindow + time.Second
		Expect(router.presumedCached(router.now, router.servers[holder], longPrompt("two"), holder)).To(Equal(int64(13000)))
	})

	It("given an index that this node reported as wrong, when the owner assigns a new generation, then reporting stops and what was seen since is kept", func() {
		router, holder := withCachedPrompt()
		for _, own := range []string{"two", "three"} {
			router.completeAfter(router.dispatchPrompt("/stream/x", longPrompt(own)), slow)
		}
		router.Handle(router.now, listWithCacheGeneration(holder, 1))
		Expect(router.StaleCaches("east")).To(BeEmpty())
		Expect(router.servers[holder].cacheEstimate.CachedTokens(longPrompt("four"))).To(Equal(int64(13000)))
	})

	It("given a call that may run only once, when its server's cache was wrong, then it is not sent a second time because of that", func() {
		router, _ := withCachedPrompt()
		for _, own := range []string{"two", "three", "four"} {
			dispatch := router.dispatchPrompt("/stream/x", longPrompt(own))
			Expect(router.handleOne(ServerSilent{Token: dispatch.Token, Attempt: dispatch.Attempt})).To(BeAssignableToTypeOf(Wait{}))
			Expect(dispatch.Attempt).To(Equal(1))
			router.completeAfter(dispatch, slow)
		}
	})
})

func (router *testRouter) serverOtherThan(name string) *serverState {
	for _, server := range router.serversByService["s"] {
		if server.Name != name {
			return server
		}
	}
	return nil
}

func listWithCacheGeneration(name string, count int64) ServersListed {
	listed := eastList("a", "b", "c", "d", "e", "f")
	for index := range listed.Servers {
		if listed.Servers[index].Name == name {
			listed.Servers[index].CacheResets = count
		}
	}
	return listed
}
