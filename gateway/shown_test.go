package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	. "github.com/onsi/gomega"
)

// shownBy has one call with the contract's text go to its place, and gives what its first piece showed.
func (bench *bench) shownBy(span time.Duration, load *Load) index.Use {
	GinkgoHelper()
	bench.Uses()
	dispatch := dispatched(bench.long("own"))
	bench.now += span
	bench.Handle(bench.now, Head{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: load})
	bench.Handle(bench.now, First{Token: dispatch.Token, Attempt: dispatch.Attempt})
	bench.ends(dispatch, Whole)
	uses := bench.Uses()
	Expect(uses).To(HaveLen(1))
	return uses[0]
}

func late(use index.Use) bool {
	_, late := use.Verdict.MissSlack(time.Duration(use.Took) * time.Millisecond)
	return late
}

var _ = Describe("what a call's first piece shows of its place", func() {
	const quick, between, slow = 100 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond
	calm := &Load{Running: 1, Slots: 48}

	// placed is a bench whose node was told a place where it never sent the prompt itself.
	placed := func() *bench {
		bench := indexed(engines)
		dispatch := dispatched(bench.answers(askedFor(bench.long("one")), "b"))
		bench.Handle(bench.now, Ended{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: Left})
		bench.servers["b"].memory = engine.NewMemory(300000)
		return bench
	}

	It("given a place that only other nodes used, when the first piece comes, then it shows kept, unclear or late, and when", func() {
		bench := placed()
		use := bench.shownBy(quick, calm)
		Expect(use.Verdict).To(Equal(index.Kept))
		Expect(use.At).To(Equal(bench.now))
		Expect(bench.shownBy(between, calm).Verdict).To(Equal(index.Unclear))
		Expect(late(bench.shownBy(slow, calm))).To(BeTrue())
	})

	It("given a first piece that came sooner than reading could be, when the server is busy, then it still shows that the prompt was kept", func() {
		Expect(placed().shownBy(quick, &Load{Running: 48, Waiting: 6, Slots: 48}).Verdict).To(Equal(index.Kept))
	})

	It("given a server where others wait, or where this node has another call read, when the first piece is late, then it is unclear", func() {
		Expect(placed().shownBy(slow, &Load{Running: 48, Waiting: 6, Slots: 48}).Verdict).To(Equal(index.Unclear))
		bench := placed()
		dispatched(bench.long("beside"))
		Expect(bench.shownBy(slow, calm).Verdict).To(Equal(index.Unclear))
	})

	It("given calls that showed what is usual in a region, when one is later than that and reading, then it is late, and before it was not", func() {
		bench, wait := placed(), 320*time.Millisecond
		Expect(bench.shownBy(wait, calm).Verdict).To(Equal(index.Unclear))
		bench.shownBy(quick, calm)
		use := bench.shownBy(wait, calm)
		Expect(late(use)).To(BeTrue())
		spare, _ := use.Verdict.MissSlack(wait)
		Expect(spare).To(And(BeNumerically(">", 0), BeNumerically("<", wait-checkTime(13000)/2)))
	})

	It("given any result, when it is told, then no call is refused, sent twice or kept from its place for it", func() {
		bench := placed()
		for range 8 {
			Expect(late(bench.shownBy(slow, calm))).To(BeTrue())
		}
		Expect(dispatched(bench.long("next")).Server.Name).To(Equal("b"))
		Expect(bench.Stale("east")).To(HaveLen(1), "the older rule goes on by itself")
	})
})

var _ = Describe("a place that left its server", func() {
	It("given the owner's word, when the next call comes, then it asks anew once, loses nobody, and goes where it is told", func() {
		bench := indexed(engines)
		key := bench.learned("b")
		Expect(bench.servers["b"].memory.Held(contractText("x"))).To(Equal(int64(13000)))
		bench.Handle(bench.now, Relocated{Places: []index.Place{{Key: key}}})
		ask := askedFor(bench.long("two"))
		Expect(ask.Ask.Lost).To(BeEmpty())
		Expect(bench.servers["b"].memory.Held(contractText("x"))).To(BeZero(), "its cache does not match")
		Expect(dispatched(bench.answers(ask, "e")).Server.Name).To(Equal("e"))
		Expect(dispatched(bench.long("three")).Server.Name).To(Equal("e"))
	})

	It("given a place that is not known here, when its leaving is told, then nothing changes", func() {
		bench := indexed(engines)
		bench.Handle(bench.now, Relocated{Places: []index.Place{{Key: index.Key{Scope: "s", Anchor: 9}}}})
		Expect(bench.places.known.Len()).To(BeZero())
	})
})
