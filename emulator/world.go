// Package emulator plays days of a deployment in memory and in virtual time: the owners that the programs run, against stand-ins for
// servers, callers, the operator and the list of servers, with troubles drawn by seed. Package rules judges what the stand-ins saw.
package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/virtual"
)

// World is virtual time and the links between places.
type World struct {
	virtual.Scheduler
	seed   uint64
	random *rand.Rand
	net    Net
	cuts   map[[2]string]int
	dark   map[string]int
	held   []parcel
	far    int64
	conns  int64
}

// place is where something stands: a machine, a server, or the callers of a zone.
type place struct {
	name, zone, region string
	outside            bool
}

type parcel struct {
	from, to place
	then     func()
}

func newWorld(seed uint64, net Net) *World {
	return &World{seed: seed, random: rand.New(rand.NewPCG(seed, 7)), net: net, cuts: map[[2]string]int{}, dark: map[string]int{}}
}

// source gives a stream of chance of its own, so that what draws from it is the same whatever the rest does.
func (world *World) source(name string) *rand.Rand {
	return rand.New(rand.NewPCG(world.seed, contract.RendezvousWeight(name)))
}

func (world *World) delay(from, to place) time.Duration {
	span := seconds(world.net.ZoneMs / 1000)
	switch {
	case from.region != to.region:
		span = seconds(world.net.RegionsMs / 1000)
	case from.zone != to.zone:
		span = seconds(world.net.ZonesMs / 1000)
	}
	if from.outside || to.outside {
		span += seconds(world.net.CallerMs / 1000)
	}
	return span + time.Duration(world.random.Int64N(int64(span)/5+1))
}

func (world *World) broken(from, to place) bool {
	return world.cuts[[2]string{from.name, to.name}] > 0 || world.dark[from.name] > 0 || world.dark[to.name] > 0
}

// post carries a message; a cut loses it.
func (world *World) post(from, to place, then func()) {
	if world.broken(from, to) {
		return
	}
	world.After(world.delay(from, to), func() {
		if !world.broken(from, to) {
			then()
		}
	})
}

// carry brings something at a moment; a cut holds it up.
func (world *World) carry(from, to place, moment time.Duration, then func()) {
	world.At(moment, func() {
		if world.broken(from, to) {
			world.held = append(world.held, parcel{from, to, then})
			return
		}
		then()
	})
}

// mended lets go on what was held up, in its order.
func (world *World) mended() {
	held := world.held
	world.held = nil
	for _, one := range held {
		if world.broken(one.from, one.to) {
			world.held = append(world.held, one)
			continue
		}
		world.After(world.delay(one.from, one.to), one.then)
	}
}

// cut breaks the links between two sets of names, both ways, until mend.
func (world *World) cut(left, right []string) (mend func()) {
	return world.cutLinks(world.links(left, right, false))
}

// links gives those from one set of names to another, and those back unless only one way is meant.
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
		world.mended()
	}
}

// darken makes a place say and hear nothing until it is lit again.
func (world *World) darken(name string) (light func()) {
	world.dark[name]++
	return func() {
		world.dark[name]--
		world.mended()
	}
}

// conn is a connection; what is sent on it arrives in order, late when a cut holds it up.
type conn struct {
	world  *World
	ends   [2]place
	last   [2]time.Duration
	live   [2]bool
	queue  [2][]func()
	closed [2]func()
	number int64
}

const (
	near = 0
	far  = 1
)

func (conn *conn) send(side int, size int64, then func()) {
	if !conn.live[side] {
		return
	}
	world, from, to := conn.world, conn.ends[side], conn.ends[1-side]
	if from.region != to.region {
		world.far += size
	}
	conn.bring(side, func() {
		if conn.live[1-side] {
			then()
			return
		}
		world.carry(to, from, world.Now+world.delay(to, from), func() { conn.gone(side) })
	})
}

// bring carries something from one side to the other; what arrives first is always what was sent first.
func (conn *conn) bring(side int, then func()) {
	world, from, to := conn.world, conn.ends[side], conn.ends[1-side]
	conn.last[side] = max(conn.last[side]+1, world.Now+world.delay(from, to))
	conn.queue[side] = append(conn.queue[side], then)
	world.carry(from, to, conn.last[side], func() {
		first := conn.queue[side][0]
		conn.queue[side] = conn.queue[side][1:]
		first()
	})
}

func (conn *conn) gone(side int) {
	if !conn.live[side] {
		return
	}
	conn.live[side] = false
	if conn.closed[side] != nil {
		conn.closed[side]()
	}
}

// close ends one side; the other one hears of it.
func (conn *conn) close(side int) {
	if !conn.live[side] {
		return
	}
	conn.live[side] = false
	conn.bring(side, func() { conn.gone(1 - side) })
}

// lose ends one side without a word.
func (conn *conn) lose(side int) { conn.live[side] = false }

// dial opens a connection; accept is asked at the other end. After limit, or when it is refused, there is none.
func (world *World) dial(from, to place, limit time.Duration, accept func(*conn) bool, then func(*conn)) {
	world.conns++
	made, over := &conn{world: world, ends: [2]place{from, to}, live: [2]bool{true, true}, number: world.conns}, false
	end := func(opened *conn) {
		if over {
			if opened != nil {
				opened.close(near)
			}
			return
		}
		over = true
		then(opened)
	}
	world.After(limit, func() { end(nil) })
	made.last[near] = world.Now + world.delay(from, to)
	world.carry(from, to, made.last[near], func() {
		fine := accept(made)
		made.last[far] = world.Now + world.delay(to, from)
		world.carry(to, from, made.last[far], func() {
			if !fine {
				made.live = [2]bool{}
				end(nil)
				return
			}
			end(made)
		})
	})
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
