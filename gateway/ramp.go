package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// warmupRamp limits what this node sends to a server that is still cold (warming up). The nodes that may send there are the first ones in an order
// that all nodes compute alike, so that their shares add up to the server's rate.
type warmupRamp struct {
	// coldUntil is when the warm-up ends, nextSend when this node may send the next call before that.
	coldUntil time.Duration
	nextSend  time.Duration
	// sendInterval is the least time between two calls of this node; isSender says that it may send any.
	sendInterval time.Duration
	isSender     bool
	// suspected says that the owner of the server's list suspects it: it may come back cold at any moment.
	suspected bool
	// rank is this node's rank in the order.
	rank int
}

// The rate that is used is a part of what the server tolerates, less one call that each sender may have at the edge of a second, and less what may
// come from nodes that do not know yet that the server is cold.
const (
	rampRateFraction  = 0.9
	minRampRateFactor = 0.5
	maxRampRateFactor = 1.1
)

// minRatePerSender is the least rate, in calls a second, for which one more sender is used.
const minRatePerSender = 2.5

// computeShare computes how many nodes send to the server, whether this node is one of them, and at which interval. The rate is the server's in calls
// a second while it is cold; overage and allowance say by how much it may be exceeded (rate*overage + allowance calls in any second).
func (ramp *warmupRamp) computeShare(server, self string, nodes []string, totalRate, overage, allowance float64) {
	ordered := contract.RendezvousOrder("ramp/"+server, nodes)
	ramp.isSender, ramp.sendInterval, ramp.rank = false, 0, slices.Index(ordered, self)
	if ramp.rank < 0 {
		ramp.rank = math.MaxInt
	}
	if totalRate <= 0 || len(nodes) == 0 {
		return
	}
	senders := min(len(nodes), max(1, int(totalRate/minRatePerSender)))
	totalRate *= max(minRampRateFactor, min(maxRampRateFactor, rampRateFraction*(overage+(allowance-float64(senders))/totalRate)))
	ramp.isSender = ramp.rank < senders
	ramp.sendInterval = time.Duration(float64(time.Second) * float64(senders) / totalRate)
}

// isCold reports whether the server may be cold now.
func (ramp *warmupRamp) isCold(now time.Duration) bool { return ramp.suspected || now < ramp.coldUntil }

// allowsCall reports whether a call may go to the server now; recordCall records that one was sent.
func (ramp *warmupRamp) allowsCall(now time.Duration) bool {
	return !ramp.isCold(now) || ramp.isSender && now >= ramp.nextSend
}

func (ramp *warmupRamp) recordCall(now time.Duration) {
	if ramp.isCold(now) {
		ramp.nextSend = max(ramp.nextSend, now) + ramp.sendInterval
	}
}
