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
	MessagePass        = "chain-pass"
	MessageDone        = "chain-done"
	MessageFetch       = "chain-fetch"
	MessageHistory     = "chain-history"
	MessageNews        = "view-news"
	MessagePrepare     = "view-prepare"
	MessagePromise     = "view-promise"
	MessageAccept      = "view-accept"
	MessageAccepted    = "view-accepted"
	MessageCheck       = "view-check"
	MessageChecked     = "view-checked"
	MessageFoundAsk    = "found-ask"
	MessageFoundTell   = "found-tell"
	MessageFoundAccept = "found-accept"
	MessageFounded     = "found-accepted"
	MessageFoundBegin  = "found-begin"
	MessageResume      = "chain-resume"
	MessageFoundedAsk  = "founded-ask"
	MessageFoundedHeld = "founded-held"
	MessageHeartbeat   = "chain-heartbeat"
	MessageProbe       = "chain-probe"
	MessageProbed      = "chain-probed"
	batchSize          = 32
	// fetchSize is how many versions answer one Fetch.
	fetchSize = 256
)

// Persist asks for a write to the data folder. Its parts are synced in this order: dropped versions are removed, then versions, the
// member record, the past operations and the commit mark are written. Persisted answers it once everything is synced.
type Persist struct {
	Token  int64
	Writes []Write
	Member *MemberRecord
	Drop   []contract.Position
	// Past are all operations whose versions are no longer kept, if they changed.
	Past *[]contract.PastOperation
	// Committed is the newest version that is known to be committed.
	Committed *contract.Position
}

// Write is one version that is written to the data folder: as the change of another one that the folder holds, or whole.
type Write struct {
	Version contract.Version
	// Base is the version whose change is written; without a place, the version is written whole.
	Base contract.Version
}

// Record gives what is written.
func (write Write) Record() contract.Record { return write.Version.RecordRelativeTo(write.Base) }

// Persisted ends a Persist; Failure tells why nothing of it may be relied on.
type Persisted struct {
	Token   int64
	Failure string
}

// Recovered is what a core member found in its data folder when it started.
type Recovered struct {
	Versions []contract.Version
	// Stored tells how each version lies in the folder.
	Stored []Stored
	// Member is the member's durable state; it has no ID when the folder is empty or its record was damaged.
	Member MemberRecord
	// Past are the committed operations whose versions are no longer kept.
	Past []contract.PastOperation
	// Damaged names the files that were put aside, each with the reason.
	Damaged []string
	// Committed is the newest version that this folder knows to be committed.
	Committed contract.Position
}

// Stored is one version in the data folder. Base is the version that it is written as a change of, and has no revision where it is whole.
type Stored struct {
	Place contract.Position
	Base  contract.Position
	Size  int
}

