package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	. "github.com/onsi/gomega"
)

// replicated is a bench whose node knows a replica of the index that is nearer than the owner.
func replicated() *bench {
	bench := indexed(engines)
	bench.Handle(bench.now, Indexed{Known: true, Near: true})
	return bench
}

func (bench *bench) asksNear(own string) Place {
	GinkgoHelper()
	ask := askedFor(bench.long(own))
	Expect(ask.Ask.Known).To(BeTrue())
	return ask
}

// refusesNear gives the question to the owner that follows a refusal of the near replica.
func (bench *bench) refusesNear(near Place) Place {
	GinkgoHelper()
	ask := askedFor(bench.one(Placed{Token: near.Token}))
	Expect(ask.Ask.Known).To(BeFalse())
	Expect(ask.Token).To(Equal(near.Token))
	return ask
}

func (bench *bench) asksOwner(own string) Place {
	GinkgoHelper()
	ask := askedFor(bench.long(own))
	Expect(ask.Ask.Known).To(BeFalse())
	return ask
}

var _ = Describe("a near replica of the index", func() {
	It("given a prompt that is not known here, when a call comes, then the replica is asked first, shortly and with the key alone", func() {
		bench := replicated()
		near := bench.asksNear("one")
		Expect(near.Ask).To(Equal(index.Ask{Key: near.Ask.Key, Known: true}))
		Expect(near.Ask.Anchor).NotTo(BeZero())
		Expect(near.Patience).To(Equal(bench.terms.Contact / 64))
		Expect(dispatched(bench.answers(near, "e")).Server.Name).To(Equal("e"))
		Expect(dispatched(bench.long("two")).Server.Name).To(Equal("e"))
	})

	It("given a replica that does not know the prompt, when it refuses, then the owner is asked as without it, and both again for the next prompt", func() {
		bench, plain := replicated(), indexed(engines)
		near := bench.asksNear("one")
		ask, without := bench.refusesNear(near), askedFor(plain.long("one"))
		Expect(ask.Ask).To(Equal(without.Ask))
		Expect(ask.Patience).To(Equal(without.Patience))
		Expect(dispatched(bench.answers(ask, last(ask))).Server.Name).To(Equal(last(ask)))
		other := engine.Prompt{Model: "m", Input: 13100, Output: 9, Parts: []engine.Part{{ID: "other", Tokens: 13000}, {ID: "own", Tokens: 100}}}
		next := askedFor(bench.asked("/stream/x", prompted(other)))
		Expect(next.Ask.Known).To(BeTrue())
		bench.refusesNear(next)
	})

	It("given a replica that does not answer in time, when calls come, then the owner is asked, at once for a while, and then the replica again", func() {
		bench := replicated()
		near := bench.asksNear("one")
		bench.now += near.Patience
		ask := askedFor(bench.one(Placed{Token: near.Token, Late: true}))
		Expect(ask.Ask.Known).To(BeFalse())
		Expect(ask.Ask.Candidates).NotTo(BeEmpty())
		bench.now += bench.terms.Contact/4 - 1
		bench.asksOwner("two")
		bench.now++
		bench.asksNear("three")
	})

	It("given an owner that does not answer after a replica that refused, when calls come, then the replica alone is asked for a while", func() {
		bench := replicated()
		ask := bench.refusesNear(bench.asksNear("one"))
		Expect(dispatched(bench.one(Placed{Token: ask.Token, Late: true})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		near := bench.asksNear("two")
		Expect(dispatched(bench.one(Placed{Token: near.Token})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		bench.now += bench.terms.Contact / 4
		bench.refusesNear(bench.asksNear("three"))
	})

	It("given a replica and an owner that refuse, when calls come, then each asks either once and goes by the shared order", func() {
		bench := replicated()
		for _, own := range []string{"one", "two"} {
			ask := bench.refusesNear(bench.asksNear(own))
			Expect(dispatched(bench.one(Placed{Token: ask.Token})).Server.Name).To(Equal(ask.Ask.Candidates[0]))
		}
	})

	It("given a known place that is lost, when a call comes, then the owner is asked at once", func() {
		bench := replicated()
		sent := dispatched(bench.answers(bench.asksNear("one"), "a"))
		bench.firstAfter(sent, 600*time.Millisecond)
		bench.Handle(bench.now, eastList("b", "c", "d", "e", "f"))
		Expect(bench.asksOwner("two").Ask.Lost).To(Equal("a"))
	})

	It("given a replica that names a lost server, when it answers, then the owner is told it as lost, and is still asked twice at most", func() {
		bench := replicated()
		ask := askedFor(bench.answers(bench.asksNear("one"), "gone-0"))
		Expect([]any{ask.Ask.Known, ask.Ask.Lost}).To(Equal([]any{false, "gone-0"}))
		again := askedFor(bench.answers(ask, "gone-1"))
		Expect([]any{again.Ask.Known, again.Ask.Lost}).To(Equal([]any{false, "gone-1"}))
		Expect(dispatched(bench.answers(again, "gone-2")).Server.Name).To(Equal(ask.Ask.Candidates[0]))
	})

	It("given a replica that is no longer near, when calls come, then the owner is asked at once", func() {
		bench := replicated()
		bench.Handle(bench.now, Indexed{Known: true})
		bench.asksOwner("one")
	})

	It("given a caller that leaves while the replica is asked, when the answer is late, then nothing of the call stays and nobody is left alone for it", func() {
		bench := replicated()
		near := bench.asksNear("one")
		Expect(bench.one(Ended{Token: near.Token, Outcome: Left})).To(BeAssignableToTypeOf(Fail{}))
		Expect(bench.one(Placed{Token: near.Token, Late: true})).To(BeAssignableToTypeOf(Fail{}))
		Expect(bench.jobs).To(BeEmpty())
		bench.refusesNear(bench.asksNear("two"))
	})

	It("given one server alone, when a call comes, then nobody is asked", func() {
		bench := started(engines, eastList("a"))
		bench.Handle(bench.now, Indexed{Known: true, Near: true})
		dispatched(bench.long("one"))
	})
})
