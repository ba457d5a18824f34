package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/gomega"
)

var _ = Describe("a call that did not reach its server", func() {
	It("given nothing was sent, when the dispatch ends, then another server gets the call within one attempt", func() {
		router := startedRouter(changeRoute("write", func(route *manifest.GatewayRoute) { route.MaxAttempts = 1 }), eastList("a", "b"))
		first := router.dispatchCall("/write/x")
		second := expectDispatch(router.endDispatch(first, OutcomeNotSent))
		Expect(second.Server.Name).NotTo(Equal(first.Server.Name))
		Expect(second.Attempt).To(BeNumerically(">", first.Attempt))
		Expect(router.endDispatch(second, OutcomeComplete)).To(Equal(PassAnswer{Token: second.Token}))
	})

	It("given no server accepts a connection, when all have been tried, then the call is refused with a time to come back", func() {
		router := startedRouter(nil, eastList("a", "b", "c", "d", "e", "f"))
		command, seen := contract.Command(router.dispatchCall("/write/x")), map[string]bool{}
		for {
			dispatch, isDispatch := command.(Dispatch)
			if !isDispatch {
				break
			}
			Expect(seen).NotTo(HaveKey(dispatch.Server.Name))
			seen[dispatch.Server.Name] = true
			command = router.endDispatch(dispatch, OutcomeNotSent)
		}
		Expect(seen).To(HaveLen(maxUnsentAttempts))
		Expect(expectRefusal(command).Status).To(Equal(503))
		Expect(expectRefusal(command).RetryAfter).To(BeNumerically(">", 0))
	})

	It("given a server that accepted no connection, when the next calls arrive, then they go elsewhere", func() {
		router := startedRouter(nil, eastList("a", "b"))
		first := router.dispatchCall("/write/x")
		router.endDispatch(first, OutcomeNotSent)
		for range 20 {
			next := router.dispatchCall("/write/x")
			Expect(next.Server.Name).NotTo(Equal(first.Server.Name))
			router.endDispatch(next, OutcomeComplete)
		}
	})
})

var _ = Describe("a call that its server did not run", func() {
	for _, outcome := range []Outcome{OutcomeNotRun, OutcomeWrongServer} {
		It("given attempts and budget, when a server says "+string(outcome)+", then another one gets it", func() {
			router := startedRouter(nil, eastList("a", "b"))
			first := router.dispatchCall("/write/x")
			second := expectDispatch(router.endDispatch(first, outcome))
			Expect(second.Server.Name).NotTo(Equal(first.Server.Name))
		})

		It("given one attempt, when a server says "+string(outcome)+", then the call is refused with a time to come back", func() {
			router := startedRouter(changeRoute("write", func(route *manifest.GatewayRoute) { route.MaxAttempts = 1 }), eastList("a", "b"))
			refusal := expectRefusal(router.endDispatch(router.dispatchCall("/write/x"), outcome))
			Expect(refusal.Status).To(Equal(503))
			Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		})

		It("given no budget, when a server says "+string(outcome)+", then the call is refused with a time to come back", func() {
			router := startedRouter(nil, eastList("a", "b"))
			router.policy.RepeatRatio, router.policy.RepeatAllowance = 0, 0
			refusal := expectRefusal(router.endDispatch(router.dispatchCall("/write/x"), outcome))
			Expect(refusal.Status).To(Equal(503))
			Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		})
	}

	for _, outcome := range []Outcome{OutcomeNotRun, OutcomeWrongServer, OutcomeBroken} {
		It("given no other server, when a call ends as "+string(outcome)+", then the budget of further tries is left whole", func() {
			router := startedRouter(nil, eastList("a"))
			Expect(expectRefusal(router.endDispatch(router.dispatchCall("/read/x"), outcome)).Status).To(Equal(503))
			Expect(router.retryBudgetOf("s").retries).To(HaveEach(0.0))
		})
	}

	It("given three attempts, when every server rejects the call, then three servers get it and no more", func() {
		router := startedRouter(nil, eastList("a", "b", "c", "d", "e"))
		command, sent := contract.Command(router.dispatchCall("/write/x")), 0
		for {
			dispatch, isDispatch := command.(Dispatch)
			if !isDispatch {
				break
			}
			sent++
			command = router.endDispatch(dispatch, OutcomeNotRun)
		}
		Expect(sent).To(Equal(3))
		Expect(expectRefusal(command).RetryAfter).To(BeNumerically(">", 0))
	})

	It("given another server at the address, when calls arrive, then it is never picked again, even while it is still listed", func() {
		router := startedRouter(nil, eastList("a", "b"))
		moved := router.dispatchCall("/read/x")
		router.endDispatch(moved, OutcomeWrongServer)
		for range 50 {
			router.now += 100 * time.Millisecond
			next := router.dispatchCall("/read/x")
			Expect(next.Server.Name).NotTo(Equal(moved.Server.Name))
			router.endDispatch(next, OutcomeComplete)
		}
		router.Handle(router.now, eastList("a", "b"))
		for range 50 {
			next := router.dispatchCall("/read/x")
			Expect(next.Server.Name).NotTo(Equal(moved.Server.Name))
			router.endDispatch(next, OutcomeComplete)
		}
	})
})

