package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/gomega"
)

var _ = Describe("a call whose server did not get it", func() {
	It("given nothing was sent, when it ends, then another server gets it, within one attempt", func() {
		bench := started(changeRoute("write", func(route *manifest.GatewayRoute) { route.MaxAttempts = 1 }), eastList("a", "b"))
		first := bench.sent("/write/x")
		second := dispatched(bench.ends(first, Unsent))
		Expect(second.Server.Name).NotTo(Equal(first.Server.Name))
		Expect(second.Attempt).To(BeNumerically(">", first.Attempt))
		Expect(bench.ends(second, Whole)).To(Equal(Pass{Token: second.Token}))
	})

	It("given no server takes a connection, when all have been tried, then the call is refused with a time to come back", func() {
		bench := started(nil, eastList("a", "b", "c", "d", "e", "f"))
		command, seen := contract.Command(bench.sent("/write/x")), map[string]bool{}
		for {
			dispatch, again := command.(Dispatch)
			if !again {
				break
			}
			Expect(seen).NotTo(HaveKey(dispatch.Server.Name))
			seen[dispatch.Server.Name] = true
			command = bench.ends(dispatch, Unsent)
		}
		Expect(seen).To(HaveLen(mostConnects))
		Expect(refused(command).Status).To(Equal(503))
		Expect(refused(command).After).To(BeNumerically(">", 0))
	})

	It("given a server that took no connection, when the next calls come, then they go elsewhere", func() {
		bench := started(nil, eastList("a", "b"))
		first := bench.sent("/write/x")
		bench.ends(first, Unsent)
		for range 20 {
			next := bench.sent("/write/x")
			Expect(next.Server.Name).NotTo(Equal(first.Server.Name))
			bench.ends(next, Whole)
		}
	})
})

var _ = Describe("a call that its server did not run", func() {
	for _, outcome := range []Outcome{NotRun, Moved} {
		It("given attempts and budget, when a server says "+string(outcome)+", then another one gets it", func() {
			bench := started(nil, eastList("a", "b"))
			first := bench.sent("/write/x")
			second := dispatched(bench.ends(first, outcome))
			Expect(second.Server.Name).NotTo(Equal(first.Server.Name))
		})

		It("given one attempt, when a server says "+string(outcome)+", then the call is refused with a time to come back", func() {
			bench := started(changeRoute("write", func(route *manifest.GatewayRoute) { route.MaxAttempts = 1 }), eastList("a", "b"))
			refusal := refused(bench.ends(bench.sent("/write/x"), outcome))
			Expect(refusal.Status).To(Equal(503))
			Expect(refusal.After).To(BeNumerically(">", 0))
		})

		It("given no budget, when a server says "+string(outcome)+", then the call is refused with a time to come back", func() {
			bench := started(nil, eastList("a", "b"))
			bench.terms.RepeatRatio, bench.terms.RepeatAllowance = 0, 0
			refusal := refused(bench.ends(bench.sent("/write/x"), outcome))
			Expect(refusal.Status).To(Equal(503))
			Expect(refusal.After).To(BeNumerically(">", 0))
		})
	}

	for _, outcome := range []Outcome{NotRun, Moved, Broken} {
		It("given no other server, when a call ends as "+string(outcome)+", then the budget of further tries is left whole", func() {
			bench := started(nil, eastList("a"))
			Expect(refused(bench.ends(bench.sent("/read/x"), outcome)).Status).To(Equal(503))
			Expect(bench.budget("s").tries).To(HaveEach(0.0))
		})
	}

	It("given three attempts, when all servers turn it away, then three get it and no more", func() {
		bench := started(nil, eastList("a", "b", "c", "d", "e"))
		command, sent := contract.Command(bench.sent("/write/x")), 0
		for {
			dispatch, again := command.(Dispatch)
			if !again {
				break
			}
			sent++
			command = bench.ends(dispatch, NotRun)
		}
		Expect(sent).To(Equal(3))
		Expect(refused(command).After).To(BeNumerically(">", 0))
	})

	It("given a server that moved away, when calls come, then it is never picked again, also when it is listed still", func() {
		bench := started(nil, eastList("a", "b"))
		moved := bench.sent("/read/x")
		bench.ends(moved, Moved)
		for range 50 {
			bench.now += 100 * time.Millisecond
			next := bench.sent("/read/x")
			Expect(next.Server.Name).NotTo(Equal(moved.Server.Name))
			bench.ends(next, Whole)
		}
		bench.Handle(bench.now, eastList("a", "b"))
		for range 50 {
			next := bench.sent("/read/x")
			Expect(next.Server.Name).NotTo(Equal(moved.Server.Name))
			bench.ends(next, Whole)
		}
	})
})

