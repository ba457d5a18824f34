// Package chain keeps the manifests on the core machines: written at the head, answered at the tail, mended by an agreed view.
package chain

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
)

const (
	LetterPass        = "chain-pass"
	LetterDone        = "chain-done"
	LetterFetch       = "chain-fetch"
	LetterHistory     = "chain-history"
	LetterNews        = "view-news"
	LetterPrepare     = "view-prepare"
	LetterPromise     = "view-promise"
	LetterAccept      = "view-accept"
	LetterAccepted    = "view-accepted"
	LetterCheck       = "view-check"
	LetterChecked     = "view-checked"
	LetterFoundAsk    = "found-ask"
	LetterFoundTell   = "found-tell"
	LetterFoundAccept = "found-accept"
	LetterFounded     = "found-accepted"
	LetterFoundBegin  = "found-begin"
	batchSize         = 32
)

type Persist struct {
	Token    int64
	Versions []contract.Version
	View     *contract.View
	Drop     []contract.Place
	// Committed marks the newest version that is known to be acknowledged; it is a hint for a start, never a vote.
	Committed *contract.Place
}

type Persisted struct {
	Token  int64
	Mishap string
}

// Shelf is what a core machine found in its folder when it started; it is a hint, never a vote.
type Shelf struct {
	Versions []contract.Version
	View     contract.View
	Mishaps  []string
	// Committed is the mark of the newest version that this folder knows to be acknowledged.
	Committed contract.Place
}

// Newest gives the marked version, if the folder still has it.
func (shelf Shelf) Newest() (contract.Version, bool) {
	for _, version := range shelf.Versions {
		if version.Place == shelf.Committed && version.Place.Revision > 0 {
			return version, true
		}
	}
	return contract.Version{}, false
}

// Committed tells that every member of a chain has synced a version.
type Committed struct{ Version contract.Version }

// Seen is the fleet as the neighbours tell it, taken with each tick.
type Seen struct {
	Members []contract.Member
	Held    contract.Version
	View    contract.View
}

type job struct {
	versions []contract.Version
	view     *contract.View
	drop     []contract.Place
	mark     *contract.Place
	after    func(now time.Duration)
}

type Owner struct {
	bounds    env.Bounds
	coreSize  int
	self      contract.CoreNode
	random    *rand.Rand
	view      contract.View
	versions  map[int64]contract.Version
	top       int64
	committed int64
	assigned  int64
	shelf     map[int64]contract.Version

	promised Ballot
	accepted *Proposal
	sealed   bool
	settled  bool
	campaign *campaign

	foundPromised Ballot
	foundAccepted *Foundation
	founding      *founding
	unfoundable   time.Duration

	fit          bool
	jobs         []job
	writing      *job
	writingSince time.Duration
	token        int64

	needed   time.Duration
	retry    time.Duration
	resend   time.Duration
	scrub    time.Duration
	cursor   int64
	doubts   map[string]time.Duration
	declared map[string]bool
	stuck    time.Duration
	checks   map[int64]*check
	seen     Seen
	started  time.Duration
	begun    bool
	told     bool
	out      []contract.Command
	loop     []contract.Letter
	joins    bool
	founders []string
	marked   contract.Place
}

func New(self contract.CoreNode, coreSize int, bounds env.Bounds, shelf Shelf, random *rand.Rand) *Owner {
	owner := &Owner{bounds: bounds, coreSize: coreSize, self: self, random: random, fit: true, view: shelf.View,
		versions: map[int64]contract.Version{}, shelf: map[int64]contract.Version{}, doubts: map[string]time.Duration{}, declared: map[string]bool{},
		checks: map[int64]*check{}, needed: -1, unfoundable: -1, stuck: -1}
	for _, version := range shelf.Versions {
		former, there := owner.shelf[version.Place.Revision]
		if !there || former.Place.Before(version.Place) {
			owner.shelf[version.Place.Revision] = version
		}
	}
	return owner
}

// Founders names the addresses of the core machines that found a blank fleet; others join the view that these agreed on, until it
// has the size that was asked for.
func (owner *Owner) Founders(addresses []string) { owner.founders = addresses }

// Founds tells whether this core machine may found a blank fleet; one that replaces another, or has lost its disk, only joins.
func (owner *Owner) Founds(may bool) { owner.joins = !may }

func (owner *Owner) View() contract.View { return owner.view }
func (owner *Owner) Fit() bool           { return owner.fit }
func (owner *Owner) Committed() int64    { return owner.committed }
func (owner *Owner) Sealed() bool        { return owner.sealed }

func (owner *Owner) Member() bool {
	_, there := owner.view.Node(owner.self.Identity())
	return there
}

func (owner *Owner) rank() int { return owner.view.Rank(owner.self.Identity()) }

func (owner *Owner) IsHead() bool { return owner.rank() == 0 }

func (owner *Owner) IsTail() bool {
	return len(owner.view.Chain) > 0 && owner.rank() == len(owner.view.Chain)-1
}

func (owner *Owner) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !owner.begun {
		owner.begun, owner.started = true, now
	}
	owner.out = nil
	switch event := event.(type) {
	case Seen:
		if !owner.told && owner.view.Number > 0 {
			owner.told = true
			owner.emit(Viewed{View: owner.view})
		}
		owner.tick(now, event)
	case Persisted:
		owner.persisted(now, event)
	case contract.Letter:
		owner.letter(now, event)
	}
	for len(owner.loop) > 0 {
		letter := owner.loop[0]
		owner.loop = owner.loop[1:]
		owner.letter(now, letter)
	}
	out := owner.out
	owner.out = nil
	return out
}

