package emulator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the account of calls that were not served in time", func() {
	It("given waits, when the longest is asked for, then its reason is named", func() {
		Expect(latencyBreakdown{}.largest()).To(Equal(reasonEarlierAttempts))
		Expect(latencyBreakdown{nodeQueue: 2, ownPrompt: 1}.largest()).To(Equal(reasonNodeQueue))
		Expect(latencyBreakdown{earlierAttempts: 5, otherPrompts: 9, uncachedShared: 8}.largest()).To(Equal(reasonOtherPrompts))
	})

	It("given calls that ended in all ways, when they are accounted for, then each that was not in time is counted once", func() {
		day := New(given("brazos", 1, time.Second), 1)
		day.figures = []*Figure{{Class: "a", Outcome: "served"}, {Class: "a", Outcome: "refused"}, {Class: "a", Outcome: "late", Paused: true},
			{Class: "a", Outcome: "late", latency: latencyBreakdown{ownPrompt: time.Second}}, {Class: "b", Outcome: "late", latency: latencyBreakdown{ownPrompt: 1, otherPrompts: 2}}}
		Expect(day.missReasons()).To(Equal(MissReasons{"a": {reasonUnserved + "refused": 1, reasonPause: 1, reasonOwnPrompt: 1}, "b": {reasonOtherPrompts: 1}}))
	})

	It("given a day of the deployment with two levels of shared parts, when it is played, then its account adds up, and a deeper part always follows the same one", func() {
		site := given("search", 0.2, 4*time.Second)
		played := Play(site, 1, Plan{})
		Expect(played.Violations).To(BeEmpty())
		for name, class := range played.Figures.Classes {
			sum := 0
			for _, count := range played.Figures.MissReasons[name] {
				sum += count
			}
			Expect(sum).To(Equal(class.Asked-class.Aim), name)
		}
		explain := site.class("explain")
		day, former := New(site, 1), map[string]string{}
		for range 2000 {
			prompt := day.prompt(&explain, day.chance, 1)
			if known, there := former[prompt.Parts[1].ID]; there {
				Expect(prompt.Parts[0].ID).To(Equal(known))
			}
			former[prompt.Parts[1].ID] = prompt.Parts[0].ID
		}
	})
})
