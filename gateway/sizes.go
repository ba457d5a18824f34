package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// interferenceFraction is what a short call expects to lose at a server that reads long prompts, as a part of the pause that it tolerates;
	// defaultInterference applies while that pause is unknown. It never exceeds maxInterference, so that it drives no call out of its region.
	interferenceFraction = 1.0 / 6
	defaultInterference  = 40 * time.Millisecond
	maxInterference      = otherRegionCost * 15 / 16
	// At least one in separateServersDivisor of all servers must be in regions without short prompts for these to take most long ones.
	separateServersDivisor = 3
	// minServersToSplit is the least number of servers of a region that are divided by the length of prompts.
	minServersToSplit = 4
	// A region is short of capacity once more than maxBusySlotFraction of its slots are taken, or less than minWarmFraction of its servers are warm.
	// It counts as short while less than minReportedFraction of its servers have reported their load.
	maxBusySlotFraction = 0.4
	minWarmFraction     = 0.75
	minReportedFraction = 0.25
	// maxPauseFraction is the part of the pause tolerated by short calls that the reading of one prompt beside them may take.
	maxPauseFraction = 0.5
	// The answer whether other regions take most long prompts is remembered for one part in reliefMemoryDivisor of the contact time.
	reliefMemoryDivisor = 64
	// One part in settleDivisor of the contact time is enough for all nodes to report what they send where: two requests for lists and their answers.
	settleDivisor = 4
)

// sizeHistory records the sizes of the prompts that go to a service in a region. LastLong and lastShort are when this node last sent a call with a
// long and with a short prompt. MinPause is the shortest pause that the short ones tolerate, 0 if unknown, and minPauseAt when a call that tolerates
// no more was last sent. FleetMinPause is the shortest pause that the short ones of any node tolerate, 0 if none go there.
type sizeHistory struct{ lastLong, lastShort, minPause, minPauseAt, fleetMinPause time.Duration }

// hasRecentShort reports whether this node has sent short prompts there within the window.
func (history *sizeHistory) hasRecentShort(now, window time.Duration) bool {
	return history.lastShort > 0 && now-history.lastShort < window
}

// shortestPause returns the shortest pause that short prompts of any node tolerate there, 0 if unknown.
func (history *sizeHistory) shortestPause() time.Duration {
	if history.minPause == 0 || history.fleetMinPause > 0 && history.fleetMinPause < history.minPause {
		return history.fleetMinPause
	}
	return history.minPause
}

// Observations returns what this node observes of the calls that it sends to a region: the services that get short prompts there, with the shortest
// pause that these tolerate in ms, and the time that engines take to read 1,000 tokens, in microseconds.
func (router *Router) Observations(now time.Duration, region string) contract.CallObservations {
	observed := contract.CallObservations{ShortPromptGapMs: map[string]int64{}, PrefillUsPerK: map[string]int64{}}
	for key, history := range router.promptSizes {
		if key.region == region && history.hasRecentShort(now, router.policy.RepeatWindow) {
			observed.ShortPromptGapMs[key.service] = max(1, history.minPause.Milliseconds())
		}
	}
	for service, speed := range router.readSpeeds {
		if readTime, found := speed.ownReadTime(); found {
			observed.PrefillUsPerK[service] = readTime.Microseconds()
		}
	}
	return observed
}

// applyObservations records what all nodes together observe.
func (router *Router) applyObservations(event ObservationsChanged) {
	for key, history := range router.promptSizes {
		if key.region == event.Region {
			history.fleetMinPause = 0
		}
	}
	for service, pause := range event.ShortPromptGapMs {
		router.sizeHistoryOf(service, event.Region).fleetMinPause = time.Duration(pause) * time.Millisecond
	}
	for service, readTime := range event.PrefillUsPerK {
		router.readSpeedOf(service).fleetWide = time.Duration(readTime) * time.Microsecond
	}
	router.longPromptReliefs = map[string]longPromptRelief{}
}

// serviceRegion identifies a service in a region.
type serviceRegion struct{ service, region string }

// sizeHistoryOf returns the history of a service in a region, which it creates if needed.
func (router *Router) sizeHistoryOf(service, region string) *sizeHistory {
	key := serviceRegion{service, region}
	history, found := router.promptSizes[key]
	if !found {
		history = &sizeHistory{}
		router.promptSizes[key] = history
	}
	return history
}

// recordPromptSize records that a call with a long or a short prompt goes to a region.
func (router *Router) recordPromptSize(now time.Duration, call *callState, region string, isLong bool) {
	history := router.sizeHistoryOf(call.service, region)
	if isLong {
		history.lastLong = now
		return
	}
	if tolerated := toleratedPause(call); tolerated > 0 && (history.minPause == 0 || tolerated <= history.minPause || now-history.minPauseAt >= router.policy.RepeatWindow) {
		history.minPause, history.minPauseAt = tolerated, now
	}
	history.lastShort = now
}

