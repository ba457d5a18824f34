package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Ballot is one try to decide the view of a number. Proposer names the member and its start, so that a member which restarts never uses
// a ballot again: what it proposed before may still be under way.
type Ballot struct {
	Number   int64  `json:"number"`
	Round    int64  `json:"round"`
	Proposer string `json:"proposer"`
}

func (ballot Ballot) Before(other Ballot) bool {
	if ballot.Round != other.Round {
		return ballot.Round < other.Round
	}
	return ballot.Proposer < other.Proposer
}

type Proposal struct {
	Ballot Ballot        `json:"ballot"`
	View   contract.View `json:"view"`
}

type Prepare struct {
	Ballot    Ballot            `json:"ballot"`
	Node      contract.CoreNode `json:"node"`
	Base      contract.View     `json:"base"`
	Suffix    []contract.Record `json:"suffix"`
	Committed int64             `json:"known"`
}

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

type Accept struct {
	Proposal Proposal          `json:"proposal"`
	Node     contract.CoreNode `json:"node"`
	Base     contract.View     `json:"base"`
}

// Accepted tells that a member has synced its vote for a proposal.
type Accepted struct {
	Ballot Ballot            `json:"ballot"`
	Node   contract.CoreNode `json:"node"`
}

type campaign struct {
	ballot      Ballot
	started     time.Duration
	targetCount int
	promises    map[string]Promise
	proposal    *Proposal
	votes       map[string]bool
}

const joinSuffixSize = 8

func (owner *Replica) tickViewChange(now time.Duration) {
	if owner.campaign != nil {
		owner.advanceCampaign(now)
	}
	takers := owner.view.Proposers()
	place := slices.Index(takers, owner.self.Identity())
	if place < 0 || !owner.needsViewChange(now) {
		owner.viewChangeNeededSince = -1
		return
	}
	if owner.viewChangeNeededSince < 0 {
		owner.viewChangeNeededSince = now
	}
	turn := time.Duration(0)
	for _, identity := range takers[:place] {
		if node, there := owner.view.Node(identity); there && owner.reaches(node) {
			turn++
		}
	}
	if now-owner.viewChangeNeededSince < owner.bounds.Round()/2*(1+2*turn) || now < owner.retryAt || owner.campaign != nil {
		return
	}
	owner.startCampaign(now)
}

func (owner *Replica) needsViewChange(now time.Duration) bool {
	if owner.sealed && owner.campaign == nil {
		return true
	}
	owner.excludeStalledSuccessor(now)
	living, present := 0, 0
	for _, node := range owner.view.Core {
		if owner.reaches(node) {
			living++
		}
		if owner.isAlive(node) {
			present++
		}
	}
	if living < owner.view.Majority() {
		return false
	}
	if head, there := owner.view.Head(); !there || len(owner.view.Chain) == 1 && !owner.reaches(head) {
		return true
	}
	for _, node := range owner.view.Core {
		rank, fit := owner.view.ChainIndex(node.Identity()), owner.hasHealthyDisk(node) && owner.reaches(node)
		_, doubted := owner.excludedUntil[node.Identity()]
		if rank >= 0 && (!fit || doubted) && living > 1 {
			return len(owner.view.Chain) > 1 || fit
		}
		if rank < 0 && fit && !doubted && owner.connectedToAll(owner.view.Chain, node.Identity()) {
			return true
		}
	}
	return (present < len(owner.view.Core) || owner.belowTargetSize()) && len(owner.spares()) > 0
}

// small holds while the core has fewer machines than it should: those that stand by then join one view after the other.
func (owner *Replica) belowTargetSize() bool {
	return len(owner.founders) > 0 && len(owner.view.Core) < owner.coreSize
}

// doubtSuccessor has the head leave its successor out when versions are held up and no other reason shows. A member that is silent or has a
// disk in trouble shows by itself within a suspicion; until then the successor is not to blame.
func (owner *Replica) excludeStalledSuccessor(now time.Duration) {
	if owner.stalledSince < 0 || now-owner.stalledSince < owner.bounds.SuspicionTimeout()+owner.bounds.Round() || len(owner.view.Chain) < 2 {
		return
	}
	for _, identity := range owner.view.Chain {
		if node, there := owner.view.Node(identity); !there || !owner.reaches(node) {
			return
		}
	}
	owner.excludedUntil[owner.view.Chain[1]] = now + owner.bounds.Return()/2
	owner.stalledSince = -1
}

