package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// besideLong is what a short call expects to lose at a server that reads long prompts, as a part of the pause that it bears; usualBeside
	// is that while the pause is not known. It never drives a call out of its region.
	besideLong  = 1.0 / 6
	usualBeside = 40 * time.Millisecond
	mostBeside  = farRegion * 15 / 16
	// leastApart is the part of all servers, one in so many, that must stand in regions without short prompts to take most long ones.
	leastApart = 3
	// fewestSplit is the least number of servers of a region that are split by the length of prompts.
	fewestSplit = 4
	// A region is pressed once more than spareSlots of its slots are taken, or less than spareWarm of its servers are warm; it is judged
	// when at least leastTold of them have told their load.
	spareSlots = 0.4
	spareWarm  = 0.75
	leastTold  = 0.25
	// pausePart is the part of the pause that short calls bear which the reading of one prompt beside them may take.
	pausePart = 0.5
	// reliefPart is the part of the contact time, one in so many, for which it is remembered whether other regions take most long prompts.
	reliefPart = 64
	// acquaintedPart is the part of the contact time, one in so many, in which all nodes have told what they send where: two questions for
	// lists and their answers.
	acquaintedPart = 4
)

// seen is when calls with long and with short prompts last went to a service in a region from here, the least pause that the short ones
// bear, 0 if that is not known, and when one that bears no more last went. Shared is the least pause that short ones of any node bear there,
// 0 if none go.
type seen struct{ long, short, pause, strict, shared time.Duration }

// recent tells whether short prompts go to the region from here.
func (seen *seen) recent(now, window time.Duration) bool {
	return seen.short > 0 && now-seen.short < window
}

// least is the least pause that short prompts bear there, 0 if that is not known.
func (seen *seen) least() time.Duration {
	if seen.pause == 0 || seen.shared > 0 && seen.shared < seen.pause {
		return seen.shared
	}
	return seen.pause
}

// Observed gives what this node sees of the calls that it sends to a region.
func (traffic *Traffic) Observed(now time.Duration, region string) contract.CallObservations {
	observed := contract.CallObservations{ShortPromptGapMs: map[string]int64{}, PrefillUsPerK: map[string]int64{}}
	for scope, seen := range traffic.sizes {
		if scope.region == region && seen.recent(now, traffic.terms.RepeatWindow) {
			observed.ShortPromptGapMs[scope.service] = max(1, seen.pause.Milliseconds())
		}
	}
	for service, pace := range traffic.paces {
		if read, there := pace.own(); there {
			observed.PrefillUsPerK[service] = read.Microseconds()
		}
	}
	return observed
}

// observed takes up what all nodes see.
func (traffic *Traffic) observed(event Observed) {
	for scope, seen := range traffic.sizes {
		if scope.region == event.Region {
			seen.shared = 0
		}
	}
	for service, pause := range event.ShortPromptGapMs {
		traffic.seen(service, event.Region).shared = time.Duration(pause) * time.Millisecond
	}
	for service, read := range event.PrefillUsPerK {
		traffic.pace(service).shared = time.Duration(read) * time.Microsecond
	}
	traffic.reliefs = map[string]relief{}
}

type scope struct{ service, region string }

func (traffic *Traffic) seen(service, region string) *seen {
	key := scope{service, region}
	last, there := traffic.sizes[key]
	if !there {
		last = &seen{}
		traffic.sizes[key] = last
	}
	return last
}

func (traffic *Traffic) note(now time.Duration, work *job, region string, long bool) {
	last := traffic.seen(work.service, region)
	if long {
		last.long = now
		return
	}
	if pause := bears(work); pause > 0 && (last.pause == 0 || pause <= last.pause || now-last.strict >= traffic.terms.RepeatWindow) {
		last.pause, last.strict = pause, now
	}
	last.short = now
}

// bears gives the longest time without a piece that a call bears: its first one has an aim, the later ones a gap.
func bears(work *job) time.Duration {
	if work.route.TokenGap > 0 && (work.route.LatencyTarget == 0 || work.route.TokenGap < work.route.LatencyTarget) {
		return work.route.TokenGap
	}
	return work.route.LatencyTarget
}

