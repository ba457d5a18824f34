package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// mergesPerAsk is how many times, in the time between two questions of one node, what all nodes tell is merged at most.
	mergesPerAsk = 4
	// lowPart is which of the nodes' reading times is taken, one in so many from the least: waiting behind other prompts only adds to what
	// a node sees.
	lowPart = 3
)

// observations are what data nodes tell of the calls that they send, and what of it holds for all.
type observations struct {
	byNode map[string]contract.CallObservations
	merged contract.CallObservations
	next   time.Duration
}

// tell takes what a node says of its own calls.
func (all *observations) tell(node string, observed contract.CallObservations) {
	if len(observed.ShortPromptGapMs)+len(observed.PrefillUsPerK) == 0 {
		delete(all.byNode, node)
		return
	}
	if all.byNode == nil {
		all.byNode = map[string]contract.CallObservations{}
	}
	all.byNode[node] = observed
}

// observed merges what the nodes tell that asked within a lease's time.
func (owner *Owner) observed(now time.Duration, held *duty) contract.CallObservations {
	all := &held.observations
	if now < all.next {
		return all.merged
	}
	all.next = now + owner.bounds.Withdraw()/8/mergesPerAsk
	for _, node := range slices.Collect(maps.Keys(all.byNode)) {
		if now-held.words[node].Told >= owner.bounds.Lease() {
			delete(all.byNode, node)
		}
	}
	all.merged = contract.CallObservations{ShortPromptGapMs: all.leastPauses(), PrefillUsPerK: all.readTimes()}
	return all.merged
}

// leastPauses gives the least pause that short calls of any node bear, by service.
func (all *observations) leastPauses() map[string]int64 {
	least := map[string]int64{}
	for _, observed := range all.byNode {
		for service, pause := range observed.ShortPromptGapMs {
			if known, there := least[service]; pause > 0 && (!there || pause < known) {
				least[service] = pause
			}
		}
	}
	return least
}

// readTimes gives a low one of the nodes' reading times, by service.
func (all *observations) readTimes() map[string]int64 {
	times, low := map[string][]int64{}, map[string]int64{}
	for _, observed := range all.byNode {
		for service, read := range observed.PrefillUsPerK {
			if read > 0 {
				times[service] = append(times[service], read)
			}
		}
	}
	for service, told := range times {
		slices.Sort(told)
		low[service] = told[len(told)/lowPart]
	}
	return low
}
