package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	// presumedTokensPerMs is the presumed reading speed of an engine in tokens a millisecond where its cache is checked. Of a slower engine, fewer
	// calls are taken for cached and more for missed.
	presumedTokensPerMs = 50
	// minSharedTokens is the least shared part of a prompt that decides where the call goes.
	minSharedTokens = 1000
	// costPerRunningCall is what one more running call adds to the time of another.
	costPerRunningCall = 1500 * time.Microsecond
	// otherZoneCost and otherRegionCost express the price of network traffic as time, otherRegionCostPer10KB that of 10,000 bytes to another region.
	otherZoneCost          = time.Millisecond
	otherRegionCost        = 80 * time.Millisecond
	otherRegionCostPer10KB = 10 * time.Millisecond
	// rereadCostFactor is the cost of reading shared tokens again, in multiples of the time that it takes.
	rereadCostFactor = 2
)

// newCacheEstimate returns an empty estimate of the prompt cache of one of the service's servers.
func newCacheEstimate(service manifest.Service) *engine.CacheEstimate {
	return engine.NewCacheEstimate(service.Engine.TokenCapacity)
}

// presumedReadTime returns how long an engine reads a number of tokens, where its cache is checked.
func presumedReadTime(tokens int64) time.Duration {
	return time.Duration(tokens) * time.Millisecond / presumedTokensPerMs
}

// openServers returns the servers that may take the call now, with includeResting also those that rest after failures.
func (router *Router) openServers(now time.Duration, call *callState, includeResting bool) []*serverState {
	limit := router.maxConnections(router.manifest.Gateway.Services[call.service])
	candidates := []*serverState{}
	for _, server := range router.serversByService[call.service] {
		if server.wrongServer || call.triedServers[server.Name] || router.manifest.Drained(server.Zone) || server.inFlight >= limit || router.blockedByWarmup(now, server, includeResting && len(call.triedServers) == 0) {
			continue
		}
		if len(call.route.AllowedRegions) > 0 && !slices.Contains(call.route.AllowedRegions, server.region) {
			continue
		}
		if !includeResting && (now < server.backoffUntil || server.isShunned(now) || server.probing || router.isResting(now, server)) {
			continue
		}
		candidates = append(candidates, server)
	}
	return candidates
}

// pickServer returns the server whose answer is expected at the lowest cost, with network prices counted as time, and the time until it begins to
// work on the call. The result is nil if no server may take the call.
func (router *Router) pickServer(now time.Duration, call *callState) (*serverState, time.Duration) {
	candidates := router.openServers(now, call, false)
	if len(candidates) == 0 {
		candidates = router.openServers(now, call, true)
	}
	if len(candidates) == 0 {
		return nil, 0
	}
	service, placeServer := router.manifest.Gateway.Services[call.service], ""
	isLong := call.Prompt.Shared() >= minSharedTokens
	relieved := service.Engine != nil && !isLong && router.longPromptsRelieved(now, call.service)
	if service.Engine != nil && call.Prompt.Shared() > 0 {
		placeServer = router.chooseHolder(now, candidates, call, isLong)
	}
	var chosen *serverState
	lowestCost, expectedWait := time.Duration(0), time.Duration(0)
	for _, server := range candidates {
		wait := router.estimateWait(server, service)
		cost := wait + router.distanceCost(server, call.Size) + time.Duration(router.random.Int64N(int64(2*time.Millisecond)))
		if service.Engine != nil {
			unreadTokens := router.estimateUnread(now, server, call.Prompt, placeServer)
			rereadTokens := max(0, unreadTokens-(call.Prompt.Input-call.Prompt.Shared()))
			if server.Name == placeServer {
				rereadTokens = 0
			}
			cost += router.readTime(call.service, unreadTokens+(rereadCostFactor-1)*rereadTokens) + time.Duration(server.estimateLoad())*costPerRunningCall
			if !isLong && router.isMixed(now, server) && server.meantForLong(relieved) {
				cost += server.interferenceCost()
			}
		}
		if chosen == nil || cost < lowestCost {
			chosen, lowestCost, expectedWait = server, cost, wait
		}
	}
	if service.Engine != nil && chosen != nil {
		call.cachedTokens = router.presumedCached(now, chosen, call.Prompt, placeServer)
		router.recordPromptSize(now, call, chosen.region, isLong)
	}
	return chosen, expectedWait
}

// chooseHolder returns the server that is meant to cache what the prompt shares with others: for long ones the place that the index names, otherwise
// the first in the rendezvous order, which all nodes compute alike. So a prompt that one server has read is not read again elsewhere.
func (router *Router) chooseHolder(now time.Duration, candidates []*serverState, call *callState, isLong bool) string {
	eligible := candidates
	if isLong {
		if slices.ContainsFunc(candidates, func(server *serverState) bool { return server.Name == call.placeServer }) {
			return call.placeServer
		}
		eligible = router.serversForLong(now, candidates, call)
	}
	return slices.MinFunc(eligible, rendezvous(call.Prompt.Anchor())).Name
}

