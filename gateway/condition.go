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
	counts [2]contract.Tally
}

func (tallies *tallies) at(now, half time.Duration) *contract.Tally {
	slot := now / half
	switch slot - tallies.slot {
	case 0:
	case 1:
		tallies.counts[1], tallies.counts[0] = tallies.counts[0], contract.Tally{}
	default:
		tallies.counts = [2]contract.Tally{}
	}
	tallies.slot = slot
	return &tallies.counts[0]
}

func (traffic *Traffic) tally(now time.Duration, server *server) *contract.Tally {
	return server.tallies.at(now, traffic.terms.Contact/2)
}

// recent gives what was counted at a server lately.
func (traffic *Traffic) recent(now time.Duration, server *server) contract.Tally {
	traffic.tally(now, server)
	return server.tallies.counts[0].Plus(server.tallies.counts[1])
}

// Tallies tells the owner of a region's servers where calls failed lately, the worst first when there are many, and how those fared
// that it suspects. A node that lost most of the servers that it called is in trouble itself and accuses none.
func (traffic *Traffic) Tallies(now time.Duration, region string) map[string]contract.Tally {
	told, names, called, lost := map[string]contract.Tally{}, []string{}, 0, 0
	for name, server := range traffic.servers {
		tally := traffic.recent(now, server)
		if tally.Calls() == 0 {
			continue
		}
		called++
		if tally.Lost > 0 && tally.Well == 0 {
			lost++
		}
		if server.region == region && (server.Watched || tally.Bad() > 0) {
			told[name], names = tally, append(names, name)
		}
	}
	if lost >= fewestLost && lost*ownTrouble > called*(ownTrouble-1) {
		return nil
	}
	if len(names) > mostTallies {
		sort.Slice(names, func(left, right int) bool {
			if first, second := told[names[left]].Bad(), told[names[right]].Bad(); first != second {
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
	if server.Ill == 0 {
		return false
	}
	traffic.sharesFor(server)
	nodes := trialNodes
	if server.Ill == 1 {
		nodes = max(trialNodes, traffic.nodes()/returningNodes)
	}
	return server.trial || now < server.nextTrial || server.ramp.rank >= nodes
}
