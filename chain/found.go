package chain

import (
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

type BootstrapPrepare struct {
	Ballot Ballot            `json:"ballot"`
	Node   contract.CoreNode `json:"node"`
}

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

// Foundation is a first view, or the first after the core forgot: it starts from the highest image that any node held.
type BootstrapProposal struct {
	Ballot   Ballot            `json:"ballot"`
	Node     contract.CoreNode `json:"node"`
	View     contract.View     `json:"view"`
	Snapshot *contract.Version `json:"image,omitempty"`
}

type bootstrapAttempt struct {
	ballot   Ballot
	started  time.Duration
	peers    []contract.CoreNode
	promises map[string]BootstrapPromise
	proposal *BootstrapProposal
	votes    map[string]bool
}

func (owner *Replica) visibleCore() []contract.CoreNode {
	nodes := []contract.CoreNode{}
	for _, member := range owner.membership.Members {
		if member.Core {
			nodes = append(nodes, member.CoreNode())
		}
	}
	return nodes
}

// lostCore holds when there is no core whose majority could decide: before the first view, or when so many members can never return
// that those left are no majority. A member never returns once an operator has declared it gone, or its own machine came back with
// another disk. That a member is merely silent proves nothing.
func (owner *Replica) coreLost() bool {
	if owner.view.Number == 0 {
		return true
	}
	gone := 0
	for _, node := range owner.view.Core {
		if _, replaced := owner.replacement(node); !owner.isAlive(node) && (replaced || owner.declaredGone[node.Identity()]) {
			gone++
		}
	}
	return len(owner.view.Core)-gone < owner.view.Majority()
}

// successor gives the member that a machine is now, where it came back with another disk.
func (owner *Replica) replacement(node contract.CoreNode) (contract.CoreNode, bool) {
	for _, other := range owner.visibleCore() {
		if other.Name == node.Name && other.ID != node.ID {
			return other, true
		}
	}
	return contract.CoreNode{}, false
}

// Declare takes an operator's word that a machine's former member never returns; a live one is not believed dead.
func (owner *Replica) DeclareGone(name string) bool {
	for _, node := range owner.view.Core {
		if node.Name == name && !owner.isAlive(node) {
			owner.declaredGone[node.Identity()] = true
			return true
		}
	}
	return false
}

// foundPeers are those who all have to agree to a first view, or to one after the core was lost: then every machine of the old core
// must be there, as the member that it was or as its successor, or be declared gone. Others take the places of those.
func (owner *Replica) bootstrapPeers() []contract.CoreNode {
	if owner.view.Number == 0 {
		return owner.founderNodes()
	}
	peers := []contract.CoreNode{}
	for _, node := range owner.view.Core {
		successor, replaced := owner.replacement(node)
		switch {
		case owner.isAlive(node):
			peers = append(peers, node)
		case replaced:
			peers = append(peers, successor)
		case !owner.declaredGone[node.Identity()]:
			return nil
		}
	}
	for _, node := range owner.spares() {
		if len(owner.declaredGone) > 0 && len(peers) < owner.coreSize && !slices.Contains(peers, node) {
			peers = append(peers, node)
		}
	}
	sortByName(peers)
	return peers
}

// founderNodes are the members that bootstrap a blank fleet: those at the addresses that were told, or all that are seen.
func (owner *Replica) founderNodes() []contract.CoreNode {
	nodes := owner.visibleCore()
	if len(owner.founders) > 0 {
		nodes = slices.DeleteFunc(nodes, func(node contract.CoreNode) bool { return !slices.Contains(owner.founders, node.Address) })
	}
	sortByName(nodes)
	return nodes
}

func sortByName(nodes []contract.CoreNode) {
	slices.SortFunc(nodes, func(left, right contract.CoreNode) int { return strings.Compare(left.Name, right.Name) })
}

func (owner *Replica) isBlankFleet() bool {
	if !owner.mayBootstrap || owner.view.Number > 0 || owner.membership.NewestVersion.Position.Revision > 0 || len(owner.salvaged) > 0 {
		return false
	}
	for _, member := range owner.membership.Members {
		if member.View > 0 || member.Position.Revision > 0 {
			return false
		}
	}
	return true
}

// founderCount is how many members bootstrap a blank fleet.
func (owner *Replica) founderCount() int {
	if len(owner.founders) > 0 {
		return len(owner.founders)
	}
	return owner.coreSize
}

func (owner *Replica) tickBootstrap(now time.Duration) {
	if owner.coreLostSince < 0 {
		owner.coreLostSince = now
	}
	if owner.bootstrapping != nil {
		if now-owner.bootstrapping.started > owner.bounds.Round()*2 {
			owner.bootstrapping = nil
			owner.retryAt = now + time.Duration(owner.random.Int64N(int64(owner.bounds.Round())))
		}
		return
	}
	owner.queryBootstrapVotes(now)
	peers := owner.bootstrapPeers()
	if owner.view.Number == 0 && (len(peers) != owner.founderCount() || !owner.isBlankFleet()) {
		return
	}
	waited := now - owner.coreLostSince
	if len(peers) < 2 || waited < owner.bounds.Round() || now-owner.startedAt < owner.bounds.Lease() || now < owner.retryAt || peers[0].Identity() != owner.self.Identity() {
		return
	}
	owner.bootstrapPromised.Round++
	ballot := Ballot{Number: owner.view.Number + 1, Round: owner.bootstrapPromised.Round, Proposer: owner.proposer()}
	owner.bootstrapping = &bootstrapAttempt{ballot: ballot, started: now, peers: peers, promises: map[string]BootstrapPromise{}, votes: map[string]bool{}}
	for _, node := range peers {
		owner.send(node, MessageBootstrapPrepare, BootstrapPrepare{Ballot: ballot, Node: owner.self})
	}
	owner.emit(contract.AddCounter{Name: "foundings_tried", Delta: 1})
}

func (owner *Replica) newestKnown() *contract.Version {
	var best *contract.Version
	take := func(version contract.Version) {
		if version.Position.Revision > 0 && (best == nil || best.Position.Before(version.Position)) {
			best = &version
		}
	}
	take(owner.membership.NewestVersion)
	for _, version := range owner.salvaged {
		take(version)
	}
	for _, version := range owner.versions {
		take(version)
	}
	return best
}

func (owner *Replica) handleBootstrapPrepare(ask BootstrapPrepare) {
	tell := BootstrapPromise{Ballot: ask.Ballot, Node: owner.self, View: owner.view.Number, Blank: owner.isBlankFleet(), Newest: owner.newestKnown(), Accepted: owner.bootstrapAccepted}
	if !owner.coreLost() || ask.Ballot.Number != owner.view.Number+1 || ask.Ballot.Before(owner.bootstrapPromised) {
		tell.RejectedBy = owner.bootstrapPromised
	} else {
		owner.bootstrapPromised, owner.sealed, tell.Granted = ask.Ballot, owner.view.Number > 0, owner.diskHealthy
	}
	owner.send(ask.Node, MessageBootstrapPromise, tell)
}

func (owner *Replica) handleBootstrapPromise(now time.Duration, tell BootstrapPromise) {
	founding := owner.bootstrapping
	if founding == nil || founding.ballot != tell.Ballot || founding.proposal != nil {
		return
	}
	if !tell.Granted {
		owner.bootstrapPromised.Round = max(owner.bootstrapPromised.Round, tell.RejectedBy.Round)
		return
	}
	if !slices.Contains(founding.peers, tell.Node) {
		return
	}
	founding.promises[tell.Node.Identity()] = tell
	if len(founding.promises) < len(founding.peers) {
		return
	}
	foundation := BootstrapProposal{Ballot: founding.ballot, Node: owner.self, View: contract.View{Number: founding.ballot.Number}}
	if owner.view.Number > 0 {
		foundation.View.Number += rebuiltViewGap
	}
	for _, node := range founding.peers {
		other := founding.promises[node.Identity()]
		if owner.view.Number == 0 && !other.Blank {
			return
		}
		if other.Newest != nil && (foundation.Snapshot == nil || foundation.Snapshot.Position.Before(other.Newest.Position)) {
			foundation.Snapshot = other.Newest
		}
		foundation.View.Core = append(foundation.View.Core, node)
		foundation.View.Chain = append(foundation.View.Chain, node.Identity())
	}
	foundation.View.Holders = foundation.View.Chain
	for _, node := range owner.view.Core {
		present := len(foundation.View.Core) >= owner.coreSize
		for _, peer := range founding.peers {
			present = present || peer.Name == node.Name
		}
		if !present {
			foundation.View.Core = append(foundation.View.Core, node)
		}
	}
	for _, node := range founding.peers {
		accepted := founding.promises[node.Identity()].Accepted
		if accepted != nil && accepted.Ballot.Number == founding.ballot.Number && sameCore(accepted.View, foundation.View) {
			foundation.View, foundation.Snapshot = accepted.View, accepted.Snapshot
		}
	}
	founding.proposal = &foundation
	for _, node := range founding.peers {
		owner.send(node, MessageBootstrapAccept, foundation)
	}
}

// foundingGap keeps the numbers of a core that was founded anew apart from views that the lost core may still have decided.
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

func (owner *Replica) handleBootstrapAccept(now time.Duration, foundation BootstrapProposal) {
	if !owner.coreLost() || foundation.Ballot.Number != owner.view.Number+1 || foundation.Ballot.Before(owner.bootstrapPromised) {
		return
	}
	owner.bootstrapPromised, owner.bootstrapAccepted = foundation.Ballot, &foundation
	work := persistJob{record: true}
	if foundation.Snapshot != nil {
		work.versions = []contract.Version{*foundation.Snapshot}
	}
	work.onSynced = func(now time.Duration) {
		owner.bootstrapSynced = foundation.Ballot
		owner.send(foundation.Node, MessageBootstrapAccepted, Accepted{Ballot: foundation.Ballot, Node: owner.self})
	}
	owner.persist(now, work)
}

func (owner *Replica) handleBootstrapAccepted(now time.Duration, accepted Accepted) {
	founding := owner.bootstrapping
	if founding == nil || founding.proposal == nil || founding.ballot != accepted.Ballot {
		return
	}
	founding.votes[accepted.Node.Identity()] = true
	if len(founding.votes) < len(founding.peers) {
		return
	}
	peers, foundation := founding.peers, *founding.proposal
	owner.bootstrapping = nil
	owner.installBootstrap(now, foundation)
	owner.sendOthers(peers, MessageBootstrapCommit, foundation)
}

// begin takes up a foundation: the image is in force again, with the older versions that this folder still has.
func (owner *Replica) installBootstrap(now time.Duration, foundation BootstrapProposal) {
	if foundation.View.Number <= owner.view.Number {
		return
	}
	image := foundation.Snapshot
	former, past := owner.versions, owner.sortedPastOperations()
	owner.log = newLog(owner.bounds.History, owner.bounds.HistoryBytes)
	if image != nil {
		for _, source := range []map[int64]contract.Version{owner.salvaged, former} {
			for revision, version := range source {
				if revision < image.Position.Revision && revision > image.Position.Revision-owner.bounds.History && !image.Position.Before(version.Position) {
					owner.put(version)
				}
			}
		}
		owner.put(*image)
		owner.lastSynced, owner.committed = image.Position.Revision, image.Position.Revision
		owner.addPastOperations(past)
		owner.emit(Committed{Version: *image})
		owner.commitUpTo(owner.committed)
	}
	owner.bootstrapAccepted = nil
	drop := []contract.Position{}
	for _, source := range []map[int64]contract.Version{owner.salvaged, former} {
		for revision, version := range source {
			if kept, there := owner.versions[revision]; !there || kept.Position != version.Position {
				drop = append(drop, version.Position)
			}
		}
	}
	owner.queueRemoval(drop)
	owner.salvaged = map[int64]contract.Version{}
	owner.installView(now, foundation.View)
	owner.emit(contract.AddCounter{Name: "foundings", Delta: 1})
}
