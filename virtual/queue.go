// Package virtual contains what the simulations share: an event queue, a scheduler in virtual time, a process and a disk.
package virtual

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of events. The earliest event comes first; events of the same time come in the order in which they were pushed.
// The zero value is an empty queue.
type Queue[Event any] struct {
	entries entries[Event]
	pushed  int64
}

// Push adds an event that is due at a time.
func (queue *Queue[Event]) Push(at time.Duration, event Event) {
	queue.pushed++
	heap.Push(&queue.entries, &entry[Event]{at: at, sequence: queue.pushed, event: event})
}

// NextTime returns when the earliest event is due, if there is one.
func (queue *Queue[Event]) NextTime() (at time.Duration, found bool) {
	if len(queue.entries) == 0 {
		return 0, false
	}
	return queue.entries[0].at, true
}

// Pop removes and returns the earliest event. The queue must not be empty.
func (queue *Queue[Event]) Pop() Event { return heap.Pop(&queue.entries).(*entry[Event]).event }

// entry is an event with its due time and its number in the order of pushes.
type entry[Event any] struct {
	at       time.Duration
	sequence int64
	event    Event
}

// entries implements heap.Interface.
type entries[Event any] []*entry[Event]

func (entries entries[Event]) Len() int { return len(entries) }
func (entries entries[Event]) Less(left, right int) bool {
	if entries[left].at != entries[right].at {
		return entries[left].at < entries[right].at
	}
	return entries[left].sequence < entries[right].sequence
}
func (entries entries[Event]) Swap(left, right int) {
	entries[left], entries[right] = entries[right], entries[left]
}
func (entries *entries[Event]) Push(item any) { *entries = append(*entries, item.(*entry[Event])) }
func (entries *entries[Event]) Pop() any {
	old := *entries
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*entries = old[:len(old)-1]
	return last
}
