// Package fleet plays a whole deployment in memory and in virtual time: the same owners as in the processes,
// with seeded links, disks and clocks, and stand-ins for servers, platform, callers and operators.
package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/virtual"
)

// World is virtual time and the links; nothing in it looks at a real clock.
type World struct {
	virtual.Scheduler
	Random *rand.Rand
	cut    map[[2]string]int
	heals  int
	Loss   float64
	Slow   time.Duration
	gap    time.Duration
}

func newWorld(seed uint64, gap time.Duration) *World {
	return &World{Random: rand.New(rand.NewPCG(seed, 77)), cut: map[[2]string]int{}, gap: gap}
}

const (
	linkBase   = 300 * time.Microsecond
	linkSpread = 700 * time.Microsecond
)

// place is where something stands: a machine, or one of the outside things of a zone.
type place struct {
	name, zone, region string
}

func (world *World) delay(from, to place) time.Duration {
	span := linkBase + time.Duration(world.Random.Int64N(int64(linkSpread)))
	if from.region != to.region {
		span += world.gap
	}
	if world.Slow > 0 {
		span += time.Duration(world.Random.Int64N(int64(world.Slow)))
	}
	return span
}

// travel carries something from place to place unless the link is cut, now or on arrival.
func (world *World) travel(from, to place, lossy bool, then func()) bool {
	return world.carry(from, to, lossy, then, func() {})
}

// carry travels, and tells when the link was cut on the way.
func (world *World) carry(from, to place, lossy bool, then, lost func()) bool {
	if world.broken(from, to) || lossy && world.Loss > 0 && world.Random.Float64() < world.Loss {
		return false
	}
	world.After(world.delay(from, to), func() {
		if world.broken(from, to) {
			lost()
			return
		}
		then()
	})
	return true
}

func (world *World) broken(from, to place) bool {
	return world.cut[[2]string{from.name, to.name}] > 0
}

// Cut breaks links from each on the left to each on the right; cuts add up, and the end of one mends only itself.
func (world *World) Cut(left, right []string) (mend func()) {
	links, heals := [][2]string{}, world.heals
	for _, one := range left {
		for _, other := range right {
			if one != other {
				links = append(links, [2]string{one, other})
				world.cut[[2]string{one, other}]++
			}
		}
	}
	return func() {
		if world.heals != heals {
			return
		}
		for _, link := range links {
			if world.cut[link]--; world.cut[link] <= 0 {
				delete(world.cut, link)
			}
		}
	}
}

func (world *World) CutBoth(left, right []string) (mend func()) {
	there, back := world.Cut(left, right), world.Cut(right, left)
	return func() {
		there()
		back()
	}
}

// Heal mends every link.
func (world *World) Heal() {
	world.cut = map[[2]string]int{}
	world.heals++
}
