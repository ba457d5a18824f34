package index

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxSaved bounds the places in a snapshot.
	MaxSaved = 1 << 12
	// maxAnnounced bounds the places in one announcement.
	maxAnnounced = 1 << 10
	// savesPerHalfLife and announcesPerHalfLife bound how often changes are saved and announced to replicas.
	savesPerHalfLife     = 4
	announcesPerHalfLife = 64
)

// Snapshot has the most recently used places, the latest last.
type Snapshot struct {
	Places []Placement `json:"places"`
}

// Persist is a command to save a snapshot; there is never a second one before the first is Persisted.
type Persist struct{ Snapshot Snapshot }

// Persisted is the outcome of a Persist; with an Error the save is repeated.
type Persisted struct{ Error string }

// Announcement has places that changed; one without a server was removed. With Backfill set, they are older places that the receiver
// may have missed and uses for keys without a place only.
type Announcement struct {
	Places   []Placement `json:"places"`
	Backfill bool        `json:"kept,omitempty"`
}

// replication keeps copies of the index: on disk, and on the other control nodes.
type replication struct {
	changed      *lru.LRU[Key, struct{}]
	knownPeers   map[string]bool // by name and boot: peers that have got a backfill
	nextAnnounce time.Duration
	nextSave     time.Duration
	hasDisk      bool
	dirty        bool // there are changes to save
	saving       bool
}

// Restore loads a snapshot, which may be empty; from then on changes are returned to be saved.
func (cacheIndex *CacheIndex) Restore(snapshot Snapshot) {
	cacheIndex.hasDisk = true
	for _, place := range snapshot.Places[max(0, len(snapshot.Places)-MaxSaved):] {
		if place.Server != "" {
			cacheIndex.places.Add(place.Key, placeEntry{server: place.Server, moved: -cacheIndex.cooldown})
		}
	}
}

// Snapshot returns the most recently used places.
func (cacheIndex *CacheIndex) Snapshot() Snapshot { return Snapshot{cacheIndex.latestPlaces(MaxSaved)} }

func (cacheIndex *CacheIndex) latestPlaces(limit int) []Placement {
	keys := cacheIndex.places.Keys()
	return cacheIndex.placesOf(keys[max(0, len(keys)-limit):])
}

func (cacheIndex *CacheIndex) placesOf(keys []Key) []Placement {
	places := make([]Placement, 0, len(keys))
	for _, key := range keys {
		if existing, found := cacheIndex.places.Peek(key); found {
			places = append(places, Placement{Key: key, Server: existing.announcedServer()})
		}
	}
	return places
}

// Tick decides possible misses, announces changes to the other control nodes and saves them, each at its own interval.
func (cacheIndex *CacheIndex) Tick(now time.Duration, peers []contract.Member) []contract.Command {
	return slices.Concat(cacheIndex.settleMisses(now), cacheIndex.backfillNewPeers(peers), cacheIndex.announceChanges(now, peers), cacheIndex.saveChanges(now))
}

// backfillNewPeers sends the latest places to peers that were not there before, if this node has a disk.
func (cacheIndex *CacheIndex) backfillNewPeers(peers []contract.Member) []contract.Command {
	commands, knownPeers, backfill := []contract.Command{}, make(map[string]bool, len(peers)), []Placement{}
	for _, peer := range peers {
		incarnation := peer.Name + "#" + peer.Boot
		knownPeers[incarnation] = true
		if cacheIndex.hasDisk && !cacheIndex.knownPeers[incarnation] && cacheIndex.Len() > 0 {
			if len(backfill) == 0 {
				backfill = cacheIndex.latestPlaces(maxAnnounced)
			}
			commands = append(commands, contract.Send{To: peer.Address, Kind: MessageAnnouncement, Body: Announcement{backfill, true}})
		}
	}
	cacheIndex.knownPeers = knownPeers
	return commands
}

func (cacheIndex *CacheIndex) announceChanges(now time.Duration, peers []contract.Member) []contract.Command {
	keys := cacheIndex.changed.Keys()
	if now < cacheIndex.nextAnnounce || len(keys) == 0 {
		return nil
	}
	cacheIndex.nextAnnounce = now + cacheIndex.halfLife/announcesPerHalfLife
	keys = keys[:min(len(keys), maxAnnounced)]
	for _, key := range keys {
		cacheIndex.changed.Remove(key)
	}
	announcement, commands := Announcement{Places: cacheIndex.placesOf(keys)}, make([]contract.Command, 0, len(peers))
	for _, peer := range peers {
		commands = append(commands, contract.Send{To: peer.Address, Kind: MessageAnnouncement, Body: announcement})
	}
	return commands
}

func (cacheIndex *CacheIndex) saveChanges(now time.Duration) []contract.Command {
	if now < cacheIndex.nextSave {
		return nil
	}
	cacheIndex.nextSave = now + cacheIndex.halfLife/savesPerHalfLife
	if !cacheIndex.hasDisk || !cacheIndex.dirty || cacheIndex.saving {
		return nil
	}
	cacheIndex.dirty, cacheIndex.saving = false, true
	return []contract.Command{Persist{cacheIndex.Snapshot()}}
}

func (cacheIndex *CacheIndex) handlePersisted(event Persisted) []contract.Command {
	cacheIndex.saving = false
	if event.Error == "" {
		return nil
	}
	cacheIndex.dirty = true
	return []contract.Command{contract.AddCounter{Name: "index_unsaved", Delta: 1}}
}

// handleAnnouncement stores a peer's places as unconfirmed; they are not announced further. A place that just changed does not move again
// within the cooldown.
func (cacheIndex *CacheIndex) handleAnnouncement(now time.Duration, message contract.Message) []contract.Command {
	var announcement Announcement
	if json.Unmarshal(message.Body, &announcement) != nil {
		return malformedMessage
	}
	moved := now
	if announcement.Backfill {
		moved -= cacheIndex.cooldown
	}
	for _, place := range announcement.Places[:min(len(announcement.Places), maxAnnounced)] {
		existing, found := cacheIndex.places.Peek(place.Key)
		if place.Server == "" && !announcement.Backfill {
			cacheIndex.places.Remove(place.Key)
		}
		if place.Server == "" || found && (announcement.Backfill || existing.server == place.Server) {
			continue
		}
		cacheIndex.places.Add(place.Key, placeEntry{server: place.Server, moved: moved})
		cacheIndex.dirty = true
	}
	return nil
}
