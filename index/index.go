// Package index is a replicated index of prompt placements: it assigns each shared prompt prefix a server that should have it cached.
package index

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Kinds of the messages that maintain the index.
const (
	// MessageUsage carries the calls that a node sent to placed servers (Usage), MessageMoved the placements that a node has wrong (PlacementUpdate),
	// MessageAnnouncement changed placements between control nodes (Announcement).
	MessageUsage        = "index-used"
	MessageMoved        = "index-moved"
	MessageAnnouncement = "index-told"
)

// Key identifies a shared prompt: Scope is the service together with the regions that its calls are bound to, Anchor is a hash of the
// prompt's leading parts.
type Key struct {
	Scope  string `json:"scope"`
	Anchor uint64 `json:"anchor"`
}

// Placement assigns a prompt to the server that should have it cached.
type Placement struct {
	Key
	Server string `json:"server"`
}

// PlacementRequest requests a prompt's place. If it has none yet, or its place is the Lost server, one of the candidates is chosen, preferring the
// first. Work is the time to read the prompt in milliseconds. With Known set, only an existing place is returned and nothing changes.
// Root is the anchor of leading parts shared with other prompts, 0 for none; RootWork is the part of Work for reading these.
type PlacementRequest struct {
	Key
	Candidates []string `json:"candidates,omitempty"`
	Lost       string   `json:"lost,omitempty"`
	Work       int64    `json:"work,omitempty"`
	Known      bool     `json:"known,omitempty"`
	Root       uint64   `json:"root,omitempty"`
	RootWork   int64    `json:"rootWork,omitempty"`
}

// rootPlacement records that a prompt with a root was placed on a server.
type rootPlacement struct {
	Key
	server string
}

// Use is one call that went to its prompt's place. Took is the wait for its first piece in milliseconds. Verdict and At, when that piece
// came, are sent in Usage.Results.
type Use struct {
	Key
	Server  string        `json:"server"`
	Took    int64         `json:"took"`
	Verdict Verdict       `json:"-"`
	At      time.Duration `json:"-"`
}

// Usage is what the node at Address sent since its last report. Results has two characters for each use; older nodes leave it empty.
type Usage struct {
	Address string `json:"address"`
	Uses    []Use  `json:"uses"`
	Results string `json:"results,omitempty"`
}

// PlacementUpdate lists the places that the receiver has wrong; for a place without a server it must send a new PlacementRequest.
type PlacementUpdate struct {
	Places []Placement `json:"places"`
}

const (
	// maxPlaces bounds the prompts, and maxServers the servers, that an index keeps; the least recently used are dropped.
	maxPlaces  = 1 << 16
	maxServers = 1 << 14
	// capacityFactor bounds a server's work for new prompts, as a multiple of its fair share.
	capacityFactor = 1.25
	// MaxUses bounds the uses in one Usage.
	MaxUses = 256
	// MaxCandidates bounds the candidates in one PlacementRequest.
	MaxCandidates = 16
)

// CacheIndex holds the index on a control node. It may lose its state at any time: nodes report to a successor the places that they use.
type CacheIndex struct {
	halfLife      time.Duration
	cooldown      time.Duration // time in which a moved place does not move again and a lost server gets no place
	places        *lru.LRU[Key, placeEntry]
	loads         *lru.LRU[string, load]
	roots         *lru.LRU[rootPlacement, struct{}] // roots that a server has read
	checks        *lru.LRU[string, *cacheChecks]
	pendingChecks []pendingCheck // misses that wait for a decision
	replication
}

// placeEntry is a place. A confirmed one was assigned by this index or used by a node; others come from peers and the first use decides.
// read is when the first reported call had read the prompt there, used the last use, missed the last cache miss. A leaving entry
// stays until it is asked for with other candidates.
type placeEntry struct {
	server             string
	moved              time.Duration // last move
	confirmed, leaving bool
	read, used, missed time.Duration
}

// announcedServer is the server that nodes and peers are told, empty for a leaving place.
func (place placeEntry) announcedServer() string {
	if place.leaving {
		return ""
	}
	return place.server
}

// load is the work assigned to a server, decaying by half in each half-life. The server reads the prompts placed there until busyUntil.
type load struct {
	work      float64 // milliseconds, as of updatedAt
	updatedAt time.Duration
	lost      time.Duration // until when it gets no place
	busyUntil time.Duration
}

// New returns an empty index. A server's work decays by half in halfLife; cooldown is how long a moved place stays put and a lost
// server gets no place.
func New(halfLife, cooldown time.Duration) *CacheIndex {
	return &CacheIndex{halfLife: halfLife, cooldown: cooldown, places: newLRU[Key, placeEntry](maxPlaces), loads: newLRU[string, load](maxServers),
		roots:       newLRU[rootPlacement, struct{}](maxPlaces),
		checks:      newLRU[string, *cacheChecks](maxServers),
		replication: replication{changed: newLRU[Key, struct{}](MaxSaved)}}
}

