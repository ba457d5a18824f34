package gateway

import (
	"slices"
	"time"
)

const (
	// defaultReadTime is how long an engine is presumed to take to read 1,000 tokens of a prompt until that is observed; readTimeSpread is how many
	// times faster or slower it is believed to be at most.
	defaultReadTime = 20 * time.Millisecond
	readTimeSpread  = 8
	// A call with a prompt of at most smallPrompt tokens shows what a first chunk takes apart from reading; one with at least largePrompt unshared
	// tokens shows how long these take to read.
	smallPrompt = 1024
	largePrompt = 2048
	// maxSamples is how many of the latest calls are considered. The sample at 1/lowSampleDivisor of the sorted ones is used, since waiting behind
	// other prompts only adds to what a call shows.
	maxSamples       = 32
	lowSampleDivisor = 3
)

// samples is a ring of the latest measured times.
type samples struct {
	last []time.Duration
	next int
}

func (samples *samples) add(sample time.Duration) {
	if len(samples.last) < maxSamples {
		samples.last = append(samples.last, sample)
		return
	}
	samples.last[samples.next] = sample
	samples.next = (samples.next + 1) % maxSamples
}

// low returns the sample at 1/lowSampleDivisor of the sorted samples, 0 if there are none.
func (samples *samples) low() time.Duration {
	if len(samples.last) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(samples.last))[len(samples.last)/lowSampleDivisor]
}

// readSpeed is how long the engines of a service take to read 1,000 tokens: as observed by this node and by all nodes. Overhead holds first-chunk
// times of small prompts.
type readSpeed struct {
	overhead     samples
	readTimes    samples
	observedHere time.Duration
	fleetWide    time.Duration
}

// ownReadTime returns what this node observed; false if nothing yet.
func (speed *readSpeed) ownReadTime() (time.Duration, bool) {
	return speed.observedHere, speed.observedHere > 0
}

// readTimePer1K returns the estimate in use: what all nodes observed, or else this node, or else the default.
func (speed *readSpeed) readTimePer1K() time.Duration {
	estimate := defaultReadTime
	switch {
	case speed.fleetWide > 0:
		estimate = speed.fleetWide
	case speed.observedHere > 0:
		estimate = speed.observedHere
	}
	return min(defaultReadTime*readTimeSpread, max(defaultReadTime/readTimeSpread, estimate))
}

func (router *Router) readSpeedOf(service string) *readSpeed {
	speed, found := router.readSpeeds[service]
	if !found {
		speed = &readSpeed{}
		router.readSpeeds[service] = speed
	}
	return speed
}

// readTime estimates how long an engine reads a number of prompt tokens.
func (router *Router) readTime(service string, tokens int64) time.Duration {
	return time.Duration(tokens) * router.readSpeedOf(service).readTimePer1K() / 1000
}

// learnReadSpeed learns from the first chunk of a call that found no other prompt of this node at its server. The unshared part of its prompt must
// have been read, whatever the server has cached. Only servers of this region count, where the network takes little time.
func (router *Router) learnReadSpeed(now time.Duration, call *callState) {
	server := call.server
	if call.Prompt.Input == 0 || call.LastEventID != "" || !call.soleReader || server.region != router.settings.Region || server.ramp.isCold(now) {
		return
	}
	speed, elapsed, ownTokens := router.readSpeedOf(call.service), now-call.sentAt, call.Prompt.Input-call.Prompt.Shared()
	switch {
	case call.Prompt.Input <= smallPrompt:
		speed.overhead.add(elapsed)
	case ownTokens >= largePrompt:
		speed.readTimes.add(max(1, elapsed-speed.overhead.low()) * 1000 / time.Duration(ownTokens))
		speed.observedHere = speed.readTimes.low()
	}
}