var _ = Describe("a call whose answer broke", func() {
	for _, path := range []string{"/write/x", "/stream/x"} {
		It("given "+path+" that must not run twice, when it breaks, then it fails and is never sent again", func() {
			bench := started(nil, eastList("a", "b", "c"))
			first := bench.sent(path)
			Expect(bench.ends(first, Broken)).To(BeAssignableToTypeOf(Fail{}))
			for _, event := range []contract.Event{Ended{Token: first.Token, Attempt: first.Attempt, Outcome: NotRun}, Ended{Token: first.Token, Attempt: first.Attempt, Outcome: Unsent},
				Silent{Token: first.Token, Attempt: first.Attempt}} {
				Expect(bench.one(event)).NotTo(BeAssignableToTypeOf(Dispatch{}))
			}
		})

		It("given "+path+" that must not run twice, when its server is silent, then it waits for the same one", func() {
			bench := started(nil, eastList("a", "b", "c"))
			first := bench.sent(path)
			for bench.now < 8*time.Second {
				bench.now += 500 * time.Millisecond
				Expect(bench.one(Silent{Token: first.Token, Attempt: first.Attempt})).To(BeAssignableToTypeOf(Wait{}))
			}
			Expect(bench.ends(first, Late)).To(BeAssignableToTypeOf(Fail{}))
		})
	}

	for _, path := range []string{"/read/x", "/resumed/x"} {
		It("given "+path+" that may run again, when it breaks, then it goes on at another server", func() {
			bench := started(nil, eastList("a", "b", "c"))
			first := bench.sent(path)
			second := dispatched(bench.ends(first, Broken))
			Expect(second.Server.Name).NotTo(Equal(first.Server.Name))
			third := dispatched(bench.ends(second, Broken))
			Expect([]string{first.Server.Name, second.Server.Name}).NotTo(ContainElement(third.Server.Name))
			Expect(bench.ends(third, Broken)).To(BeAssignableToTypeOf(Fail{}), "three attempts are all")
		})
	}

	It("given a stream that began, when no server is left, then it fails and is not refused", func() {
		bench := started(nil, eastList("a"))
		first := bench.sent("/resumed/x")
		bench.Handle(bench.now, First{Token: first.Token, Attempt: first.Attempt})
		Expect(bench.ends(first, Broken)).To(BeAssignableToTypeOf(Fail{}))
	})

	It("given a call whose caller left, when it ends, then nothing more is sent", func() {
		bench := started(nil, eastList("a", "b"))
		Expect(bench.ends(bench.sent("/read/x"), Left)).To(BeAssignableToTypeOf(Fail{}))
		Expect(bench.jobs).To(BeEmpty())
	})

	It("given a call whose time is over, when it ends, then it fails with a time-out", func() {
		bench := started(nil, eastList("a", "b"))
		Expect(bench.ends(bench.sent("/read/x"), Late).(Fail).Status).To(Equal(504))
	})

	It("given a failure of the server's own, when the call may run again, then another server is tried, and else it is passed on", func() {
		bench := started(nil, eastList("a", "b"))
		failed := func(path string) contract.Command {
			dispatch := bench.sent(path)
			return bench.one(Ended{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: Whole, Failed: true})
		}
		Expect(failed("/read/x")).To(BeAssignableToTypeOf(Dispatch{}))
		Expect(failed("/write/x")).To(BeAssignableToTypeOf(Pass{}))
	})

	It("given a failure of the only server's own, when the call may run again, then its answer is passed on", func() {
		bench := started(nil, eastList("a"))
		dispatch := bench.sent("/read/x")
		Expect(bench.one(Ended{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: Whole, Failed: true})).To(Equal(Pass{Token: dispatch.Token}))
	})
})

var _ = Describe("a server that says nothing", func() {
	It("given a call that may run again, when its server is silent, then another one gets it", func() {
		bench := started(nil, eastList("a", "b"))
		first := bench.sent("/read/x")
		bench.now += first.Patience
		second := dispatched(bench.one(Silent{Token: first.Token, Attempt: first.Attempt}))
		Expect(second.Server.Name).NotTo(Equal(first.Server.Name))
		Expect(bench.Calls("east")).To(Equal(map[string]int64{second.Server.Name: 1}))
	})

	It("given a server that was heard since, when a call waits there, then it goes on waiting", func() {
		bench := started(nil, eastList("a", "b"))
		first := bench.sent("/read/x")
		bench.now += first.Patience
		bench.Handle(bench.now, Head{Token: first.Token, Attempt: first.Attempt})
		Expect(bench.one(Silent{Token: first.Token, Attempt: first.Attempt})).To(BeAssignableToTypeOf(Wait{}))
	})

	It("given no other server, when a server is silent, then the call waits for it rather than being refused", func() {
		bench := started(nil, eastList("a"))
		first := bench.sent("/read/x")
		bench.now += first.Patience
		Expect(bench.one(Silent{Token: first.Token, Attempt: first.Attempt})).To(BeAssignableToTypeOf(Wait{}))
	})

	It("given a call that ended, when its silence is told late, then nothing is sent", func() {
		bench := started(nil, eastList("a", "b"))
		first := bench.sent("/read/x")
		bench.ends(first, Whole)
		Expect(bench.one(Silent{Token: first.Token, Attempt: first.Attempt})).To(BeAssignableToTypeOf(Wait{}))
	})
})
