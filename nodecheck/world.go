// Package nodecheck tests whole control nodes against concurrent operators that lose answers and retry, and checks the answers that the
// operators receive. Where modelcheck tests only the replication of the core, this package drives the production control.Controller with its
// feed, chain and data folder, in virtual time, over links that lose, delay and reorder messages and are cut, with process crashes, power
// losses and disk losses.
//
// A walk is one simulated run of a small fleet; its seed determines everything. Its history is checked for linearizability, and each answer
// is checked against its order. An order is an operator's request to change the configuration or to drain a zone.
package nodecheck

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation is a discrete-event simulation of the nodes, the links between them and virtual time.
type simulation struct {
	now          time.Duration
	queue        eventQueue
	lastSequence int64
	random       *rand.Rand
	nodes        []*node
	// blockedLinks drop all messages from the first address to the second.
	blockedLinks map[[2]string]bool
	checker      *checker
	fault        Fault
	counts       Counts
}

// Counts are the totals of a walk. Its fields are printed by name. Unknown counts orders without a definite answer, SentAgain acknowledged
// orders that were sent again, and Views is the highest view number (in a Summary the sum over walks).
type Counts struct {
	Orders, Acknowledged, Refused, Unknown, SentAgain int
	Reads, ReadsRefused                               int
	Kills, PowerLosses, Wipes, Cuts, Freezes          int
	Views                                             int64
}

// event is an action scheduled at a point of virtual time; sequence orders events of the same time.
type event struct {
	at       time.Duration
	sequence int64
	action   func()
}

// eventQueue is a heap (container/heap) of events, earliest first.
type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].sequence < queue[right].sequence
}
func (queue eventQueue) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }
func (queue *eventQueue) Push(value any)      { *queue = append(*queue, value.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// schedule runs an action after a delay of virtual time.
func (simulation *simulation) schedule(delay time.Duration, action func()) {
	simulation.lastSequence++
	heap.Push(&simulation.queue, event{at: simulation.now + delay, sequence: simulation.lastSequence, action: action})
}

// run executes events up to a point of virtual time, or until a check fails.
func (simulation *simulation) run(deadline time.Duration) {
	for len(simulation.queue) > 0 && simulation.queue[0].at <= deadline && simulation.checker.violation == "" {
		next := heap.Pop(&simulation.queue).(event)
		simulation.now = next.at
		next.action()
	}
}

const (
	maxLinkLatency = 15 * time.Millisecond
	// lossOneIn is the mean number of messages per lost one.
	lossOneIn = 200
)

// randomDuration draws a duration of at least shortest and less than longest.
func (simulation *simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(simulation.random.Int64N(int64(longest-shortest)))
}

// transmit runs an action at the other end of a link after a random latency, unless the message is lost or the link is blocked.
func (simulation *simulation) transmit(from, to string, action func()) {
	if simulation.blockedLinks[[2]string{from, to}] || simulation.random.IntN(lossOneIn) == 0 {
		return
	}
	simulation.schedule(simulation.randomDuration(time.Millisecond, maxLinkLatency), action)
}

func (simulation *simulation) nodeAt(address string) *node {
	for _, node := range simulation.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

func (simulation *simulation) randomNode() *node {
	return simulation.nodes[simulation.random.IntN(len(simulation.nodes))]
}

// isolate blocks the links between a core node and the other core nodes, or all nodes; operators reach it in either case.
func (simulation *simulation) isolate(isolated *node, fromAll bool) {
	for _, other := range simulation.nodes {
		if other != isolated && (fromAll || other.isCore()) {
			simulation.blockedLinks[[2]string{isolated.address, other.address}] = true
			simulation.blockedLinks[[2]string{other.address, isolated.address}] = true
		}
	}
}