var _ = Describe("a call whose answer was broken off", func() {
	for _, path := range []string{"/write/x", "/stream/x"} {
		It("given "+path+" that must not run twice, when it breaks, then it fails and is never sent again", func() {
			router := startedRouter(nil, eastList("a", "b", "c"))
			first := router.dispatchCall(path)
			Expect(router.endDispatch(first, OutcomeBroken)).To(BeAssignableToTypeOf(Fail{}))
			for _, event := range []contract.Event{DispatchEnded{Token: first.Token, Attempt: first.Attempt, Outcome: OutcomeNotRun}, DispatchEnded{Token: first.Token, Attempt: first.Attempt, Outcome: OutcomeNotSent},
				ServerSilent{Token: first.Token, Attempt: first.Attempt}} {
				Expect(router.handleOne(event)).NotTo(BeAssignableToTypeOf(Dispatch{}))
			}
		})

		It("given "+path+" that must not run twice, when its server is silent, then it waits for the same one", func() {
			router := startedRouter(nil, eastList("a", "b", "c"))
			first := router.dispatchCall(path)
			for router.now < 8*time.Second {
				router.now += 500 * time.Millisecond
				Expect(router.handleOne(ServerSilent{Token: first.Token, Attempt: first.Attempt})).To(BeAssignableToTypeOf(Wait{}))
			}
			Expect(router.endDispatch(first, OutcomeDeadlineExceeded)).To(BeAssignableToTypeOf(Fail{}))
		})
	}

	for _, path := range []string{"/read/x", "/resumed/x"} {
		It("given "+path+" that may run again, when it breaks, then it goes on at another server", func() {
			router := startedRouter(nil, eastList("a", "b", "c"))
			first := router.dispatchCall(path)
			second := expectDispatch(router.endDispatch(first, OutcomeBroken))
			Expect(second.Server.Name).NotTo(Equal(first.Server.Name))
			third := expectDispatch(router.endDispatch(second, OutcomeBroken))
			Expect([]string{first.Server.Name, second.Server.Name}).NotTo(ContainElement(third.Server.Name))
			Expect(router.endDispatch(third, OutcomeBroken)).To(BeAssignableToTypeOf(Fail{}), "three attempts are the limit")
		})
	}

	It("given a stream that started, when no server is left, then the call fails and is not refused", func() {
		router := startedRouter(nil, eastList("a"))
		first := router.dispatchCall("/resumed/x")
		router.Handle(router.now, StreamStarted{Token: first.Token, Attempt: first.Attempt})
		Expect(router.endDispatch(first, OutcomeBroken)).To(BeAssignableToTypeOf(Fail{}))
	})

	It("given a call whose caller left, when it ends, then nothing more is sent", func() {
		router := startedRouter(nil, eastList("a", "b"))
		Expect(router.endDispatch(router.dispatchCall("/read/x"), OutcomeCallerLeft)).To(BeAssignableToTypeOf(Fail{}))
		Expect(router.calls).To(BeEmpty())
	})

	It("given a call whose time is over, when it ends, then it fails with status 504", func() {
		router := startedRouter(nil, eastList("a", "b"))
		Expect(router.endDispatch(router.dispatchCall("/read/x"), OutcomeDeadlineExceeded).(Fail).Status).To(Equal(504))
	})

	It("given a server error, when the call may run again, then another server is tried, and otherwise the error is passed on", func() {
		router := startedRouter(nil, eastList("a", "b"))
		failed := func(path string) contract.Command {
			dispatch := router.dispatchCall(path)
			return router.handleOne(DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: OutcomeComplete, ServerError: true})
		}
		Expect(failed("/read/x")).To(BeAssignableToTypeOf(Dispatch{}))
		Expect(failed("/write/x")).To(BeAssignableToTypeOf(PassAnswer{}))
	})

	It("given an error of the only server, when the call may run again, then its answer is passed on", func() {
		router := startedRouter(nil, eastList("a"))
		dispatch := router.dispatchCall("/read/x")
		Expect(router.handleOne(DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: OutcomeComplete, ServerError: true})).To(Equal(PassAnswer{Token: dispatch.Token}))
	})
})

var _ = Describe("a silent server", func() {
	It("given a call that may run again, when its server is silent, then another one gets it", func() {
		router := startedRouter(nil, eastList("a", "b"))
		first := router.dispatchCall("/read/x")
		router.now += first.SilenceTimeout
		second := expectDispatch(router.handleOne(ServerSilent{Token: first.Token, Attempt: first.Attempt}))
		Expect(second.Server.Name).NotTo(Equal(first.Server.Name))
		Expect(router.CallsInFlight("east")).To(Equal(map[string]int64{second.Server.Name: 1}))
	})

	It("given a server that was heard since, when a call waits there, then it continues to wait", func() {
		router := startedRouter(nil, eastList("a", "b"))
		first := router.dispatchCall("/read/x")
		router.now += first.SilenceTimeout
		router.Handle(router.now, HeadReceived{Token: first.Token, Attempt: first.Attempt})
		Expect(router.handleOne(ServerSilent{Token: first.Token, Attempt: first.Attempt})).To(BeAssignableToTypeOf(Wait{}))
	})

	It("given no other server, when a server is silent, then the call waits for it rather than being refused", func() {
		router := startedRouter(nil, eastList("a"))
		first := router.dispatchCall("/read/x")
		router.now += first.SilenceTimeout
		Expect(router.handleOne(ServerSilent{Token: first.Token, Attempt: first.Attempt})).To(BeAssignableToTypeOf(Wait{}))
	})

	It("given a call that ended, when its silence is reported late, then nothing is sent", func() {
		router := startedRouter(nil, eastList("a", "b"))
		first := router.dispatchCall("/read/x")
		router.endDispatch(first, OutcomeComplete)
		Expect(router.handleOne(ServerSilent{Token: first.Token, Attempt: first.Attempt})).To(BeAssignableToTypeOf(Wait{}))
	})
})
