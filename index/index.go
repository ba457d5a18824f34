// Package index keeps where prompts that calls share belong: which server is meant to keep what one of them has read, for all nodes.
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

// MessageUsed carries what a node sent where, MessageMoved the places that its index has wrong, MessageTold places between control nodes.
const (
	MessageUsed  = "index-used"
	MessageMoved = "index-moved"
	MessageTold  = "index-told"
)

// Key names a shared prompt: scope is the service with the regions that the calls are bound to, anchor stands for its leading parts.
type Key struct {
	Scope  string `json:"scope"`
	Anchor uint64 `json:"anchor"`
}

// Place says that a server is meant to keep a prompt.
type Place struct {
	Key
	Server string `json:"server"`
}

// Ask wants a prompt's place: one of the candidates, the preferred one first, if it has none yet, or if its place is Lost. Work is
// the milliseconds that reading the prompt takes. With Known it is answered only from what is known there and changes nothing. Root
// stands for the leading parts that other prompts have too, 0 for none, RootWork is what of the Work reading these is.
type Ask struct {
	Key
	Candidates []string `json:"candidates,omitempty"`
	Lost       string   `json:"lost,omitempty"`
	Work       int64    `json:"work,omitempty"`
	Known      bool     `json:"known,omitempty"`
	Root       uint64   `json:"root,omitempty"`
	RootWork   int64    `json:"rootWork,omitempty"`
}

// rootAt tells that a server was given a prompt with a root.
type rootAt struct {
	Key
	server string
}

// Use is one call that went to a prompt's place and waited so many milliseconds for its first piece. What that showed, and when it came,
// is told in Used.Results.
type Use struct {
	Key
	Server string        `json:"server"`
	Took   int64         `json:"took"`
	Shown  Shown         `json:"-"`
	At     time.Duration `json:"-"`
}

// Used is what a node at Address sent since it last told. Results has two messages for each use; older nodes don't tell them.
type Used struct {
	Address string `json:"address"`
	Uses    []Use  `json:"uses"`
	Results string `json:"results,omitempty"`
}

// Moved are places that are others than their asker believes; one without a server is to be asked for anew.
type Moved struct {
	Places []Place `json:"places"`
}

const (
	mostPlaces  = 1 << 16
	mostServers = 1 << 14
	// capacityFactor is how many times its part of the work a server may have and still get a new prompt.
	capacityFactor = 1.25
	// MostUses bounds what a node tells at once.
	MostUses = 256
	// MostCandidates bounds what an asker offers.
	MostCandidates = 16
)

// Owner keeps the index. It may be lost at any time: nodes tell a successor what they know with what they use.
type Owner struct {
	halfLife time.Duration
	rest     time.Duration
	places   *lru.LRU[Key, entry]
	loads    *lru.LRU[string, load]
	roots    *lru.LRU[rootAt, struct{}]
	checks   *lru.LRU[string, *checks]
	pending  []pending
	replication
}

// entry is a place; a confirmed one was given out by this owner or used by a node, others are hearsay that the first use decides. Read is
// when the first call that was told had read the prompt there, used the last, missed when it was last found not to be kept. A leaving
// one stands until it is asked for with other candidates.
type entry struct {
	server             string
	moved              time.Duration
	confirmed, leaving bool
	read, used, missed time.Duration
}

// told is the server that others are told: none for a leaving place.
func (place entry) told() string {
	if place.leaving {
		return ""
	}
	return place.server
}

// load is the work given to a server, forgotten by half in a half-life. Until busy it reads the prompts that were placed there.
type load struct {
	work float64
	at   time.Duration
	lost time.Duration
	busy time.Duration
}

// New makes an owner that forgets half of a server's work in halfLife; a place rests that long when it has moved, and a server is
// believed lost for as long.
func New(halfLife, rest time.Duration) *Owner {
	return &Owner{halfLife: halfLife, rest: rest, places: bounded[Key, entry](mostPlaces), loads: bounded[string, load](mostServers),
		roots:       bounded[rootAt, struct{}](mostPlaces),
		checks:      bounded[string, *checks](mostServers),
		replication: replication{changed: bounded[Key, struct{}](MostSaved)}}
}

