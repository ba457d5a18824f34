package chain

import (
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// BootstrapPrepare opens a ballot to bootstrap a view, either the first one or the one after the core was lost. In place of a majority, all
// peers must agree.
type BootstrapPrepare struct {
	Ballot Ballot            `json:"ballot"`
	Node   contract.CoreNode `json:"node"`
}

// BootstrapPromise answers a BootstrapPrepare. View is the number of the responder's view and Blank tells that it knows of no data in the
// fleet. Newest is the newest version that it knows, and Accepted the bootstrap proposal that it has accepted before. RejectedBy is the
// ballot that it has promised if it does not grant this one.
type BootstrapPromise struct {
	Ballot     Ballot             `json:"ballot"`
	Node       contract.CoreNode  `json:"node"`
	Granted    bool               `json:"fine"`
	RejectedBy Ballot             `json:"refused"`
	View       int64              `json:"view"`
	Blank      bool               `json:"blank"`
	Newest     *contract.Version  `json:"best,omitempty"`
	Accepted   *BootstrapProposal `json:"accepted,omitempty"`
}

// BootstrapProposal proposes a first view, or a new view after the core was lost. Its log starts at Snapshot, the newest version that any peer
// knows.
type BootstrapProposal struct {
	Ballot   Ballot            `json:"ballot"`
	Node     contract.CoreNode `json:"node"`
	View     contract.View     `json:"view"`
	Snapshot *contract.Version `json:"image,omitempty"`
}

// bootstrapAttempt is an attempt of this member to bootstrap a view. proposal is nil until all peers have promised.
type bootstrapAttempt struct {
	ballot   Ballot
	started  time.Duration
	peers    []contract.CoreNode
	promises map[string]BootstrapPromise
	proposal *BootstrapProposal
	votes    map[string]bool
}

// visibleCore returns the live members that have a data folder, whether or not the view has them.
func (replica *Replica) visibleCore() []contract.CoreNode {
	nodes := []contract.CoreNode{}
	for _, member := range replica.membership.Members {
		if member.Core {
			nodes = append(nodes, member.CoreNode())
		}
	}
	return nodes
}

// coreLost reports whether there is no core whose majority could decide: before the first view, or when so many members can never return
// that the others are no majority. A member can never return once an operator has declared it gone or its machine has come back with
// another data folder. Silence alone does not prove that a member is lost.
func (replica *Replica) coreLost() bool {
	if replica.view.Number == 0 {
		return true
	}
	gone := 0
	for _, node := range replica.view.Core {
		if _, replaced := replica.replacement(node); !replica.isAlive(node) && (replaced || replica.declaredGone[node.Identity()]) {
			gone++
		}
	}
	return len(replica.view.Core)-gone < replica.view.Majority()
}

// replacement returns the new member on the machine of a member, if the machine came back with another data folder.
func (replica *Replica) replacement(node contract.CoreNode) (contract.CoreNode, bool) {
	for _, other := range replica.visibleCore() {
		if other.Name == node.Name && other.ID != node.ID {
			return other, true
		}
	}
	return contract.CoreNode{}, false
}

// DeclareGone records an operator's statement that the member of the given name never returns. It reports false if the view has no such
// member or if it is alive.
func (replica *Replica) DeclareGone(name string) bool {
	for _, node := range replica.view.Core {
		if node.Name == name && !replica.isAlive(node) {
			replica.declaredGone[node.Identity()] = true
			return true
		}
	}
	return false
}

// bootstrapPeers returns the members that all have to agree to a bootstrap, by name. After the core was lost, each machine of the old core
// must be present, as its member or with a replacement, or be declared gone; otherwise there are no peers. Spares fill the places of those
// declared gone.
func (replica *Replica) bootstrapPeers() []contract.CoreNode {
	if replica.view.Number == 0 {
		return replica.founderNodes()
	}
	peers := []contract.CoreNode{}
	for _, node := range replica.view.Core {
		successor, replaced := replica.replacement(node)
		switch {
		case replica.isAlive(node):
			peers = append(peers, node)
		case replaced:
			peers = append(peers, successor)
		case !replica.declaredGone[node.Identity()]:
			return nil
		}
	}
	for _, node := range replica.spares() {
		if len(replica.declaredGone) > 0 && len(peers) < replica.coreSize && !slices.Contains(peers, node) {
			peers = append(peers, node)
		}
	}
	sortByName(peers)
	return peers
}

// founderNodes returns the members that bootstrap a blank fleet: those at the addresses of the founders, or all visible ones if none are set.
func (replica *Replica) founderNodes() []contract.CoreNode {
	nodes := replica.visibleCore()
	if len(replica.founders) > 0 {
		nodes = slices.DeleteFunc(nodes, func(node contract.CoreNode) bool { return !slices.Contains(replica.founders, node.Address) })
	}
	sortByName(nodes)
	return nodes
}

func sortByName(nodes []contract.CoreNode) {
	slices.SortFunc(nodes, func(left, right contract.CoreNode) int { return strings.Compare(left.Name, right.Name) })
}

// isBlankFleet reports whether this member may bootstrap a first view and no node is known to hold a view or a version.
func (replica *Replica) isBlankFleet() bool {
	if !replica.mayBootstrap || replica.view.Number > 0 || replica.membership.NewestVersion.Position.Revision > 0 || len(replica.salvaged) > 0 {
		return false
	}
	for _, member := range replica.membership.Members {
		if member.View > 0 || member.Position.Revision > 0 {
			return false
		}
	}
	return true
}

// founderCount returns the number of members that bootstrap a blank fleet.
func (replica *Replica) founderCount() int {
	if len(replica.founders) > 0 {
		return len(replica.founders)
	}
	return replica.coreSize
}

// tickBootstrap starts a bootstrap attempt if this member is the first of the peers, and gives up one that takes too long.
func (replica *Replica) tickBootstrap(now time.Duration) {
	if replica.coreLostSince < 0 {
		replica.coreLostSince = now
	}
	if replica.bootstrapping != nil {
		replica.advanceBootstrap(now)
		return
	}
	replica.queryBootstrapVotes(now)
	peers := replica.bootstrapPeers()
	replica.logWaiting(peers)
	mayStart := replica.mayRebuild
	if replica.foundsByMajority() {
		mayStart = replica.mayFound
	}
	if now < replica.retryAt || !mayStart(now, peers) {
		return
	}
	ballot := Ballot{Number: replica.view.Number + 1, Round: replica.bootstrapPromised.Round + 1, Proposer: replica.proposer()}
	replica.bootstrapping = &bootstrapAttempt{ballot: ballot, started: now, peers: peers, promises: map[string]BootstrapPromise{}, votes: map[string]bool{}}
	for _, node := range peers {
		replica.send(node, MessageBootstrapPrepare, BootstrapPrepare{Ballot: ballot, Node: replica.self})
	}
	replica.emit(contract.AddCounter{Name: "foundings_tried", Delta: 1})
}

// mayRebuild reports whether this member is the one that starts an attempt to which all peers have to agree.
func (replica *Replica) mayRebuild(now time.Duration, peers []contract.CoreNode) bool {
	if replica.view.Number == 0 && (len(peers) != replica.founderCount() || !replica.isBlankFleet()) {
		return false
	}
	return len(peers) >= 2 && now-replica.coreLostSince >= replica.bounds.Round() && now-replica.startedAt >= replica.bounds.Lease() && peers[0].Identity() == replica.self.Identity()
}

// advanceBootstrap proposes a view once enough peers have promised, and gives up an attempt that takes too long.
func (replica *Replica) advanceBootstrap(now time.Duration) {
	attempt := replica.bootstrapping
	if age := now - attempt.started; age > replica.bootstrapLimit() {
		replica.bootstrapping = nil
		replica.bootstrapsGivenUp++
		replica.retryAt = now + time.Duration(replica.random.Int64N(int64(replica.bounds.Round())))
	} else if attempt.proposal == nil && age > replica.bounds.Round() && len(attempt.promises) >= replica.bootstrapQuorum(attempt) {
		replica.proposeBootstrap()
	}
}

// newestKnown returns the newest version that this member holds or was told of, or nil.
func (replica *Replica) newestKnown() *contract.Version {
	var newest *contract.Version
	take := func(version contract.Version) {
		if version.Position.Revision > 0 && (newest == nil || newest.Position.Before(version.Position)) {
			newest = &version
		}
	}
	take(replica.membership.NewestVersion)
	for _, version := range replica.salvaged {
		take(version)
	}
	for _, version := range replica.versions {
		take(version)
	}
	return newest
}

func (replica *Replica) handleBootstrapPrepare(now time.Duration, request BootstrapPrepare) {
	promise := BootstrapPromise{Ballot: request.Ballot, Node: replica.self, View: replica.view.Number, Blank: replica.isBlankFleet(), Newest: replica.newestKnown(), Accepted: replica.bootstrapAccepted}
	hasNoVote := replica.foundsByMajority() && !promise.Blank
	if hasNoVote || !replica.coreLost() || request.Ballot.Number != replica.view.Number+1 || request.Ballot.Before(replica.bootstrapPromised) {
		promise.RejectedBy = replica.bootstrapPromised
		replica.send(request.Node, MessageBootstrapPromise, promise)
		return
	}
	replica.bootstrapPromised, replica.sealed, promise.Granted = request.Ballot, replica.view.Number > 0, replica.diskHealthy
	if !replica.foundsByMajority() {
		replica.send(request.Node, MessageBootstrapPromise, promise)
		return
	}
	replica.persist(now, persistJob{record: true, onSynced: func(time.Duration) { replica.send(request.Node, MessageBootstrapPromise, promise) }})
}

// handleBootstrapPromise collects promises, and proposes a view once all peers have promised.
func (replica *Replica) handleBootstrapPromise(promise BootstrapPromise) {
	attempt := replica.bootstrapping
	if attempt == nil || attempt.ballot != promise.Ballot || attempt.proposal != nil {
		return
	}
	if !promise.Granted {
		replica.bootstrapPromised.Round = max(replica.bootstrapPromised.Round, promise.RejectedBy.Round)
		return
	}
	if !slices.Contains(attempt.peers, promise.Node) {
		return
	}
	attempt.promises[promise.Node.Identity()] = promise
	if len(attempt.promises) == len(attempt.peers) {
		replica.proposeBootstrap()
	}
}

// proposeBootstrap proposes a view of the peers that have promised, with the newest snapshot, or the view that peers have accepted before.
func (replica *Replica) proposeBootstrap() {
	attempt := replica.bootstrapping
	proposal := BootstrapProposal{Ballot: attempt.ballot, Node: replica.self, View: contract.View{Number: attempt.ballot.Number}}
	if replica.view.Number > 0 {
		proposal.View.Number += rebuiltViewGap
	}
	for _, node := range attempt.peers {
		promise, promised := attempt.promises[node.Identity()]
		if !promised {
			continue
		}
		if replica.view.Number == 0 && !promise.Blank {
			return
		}
		if promise.Newest != nil && (proposal.Snapshot == nil || proposal.Snapshot.Position.Before(promise.Newest.Position)) {
			proposal.Snapshot = promise.Newest
		}
		proposal.View.Core = append(proposal.View.Core, node)
		proposal.View.Chain = append(proposal.View.Chain, node.Identity())
	}
	proposal.View.Holders = proposal.View.Chain
	replica.keepAbsentMembers(attempt, &proposal)
	if accepted := replica.proposalToRepeat(attempt, proposal); accepted != nil {
		proposal.View, proposal.Snapshot = accepted.View, accepted.Snapshot
	}
	attempt.proposal = &proposal
	for _, node := range attempt.peers {
		replica.send(node, MessageBootstrapAccept, proposal)
	}
}

// keepAbsentMembers adds members of the old core that are not among the peers, up to the intended size.
func (replica *Replica) keepAbsentMembers(attempt *bootstrapAttempt, proposal *BootstrapProposal) {
	for _, node := range replica.view.Core {
		alive := len(proposal.View.Core) >= replica.coreSize
		for _, peer := range attempt.peers {
			alive = alive || peer.Name == node.Name
		}
		if !alive {
			proposal.View.Core = append(proposal.View.Core, node)
		}
	}
}

// rebuiltViewGap is added to the number of a view that replaces a lost core, so that it exceeds those that the lost core may have decided.
const rebuiltViewGap = 1 << 10

func sameCore(left, right contract.View) bool {
	if len(left.Core) != len(right.Core) {
		return false
	}
	for index := range left.Core {
		if left.Core[index] != right.Core[index] {
			return false
		}
	}
	return true
}

// handleBootstrapAccept accepts a proposal and tells the proposer once the proposal and its snapshot are synced.
func (replica *Replica) handleBootstrapAccept(now time.Duration, proposal BootstrapProposal) {
	if !replica.coreLost() || proposal.Ballot.Number != replica.view.Number+1 || proposal.Ballot.Before(replica.bootstrapPromised) || replica.foundsByMajority() && !replica.mayBootstrap {
		return
	}
	replica.bootstrapPromised, replica.bootstrapAccepted, replica.bootstrapVotes = proposal.Ballot, &proposal, map[string]bool{}
	job := persistJob{record: true}
	if proposal.Snapshot != nil {
		job.versions = []contract.Version{*proposal.Snapshot}
	}
	job.onSynced = func(now time.Duration) {
		replica.bootstrapSynced = proposal.Ballot
		replica.send(proposal.Node, MessageBootstrapAccepted, Accepted{Ballot: proposal.Ballot, Node: replica.self})
	}
	replica.persist(now, job)
}

// handleBootstrapAccepted counts votes. The view is decided once all who have to agree have accepted it.
func (replica *Replica) handleBootstrapAccepted(now time.Duration, accepted Accepted) {
	attempt := replica.bootstrapping
	if attempt == nil || attempt.proposal == nil || attempt.ballot != accepted.Ballot {
		return
	}
	attempt.votes[accepted.Node.Identity()] = true
	if len(attempt.votes) < replica.bootstrapQuorum(attempt) {
		return
	}
	peers, proposal := attempt.peers, *attempt.proposal
	replica.bootstrapping = nil
	replica.installBootstrap(now, proposal)
	replica.sendOthers(peers, MessageBootstrapCommit, proposal)
}

// installBootstrap installs a decided bootstrap: the log is reset to the snapshot and the older versions that this folder still has.
func (replica *Replica) installBootstrap(now time.Duration, proposal BootstrapProposal) {
	if proposal.View.Number <= replica.view.Number {
		return
	}
	image := proposal.Snapshot
	former, past := replica.versions, replica.sortedPastOperations()
	replica.log = newLog(replica.bounds.History, replica.bounds.HistoryBytes)
	if image != nil {
		for _, source := range []map[int64]contract.Version{replica.salvaged, former} {
			for revision, version := range source {
				if revision < image.Position.Revision && revision > image.Position.Revision-replica.bounds.History && !image.Position.Before(version.Position) {
					replica.put(version)
				}
			}
		}
		replica.put(*image)
		replica.lastSynced, replica.committed = image.Position.Revision, image.Position.Revision
		replica.addPastOperations(past)
		replica.emit(Committed{Version: *image})
		replica.commitUpTo(replica.committed)
	}
	replica.bootstrapAccepted = nil
	removed := []contract.Position{}
	for _, source := range []map[int64]contract.Version{replica.salvaged, former} {
		for revision, version := range source {
			if kept, found := replica.versions[revision]; !found || kept.Position != version.Position {
				removed = append(removed, version.Position)
			}
		}
	}
	replica.queueRemoval(removed)
	replica.salvaged = map[int64]contract.Version{}
	replica.installView(now, proposal.View)
	replica.emit(contract.AddCounter{Name: "foundings", Delta: 1})
}
