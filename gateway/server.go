package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
)

// server is what this node knows of one server.
type server struct {
	contract.Candidate
	region   string
	memory   *engine.Memory
	listed   bool
	moved    bool
	own      int64
	reading  int64
	queued   int64
	load     Load
	since    int64
	pace     time.Duration
	heard    time.Duration
	failures int
	until    time.Duration
	trial    bool
	// nextTrial is when this node may try again a server that is ill for all.
	nextTrial time.Duration
	tallies   tallies
	ramp      ramp
	// place is the server's rank among those of its service in its region, which are so many.
	place, among int
	// sizes are what calls go to its region beside.
	sizes    *seen
	division int
	cache    cacheState
	hash     uint64
}

const (
	paceWeight   = 8
	startingPace = 60 * time.Millisecond
)

// running estimates how many calls the server has: what it told last, and what went there from here since.
func (server *server) running() int64 {
	return max(server.own, server.load.Running+server.load.Waiting+server.since)
}

func (server *server) told(load *Load) {
	if load != nil {
		server.load, server.since = *load, 0
	}
}

// failed rests the server for a time that doubles, from base on, up to most.
func (server *server) failed(now time.Duration, base, most time.Duration) {
	rest := min(most, base<<min(server.failures, 6))
	server.failures++
	server.until, server.trial = now+rest, false
}

func (server *server) fine(now time.Duration) {
	server.failures, server.until, server.trial = 0, 0, false
	server.heard = now
}

func (server *server) paced(span time.Duration) {
	server.pace += (span - server.pace) / paceWeight
}

// slots gives how many calls the server works on at once.
func (server *server) slots(service manifest.Service) int64 {
	switch {
	case server.load.Slots > 0:
		return server.load.Slots
	case service.Engine != nil:
		return service.Engine.Slots
	case server.Slots > 0:
		return server.Slots
	}
	return 1
}
