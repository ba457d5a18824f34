package chain

import (
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

type FoundAsk struct {
	Ballot Ballot            `json:"ballot"`
	Node   contract.CoreNode `json:"node"`
}

type FoundTell struct {
	Ballot   Ballot            `json:"ballot"`
	Node     contract.CoreNode `json:"node"`
	Fine     bool              `json:"fine"`
	Refused  Ballot            `json:"refused"`
	View     int64             `json:"view"`
	Blank    bool              `json:"blank"`
	Best     *contract.Version `json:"best,omitempty"`
	Accepted *Foundation       `json:"accepted,omitempty"`
}

// Foundation is a first view, or the first after the core forgot: it starts from the highest image that any node held.
type Foundation struct {
	Ballot Ballot            `json:"ballot"`
	Node   contract.CoreNode `json:"node"`
	View   contract.View     `json:"view"`
	Image  *contract.Version `json:"image,omitempty"`
}

type founding struct {
	ballot     Ballot
	started    time.Duration
	peers      []contract.CoreNode
	tells      map[string]FoundTell
	foundation *Foundation
	votes      map[string]bool
}

func (owner *Owner) coreSeen() []contract.CoreNode {
	nodes := []contract.CoreNode{}
	for _, member := range owner.seen.Members {
		if member.Core {
			nodes = append(nodes, member.CoreNode())
		}
	}
	return nodes
}

// lostCore holds when there is no core whose majority could decide: before the first view, or when so many members can never return
// that those left are no majority. A member never returns once an operator has declared it gone, or its own machine came back with
// another disk. That a member is merely silent proves nothing.
func (owner *Owner) lostCore() bool {
	if owner.view.Number == 0 {
		return true
	}
	gone := 0
	for _, node := range owner.view.Core {
		if _, replaced := owner.successor(node); !owner.aliveCore(node) && (replaced || owner.declared[node.Identity()]) {
			gone++
		}
	}
	return len(owner.view.Core)-gone < owner.view.Majority()
}

// successor gives the member that a machine is now, where it came back with another disk.
func (owner *Owner) successor(node contract.CoreNode) (contract.CoreNode, bool) {
	for _, other := range owner.coreSeen() {
		if other.Name == node.Name && other.ID != node.ID {
			return other, true
		}
	}
	return contract.CoreNode{}, false
}

// Declare takes an operator's word that a machine's former member never returns; a live one is not believed dead.
func (owner *Owner) Declare(name string) bool {
	for _, node := range owner.view.Core {
		if node.Name == name && !owner.aliveCore(node) {
			owner.declared[node.Identity()] = true
			return true
		}
	}
	return false
}

// foundPeers are those who all have to agree to a first view, or to one after the core was lost: then every machine of the old core
// must be there, as the member that it was or as its successor, or be declared gone. Others take the places of those.
func (owner *Owner) foundPeers() []contract.CoreNode {
	if owner.view.Number == 0 {
		return owner.founderNodes()
	}
	peers := []contract.CoreNode{}
	for _, node := range owner.view.Core {
		successor, replaced := owner.successor(node)
		switch {
		case owner.aliveCore(node):
			peers = append(peers, node)
		case replaced:
			peers = append(peers, successor)
		case !owner.declared[node.Identity()]:
			return nil
		}
	}
	for _, node := range owner.strangers() {
		if len(owner.declared) > 0 && len(peers) < owner.coreSize && !slices.Contains(peers, node) {
			peers = append(peers, node)
		}
	}
	sortByName(peers)
	return peers
}

// founderNodes are the members that bootstrap a blank fleet: those at the addresses that were told, or all that are seen.
func (owner *Owner) founderNodes() []contract.CoreNode {
	nodes := owner.coreSeen()
	if len(owner.founders) > 0 {
		nodes = slices.DeleteFunc(nodes, func(node contract.CoreNode) bool { return !slices.Contains(owner.founders, node.Address) })
	}
	sortByName(nodes)
	return nodes
}

func sortByName(nodes []contract.CoreNode) {
	slices.SortFunc(nodes, func(left, right contract.CoreNode) int { return strings.Compare(left.Name, right.Name) })
}

func (owner *Owner) blankFleet() bool {
	if !owner.bootstrap || owner.view.Number > 0 || owner.seen.Held.Position.Revision > 0 || len(owner.salvaged) > 0 {
		return false
	}
	for _, member := range owner.seen.Members {
		if member.View > 0 || member.Position.Revision > 0 {
			return false
		}
	}
	return true
}

// founderCount is how many members bootstrap a blank fleet.
func (owner *Owner) founderCount() int {
	if len(owner.founders) > 0 {
		return len(owner.founders)
	}
	return owner.coreSize
}

func (owner *Owner) tickFounding(now time.Duration) {
	if owner.unfoundable < 0 {
		owner.unfoundable = now
	}
	if owner.founding != nil {
		if now-owner.founding.started > owner.bounds.Round()*2 {
			owner.founding = nil
			owner.retry = now + time.Duration(owner.random.Int64N(int64(owner.bounds.Round())))
		}
		return
	}
	owner.askFounded(now)
	peers := owner.foundPeers()
	if owner.view.Number == 0 && (len(peers) != owner.founderCount() || !owner.blankFleet()) {
		return
	}
	waited := now - owner.unfoundable
	if len(peers) < 2 || waited < owner.bounds.Round() || now-owner.started < owner.bounds.Lease() || now < owner.retry || peers[0].Identity() != owner.self.Identity() {
		return
	}
	owner.foundPromised.Round++
	ballot := Ballot{Number: owner.view.Number + 1, Round: owner.foundPromised.Round, Proposer: owner.proposer()}
	owner.founding = &founding{ballot: ballot, started: now, peers: peers, tells: map[string]FoundTell{}, votes: map[string]bool{}}
	for _, node := range peers {
		owner.send(node, MessageFoundAsk, FoundAsk{Ballot: ballot, Node: owner.self})
	}
	owner.emit(contract.AddCounter{Name: "foundings_tried", Delta: 1})
}

func (owner *Owner) best() *contract.Version {
	var best *contract.Version
	take := func(version contract.Version) {
		if version.Position.Revision > 0 && (best == nil || best.Position.Before(version.Position)) {
			best = &version
		}
	}
	take(owner.seen.Held)
	for _, version := range owner.salvaged {
		take(version)
	}
	for _, version := range owner.versions {
		take(version)
	}
	return best
}

func (owner *Owner) foundAsk(ask FoundAsk) {
	tell := FoundTell{Ballot: ask.Ballot, Node: owner.self, View: owner.view.Number, Blank: owner.blankFleet(), Best: owner.best(), Accepted: owner.foundAccepted}
	if !owner.lostCore() || ask.Ballot.Number != owner.view.Number+1 || ask.Ballot.Before(owner.foundPromised) {
		tell.Refused = owner.foundPromised
	} else {
		owner.foundPromised, owner.sealed, tell.Fine = ask.Ballot, owner.view.Number > 0, owner.fit
	}
	owner.send(ask.Node, MessageFoundTell, tell)
}

func (owner *Owner) foundTell(now time.Duration, tell FoundTell) {
	founding := owner.founding
	if founding == nil || founding.ballot != tell.Ballot || founding.foundation != nil {
		return
	}
	if !tell.Fine {
		owner.foundPromised.Round = max(owner.foundPromised.Round, tell.Refused.Round)
		return
	}
	if !slices.Contains(founding.peers, tell.Node) {
		return
	}
	founding.tells[tell.Node.Identity()] = tell
	if len(founding.tells) < len(founding.peers) {
		return
	}
	foundation := Foundation{Ballot: founding.ballot, Node: owner.self, View: contract.View{Number: founding.ballot.Number}}
	if owner.view.Number > 0 {
		foundation.View.Number += foundingGap
	}
	for _, node := range founding.peers {
		other := founding.tells[node.Identity()]
		if owner.view.Number == 0 && !other.Blank {
			return
		}
		if other.Best != nil && (foundation.Image == nil || foundation.Image.Position.Before(other.Best.Position)) {
			foundation.Image = other.Best
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
		accepted := founding.tells[node.Identity()].Accepted
		if accepted != nil && accepted.Ballot.Number == founding.ballot.Number && sameCore(accepted.View, foundation.View) {
			foundation.View, foundation.Image = accepted.View, accepted.Image
		}
	}
	founding.foundation = &foundation
	for _, node := range founding.peers {
		owner.send(node, MessageFoundAccept, foundation)
	}
}

// foundingGap keeps the numbers of a core that was founded anew apart from views that the lost core may still have decided.
const foundingGap = 1 << 10

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

func (owner *Owner) foundAccept(now time.Duration, foundation Foundation) {
	if !owner.lostCore() || foundation.Ballot.Number != owner.view.Number+1 || foundation.Ballot.Before(owner.foundPromised) {
		return
	}
	owner.foundPromised, owner.foundAccepted = foundation.Ballot, &foundation
	work := job{record: true}
	if foundation.Image != nil {
		work.versions = []contract.Version{*foundation.Image}
	}
	work.after = func(now time.Duration) {
		owner.foundSynced = foundation.Ballot
		owner.send(foundation.Node, MessageFounded, Accepted{Ballot: foundation.Ballot, Node: owner.self})
	}
	owner.persist(now, work)
}

func (owner *Owner) founded(now time.Duration, accepted Accepted) {
	founding := owner.founding
	if founding == nil || founding.foundation == nil || founding.ballot != accepted.Ballot {
		return
	}
	founding.votes[accepted.Node.Identity()] = true
	if len(founding.votes) < len(founding.peers) {
		return
	}
	peers, foundation := founding.peers, *founding.foundation
	owner.founding = nil
	owner.begin(now, foundation)
	owner.sendOthers(peers, MessageFoundBegin, foundation)
}

// begin takes up a foundation: the image is in force again, with the older versions that this folder still has.
func (owner *Owner) begin(now time.Duration, foundation Foundation) {
	if foundation.View.Number <= owner.view.Number {
		return
	}
	image := foundation.Image
	former, past := owner.versions, owner.pastOperations()
	owner.log = newLog(owner.bounds.History, owner.bounds.HistoryBytes)
	if image != nil {
		for _, source := range []map[int64]contract.Version{owner.salvaged, former} {
			for revision, version := range source {
				if revision < image.Position.Revision && revision > image.Position.Revision-owner.bounds.History && !image.Position.Before(version.Position) {
					owner.keep(version)
				}
			}
		}
		owner.keep(*image)
		owner.top, owner.committed = image.Position.Revision, image.Position.Revision
		owner.remember(past)
		owner.emit(Committed{Version: *image})
		owner.settle(owner.committed)
	}
	owner.foundAccepted = nil
	drop := []contract.Position{}
	for _, source := range []map[int64]contract.Version{owner.salvaged, former} {
		for revision, version := range source {
			if kept, there := owner.versions[revision]; !there || kept.Position != version.Position {
				drop = append(drop, version.Position)
			}
		}
	}
	owner.queueDrop(drop)
	owner.salvaged = map[int64]contract.Version{}
	owner.adopt(now, foundation.View)
	owner.emit(contract.AddCounter{Name: "foundings", Delta: 1})
}
