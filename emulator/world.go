// Package emulator runs days of a deployment in memory and in virtual time: the state machines of the real programs against
// simulated servers, callers, an operator and a list of servers, with troubles drawn from a seed. Package rules checks what these
// observed.
package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/virtual"
)

// World is the virtual clock and the network between locations.
type World struct {
	virtual.Scheduler
	seed             uint64
	random           *rand.Rand
	net              Net
	cuts             map[[2]string]int
	isolated         map[string]int
	delayed          []delayedDelivery
	crossRegionBytes int64
	connections      int64
}

// location is an end of a network link: a machine, a server, or the callers of a zone. External ones are outside the deployment and
// have a longer delay.
type location struct {
	name, zone, region string
	external           bool
}

// delayedDelivery is something sent on a connection that a network cut holds up.
type delayedDelivery struct {
	from, to location
	deliver  func()
}

func newWorld(seed uint64, net Net) *World {
	return &World{seed: seed, random: rand.New(rand.NewPCG(seed, 7)), net: net, cuts: map[[2]string]int{}, isolated: map[string]int{}}
}

// randomSource gives a random source that depends only on the seed and the name, so that its draws don't change with the behaviour
// of the rest.
func (world *World) randomSource(name string) *rand.Rand {
	return rand.New(rand.NewPCG(world.seed, contract.RendezvousWeight(name)))
}

func (world *World) delay(from, to location) time.Duration {
	span := seconds(world.net.ZoneMs / 1000)
	switch {
	case from.region != to.region:
		span = seconds(world.net.RegionsMs / 1000)
	case from.zone != to.zone:
		span = seconds(world.net.ZonesMs / 1000)
	}
	if from.external || to.external {
		span += seconds(world.net.CallerMs / 1000)
	}
	return span + time.Duration(world.random.Int64N(int64(span)/5+1))
}

func (world *World) linkDown(from, to location) bool {
	return world.cuts[[2]string{from.name, to.name}] > 0 || world.isolated[from.name] > 0 || world.isolated[to.name] > 0
}

// sendMessage delivers a message after the link's delay, unless the link is cut when it is sent or when it arrives.
func (world *World) sendMessage(from, to location, then func()) {
	if world.linkDown(from, to) {
		return
	}
	world.After(world.delay(from, to), func() {
		if !world.linkDown(from, to) {
			then()
		}
	})
}

// deliverAt delivers something at a given time; while the link is cut, it is held until the cut is over.
func (world *World) deliverAt(from, to location, moment time.Duration, then func()) {
	world.At(moment, func() {
		if world.linkDown(from, to) {
			world.delayed = append(world.delayed, delayedDelivery{from, to, then})
			return
		}
		then()
	})
}

// deliverDelayed delivers what was held up on links that work again, in the order of sending.
func (world *World) deliverDelayed() {
	held := world.delayed
	world.delayed = nil
	for _, one := range held {
		if world.linkDown(one.from, one.to) {
			world.delayed = append(world.delayed, one)
			continue
		}
		world.After(world.delay(one.from, one.to), one.deliver)
	}
}

// cutBetween cuts the links between two sets of names in both directions, until mend is called.
func (world *World) cutBetween(left, right []string) (mend func()) {
	return world.cutLinks(world.links(left, right, false))
}

// links gives the links from one set of names to another and, unless oneWay, those in the other direction.
func (world *World) links(left, right []string, oneWay bool) [][2]string {
	links := [][2]string{}
	for _, one := range left {
		for _, other := range right {
			if one == other {
				continue
			}
			links = append(links, [2]string{one, other})
			if !oneWay {
				links = append(links, [2]string{other, one})
			}
		}
	}
	return links
}

func (world *World) cutLinks(links [][2]string) (mend func()) {
	for _, link := range links {
		world.cuts[link]++
	}
	return func() {
		for _, link := range links {
			world.cuts[link]--
		}
		world.deliverDelayed()
	}
}

// isolate cuts all links of a location until the returned function is called.
func (world *World) isolate(name string) (reconnect func()) {
	world.isolated[name]++
	return func() {
		world.isolated[name]--
		world.deliverDelayed()
	}
}

// conn is a connection. Data arrives in the order of sending, late while a cut holds it up. Arrays are indexed by side: dialer or
// acceptor.
type conn struct {
	world       *World
	ends        [2]location
	lastArrival [2]time.Duration
	open        [2]bool
	inFlight    [2][]func()
	onClose     [2]func()
	number      int64
}

const (
	dialer   = 0
	acceptor = 1
)

func (conn *conn) send(side int, size int64, then func()) {
	if !conn.open[side] {
		return
	}
	world, from, to := conn.world, conn.ends[side], conn.ends[1-side]
	if from.region != to.region {
		world.crossRegionBytes += size
	}
	conn.deliver(side, func() {
		if conn.open[1-side] {
			then()
			return
		}
		world.deliverAt(to, from, world.Now+world.delay(to, from), func() { conn.peerClosed(side) })
	})
}

// deliver transports something from one side to the other and keeps the order of sending.
func (conn *conn) deliver(side int, then func()) {
	world, from, to := conn.world, conn.ends[side], conn.ends[1-side]
	conn.lastArrival[side] = max(conn.lastArrival[side]+1, world.Now+world.delay(from, to))
	conn.inFlight[side] = append(conn.inFlight[side], then)
	world.deliverAt(from, to, conn.lastArrival[side], func() {
		first := conn.inFlight[side][0]
		conn.inFlight[side] = conn.inFlight[side][1:]
		first()
	})
}

func (conn *conn) peerClosed(side int) {
	if !conn.open[side] {
		return
	}
	conn.open[side] = false
	if conn.onClose[side] != nil {
		conn.onClose[side]()
	}
}

// close closes one side; the other side is notified.
func (conn *conn) close(side int) {
	if !conn.open[side] {
		return
	}
	conn.open[side] = false
	conn.deliver(side, func() { conn.peerClosed(1 - side) })
}

// drop closes one side without notifying the other, as after a power loss.
func (conn *conn) drop(side int) { conn.open[side] = false }

// dial opens a connection if accept agrees at the other end. It gives nil after a refusal or when the limit has passed.
func (world *World) dial(from, to location, limit time.Duration, accept func(*conn) bool, then func(*conn)) {
	world.connections++
	created, over := &conn{world: world, ends: [2]location{from, to}, open: [2]bool{true, true}, number: world.connections}, false
	end := func(opened *conn) {
		if over {
			if opened != nil {
				opened.close(dialer)
			}
			return
		}
		over = true
		then(opened)
	}
	world.After(limit, func() { end(nil) })
	created.lastArrival[dialer] = world.Now + world.delay(from, to)
	world.deliverAt(from, to, created.lastArrival[dialer], func() {
		valid := accept(created)
		created.lastArrival[acceptor] = world.Now + world.delay(to, from)
		world.deliverAt(to, from, created.lastArrival[acceptor], func() {
			if !valid {
				created.open = [2]bool{}
				end(nil)
				return
			}
			end(created)
		})
	})
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
