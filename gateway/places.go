package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/index"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Place asks the owner of the index, or with Ask.Known a near replica, where the prompt of a call belongs; after Patience it goes on without.
type Place struct {
	Token    int64
	Ask      index.Ask
	Patience time.Duration
}

// Placed answers. Without a server it was refused, or, if Late, nobody answered in time.
type Placed struct {
	Token int64
	Place index.Place
	Late  bool
}

// Relocated brings places that are others than this node believed.
type Relocated struct{ Places []index.Place }

// Indexed tells whether there is an owner of the index to ask, and whether a replica is so much nearer that it is asked first.
type Indexed struct {
	Known bool
	Near  bool
}

const (
	mostPlaces = 1 << 12
	mostAsks   = 2
	// rootCandidates is how many servers the prompts of one root prefer, as a part of those that are offered.
	rootCandidates = index.MaxCandidates / 2
)

// places is what this node knows of the shared index of prompts.
type places struct {
	known     *lru.LRU[index.Key, string]
	uses      []index.Use
	usual     map[string]time.Duration
	owned     bool
	quiet     time.Duration
	near      bool
	nearQuiet time.Duration
}

func newPlaces() places {
	known, failure := lru.NewLRU[index.Key, string](mostPlaces, nil)
	if failure != nil {
		panic(failure)
	}
	return places{known: known, usual: map[string]time.Duration{}}
}

func keyOf(work *job) index.Key {
	return index.Key{Scope: work.service + "\x00" + strings.Join(work.route.AllowedRegions, ","), Anchor: work.Prompt.Anchor()}
}

// place gives the question that a call with a long shared prompt has to ask before it is sent, if any.
func (traffic *Traffic) place(now time.Duration, work *job) (Place, bool) {
	if traffic.read.Gateway.Services[work.service].Engine == nil || work.Prompt.Shared() < anchorTokens {
		return Place{}, false
	}
	if work.key.Scope == "" {
		work.key = keyOf(work)
	}
	name, there := traffic.places.known.Get(work.key)
	if there && !traffic.lost(now, name) {
		work.holder = name
		return Place{}, false
	}
	near := !there && !work.askedNear && traffic.places.near && now >= traffic.places.nearQuiet
	if !near && (work.asks >= mostAsks || !traffic.places.owned || now < traffic.places.quiet) {
		return Place{}, false
	}
	open := traffic.open(now, work, false)
	if len(open) < 2 {
		return Place{}, false
	}
	if near {
		work.near, work.askedNear = true, true
		return Place{Token: work.Token, Ask: index.Ask{Key: work.key, Known: true}, Patience: traffic.terms.Contact / 64}, true
	}
	work.asks++
	ask := index.Ask{Key: work.key, Lost: name, Work: traffic.readTime(work.service, work.Prompt.Input).Milliseconds()}
	if root, tokens := work.Prompt.Root(); root != work.key.Anchor {
		ask.Root, ask.RootWork = root, traffic.readTime(work.service, tokens).Milliseconds()
	}
	for _, server := range traffic.candidates(now, open, work) {
		ask.Candidates = append(ask.Candidates, server.Name)
	}
	return Place{Token: work.Token, Ask: ask, Patience: traffic.terms.Contact / 16}, true
}

// lost tells whether a place is gone for longer than a moment.
func (traffic *Traffic) lost(now time.Duration, name string) bool {
	server, there := traffic.servers[name]
	return !there || !server.listed || server.moved || traffic.read.Drained(server.Zone) || now < server.until && server.failures > 1
}

// candidates gives the servers that may be a prompt's place, those of the own region first: whoever reads a prompt first waits the longest
// anyway and is spared the way. Some of other regions follow, for an owner that knows the own ones to be busier. Within a region the order
// is the same at all nodes.
func (traffic *Traffic) candidates(now time.Duration, open []*server, work *job) []*server {
	ordered := byRoot(traffic.apart(now, open, work), work.Prompt)
	own, others := []*server{}, []*server{}
	for _, server := range ordered {
		if server.region == traffic.settings.Region {
			own = append(own, server)
		} else {
			others = append(others, server)
		}
	}
	away := min(len(others), max(index.MaxCandidates/4, index.MaxCandidates-len(own)))
	return slices.Concat(own[:min(len(own), index.MaxCandidates-away)], others[:away])
}

// byRoot orders servers for a prompt: the first ones are the same for all prompts of its root, which the owner of the index leaves only
// when they have more than their part of the work; the others are in an order of the prompt's own.
func byRoot(servers []*server, prompt engine.Prompt) []*server {
	ordered := slices.Clone(servers)
	root, _ := prompt.Root()
	slices.SortFunc(ordered, rendezvous(root))
	if root != prompt.Anchor() && len(ordered) > rootCandidates {
		slices.SortFunc(ordered[rootCandidates:], rendezvous(prompt.Anchor()))
	}
	return ordered
}

// placed takes an answer. Who did not answer in time is asked nothing for a while; a refusal says something of its own call alone.
func (traffic *Traffic) placed(now time.Duration, event Placed) {
	if event.Place.Server != "" {
		traffic.places.known.Add(event.Place.Key, event.Place.Server)
	}
	work, there := traffic.jobs[event.Token]
	if !there {
		return
	}
	near, quiet := work.near, now+traffic.terms.Contact/4
	work.near = false
	switch {
	case event.Place.Server != "":
	case near && event.Late:
		traffic.places.nearQuiet = quiet
	case event.Late:
		traffic.places.quiet = quiet
	case !near:
		work.asks = mostAsks
	}
}

// Refuses tells whether a control node that answers with a status has no place to give, rather than that nobody answered.
func Refuses(status int) bool { return status/100 == 4 }

// relocated takes places up. One without a server is to be asked for anew, since the cache of its server does not match.
func (traffic *Traffic) relocated(event Relocated) {
	for _, place := range event.Places {
		if place.Server != "" {
			traffic.places.known.Add(place.Key, place.Server)
			continue
		}
		if former, there := traffic.places.known.Get(place.Key); there {
			traffic.places.known.Remove(place.Key)
			if server := traffic.servers[former]; server != nil && server.memory != nil {
				server.memory.Lose(place.Anchor)
			}
		}
	}
}

// use notes what the owner of the index is told.
func (traffic *Traffic) use(now time.Duration, work *job) {
	if work.holder != "" && work.server.Name == work.holder && len(traffic.places.uses) < index.MaxUses {
		traffic.places.uses = append(traffic.places.uses, index.Use{Key: work.key, Server: work.holder, Took: (now - work.at).Milliseconds(),
			Verdict: traffic.shown(now, work), At: now})
	}
}

// Uses gives what was noted since it was last asked for.
func (traffic *Traffic) Uses() []index.Use {
	uses := traffic.places.uses
	traffic.places.uses = nil
	return uses
}
