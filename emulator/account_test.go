package emulator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the account of calls that were not served in time", func() {
	It("given waits, when the longest is asked for, then its reason is named", func() {
		Expect(waits{}.largest()).To(Equal(reasonEarlier))
		Expect(waits{node: 2, own: 1}.largest()).To(Equal(reasonNode))
		Expect(waits{earlier: 5, behind: 9, reread: 8}.largest()).To(Equal(reasonBehind))
	})

	It("given calls that ended in all ways, when they are accounted for, then each that was not in time is counted once", func() {
		day := New(given("brazos", 1, time.Second), 1)
		day.figures = []*Figure{{Class: "a", Outcome: "served"}, {Class: "a", Outcome: "refused"}, {Class: "a", Outcome: "late", Paused: true},
			{Class: "a", Outcome: "late", waits: waits{own: time.Second}}, {Class: "b", Outcome: "late", waits: waits{own: 1, behind: 2}}}
		Expect(day.account()).To(Equal(Account{"a": {reasonUnserved + "refused": 1, reasonPause: 1, reasonOwn: 1}, "b": {reasonBehind: 1}}))
	})

	It("given a day of the deployment with two levels of shared parts, when it is played, then its account adds up, and a deeper part always follows the same one", func() {
		site := given("search", 0.2, 4*time.Second)
		played := Play(site, 1, Plan{})
		Expect(played.Breaches).To(BeEmpty())
		for name, class := range played.Figures.Classes {
			sum := 0
			for _, count := range played.Figures.Account[name] {
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
