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
	MessageReplicate          = "chain-pass"
	MessageCommitNotice       = "chain-done"
	MessageCatchUpRequest     = "chain-fetch"
	MessageCatchUpResponse    = "chain-history"
	MessageNewView            = "view-news"
	MessagePrepare            = "view-prepare"
	MessagePromise            = "view-promise"
	MessageAccept             = "view-accept"
	MessageAccepted           = "view-accepted"
	MessageViewCheck          = "view-check"
	MessageViewCheckReply     = "view-checked"
	MessageBootstrapPrepare   = "found-ask"
	MessageBootstrapPromise   = "found-tell"
	MessageBootstrapAccept    = "found-accept"
	MessageBootstrapAccepted  = "found-accepted"
	MessageBootstrapCommit    = "found-begin"
	MessageResendRequest      = "chain-resume"
	MessageBootstrapVoteQuery = "founded-ask"
	MessageBootstrapVote      = "founded-held"
	MessageHeartbeat          = "chain-heartbeat"
	MessageProbe              = "chain-probe"
	MessageProbeReply         = "chain-probed"
	batchSize                 = 32
	// fetchSize is how many versions answer one Fetch.
	catchUpBatchSize = 256
)

// Persist asks for a write to the data folder. Its parts are synced in this order: dropped versions are removed, then versions, the
// member record, the past operations and the commit mark are written. Persisted answers it once everything is synced.
type Persist struct {
	Token  int64
	Writes []Write
	Member *MemberRecord
	Remove []contract.Position
	// Past are all operations whose versions are no longer kept, if they changed.
	PastOperations *[]contract.PastOperation
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
	Token int64
	Error string
}

// Recovered is what a core member found in its data folder when it started.
type Recovered struct {
	Versions []contract.Version
	// Stored tells how each version lies in the folder.
	Stored []StoredVersion
	// Member is the member's durable state; it has no ID when the folder is empty or its record was damaged.
	Member MemberRecord
	// Past are the committed operations whose versions are no longer kept.
	PastOperations []contract.PastOperation
	// Damaged names the files that were put aside, each with the reason.
	Damaged []string
	// Committed is the newest version that this folder knows to be committed.
	Committed contract.Position
}

// Stored is one version in the data folder. Base is the version that it is written as a change of, and has no revision where it is whole.
type StoredVersion struct {
	Position contract.Position
	Base     contract.Position
	Size     int
}

