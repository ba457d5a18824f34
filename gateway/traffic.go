package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
)

// Traffic is the owner of the calls that pass this node.
type Traffic struct {
	settings env.Env
	terms    env.Gateway
	random   *rand.Rand
	read     manifest.Manifest
	// routes are those in force, or nil while this node has no configuration.
	routes   *manifest.Routes
	servers  map[string]*server
	services map[string][]*server
	lists    map[string]bool
	jobs     map[int64]*job
	budgets  map[string]*budget
	fleet    Fleet
	sizes    map[scope]*seen
	reliefs  map[string]relief
	// firstCalls is when the first call of a service came.
	firstCalls map[string]time.Duration
	paces      map[string]*pace
	division   int
	began      time.Duration
	begun      bool
	places     places
}

type job struct {
	Arrive
	route     manifest.GatewayRoute
	tenant    string
	service   string
	ends      time.Duration
	attempt   int
	sent      int64
	connects  int
	server    *server
	unread    int64
	held      int64
	known     int64
	alone     bool
	at        time.Duration
	begun     bool
	avoid     map[string]bool
	key       index.Key
	holder    string
	asks      int
	near      bool
	askedNear bool
}

func NewTraffic(settings env.Env, random *rand.Rand) *Traffic {
	return &Traffic{settings: settings, terms: settings.Gateway, random: random, servers: map[string]*server{}, services: map[string][]*server{},
		lists: map[string]bool{}, jobs: map[int64]*job{}, budgets: map[string]*budget{}, sizes: map[scope]*seen{}, reliefs: map[string]relief{}, firstCalls: map[string]time.Duration{}, paces: map[string]*pace{}, division: 1, places: newPlaces()}
}

// Ready tells whether this node can serve: it has a configuration and the lists of all regions, or some of them for a while.
func (traffic *Traffic) Ready(now time.Duration) bool {
	if traffic.routes == nil || len(traffic.lists) == 0 {
		return false
	}
	return len(traffic.lists) >= len(traffic.read.Regions) || now-traffic.began > traffic.terms.Contact/4
}

// Limits gives what bounds callers now.
func (traffic *Traffic) Limits() manifest.Limits { return traffic.read.Gateway.Limits }

// Calls tells how many calls of this node lie on each server of a region.
func (traffic *Traffic) Calls(region string) map[string]int64 {
	calls := map[string]int64{}
	for name, server := range traffic.servers {
		if server.own > 0 && server.region == region {
			calls[name] = server.own
		}
	}
	return calls
}

func (traffic *Traffic) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !traffic.begun {
		traffic.begun, traffic.began = true, now
	}
	switch event := event.(type) {
	case Arrive:
		return traffic.arrive(now, event)
	case Head:
		traffic.head(now, event)
	case First:
		traffic.first(now, event)
	case Silent:
		return traffic.silent(now, event)
	case Ended:
		return traffic.ended(now, event)
	case Placed:
		traffic.placed(now, event)
		if work, there := traffic.jobs[event.Token]; there {
			return traffic.admit(now, work)
		}
		return one(Fail{Token: event.Token, Status: 502, Reason: "unknown call"})
	case Relocated:
		traffic.relocated(event)
	case Indexed:
		traffic.places.owned, traffic.places.near = event.Known, event.Near
	case Configured:
		traffic.configured(now, event)
	case Listed:
		traffic.listed(now, event)
	case Observed:
		traffic.observed(event)
	case Fleet:
		traffic.fleet = event
		traffic.division++
	}
	return nil
}

func (traffic *Traffic) configured(now time.Duration, event Configured) {
	former := traffic.read
	traffic.read, traffic.routes = event.Manifest, nil
	if event.Manifest.Gateway.Routes.Len() > 0 || event.Manifest.Gateway.Revision > 0 {
		traffic.routes = &traffic.read.Gateway.Routes
	}
	for _, server := range traffic.servers {
		if former.Drained(server.Zone) && !event.Manifest.Drained(server.Zone) {
			traffic.doubt(now, server, traffic.terms.Contact)
		}
	}
	traffic.division++
	for name := range traffic.budgets {
		if _, there := event.Manifest.Gateway.Services[name]; !there {
			delete(traffic.budgets, name)
		}
	}
	traffic.sort()
}

