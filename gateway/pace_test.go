package gateway

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	. "github.com/onsi/gomega"
)

var _ = Describe("how fast engines read", func() {
	const slow = 50 * time.Millisecond
	// reads sends a prompt with so many tokens of its own, whose first piece comes after a span.
	reads := func(bench *bench, own int64, span time.Duration) {
		sent := bench.promptly("/stream/x", engine.Prompt{Model: "m", Input: own, Output: 9, Parts: []engine.Part{{ID: fmt.Sprint("own", bench.token), Tokens: own}}})
		bench.now += span
		bench.Handle(bench.now, First{Token: sent.Token, Attempt: sent.Attempt})
		bench.Handle(bench.now, Ended{Token: sent.Token, Attempt: sent.Attempt, Outcome: Whole})
	}

	It("given nobody who saw one, when a time is asked for, then it is the usual one", func() {
		Expect(NewTraffic(settingsFor("n"), seeded(1)).readTime("s", 1000)).To(Equal(usualPace))
	})

	It("given calls with long prompts of their own, some behind others, when they begin, then the time is learned less what small ones take", func() {
		bench := started(engines, eastList("a", "b"))
		for turn := range 30 {
			reads(bench, 100, 40*time.Millisecond)
			wait := time.Duration(0)
			if turn%2 > 0 {
				wait = 300 * time.Millisecond
			}
			reads(bench, 4000, 40*time.Millisecond+4*slow+wait)
		}
		Expect(bench.readTime("s", 1000)).To(BeNumerically("~", slow, time.Millisecond))
		Expect(bench.Observed(bench.now, "east").PrefillUsPerK).To(Equal(map[string]int64{"s": slow.Microseconds()}))
	})

	It("given what all nodes saw, when this one saw something else, then that of all holds, within bounds", func() {
		bench := started(engines, eastList("a", "b"))
		reads(bench, 4000, 4*slow)
		bench.Handle(bench.now, Observed{Region: "east", CallObservations: contract.CallObservations{PrefillUsPerK: map[string]int64{"s": 30000}}})
		Expect(bench.readTime("s", 1000)).To(Equal(30 * time.Millisecond))
		bench.Handle(bench.now, Observed{Region: "east", CallObservations: contract.CallObservations{PrefillUsPerK: map[string]int64{"s": 1 << 40}}})
		Expect(bench.readTime("s", 1000)).To(Equal(usualPace * paceSpread))
		bench.Handle(bench.now, Observed{Region: "east", CallObservations: contract.CallObservations{PrefillUsPerK: map[string]int64{"s": 1}}})
		Expect(bench.readTime("s", 1000)).To(Equal(usualPace / paceSpread))
	})

	It("given calls that show nothing of reading, when they begin, then nothing is learned", func() {
		bench := started(engines, eastList("a"))
		sent := bench.promptly("/stream/x", engine.Prompt{Model: "m", Input: 4000, Output: 9, Parts: []engine.Part{{ID: "x", Tokens: 4000}}})
		behind := bench.promptly("/stream/x", engine.Prompt{Model: "m", Input: 4000, Output: 9, Parts: []engine.Part{{ID: "y", Tokens: 4000}}})
		bench.now += time.Second
		bench.Handle(bench.now, First{Token: behind.Token, Attempt: behind.Attempt})
		Expect(bench.Observed(bench.now, "east").PrefillUsPerK).To(BeEmpty(), "it came behind another one")
		bench.cold(bench.now, bench.servers["a"], time.Minute)
		bench.Handle(bench.now, First{Token: sent.Token, Attempt: sent.Attempt})
		Expect(bench.Observed(bench.now, "east").PrefillUsPerK).To(BeEmpty(), "its server is cold")
	})

	It("given more calls than are looked at, when the engine has become faster, then the former ones are forgotten", func() {
		kept := samples{}
		for range mostSamples {
			kept.add(9)
		}
		for range mostSamples {
			kept.add(5)
		}
		Expect(kept.low()).To(Equal(time.Duration(5)))
		Expect(kept.last).To(HaveLen(mostSamples))
	})
})
