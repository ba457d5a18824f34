package gateway

import (
	"sort"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// trialNodes is how many nodes try a server that rests for all; once it returns, one node in returningNodes does.
	trialNodes     = 2
	returningNodes = 4
	// mostTallies bounds what one question for a list tells.
	mostTallies = 32
	// fewestLost is the least number of lost servers at which a node may doubt itself: when most that it called were lost, the trouble
	// is its own.
	fewestLost = 3
	ownTrouble = 4
)

// tallies counts calls at a server in this half of the time of contact and in the half before it.
type tallies struct {
	slot   time.Duration
	counts [2]contract.CallTally
}

func (tallies *tallies) at(now, half time.Duration) *contract.CallTally {
	slot := now / half
	switch slot - tallies.slot {
	case 0:
	case 1:
		tallies.counts[1], tallies.counts[0] = tallies.counts[0], contract.CallTally{}
	default:
		tallies.counts = [2]contract.CallTally{}
	}
	tallies.slot = slot
	return &tallies.counts[0]
}

func (traffic *Traffic) tally(now time.Duration, server *server) *contract.CallTally {
	return server.tallies.at(now, traffic.terms.Contact/2)
}

// recent gives what was counted at a server lately.
func (traffic *Traffic) recent(now time.Duration, server *server) contract.CallTally {
	traffic.tally(now, server)
	return server.tallies.counts[0].Add(server.tallies.counts[1])
}

// Tallies tells the owner of a region's servers where calls failed lately, the worst first when there are many, and how those fared
// that it suspects. A node that lost most of the servers that it called is in trouble itself and accuses none.
func (traffic *Traffic) Tallies(now time.Duration, region string) map[string]contract.CallTally {
	told, names, called, lost := map[string]contract.CallTally{}, []string{}, 0, 0
	for name, server := range traffic.servers {
		tally := traffic.recent(now, server)
		if tally.Total() == 0 {
			continue
		}
		called++
		if tally.Unconnected > 0 && tally.Succeeded == 0 {
			lost++
		}
		if server.region == region && (server.HealthTracked || tally.Failures() > 0) {
			told[name], names = tally, append(names, name)
		}
	}
	if lost >= fewestLost && lost*ownTrouble > called*(ownTrouble-1) {
		return nil
	}
	if len(names) > mostTallies {
		sort.Slice(names, func(left, right int) bool {
			if first, second := told[names[left]].Failures(), told[names[right]].Failures(); first != second {
				return first > second
			}
			return names[left] < names[right]
		})
		for _, name := range names[mostTallies:] {
			delete(told, name)
		}
	}
	return told
}

// cleared ends a suspicion that the list has no more: the server is taken for cold for a warm-up.
func (traffic *Traffic) cleared(now time.Duration, server *server) {
	if server.ramp.held && !server.Suspected {
		server.ramp.held = false
		traffic.doubt(now, server, 0)
	}
}

// suspect takes a suspected server for cold once this node has not heard of it for a while. One that it hears all the time was not
// silent, whatever others lost there.
func (traffic *Traffic) suspect(now time.Duration, server *server) {
	if server.Suspected && now-server.heard > traffic.terms.Contact/2 && traffic.warmup(server) > 0 {
		server.ramp.held = true
	}
}

// rests tells whether the server is ill for all and this node is none of those that may try it now.
func (traffic *Traffic) rests(now time.Duration, server *server) bool {
	if server.RecoverySteps == 0 {
		return false
	}
	traffic.sharesFor(server)
	nodes := trialNodes
	if server.RecoverySteps == 1 {
		nodes = max(trialNodes, traffic.nodes()/returningNodes)
	}
	return server.trial || now < server.nextTrial || server.ramp.rank >= nodes
}
