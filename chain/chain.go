// Package chain replicates the log of manifest versions on the core machines by chain replication. The head of the chain assigns revisions
// and each member passes versions on to its successor; a version is committed once the tail has synced it. The order and the members of the
// chain are those of a view. When a member fails, the core decides on the next view by a ballot that needs a majority of the current core.
package chain

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
)

// Kinds of messages between members of the core, with the type of their body.
const (
	MessageReplicate          = "chain-pass"      // Replicate, from a member to its successor
	MessageCommitNotice       = "chain-done"      // CommitNotice, from the tail to all members
	MessageCatchUpRequest     = "chain-fetch"     // CatchUpRequest
	MessageCatchUpResponse    = "chain-history"   // CatchUpResponse
	MessageNewView            = "view-news"       // contract.View, a decided view
	MessagePrepare            = "view-prepare"    // Prepare
	MessagePromise            = "view-promise"    // Promise
	MessageAccept             = "view-accept"     // Accept
	MessageAccepted           = "view-accepted"   // Accepted
	MessageViewCheck          = "view-check"      // ViewCheck, the request
	MessageViewCheckReply     = "view-checked"    // ViewCheck, the reply
	MessageBootstrapPrepare   = "found-ask"       // BootstrapPrepare
	MessageBootstrapPromise   = "found-tell"      // BootstrapPromise
	MessageBootstrapAccept    = "found-accept"    // BootstrapProposal, to be accepted
	MessageBootstrapAccepted  = "found-accepted"  // Accepted
	MessageBootstrapCommit    = "found-begin"     // BootstrapProposal, which all peers accepted
	MessageResendRequest      = "chain-resume"    // ResendRequest, from the tail to the head
	MessageBootstrapVoteQuery = "founded-ask"     // BootstrapVoteQuery
	MessageBootstrapVote      = "founded-held"    // BootstrapVote
	MessageHeartbeat          = "chain-heartbeat" // Heartbeat
	MessageProbe              = "chain-probe"     // Probe
	MessageProbeReply         = "chain-probed"    // ProbeReply

	// batchSize is the number of versions that are resent at once. A head with four times as many queued writes accepts no more.
	batchSize = 32
	// catchUpBatchSize is the number of versions in a CatchUpResponse.
	catchUpBatchSize = 256
)

// Persist is the command to update the data folder. Its parts are synced in this order: versions are removed, then versions, the member
// record, the past operations and the committed position are written. Persisted reports the result.
type Persist struct {
	Token  int64
	Writes []Write
	Member *MemberRecord
	Remove []contract.Position
	// PastOperations replaces the stored past operations, unless it is nil.
	PastOperations *[]contract.PastOperation
	// Committed is the position of the newest version known to be committed, or nil if that has not changed.
	Committed *contract.Position
}

// Write is a version that is written to the data folder, as a delta to another version in the folder or in full.
type Write struct {
	Version contract.Version
	// Base is the version that the delta is relative to. The zero version asks for a full record.
	Base contract.Version
}

// Record returns the record that is written.
func (write Write) Record() contract.Record { return write.Version.RecordRelativeTo(write.Base) }

// Persisted is the event that a Persist has ended. Error is empty if everything was synced; otherwise nothing of it may be relied on.
type Persisted struct {
	Token int64
	Error string
}

// Recovered is the content of the data folder when the process started.
type Recovered struct {
	Versions []contract.Version
	// Stored describes how each version is stored in the folder.
	Stored []StoredVersion
	// Member is the durable state of the member. It has no ID if the folder is empty or the record was damaged.
	Member MemberRecord
	// PastOperations are the committed operations whose versions are no longer kept.
	PastOperations []contract.PastOperation
	// Damaged names the files that were set aside because they could not be read, each with the reason.
	Damaged []string
	// Committed is the position of the newest version that the folder records as committed.
	Committed contract.Position
}

// StoredVersion describes a version in the data folder. Base is the position that its delta is relative to, or zero for a full record. Size
// is in bytes.
type StoredVersion struct {
	Position contract.Position
	Base     contract.Position
	Size     int
}

