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

func newTestLedger() *Ledger {
	ledger := New(Bounds{LeavingServer: 5 * time.Second, ZoneDrain: 5 * time.Second, ManifestDelivery: 3 * time.Second, Recovery: 12 * time.Second, Ramp: 8 * time.Second, RetryPercent: 5, RetryBurst: 10, AnswerGrace: 3 * time.Second})
	ledger.AddServer("near", "zone-a", "home", 4)
	ledger.AddServer("far", "zone-c", "away", 4)
	return ledger
}

func sendCall(ledger *Ledger, key string, at time.Duration) int {
	return ledger.AttemptSent(key, "short", "home", true, "run", false, at, 10*time.Second)
}

func completeRun(ledger *Ledger, key, runID, server string, at time.Duration) {
	ledger.RunStarted(key, runID, server, at)
	ledger.RunEnded(runID, []string{ChunkText(runID, key, 0), ChunkText(runID, key, 1)}, true)
}

func reply(chunks ...string) Reply {
	return Reply{Outcome: "done", Finished: true, Chunks: chunks, ChunkNumbers: []int64{0, 1, 2}[:len(chunks)]}
}

const second = time.Second

var _ = DescribeTable("a violation is detected", func(rule Rule, violate func(*Ledger)) {
	ledger := newTestLedger()
	violate(ledger)
	ledger.Close(100 * second)
	Expect(ledger.CountsByRule()).To(HaveKey(rule))
	Expect(ledger.CountsByRule()).To(HaveLen(1), "no other rule is reported")
},
	Entry("a call that runs twice", DuplicateRun, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", second)
		completeRun(ledger, "a", "run-2", "near", 2*second)
		ledger.AttemptAnswered("a", 0, 3*second, Reply{Outcome: "unknown"})
	}),
	Entry("a call that is never answered", UnansweredCall, func(ledger *Ledger) { sendCall(ledger, "a", 1) }),
	Entry("a client that gets no answer from a healthy node", UnansweredCall, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		ledger.AttemptAnswered("a", 0, 20*second, Reply{Outcome: OutcomeNoAnswer})
	}),
	Entry("a call reported as not run that ran before", FalseNotRun, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", second)
		ledger.AttemptAnswered("a", 0, 2*second, Reply{Outcome: "not_run"})
	}),
	Entry("a call reported as not run that runs later", FalseNotRun, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		ledger.AttemptAnswered("a", 0, 2*second, Reply{Outcome: "not_run"})
		completeRun(ledger, "a", "run-1", "near", 3*second)
	}),
	Entry("a call reported as not run by the node that runs it later, while an attempt at another node is unknown", FalseNotRun, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		ledger.AttemptAnswered("a", 0, 2*second, Reply{Outcome: "not_run"})
		ledger.AttemptSent("a", "short", "home", true, "other", false, 2*second, 10*second)
		ledger.AttemptAnswered("a", 1, 4*second, Reply{Outcome: "unknown"})
		completeRun(ledger, "a", "run-1", "near", 3*second)
	}),
	Entry("a stream that skips a chunk", BrokenStream, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", second)
		ledger.AttemptAnswered("a", 0, 2*second, reply(ChunkText("run-1", "a", 1)))
	}),
	Entry("a stream that repeats a chunk", BrokenStream, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", second)
		ledger.AttemptAnswered("a", 0, 2*second, reply(ChunkText("run-1", "a", 0), ChunkText("run-1", "a", 0)))
	}),
	Entry("a stream with chunks of two runs", BrokenStream, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", second)
		ledger.AttemptAnswered("a", 0, 2*second, reply(ChunkText("run-1", "a", 0), ChunkText("run-9", "a", 1)))
	}),
	Entry("an incomplete stream that is reported as finished", BrokenStream, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", second)
		ledger.AttemptAnswered("a", 0, 2*second, reply(ChunkText("run-1", "a", 0)))
	}),
	Entry("the answer to another call", WrongAnswer, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		sendCall(ledger, "b", 1)
		completeRun(ledger, "b", "run-1", "near", second)
		ledger.AttemptAnswered("a", 0, 2*second, Reply{Outcome: "interrupted", Chunks: []string{ChunkText("run-1", "b", 0)}, ChunkNumbers: []int64{0}})
		ledger.AttemptAnswered("b", 0, 2*second, Reply{Outcome: "interrupted"})
	}),
	Entry("a dispatch to a leaving server", DispatchWhileLeaving, func(ledger *Ledger) {
		ledger.ServerLeaving("near", second)
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", 7*second)
		ledger.AttemptAnswered("a", 0, 8*second, Reply{Outcome: "interrupted"})
	}),
	Entry("a dispatch to a drained zone", DispatchWhileDrained, func(ledger *Ledger) {
		ledger.ZoneDrained("zone-a", second)
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", 7*second)
		ledger.AttemptAnswered("a", 0, 8*second, Reply{Outcome: "interrupted"})
	}),
	Entry("a call that runs outside its home region", OutsideHomeRegion, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "far", second)
		ledger.AttemptAnswered("a", 0, 2*second, Reply{Outcome: "interrupted"})
	}),
	Entry("a node that keeps an old manifest", StaleManifest, func(ledger *Ledger) {
		ledger.ManifestAccepted(2, "d", second)
		ledger.ManifestHeld("m01", 1, 6*second, 4*second)
	}),
	Entry("a node that goes back to an older manifest", StaleManifest, func(ledger *Ledger) {
		ledger.ManifestHeld("m01", 3, second, 0)
		ledger.ManifestHeld("m01", 2, 2*second, 0)
	}),
	Entry("a revision that reads back changed", LostManifest, func(ledger *Ledger) {
		ledger.ManifestAccepted(2, "d", second)
		ledger.ManifestRead(2, "e", 2*second)
	}),
	Entry("two writes under one revision", LostManifest, func(ledger *Ledger) {
		ledger.ManifestAccepted(2, "d", second)
		ledger.ManifestAccepted(2, "e", second)
	}),
	Entry("an overloaded cold server", ColdServerOverload, func(ledger *Ledger) {
		ledger.ServerCold("near", second)
		for _, key := range []string{"a", "b", "c"} {
			sendCall(ledger, key, 1)
			ledger.RunStarted(key, "run-"+key, "near", 2*second)
			ledger.AttemptAnswered(key, 0, 3*second, Reply{Outcome: "interrupted"})
		}
	}),
	Entry("retries beyond the budget", ExcessRetries, func(ledger *Ledger) {
		sendCall(ledger, "a", 1)
		for range 12 {
			ledger.CallRefused("a", 2*second)
		}
		ledger.AttemptAnswered("a", 0, 3*second, Reply{Outcome: "unknown"})
	}),
	Entry("a burst of retries in a long quiet run", ExcessRetries, func(ledger *Ledger) {
		for index := range 1000 {
			key := fmt.Sprint("call ", index)
			sendCall(ledger, key, time.Duration(index)*second/2)
			ledger.AttemptAnswered(key, 0, time.Duration(index)*second/2, Reply{Outcome: "unknown"})
		}
		for range 14 {
			ledger.CallRefused("call 100", 60*second)
		}
	}),
	Entry("a region that recovers too slowly", SlowRecovery, func(ledger *Ledger) { ledger.RegionRecovered("home", second, 14*second) }),
)

var _ = Describe("a clean run", func() {
	It("has no violations", func() {
		ledger := newTestLedger()
		sendCall(ledger, "a", 1)
		completeRun(ledger, "a", "run-1", "near", second)
		ledger.AttemptAnswered("a", 0, 2*second, reply(ChunkText("run-1", "a", 0), ChunkText("run-1", "a", 1)))
		sendCall(ledger, "b", 1)
		ledger.AttemptAnswered("b", 0, 2*second, Reply{Outcome: "not_run"})
		sendCall(ledger, "b", 3*second)
		completeRun(ledger, "b", "run-2", "near", 4*second)
		ledger.AttemptAnswered("b", 1, 5*second, reply(ChunkText("run-2", "b", 0), ChunkText("run-2", "b", 1)))
		ledger.Close(100 * second)
		Expect(ledger.Violations()).To(BeEmpty())
	})
})