func (traffic *Traffic) warmup(server *server) time.Duration {
	return traffic.read.Gateway.Services[server.Pool].WarmupDuration
}

// doubt takes a server for cold that may have begun anew, unless the servers of its service are never cold.
func (traffic *Traffic) doubt(now time.Duration, server *server, late time.Duration) {
	if warmup := traffic.warmup(server); warmup > 0 {
		traffic.cold(now, server, warmup+late)
	}
}

func (traffic *Traffic) cold(now time.Duration, server *server, span time.Duration) {
	if span > 0 {
		server.ramp.until = max(server.ramp.until, now+span)
	}
}

// closed tells whether a cold server may not be sent a call now. At last, when no other server is left, one that is only suspected may.
// Its parts are worked out only when it is cold and the fleet or the configuration is another than the last time.
func (traffic *Traffic) closed(now time.Duration, server *server, last bool) bool {
	if last && now >= server.ramp.until {
		return false
	}
	traffic.suspect(now, server)
	if server.ramp.cold(now) {
		traffic.sharesFor(server)
	}
	return !server.ramp.open(now)
}

// sharesFor works out this node's part in what a server gets that not all nodes may call.
func (traffic *Traffic) sharesFor(server *server) {
	if server.division == traffic.division {
		return
	}
	server.division = traffic.division
	server.ramp.share(server.Name, traffic.fleet.Self, traffic.fleet.Names, traffic.read.Gateway.Services[server.Pool].WarmupRate,
		traffic.terms.WarmOverage, traffic.terms.WarmAllowance)
}

func (traffic *Traffic) listed(now time.Duration, event Listed) {
	known := traffic.lists[event.Region]
	traffic.lists[event.Region] = true
	for _, server := range traffic.servers {
		if server.region == event.Region {
			server.listed = false
		}
	}
	for _, candidate := range event.Servers {
		held, there := traffic.servers[candidate.Name]
		if !there {
			held = &server{region: event.Region, pace: startingPace, hash: contract.RendezvousWeight(candidate.Name)}
			traffic.servers[candidate.Name] = held
		}
		held.Candidate, held.listed = candidate, true
		traffic.generation(now, held, candidate.CacheResets)
		traffic.cleared(now, held)
		if !there && known {
			traffic.doubt(now, held, traffic.terms.Contact/4)
		}
		if candidate.WarmupMs > 0 {
			traffic.cold(now, held, time.Duration(candidate.WarmupMs)*time.Millisecond+traffic.terms.Contact/8)
		}
	}
	for name, server := range traffic.servers {
		if !server.listed && server.own == 0 {
			delete(traffic.servers, name)
		}
	}
	traffic.sort()
}

// sort keeps the servers of each service at hand.
func (traffic *Traffic) sort() {
	traffic.services = map[string][]*server{}
	for _, name := range manifest.SortedKeys(traffic.servers) {
		if server := traffic.servers[name]; server.listed {
			traffic.services[server.Pool] = append(traffic.services[server.Pool], server)
		}
	}
	traffic.split()
}

func (traffic *Traffic) budget(service string) *budget {
	held, there := traffic.budgets[service]
	if !there {
		held = newBudget(traffic.terms.RepeatWindow)
		traffic.budgets[service] = held
	}
	return held
}

func (traffic *Traffic) nodes() int { return max(1, len(traffic.fleet.Names)) }

func (traffic *Traffic) mayRepeat(now time.Duration, service string) bool {
	return traffic.budget(service).take(now, traffic.terms.RepeatRatio, traffic.terms.RepeatAllowance/float64(traffic.nodes()))
}
