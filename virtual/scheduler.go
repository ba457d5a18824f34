package virtual

import "time"

// Scheduler runs actions one after the other in virtual time, independently of any real clock. Now is the current virtual time.
type Scheduler struct {
	Now   time.Duration
	queue Queue[func()]
}

// After schedules an action after a delay. A negative delay counts as 0; the action still runs after those that are already due.
func (scheduler *Scheduler) After(delay time.Duration, action func()) {
	scheduler.queue.Push(scheduler.Now+max(0, delay), action)
}

// At schedules an action at a time, or now if that is past.
func (scheduler *Scheduler) At(moment time.Duration, action func()) {
	scheduler.After(moment-scheduler.Now, action)
}

// RunUntil runs all actions that are due up to a time, inclusive, and advances Now to it.
func (scheduler *Scheduler) RunUntil(moment time.Duration) {
	for {
		at, found := scheduler.queue.NextTime()
		if !found || at > moment {
			break
		}
		scheduler.Now = at
		scheduler.queue.Pop()()
	}
	scheduler.Now = moment
}
