package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
)

// Router handles the calls that pass this node: it admits them, picks their servers, and decides what follows each outcome. It learns of the
// configuration and the servers through the events that a Node emits. It is not safe for concurrent use.
type Router struct {
	settings env.Env
	// policy holds the settings of the gateway: the contact time, which most other times are derived from, and the limits of retries and warm-up.
	policy   env.Gateway
	random   *rand.Rand
	manifest manifest.Manifest
	// routes are the routes in force, nil while this node has no configuration.
	routes           *manifest.Routes
	servers          map[string]*serverState
	serversByService map[string][]*serverState
	// listedRegions are the regions whose list has been received.
	listedRegions     map[string]bool
	calls             map[int64]*callState
	retryBudgets      map[string]*retryBudget
	fleet             FleetChanged
	promptSizes       map[serviceRegion]*sizeHistory
	longPromptReliefs map[string]longPromptRelief
	// firstCalls is when the first call of a service arrived.
	firstCalls map[string]time.Duration
	readSpeeds map[string]*readSpeed
	// sharesVersion counts changes of the fleet and the configuration, which change this node's share of what cold servers get.
	sharesVersion int
	startedAt     time.Duration
	started       bool
	places        placeIndex
	shutdown      shutdown
}

// callState is the state of one call, from its arrival until it is answered.
type callState struct {
	CallArrived
	route   manifest.GatewayRoute
	tenant  string
	service string
	// deadline is when the call's time is over.
	deadline time.Duration
	// attempt numbers the dispatches; attemptsUsed counts those that the route's limit applies to, unsentAttempts those of which no byte was sent.
	attempt        int
	attemptsUsed   int64
	unsentAttempts int
	// server is the one that the current dispatch went to, nil between dispatches.
	server *serverState
	// unreadTokens is what the server still has to read of the prompt, cachedTokens what it is presumed to have cached, and sentBeforeTokens the part
	// of the prompt that this node itself sent there before.
	unreadTokens     int64
	cachedTokens     int64
	sentBeforeTokens int64
	// soleReader says that no other prompt of this node was being read at the server when this one was sent.
	soleReader bool
	// sentAt is when the current dispatch was sent.
	sentAt        time.Duration
	answerStarted bool
	// triedServers are the servers that the call does not go to again.
	triedServers map[string]bool
	// placeKey is the key of the call's prompt in the index, placeServer the server that is meant to hold it.
	placeKey    index.Key
	placeServer string
	// ownerQueries counts the queries to the owner of the index. QueryingReplica says that the nearby replica is being asked, replicaQueried that it
	// was.
	ownerQueries    int
	queryingReplica bool
	replicaQueried  bool
}

// NewRouter returns a router without configuration; it refuses calls until it is Ready.
func NewRouter(settings env.Env, random *rand.Rand) *Router {
	return &Router{settings: settings, policy: settings.Gateway, random: random, servers: map[string]*serverState{}, serversByService: map[string][]*serverState{},
		listedRegions: map[string]bool{}, calls: map[int64]*callState{}, retryBudgets: map[string]*retryBudget{}, promptSizes: map[serviceRegion]*sizeHistory{}, longPromptReliefs: map[string]longPromptRelief{}, firstCalls: map[string]time.Duration{}, readSpeeds: map[string]*readSpeed{}, sharesVersion: 1, places: newPlaceIndex(),
		shutdown: shutdown{policy: settings.Gateway}}
}

// Ready reports whether this node can serve: it has a configuration and the lists of all regions; after a quarter of the contact time, the list of
// one region is enough.
func (router *Router) Ready(now time.Duration) bool {
	if router.routes == nil || len(router.listedRegions) == 0 {
		return false
	}
	return len(router.listedRegions) >= len(router.manifest.Regions) || now-router.startedAt > router.policy.Contact/4
}

// Limits returns the limits in force for the connections and requests of callers.
func (router *Router) Limits() manifest.Limits { return router.manifest.Gateway.Limits }

// CallsInFlight returns the number of calls that this node has at each server of a region.
func (router *Router) CallsInFlight(region string) map[string]int64 {
	calls := map[string]int64{}
	for name, server := range router.servers {
		if server.inFlight > 0 && server.region == region {
			calls[name] = server.inFlight
		}
	}
	return calls
}

// Handle processes an event and returns the commands to carry out, at most one of them for a call.
func (router *Router) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !router.started {
		router.started, router.startedAt = true, now
	}
	switch event := event.(type) {
	case CallArrived:
		return router.handleArrival(now, event)
	case HeadReceived:
		router.handleHead(now, event)
	case StreamStarted:
		router.handleStreamStart(now, event)
	case AnswerPaced:
		router.handlePaced(now, event)
	case ServerSilent:
		return router.handleSilence(now, event)
	case DispatchEnded:
		return router.handleEnd(now, event)
	case PlaceAnswer:
		router.handlePlaceAnswer(now, event)
		if call, found := router.calls[event.Token]; found {
			return router.admit(now, call)
		}
		return commandList(Fail{Token: event.Token, Status: 502, Reason: "unknown call"})
	case PlacesMoved:
		router.applyMovedPlaces(event)
	case IndexReachability:
		router.places.ownerKnown, router.places.replicaNear = event.OwnerKnown, event.ReplicaNear
	case ConfigurationChanged:
		router.applyConfiguration(now, event)
	case ServersListed:
		router.applyList(now, event)
	case ObservationsChanged:
		router.applyObservations(event)
	case FleetChanged:
		router.fleet = event
		router.sharesVersion++
	case StopRequested, CallBegan, CallFinished, contract.Tick:
		return router.shutdown.handle(now, event)
	}
	return nil
}

