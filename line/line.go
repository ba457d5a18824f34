// Package line holds the bounded queues of calls that wait for a server, one queue a route. Routes take turns, so that no class of calls
// starves another, and so do the callers of a route.
package line

import (
	"slices"
	"time"
)

// queue holds the waiting calls of one route: first in, first out for each caller, round-robin over the callers.
type queue struct {
	callers []string
	calls   map[string][]int64
	length  int64
}

// Queues holds the queues of all routes. Calls are identified by a token. The zero value is not usable; see New.
type Queues struct {
	routes  []string
	byRoute map[string]*queue
	// lastServed is the index of the route that was served last.
	lastServed int
	// meanDuration is the moving mean of how long a call runs, by route.
	meanDuration map[string]time.Duration
}

// New returns empty queues.
func New() *Queues {
	return &Queues{byRoute: map[string]*queue{}, meanDuration: map[string]time.Duration{}}
}

// Enqueue adds a call at the end of its caller's calls in the queue of a route. When the queue is full, the newest call of the caller with
// the most calls is displaced, unless the new call's caller would then have as many: the new call is not enqueued in that case. The token of
// a displaced call is returned, so that it can be refused at once; 0 means that none was.
func (queues *Queues) Enqueue(route, caller string, token, capacity int64) (joined bool, displaced int64) {
	current, found := queues.byRoute[route]
	if !found {
		current = &queue{calls: map[string][]int64{}}
		queues.routes, queues.byRoute[route] = append(queues.routes, route), current
	}
	if current.length >= capacity {
		longestCaller := current.longestCaller()
		if len(current.calls[longestCaller]) <= len(current.calls[caller])+1 {
			return false, 0
		}
		waiting := current.calls[longestCaller]
		displaced = waiting[len(waiting)-1]
		current.remove(displaced)
	}
	if len(current.calls[caller]) == 0 {
		current.callers = append(current.callers, caller)
	}
	current.calls[caller] = append(current.calls[caller], token)
	current.length++
	return true, displaced
}

// longestCaller returns the caller with the most calls in the queue, of several the one whose turn is first.
func (queue *queue) longestCaller() string {
	chosen := ""
	for _, caller := range queue.callers {
		if len(queue.calls[caller]) > len(queue.calls[chosen]) {
			chosen = caller
		}
	}
	return chosen
}

// remove removes a call, if it waits.
func (queue *queue) remove(token int64) {
	for callerIndex, caller := range queue.callers {
		index := slices.Index(queue.calls[caller], token)
		if index < 0 {
			continue
		}
		queue.length--
		queue.calls[caller] = slices.Delete(queue.calls[caller], index, index+1)
		if len(queue.calls[caller]) == 0 {
			delete(queue.calls, caller)
			queue.callers = slices.Delete(queue.callers, callerIndex, callerIndex+1)
		}
		return
	}
}

// Remove removes a call that no longer waits, such as one whose caller has left.
func (queues *Queues) Remove(route string, token int64) {
	if current, found := queues.byRoute[route]; found {
		current.remove(token)
	}
}

// Dispatch offers the first call of each queue in turn to take, and removes it if take returns true, until take has refused all of them.
// Within a queue the callers take turns.
func (queues *Queues) Dispatch(take func(token int64) bool) {
	refused := 0
	for refused < len(queues.routes) {
		queues.lastServed = (queues.lastServed + 1) % len(queues.routes)
		current := queues.byRoute[queues.routes[queues.lastServed]]
		if current.length == 0 || !take(current.calls[current.callers[0]][0]) {
			refused++
			continue
		}
		refused = 0
		caller := current.callers[0]
		current.remove(current.calls[caller][0])
		if len(current.callers) > 1 && current.callers[0] == caller {
			current.callers = append(current.callers[1:], caller)
		}
	}
}

// CallsAhead returns the number of calls that are served before a new call of a caller.
func (queues *Queues) CallsAhead(route, caller string) int {
	current, found := queues.byRoute[route]
	if !found {
		return 0
	}
	own := len(current.calls[caller])
	ahead := own
	for _, other := range current.callers {
		if other != caller {
			ahead += min(len(current.calls[other]), own+1)
		}
	}
	return ahead
}

// TotalWaiting returns the number of waiting calls of all routes.
func (queues *Queues) TotalWaiting() int {
	total := int64(0)
	for _, current := range queues.byRoute {
		total += current.length
	}
	return int(total)
}

// smoothing is the inverse weight of a new sample in the moving mean.
const smoothing = 8

// ObserveDuration adds the duration of a call of a route to the moving mean.
func (queues *Queues) ObserveDuration(route string, duration time.Duration) {
	former, found := queues.meanDuration[route]
	if !found {
		queues.meanDuration[route] = duration
		return
	}
	queues.meanDuration[route] = former + (duration-former)/smoothing
}

// MeanDuration returns the moving mean of how long calls of a route run, or 0 if none has ended yet.
func (queues *Queues) MeanDuration(route string) time.Duration { return queues.meanDuration[route] }

// EstimateWait estimates how long a call waits at a position in the queue, from 0 on, while a number of calls of the route run.
func (queues *Queues) EstimateWait(route string, position, running int) time.Duration {
	return queues.meanDuration[route] * time.Duration(position+1) / time.Duration(max(1, running))
}
