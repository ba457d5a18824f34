package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	// tokensPerMs is how many prompt tokens an engine is believed to read in a millisecond where its cache is checked. Of a slower engine
	// fewer calls are taken for kept, and more for missed.
	tokensPerMs = 50
	// anchorTokens is the least shared prompt that decides where a call goes.
	anchorTokens = 1000
	// perRunning is what one more running call adds to another one's time.
	perRunning = 1500 * time.Microsecond
	// farZone and farRegion stand for the price of bytes, as time.
	farZone      = time.Millisecond
	farRegion    = 80 * time.Millisecond
	regionPer10K = 10 * time.Millisecond
	// rereadTimes is how much more than its time the reading again of shared parts costs.
	rereadTimes = 2
)

func newMemory(service manifest.Service) *engine.Memory {
	return engine.NewMemory(service.Engine.Tokens)
}

// checkTime is how long the reading of tokens takes where a cache is checked.
func checkTime(tokens int64) time.Duration {
	return time.Duration(tokens) * time.Millisecond / tokensPerMs
}

// open gives the servers that may take the call now.
func (traffic *Traffic) open(now time.Duration, work *job, resting bool) []*server {
	most := traffic.connections(traffic.read.Gateway.Services[work.service])
	open := []*server{}
	for _, server := range traffic.services[work.service] {
		if server.moved || work.avoid[server.Name] || traffic.read.Drained(server.Zone) || server.own >= most || traffic.closed(now, server, resting && len(work.avoid) == 0) {
			continue
		}
		if len(work.route.AllowedRegions) > 0 && !slices.Contains(work.route.AllowedRegions, server.region) {
			continue
		}
		if !resting && (now < server.until || server.trial || traffic.rests(now, server)) {
			continue
		}
		open = append(open, server)
	}
	return open
}

// pick gives the server whose answer is expected first, prices of bytes counted as time, and the time until it begins.
func (traffic *Traffic) pick(now time.Duration, work *job) (*server, time.Duration) {
	open := traffic.open(now, work, false)
	if len(open) == 0 {
		open = traffic.open(now, work, true)
	}
	if len(open) == 0 {
		return nil, 0
	}
	service, holder := traffic.read.Gateway.Services[work.service], ""
	long := work.Prompt.Shared() >= anchorTokens
	relieved := service.Engine != nil && !long && traffic.relieved(now, work.service)
	if service.Engine != nil && work.Prompt.Shared() > 0 {
		holder = traffic.holder(now, open, work, long)
	}
	var chosen *server
	best, wait := time.Duration(0), time.Duration(0)
	for _, server := range open {
		begin := traffic.begin(server, service)
		cost := begin + traffic.distance(server, work.Size) + time.Duration(traffic.random.Int64N(int64(2*time.Millisecond)))
		if service.Engine != nil {
			unread := traffic.unread(now, server, work.Prompt, holder)
			again := max(0, unread-(work.Prompt.Input-work.Prompt.Shared()))
			if server.Name == holder {
				again = 0
			}
			cost += traffic.readTime(work.service, unread+(rereadTimes-1)*again) + time.Duration(server.running())*perRunning
			if !long && traffic.mixed(now, server) && server.forLong(relieved) {
				cost += server.lostBeside()
			}
		}
		if chosen == nil || cost < best {
			chosen, best, wait = server, cost, begin
		}
	}
	if service.Engine != nil && chosen != nil {
		work.held = traffic.presumed(now, chosen, work.Prompt, holder)
		traffic.note(now, work, chosen.region, long)
	}
	return chosen, wait
}

// holder names the server that is meant to keep what the prompt shares with others: the index says so, or else an order that all nodes
// share. What one server has read need not be read again elsewhere.
func (traffic *Traffic) holder(now time.Duration, open []*server, work *job, long bool) string {
	all := open
	if long {
		if slices.ContainsFunc(open, func(server *server) bool { return server.Name == work.holder }) {
			return work.holder
		}
		all = traffic.apart(now, open, work)
	}
	return slices.MinFunc(all, rendezvous(work.Prompt.Anchor())).Name
}