func (owner *Replica) proposer() string { return owner.self.Identity() + "/" + owner.startID }

func (owner *Replica) startCampaign(now time.Duration) {
	round := owner.promised.Round + 1
	ballot := Ballot{Number: owner.view.Number + 1, Round: round, Proposer: owner.proposer()}
	owner.campaign = &campaign{ballot: ballot, started: now, promises: map[string]Promise{}, votes: map[string]bool{}}
	suffix := []contract.Version{}
	for revision := max(1, owner.lastSynced-joinSuffixSize+1); revision <= owner.lastSynced; revision++ {
		if version, there := owner.versions[revision]; there {
			suffix = append(suffix, version)
		}
	}
	prepare := Prepare{Ballot: ballot, Node: owner.self, Base: owner.view, Suffix: owner.suffixRecords(suffix), Committed: owner.committed}
	targets := append(append([]contract.CoreNode{}, owner.view.Core...), owner.spares()...)
	owner.campaign.targetCount = len(targets)
	for _, node := range targets {
		owner.send(node, MessagePrepare, prepare)
	}
	owner.emit(contract.AddCounter{Name: "view_campaigns", Delta: 1})
}

// suffixRecords gives the end of the log for members outside of the chain, in one message.
func (owner *Replica) suffixRecords(suffix []contract.Version) []contract.Record {
	for ; len(suffix) > 0; suffix = suffix[1:] {
		base := owner.versions[owner.previousRevision(suffix[0].Position.Revision)]
		if records := contract.EncodeRecords(base, suffix, contract.MaxRecordBytes); len(records) == len(suffix) {
			return records
		}
	}
	return nil
}

func (owner *Replica) handlePrepare(now time.Duration, prepare Prepare) {
	owner.installView(now, prepare.Base)
	if prepare.Base.Number < owner.view.Number {
		owner.send(prepare.Node, MessageNewView, owner.view)
		return
	}
	_, vote := owner.view.Node(owner.self.Identity())
	answer := Promise{Ballot: prepare.Ballot, Node: owner.self, Granted: vote, DiskHealthy: owner.diskHealthy}
	if vote {
		if prepare.Ballot.Before(owner.promised) {
			answer.Granted, answer.RejectedBy = false, owner.promised
			owner.send(prepare.Node, MessagePromise, answer)
			return
		}
		owner.promised, owner.sealed, answer.Accepted = prepare.Ballot, true, owner.accepted
	}
	number, suffix := owner.view.Number, owner.joinSuffix(prepare)
	owner.persist(now, persistJob{record: vote, versions: suffix, onSynced: func(now time.Duration) {
		owner.installJoinSuffix(now, number, suffix, prepare.Committed)
		answer.LastSynced, answer.DiskHealthy = owner.lastSynced, owner.diskHealthy
		answer.Digest = owner.versions[owner.lastSynced].Digest
		answer.Missing, _ = owner.missing()
		owner.send(prepare.Node, MessagePromise, answer)
	}})
}

// joinLog gives the end of the proposer's log that a member outside of the chain takes up, so that it may join at the tail. Within one
// view the logs of its chain never disagree, so nothing has to give way.
func (owner *Replica) joinSuffix(prepare Prepare) []contract.Version {
	if owner.isHolder() || len(prepare.Suffix) == 0 || prepare.Suffix[0].Position.Revision > owner.lastSynced+1 {
		return nil
	}
	versions, _ := contract.DecodeRecords(prepare.Suffix, owner.lookup)
	return versions
}

func (owner *Replica) installJoinSuffix(now time.Duration, number int64, suffix []contract.Version, known int64) {
	if owner.view.Number != number || owner.isHolder() {
		owner.discard(now, suffix)
		return
	}
	for _, version := range suffix {
		owner.install(version)
	}
	if len(suffix) > 0 {
		owner.commitUpTo(min(known, owner.lastSynced))
	}
}

