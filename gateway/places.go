package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// PlaceQuery is the command to ask the owner of the index, or with Ask.Known a nearby replica, where the prompt of a call belongs. After Timeout the
// call goes on without an answer, by a PlaceAnswer with TimedOut.
type PlaceQuery struct {
	Token   int64
	Ask     index.PlacementRequest
	Timeout time.Duration
}

// PlaceAnswer is the event that a place query was answered. A place without a server means a refusal, or, with TimedOut, that no answer came in time.
type PlaceAnswer struct {
	Token    int64
	Place    index.Placement
	TimedOut bool
}

// PlacesMoved brings places that differ from what this node believed.
type PlacesMoved struct{ Places []index.Placement }

// IndexReachability tells whether there is an owner of the index to ask, and whether a replica is so much nearer that it is asked first.
type IndexReachability struct {
	OwnerKnown  bool
	ReplicaNear bool
}

const (
	// maxKnownPlaces limits the places that this node remembers; the least recently used one is dropped.
	maxKnownPlaces = 1 << 12
	// maxOwnerQueries is how often the owner of the index is asked for one call.
	maxOwnerQueries = 2
	// rootCandidates is how many of the offered servers are the same for all prompts of one root.
	rootCandidates = index.MaxCandidates / 2
)

// placeIndex is what this node knows of the shared index of prompts.
type placeIndex struct {
	// known maps prompts to the servers that are meant to hold them.
	known *lru.LRU[index.Key, string]
	// uses are the uses of places that the owner has not been told yet.
	uses []index.Use
	// usualOverhead is what calls take apart from reading the prompt, by region.
	usualOverhead map[string]time.Duration
	// ownerKnown and replicaNear are as in IndexReachability; neither is asked before its quiet time is over, which begins when an answer did not
	// come.
	ownerKnown        bool
	ownerQuietUntil   time.Duration
	replicaNear       bool
	replicaQuietUntil time.Duration
}

func newPlaceIndex() placeIndex {
	known, err := lru.NewLRU[index.Key, string](maxKnownPlaces, nil)
	if err != nil {
		panic(err)
	}
	return placeIndex{known: known, usualOverhead: map[string]time.Duration{}}
}

// placeKeyOf returns the key of a call's prompt in the index. The scope consists of the service and of the regions that the call is bound to.
func placeKeyOf(call *callState) index.Key {
	return index.Key{Scope: call.service + "\x00" + strings.Join(call.route.AllowedRegions, ","), Anchor: call.Prompt.Anchor()}
}

// placeQueryFor returns the query that a call with a long shared prompt has to send before its dispatch, if any.
func (router *Router) placeQueryFor(now time.Duration, call *callState) (PlaceQuery, bool) {
	if router.manifest.Gateway.Services[call.service].Engine == nil || call.Prompt.Shared() < minSharedTokens {
		return PlaceQuery{}, false
	}
	if call.placeKey.Scope == "" {
		call.placeKey = placeKeyOf(call)
	}
	name, found := router.places.known.Get(call.placeKey)
	if found && !router.isPlaceLost(now, name) {
		call.placeServer = name
		return PlaceQuery{}, false
	}
	askReplica := !found && !call.replicaQueried && router.places.replicaNear && now >= router.places.replicaQuietUntil
	if !askReplica && (call.ownerQueries >= maxOwnerQueries || !router.places.ownerKnown || now < router.places.ownerQuietUntil) {
		return PlaceQuery{}, false
	}
	candidates := router.openServers(now, call, false)
	if len(candidates) < 2 {
		return PlaceQuery{}, false
	}
	if askReplica {
		call.queryingReplica, call.replicaQueried = true, true
		return PlaceQuery{Token: call.Token, Ask: index.PlacementRequest{Key: call.placeKey, Known: true}, Timeout: router.policy.Contact / 64}, true
	}
	call.ownerQueries++
	ask := index.PlacementRequest{Key: call.placeKey, Lost: name, Work: router.readTime(call.service, call.Prompt.Input).Milliseconds()}
	if root, tokens := call.Prompt.Root(); root != call.placeKey.Anchor {
		ask.Root, ask.RootWork = root, router.readTime(call.service, tokens).Milliseconds()
	}
	for _, server := range router.placeCandidates(now, candidates, call) {
		ask.Candidates = append(ask.Candidates, server.Name)
	}
	return PlaceQuery{Token: call.Token, Ask: ask, Timeout: router.policy.Contact / 16}, true
}