func bounded[Name comparable, Value any](most int) *lru.LRU[Name, Value] {
	made, failure := lru.NewLRU[Name, Value](most, nil)
	if failure != nil {
		panic(failure)
	}
	return made
}

// Len is the number of places that are kept.
func (owner *Owner) Len() int { return owner.places.Len() }

func (owner *Owner) work(now time.Duration, server string) float64 {
	known, there := owner.loads.Peek(server)
	if !there {
		return 0
	}
	return known.work * math.Exp2(-float64(now-known.at)/float64(owner.halfLife))
}

func (owner *Owner) add(now time.Duration, server string, work int64) {
	known, _ := owner.loads.Peek(server)
	owner.loads.Add(server, load{owner.work(now, server) + float64(work), now, known.lost, known.busy})
}

// reads notes that a server is given a prompt to read, after those that it was given before.
func (owner *Owner) reads(now time.Duration, server string, work int64) {
	owner.add(now, server, work)
	known, _ := owner.loads.Peek(server)
	known.busy = max(now, known.busy) + time.Duration(work)*time.Millisecond
	owner.loads.Add(server, known)
}

// backlog is how long a server is still busy with the prompts that it was given.
func (owner *Owner) backlog(now time.Duration, server string) time.Duration {
	known, _ := owner.loads.Peek(server)
	return max(0, known.busy-now)
}

// lose notes a word that a server is lost; until it has rested, nothing is placed there.
func (owner *Owner) lose(now time.Duration, server string) {
	if server != "" {
		owner.loads.Add(server, load{work: owner.work(now, server), at: now, lost: now + owner.rest})
	}
}

func (owner *Owner) lost(now time.Duration, server string) bool {
	known, there := owner.loads.Peek(server)
	return there && now < known.lost
}

// Place answers an ask: the known place, or a candidate that has little work. A place does not move twice within the rest.
func (owner *Owner) Place(now time.Duration, ask Ask) (Place, bool) {
	if ask.Known {
		return owner.known(now, ask)
	}
	owner.lose(now, ask.Lost)
	known, there := owner.places.Get(ask.Key)
	if there && known.server != ask.Lost && !known.leaving {
		return Place{Key: ask.Key, Server: known.server}, true
	}
	if there && now < known.moved+owner.rest || len(ask.Candidates) > MostCandidates {
		return Place{}, false
	}
	candidates := slices.DeleteFunc(slices.Clone(ask.Candidates), func(name string) bool {
		return owner.lost(now, name) || known.leaving && name == known.server
	})
	if len(candidates) == 0 {
		if !known.leaving || known.server == ask.Lost {
			return Place{}, false
		}
		known.leaving, known.missed, known.moved = false, 0, now
		owner.put(ask.Key, known)
		return Place{Key: ask.Key, Server: known.server}, true
	}
	chosen := owner.choose(now, candidates, ask)
	owner.put(ask.Key, entry{server: chosen, moved: now, confirmed: true})
	owner.reads(now, chosen, owner.unread(ask, chosen))
	if ask.Root != 0 {
		owner.roots.Add(ask.rootAt(chosen), struct{}{})
	}
	return Place{Key: ask.Key, Server: chosen}, true
}

// known answers an ask from what is known, for a node that has a replica nearer than the owner.
func (owner *Owner) known(now time.Duration, ask Ask) (Place, bool) {
	known, there := owner.places.Peek(ask.Key)
	if !there || known.leaving || known.server == ask.Lost || owner.lost(now, known.server) {
		return Place{}, false
	}
	owner.places.Get(ask.Key)
	return Place{Key: ask.Key, Server: known.server}, true
}

func (ask Ask) rootAt(server string) rootAt {
	return rootAt{Key{Scope: ask.Scope, Anchor: ask.Root}, server}
}

