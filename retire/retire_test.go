package retire

import (
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRetire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retire")
}

const second = time.Second

func terms() Terms {
	return Terms{Retirement: manifest.Retirement{SettleTime: 5 * second, ReportInterval: second, ScaleDownTimeout: 30 * second, ReclaimTimeout: 8 * second, EvacuationTimeout: 5 * second},
		Lease: 1500 * time.Millisecond, MessageMargin: 250 * time.Millisecond}
}

// retirementScenario steps a retirement through time, with the evidence and load reports that its functions supply.
type retirementScenario struct {
	*Retirement
	number int64
	facts  func(at time.Duration) Evidence
	report func(at time.Duration) ReadResult
	reads  []time.Duration
}

func newScenario(cause Cause) *retirementScenario {
	scenario := &retirementScenario{Retirement: New(0, "server", "1", cause, 7, terms())}
	scenario.facts = func(at time.Duration) Evidence { return evidenceOf(7, 0, at) }
	scenario.report = scenario.idle
	return scenario
}

func evidenceOf(number, calls int64, at time.Duration) Evidence {
	return Evidence{Nodes: map[string]NodeStatus{"m01": {ListNumber: number, Calls: calls, ReportedAt: at, GrantedAt: at}}}
}

func (scenario *retirementScenario) idle(at time.Duration) ReadResult {
	scenario.number++
	return ReadResult{StartedAt: at, Report: contract.LoadReport{Server: "server", Incarnation: "1", Number: scenario.number, Complete: true}}
}

func (scenario *retirementScenario) busy(at time.Duration) ReadResult {
	result := scenario.idle(at)
	result.Report.Running = 1
	return result
}

func (scenario *retirementScenario) until(end time.Duration) *retirementScenario {
	for at := time.Duration(0); at <= end; at += 100 * time.Millisecond {
		read, over := scenario.Step(at, scenario.facts(at))
		if over {
			return scenario
		}
		if read {
			scenario.reads = append(scenario.reads, at)
			if scenario.Read(at, scenario.report(at)) {
				return scenario
			}
		}
	}
	return scenario
}

var _ = Describe("a retirement that succeeds", func() {
	It("waits for the window, reads once per poll interval, and releases on the second complete idle report", func() {
		scenario := newScenario(ScaleDown).until(20 * second)
		Expect(scenario.State).To(Equal(Released))
		Expect(scenario.reads).To(Equal([]time.Duration{5 * second, 6 * second}))
	})

	It("makes the window at least as long as a lease and a message delay", func() {
		short := terms()
		short.SettleTime = second
		retirement := New(0, "server", "1", ScaleDown, 7, short)
		Expect(retirement.WindowEnd).To(Equal(1750 * time.Millisecond))
	})

	It("waits until the lease of a data node that does not confirm has expired before it reads", func() {
		scenario := newScenario(ScaleDown)
		scenario.facts = func(at time.Duration) Evidence { return evidenceOf(6, 0, min(at, 8*second)) }
		scenario.until(20 * second)
		Expect(scenario.State).To(Equal(Released))
		Expect(scenario.reads[0]).To(BeNumerically(">", 8*second+1500*time.Millisecond))
	})

	It("does not read while a data node reports a call there, since an idle report can miss a call that has just been sent", func() {
		scenario := newScenario(ScaleDown)
		scenario.facts = func(at time.Duration) Evidence {
			if at < 9*second {
				return evidenceOf(7, 1, at)
			}
			return evidenceOf(7, 0, at)
		}
		scenario.until(20 * second)
		Expect(scenario.State).To(Equal(Released))
		Expect(scenario.reads[0]).To(BeNumerically(">=", 9*second))
	})
})

var _ = DescribeTable("a report that does not prove the server idle resets the count and holds", func(reason string, alter func(*retirementScenario, *ReadResult)) {
	scenario := newScenario(ScaleDown)
	count := 0
	scenario.report = func(at time.Duration) ReadResult {
		result := scenario.idle(at)
		if count++; count == 2 {
			alter(scenario, &result)
		}
		return result
	}
	scenario.until(6100 * time.Millisecond)
	Expect(scenario.State).To(Equal(Held))
	Expect(scenario.Reason).To(ContainSubstring(reason))
	Expect(scenario.IdleReports).To(BeZero())
	scenario.until(9 * second)
	Expect(scenario.State).To(Equal(Released), "two idle reports after it release")
},
	Entry("busy", "busy", func(_ *retirementScenario, result *ReadResult) { result.Report.Running = 1 }),
	Entry("waiting", "busy", func(_ *retirementScenario, result *ReadResult) { result.Report.Waiting = 1 }),
	Entry("partial", "partial", func(_ *retirementScenario, result *ReadResult) { result.Report.Complete = false }),
	Entry("refused, timed out or unreadable", "read failed", func(_ *retirementScenario, result *ReadResult) { result.Error = "no answer" }),
	Entry("repeated", "not a new one", func(scenario *retirementScenario, result *ReadResult) { result.Report.Number = 1; scenario.number-- }),
	Entry("sampled too early", "sampled", func(_ *retirementScenario, result *ReadResult) { result.Report.AgeMs = 2000 }),
	Entry("of another incarnation", "restarted", func(_ *retirementScenario, result *ReadResult) { result.Report.Incarnation = "2" }),
)

var _ = Describe("a retirement past its deadline", func() {
	It("aborts a scale-down and returns the server to service", func() {
		scenario := newScenario(ScaleDown)
		scenario.report = scenario.busy
		scenario.until(40 * second)
		Expect(scenario.State).To(Equal(Aborted))
		Expect(scenario.ReturnsToService()).To(BeTrue())
	})

	It("retries a scale to zero and never returns the server to service", func() {
		scenario := newScenario(ScaleZero)
		scenario.report = scenario.busy
		scenario.until(100 * second)
		Expect(scenario.State).To(Equal(Held))
		Expect(scenario.Attempts).To(Equal(4))
		Expect(scenario.ReturnsToService()).To(BeFalse())
	})

	It("releases a reclaimed server at the platform's deadline even if it is busy", func() {
		scenario := &retirementScenario{}
		limits := terms()
		limits.Remaining = 3 * second
		scenario.Retirement = New(0, "server", "1", Reclaim, 7, limits)
		scenario.facts, scenario.report = func(at time.Duration) Evidence { return evidenceOf(7, 3, at) }, scenario.busy
		scenario.until(2900 * time.Millisecond)
		Expect(scenario.State).NotTo(Equal(Released))
		scenario.until(3 * second)
		Expect(scenario.State).To(Equal(Released))
		Expect(scenario.ReturnsToService()).To(BeFalse())
		Expect(scenario.RecallsCalls()).To(BeTrue())
	})

	It("lets the running calls of a drained server continue after the evacuation time, then releases it when idle", func() {
		scenario := newScenario(Drain)
		scenario.report = func(at time.Duration) ReadResult {
			if at < 12*second {
				return scenario.busy(at)
			}
			return scenario.idle(at)
		}
		scenario.until(7 * second)
		Expect(scenario.State).To(Equal(Cutting))
		scenario.until(20 * second)
		Expect(scenario.State).To(Equal(Released))
		Expect(scenario.Reason).To(ContainSubstring("two complete idle reports"))
	})

	It("releases a drained server that never gets idle after the evacuation and hold time", func() {
		scenario := newScenario(Drain)
		scenario.report = scenario.busy
		scenario.until(60 * second)
		Expect(scenario.State).To(Equal(Released))
		Expect(scenario.Reason).To(ContainSubstring("cut"))
	})
})
