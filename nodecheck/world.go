// Package nodecheck plays whole control nodes against operators that race, lose answers and send again, and judges what the operators were
// told. Where modelcheck explores the core's agreement alone, this package drives the shipped owners of control nodes with their feeds,
// chains and data folders, in virtual time, over links that lose, delay, reorder and are cut, with losses of processes, power and disks.
//
// A walk is one day of a small fleet, drawn from a seed. Its history is checked for linearizability, and each answer for belonging to its
// order.
package nodecheck

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// world is virtual time and the links between nodes.
type world struct {
	now    time.Duration
	queue  events
	number int64
	random *rand.Rand
	nodes  []*node
	// cut are the links that pass nothing, from the first address to the second.
	cut    map[[2]string]bool
	judge  *judge
	fault  Fault
	counts Counts
}

// Counts tell what a walk did.
type Counts struct {
	Orders, Acknowledged, Refused, Unknown, SentAgain int
	Reads, ReadsRefused                               int
	Kills, PowerLosses, Wipes, Cuts, Freezes          int
	Views                                             int64
}

type event struct {
	at     time.Duration
	number int64
	work   func()
}

type events []event

func (queue events) Len() int { return len(queue) }
func (queue events) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].number < queue[right].number
}
func (queue events) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }
func (queue *events) Push(added any)      { *queue = append(*queue, added.(event)) }
func (queue *events) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// after has work done later.
func (world *world) after(span time.Duration, work func()) {
	world.number++
	heap.Push(&world.queue, event{at: world.now + span, number: world.number, work: work})
}

// run lets time pass until a moment or until something is broken.
func (world *world) run(until time.Duration) {
	for len(world.queue) > 0 && world.queue[0].at <= until && world.judge.violation == "" {
		next := heap.Pop(&world.queue).(event)
		world.now = next.at
		next.work()
	}
}

const (
	slowestLink = 15 * time.Millisecond
	// lossOdds is how seldom a message is lost, one in so many.
	lossOdds = 200
)

// between draws a span.
func (world *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(world.random.Int64N(int64(most-least)))
}

// carry has work done at the other end of a link, unless what is sent is lost on the way.
func (world *world) carry(from, to string, work func()) {
	if world.cut[[2]string{from, to}] || world.random.IntN(lossOdds) == 0 {
		return
	}
	world.after(world.between(time.Millisecond, slowestLink), work)
}

func (world *world) at(address string) *node {
	for _, node := range world.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

func (world *world) anyNode() *node { return world.nodes[world.random.IntN(len(world.nodes))] }

// isolate cuts a core node off from the other core nodes, or from all nodes; operators reach it in either case.
func (world *world) isolate(cut *node, fromAll bool) {
	for _, other := range world.nodes {
		if other != cut && (fromAll || other.core()) {
			world.cut[[2]string{cut.address, other.address}] = true
			world.cut[[2]string{other.address, cut.address}] = true
		}
	}
}
