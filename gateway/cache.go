package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
)

const (
	// missesToDistrust is how many calls in a row must miss the cache that the index promised before the index of a server is distrusted.
	missesToDistrust = 2
	// missFraction is the part of the time for reading the promised tokens by which a first chunk must be late to count as a miss.
	missFraction = 0.7
	// cachedSpeedup is how many times faster than presumed an engine may read a prompt: a first chunk that came sooner proves that the prompt was
	// cached.
	cachedSpeedup = 1.5
	// sharedReadFraction corresponds to missFraction in what the owner of the index is told, which also knows the calls of other nodes. ownReadFactor
	// is how many times slower than presumed the unshared part of a prompt may be read.
	sharedReadFraction = 0.6
	ownReadFactor      = 1.2
)

// cacheCheckState records how far the shared index of cached prompts agrees with one server. The generation counts how often the index of the server
// was discarded for all nodes; the owner of the server's shard assigns it.
type cacheCheckState struct {
	generation int64
	// misses counts consecutive calls that missed the cache.
	misses int
	// distrustedUntil is when the index of the server is believed again.
	distrustedUntil time.Duration
	// stale says that this node found the index wrong in this generation; it is reported until the owner assigns a new one.
	stale bool
}

// isDistrusted reports whether only the prompts that this node has sent to the server since may be presumed cached there.
func (check *cacheCheckState) isDistrusted(now time.Duration) bool {
	return now < check.distrustedUntil
}

// presumedCached returns how many tokens of a prompt the server is presumed to have cached: what this node sent there, and on the server that is
// meant to hold the prompt all that it shares with others, unless the index of that server is distrusted.
func (router *Router) presumedCached(now time.Duration, server *serverState, prompt engine.Prompt, placeServer string) int64 {
	cached := int64(0)
	if server.cacheEstimate != nil {
		cached = server.cacheEstimate.CachedTokens(prompt)
	}
	if server.Name == placeServer && !server.cacheCheck.isDistrusted(now) {
		cached = max(cached, prompt.Shared())
	}
	return min(cached, prompt.Input)
}

// checkCache compares the first chunk of a call with the cached tokens that the index promised. A call is evidence only if this node sent its parts
// to the same server before, the server was otherwise idle, and the promised tokens would take far longer to read than everything else on the way.
func (router *Router) checkCache(now time.Duration, call *callState) {
	server, presumed := call.server, presumedReadTime(call.sentBeforeTokens)
	if call.sentBeforeTokens < minSharedTokens || !call.soleReader || server.load.Waiting > 1 {
		return
	}
	if now-call.sentAt <= presumedReadTime(call.Prompt.Input-call.sentBeforeTokens)+router.maxTransit(server)+time.Duration(float64(presumed)*missFraction) {
		server.cacheCheck.misses = 0
		return
	}
	if server.cacheCheck.misses++; server.cacheCheck.misses >= missesToDistrust {
		server.cacheCheck.stale = true
		router.distrustCache(now, server)
		server.cacheEstimate.Add(call.Prompt)
	}
}

// cacheObservation returns what a call's first chunk shows about the place of its prompt, whichever node sent the prompt there before. The owner of
// the index knows whether the prompt was read there, and whether it waited for prompts of other nodes.
func (router *Router) cacheObservation(now time.Duration, call *callState) index.Verdict {
	server, elapsed, shared := call.server, now-call.sentAt, call.Prompt.Shared()
	ownRead := presumedReadTime(call.Prompt.Input - shared)
	if elapsed < time.Duration(float64(presumedReadTime(call.Prompt.Input))/cachedSpeedup) {
		router.learnOverhead(server, elapsed-ownRead)
		return index.Kept
	}
	overhead, found := router.places.usualOverhead[server.region]
	if !found {
		overhead = router.maxTransit(server)
	}
	expected := time.Duration(float64(ownRead)*ownReadFactor) + overhead + max(router.policy.Contact/50, time.Duration(float64(presumedReadTime(shared))*sharedReadFraction))
	if !call.soleReader || server.load.Waiting > 1 || elapsed <= expected {
		return index.Unclear
	}
	return index.MissVerdict(elapsed, elapsed-expected+overhead/2)
}

// learnOverhead updates what calls to a region take apart from reading the prompt, from calls whose prompt was certainly cached.
func (router *Router) learnOverhead(server *serverState, elapsed time.Duration) {
	overhead, found := router.places.usualOverhead[server.region]
	if !found {
		overhead = max(0, elapsed)
	}
	router.places.usualOverhead[server.region] = overhead + (max(0, elapsed)-overhead)/smoothingWeight
}

// maxTransit returns the longest that a call and its answer take on the network, including one step of a busy server.
func (router *Router) maxTransit(server *serverState) time.Duration {
	if server.region != router.settings.Region {
		return 2*otherRegionCost + router.policy.Contact/40
	}
	return otherRegionCost + router.policy.Contact/40
}

// distrustCache discards this node's estimate of a server's cache: for a repeat window only what is sent from now on counts.
func (router *Router) distrustCache(now time.Duration, server *serverState) {
	server.cacheCheck.misses, server.cacheCheck.distrustedUntil = 0, now+router.policy.RepeatWindow
	if server.cacheEstimate != nil {
		server.cacheEstimate.Clear()
	}
}

// StaleCaches returns the servers of a region whose index entries this node found wrong, with the generation that was current then.
func (router *Router) StaleCaches(region string) map[string]int64 {
	stale := map[string]int64{}
	for name, server := range router.servers {
		if server.cacheCheck.stale && server.region == region {
			stale[name] = server.cacheCheck.generation
		}
	}
	return stale
}

// updateGeneration applies the generation of a server's index that the owner of its shard sent. A higher one means that other nodes found the index
// wrong, unless this node reported it itself.
func (router *Router) updateGeneration(now time.Duration, server *serverState, generation int64) {
	if generation == server.cacheCheck.generation {
		return
	}
	if generation > server.cacheCheck.generation && !server.cacheCheck.stale {
		router.distrustCache(now, server)
	}
	server.cacheCheck.generation, server.cacheCheck.stale = generation, false
}
