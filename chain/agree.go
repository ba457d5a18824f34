package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Ballot is the number of an attempt to decide the view of a number. Proposer names the member and its start, so that a restarted member
// never reuses a ballot: messages of its earlier proposal may still be in transit.
type Ballot struct {
	Number   int64  `json:"number"`
	Round    int64  `json:"round"`
	Proposer string `json:"proposer"`
}

// Before reports whether the ballot is lower than the other one for the same view number.
func (ballot Ballot) Before(other Ballot) bool {
	if ballot.Round != other.Round {
		return ballot.Round < other.Round
	}
	return ballot.Proposer < other.Proposer
}

// Proposal is the view that the proposer of a ballot asks the core to accept.
type Proposal struct {
	Ballot Ballot        `json:"ballot"`
	View   contract.View `json:"view"`
}

// Prepare opens a ballot (phase 1). It is sent to the core of the view Base and to spares that may join. Suffix is the end of the proposer's
// log and Committed its committed revision, so that a member outside of the chain can catch up and join at the tail.
type Prepare struct {
	Ballot    Ballot            `json:"ballot"`
	Node      contract.CoreNode `json:"node"`
	Base      contract.View     `json:"base"`
	Suffix    []contract.Record `json:"suffix"`
	Committed int64             `json:"known"`
}

// Promise answers a Prepare. With Granted, a member of the core promises to take part in no lower ballot and reports in Accepted the proposal
// that it has accepted before, if any; a spare answers without a vote. RejectedBy is the higher ballot that stands against the prepare.
// LastSynced, Digest and Missing describe the log: its last revision, the hash of that version, and the number of versions it lacks.
type Promise struct {
	Ballot      Ballot            `json:"ballot"`
	Node        contract.CoreNode `json:"node"`
	Granted     bool              `json:"vote"`
	RejectedBy  Ballot            `json:"refused"`
	Accepted    *Proposal         `json:"accepted,omitempty"`
	LastSynced  int64             `json:"top"`
	Digest      string            `json:"digest"`
	Missing     int64             `json:"lacks"`
	DiskHealthy bool              `json:"fit"`
}

// Accept asks the core of the view Base to vote for a proposal (phase 2).
type Accept struct {
	Proposal Proposal          `json:"proposal"`
	Node     contract.CoreNode `json:"node"`
	Base     contract.View     `json:"base"`
}

// Accepted tells the proposer that a member has synced its vote for the proposal of a ballot.
type Accepted struct {
	Ballot Ballot            `json:"ballot"`
	Node   contract.CoreNode `json:"node"`
}

// campaign is an attempt of this member to have the next view decided. proposal is nil during phase 1.
type campaign struct {
	ballot      Ballot
	started     time.Duration
	targetCount int
	promises    map[string]Promise
	proposal    *Proposal
	votes       map[string]bool
}

// joinSuffixSize is the number of versions at the end of the log that a Prepare carries.
const joinSuffixSize = 8

// tickViewChange starts a campaign if a view change has been needed for long enough. Each reachable member with precedence delays this one
// by a round, so that proposers rarely compete.
func (replica *Replica) tickViewChange(now time.Duration) {
	if replica.campaign != nil {
		replica.advanceCampaign(now)
	}
	proposers := replica.view.Proposers()
	index := slices.Index(proposers, replica.self.Identity())
	if index < 0 || !replica.needsViewChange(now) {
		replica.viewChangeNeededSince = -1
		return
	}
	if replica.viewChangeNeededSince < 0 {
		replica.viewChangeNeededSince = now
	}
	proposersAhead := time.Duration(0)
	for _, identity := range proposers[:index] {
		if node, found := replica.view.Node(identity); found && replica.reaches(node) {
			proposersAhead++
		}
	}
	if now-replica.viewChangeNeededSince < replica.bounds.Round()/2*(1+2*proposersAhead) || now < replica.retryAt || replica.campaign != nil {
		return
	}
	replica.startCampaign(now)
}