// unread is the work of reading a prompt at a server: the root need not be read again where a prompt with it was placed.
func (owner *Owner) unread(ask Ask, server string) int64 {
	if ask.Root != 0 && owner.roots.Contains(ask.rootAt(server)) {
		return max(0, ask.Work-ask.RootWork)
	}
	return max(0, ask.Work)
}

// choose gives the candidate that has read the prompt first, of those that have not much more than their part of the work, or else of all;
// among equal ones the first in their own order. A server that misses what it should keep has a smaller part. An idle first choice is
// mostly taken, so an index that is lost is mostly found again (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads").
func (owner *Owner) choose(now time.Duration, candidates []string, ask Ask) string {
	sum, parts := float64(max(0, ask.Work)), 0.0
	for _, name := range candidates {
		sum += owner.work(now, name)
		parts += owner.part(name)
	}
	fair := slices.DeleteFunc(slices.Clone(candidates), func(name string) bool {
		return owner.work(now, name)+float64(owner.unread(ask, name)) > capacityFactor*sum*owner.part(name)/parts
	})
	done := func(name string) float64 {
		unread := owner.unread(ask, name)
		return (float64(owner.backlog(now, name).Milliseconds()) + float64(unread)) / owner.part(name)
	}
	full := func(name string) float64 {
		return (owner.work(now, name) + float64(owner.unread(ask, name))) / owner.part(name)
	}
	if len(fair) == 0 {
		least := slices.MinFunc(candidates, func(left, right string) int { return cmp.Compare(full(left), full(right)) })
		if owner.backlog(now, least) == 0 {
			return least
		}
		fair = candidates
	}
	return slices.MinFunc(fair, func(left, right string) int { return cmp.Compare(done(left), done(right)) })
}

// put keeps a place that is new here or moved, to be told and saved.
func (owner *Owner) put(key Key, place entry) {
	owner.places.Add(key, place)
	owner.changed.Add(key, struct{}{})
	owner.dirty = true
}

// Handle takes what nodes used and what other control nodes tell.
func (owner *Owner) Handle(now time.Duration, event contract.Event) []contract.Command {
	switch event := event.(type) {
	case Persisted:
		return owner.persisted(event)
	case contract.Message:
		switch event.Kind {
		case MessageUsed:
			return owner.used(now, event)
		case MessageTold:
			return owner.told(now, event)
		}
	}
	return nil
}

var broken = []contract.Command{contract.AddCounter{Name: "messages_broken", Delta: 1}}

// used confirms places; one that is not known or only hearsay is taken from the node, one that is another is put right there.
func (owner *Owner) used(now time.Duration, message contract.Message) []contract.Command {
	var used Used
	if json.Unmarshal(message.Body, &used) != nil {
		return broken
	}
	moved, kept := Moved{}, int64(0)
	for number, use := range used.Uses[:min(len(used.Uses), MostUses)] {
		if use.Server == "" {
			continue
		}
		use.Shown, use.At = used.result(now, owner.rest, number)
		owner.add(now, use.Server, max(0, use.Took))
		known, there := owner.places.Get(use.Key)
		switch {
		case !there || !known.confirmed && known.server != use.Server:
			owner.put(use.Key, owner.noted(now, entry{server: use.Server, moved: now, confirmed: true}, use))
		case known.server == use.Server:
			known.confirmed = true
			owner.places.Add(use.Key, owner.noted(now, known, use))
		}
		if there && known.told() != use.Server && known.confirmed {
			moved.Places = append(moved.Places, Place{Key: use.Key, Server: known.told()})
		}
		if use.Shown == Kept {
			kept++
		}
	}
	commands := []contract.Command{}
	if kept > 0 {
		commands = append(commands, contract.AddCounter{Name: "index_checked", Delta: kept})
	}
	if len(moved.Places) > 0 {
		commands = append(commands, contract.Send{To: used.Address, Kind: MessageMoved, Body: moved})
	}
	return commands
}
