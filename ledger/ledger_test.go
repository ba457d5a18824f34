package ledger

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

func fresh() *Ledger {
	ledger := New(Bounds{Leave: 5 * time.Second, Drain: 5 * time.Second, Deliver: 3 * time.Second, Return: 12 * time.Second, Ramp: 8 * time.Second, RepeatPct: 5, RepeatAtOnce: 10, Patience: 3 * time.Second})
	ledger.Server("near", "zone-a", "home", 4)
	ledger.Server("far", "zone-c", "away", 4)
	return ledger
}

func sent(ledger *Ledger, scoped string, at time.Duration) int {
	return ledger.Sent(scoped, "short", "home", true, "run", false, at, 10*time.Second)
}

func ran(ledger *Ledger, scoped, identity, server string, at time.Duration) {
	ledger.Began(scoped, identity, server, at)
	ledger.Over(identity, []string{PieceOf(identity, scoped, 0), PieceOf(identity, scoped, 1)}, true)
}

func reply(pieces ...string) Reply {
	return Reply{Outcome: "done", Finished: true, Pieces: pieces, Numbers: []int64{0, 1, 2}[:len(pieces)]}
}

const second = time.Second

var _ = DescribeTable("a planted violation is caught", func(rule Rule, plant func(*Ledger)) {
	ledger := fresh()
	plant(ledger)
	ledger.Close(100 * second)
	Expect(ledger.ByRule()).To(HaveKey(rule))
	Expect(ledger.ByRule()).To(HaveLen(1), "and nothing else is blamed")
},
	Entry("a call that runs twice", Doubled, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", second)
		ran(ledger, "a", "run-2", "near", 2*second)
		ledger.Answered("a", 0, 3*second, Reply{Outcome: "unknown"})
	}),
	Entry("a call that nobody answers", LostSilently, func(ledger *Ledger) { sent(ledger, "a", 1) }),
	Entry("a caller whose well node says nothing", LostSilently, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ledger.Answered("a", 0, 20*second, Reply{Outcome: Silence})
	}),
	Entry("a call told not run that ran before", FalseNotRun, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", second)
		ledger.Answered("a", 0, 2*second, Reply{Outcome: "not_run"})
	}),
	Entry("a call told not run that runs later", FalseNotRun, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ledger.Answered("a", 0, 2*second, Reply{Outcome: "not_run"})
		ran(ledger, "a", "run-1", "near", 3*second)
	}),
	Entry("a call told not run by the node that runs it later, for all that another try of it is unknown", FalseNotRun, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ledger.Answered("a", 0, 2*second, Reply{Outcome: "not_run"})
		ledger.Sent("a", "short", "home", true, "other", false, 2*second, 10*second)
		ledger.Answered("a", 1, 4*second, Reply{Outcome: "unknown"})
		ran(ledger, "a", "run-1", "near", 3*second)
	}),
	Entry("a stream that skips a piece", BrokenStream, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", second)
		ledger.Answered("a", 0, 2*second, reply(PieceOf("run-1", "a", 1)))
	}),
	Entry("a stream that repeats a piece", BrokenStream, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", second)
		ledger.Answered("a", 0, 2*second, reply(PieceOf("run-1", "a", 0), PieceOf("run-1", "a", 0)))
	}),
	Entry("a stream that joins two runs", BrokenStream, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", second)
		ledger.Answered("a", 0, 2*second, reply(PieceOf("run-1", "a", 0), PieceOf("run-9", "a", 1)))
	}),
	Entry("a stream that looks finished when it is not", BrokenStream, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", second)
		ledger.Answered("a", 0, 2*second, reply(PieceOf("run-1", "a", 0)))
	}),
	Entry("another caller's answer", WrongAnswer, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		sent(ledger, "b", 1)
		ran(ledger, "b", "run-1", "near", second)
		ledger.Answered("a", 0, 2*second, Reply{Outcome: "interrupted", Pieces: []string{PieceOf("run-1", "b", 0)}, Numbers: []int64{0}})
		ledger.Answered("b", 0, 2*second, Reply{Outcome: "interrupted"})
	}),
	Entry("a pick after the mark", LatePick, func(ledger *Ledger) {
		ledger.Marked("near", second)
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", 7*second)
		ledger.Answered("a", 0, 8*second, Reply{Outcome: "interrupted"})
	}),
	Entry("a pick in a drained zone", LateDrain, func(ledger *Ledger) {
		ledger.Drained("zone-a", second)
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", 7*second)
		ledger.Answered("a", 0, 8*second, Reply{Outcome: "interrupted"})
	}),
	Entry("a call that leaves its home", LeftHome, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "far", second)
		ledger.Answered("a", 0, 2*second, Reply{Outcome: "interrupted"})
	}),
	Entry("a node that stays behind", LateManifest, func(ledger *Ledger) {
		ledger.Accepted(2, "d", second)
		ledger.Held("m01", 1, 6*second, 4*second)
	}),
	Entry("a node that slips back", LateManifest, func(ledger *Ledger) {
		ledger.Held("m01", 3, second, 0)
		ledger.Held("m01", 2, 2*second, 0)
	}),
	Entry("a revision that reads back altered", LostManifest, func(ledger *Ledger) {
		ledger.Accepted(2, "d", second)
		ledger.ReadBack(2, "e", 2*second)
	}),
	Entry("two writes under one revision", LostManifest, func(ledger *Ledger) {
		ledger.Accepted(2, "d", second)
		ledger.Accepted(2, "e", second)
	}),
	Entry("a cold server that is flooded", Flooded, func(ledger *Ledger) {
		ledger.Cold("near", second)
		for _, scoped := range []string{"a", "b", "c"} {
			sent(ledger, scoped, 1)
			ledger.Began(scoped, "run-"+scoped, "near", 2*second)
			ledger.Answered(scoped, 0, 3*second, Reply{Outcome: "interrupted"})
		}
	}),
	Entry("repeats past their share", Repeats, func(ledger *Ledger) {
		sent(ledger, "a", 1)
		for range 12 {
			ledger.Refused("a", 2*second)
		}
		ledger.Answered("a", 0, 3*second, Reply{Outcome: "unknown"})
	}),
	Entry("a storm of repeats in a quiet day", Repeats, func(ledger *Ledger) {
		for index := range 1000 {
			scoped := fmt.Sprint("call ", index)
			sent(ledger, scoped, time.Duration(index)*second/2)
			ledger.Answered(scoped, 0, time.Duration(index)*second/2, Reply{Outcome: "unknown"})
		}
		for range 14 {
			ledger.Refused("call 100", 60*second)
		}
	}),
	Entry("a region that comes back late", LateReturn, func(ledger *Ledger) { ledger.Returned("home", second, 14*second) }),
)

var _ = Describe("a clean run", func() {
	It("is not blamed", func() {
		ledger := fresh()
		sent(ledger, "a", 1)
		ran(ledger, "a", "run-1", "near", second)
		ledger.Answered("a", 0, 2*second, reply(PieceOf("run-1", "a", 0), PieceOf("run-1", "a", 1)))
		sent(ledger, "b", 1)
		ledger.Answered("b", 0, 2*second, Reply{Outcome: "not_run"})
		sent(ledger, "b", 3*second)
		ran(ledger, "b", "run-2", "near", 4*second)
		ledger.Answered("b", 1, 5*second, reply(PieceOf("run-2", "b", 0), PieceOf("run-2", "b", 1)))
		ledger.Close(100 * second)
		Expect(ledger.Breaches()).To(BeEmpty())
	})
})
