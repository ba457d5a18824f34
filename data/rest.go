package data

import (
	"time"
)

// backoff is the time for which a server that rejected a call is not picked. The delay doubles while the server keeps rejecting calls.
type backoff struct {
	until time.Duration
	delay time.Duration
}

// maxBackoffFactor is the longest delay in lengths of a lease.
const maxBackoffFactor = 4

// backOff starts or extends the backoff of a server.
func (router *Router) backOff(now time.Duration, server string) {
	previous, exists := router.backoffs[server]
	delay := router.Bounds.Lease()
	if exists {
		delay = min(previous.delay*2, router.Bounds.Lease()*maxBackoffFactor)
	}
	if exists && now < previous.until {
		delay = previous.delay
	}
	router.backoffs[server] = backoff{until: now + delay, delay: delay}
}

// inBackoff returns the servers that must not be picked now. It forgets a backoff some time after its end, which resets the delay.
func (router *Router) inBackoff(now time.Duration) map[string]bool {
	inBackoff := map[string]bool{}
	for name, backoff := range router.backoffs {
		if now > backoff.until+router.Bounds.Lease()*maxBackoffFactor {
			delete(router.backoffs, name)
		}
		if now < backoff.until {
			inBackoff[name] = true
		}
	}
	return inBackoff
}

// allBackedOff reports whether there are servers for a call and all of them are in backoff.
func (router *Router) allBackedOff(now time.Duration, job *job) bool {
	inBackoff, count := router.inBackoff(now), 0
	candidates, _ := router.candidates(now)
	for _, candidate := range candidates {
		if candidate.Pool != job.route.Pools[job.call.Home] {
			continue
		}
		if count++; !inBackoff[candidate.Name] {
			return false
		}
	}
	return count > 0
}