// NewestCommitted returns the newest version known to be committed, if the folder still has it.
func (recovered Recovered) NewestCommitted() (contract.Version, bool) {
	for _, version := range recovered.Versions {
		if version.Position == recovered.Committed && version.Position.Revision > 0 {
			return version, true
		}
	}
	return contract.Version{}, false
}

// Committed is the command that tells the node that a version is committed: every member of a chain has synced it.
type Committed struct{ Version contract.Version }

// Membership is the event of a tick, with the state of the fleet as this node knows it by the membership protocol and the feed.
// NewestVersion and View are the newest that any node is known to hold.
type Membership struct {
	Members       []contract.Member
	NewestVersion contract.Version
	View          contract.View
}

// Replica is the state machine of a member of the core. It takes messages, Membership and Persisted as events.
type Replica struct {
	bounds   env.Bounds
	coreSize int
	self     contract.CoreNode
	// startID identifies this start of the process in ballots and nonces.
	startID string
	random  *rand.Rand
	view    contract.View
	log
	// matched is the revision up to which this log is known to equal the log of this view's head.
	matched int64
	// salvaged are the versions found in a data folder without a member record. They serve only to bootstrap a view.
	salvaged map[int64]contract.Version
	// stored tracks what the data folder holds.
	stored storedVersions

	// promised is the highest ballot that this member promised or accepted for the next view, accepted the proposal that it voted for. sealed
	// is set from the first promise until the next view is installed: a sealed member neither replicates nor confirms reads.
	promised Ballot
	accepted *Proposal
	sealed   bool
	// synchronized tells that the tail has all that its head had when the view began.
	synchronized bool
	campaign     *campaign

	// The same for the ballot that bootstraps a view. bootstrapSynced is the ballot whose proposal this member's folder holds. bootstrapVotes
	// are the members that reported the same accepted proposal since bootstrapVotesQueried.
	bootstrapPromised     Ballot
	bootstrapAccepted     *BootstrapProposal
	bootstrapSynced       Ballot
	bootstrapVotes        map[string]bool
	bootstrapVotesQueried time.Duration

	// peers is the state of the direct links to the other members, by identity.
	peers         map[string]peerState
	lastTick      time.Duration
	lastHeartbeat time.Duration
	probes        probes
	bootstrapping *bootstrapAttempt
	// bootstrapsGivenUp counts attempts of this member that took too long.
	bootstrapsGivenUp int
	coreLostSince     time.Duration // -1 while the core is not lost
	waiting           waitingFor    // as it was logged last

	diskHealthy  bool
	writeQueue   []persistJob
	writing      *persistJob
	writingSince time.Duration
	token        int64 // of the last Persist

	viewChangeNeededSince time.Duration // -1 while no change is needed
	retryAt               time.Duration // no campaign or bootstrap attempt starts before
	lastResend            time.Duration
	lastResendRequest     time.Duration
	nextCatchUp           time.Duration
	// catchingUp tells that versions have been missing since catchUpStarted. catchUpCursor is the revision that was requested last.
	catchingUp     bool
	catchUpStarted time.Duration
	catchUpCursor  int64
	// excludedUntil are members that the next views leave out of the chain until a time. declaredGone are those that an operator declared
	// permanently lost.
	excludedUntil map[string]time.Duration
	declaredGone  map[string]bool
	stalledSince  time.Duration // time since which versions wait to be committed, or -1
	confirmations map[int64]*pendingConfirmation
	membership    Membership
	startedAt     time.Duration
	initialized   bool
	announced     bool
	commands      []contract.Command // output of the current event
	selfMessages  []contract.Message // messages to this member, handled at the end of the event
	mayBootstrap  bool
	// recordedMayBootstrap is mayBootstrap as recorded in the folder by the first start.
	recordedMayBootstrap bool
	// founders are those that were set. recordedFounders are those of the first start, which hold as long as this member has no view.
	founders         []string
	recordedFounders []string
	markedCommit     contract.Position // the committed position last written to the folder
}