// needsViewChange reports whether the view should change while a majority of the core is reachable: a member of the chain has failed, a
// member can join the chain, a spare can replace a missing member, or this member was sealed by a campaign that did not finish.
func (replica *Replica) needsViewChange(now time.Duration) bool {
	if replica.sealed && replica.campaign == nil {
		return true
	}
	replica.excludeStalledSuccessor(now)
	reachable, alive := 0, 0
	for _, node := range replica.view.Core {
		if replica.reaches(node) {
			reachable++
		}
		if replica.isAlive(node) {
			alive++
		}
	}
	if reachable < replica.view.Majority() {
		return false
	}
	if head, found := replica.view.Head(); !found || len(replica.view.Chain) == 1 && !replica.reaches(head) {
		return true
	}
	for _, node := range replica.view.Core {
		index, fit := replica.view.ChainIndex(node.Identity()), replica.hasHealthyDisk(node) && replica.reaches(node)
		_, excluded := replica.excludedUntil[node.Identity()]
		if index >= 0 && (!fit || excluded) && reachable > 1 {
			return len(replica.view.Chain) > 1 || fit
		}
		if index < 0 && fit && !excluded && replica.connectedToAll(replica.view.Chain, node.Identity()) {
			return true
		}
	}
	return (alive < len(replica.view.Core) || replica.belowTargetSize()) && len(replica.spares()) > 0
}

// belowTargetSize reports whether the core has fewer members than intended. Spares then join with the next views.
func (replica *Replica) belowTargetSize() bool {
	return len(replica.founders) > 0 && len(replica.view.Core) < replica.coreSize
}

// excludeStalledSuccessor makes the head exclude its successor when versions are not committed and no other cause is visible. A member that
// is silent or has a failing disk is detected within the suspicion time, so the successor is excluded only after that.
func (replica *Replica) excludeStalledSuccessor(now time.Duration) {
	if replica.stalledSince < 0 || now-replica.stalledSince < replica.bounds.SuspicionTimeout()+replica.bounds.Round() || len(replica.view.Chain) < 2 {
		return
	}
	for _, identity := range replica.view.Chain {
		if node, found := replica.view.Node(identity); !found || !replica.reaches(node) {
			return
		}
	}
	replica.excludedUntil[replica.view.Chain[1]] = now + replica.bounds.Return()/2
	replica.stalledSince = -1
}

func (replica *Replica) proposer() string { return replica.self.Identity() + "/" + replica.startID }

func (replica *Replica) startCampaign(now time.Duration) {
	round := replica.promised.Round + 1
	ballot := Ballot{Number: replica.view.Number + 1, Round: round, Proposer: replica.proposer()}
	replica.campaign = &campaign{ballot: ballot, started: now, promises: map[string]Promise{}, votes: map[string]bool{}}
	suffix := []contract.Version{}
	for revision := max(1, replica.lastSynced-joinSuffixSize+1); revision <= replica.lastSynced; revision++ {
		if version, found := replica.versions[revision]; found {
			suffix = append(suffix, version)
		}
	}
	prepare := Prepare{Ballot: ballot, Node: replica.self, Base: replica.view, Suffix: replica.suffixRecords(suffix), Committed: replica.committed}
	targets := append(append([]contract.CoreNode{}, replica.view.Core...), replica.spares()...)
	replica.campaign.targetCount = len(targets)
	for _, node := range targets {
		replica.send(node, MessagePrepare, prepare)
	}
	replica.emit(contract.AddCounter{Name: "view_campaigns", Delta: 1})
}

// suffixRecords returns the longest end of the given versions whose records fit into one message.
func (replica *Replica) suffixRecords(suffix []contract.Version) []contract.Record {
	for ; len(suffix) > 0; suffix = suffix[1:] {
		base := replica.versions[replica.previousRevision(suffix[0].Position.Revision)]
		if records := contract.EncodeRecords(base, suffix, contract.MaxRecordBytes); len(records) == len(suffix) {
			return records
		}
	}
	return nil
}

