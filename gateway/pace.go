package gateway

import (
	"slices"
	"time"
)

const (
	// usualPace is how long an engine takes to read a thousand tokens of a prompt until that is observed, and paceSpread how many times
	// faster or slower it is believed to be at most.
	usualPace  = 20 * time.Millisecond
	paceSpread = 8
	// A call with a prompt of smallPrompt tokens shows what a first piece takes beside reading, one of largePrompt tokens of its own how long
	// these are read.
	smallPrompt = 1024
	largePrompt = 2048
	// mostSamples is how many of the last calls are looked at; the one in lowSample from the least is taken, since waiting behind other
	// prompts only adds to what a call shows.
	mostSamples = 32
	lowSample   = 3
)

// samples are the last times that were seen.
type samples struct {
	last []time.Duration
	next int
}

func (samples *samples) add(one time.Duration) {
	if len(samples.last) < mostSamples {
		samples.last = append(samples.last, one)
		return
	}
	samples.last[samples.next] = one
	samples.next = (samples.next + 1) % mostSamples
}

// low gives a low one of the times, 0 if none was seen.
func (samples *samples) low() time.Duration {
	if len(samples.last) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(samples.last))[len(samples.last)/lowSample]
}

// pace is how fast the engines of a service read, for a thousand tokens: what this node saw of it, and what all nodes did.
type pace struct {
	beside samples
	read   samples
	seen   time.Duration
	shared time.Duration
}

// own gives what this node saw.
func (pace *pace) own() (time.Duration, bool) { return pace.seen, pace.seen > 0 }

// perThousand gives what is believed: what all nodes saw, or this one, or nobody yet.
func (pace *pace) perThousand() time.Duration {
	believed := usualPace
	switch {
	case pace.shared > 0:
		believed = pace.shared
	case pace.seen > 0:
		believed = pace.seen
	}
	return min(usualPace*paceSpread, max(usualPace/paceSpread, believed))
}

func (traffic *Traffic) pace(service string) *pace {
	held, there := traffic.paces[service]
	if !there {
		held = &pace{}
		traffic.paces[service] = held
	}
	return held
}

// readTime estimates how long an engine reads tokens of a prompt.
func (traffic *Traffic) readTime(service string, tokens int64) time.Duration {
	return time.Duration(tokens) * traffic.pace(service).perThousand() / 1000
}

// observeRead learns from the first piece of a call that this node had no other prompt before at its server. Its own part must have been
// read, whatever the server keeps; only servers of this region are looked at, where the way takes little.
func (traffic *Traffic) observeRead(now time.Duration, work *job) {
	server := work.server
	if work.Prompt.Input == 0 || work.After != "" || !work.alone || server.region != traffic.settings.Region || server.ramp.cold(now) {
		return
	}
	pace, took, own := traffic.pace(work.service), now-work.at, work.Prompt.Input-work.Prompt.Shared()
	switch {
	case work.Prompt.Input <= smallPrompt:
		pace.beside.add(took)
	case own >= largePrompt:
		pace.read.add(max(1, took-pace.beside.low()) * 1000 / time.Duration(own))
		pace.seen = pace.read.low()
	}
}
