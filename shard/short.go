package shard

import (
	"maps"
	"slices"
	"time"
)

// mergesPerAsk is how many times, in the time between two questions of one node, what all nodes tell is merged at most.
const mergesPerAsk = 4

// shortCalls are the services whose calls with short prompts go to this region, as the data nodes tell it.
type shortCalls struct {
	byNode map[string]map[string]int64
	merged map[string]int64
	next   time.Duration
}

// tell takes what a node says of its own calls.
func (calls *shortCalls) tell(node string, short map[string]int64) {
	if len(short) == 0 {
		delete(calls.byNode, node)
		return
	}
	if calls.byNode == nil {
		calls.byNode = map[string]map[string]int64{}
	}
	calls.byNode[node] = short
}

// shortCalls gives the least pause in milliseconds that such calls bear, by service, of all nodes that asked within a lease's time.
func (owner *Owner) shortCalls(now time.Duration, held *duty) map[string]int64 {
	calls := &held.short
	if now < calls.next {
		return calls.merged
	}
	calls.next = now + owner.bounds.Withdraw()/8/mergesPerAsk
	merged := map[string]int64{}
	for _, node := range slices.Collect(maps.Keys(calls.byNode)) {
		if now-held.words[node].Told >= owner.bounds.Lease() {
			delete(calls.byNode, node)
			continue
		}
		for service, pause := range calls.byNode[node] {
			if least, there := merged[service]; pause > 0 && (!there || pause < least) {
				merged[service] = pause
			}
		}
	}
	calls.merged = merged
	return merged
}