// isPlaceLost reports whether a place is unavailable for longer than a moment.
func (router *Router) isPlaceLost(now time.Duration, name string) bool {
	server, found := router.servers[name]
	return !found || !server.listed || server.wrongServer || router.manifest.Drained(server.Zone) || now < server.backoffUntil && server.failures > 1
}

// placeCandidates returns the servers that may hold a prompt, those of this region first: the call that reads a prompt first waits longest anyway and
// is spared the distance. Some of other regions follow, for an owner that knows those of this region to be busier. Within a region the order is the
// same at all nodes.
func (router *Router) placeCandidates(now time.Duration, candidates []*serverState, call *callState) []*serverState {
	ordered := orderByRoot(router.serversForLong(now, candidates, call), call.Prompt)
	sameRegion, otherRegions := []*serverState{}, []*serverState{}
	for _, server := range ordered {
		if server.region == router.settings.Region {
			sameRegion = append(sameRegion, server)
		} else {
			otherRegions = append(otherRegions, server)
		}
	}
	otherCount := min(len(otherRegions), max(index.MaxCandidates/4, index.MaxCandidates-len(sameRegion)))
	return slices.Concat(sameRegion[:min(len(sameRegion), index.MaxCandidates-otherCount)], otherRegions[:otherCount])
}

// orderByRoot orders servers for a prompt. The first ones are the same for all prompts of its root; the owner of the index leaves them only when they
// have more than their part of the work. The others follow in an order of the prompt's own.
func orderByRoot(servers []*serverState, prompt engine.Prompt) []*serverState {
	ordered := slices.Clone(servers)
	root, _ := prompt.Root()
	slices.SortFunc(ordered, rendezvous(root))
	if root != prompt.Anchor() && len(ordered) > rootCandidates {
		slices.SortFunc(ordered[rootCandidates:], rendezvous(prompt.Anchor()))
	}
	return ordered
}

// handlePlaceAnswer records an answer. Whoever did not answer in time is not asked for a while; a refusal concerns its own call alone.
func (router *Router) handlePlaceAnswer(now time.Duration, event PlaceAnswer) {
	if event.Place.Server != "" {
		router.places.known.Add(event.Place.Key, event.Place.Server)
	}
	call, found := router.calls[event.Token]
	if !found {
		return
	}
	fromReplica, quietUntil := call.queryingReplica, now+router.policy.Contact/4
	call.queryingReplica = false
	switch {
	case event.Place.Server != "":
	case fromReplica && event.TimedOut:
		router.places.replicaQuietUntil = quietUntil
	case event.TimedOut:
		router.places.ownerQuietUntil = quietUntil
	case !fromReplica:
		call.ownerQueries = maxOwnerQueries
	}
}

// IsRefusalStatus reports whether the status of an answer says that a control node has no place to give, as opposed to no answer at all.
func IsRefusalStatus(status int) bool { return status/100 == 4 }

// applyMovedPlaces updates the known places. One without a server is to be asked for again, as the cache of its server does not contain the prompt.
func (router *Router) applyMovedPlaces(event PlacesMoved) {
	for _, place := range event.Places {
		if place.Server != "" {
			router.places.known.Add(place.Key, place.Server)
			continue
		}
		if previous, found := router.places.known.Get(place.Key); found {
			router.places.known.Remove(place.Key)
			if server := router.servers[previous]; server != nil && server.cacheEstimate != nil {
				server.cacheEstimate.Remove(place.Anchor)
			}
		}
	}
}

// recordPlaceUse records a call that went to the place of its prompt, for the owner of the index.
func (router *Router) recordPlaceUse(now time.Duration, call *callState) {
	if call.placeServer != "" && call.server.Name == call.placeServer && len(router.places.uses) < index.MaxUses {
		router.places.uses = append(router.places.uses, index.Use{Key: call.placeKey, Server: call.placeServer, Took: (now - call.sentAt).Milliseconds(),
			Verdict: router.cacheObservation(now, call), At: now})
	}
}

// TakePlaceUses returns the uses recorded since the last call, and clears them.
func (router *Router) TakePlaceUses() []index.Use {
	uses := router.places.uses
	router.places.uses = nil
	return uses
}