func newLRU[Name comparable, Value any](size int) *lru.LRU[Name, Value] {
	cache, err := lru.NewLRU[Name, Value](size, nil)
	if err != nil {
		panic(err)
	}
	return cache
}

// Len returns the number of places.
func (cacheIndex *CacheIndex) Len() int { return cacheIndex.places.Len() }

// currentWork returns a server's decayed work in milliseconds.
func (cacheIndex *CacheIndex) currentWork(now time.Duration, server string) float64 {
	serverLoad, found := cacheIndex.loads.Peek(server)
	if !found {
		return 0
	}
	return serverLoad.work * math.Exp2(-float64(now-serverLoad.updatedAt)/float64(cacheIndex.halfLife))
}

func (cacheIndex *CacheIndex) addWork(now time.Duration, server string, work int64) {
	serverLoad, _ := cacheIndex.loads.Peek(server)
	cacheIndex.loads.Add(server, load{cacheIndex.currentWork(now, server) + float64(work), now, serverLoad.lost, serverLoad.busyUntil})
}

// queueRead adds the reading of a prompt to a server's work, after the prompts it was given before.
func (cacheIndex *CacheIndex) queueRead(now time.Duration, server string, work int64) {
	cacheIndex.addWork(now, server, work)
	serverLoad, _ := cacheIndex.loads.Peek(server)
	serverLoad.busyUntil = max(now, serverLoad.busyUntil) + time.Duration(work)*time.Millisecond
	cacheIndex.loads.Add(server, serverLoad)
}

// backlog is how long a server will still read the prompts that it was given.
func (cacheIndex *CacheIndex) backlog(now time.Duration, server string) time.Duration {
	serverLoad, _ := cacheIndex.loads.Peek(server)
	return max(0, serverLoad.busyUntil-now)
}

// markLost records a report that a server is lost; nothing is placed there during the cooldown.
func (cacheIndex *CacheIndex) markLost(now time.Duration, server string) {
	if server != "" {
		cacheIndex.loads.Add(server, load{work: cacheIndex.currentWork(now, server), updatedAt: now, lost: now + cacheIndex.cooldown})
	}
}

// isLost reports whether a server was reported lost within the cooldown.
func (cacheIndex *CacheIndex) isLost(now time.Duration, server string) bool {
	serverLoad, found := cacheIndex.loads.Peek(server)
	return found && now < serverLoad.lost
}

// Place answers a PlacementRequest with the existing place or with a candidate that has little work. It returns false if there is no place to give:
// no candidate is usable, or the place has moved within the cooldown.
func (cacheIndex *CacheIndex) Place(now time.Duration, request PlacementRequest) (Placement, bool) {
	if request.Known {
		return cacheIndex.existingPlacement(now, request)
	}
	cacheIndex.markLost(now, request.Lost)
	existing, found := cacheIndex.places.Get(request.Key)
	if found && existing.server != request.Lost && !existing.leaving {
		return Placement{Key: request.Key, Server: existing.server}, true
	}
	if found && now < existing.moved+cacheIndex.cooldown || len(request.Candidates) > MaxCandidates {
		return Placement{}, false
	}
	candidates := slices.DeleteFunc(slices.Clone(request.Candidates), func(name string) bool {
		return cacheIndex.isLost(now, name) || existing.leaving && name == existing.server
	})
	if len(candidates) == 0 {
		if !existing.leaving || existing.server == request.Lost {
			return Placement{}, false
		}
		existing.leaving, existing.missed, existing.moved = false, 0, now
		cacheIndex.storePlace(request.Key, existing)
		return Placement{Key: request.Key, Server: existing.server}, true
	}
	chosen := cacheIndex.chooseServer(now, candidates, request)
	cacheIndex.storePlace(request.Key, placeEntry{server: chosen, moved: now, confirmed: true})
	cacheIndex.queueRead(now, chosen, cacheIndex.unreadWork(request, chosen))
	if request.Root != 0 {
		cacheIndex.roots.Add(request.rootOnServer(chosen), struct{}{})
	}
	return Placement{Key: request.Key, Server: chosen}, true
}

// existingPlacement answers a request from existing places only, for a node that has a replica nearer than the owner.
func (cacheIndex *CacheIndex) existingPlacement(now time.Duration, request PlacementRequest) (Placement, bool) {
	existing, found := cacheIndex.places.Peek(request.Key)
	if !found || existing.leaving || existing.server == request.Lost || cacheIndex.isLost(now, existing.server) {
		return Placement{}, false
	}
	cacheIndex.places.Get(request.Key)
	return Placement{Key: request.Key, Server: existing.server}, true
}

func (request PlacementRequest) rootOnServer(server string) rootPlacement {
	return rootPlacement{Key{Scope: request.Scope, Anchor: request.Root}, server}
}

