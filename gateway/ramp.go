package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// ramp bounds what this node sends to a server that is still cold. The nodes that may send there are the first ones in an order that
// all of them compute alike, so that their parts add up to the server's rate.
type ramp struct {
	until  time.Duration
	next   time.Duration
	period time.Duration
	member bool
	// held is a suspicion of the server's owner: it may come back cold at any moment.
	held bool
	// rank is this node's place in the order.
	rank int
}

// The rate that is used is a part of what is borne, less one call that each sender may have at the edge of a second, and less what
// may come from nodes that do not know yet that the server is cold.
const (
	rampPart  = 0.9
	rampLeast = 0.5
	rampMost  = 1.1
)

// callsPerPart is the least rate, in calls a second, that a part of a cold server's rate is worth.
const callsPerPart = 2.5

// share gives this node's part: how many nodes send there, and whether it is one of them.
func (ramp *ramp) share(server, self string, names []string, rate, overage, allowance float64) {
	ordered := contract.RendezvousOrder("ramp/"+server, names)
	ramp.member, ramp.period, ramp.rank = false, 0, slices.Index(ordered, self)
	if ramp.rank < 0 {
		ramp.rank = math.MaxInt
	}
	if rate <= 0 || len(names) == 0 {
		return
	}
	parts := min(len(names), max(1, int(rate/callsPerPart)))
	rate *= max(rampLeast, min(rampMost, rampPart*(overage+(allowance-float64(parts))/rate)))
	ramp.member = ramp.rank < parts
	ramp.period = time.Duration(float64(time.Second) * float64(parts) / rate)
}

// cold tells whether the server may be cold now.
func (ramp *ramp) cold(now time.Duration) bool { return ramp.held || now < ramp.until }

// open tells whether a call may go to the server now; taken notes that one went.
func (ramp *ramp) open(now time.Duration) bool {
	return !ramp.cold(now) || ramp.member && now >= ramp.next
}

func (ramp *ramp) taken(now time.Duration) {
	if ramp.cold(now) {
		ramp.next = max(ramp.next, now) + ramp.period
	}
}