// Newest gives the newest version known to be committed, if the folder still has it.
func (recovered Recovered) NewestCommitted() (contract.Version, bool) {
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
type Membership struct {
	Members       []contract.Member
	NewestVersion contract.Version
	View          contract.View
}

type Replica struct {
	bounds   env.Bounds
	coreSize int
	self     contract.CoreNode
	startID  string
	random   *rand.Rand
	view     contract.View
	log
	// verified is how far this log is known to be that of the head of this view.
	matched  int64
	salvaged map[int64]contract.Version
	// folder is what the data folder holds.
	stored storedVersions

	promised     Ballot
	accepted     *Proposal
	sealed       bool
	synchronized bool
	campaign     *campaign

	bootstrapPromised Ballot
	bootstrapAccepted *BootstrapProposal
	// foundSynced is the ballot of the first view that this member's folder agrees to; foundHeld are those that said the same since foundAsked.
	bootstrapSynced       Ballot
	bootstrapVotes        map[string]bool
	bootstrapVotesQueried time.Duration

	// contacts are the direct links to the other members; ticked and beaten are the last tick and the last heartbeat.
	peers         map[string]peerState
	lastTick      time.Duration
	lastHeartbeat time.Duration
	probes        probes
	bootstrapping *bootstrapAttempt
	coreLostSince time.Duration

	diskHealthy  bool
	writeQueue   []persistJob
	writing      *persistJob
	writingSince time.Duration
	token        int64

	viewChangeNeededSince time.Duration
	retryAt               time.Duration
	lastResend            time.Duration
	lastResendRequest     time.Duration
	nextCatchUp           time.Duration
	// behind tells that versions are missing here, since behindSince.
	catchingUp     bool
	catchUpStarted time.Duration
	catchUpCursor  int64
	excludedUntil  map[string]time.Duration
	declaredGone   map[string]bool
	stalledSince   time.Duration
	confirmations  map[int64]*pendingConfirmation
	membership     Membership
	startedAt      time.Duration
	initialized    bool
	announced      bool
	commands       []contract.Command
	selfMessages   []contract.Message
	mayBootstrap   bool
	// mayBootstrap is what the folder remembers of the first start.
	recordedMayBootstrap bool
	founders             []string
	markedCommit         contract.Position
}

// New makes the owner of a member. Its identity is that of its data folder, or self's where the folder has none. start names this start
// of the process and differs from that of any other start.
func New(self contract.CoreNode, start string, coreSize int, bounds env.Bounds, recovered Recovered, random *rand.Rand) *Replica {
	owner := &Replica{bounds: bounds, coreSize: coreSize, self: self, startID: start, random: random, diskHealthy: true, mayBootstrap: true,
		log: newLog(bounds.History, bounds.HistoryBytes), stored: newStoredVersions(recovered.Stored), salvaged: map[int64]contract.Version{}, excludedUntil: map[string]time.Duration{},
		declaredGone: map[string]bool{}, confirmations: map[int64]*pendingConfirmation{}, bootstrapVotes: map[string]bool{}, peers: map[string]peerState{}, viewChangeNeededSince: -1, coreLostSince: -1, stalledSince: -1}
	owner.restoreState(recovered)
	return owner
}

// Founders names the addresses of the core machines that found a blank fleet; others join the view that these agreed on, until it
// has the size that was asked for.
func (owner *Replica) SetFounders(addresses []string) { owner.founders = addresses }

// Bootstraps tells whether this start may bootstrap a blank fleet. A member that was allowed to at its first start stays allowed until
// it has a view; one that replaces another, or has lost its disk, only joins.
func (owner *Replica) AllowBootstrap(may bool) {
	owner.mayBootstrap = may || owner.recordedMayBootstrap
}

// Self gives this member with the identity of its data folder.
func (owner *Replica) Self() contract.CoreNode { return owner.self }

func (owner *Replica) View() contract.View { return owner.view }
func (owner *Replica) DiskHealthy() bool   { return owner.diskHealthy }
func (owner *Replica) Committed() int64    { return owner.committed }
func (owner *Replica) Sealed() bool        { return owner.sealed }

func (owner *Replica) IsMember() bool {
	_, there := owner.view.Node(owner.self.Identity())
	return there
}

func (owner *Replica) chainIndex() int { return owner.view.ChainIndex(owner.self.Identity()) }

func (owner *Replica) IsHead() bool { return owner.chainIndex() == 0 }

func (owner *Replica) IsTail() bool {
	return len(owner.view.Chain) > 0 && owner.chainIndex() == len(owner.view.Chain)-1
}

func (owner *Replica) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !owner.initialized {
		owner.initialized, owner.startedAt = true, now
	}
	owner.commands = nil
	switch event := event.(type) {
	case Membership:
		if !owner.announced {
			owner.announceRecovered(now)
		}
		owner.tick(now, event)
	case Persisted:
		owner.handlePersisted(now, event)
	case contract.Message:
		owner.handleMessage(now, event)
	}
	for len(owner.selfMessages) > 0 {
		message := owner.selfMessages[0]
		owner.selfMessages = owner.selfMessages[1:]
		owner.handleMessage(now, message)
	}
	out := owner.commands
	owner.commands = nil
	return out
}

func (owner *Replica) emit(commands ...contract.Command) {
	owner.commands = append(owner.commands, commands...)
}

func (owner *Replica) send(node contract.CoreNode, kind string, body any) {
	if node.Identity() != owner.self.Identity() {
		owner.emit(contract.Send{To: node.Address, Kind: kind, Body: body})
		return
	}
	content, failure := json.Marshal(body)
	if failure != nil {
		panic(failure)
	}
	owner.selfMessages = append(owner.selfMessages, contract.Message{Kind: kind, From: owner.self.Name, Body: content})
}

// sendOthers sends to all nodes but this one.
func (owner *Replica) sendOthers(nodes []contract.CoreNode, kind string, body any) {
	for _, node := range nodes {
		if node.Identity() != owner.self.Identity() {
			owner.send(node, kind, body)
		}
	}
}