// toleratedPause returns the longest time without a chunk that a call tolerates: the target for the first chunk (Aim), or that for the gap between
// later ones (Gap) if it is shorter.
func toleratedPause(call *callState) time.Duration {
	if call.route.TokenGap > 0 && (call.route.LatencyTarget == 0 || call.route.TokenGap < call.route.LatencyTarget) {
		return call.route.TokenGap
	}
	return call.route.LatencyTarget
}

// wouldDisturb reports whether reading the call's prompt would occupy the server for longer than the short calls that go to its region tolerate.
func (router *Router) wouldDisturb(call *callState, server *serverState) bool {
	pause := server.promptSizes.shortestPause()
	return pause > 0 && router.readTime(call.service, call.Prompt.Input) > time.Duration(maxPauseFraction*float64(pause))
}

// interferenceCost returns what a short call expects to lose at a server that reads long prompts.
func (server *serverState) interferenceCost() time.Duration {
	if pause := server.promptSizes.shortestPause(); pause > 0 {
		return min(maxInterference, time.Duration(interferenceFraction*float64(pause)))
	}
	return defaultInterference
}

// isMixed reports whether the region of the server gets short prompts besides long ones.
func (router *Router) isMixed(now time.Duration, server *serverState) bool {
	return server.promptSizes.fleetMinPause > 0 || server.promptSizes.hasRecentShort(now, router.policy.RepeatWindow) || router.isSettling(now, server.Pool)
}

// isSettling reports that the first calls of a service came so lately that it is not known yet which regions get no short prompts: until then, any
// may.
func (router *Router) isSettling(now time.Duration, service string) bool {
	firstCall, found := router.firstCalls[service]
	return !found || now-firstCall < router.policy.Contact/settleDivisor
}

// hasSpareCapacity reports whether a region has room for long prompts besides short ones, by what its servers reported to this node.
func (router *Router) hasSpareCapacity(now time.Duration, service, region string) bool {
	settings, total, reported, warm, running, slots := router.manifest.Gateway.Services[service], 0.0, 0.0, 0.0, 0.0, 0.0
	for _, server := range router.serversByService[service] {
		if server.region != region {
			continue
		}
		total++
		if !router.isUsable(now, server) {
			continue
		}
		warm++
		if server.load.Slots > 0 {
			reported++
			running += float64(server.estimateLoad())
			slots += float64(server.slots(settings))
		}
	}
	return reported >= minReportedFraction*total && warm >= minWarmFraction*total && running <= maxBusySlotFraction*slots
}

// splitServers ranks the servers of each region in an order that is the same at all nodes (the first ones are meant for long prompts) and links each
// server to the history of its region.
func (router *Router) splitServers() {
	router.longPromptReliefs = map[string]longPromptRelief{}
	for service, servers := range router.serversByService {
		regions := map[string][]string{}
		for _, server := range servers {
			regions[server.region] = append(regions[server.region], server.Name)
		}
		ranks := map[string]int{}
		for _, names := range regions {
			for rank, name := range contract.RendezvousOrder("long", names) {
				ranks[name] = rank
			}
		}
		for _, server := range servers {
			server.regionRank, server.regionSize = ranks[server.Name], len(regions[server.region])
			server.promptSizes = router.sizeHistoryOf(service, server.region)
		}
	}
}

// meantForLong reports whether a server takes long prompts in a region that also gets short ones: two thirds of a region's servers do, or one third
// while regions without short prompts take most of the long ones.
func (server *serverState) meantForLong(relieved bool) bool {
	thirds := 2
	if relieved {
		thirds = 1
	}
	return server.regionSize >= minServersToSplit && server.regionRank < (thirds*server.regionSize+2)/3
}

// longPromptRelief is the remembered answer of computeRelief for a service, and until when it is used.
type longPromptRelief struct {
	relieved bool
	until    time.Duration
}

// longPromptsRelieved reports whether regions without short prompts have enough usable servers to take most of the long ones. The answer is
// remembered for a moment, since every short call needs it.
func (router *Router) longPromptsRelieved(now time.Duration, service string) bool {
	relief, found := router.longPromptReliefs[service]
	if !found || now >= relief.until {
		relief = longPromptRelief{relieved: router.computeRelief(now, service), until: now + router.policy.Contact/reliefMemoryDivisor}
		router.longPromptReliefs[service] = relief
	}
	return relief.relieved
}

// computeRelief computes the answer of longPromptsRelieved.
func (router *Router) computeRelief(now time.Duration, service string) bool {
	separate, usable := 0, 0
	for _, server := range router.serversByService[service] {
		if !router.isUsable(now, server) {
			continue
		}
		usable++
		if !router.isMixed(now, server) {
			separate++
		}
	}
	return separate > 0 && separate*separateServersDivisor >= usable
}

// isUsable reports whether calls may go to a server without restriction.
func (router *Router) isUsable(now time.Duration, server *serverState) bool {
	return !server.wrongServer && !server.ramp.isCold(now) && now >= server.backoffUntil && !router.manifest.Drained(server.Zone)
}
