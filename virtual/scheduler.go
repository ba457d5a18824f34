package virtual

import "time"

// Scheduler runs events one after the other in virtual time; nothing in it looks at a real clock.
type Scheduler struct {
	Now   time.Duration
	queue Queue[func()]
}

// After lets something happen when a span has passed, at once if the span is negative, always after what is due now already.
func (scheduler *Scheduler) After(span time.Duration, then func()) {
	scheduler.queue.Push(scheduler.Now+max(0, span), then)
}

// At lets something happen at a moment, now if that is over.
func (scheduler *Scheduler) At(moment time.Duration, then func()) {
	scheduler.After(moment-scheduler.Now, then)
}

// RunUntil lets everything happen up to and with a moment.
func (scheduler *Scheduler) RunUntil(moment time.Duration) {
	for {
		at, there := scheduler.queue.Next()
		if !there || at > moment {
			break
		}
		scheduler.Now = at
		scheduler.queue.Pop()()
	}
	scheduler.Now = moment
}