func (owner *Replica) handlePromise(now time.Duration, promise Promise) {
	campaign := owner.campaign
	if campaign == nil || promise.Ballot != campaign.ballot || campaign.proposal != nil {
		return
	}
	if campaign.ballot.Before(promise.RejectedBy) {
		owner.promised.Round = max(owner.promised.Round, promise.RejectedBy.Round)
		owner.endCampaign(now)
		return
	}
	campaign.promises[promise.Node.Identity()] = promise
	if len(campaign.promises) == campaign.targetCount {
		owner.propose(now)
	}
}

func (owner *Replica) endCampaign(now time.Duration) {
	owner.campaign = nil
	owner.retryAt = now + owner.bounds.Round() + time.Duration(owner.random.Int64N(int64(owner.bounds.Round())))
}

func (owner *Replica) advanceCampaign(now time.Duration) {
	age := now - owner.campaign.started
	if owner.campaign.proposal == nil && age > owner.bounds.Round()*2/3 {
		owner.propose(now)
	}
	if owner.campaign != nil && age > owner.bounds.Round()*2 {
		owner.endCampaign(now)
	}
}

func (owner *Replica) propose(now time.Duration) {
	campaign := owner.campaign
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
	if votes < owner.view.Majority() {
		return
	}
	view, fine := owner.composeView()
	if earlier != nil {
		view, fine = earlier.View, true
	}
	if !fine {
		owner.endCampaign(now)
		return
	}
	campaign.proposal = &Proposal{Ballot: campaign.ballot, View: view}
	for _, node := range owner.view.Core {
		owner.send(node, MessageAccept, Accept{Proposal: *campaign.proposal, Node: owner.self, Base: owner.view})
	}
}

func (owner *Replica) handleAccept(now time.Duration, accept Accept) {
	owner.installView(now, accept.Base)
	if accept.Base.Number != owner.view.Number || !owner.IsMember() || accept.Proposal.Ballot.Before(owner.promised) {
		return
	}
	proposal := accept.Proposal
	owner.promised, owner.sealed, owner.accepted = proposal.Ballot, true, &proposal
	owner.persist(now, persistJob{record: true, onSynced: func(time.Duration) {
		owner.send(accept.Node, MessageAccepted, Accepted{Ballot: proposal.Ballot, Node: owner.self})
	}})
}

func (owner *Replica) handleAccepted(now time.Duration, accepted Accepted) {
	campaign := owner.campaign
	if campaign == nil || campaign.proposal == nil || campaign.ballot != accepted.Ballot {
		return
	}
	if _, counts := owner.view.Node(accepted.Node.Identity()); !counts {
		return
	}
	campaign.votes[accepted.Node.Identity()] = true
	if len(campaign.votes) < owner.view.Majority() {
		return
	}
	old, view := owner.view, campaign.proposal.View
	owner.endCampaign(now)
	owner.installView(now, view)
	owner.sendOthers(old.Core, MessageNewView, view)
	owner.sendOthers(view.Core, MessageNewView, view)
}

// adopt takes a committed view; numbers only rise, and the old view's promises end with it. The record of the view is queued ahead of
// anything that is done in it, and what leaves the log is removed from the folder before that record is written.
func (owner *Replica) installView(now time.Duration, view contract.View) {
	if view.Number <= owner.view.Number {
		return
	}
	if accepted := owner.bootstrapAccepted; accepted != nil && accepted.View.Number == view.Number && sameCore(accepted.View, view) {
		owner.installBootstrap(now, *accepted)
		return
	}
	owner.view = view
	owner.promised, owner.accepted, owner.sealed, owner.campaign = Ballot{}, nil, false, nil
	owner.viewChangeNeededSince, owner.stalledSince, owner.lastResend = -1, -1, now-owner.bounds.Round()
	owner.dropAbandoned()
	owner.lastAssigned, owner.matched, owner.synchronized = owner.lastSynced, 0, len(view.Chain) == 1 && owner.committed >= owner.lastSynced
	owner.persist(now, persistJob{record: true})
	owner.emit(ViewInstalled{View: view}, contract.Log{Message: "view", Attributes: []any{"number", view.Number, "chain", len(view.Chain)}})
}

// Viewed tells the rest of the node that a view was committed.
type ViewInstalled struct{ View contract.View }