// applyConfiguration puts a manifest in force. The servers of a zone that is no longer drained are treated as cold.
func (router *Router) applyConfiguration(now time.Duration, event ConfigurationChanged) {
	previous := router.manifest
	router.manifest, router.routes = event.Manifest, nil
	if event.Manifest.Gateway.Routes.Len() > 0 || event.Manifest.Gateway.Revision > 0 {
		router.routes = &router.manifest.Gateway.Routes
	}
	for _, server := range router.servers {
		if previous.Drained(server.Zone) && !event.Manifest.Drained(server.Zone) {
			router.assumeCold(now, server, router.policy.Contact)
		}
	}
	router.sharesVersion++
	for name := range router.retryBudgets {
		if _, found := event.Manifest.Gateway.Services[name]; !found {
			delete(router.retryBudgets, name)
		}
	}
	router.groupServers()
}

// warmupTime returns how long a server of this service is cold after its start, 0 for never.
func (router *Router) warmupTime(server *serverState) time.Duration {
	return router.manifest.Gateway.Services[server.Pool].WarmupDuration
}

// assumeCold treats a server that may have restarted as cold, unless the servers of its service are never cold.
func (router *Router) assumeCold(now time.Duration, server *serverState, delay time.Duration) {
	if warmup := router.warmupTime(server); warmup > 0 {
		router.extendColdness(now, server, warmup+delay)
	}
}

// extendColdness treats a server as cold for at least a duration.
func (router *Router) extendColdness(now time.Duration, server *serverState, duration time.Duration) {
	if duration > 0 {
		server.ramp.coldUntil = max(server.ramp.coldUntil, now+duration)
	}
}

// blockedByWarmup reports whether a cold server may not be sent a call now. As a last resort, when no other server is left, one that is only
// suspected may. The shares are computed only if the server is cold and the fleet or the configuration has changed.
func (router *Router) blockedByWarmup(now time.Duration, server *serverState, lastResort bool) bool {
	if lastResort && now >= server.ramp.coldUntil {
		return false
	}
	router.applySuspicion(now, server)
	if server.ramp.isCold(now) {
		router.updateShares(server)
	}
	return !server.ramp.allowsCall(now)
}

// updateShares computes this node's share of what a server gets that not all nodes may call.
func (router *Router) updateShares(server *serverState) {
	if server.sharesVersion == router.sharesVersion {
		return
	}
	server.sharesVersion = router.sharesVersion
	server.ramp.computeShare(server.Name, router.fleet.Self, router.fleet.Names, router.manifest.Gateway.Services[server.Pool].WarmupRate,
		router.policy.WarmOverage, router.policy.WarmAllowance)
}

// applyList replaces the servers of a region. A server that is new on a known list, or that reports a warm-up, is treated as cold.
func (router *Router) applyList(now time.Duration, event ServersListed) {
	listedBefore := router.listedRegions[event.Region]
	router.listedRegions[event.Region] = true
	for _, server := range router.servers {
		if server.region == event.Region {
			server.listed = false
		}
	}
	for _, candidate := range event.Servers {
		server, found := router.servers[candidate.Name]
		if !found {
			server = &serverState{region: event.Region, callTime: initialCallTime, nameHash: contract.RendezvousWeight(candidate.Name)}
			router.servers[candidate.Name] = server
		}
		server.Candidate, server.listed = candidate, true
		router.updateGeneration(now, server, candidate.CacheResets)
		router.endSuspicion(now, server)
		if !found && listedBefore {
			router.assumeCold(now, server, router.policy.Contact/4)
		}
		if candidate.WarmupMs > 0 {
			router.extendColdness(now, server, time.Duration(candidate.WarmupMs)*time.Millisecond+router.policy.Contact/8)
		}
	}
	for name, server := range router.servers {
		if !server.listed && server.inFlight == 0 {
			delete(router.servers, name)
		}
	}
	router.groupServers()
}

// groupServers groups the listed servers by service.
func (router *Router) groupServers() {
	router.serversByService = map[string][]*serverState{}
	for _, name := range manifest.SortedKeys(router.servers) {
		if server := router.servers[name]; server.listed {
			router.serversByService[server.Pool] = append(router.serversByService[server.Pool], server)
		}
	}
	router.splitServers()
}

// retryBudgetOf returns the retry budget of a service, which it creates if needed.
func (router *Router) retryBudgetOf(service string) *retryBudget {
	budget, found := router.retryBudgets[service]
	if !found {
		budget = newRetryBudget(router.policy.RepeatWindow)
		router.retryBudgets[service] = budget
	}
	return budget
}

// nodeCount returns the number of data nodes that share the limits.
func (router *Router) nodeCount() int { return max(1, len(router.fleet.Names)) }

// takeRetry reports whether the retry budget of a service allows one more retry, and uses it.
func (router *Router) takeRetry(now time.Duration, service string) bool {
	return router.retryBudgetOf(service).takeRetry(now, router.policy.RepeatRatio, router.policy.RepeatAllowance/float64(router.nodeCount()))
}
