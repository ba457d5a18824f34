package index

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MostSaved bounds a snapshot.
	MostSaved = 1 << 12
	// mostTold bounds the places in a message.
	mostTold = 1 << 10
	// savesPerHalfLife and tellsPerHalfLife are how often in a half-life changes are saved and told to replicas at most.
	savesPerHalfLife = 4
	tellsPerHalfLife = 64
)

// Snapshot is the places that were used last, the latest at the end.
type Snapshot struct {
	Places []Place `json:"places"`
}

// Persist asks for a snapshot to be saved, never a second one before the first is Persisted.
type Persist struct{ Snapshot Snapshot }

// Persisted ends a Persist; a Error has it tried again.
type Persisted struct{ Error string }

// Told are places that changed, or with Kept those that the receiver may have missed: these only fill gaps. One without a server is gone.
type Told struct {
	Places []Place `json:"places"`
	Kept   bool    `json:"kept,omitempty"`
}

// replication is what keeps an index beyond its owner: on disk, and at the other control nodes.
type replication struct {
	changed  *lru.LRU[Key, struct{}]
	met      map[string]bool
	nextTell time.Duration
	nextSave time.Duration
	disk     bool
	dirty    bool
	saving   bool
}

// Restore takes up what the disk kept, if anything; from then on changes are handed out to be saved.
func (owner *Owner) Restore(snapshot Snapshot) {
	owner.disk = true
	for _, place := range snapshot.Places[max(0, len(snapshot.Places)-MostSaved):] {
		if place.Server != "" {
			owner.places.Add(place.Key, entry{server: place.Server, moved: -owner.rest})
		}
	}
}

// Snapshot gives the places that were used last.
func (owner *Owner) Snapshot() Snapshot { return Snapshot{owner.latest(MostSaved)} }

func (owner *Owner) latest(most int) []Place {
	keys := owner.places.Keys()
	return owner.named(keys[max(0, len(keys)-most):])
}

func (owner *Owner) named(keys []Key) []Place {
	places := make([]Place, 0, len(keys))
	for _, key := range keys {
		if known, there := owner.places.Peek(key); there {
			places = append(places, Place{Key: key, Server: known.told()})
		}
	}
	return places
}

// Tick judges misses, tells the other control nodes what changed and has it saved, each on a beat of its own.
func (owner *Owner) Tick(now time.Duration, peers []contract.Member) []contract.Command {
	return slices.Concat(owner.settle(now), owner.greet(peers), owner.tell(now, peers), owner.save(now))
}

// greet tells a peer that was not there before what is kept here, if there is a disk.
func (owner *Owner) greet(peers []contract.Member) []contract.Command {
	commands, met, kept := []contract.Command{}, make(map[string]bool, len(peers)), []Place{}
	for _, peer := range peers {
		life := peer.Name + "#" + peer.Boot
		met[life] = true
		if owner.disk && !owner.met[life] && owner.Len() > 0 {
			if len(kept) == 0 {
				kept = owner.latest(mostTold)
			}
			commands = append(commands, contract.Send{To: peer.Address, Kind: MessageTold, Body: Told{kept, true}})
		}
	}
	owner.met = met
	return commands
}

func (owner *Owner) tell(now time.Duration, peers []contract.Member) []contract.Command {
	keys := owner.changed.Keys()
	if now < owner.nextTell || len(keys) == 0 {
		return nil
	}
	owner.nextTell = now + owner.halfLife/tellsPerHalfLife
	keys = keys[:min(len(keys), mostTold)]
	for _, key := range keys {
		owner.changed.Remove(key)
	}
	told, commands := Told{Places: owner.named(keys)}, make([]contract.Command, 0, len(peers))
	for _, peer := range peers {
		commands = append(commands, contract.Send{To: peer.Address, Kind: MessageTold, Body: told})
	}
	return commands
}

func (owner *Owner) save(now time.Duration) []contract.Command {
	if now < owner.nextSave {
		return nil
	}
	owner.nextSave = now + owner.halfLife/savesPerHalfLife
	if !owner.disk || !owner.dirty || owner.saving {
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

// told takes places of another control node as hearsay; they are not told further. One that just changed does not move again at once.
func (owner *Owner) told(now time.Duration, message contract.Message) []contract.Command {
	var told Told
	if json.Unmarshal(message.Body, &told) != nil {
		return broken
	}
	moved := now
	if told.Kept {
		moved -= owner.rest
	}
	for _, place := range told.Places[:min(len(told.Places), mostTold)] {
		known, there := owner.places.Peek(place.Key)
		if place.Server == "" && !told.Kept {
			owner.places.Remove(place.Key)
		}
		if place.Server == "" || there && (told.Kept || known.server == place.Server) {
			continue
		}
		owner.places.Add(place.Key, entry{server: place.Server, moved: moved})
		owner.dirty = true
	}
	return nil
}
