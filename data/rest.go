package data

import (
	"time"
)

// rest is how long a server that turned a call away is left alone; it doubles while it goes on doing so.
type rest struct {
	until time.Duration
	span  time.Duration
}

const mostRests = 4

func (owner *Owner) turnedAway(now time.Duration, server string) {
	former, there := owner.turned[server]
	span := owner.Bounds.Lease()
	if there {
		span = min(former.span*2, owner.Bounds.Lease()*mostRests)
	}
	if there && now < former.until {
		span = former.span
	}
	owner.turned[server] = rest{until: now + span, span: span}
}

// resting names the servers that are left alone now; long after its rest a server is like any other.
func (owner *Owner) resting(now time.Duration) map[string]bool {
	resting := map[string]bool{}
	for name, known := range owner.turned {
		if now > known.until+owner.Bounds.Lease()*mostRests {
			delete(owner.turned, name)
		}
		if now < known.until {
			resting[name] = true
		}
	}
	return resting
}

// allRest holds when there are servers for a call and every one of them turned a call away a moment ago.
func (owner *Owner) allRest(now time.Duration, job *job) bool {
	resting, count := owner.resting(now), 0
	candidates, _ := owner.candidates(now)
	for _, candidate := range candidates {
		if candidate.Pool != job.route.Pools[job.call.Home] {
			continue
		}
		if count++; !resting[candidate.Name] {
			return false
		}
	}
	return count > 0
}
