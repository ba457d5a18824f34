package machine

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a detour by relays", func() {
	next := func(detour *Detour, silent bool) []any {
		route, tried, needed := detour.Next(silent)
		return []any{route, tried, needed}
	}

	It("given a member that answers directly, when it is asked, then no relay is needed", func() {
		detour := &Detour{}
		Expect(next(detour, false)).To(Equal([]any{"", 0, false}))
		detour.Answered("", false)
		Expect(next(detour, false)).To(Equal([]any{"", 0, false}))
	})

	It("given a silent member, when it is asked again and again, then relays are drawn and the tries in vain are counted", func() {
		detour := &Detour{}
		for tried := range 3 {
			Expect(next(detour, true)).To(Equal([]any{"", tried, true}))
		}
	})

	It("given a route that worked, when the member is asked, then that one is used, until it falls silent too or the member answers directly", func() {
		detour := &Detour{}
		detour.Next(true)
		detour.Answered("relay", false)
		Expect(next(detour, false)).To(Equal([]any{"relay", 0, true}))
		Expect(next(detour, true)).To(Equal([]any{"", 0, true}))
		detour.Answered("", false)
		Expect(next(detour, false)).To(Equal([]any{"", 0, false}))
	})

	It("given both ways to one question, when the direct answer was first, then the relayed one changes nothing", func() {
		detour := &Detour{}
		detour.Answered("", false)
		detour.Answered("relay", true)
		Expect(next(detour, false)).To(Equal([]any{"", 0, false}))
	})
})
