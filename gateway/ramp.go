package gateway

import (
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
	ramp.member, ramp.period = false, 0
	if rate <= 0 || len(names) == 0 {
		return
	}
	parts := min(len(names), max(1, int(rate/callsPerPart)))
	rate *= max(rampLeast, min(rampMost, rampPart*(overage+(allowance-float64(parts))/rate)))
	for _, name := range contract.Ordered("ramp/"+server, names)[:parts] {
		ramp.member = ramp.member || name == self
	}
	ramp.period = time.Duration(float64(time.Second) * float64(parts) / rate)
}

// open tells whether a call may go to the server now; taken notes that one went.
func (ramp *ramp) open(now time.Duration) bool {
	return now >= ramp.until || ramp.member && now >= ramp.next
}

func (ramp *ramp) taken(now time.Duration) {
	if now < ramp.until {
		ramp.next = max(ramp.next, now) + ramp.period
	}
}