// Newest gives the newest version known to be committed, if the folder still has it.
func (recovered Recovered) Newest() (contract.Version, bool) {
	for _, version := range recovered.Versions {
		if version.Position == recovered.Committed && version.Position.Revision > 0 {
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

type Owner struct {
	bounds   env.Bounds
	coreSize int
	self     contract.CoreNode
	start    string
	random   *rand.Rand
	view     contract.View
	log
	// verified is how far this log is known to be that of the head of this view.
	verified int64
	salvaged map[int64]contract.Version
	// folder is what the data folder holds.
	folder folder

	promised Ballot
	accepted *Proposal
	sealed   bool
	settled  bool
	campaign *campaign

	foundPromised Ballot
	foundAccepted *Foundation
	// foundSynced is the ballot of the first view that this member's folder agrees to; foundHeld are those that said the same since foundAsked.
	foundSynced Ballot
	foundHeld   map[string]bool
	foundAsked  time.Duration

	// contacts are the direct links to the other members; ticked and beaten are the last tick and the last heartbeat.
	contacts    map[string]contact
	ticked      time.Duration
	beaten      time.Duration
	probes      probes
	founding    *founding
	unfoundable time.Duration

	fit          bool
	jobs         []job
	writing      *job
	writingSince time.Duration
	token        int64

	needed  time.Duration
	retry   time.Duration
	resend  time.Duration
	resumed time.Duration
	scrub   time.Duration
	// behind tells that versions are missing here, since behindSince.
	behind      bool
	behindSince time.Duration
	cursor      int64
	doubts      map[string]time.Duration
	declared    map[string]bool
	stuck       time.Duration
	checks      map[int64]*check
	seen        Seen
	started     time.Duration
	begun       bool
	presented   bool
	out         []contract.Command
	loop        []contract.Message
	bootstrap   bool
	// mayBootstrap is what the folder remembers of the first start.
	mayBootstrap bool
	founders     []string
	marked       contract.Position
}

// New makes the owner of a member. Its identity is that of its data folder, or self's where the folder has none. start names this start
// of the process and differs from that of any other start.
func New(self contract.CoreNode, start string, coreSize int, bounds env.Bounds, recovered Recovered, random *rand.Rand) *Owner {
	owner := &Owner{bounds: bounds, coreSize: coreSize, self: self, start: start, random: random, fit: true, bootstrap: true,
		log: newLog(bounds.History, bounds.HistoryBytes), folder: newFolder(recovered.Stored), salvaged: map[int64]contract.Version{}, doubts: map[string]time.Duration{},
		declared: map[string]bool{}, checks: map[int64]*check{}, foundHeld: map[string]bool{}, contacts: map[string]contact{}, needed: -1, unfoundable: -1, stuck: -1}
	owner.recover(recovered)
	return owner
}

// Founders names the addresses of the core machines that found a blank fleet; others join the view that these agreed on, until it
// has the size that was asked for.
func (owner *Owner) Founders(addresses []string) { owner.founders = addresses }

// Bootstraps tells whether this start may bootstrap a blank fleet. A member that was allowed to at its first start stays allowed until
// it has a view; one that replaces another, or has lost its disk, only joins.
func (owner *Owner) Bootstraps(may bool) {
	owner.bootstrap = may || owner.mayBootstrap
}

// Self gives this member with the identity of its data folder.
func (owner *Owner) Self() contract.CoreNode { return owner.self }

func (owner *Owner) View() contract.View { return owner.view }
func (owner *Owner) Fit() bool           { return owner.fit }
func (owner *Owner) Committed() int64    { return owner.committed }
func (owner *Owner) Sealed() bool        { return owner.sealed }

func (owner *Owner) Member() bool {
	_, there := owner.view.Node(owner.self.Identity())
	return there
}

func (owner *Owner) rank() int { return owner.view.ChainIndex(owner.self.Identity()) }

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
		if !owner.presented {
			owner.present(now)
		}
		owner.tick(now, event)
	case Persisted:
		owner.persisted(now, event)
	case contract.Message:
		owner.message(now, event)
	}
	for len(owner.loop) > 0 {
		message := owner.loop[0]
		owner.loop = owner.loop[1:]
		owner.message(now, message)
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
	content, failure := json.Marshal(body)
	if failure != nil {
		panic(failure)
	}
	owner.loop = append(owner.loop, contract.Message{Kind: kind, From: owner.self.Name, Body: content})
}

// sendOthers sends to all nodes but this one.
func (owner *Owner) sendOthers(nodes []contract.CoreNode, kind string, body any) {
	for _, node := range nodes {
		if node.Identity() != owner.self.Identity() {
			owner.send(node, kind, body)
		}
	}
}

func (owner *Owner) message(now time.Duration, message contract.Message) {
	switch message.Kind {
	case MessagePass:
		read(owner, message, func(pass Pass) { owner.pass(now, pass) })
	case MessageDone:
		read(owner, message, func(done Done) { owner.done(now, done) })
	case MessageFetch:
		read(owner, message, func(fetch Fetch) { owner.fetch(fetch) })
	case MessageHistory:
		read(owner, message, func(history History) { owner.history(now, history) })
	case MessageNews:
		read(owner, message, func(view contract.View) { owner.adopt(now, view) })
	case MessagePrepare:
		read(owner, message, func(prepare Prepare) { owner.prepare(now, prepare) })
	case MessagePromise:
		read(owner, message, func(promise Promise) { owner.promise(now, promise) })
	case MessageAccept:
		read(owner, message, func(accept Accept) { owner.accept(now, accept) })
	case MessageAccepted:
		read(owner, message, func(accepted Accepted) { owner.acceptedBy(now, accepted) })
	case MessageCheck:
		read(owner, message, func(ask Check) { owner.check(ask) })
	case MessageChecked:
		read(owner, message, func(answer Check) { owner.checked(answer) })
	case MessageFoundAsk:
		read(owner, message, func(ask FoundAsk) { owner.foundAsk(ask) })
	case MessageFoundTell:
		read(owner, message, func(tell FoundTell) { owner.foundTell(now, tell) })
	case MessageFoundAccept:
		read(owner, message, func(foundation Foundation) { owner.foundAccept(now, foundation) })
	case MessageFoundBegin:
		read(owner, message, func(foundation Foundation) { owner.begin(now, foundation) })
	case MessageFounded:
		read(owner, message, func(accepted Accepted) { owner.founded(now, accepted) })
	case MessageFoundedAsk:
		read(owner, message, func(ask FoundedAsk) { owner.foundedAsk(ask) })
	case MessageFoundedHeld:
		read(owner, message, func(held FoundedHeld) { owner.foundedHeld(now, held) })
	case MessageHeartbeat:
		read(owner, message, func(beat Heartbeat) { owner.heartbeat(now, beat) })
	case MessageProbe:
		read(owner, message, func(ask Probe) {
			owner.send(ask.Node, MessageProbed, Probed{Nonce: ask.Nonce, Start: ask.Start, By: owner.self})
		})
	case MessageProbed:
		read(owner, message, owner.probed)
	case MessageResume:
		read(owner, message, func(resume Resume) { owner.resume(resume) })
	}
}

func read[Body any](owner *Owner, message contract.Message, then func(Body)) {
	var body Body
	if json.Unmarshal(message.Body, &body) != nil {
		owner.emit(contract.AddCounter{Name: "messages_broken", Delta: 1})
		return
	}
	then(body)
}

func (owner *Owner) tick(now time.Duration, seen Seen) {
	owner.seen = seen
	if seen.View.Number > owner.view.Number {
		owner.adopt(now, seen.View)
	}
	owner.tickHeartbeat(now)
	owner.watchDisk(now)
	owner.startWrite(now)
	for name, until := range owner.doubts {
		if now > until {
			delete(owner.doubts, name)
		}
	}
	owner.retransmit(now)
	owner.askResume(now)
	owner.scrubHistory(now)
	owner.expireChecks(now)
	if owner.lostCore() {
		owner.tickFounding(now)
		return
	}
	owner.unfoundable, owner.founding = -1, nil
	owner.tickAgree(now)
}