// disturbs tells whether reading a prompt takes more of a server than the short calls that go to its region bear.
func (traffic *Traffic) disturbs(work *job, server *server) bool {
	pause := server.sizes.least()
	return pause > 0 && traffic.readTime(work.service, work.Prompt.Input) > time.Duration(pausePart*float64(pause))
}

// lostBeside is what a short call expects to lose at a server that reads long prompts.
func (server *server) lostBeside() time.Duration {
	if pause := server.sizes.least(); pause > 0 {
		return min(mostBeside, time.Duration(besideLong*float64(pause)))
	}
	return usualBeside
}

// mixed tells whether short prompts go to the servers of a server's region beside long ones.
func (traffic *Traffic) mixed(now time.Duration, server *server) bool {
	return server.sizes.shared > 0 || server.sizes.recent(now, traffic.terms.RepeatWindow) || traffic.unacquainted(now, server.Pool)
}

// unacquainted tells that the first calls of a service came so lately that regions to which no short prompts go are not known yet: until
// then they may go to all.
func (traffic *Traffic) unacquainted(now time.Duration, service string) bool {
	began, there := traffic.firstCalls[service]
	return !there || now-began < traffic.terms.Contact/acquaintedPart
}

// spare tells whether a region has room for long prompts beside short ones, by what its servers told this node.
func (traffic *Traffic) spare(now time.Duration, service, region string) bool {
	terms, listed, told, warm, running, slots := traffic.read.Gateway.Services[service], 0.0, 0.0, 0.0, 0.0, 0.0
	for _, server := range traffic.services[service] {
		if server.region != region {
			continue
		}
		listed++
		if !traffic.usable(now, server) {
			continue
		}
		warm++
		if server.load.Slots > 0 {
			told++
			running += float64(server.running())
			slots += float64(server.slots(terms))
		}
	}
	return told >= leastTold*listed && warm >= spareWarm*listed && running <= spareSlots*slots
}

// split orders the servers of each region, the same way at all nodes: the first ones are meant for long prompts; and ties them to what goes
// to their region.
func (traffic *Traffic) split() {
	traffic.reliefs = map[string]relief{}
	for service, servers := range traffic.services {
		regions := map[string][]string{}
		for _, server := range servers {
			regions[server.region] = append(regions[server.region], server.Name)
		}
		places := map[string]int{}
		for _, names := range regions {
			for place, name := range contract.RendezvousOrder("long", names) {
				places[name] = place
			}
		}
		for _, server := range servers {
			server.place, server.among = places[server.Name], len(regions[server.region])
			server.sizes = traffic.seen(service, server.region)
		}
	}
}

// forLong tells whether a server is meant for long prompts where short ones go too: two thirds of a region's servers, or one third while
// other regions that short ones don't go to take most.
func (server *server) forLong(relieved bool) bool {
	parts := 2
	if relieved {
		parts = 1
	}
	return server.among >= fewestSplit && server.place < (parts*server.among+2)/3
}

// relief is whether the long prompts of a service are relieved, and until when that is taken for granted.
type relief struct {
	relieved bool
	until    time.Duration
}

// relieved tells whether regions without short prompts have enough usable servers to take most of the long ones. That holds for a moment,
// since every short call wants to know it.
func (traffic *Traffic) relieved(now time.Duration, service string) bool {
	held, there := traffic.reliefs[service]
	if !there || now >= held.until {
		held = relief{relieved: traffic.relieves(now, service), until: now + traffic.terms.Contact/reliefPart}
		traffic.reliefs[service] = held
	}
	return held.relieved
}

func (traffic *Traffic) relieves(now time.Duration, service string) bool {
	free, usable := 0, 0
	for _, server := range traffic.services[service] {
		if !traffic.usable(now, server) {
			continue
		}
		usable++
		if !traffic.mixed(now, server) {
			free++
		}
	}
	return free > 0 && free*leastApart >= usable
}

// usable tells whether calls go to a server freely.
func (traffic *Traffic) usable(now time.Duration, server *server) bool {
	return !server.moved && !server.ramp.cold(now) && now >= server.until && !traffic.read.Drained(server.Zone)
}