// rendezvous compares two servers by how early they come as the keeper of a prompt, the same way at all nodes.
func rendezvous(anchor uint64) func(left, right *server) int {
	return func(left, right *server) int { return cmp.Compare(mix(right.hash^anchor), mix(left.hash^anchor)) }
}

// apart gives the servers that are meant for a long prompt: those of regions that no short ones go to, and a part of the servers of the
// others, so that short ones need not wait behind it. Where short ones go, that part is left to them while their region is pressed, and
// by prompts whose reading they would not bear, unless there are too few others.
func (traffic *Traffic) apart(now time.Duration, open []*server, work *job) []*server {
	free, beside, relieved, spare := []*server{}, []*server{}, traffic.relieved(now, work.service), map[string]bool{}
	for _, server := range open {
		if !traffic.mixed(now, server) {
			free = append(free, server)
			continue
		}
		if !server.forLong(relieved) {
			continue
		}
		if _, there := spare[server.region]; !there {
			spare[server.region] = !relieved || traffic.spare(now, work.service, server.region)
		}
		if spare[server.region] {
			beside = append(beside, server)
		}
	}
	if relieved && len(free) > 0 {
		beside = slices.DeleteFunc(beside, func(server *server) bool { return traffic.disturbs(work, server) })
	}
	if len(free)+len(beside) == 0 {
		return open
	}
	return slices.Concat(free, beside)
}

func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// unread estimates what the server has still to read of a prompt.
func (traffic *Traffic) unread(now time.Duration, server *server, prompt engine.Prompt, holder string) int64 {
	return max(0, prompt.Input-traffic.presumed(now, server, prompt, holder))
}

// begin estimates how long a call waits at the server before its work begins.
func (traffic *Traffic) begin(server *server, service manifest.Service) time.Duration {
	slots, running := server.slots(service), server.running()
	if service.Engine != nil {
		wait := traffic.readTime(server.Pool, server.reading) + time.Duration(max(0, server.load.Waiting-server.queued))*startingPace
		if over := running + 1 - slots; over > 0 {
			wait += time.Duration(over) * startingPace
		}
		return wait
	}
	over := max(0, running+1-slots)
	return server.pace*time.Duration(over)/time.Duration(slots) + server.pace*time.Duration(running)/time.Duration(4*slots) + server.pace
}

func (traffic *Traffic) distance(server *server, size int64) time.Duration {
	switch {
	case server.region != traffic.settings.Region:
		return farRegion + time.Duration(size)*regionPer10K/10000
	case server.Zone != traffic.settings.Zone:
		return farZone
	}
	return 0
}

// patience is how long nothing may come before the server is doubted.
func (traffic *Traffic) patience(now time.Duration, work *job) time.Duration {
	usual := max(work.route.LatencyTarget, traffic.terms.Contact/8)
	return min(max(usual, traffic.readTime(work.service, work.unread)*2), max(time.Millisecond, work.ends-now))
}

func (traffic *Traffic) connectTime(server *server) time.Duration {
	if server.region != traffic.settings.Region {
		return traffic.terms.Contact / 8
	}
	return traffic.terms.Contact / 16
}

// idle is how long a connection may have been unused: a call that must not run twice trusts only a fresh one.
func (traffic *Traffic) idle(work *job) time.Duration {
	if work.route.Repeatable() {
		return traffic.terms.Contact
	}
	return traffic.terms.Contact / 8
}

// connections is this node's part of what a server takes from all callers together.
func (traffic *Traffic) connections(service manifest.Service) int64 {
	if service.MaxConnections <= 0 {
		return 1 << 20
	}
	return max(2, service.MaxConnections*9/10/int64(traffic.nodes()))
}

func (traffic *Traffic) priority(work *job) int {
	if work.Prompt.Input > 0 && work.Prompt.Shared() < anchorTokens {
		return 2
	}
	return -1
}