// rendezvous compares two servers by their rank as the holder of a prompt, which is the same at all nodes (highest random weight hashing).
func rendezvous(anchor uint64) func(left, right *serverState) int {
	return func(left, right *serverState) int {
		return cmp.Compare(mixHash(right.nameHash^anchor), mixHash(left.nameHash^anchor))
	}
}

// serversForLong returns the servers that are meant for a long prompt: those of regions without short prompts, and a part of the servers of the other
// regions, so that short prompts need not wait behind long ones. While the region is short of capacity, or the prompt would delay short ones beyond
// what they tolerate, that part is left to the short ones, unless there are too few other servers.
func (router *Router) serversForLong(now time.Duration, candidates []*serverState, call *callState) []*serverState {
	separate, mixed, relieved, hasSpare := []*serverState{}, []*serverState{}, router.longPromptsRelieved(now, call.service), map[string]bool{}
	for _, server := range candidates {
		if !router.isMixed(now, server) {
			separate = append(separate, server)
			continue
		}
		if !server.meantForLong(relieved) {
			continue
		}
		if _, found := hasSpare[server.region]; !found {
			hasSpare[server.region] = !relieved || router.hasSpareCapacity(now, call.service, server.region)
		}
		if hasSpare[server.region] {
			mixed = append(mixed, server)
		}
	}
	if relieved && len(separate) > 0 {
		mixed = slices.DeleteFunc(mixed, func(server *serverState) bool { return router.wouldDisturb(call, server) })
	}
	if len(separate)+len(mixed) == 0 {
		return candidates
	}
	return slices.Concat(separate, mixed)
}

// mixHash scrambles the bits of a value (the finalizer of MurmurHash3).
func mixHash(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// estimateUnread returns how many tokens of a prompt the server presumably still has to read.
func (router *Router) estimateUnread(now time.Duration, server *serverState, prompt engine.Prompt, placeServer string) int64 {
	return max(0, prompt.Input-router.presumedCached(now, server, prompt, placeServer))
}

// estimateWait estimates how long a call waits at the server before its work begins.
func (router *Router) estimateWait(server *serverState, service manifest.Service) time.Duration {
	slots, running := server.slots(service), server.estimateLoad()
	if service.Engine != nil {
		wait := router.readTime(server.Pool, server.unreadTokens) + time.Duration(max(0, server.load.Waiting-server.unreadPrompts))*initialCallTime
		if excess := running + 1 - slots; excess > 0 {
			wait += time.Duration(excess) * initialCallTime
		}
		return wait
	}
	excess := max(0, running+1-slots)
	return server.callTime*time.Duration(excess)/time.Duration(slots) + server.callTime*time.Duration(running)/time.Duration(4*slots) + server.callTime
}

// distanceCost returns the network price of sending a call of a size in bytes to the server, as time.
func (router *Router) distanceCost(server *serverState, size int64) time.Duration {
	switch {
	case server.region != router.settings.Region:
		return otherRegionCost + time.Duration(size)*otherRegionCostPer10KB/10000
	case server.Zone != router.settings.Zone:
		return otherZoneCost
	}
	return 0
}

// silenceTimeout returns how long nothing may arrive before the server is doubted.
func (router *Router) silenceTimeout(now time.Duration, call *callState) time.Duration {
	silence := max(call.route.LatencyTarget, router.policy.Contact/8)
	return min(max(silence, router.readTime(call.service, call.unreadTokens)*2), max(time.Millisecond, call.deadline-now))
}

// connectTimeout limits the setting up of a connection to the server.
func (router *Router) connectTimeout(server *serverState) time.Duration {
	if server.region != router.settings.Region {
		return router.policy.Contact / 8
	}
	return router.policy.Contact / 16
}

// maxIdle returns how long a reused connection may have been idle. A call that must not run twice trusts only a recently used one.
func (router *Router) maxIdle(call *callState) time.Duration {
	if call.route.Repeatable() {
		return router.policy.Contact
	}
	return router.policy.Contact / 8
}

// maxConnections is this node's part of the connections that a server accepts from all nodes together.
func (router *Router) maxConnections(service manifest.Service) int64 {
	if service.MaxConnections <= 0 {
		return 1 << 20
	}
	return max(2, service.MaxConnections*9/10/int64(router.nodeCount()))
}

// priority returns the priority that the server is told: 2 for short prompts, and a negative one, which is not sent, for other calls.
func (router *Router) priority(call *callState) int {
	if call.Prompt.Input > 0 && call.Prompt.Shared() < minSharedTokens {
		return 2
	}
	return -1
}