// handlePrepare seals this member, if it votes, and answers once the promise is synced.
func (replica *Replica) handlePrepare(now time.Duration, prepare Prepare) {
	replica.installView(now, prepare.Base)
	if prepare.Base.Number < replica.view.Number {
		replica.send(prepare.Node, MessageNewView, replica.view)
		return
	}
	_, vote := replica.view.Node(replica.self.Identity())
	reply := Promise{Ballot: prepare.Ballot, Node: replica.self, Granted: vote, DiskHealthy: replica.diskHealthy}
	if vote {
		if prepare.Ballot.Before(replica.promised) {
			reply.Granted, reply.RejectedBy = false, replica.promised
			replica.send(prepare.Node, MessagePromise, reply)
			return
		}
		replica.promised, replica.sealed, reply.Accepted = prepare.Ballot, true, replica.accepted
	}
	viewNumber, suffix := replica.view.Number, replica.joinSuffix(prepare)
	replica.persist(now, persistJob{record: vote, versions: suffix, onSynced: func(now time.Duration) {
		replica.installJoinSuffix(now, viewNumber, suffix, prepare.Committed)
		reply.LastSynced, reply.DiskHealthy = replica.lastSynced, replica.diskHealthy
		reply.Digest = replica.versions[replica.lastSynced].Digest
		reply.Missing, _ = replica.missing()
		replica.send(prepare.Node, MessagePromise, reply)
	}})
}

// joinSuffix returns the end of the proposer's log that a member outside of the chain adds to its own, so that it can join at the tail. The
// logs of one view's chain never disagree, so this does not replace any version.
func (replica *Replica) joinSuffix(prepare Prepare) []contract.Version {
	if replica.isHolder() || len(prepare.Suffix) == 0 || prepare.Suffix[0].Position.Revision > replica.lastSynced+1 {
		return nil
	}
	versions, _ := contract.DecodeRecords(prepare.Suffix, replica.lookup)
	return versions
}

// installJoinSuffix adds synced versions of a proposer's log, unless the view has changed in the meantime.
func (replica *Replica) installJoinSuffix(now time.Duration, viewNumber int64, suffix []contract.Version, committed int64) {
	if replica.view.Number != viewNumber || replica.isHolder() {
		replica.discard(now, suffix)
		return
	}
	for _, version := range suffix {
		replica.install(version)
	}
	if len(suffix) > 0 {
		replica.commitUpTo(min(committed, replica.lastSynced))
	}
}

func (replica *Replica) handlePromise(now time.Duration, promise Promise) {
	campaign := replica.campaign
	if campaign == nil || promise.Ballot != campaign.ballot || campaign.proposal != nil {
		return
	}
	if campaign.ballot.Before(promise.RejectedBy) {
		replica.promised.Round = max(replica.promised.Round, promise.RejectedBy.Round)
		replica.endCampaign(now)
		return
	}
	campaign.promises[promise.Node.Identity()] = promise
	if len(campaign.promises) == campaign.targetCount {
		replica.propose(now)
	}
}

// endCampaign gives up the campaign and waits for a random time before the next one.
func (replica *Replica) endCampaign(now time.Duration) {
	replica.campaign = nil
	replica.retryAt = now + replica.bounds.Round() + time.Duration(replica.random.Int64N(int64(replica.bounds.Round())))
}

// advanceCampaign proposes without the promises that have not arrived in time, and gives up a campaign that takes too long.
func (replica *Replica) advanceCampaign(now time.Duration) {
	age := now - replica.campaign.started
	if replica.campaign.proposal == nil && age > replica.bounds.Round()*2/3 {
		replica.propose(now)
	}
	if replica.campaign != nil && age > replica.bounds.Round()*2 {
		replica.endCampaign(now)
	}
}

