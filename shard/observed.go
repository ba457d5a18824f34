package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// mergesPerRequest is how often at most the nodes' observations are merged in the time between two requests of one node.
	mergesPerRequest = 4
	// readTimeDivisor selects the reading time at that fraction of the sorted times: waiting behind other prompts only adds to what
	// a node measures, so a low value is closest to the real one.
	readTimeDivisor = 3
)

// observations are measurements of calls that data nodes report, and their merged result for the whole shard.
type observations struct {
	byNode    map[string]contract.CallObservations
	merged    contract.CallObservations
	nextMerge time.Duration
}

// add stores what a node reports of its own calls; an empty report removes it.
func (all *observations) add(node string, observed contract.CallObservations) {
	if len(observed.ShortPromptGapMs)+len(observed.PrefillUsPerK) == 0 {
		delete(all.byNode, node)
		return
	}
	if all.byNode == nil {
		all.byNode = map[string]contract.CallObservations{}
	}
	all.byNode[node] = observed
}

// mergedObservations merges the reports of the nodes that asked within a lease's time.
func (manager *Manager) mergedObservations(now time.Duration, shard *shardState) contract.CallObservations {
	all := &shard.observations
	if now < all.nextMerge {
		return all.merged
	}
	all.nextMerge = now + manager.bounds.Withdraw()/8/mergesPerRequest
	for _, node := range slices.Collect(maps.Keys(all.byNode)) {
		if now-shard.nodeAcks[node].ReportedAt >= manager.bounds.Lease() {
			delete(all.byNode, node)
		}
	}
	all.merged = contract.CallObservations{ShortPromptGapMs: all.shortestPauses(), PrefillUsPerK: all.readTimes()}
	return all.merged
}

// shortestPauses returns, by service, the shortest pause that any node's short calls bear.
func (all *observations) shortestPauses() map[string]int64 {
	shortest := map[string]int64{}
	for _, observed := range all.byNode {
		for service, pause := range observed.ShortPromptGapMs {
			if server, found := shortest[service]; pause > 0 && (!found || pause < server) {
				shortest[service] = pause
			}
		}
	}
	return shortest
}

// readTimes returns, by service, a low quantile of the nodes' reading times.
func (all *observations) readTimes() map[string]int64 {
	times, selected := map[string][]int64{}, map[string]int64{}
	for _, observed := range all.byNode {
		for service, read := range observed.PrefillUsPerK {
			if read > 0 {
				times[service] = append(times[service], read)
			}
		}
	}
	for service, serviceTimes := range times {
		slices.Sort(serviceTimes)
		selected[service] = serviceTimes[len(serviceTimes)/readTimeDivisor]
	}
	return selected
}
