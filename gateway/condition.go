package gateway

import (
	"sort"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// probingNodes is how many nodes send probe calls to a server that rests for all nodes. Once it is returning (Ill is 1), one node in
	// returningNodesDivisor does, at least probingNodes.
	probingNodes          = 2
	returningNodesDivisor = 4
	// maxTallies limits the tallies in one request for a list.
	maxTallies = 32
	// minLostServers is the least number of lost servers at which a node may suspect itself: if more than (ownFaultDivisor-1)/ownFaultDivisor of the
	// servers that it called were lost, the fault is its own.
	minLostServers  = 3
	ownFaultDivisor = 4
)

// recentOutcomes counts the outcomes of calls at a server in two periods of half the contact time: the current one at index 0 and the one before.
type recentOutcomes struct {
	period time.Duration
	counts [2]contract.CallTally
}

// current returns the tally of the current period, after moving on from earlier periods.
func (outcomes *recentOutcomes) current(now, half time.Duration) *contract.CallTally {
	period := now / half
	switch period - outcomes.period {
	case 0:
	case 1:
		outcomes.counts[1], outcomes.counts[0] = outcomes.counts[0], contract.CallTally{}
	default:
		outcomes.counts = [2]contract.CallTally{}
	}
	outcomes.period = period
	return &outcomes.counts[0]
}

// tallyOf returns the tally that an outcome at the server is to be counted in now.
func (router *Router) tallyOf(now time.Duration, server *serverState) *contract.CallTally {
	return server.outcomes.current(now, router.policy.Contact/2)
}

// recentTally returns the outcomes at a server in the current and the previous period.
func (router *Router) recentTally(now time.Duration, server *serverState) contract.CallTally {
	router.tallyOf(now, server)
	return server.outcomes.counts[0].Add(server.outcomes.counts[1])
}

// Tallies returns, for the owner of a region's list, the recent outcomes at the servers where calls failed and at those that the list marks as
// watched. If there are too many, those with the most failures are kept. A node that lost most of the servers that it called reports none, as the
// fault is likely its own.
func (router *Router) Tallies(now time.Duration, region string) map[string]contract.CallTally {
	tallies, names, calledServers, lostServers := map[string]contract.CallTally{}, []string{}, 0, 0
	for name, server := range router.servers {
		tally := router.recentTally(now, server)
		if tally.Total() == 0 {
			continue
		}
		calledServers++
		if tally.Unconnected > 0 && tally.Succeeded == 0 {
			lostServers++
		}
		if server.region == region && (server.HealthTracked || tally.Failures() > 0) {
			tallies[name], names = tally, append(names, name)
		}
	}
	if lostServers >= minLostServers && lostServers*ownFaultDivisor > calledServers*(ownFaultDivisor-1) {
		return nil
	}
	if len(names) > maxTallies {
		sort.Slice(names, func(left, right int) bool {
			if leftBad, rightBad := tallies[names[left]].Failures(), tallies[names[right]].Failures(); leftBad != rightBad {
				return leftBad > rightBad
			}
			return names[left] < names[right]
		})
		for _, name := range names[maxTallies:] {
			delete(tallies, name)
		}
	}
	return tallies
}

// endSuspicion ends a suspicion that the list no longer contains: the server is treated as cold for one warm-up.
func (router *Router) endSuspicion(now time.Duration, server *serverState) {
	if server.ramp.suspected && !server.Suspected {
		server.ramp.suspected = false
		router.assumeCold(now, server, 0)
	}
}

// applySuspicion treats a suspected server as cold if this node has not heard from it for half the contact time. A server that this node hears all
// the time was not silent, whatever other nodes lost there.
func (router *Router) applySuspicion(now time.Duration, server *serverState) {
	if server.Suspected && now-server.lastHeard > router.policy.Contact/2 && router.warmupTime(server) > 0 {
		server.ramp.suspected = true
	}
}

// isResting reports whether calls may not go to a server that is marked as ill: this node is not one of those that probe it, or a probe is under way
// or was sent lately.
func (router *Router) isResting(now time.Duration, server *serverState) bool {
	if server.RecoverySteps == 0 {
		return false
	}
	router.updateShares(server)
	nodes := probingNodes
	if server.RecoverySteps == 1 {
		nodes = max(probingNodes, router.nodeCount()/returningNodesDivisor)
	}
	return server.probing || now < server.nextProbe || server.ramp.rank >= nodes
}