func (owner *Owner) emit(commands ...contract.Command) { owner.out = append(owner.out, commands...) }

func (owner *Owner) send(node contract.CoreNode, kind string, body any) {
	if node.Identity() != owner.self.Identity() {
		owner.emit(contract.Send{To: node.Address, Kind: kind, Body: body})
		return
	}
	content, mishap := json.Marshal(body)
	if mishap != nil {
		panic(mishap)
	}
	owner.loop = append(owner.loop, contract.Letter{Kind: kind, From: owner.self.Name, Boot: owner.self.Boot, Body: content})
}

func (owner *Owner) letter(now time.Duration, letter contract.Letter) {
	from := letter.From + "#" + letter.Boot
	switch letter.Kind {
	case LetterPass:
		read(owner, letter, func(pass Pass) { owner.pass(now, from, pass) })
	case LetterDone:
		read(owner, letter, func(done Done) { owner.done(now, done) })
	case LetterFetch:
		read(owner, letter, func(fetch Fetch) { owner.fetch(fetch) })
	case LetterHistory:
		read(owner, letter, func(history History) { owner.history(now, history) })
	case LetterNews:
		read(owner, letter, func(view contract.View) { owner.adopt(now, view) })
	case LetterPrepare:
		read(owner, letter, func(prepare Prepare) { owner.prepare(now, prepare) })
	case LetterPromise:
		read(owner, letter, func(promise Promise) { owner.promise(now, from, promise) })
	case LetterAccept:
		read(owner, letter, func(accept Accept) { owner.accept(now, accept) })
	case LetterAccepted:
		read(owner, letter, func(ballot Ballot) { owner.acceptedBy(now, from, ballot) })
	case LetterCheck:
		read(owner, letter, func(ask Check) { owner.check(ask) })
	case LetterChecked:
		read(owner, letter, func(answer Check) { owner.checked(from, answer) })
	case LetterFoundAsk:
		read(owner, letter, func(ask FoundAsk) { owner.foundAsk(ask) })
	case LetterFoundTell:
		read(owner, letter, func(tell FoundTell) { owner.foundTell(now, from, tell) })
	case LetterFoundAccept:
		read(owner, letter, func(foundation Foundation) { owner.foundAccept(now, foundation) })
	case LetterFoundBegin:
		read(owner, letter, func(foundation Foundation) { owner.begin(now, foundation) })
	case LetterFounded:
		read(owner, letter, func(ballot Ballot) { owner.founded(now, from, ballot) })
	}
}

func read[Body any](owner *Owner, letter contract.Letter, then func(Body)) {
	var body Body
	if json.Unmarshal(letter.Body, &body) != nil {
		owner.emit(contract.Count{Name: "letters_broken", By: 1})
		return
	}
	then(body)
}

func (owner *Owner) tick(now time.Duration, seen Seen) {
	owner.seen = seen
	if seen.View.Number > owner.view.Number {
		owner.adopt(now, seen.View)
	}
	owner.watchDisk(now)
	owner.startWrite(now)
	for name, until := range owner.doubts {
		if now > until {
			delete(owner.doubts, name)
		}
	}
	owner.retransmit(now)
	owner.scrubHistory(now)
	owner.expireChecks(now)
	if owner.lostCore() {
		owner.tickFounding(now)
		return
	}
	owner.unfoundable, owner.founding = -1, nil
	owner.tickAgree(now)
}

func (owner *Owner) persist(now time.Duration, work job) {
	owner.jobs = append(owner.jobs, work)
	owner.startWrite(now)
}

// startWrite puts every waiting job into one write, so a storm costs one sync a batch.
func (owner *Owner) startWrite(now time.Duration) {
	if owner.writing != nil || len(owner.jobs) == 0 {
		return
	}
	batch := owner.jobs
	owner.jobs = nil
	merged := job{after: func(now time.Duration) {
		for _, work := range batch {
			if work.after != nil {
				work.after(now)
			}
		}
	}}
	for _, work := range batch {
		merged.versions = append(merged.versions, work.versions...)
		merged.drop = append(merged.drop, work.drop...)
		if work.view != nil {
			merged.view = work.view
		}
		if work.mark != nil {
			merged.mark = work.mark
		}
	}
	owner.token++
	owner.writing, owner.writingSince = &merged, now
	owner.emit(Persist{Token: owner.token, Versions: merged.versions, View: merged.view, Drop: merged.drop, Committed: merged.mark})
}

func (owner *Owner) persisted(now time.Duration, event Persisted) {
	if owner.writing == nil || event.Token != owner.token {
		return
	}
	work := owner.writing
	owner.writing = nil
	if event.Mishap != "" {
		owner.setFit(false, event.Mishap)
		owner.jobs = append([]job{*work}, owner.jobs...)
		owner.emit(contract.Count{Name: "disk_mishaps", By: 1})
		return
	}
	owner.setFit(true, "")
	work.after(now)
	owner.startWrite(now)
}

func (owner *Owner) watchDisk(now time.Duration) {
	if owner.writing != nil && now-owner.writingSince > owner.bounds.Commit()/2 {
		owner.setFit(false, "write stalled")
	}
	if !owner.fit && owner.writing == nil && now-owner.writingSince > owner.bounds.Round() {
		if len(owner.jobs) == 0 {
			owner.jobs = append(owner.jobs, job{view: &owner.view})
		}
		owner.startWrite(now)
	}
}

func (owner *Owner) setFit(fit bool, why string) {
	if owner.fit != fit {
		owner.fit = fit
		owner.emit(contract.Say{What: "disk", Detail: []any{"fit", fit, "why", why}})
	}
}
