package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
)

const (
	// missesToDoubt is how many calls in a row must be read anew, against the index, before the index of a server is doubted.
	missesToDoubt = 2
	// missPart is the part of the time for reading what the index calls held that a first piece must be late by to be a miss.
	missPart = 0.7
	// surelyKept is how many times faster than presumed an engine may read a prompt, so that what came sooner was surely kept.
	surelyKept = 1.5
	// latePart is missPart for what the owner of the index is told, who also knows the calls of others, and ownTimes how many times slower
	// than presumed a call's own part may be read.
	latePart = 0.6
	ownTimes = 1.2
)

// cacheState is what this node knows of how far the shared index of kept prompts holds at one server. Generation counts how often
// the index of the server was thrown away for all nodes; the owner of its shard hands it out.
type cacheState struct {
	generation int64
	misses     int
	until      time.Duration
	stale      bool
}

// doubted tells whether nothing may be presumed held that this node has not sent there itself since.
func (state *cacheState) doubted(now time.Duration) bool { return now < state.until }

// presumed gives the tokens of a prompt that the index says a server holds: what went there from here, and on the prompt's meant
// holder all that it shares with others, unless the index of that server is doubted.
func (traffic *Traffic) presumed(now time.Duration, server *server, prompt engine.Prompt, holder string) int64 {
	held := int64(0)
	if server.memory != nil {
		held = server.memory.Held(prompt)
	}
	if server.Name == holder && !server.cache.doubted(now) {
		held = max(held, prompt.Shared())
	}
	return min(held, prompt.Input)
}

// checkCache compares the first piece of a call with what the index promised. Only a call whose parts went to the same server from
// here before, and that found it at rest, is a witness, and only if its held part would have taken far longer than all else in its way.
func (traffic *Traffic) checkCache(now time.Duration, work *job) {
	server, promised := work.server, checkTime(work.known)
	if work.known < anchorTokens || !work.alone || server.load.Waiting > 1 {
		return
	}
	if now-work.at <= checkTime(work.Prompt.Input-work.known)+traffic.reach(server)+time.Duration(float64(promised)*missPart) {
		server.cache.misses = 0
		return
	}
	if server.cache.misses++; server.cache.misses >= missesToDoubt {
		server.cache.stale = true
		traffic.distrust(now, server)
		server.memory.Take(work.Prompt)
	}
}

// shown tells what a call's first piece shows of its prompt's place, whoever sent the prompt there before: the owner of the index knows
// whether it was read there, and whether it waited behind the reading of other nodes.
func (traffic *Traffic) shown(now time.Duration, work *job) index.Verdict {
	server, took, shared := work.server, now-work.at, work.Prompt.Shared()
	own := checkTime(work.Prompt.Input - shared)
	if took < time.Duration(float64(checkTime(work.Prompt.Input))/surelyKept) {
		traffic.usual(server, took-own)
		return index.Kept
	}
	usual, there := traffic.places.usual[server.region]
	if !there {
		usual = traffic.reach(server)
	}
	expected := time.Duration(float64(own)*ownTimes) + usual + max(traffic.terms.Contact/50, time.Duration(float64(checkTime(shared))*latePart))
	if !work.alone || server.load.Waiting > 1 || took <= expected {
		return index.Unclear
	}
	return index.Missed(took, took-expected+usual/2)
}

// usual learns what calls to a region take beside reading, from those that surely found their prompt kept.
func (traffic *Traffic) usual(server *server, beside time.Duration) {
	usual, there := traffic.places.usual[server.region]
	if !there {
		usual = max(0, beside)
	}
	traffic.places.usual[server.region] = usual + (max(0, beside)-usual)/paceWeight
}

// reach is the most that a call and its answer are under way, with a step of a busy server.
func (traffic *Traffic) reach(server *server) time.Duration {
	if server.region != traffic.settings.Region {
		return 2*farRegion + traffic.terms.Contact/40
	}
	return farRegion + traffic.terms.Contact/40
}

// distrust throws this node's index of a server away: calls go by what is seen from now on.
func (traffic *Traffic) distrust(now time.Duration, server *server) {
	server.cache.misses, server.cache.until = 0, now+traffic.terms.RepeatWindow
	if server.memory != nil {
		server.memory.Forget()
	}
}

// Stale names the servers of a region whose index was found wrong here, with the generation that it was found wrong in.
func (traffic *Traffic) Stale(region string) map[string]int64 {
	stale := map[string]int64{}
	for name, server := range traffic.servers {
		if server.cache.stale && server.region == region {
			stale[name] = server.cache.generation
		}
	}
	return stale
}

// generation takes up what the owner of a shard says of a server's index.
func (traffic *Traffic) generation(now time.Duration, server *server, told int64) {
	if told == server.cache.generation {
		return
	}
	if told > server.cache.generation && !server.cache.stale {
		traffic.distrust(now, server)
	}
	server.cache.generation, server.cache.stale = told, false
}
