package gateway

import (
	"time"

	. "github.com/onsi/gomega"
)

// misbehave ends a dispatch whose server sent more than an answer may have.
func (router *testRouter) misbehave(dispatch Dispatch) {
	router.handleOne(DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: OutcomeBroken, Misbehaved: true, Reason: "the answer met a bound"})
}

// dispatchTo sends calls until one goes to a server, while the others wait for their answers. Their callers leave then.
func (router *testRouter) dispatchTo(name string) (Dispatch, bool) {
	others := []Dispatch{}
	defer func() {
		for _, other := range others {
			router.endDispatch(other, OutcomeCallerLeft)
		}
	}()
	for range 50 {
		dispatch := router.dispatchCall("/write/x")
		if dispatch.Server.Name == name {
			return dispatch, true
		}
		others = append(others, dispatch)
	}
	return Dispatch{}, false
}

var _ = Describe("a server that sends more than an answer may have", func() {
	It("given its heads are well formed, when other calls hear from it, then it is not chosen for a contact time all the same", func() {
		router := startedRouter(nil, eastList("a", "b"))
		first, _ := router.dispatchTo("a")
		second, _ := router.dispatchTo("a")
		router.misbehave(first)
		router.Handle(router.now, HeadReceived{Token: second.Token, Attempt: second.Attempt})
		router.misbehave(second)
		router.now += router.policy.Contact - time.Millisecond
		_, chosen := router.dispatchTo("a")
		Expect(chosen).To(BeFalse())
		router.now += 2 * time.Millisecond
		_, chosen = router.dispatchTo("a")
		Expect(chosen).To(BeTrue())
	})

	It("given it does so again, when it has rested, then it rests longer, up to a limit, and a whole answer ends that", func() {
		router := startedRouter(nil, eastList("a", "b"))
		rests := []time.Duration{}
		for range 5 {
			dispatch, chosen := router.dispatchTo("a")
			Expect(chosen).To(BeTrue())
			router.misbehave(dispatch)
			rests = append(rests, router.servers["a"].shunnedUntil-router.now)
			router.now = router.servers["a"].shunnedUntil + time.Second
		}
		contact := router.policy.Contact
		Expect(rests).To(Equal([]time.Duration{contact, 2 * contact, 4 * contact, 8 * contact, 8 * contact}))
		dispatch, _ := router.dispatchTo("a")
		router.endDispatch(dispatch, OutcomeComplete)
		dispatch, _ = router.dispatchTo("a")
		router.misbehave(dispatch)
		Expect(router.servers["a"].shunnedUntil - router.now).To(Equal(contact))
	})

	It("given its answer is still read, when more comes than can be read, then no further call goes there", func() {
		router := startedRouter(nil, eastList("a", "b"))
		dispatch, _ := router.dispatchTo("a")
		Expect(router.Handle(router.now, AnswerPaced{Token: dispatch.Token, Attempt: dispatch.Attempt})).To(BeEmpty())
		_, chosen := router.dispatchTo("a")
		Expect(chosen).To(BeFalse())
		router.misbehave(dispatch)
		Expect(router.servers["a"].misconducts).To(Equal(1), "it is one and the same answer")
	})

	It("given it has rested, when calls come, then one at a time tries it, until it answers one whole", func() {
		router := startedRouter(nil, eastList("a", "b"))
		dispatch, _ := router.dispatchTo("a")
		router.misbehave(dispatch)
		router.now += router.policy.Contact + time.Millisecond
		tries, chosen := router.dispatchTo("a")
		Expect(chosen).To(BeTrue())
		router.Handle(router.now, HeadReceived{Token: tries.Token, Attempt: tries.Attempt})
		_, chosen = router.dispatchTo("a")
		Expect(chosen).To(BeFalse())
		router.endDispatch(tries, OutcomeComplete)
		for range 2 {
			_, chosen = router.dispatchTo("a")
			Expect(chosen).To(BeTrue())
		}
	})

	It("given no other server, when a call comes, then it gets the call", func() {
		router := startedRouter(nil, eastList("a"))
		router.misbehave(router.dispatchCall("/write/x"))
		Expect(router.dispatchCall("/write/x").Server.Name).To(Equal("a"))
	})

	It("given a call is ended by its caller, when its server had sent too much, then that counts as a failure once", func() {
		router := startedRouter(nil, eastList("a", "b"))
		dispatch := router.dispatchCall("/write/x")
		router.handleOne(DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: OutcomeCallerLeft, Misbehaved: true})
		Expect(router.Tallies(router.now, "east")[dispatch.Server.Name].Failed).To(BeEquivalentTo(1))
	})
})
