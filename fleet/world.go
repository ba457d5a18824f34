// Package fleet runs a whole deployment in memory and in virtual time. It runs the state machines of the real processes over simulated
// links, disks and clocks, with simulated servers, platform, clients and operators, and injects faults selected by a seed.
package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/virtual"
)

// World holds virtual time, the random source and the links. Loss is the share of node messages that are lost, ExtraLatency the highest
// additional latency of a link. It never reads a real clock.
type World struct {
	virtual.Scheduler
	Random *rand.Rand
	// cut counts the active cuts of each link, from source to target.
	cut           map[[2]string]int
	healCount     int
	Loss          float64
	ExtraLatency  time.Duration
	regionLatency time.Duration
}

func newWorld(seed uint64, regionLatency time.Duration) *World {
	return &World{Random: rand.New(rand.NewPCG(seed, 77)), cut: map[[2]string]int{}, regionLatency: regionLatency}
}

// The latency of a link within a region is between minLinkLatency and minLinkLatency+linkJitter.
const (
	minLinkLatency = 300 * time.Microsecond
	linkJitter     = 700 * time.Microsecond
)

// location is where an endpoint is: a machine or server, or the clients of a zone or the platform of a region.
type location struct {
	name, zone, region string
}

// delay draws the latency of one delivery.
func (world *World) delay(from, to location) time.Duration {
	span := minLinkLatency + time.Duration(world.Random.Int64N(int64(linkJitter)))
	if from.region != to.region {
		span += world.regionLatency
	}
	if world.ExtraLatency > 0 {
		span += time.Duration(world.Random.Int64N(int64(world.ExtraLatency)))
	}
	return span
}

// deliver runs arrive after the latency of the link, unless the link is cut at either time. A lossy delivery may also get lost. It
// returns false if nothing was sent.
func (world *World) deliver(from, to location, lossy bool, arrive func()) bool {
	return world.deliverOrLose(from, to, lossy, arrive, func() {})
}

// deliverOrLose is deliver that also reports, through lost, that the link was cut during the delivery.
func (world *World) deliverOrLose(from, to location, lossy bool, arrive, lost func()) bool {
	if world.isCut(from, to) || lossy && world.Loss > 0 && world.Random.Float64() < world.Loss {
		return false
	}
	world.After(world.delay(from, to), func() {
		if world.isCut(from, to) {
			lost()
			return
		}
		arrive()
	})
	return true
}

func (world *World) isCut(from, to location) bool {
	return world.cut[[2]string{from.name, to.name}] > 0
}

// Cut cuts the links from each name on the left to each on the right. Cuts of a link add up; mend ends only this one.
func (world *World) Cut(left, right []string) (mend func()) {
	links, heals := [][2]string{}, world.healCount
	for _, source := range left {
		for _, target := range right {
			if source != target {
				links = append(links, [2]string{source, target})
				world.cut[[2]string{source, target}]++
			}
		}
	}
	return func() {
		if world.healCount != heals {
			return
		}
		for _, link := range links {
			if world.cut[link]--; world.cut[link] <= 0 {
				delete(world.cut, link)
			}
		}
	}
}

// CutBoth cuts the links between two groups in both directions.
func (world *World) CutBoth(left, right []string) (mend func()) {
	there, back := world.Cut(left, right), world.Cut(right, left)
	return func() {
		there()
		back()
	}
}

// Heal restores all links; the mend functions of earlier cuts then have no effect.
func (world *World) Heal() {
	world.cut = map[[2]string]int{}
	world.healCount++
}