// propose starts phase 2 once a majority has promised. It must propose the view accepted in the highest earlier ballot, if there is one,
// since that may have been decided; otherwise it is free to compose a view.
func (replica *Replica) propose(now time.Duration) {
	campaign := replica.campaign
	votes := 0
	var earlier *Proposal
	for _, promise := range campaign.promises {
		if !promise.Granted {
			continue
		}
		votes++
		if promise.Accepted != nil && (earlier == nil || earlier.Ballot.Before(promise.Accepted.Ballot)) {
			earlier = promise.Accepted
		}
	}
	if votes < replica.view.Majority() {
		return
	}
	view, ok := replica.composeView()
	if earlier != nil {
		view, ok = earlier.View, true
	}
	if !ok {
		replica.endCampaign(now)
		return
	}
	campaign.proposal = &Proposal{Ballot: campaign.ballot, View: view}
	for _, node := range replica.view.Core {
		replica.send(node, MessageAccept, Accept{Proposal: *campaign.proposal, Node: replica.self, Base: replica.view})
	}
}

// handleAccept votes for a proposal unless this member promised a higher ballot. The vote is sent once it is synced.
func (replica *Replica) handleAccept(now time.Duration, accept Accept) {
	replica.installView(now, accept.Base)
	if accept.Base.Number != replica.view.Number || !replica.IsMember() || accept.Proposal.Ballot.Before(replica.promised) {
		return
	}
	proposal := accept.Proposal
	replica.promised, replica.sealed, replica.accepted = proposal.Ballot, true, &proposal
	replica.persist(now, persistJob{record: true, onSynced: func(time.Duration) {
		replica.send(accept.Node, MessageAccepted, Accepted{Ballot: proposal.Ballot, Node: replica.self})
	}})
}

// handleAccepted counts a vote. The view is decided once a majority of the core has accepted it.
func (replica *Replica) handleAccepted(now time.Duration, accepted Accepted) {
	campaign := replica.campaign
	if campaign == nil || campaign.proposal == nil || campaign.ballot != accepted.Ballot {
		return
	}
	if _, counts := replica.view.Node(accepted.Node.Identity()); !counts {
		return
	}
	campaign.votes[accepted.Node.Identity()] = true
	if len(campaign.votes) < replica.view.Majority() {
		return
	}
	old, view := replica.view, campaign.proposal.View
	replica.endCampaign(now)
	replica.installView(now, view)
	replica.sendOthers(old.Core, MessageNewView, view)
	replica.sendOthers(view.Core, MessageNewView, view)
}

// installView installs a decided view with a higher number, which ends the promises made in the old view. The record of the view is queued
// ahead of anything that is done in it, and versions that leave the log are removed from the folder before that record is written.
func (replica *Replica) installView(now time.Duration, view contract.View) {
	if view.Number <= replica.view.Number {
		return
	}
	if accepted := replica.bootstrapAccepted; accepted != nil && accepted.View.Number == view.Number && sameCore(accepted.View, view) {
		replica.installBootstrap(now, *accepted)
		return
	}
	replica.view = view
	replica.promised, replica.accepted, replica.sealed, replica.campaign = Ballot{}, nil, false, nil
	replica.viewChangeNeededSince, replica.stalledSince, replica.lastResend = -1, -1, now-replica.bounds.Round()
	replica.dropAbandoned()
	replica.lastAssigned, replica.matched, replica.synchronized = replica.lastSynced, 0, len(view.Chain) == 1 && replica.committed >= replica.lastSynced
	replica.persist(now, persistJob{record: true})
	replica.emit(ViewInstalled{View: view}, contract.Log{Message: "view", Attributes: []any{"number", view.Number, "chain", len(view.Chain)}})
}

// ViewInstalled is the command that tells the rest of the node that a view was decided.
type ViewInstalled struct{ View contract.View }