// New returns the state machine of a member. The member keeps the identity recorded in its data folder; self supplies one for a new folder.
// start must differ for each start of a process, since ballots are unique only then. coreSize is the intended number of members.
func New(self contract.CoreNode, start string, coreSize int, bounds env.Bounds, recovered Recovered, random *rand.Rand) *Replica {
	replica := &Replica{bounds: bounds, coreSize: coreSize, self: self, startID: start, random: random, diskHealthy: true, mayBootstrap: true,
		log: newLog(bounds.History, bounds.HistoryBytes), stored: newStoredVersions(recovered.Stored), salvaged: map[int64]contract.Version{}, excludedUntil: map[string]time.Duration{},
		declaredGone: map[string]bool{}, confirmations: map[int64]*pendingConfirmation{}, bootstrapVotes: map[string]bool{}, peers: map[string]peerState{}, viewChangeNeededSince: -1, coreLostSince: -1, stalledSince: -1}
	replica.restoreState(recovered)
	return replica
}

// Self returns this member with the identity of its data folder.
func (replica *Replica) Self() contract.CoreNode { return replica.self }

// View returns the installed view. Its number is 0 before the first one.
func (replica *Replica) View() contract.View { return replica.view }

// DiskHealthy reports whether writes to the data folder succeed in time.
func (replica *Replica) DiskHealthy() bool { return replica.diskHealthy }

// Committed returns the newest revision that this member knows to be committed.
func (replica *Replica) Committed() int64 { return replica.committed }

// Sealed reports whether this member has promised to take part in the decision on the next view and so has left the current one.
func (replica *Replica) Sealed() bool { return replica.sealed }

// IsMember reports whether this member belongs to the core of its view.
func (replica *Replica) IsMember() bool {
	_, found := replica.view.Node(replica.self.Identity())
	return found
}

func (replica *Replica) chainIndex() int { return replica.view.ChainIndex(replica.self.Identity()) }

// IsHead reports whether this member is the head of its view's chain.
func (replica *Replica) IsHead() bool { return replica.chainIndex() == 0 }

// IsTail reports whether this member is the tail of its view's chain.
func (replica *Replica) IsTail() bool {
	return len(replica.view.Chain) > 0 && replica.chainIndex() == len(replica.view.Chain)-1
}

// Handle processes an event and returns the commands to carry out. See contract.StateMachine.
func (replica *Replica) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !replica.initialized {
		replica.initialized, replica.startedAt = true, now
	}
	replica.commands = nil
	switch event := event.(type) {
	case Membership:
		if !replica.announced {
			replica.announceRecovered(now)
		}
		replica.tick(now, event)
	case Persisted:
		replica.handlePersisted(now, event)
	case contract.Message:
		replica.handleMessage(now, event)
	}
	for len(replica.selfMessages) > 0 {
		message := replica.selfMessages[0]
		replica.selfMessages = replica.selfMessages[1:]
		replica.handleMessage(now, message)
	}
	out := replica.commands
	replica.commands = nil
	return out
}

func (replica *Replica) emit(commands ...contract.Command) {
	replica.commands = append(replica.commands, commands...)
}

// send sends a message to a member. A message to this member itself is handled at the end of the current event.
func (replica *Replica) send(node contract.CoreNode, kind string, body any) {
	if node.Identity() != replica.self.Identity() {
		replica.emit(contract.Send{To: node.Address, Kind: kind, Body: body})
		return
	}
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	replica.selfMessages = append(replica.selfMessages, contract.Message{Kind: kind, From: replica.self.Name, Body: content})
}

// sendOthers sends a message to all nodes but this one.
func (replica *Replica) sendOthers(nodes []contract.CoreNode, kind string, body any) {
	for _, node := range nodes {
		if node.Identity() != replica.self.Identity() {
			replica.send(node, kind, body)
		}
	}
}