func (owner *Replica) handleMessage(now time.Duration, message contract.Message) {
	switch message.Kind {
	case MessageReplicate:
		decodeMessage(owner, message, func(pass Replicate) { owner.handleReplicate(now, pass) })
	case MessageCommitNotice:
		decodeMessage(owner, message, func(done CommitNotice) { owner.handleCommitNotice(now, done) })
	case MessageCatchUpRequest:
		decodeMessage(owner, message, func(fetch CatchUpRequest) { owner.handleCatchUpRequest(fetch) })
	case MessageCatchUpResponse:
		decodeMessage(owner, message, func(history CatchUpResponse) { owner.handleCatchUpResponse(now, history) })
	case MessageNewView:
		decodeMessage(owner, message, func(view contract.View) { owner.installView(now, view) })
	case MessagePrepare:
		decodeMessage(owner, message, func(prepare Prepare) { owner.handlePrepare(now, prepare) })
	case MessagePromise:
		decodeMessage(owner, message, func(promise Promise) { owner.handlePromise(now, promise) })
	case MessageAccept:
		decodeMessage(owner, message, func(accept Accept) { owner.handleAccept(now, accept) })
	case MessageAccepted:
		decodeMessage(owner, message, func(accepted Accepted) { owner.handleAccepted(now, accepted) })
	case MessageViewCheck:
		decodeMessage(owner, message, func(ask ViewCheck) { owner.handleViewCheck(ask) })
	case MessageViewCheckReply:
		decodeMessage(owner, message, func(answer ViewCheck) { owner.handleViewCheckReply(answer) })
	case MessageBootstrapPrepare:
		decodeMessage(owner, message, func(ask BootstrapPrepare) { owner.handleBootstrapPrepare(ask) })
	case MessageBootstrapPromise:
		decodeMessage(owner, message, func(tell BootstrapPromise) { owner.handleBootstrapPromise(now, tell) })
	case MessageBootstrapAccept:
		decodeMessage(owner, message, func(foundation BootstrapProposal) { owner.handleBootstrapAccept(now, foundation) })
	case MessageBootstrapCommit:
		decodeMessage(owner, message, func(foundation BootstrapProposal) { owner.installBootstrap(now, foundation) })
	case MessageBootstrapAccepted:
		decodeMessage(owner, message, func(accepted Accepted) { owner.handleBootstrapAccepted(now, accepted) })
	case MessageBootstrapVoteQuery:
		decodeMessage(owner, message, func(ask BootstrapVoteQuery) { owner.handleBootstrapVoteQuery(ask) })
	case MessageBootstrapVote:
		decodeMessage(owner, message, func(held BootstrapVote) { owner.handleBootstrapVote(now, held) })
	case MessageHeartbeat:
		decodeMessage(owner, message, func(beat Heartbeat) { owner.handleHeartbeat(now, beat) })
	case MessageProbe:
		decodeMessage(owner, message, func(ask Probe) {
			owner.send(ask.Node, MessageProbeReply, ProbeReply{Nonce: ask.Nonce, StartID: ask.StartID, Responder: owner.self})
		})
	case MessageProbeReply:
		decodeMessage(owner, message, owner.handleProbeReply)
	case MessageResendRequest:
		decodeMessage(owner, message, func(resume ResendRequest) { owner.handleResendRequest(resume) })
	}
}

func decodeMessage[Body any](owner *Replica, message contract.Message, then func(Body)) {
	var body Body
	if json.Unmarshal(message.Body, &body) != nil {
		owner.emit(contract.AddCounter{Name: "messages_broken", Delta: 1})
		return
	}
	then(body)
}

func (owner *Replica) tick(now time.Duration, seen Membership) {
	owner.membership = seen
	if seen.View.Number > owner.view.Number {
		owner.installView(now, seen.View)
	}
	owner.tickHeartbeat(now)
	owner.watchDisk(now)
	owner.startWrite(now)
	for name, until := range owner.excludedUntil {
		if now > until {
			delete(owner.excludedUntil, name)
		}
	}
	owner.retransmit(now)
	owner.requestResend(now)
	owner.requestMissing(now)
	owner.expireConfirmations(now)
	if owner.coreLost() {
		owner.tickBootstrap(now)
		return
	}
	owner.coreLostSince, owner.bootstrapping = -1, nil
	owner.tickViewChange(now)
}
