// Package virtual is what the simulations share: the event queue, the scheduler that runs in virtual time, and a simulated disk.
package virtual

import (
	"container/heap"
	"time"
)

// Queue is an event queue: it gives the earliest event first, and those of the same moment in the order in which they were pushed.
type Queue[Event any] struct {
	events events[Event]
	pushed int64
}

func (queue *Queue[Event]) Push(at time.Duration, event Event) {
	queue.pushed++
	heap.Push(&queue.events, &timed[Event]{at: at, number: queue.pushed, event: event})
}

// Next tells when the earliest event is due, if there is one.
func (queue *Queue[Event]) Next() (at time.Duration, there bool) {
	if len(queue.events) == 0 {
		return 0, false
	}
	return queue.events[0].at, true
}

// Pop takes the earliest event out of a queue that is not empty.
func (queue *Queue[Event]) Pop() Event { return heap.Pop(&queue.events).(*timed[Event]).event }

type timed[Event any] struct {
	at     time.Duration
	number int64
	event  Event
}

type events[Event any] []*timed[Event]

func (events events[Event]) Len() int { return len(events) }
func (events events[Event]) Less(left, right int) bool {
	if events[left].at != events[right].at {
		return events[left].at < events[right].at
	}
	return events[left].number < events[right].number
}
func (events events[Event]) Swap(left, right int) {
	events[left], events[right] = events[right], events[left]
}
func (events *events[Event]) Push(item any) { *events = append(*events, item.(*timed[Event])) }
func (events *events[Event]) Pop() any {
	old := *events
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*events = old[:len(old)-1]
	return last
}
