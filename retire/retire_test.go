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
	return Terms{Retirement: manifest.Retirement{Window: 5 * second, Poll: second, Hold: 30 * second, Drain: 8 * second, Evacuation: 5 * second},
		Lease: 1500 * time.Millisecond, Link: 250 * time.Millisecond}
}

// played drives one retirement through time, with a report for each second and the words of the data nodes.
type played struct {
	*Retirement
	number int64
	facts  func(at time.Duration) Facts
	report func(at time.Duration) Outcome
	reads  []time.Duration
}

func play(cause Cause) *played {
	story := &played{Retirement: New(0, "server", "1", cause, 7, terms())}
	story.facts = func(at time.Duration) Facts { return word(7, 0, at) }
	story.report = story.idle
	return story
}

func word(number, calls int64, at time.Duration) Facts {
	return Facts{Words: map[string]Word{"m01": {Number: number, Calls: calls, Told: at, Granted: at}}}
}

func (story *played) idle(at time.Duration) Outcome {
	story.number++
	return Outcome{Began: at, Report: contract.LoadReport{Server: "server", Incarnation: "1", Number: story.number, Complete: true}}
}

func (story *played) busy(at time.Duration) Outcome {
	outcome := story.idle(at)
	outcome.Report.Running = 1
	return outcome
}

func (story *played) until(end time.Duration) *played {
	for at := time.Duration(0); at <= end; at += 100 * time.Millisecond {
		read, over := story.Step(at, story.facts(at))
		if over {
			return story
		}
		if read {
			story.reads = append(story.reads, at)
			if story.Read(at, story.report(at)) {
				return story
			}
		}
	}
	return story
}

var _ = Describe("the ordinary path", func() {
	It("serves a window, reads once a poll, and releases on the second complete idle report", func() {
		story := play(ScaleDown).until(20 * second)
		Expect(story.State).To(Equal(Released))
		Expect(story.reads).To(Equal([]time.Duration{5 * second, 6 * second}))
	})

	It("makes the window at least the lease's life and a link's time", func() {
		short := terms()
		short.Window = second
		retirement := New(0, "server", "1", ScaleDown, 7, short)
		Expect(retirement.Ready).To(Equal(1750 * time.Millisecond))
	})

	It("waits out a data node that does not confirm, by its lease, and reads nothing before", func() {
		story := play(ScaleDown)
		story.facts = func(at time.Duration) Facts { return word(6, 0, min(at, 8*second)) }
		story.until(20 * second)
		Expect(story.State).To(Equal(Released))
		Expect(story.reads[0]).To(BeNumerically(">", 8*second+1500*time.Millisecond))
	})

	It("holds for the late prompt that an idle report misses, because a data node lists its call", func() {
		story := play(ScaleDown)
		story.facts = func(at time.Duration) Facts {
			if at < 9*second {
				return word(7, 1, at)
			}
			return word(7, 0, at)
		}
		story.until(20 * second)
		Expect(story.State).To(Equal(Released))
		Expect(story.reads[0]).To(BeNumerically(">=", 9*second))
	})
})

var _ = DescribeTable("a report that is no proof starts the count anew and holds", func(reason string, odd func(*played, *Outcome)) {
	story := play(ScaleDown)
	seen := 0
	story.report = func(at time.Duration) Outcome {
		outcome := story.idle(at)
		if seen++; seen == 2 {
			odd(story, &outcome)
		}
		return outcome
	}
	story.until(6100 * time.Millisecond)
	Expect(story.State).To(Equal(Held))
	Expect(story.Reason).To(ContainSubstring(reason))
	Expect(story.Idle).To(BeZero())
	story.until(9 * second)
	Expect(story.State).To(Equal(Released), "two good ones after it release")
},
	Entry("busy", "busy", func(_ *played, outcome *Outcome) { outcome.Report.Running = 1 }),
	Entry("waiting", "busy", func(_ *played, outcome *Outcome) { outcome.Report.Waiting = 1 }),
	Entry("partial", "partial", func(_ *played, outcome *Outcome) { outcome.Report.Complete = false }),
	Entry("refused, timed out or not to be read", "read failed", func(_ *played, outcome *Outcome) { outcome.Error = "no answer" }),
	Entry("not a new one", "not a new one", func(story *played, outcome *Outcome) { outcome.Report.Number = 1; story.number-- }),
	Entry("sampled too early", "sampled", func(_ *played, outcome *Outcome) { outcome.Report.AgeMs = 2000 }),
	Entry("of another incarnation", "restarted", func(_ *played, outcome *Outcome) { outcome.Report.Incarnation = "2" }),
)

var _ = Describe("a budget that is over", func() {
	It("ends a scale-down Aborted, with the server back in the picks", func() {
		story := play(ScaleDown)
		story.report = story.busy
		story.until(40 * second)
		Expect(story.State).To(Equal(Aborted))
		Expect(story.Returns()).To(BeTrue())
	})

	It("holds a scale to zero for good, counted and tried again, never back in the picks", func() {
		story := play(ScaleZero)
		story.report = story.busy
		story.until(100 * second)
		Expect(story.State).To(Equal(Held))
		Expect(story.Tries).To(Equal(4))
		Expect(story.Returns()).To(BeFalse())
	})

	It("ends a reclaim at the platform's time, whatever runs, and never returns it", func() {
		story := &played{}
		limits := terms()
		limits.Remaining = 3 * second
		story.Retirement = New(0, "server", "1", Reclaim, 7, limits)
		story.facts, story.report = func(at time.Duration) Facts { return word(7, 3, at) }, story.busy
		story.until(2900 * time.Millisecond)
		Expect(story.State).NotTo(Equal(Released))
		story.until(3 * second)
		Expect(story.State).To(Equal(Released))
		Expect(story.Returns()).To(BeFalse())
		Expect(story.Recalls()).To(BeTrue())
	})

	It("lets a drained server's running calls stream on past the evacuation, then releases it when idle", func() {
		story := play(Drain)
		story.report = func(at time.Duration) Outcome {
			if at < 12*second {
				return story.busy(at)
			}
			return story.idle(at)
		}
		story.until(7 * second)
		Expect(story.State).To(Equal(Cutting))
		story.until(20 * second)
		Expect(story.State).To(Equal(Released))
		Expect(story.Reason).To(ContainSubstring("two complete idle reports"))
	})

	It("cuts a drained server that never empties after evacuation and hold", func() {
		story := play(Drain)
		story.report = story.busy
		story.until(60 * second)
		Expect(story.State).To(Equal(Released))
		Expect(story.Reason).To(ContainSubstring("cut"))
	})
})