func (replica *Replica) handleMessage(now time.Duration, message contract.Message) {
	switch message.Kind {
	case MessageReplicate:
		decodeMessage(replica, message, func(replicate Replicate) { replica.handleReplicate(now, replicate) })
	case MessageCommitNotice:
		decodeMessage(replica, message, func(notice CommitNotice) { replica.handleCommitNotice(now, notice) })
	case MessageCatchUpRequest:
		decodeMessage(replica, message, func(request CatchUpRequest) { replica.handleCatchUpRequest(request) })
	case MessageCatchUpResponse:
		decodeMessage(replica, message, func(response CatchUpResponse) { replica.handleCatchUpResponse(now, response) })
	case MessageNewView:
		decodeMessage(replica, message, func(view contract.View) { replica.installView(now, view) })
	case MessagePrepare:
		decodeMessage(replica, message, func(prepare Prepare) { replica.handlePrepare(now, prepare) })
	case MessagePromise:
		decodeMessage(replica, message, func(promise Promise) { replica.handlePromise(now, promise) })
	case MessageAccept:
		decodeMessage(replica, message, func(accept Accept) { replica.handleAccept(now, accept) })
	case MessageAccepted:
		decodeMessage(replica, message, func(accepted Accepted) { replica.handleAccepted(now, accepted) })
	case MessageViewCheck:
		decodeMessage(replica, message, func(request ViewCheck) { replica.handleViewCheck(request) })
	case MessageViewCheckReply:
		decodeMessage(replica, message, func(reply ViewCheck) { replica.handleViewCheckReply(reply) })
	case MessageBootstrapPrepare:
		decodeMessage(replica, message, func(request BootstrapPrepare) { replica.handleBootstrapPrepare(now, request) })
	case MessageBootstrapPromise:
		decodeMessage(replica, message, func(promise BootstrapPromise) { replica.handleBootstrapPromise(promise) })
	case MessageBootstrapAccept:
		decodeMessage(replica, message, func(proposal BootstrapProposal) { replica.handleBootstrapAccept(now, proposal) })
	case MessageBootstrapCommit:
		decodeMessage(replica, message, func(proposal BootstrapProposal) { replica.installBootstrap(now, proposal) })
	case MessageBootstrapAccepted:
		decodeMessage(replica, message, func(accepted Accepted) { replica.handleBootstrapAccepted(now, accepted) })
	case MessageBootstrapVoteQuery:
		decodeMessage(replica, message, func(request BootstrapVoteQuery) { replica.handleBootstrapVoteQuery(request) })
	case MessageBootstrapVote:
		decodeMessage(replica, message, func(vote BootstrapVote) { replica.handleBootstrapVote(now, vote) })
	case MessageHeartbeat:
		decodeMessage(replica, message, func(heartbeat Heartbeat) { replica.handleHeartbeat(now, heartbeat) })
	case MessageProbe:
		decodeMessage(replica, message, func(request Probe) {
			replica.send(request.Node, MessageProbeReply, ProbeReply{Nonce: request.Nonce, StartID: request.StartID, Responder: replica.self})
		})
	case MessageProbeReply:
		decodeMessage(replica, message, replica.handleProbeReply)
	case MessageResendRequest:
		decodeMessage(replica, message, func(request ResendRequest) { replica.handleResendRequest(request) })
	}
}

func decodeMessage[Body any](replica *Replica, message contract.Message, handle func(Body)) {
	var body Body
	if json.Unmarshal(message.Body, &body) != nil {
		replica.emit(contract.AddCounter{Name: "messages_broken", Delta: 1})
		return
	}
	handle(body)
}

func (replica *Replica) tick(now time.Duration, membership Membership) {
	replica.membership = membership
	if membership.View.Number > replica.view.Number {
		replica.installView(now, membership.View)
	}
	replica.tickHeartbeat(now)
	replica.watchDisk(now)
	replica.startWrite(now)
	for name, until := range replica.excludedUntil {
		if now > until {
			delete(replica.excludedUntil, name)
		}
	}
	replica.retransmit(now)
	replica.requestResend(now)
	replica.requestMissing(now)
	replica.expireConfirmations(now)
	if replica.coreLost() {
		replica.tickBootstrap(now)
		return
	}
	replica.coreLostSince, replica.bootstrapping = -1, nil
	replica.tickViewChange(now)
}