// unreadWork is the work of reading a prompt on a server; the root is not read again where a prompt with it was placed.
func (cacheIndex *CacheIndex) unreadWork(request PlacementRequest, server string) int64 {
	if request.Root != 0 && cacheIndex.roots.Contains(request.rootOnServer(server)) {
		return max(0, request.Work-request.RootWork)
	}
	return max(0, request.Work)
}

// chooseServer returns the candidate that will have read the prompt first, among those within their bounded share of the work, or else
// among all; ties go to the candidates' order. A server that often misses cached prompts has a smaller share. An idle first candidate
// is usually chosen, so a lost index is mostly rebuilt alike (Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads").
func (cacheIndex *CacheIndex) chooseServer(now time.Duration, candidates []string, request PlacementRequest) string {
	totalWork, totalShare := float64(max(0, request.Work)), 0.0
	for _, name := range candidates {
		totalWork += cacheIndex.currentWork(now, name)
		totalShare += cacheIndex.workShare(name)
	}
	withinShare := slices.DeleteFunc(slices.Clone(candidates), func(name string) bool {
		return cacheIndex.currentWork(now, name)+float64(cacheIndex.unreadWork(request, name)) > capacityFactor*totalWork*cacheIndex.workShare(name)/totalShare
	})
	finishTime := func(name string) float64 {
		unread := cacheIndex.unreadWork(request, name)
		return (float64(cacheIndex.backlog(now, name).Milliseconds()) + float64(unread)) / cacheIndex.workShare(name)
	}
	relativeWork := func(name string) float64 {
		return (cacheIndex.currentWork(now, name) + float64(cacheIndex.unreadWork(request, name))) / cacheIndex.workShare(name)
	}
	if len(withinShare) == 0 {
		least := slices.MinFunc(candidates, func(left, right string) int { return cmp.Compare(relativeWork(left), relativeWork(right)) })
		if cacheIndex.backlog(now, least) == 0 {
			return least
		}
		withinShare = candidates
	}
	return slices.MinFunc(withinShare, func(left, right string) int { return cmp.Compare(finishTime(left), finishTime(right)) })
}

// storePlace sets a new or moved place and marks it to be announced and saved.
func (cacheIndex *CacheIndex) storePlace(key Key, place placeEntry) {
	cacheIndex.places.Add(key, place)
	cacheIndex.changed.Add(key, struct{}{})
	cacheIndex.dirty = true
}

// Handle processes usage reports of nodes, announcements of other control nodes and the results of saving.
func (cacheIndex *CacheIndex) Handle(now time.Duration, event contract.Event) []contract.Command {
	switch event := event.(type) {
	case Persisted:
		return cacheIndex.handlePersisted(event)
	case contract.Message:
		switch event.Kind {
		case MessageUsage:
			return cacheIndex.handleUsage(now, event)
		case MessageAnnouncement:
			return cacheIndex.handleAnnouncement(now, event)
		}
	}
	return nil
}

var malformedMessage = []contract.Command{contract.AddCounter{Name: "messages_broken", Delta: 1}}

// handleUsage confirms the places that a node used. A place that is unknown here, or only announced by a peer, is taken over from the node;
// where the node uses another server than the confirmed one, it is sent the right place.
func (cacheIndex *CacheIndex) handleUsage(now time.Duration, message contract.Message) []contract.Command {
	var usage Usage
	if json.Unmarshal(message.Body, &usage) != nil {
		return malformedMessage
	}
	update, keptCount := PlacementUpdate{}, int64(0)
	for number, use := range usage.Uses[:min(len(usage.Uses), MaxUses)] {
		if use.Server == "" {
			continue
		}
		use.Verdict, use.At = usage.result(now, cacheIndex.cooldown, number)
		cacheIndex.addWork(now, use.Server, max(0, use.Took))
		existing, found := cacheIndex.places.Get(use.Key)
		switch {
		case !found || !existing.confirmed && existing.server != use.Server:
			cacheIndex.storePlace(use.Key, cacheIndex.recordUse(now, placeEntry{server: use.Server, moved: now, confirmed: true}, use))
		case existing.server == use.Server:
			existing.confirmed = true
			cacheIndex.places.Add(use.Key, cacheIndex.recordUse(now, existing, use))
		}
		if found && existing.announcedServer() != use.Server && existing.confirmed {
			update.Places = append(update.Places, Placement{Key: use.Key, Server: existing.announcedServer()})
		}
		if use.Verdict == Kept {
			keptCount++
		}
	}
	commands := []contract.Command{}
	if keptCount > 0 {
		commands = append(commands, contract.AddCounter{Name: "index_checked", Delta: keptCount})
	}
	if len(update.Places) > 0 {
		commands = append(commands, contract.Send{To: usage.Address, Kind: MessageMoved, Body: update})
	}
	return commands
}
