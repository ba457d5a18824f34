package hollow

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/virtual"
)

// leastDelay is the shortest link: what happens within it at one node cannot reach another, so that nodes are played side by side.
const leastDelay = 500 * time.Microsecond

// fewest nodes of a window are worth waking the workers for.
const fewest = 24

type delivery struct {
	at     time.Duration
	from   *Process
	target *Process
	event  contract.Event
	kind   string
	size   int
	decode time.Duration
	region string
}

// World is virtual time: windows of the shortest delay, the nodes of a window in parallel, their letters merged in a fixed order.
type World struct {
	Now       time.Duration
	queue     virtual.Queue[*delivery]
	processes []*Process
	addresses map[string]*Process
	servers   []contract.ServerRow
	loss      float64
	cut       func(from, to *Process) bool
	begin     []chan struct{}
	group     sync.WaitGroup
	turn      atomic.Int64
	active    []*Process
}

func newWorld(workers int) *World {
	world := &World{addresses: map[string]*Process{}, cut: func(_, _ *Process) bool { return false }}
	for range workers - 1 {
		begin := make(chan struct{}, 1)
		world.begin = append(world.begin, begin)
		go func() {
			runtime.LockOSThread()
			for range begin {
				world.work()
				world.group.Done()
			}
		}()
	}
	return world
}

// Close ends the workers.
func (world *World) Close() {
	for _, begin := range world.begin {
		close(begin)
	}
}

func (world *World) work() {
	for place := world.turn.Add(1) - 1; place < int64(len(world.active)); place = world.turn.Add(1) - 1 {
		world.active[place].play()
	}
}

func (world *World) push(item *delivery) { world.queue.Push(item.at, item) }

// Run lets virtual time pass up to a moment.
func (world *World) Run(until time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for world.due(until + 1) {
		began, _ := world.queue.Next()
		ends := min(began+leastDelay, until+1)
		world.active = world.active[:0]
		for world.due(ends) {
			next := world.queue.Pop()
			if len(next.target.inbox) == 0 {
				world.active = append(world.active, next.target)
			}
			next.target.inbox = append(next.target.inbox, next)
		}
		world.play()
		for _, process := range world.active {
			for _, item := range process.outbox {
				world.push(item)
			}
			clear(process.outbox)
			process.outbox = process.outbox[:0]
		}
	}
	world.Now = until
}

// due tells whether anything happens before a moment.
func (world *World) due(moment time.Duration) bool {
	at, there := world.queue.Next()
	return there && at < moment
}

func (world *World) play() {
	world.turn.Store(0)
	if len(world.active) < fewest {
		world.work()
		return
	}
	world.group.Add(len(world.begin))
	for _, begin := range world.begin {
		begin <- struct{}{}
	}
	world.work()
	world.group.Wait()
}

func weighed(from, to string) time.Duration {
	if from > to {
		from, to = to, from
	}
	return time.Duration(contract.Weight(from, to) % uint64(70*time.Millisecond))
}

// travel gives the time of one letter on its way: within a zone, between zones, between regions.
func travel(from, to *Process, chance float64) time.Duration {
	spread := func(span time.Duration) time.Duration { return time.Duration(chance * float64(span)) }
	switch {
	case from.region != to.region:
		return 10*time.Millisecond + weighed(from.region, to.region) + spread(2*time.Millisecond)
	case from.zone != to.zone:
		return time.Millisecond + spread(time.Millisecond)
	}
	return leastDelay + spread(500*time.Microsecond)
}
