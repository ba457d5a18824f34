package gateway

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	. "github.com/onsi/gomega"
)

var _ = Describe("the reading speed of engines", func() {
	const slow = 50 * time.Millisecond
	// sendUnshared sends a prompt with a number of unshared tokens, whose first chunk comes after a time.
	sendUnshared := func(router *testRouter, own int64, span time.Duration) {
		sent := router.dispatchPrompt("/stream/x", engine.Prompt{Model: "m", Input: own, Output: 9, Parts: []engine.Part{{ID: fmt.Sprint("own", router.token), Tokens: own}}})
		router.now += span
		router.Handle(router.now, StreamStarted{Token: sent.Token, Attempt: sent.Attempt})
		router.Handle(router.now, DispatchEnded{Token: sent.Token, Attempt: sent.Attempt, Outcome: OutcomeComplete})
	}

	It("given no observation, when a time is estimated, then it is the default", func() {
		Expect(NewRouter(settingsFor("n"), seededRandom(1)).readTime("s", 1000)).To(Equal(defaultReadTime))
	})

	It("given long unshared prompts, some behind others, when their first chunks arrive, then the time is learned, less what small prompts take", func() {
		router := startedRouter(withEngines, eastList("a", "b"))
		for turn := range 30 {
			sendUnshared(router, 100, 40*time.Millisecond)
			wait := time.Duration(0)
			if turn%2 > 0 {
				wait = 300 * time.Millisecond
			}
			sendUnshared(router, 4000, 40*time.Millisecond+4*slow+wait)
		}
		Expect(router.readTime("s", 1000)).To(BeNumerically("~", slow, time.Millisecond))
		Expect(router.Observations(router.now, "east").PrefillUsPerK).To(Equal(map[string]int64{"s": slow.Microseconds()}))
	})

	It("given observations of all nodes, when this node observed something else, then those of all nodes are used, within bounds", func() {
		router := startedRouter(withEngines, eastList("a", "b"))
		sendUnshared(router, 4000, 4*slow)
		router.Handle(router.now, ObservationsChanged{Region: "east", CallObservations: contract.CallObservations{PrefillUsPerK: map[string]int64{"s": 30000}}})
		Expect(router.readTime("s", 1000)).To(Equal(30 * time.Millisecond))
		router.Handle(router.now, ObservationsChanged{Region: "east", CallObservations: contract.CallObservations{PrefillUsPerK: map[string]int64{"s": 1 << 40}}})
		Expect(router.readTime("s", 1000)).To(Equal(defaultReadTime * readTimeSpread))
		router.Handle(router.now, ObservationsChanged{Region: "east", CallObservations: contract.CallObservations{PrefillUsPerK: map[string]int64{"s": 1}}})
		Expect(router.readTime("s", 1000)).To(Equal(defaultReadTime / readTimeSpread))
	})

	It("given calls that show nothing about reading, when their first chunks arrive, then nothing is learned", func() {
		router := startedRouter(withEngines, eastList("a"))
		sent := router.dispatchPrompt("/stream/x", engine.Prompt{Model: "m", Input: 4000, Output: 9, Parts: []engine.Part{{ID: "x", Tokens: 4000}}})
		behind := router.dispatchPrompt("/stream/x", engine.Prompt{Model: "m", Input: 4000, Output: 9, Parts: []engine.Part{{ID: "y", Tokens: 4000}}})
		router.now += time.Second
		router.Handle(router.now, StreamStarted{Token: behind.Token, Attempt: behind.Attempt})
		Expect(router.Observations(router.now, "east").PrefillUsPerK).To(BeEmpty(), "it came behind another one")
		router.extendColdness(router.now, router.servers["a"], time.Minute)
		router.Handle(router.now, StreamStarted{Token: sent.Token, Attempt: sent.Attempt})
		Expect(router.Observations(router.now, "east").PrefillUsPerK).To(BeEmpty(), "its server is cold")
	})

	It("given more calls than are kept, when the engine has become faster, then the earlier ones are forgotten", func() {
		latest := samples{}
		for range maxSamples {
			latest.add(9)
		}
		for range maxSamples {
			latest.add(5)
		}
		Expect(latest.low()).To(Equal(time.Duration(5)))
		Expect(latest.last).To(HaveLen(maxSamples))
	})
})
