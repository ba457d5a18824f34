package virtual

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the scheduler", func() {
	var scheduler *Scheduler
	var seen []string
	note := func(name string) func() {
		return func() { seen = append(seen, name+" at "+scheduler.Now.String()) }
	}

	BeforeEach(func() { scheduler, seen = &Scheduler{}, nil })

	It("runs what is due up to a time, inclusive, in order, and stops at that time", func() {
		scheduler.After(2*time.Second, note("b"))
		scheduler.After(time.Second, note("a"))
		scheduler.At(2*time.Second, note("c"))
		scheduler.After(2*time.Second+1, note("d"))
		scheduler.RunUntil(2 * time.Second)
		Expect(seen).To(Equal([]string{"a at 1s", "b at 2s", "c at 2s"}))
		Expect(scheduler.Now).To(Equal(2 * time.Second))
		scheduler.RunUntil(time.Minute)
		Expect(seen).To(HaveLen(4))
		Expect(scheduler.Now).To(Equal(time.Minute))
	})

	It("lets an action schedule others, which run after those of the same time that were scheduled before", func() {
		scheduler.At(time.Second, func() {
			note("first")()
			scheduler.After(0, note("third"))
			scheduler.After(time.Second, note("fourth"))
		})
		scheduler.At(time.Second, note("second"))
		scheduler.RunUntil(3 * time.Second)
		Expect(seen).To(Equal([]string{"first at 1s", "second at 1s", "third at 1s", "fourth at 2s"}))
	})

	It("never goes back: an action that is due in the past runs now", func() {
		scheduler.RunUntil(time.Minute)
		scheduler.After(-time.Second, note("a"))
		scheduler.At(time.Second, note("b"))
		scheduler.RunUntil(time.Minute)
		Expect(seen).To(Equal([]string{"a at 1m0s", "b at 1m0s"}))
	})
})
