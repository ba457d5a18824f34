package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
)

// serverState is what this node knows of one server.
type serverState struct {
	contract.Candidate
	region string
	// cacheEstimate models the server's prompt cache from what this node sent there; nil for a service without engines.
	cacheEstimate *engine.CacheEstimate
	// listed says that the server is in the current list. One that is not is removed once its calls have ended.
	listed bool
	// wrongServer says that another server answered at this one's address: it is not used again.
	wrongServer bool
	// inFlight is the number of calls that this node has at the server.
	inFlight int64
	// unreadTokens and unreadPrompts are the prompts of this node that the server has not finished reading.
	unreadTokens  int64
	unreadPrompts int64
	// load is what the server reported last, sentSinceLoad how many calls this node has sent since.
	load          Load
	sentSinceLoad int64
	// callTime is the moving average of a call's duration.
	callTime  time.Duration
	lastHeard time.Duration
	failures  int
	// backoffUntil is until when the server rests after failures; probing says that the one call that tries it then is under way.
	backoffUntil time.Duration
	probing      bool
	// misconducts counts the answers in a row that had more than an answer may have, shunnedUntil is until when the server rests for that.
	misconducts  int
	shunnedUntil time.Duration
	// nextProbe is when this node may probe again a server that is ill for all nodes.
	nextProbe time.Duration
	outcomes  recentOutcomes
	ramp      warmupRamp
	// regionRank is the server's rank among the regionSize servers of its service in its region.
	regionRank, regionSize int
	// promptSizes records the sizes of the prompts that go to the server's region and service.
	promptSizes *sizeHistory
	// sharesVersion is the version of the fleet and the configuration that the ramp was computed for.
	sharesVersion int
	cacheCheck    cacheCheckState
	nameHash      uint64
}

const (
	// smoothingWeight is the weight of the past in moving averages: a new value counts one part in smoothingWeight.
	smoothingWeight = 8
	// initialCallTime is the presumed duration of a call before one was measured.
	initialCallTime = 60 * time.Millisecond
)

// estimateLoad estimates how many calls the server has: what it reported last, and what this node has sent since.
func (server *serverState) estimateLoad() int64 {
	return max(server.inFlight, server.load.Running+server.load.Waiting+server.sentSinceLoad)
}

// updateLoad records a load that the server reported; nil changes nothing.
func (server *serverState) updateLoad(reported *Load) {
	if reported != nil {
		server.load, server.sentSinceLoad = *reported, 0
	}
}

// recordFailure lets the server rest for a time that doubles with each failure, from base up to limit.
func (server *serverState) recordFailure(now time.Duration, base, limit time.Duration) {
	rest := min(limit, base<<min(server.failures, 6))
	server.failures++
	server.backoffUntil, server.probing = now+rest, false
}

// recordMisconduct lets the server rest, whatever else it answers, for a time that doubles with each answer in a row that had more than an answer
// may have, from base up to limit.
func (server *serverState) recordMisconduct(now time.Duration, base, limit time.Duration) {
	if now < server.shunnedUntil {
		return
	}
	server.shunnedUntil = now + min(limit, base<<min(server.misconducts, 6))
	server.misconducts++
}

// isShunned reports whether the server rests after answers that had more than an answer may have, or works on the one call that tries it then.
func (server *serverState) isShunned(now time.Duration) bool {
	return now < server.shunnedUntil || server.misconducts > 0 && server.inFlight > 0
}

// recordSuccess ends the server's rest.
func (server *serverState) recordSuccess(now time.Duration) {
	server.failures, server.backoffUntil, server.probing = 0, 0, false
	server.lastHeard = now
}

// recordCallTime adds a call's duration to the moving average.
func (server *serverState) recordCallTime(duration time.Duration) {
	server.callTime += (duration - server.callTime) / smoothingWeight
}

// slots returns how many calls the server works on at once.
func (server *serverState) slots(service manifest.Service) int64 {
	switch {
	case server.load.Slots > 0:
		return server.load.Slots
	case service.Engine != nil:
		return service.Engine.Slots
	case server.Slots > 0:
		return server.Slots
	}
	return 1
}
