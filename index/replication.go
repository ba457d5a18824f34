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
	Places []Place `json:"places"`
}

// Persist is a command to save a snapshot; there is never a second one before the first is Persisted.
type Persist struct{ Snapshot Snapshot }

// Persisted is the outcome of a Persist; with an Error the save is repeated.
type Persisted struct{ Error string }

// Announcement has places that changed; one without a server was removed. With Backfill set, they are older places that the receiver
// may have missed and uses for keys without a place only.
type Announcement struct {
	Places   []Place `json:"places"`
	Backfill bool    `json:"kept,omitempty"`
}

// replication keeps the index beyond its owner: on disk, and on the other control nodes.
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
func (owner *Owner) Restore(snapshot Snapshot) {
	owner.hasDisk = true
	for _, place := range snapshot.Places[max(0, len(snapshot.Places)-MaxSaved):] {
		if place.Server != "" {
			owner.places.Add(place.Key, entry{server: place.Server, moved: -owner.cooldown})
		}
	}
}

// Snapshot returns the most recently used places.
func (owner *Owner) Snapshot() Snapshot { return Snapshot{owner.latestPlaces(MaxSaved)} }

func (owner *Owner) latestPlaces(limit int) []Place {
	keys := owner.places.Keys()
	return owner.placesOf(keys[max(0, len(keys)-limit):])
}

func (owner *Owner) placesOf(keys []Key) []Place {
	places := make([]Place, 0, len(keys))
	for _, key := range keys {
		if existing, found := owner.places.Peek(key); found {
			places = append(places, Place{Key: key, Server: existing.announcedServer()})
		}
	}
	return places
}

// Tick decides possible misses, announces changes to the other control nodes and saves them, each at its own interval.
func (owner *Owner) Tick(now time.Duration, peers []contract.Member) []contract.Command {
	return slices.Concat(owner.settleMisses(now), owner.backfillNewPeers(peers), owner.announceChanges(now, peers), owner.saveChanges(now))
}

// backfillNewPeers sends the latest places to peers that were not there before, if this node has a disk.
func (owner *Owner) backfillNewPeers(peers []contract.Member) []contract.Command {
	commands, knownPeers, kept := []contract.Command{}, make(map[string]bool, len(peers)), []Place{}
	for _, peer := range peers {
		incarnation := peer.Name + "#" + peer.Boot
		knownPeers[incarnation] = true
		if owner.hasDisk && !owner.knownPeers[incarnation] && owner.Len() > 0 {
			if len(kept) == 0 {
				kept = owner.latestPlaces(maxAnnounced)
			}
			commands = append(commands, contract.Send{To: peer.Address, Kind: MessageAnnouncement, Body: Announcement{kept, true}})
		}
	}
	owner.knownPeers = knownPeers
	return commands
}

func (owner *Owner) announceChanges(now time.Duration, peers []contract.Member) []contract.Command {
	keys := owner.changed.Keys()
	if now < owner.nextAnnounce || len(keys) == 0 {
		return nil
	}
	owner.nextAnnounce = now + owner.halfLife/announcesPerHalfLife
	keys = keys[:min(len(keys), maxAnnounced)]
	for _, key := range keys {
		owner.changed.Remove(key)
	}
	announcement, commands := Announcement{Places: owner.placesOf(keys)}, make([]contract.Command, 0, len(peers))
	for _, peer := range peers {
		commands = append(commands, contract.Send{To: peer.Address, Kind: MessageAnnouncement, Body: announcement})
	}
	return commands
}

func (owner *Owner) saveChanges(now time.Duration) []contract.Command {
	if now < owner.nextSave {
		return nil
	}
	owner.nextSave = now + owner.halfLife/savesPerHalfLife
	if !owner.hasDisk || !owner.dirty || owner.saving {
		return nil
	}
	owner.dirty, owner.saving = false, true
	return []contract.Command{Persist{owner.Snapshot()}}
}

func (owner *Owner) persisted(event Persisted) []contract.Command {
	owner.saving = false
	if event.Error == "" {
		return nil
	}
	owner.dirty = true
	return []contract.Command{contract.AddCounter{Name: "index_unsaved", Delta: 1}}
}

// announcement stores a peer's places as unconfirmed; they are not announced further. A place that just changed does not move again
// within the cooldown.
func (owner *Owner) announcement(now time.Duration, message contract.Message) []contract.Command {
	var announcement Announcement
	if json.Unmarshal(message.Body, &announcement) != nil {
		return malformedMessage
	}
	moved := now
	if announcement.Backfill {
		moved -= owner.cooldown
	}
	for _, place := range announcement.Places[:min(len(announcement.Places), maxAnnounced)] {
		existing, found := owner.places.Peek(place.Key)
		if place.Server == "" && !announcement.Backfill {
			owner.places.Remove(place.Key)
		}
		if place.Server == "" || found && (announcement.Backfill || existing.server == place.Server) {
			continue
		}
		owner.places.Add(place.Key, entry{server: place.Server, moved: moved})
		owner.dirty = true
	}
	return nil
}
