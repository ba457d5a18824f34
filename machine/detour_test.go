package machine

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a path through relays", func() {
	nextRoute := func(path *RelayPath, silent bool) []any {
		route, failures, needed := path.Next(silent)
		return []any{route, failures, needed}
	}

	It("given a member that answers directly, when it is asked, then no relay is needed", func() {
		path := &RelayPath{}
		Expect(nextRoute(path, false)).To(Equal([]any{"", 0, false}))
		path.RecordAnswer("", false)
		Expect(nextRoute(path, false)).To(Equal([]any{"", 0, false}))
	})

	It("given a silent member, when it is asked again and again, then new relays are requested and failures are counted", func() {
		path := &RelayPath{}
		for failures := range 3 {
			Expect(nextRoute(path, true)).To(Equal([]any{"", failures, true}))
		}
	})

	It("given a route that worked, when the member is asked, then it is used until it also stops answering or the member answers directly", func() {
		path := &RelayPath{}
		path.Next(true)
		path.RecordAnswer("relay", false)
		Expect(nextRoute(path, false)).To(Equal([]any{"relay", 0, true}))
		Expect(nextRoute(path, true)).To(Equal([]any{"", 0, true}))
		path.RecordAnswer("", false)
		Expect(nextRoute(path, false)).To(Equal([]any{"", 0, false}))
	})

	It("given a request that went both ways, when the direct answer came first, then the relayed answer changes nothing", func() {
		path := &RelayPath{}
		path.RecordAnswer("", false)
		path.RecordAnswer("relay", true)
		Expect(nextRoute(path, false)).To(Equal([]any{"", 0, false}))
	})
})
