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
	fellows    []contract.CoreNode
	tells      map[string]FoundTell
	foundation *Foundation
	votes      map[string]bool
}

func (owner *Owner) coreSeen() []contract.CoreNode {
	nodes := []contract.CoreNode{}
	for _, member := range owner.seen.Members {
		if member.Core {
			nodes = append(nodes, contract.CoreNode{Name: member.Name, Boot: member.Boot, Address: member.Address})
		}
	}
	return nodes
}

// lostCore holds when the view's core can never again reach its majority: before any view, when that many of its boots
// are replaced, or when it is orphaned.
func (owner *Owner) lostCore() bool {
	return owner.view.Number == 0 || owner.replaced() || owner.orphaned()
}

func (owner *Owner) gone() int {
	gone := 0
	for _, node := range owner.view.Core {
		replaced := owner.declared[node.Identity()]
		for _, other := range owner.coreSeen() {
			replaced = replaced || other.Name == node.Name && other.Boot != node.Boot
		}
		if replaced && !owner.aliveCore(node) {
			gone++
		}
	}
	return gone
}

// Declare takes an operator's word that a machine's former boot never returns; a live one is not believed dead.
func (owner *Owner) Declare(name string) bool {
	for _, node := range owner.view.Core {
		if node.Name == name && !owner.aliveCore(node) {
			owner.declared[node.Identity()] = true
			return true
		}
	}
	return false
}

func (owner *Owner) replaced() bool {
	return len(owner.view.Core)-owner.gone() < owner.view.Majority()
}

// orphaned holds when what is left of a core cannot change its view, a full set of other core machines stands by, and
// sealing those that are left also stops the old chain for good.
func (owner *Owner) orphaned() bool {
	gone := owner.gone()
	nodes, survivors, chained := owner.coreSeen(), 0, gone > 0
	for _, node := range nodes {
		if _, there := owner.view.Node(node.Identity()); there {
			survivors++
			chained = chained || owner.view.Rank(node.Identity()) >= 0
		}
	}
	left := len(owner.view.Core) - gone - survivors
	return len(nodes) >= owner.coreSize && survivors < owner.view.Majority() && left < owner.view.Majority() && chained
}

// foundFellows are those who found: whoever is left of the old view, then its machines' new boots, then others.
func (owner *Owner) foundFellows() []contract.CoreNode {
	nodes := owner.coreSeen()
	rank := func(node contract.CoreNode) int {
		if _, there := owner.view.Node(node.Identity()); there {
			return 0
		}
		for _, old := range owner.view.Core {
			if old.Name == node.Name {
				return 1
			}
		}
		return 2
	}
	slices.SortStableFunc(nodes, func(left, right contract.CoreNode) int { return rank(left) - rank(right) })
	if owner.view.Number == 0 && len(owner.founders) > 0 {
		nodes = slices.DeleteFunc(nodes, func(node contract.CoreNode) bool { return !slices.Contains(owner.founders, node.Address) })
	}
	if owner.view.Number > 0 {
		nodes = slices.DeleteFunc(nodes, func(node contract.CoreNode) bool {
			return rank(node) == 2 && !owner.orphaned() && len(owner.declared) == 0
		})
		nodes = nodes[:min(len(nodes), owner.coreSize)]
	}
	slices.SortFunc(nodes, func(left, right contract.CoreNode) int { return strings.Compare(left.Name, right.Name) })
	return nodes
}

func (owner *Owner) blankFleet() bool {
	if owner.joins || owner.view.Number > 0 || owner.seen.Held.Place.Revision > 0 || len(owner.shelf) > 0 {
		return false
	}
	for _, member := range owner.seen.Members {
		if member.View > 0 || member.Place.Revision > 0 {
			return false
		}
	}
	return true
}

// wholeCore is how many core machines are all that there should be now.
func (owner *Owner) wholeCore() int {
	switch {
	case owner.view.Number > 0:
		return min(len(owner.view.Core), owner.coreSize)
	case len(owner.founders) > 0:
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
	fellows := owner.foundFellows()
	waited, alone := now-owner.unfoundable, len(fellows) < 2
	complete := len(fellows) == owner.wholeCore()
	patience := owner.bounds.Round()
	if !complete || owner.view.Number > 0 && !owner.replaced() {
		patience = owner.bounds.Refound()
	}
	if owner.view.Number == 0 && (!complete || !owner.blankFleet()) {
		return
	}
	if alone || waited < patience || now-owner.started < owner.bounds.Licence() || now < owner.retry || fellows[0].Identity() != owner.self.Identity() {
		return
	}
	owner.foundPromised.Round++
	ballot := Ballot{Number: owner.view.Number + 1, Round: owner.foundPromised.Round, Identity: owner.self.Identity()}
	owner.founding = &founding{ballot: ballot, started: now, fellows: fellows, tells: map[string]FoundTell{}, votes: map[string]bool{}}
	for _, node := range fellows {
		owner.send(node, LetterFoundAsk, FoundAsk{Ballot: ballot, Node: owner.self})
	}
	owner.emit(contract.Count{Name: "foundings_tried", By: 1})
}

func (owner *Owner) best() *contract.Version {
	var best *contract.Version
	take := func(version contract.Version) {
		if version.Place.Revision > 0 && (best == nil || best.Place.Before(version.Place)) {
			best = &version
		}
	}
	take(owner.seen.Held)
	for _, version := range owner.shelf {
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
	owner.send(ask.Node, LetterFoundTell, tell)
}

func (owner *Owner) foundTell(now time.Duration, from string, tell FoundTell) {
	founding := owner.founding
	if founding == nil || founding.ballot != tell.Ballot || founding.foundation != nil {
		return
	}
	if !tell.Fine {
		owner.foundPromised.Round = max(owner.foundPromised.Round, tell.Refused.Round)
		return
	}
	founding.tells[from] = tell
	if len(founding.tells) < len(founding.fellows) {
		return
	}
	foundation := Foundation{Ballot: founding.ballot, Node: owner.self, View: contract.View{Number: founding.ballot.Number}}
	for _, node := range founding.fellows {
		other := founding.tells[node.Identity()]
		if owner.view.Number == 0 && !other.Blank {
			return
		}
		if other.Best != nil && (foundation.Image == nil || foundation.Image.Place.Before(other.Best.Place)) {
			foundation.Image = other.Best
		}
		foundation.View.Core = append(foundation.View.Core, node)
		foundation.View.Chain = append(foundation.View.Chain, node.Identity())
	}
	foundation.View.Holders = foundation.View.Chain
	for _, node := range owner.view.Core {
		present := len(foundation.View.Core) >= owner.coreSize
		for _, fellow := range founding.fellows {
			present = present || fellow.Name == node.Name
		}
		if !present {
			foundation.View.Core = append(foundation.View.Core, node)
		}
	}
	for _, node := range founding.fellows {
		accepted := founding.tells[node.Identity()].Accepted
		if accepted != nil && accepted.Ballot.Number == founding.ballot.Number && sameCore(accepted.View, foundation.View) {
			foundation.View, foundation.Image = accepted.View, accepted.Image
		}
	}
	founding.foundation = &foundation
	for _, node := range founding.fellows {
		owner.send(node, LetterFoundAccept, foundation)
	}
}

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
	work := job{}
	if foundation.Image != nil {
		work.versions = []contract.Version{*foundation.Image}
	}
	work.after = func(now time.Duration) { owner.send(foundation.Node, LetterFounded, foundation.Ballot) }
	owner.persist(now, work)
}

func (owner *Owner) founded(now time.Duration, from string, ballot Ballot) {
	founding := owner.founding
	if founding == nil || founding.foundation == nil || founding.ballot != ballot {
		return
	}
	founding.votes[from] = true
	if len(founding.votes) < len(founding.fellows) {
		return
	}
	fellows, foundation := founding.fellows, *founding.foundation
	owner.founding = nil
	owner.begin(now, foundation)
	for _, node := range fellows {
		if node.Identity() != owner.self.Identity() {
			owner.send(node, LetterFoundBegin, foundation)
		}
	}
}

// begin takes up a foundation: the image is in force again, with the older versions that this folder still has.
func (owner *Owner) begin(now time.Duration, foundation Foundation) {
	if foundation.View.Number <= owner.view.Number {
		return
	}
	image := foundation.Image
	former := owner.versions
	owner.versions, owner.top, owner.committed = map[int64]contract.Version{}, 0, 0
	if image != nil {
		for _, source := range []map[int64]contract.Version{owner.shelf, former} {
			for revision, version := range source {
				if revision < image.Place.Revision && revision > image.Place.Revision-owner.bounds.History && !image.Place.Before(version.Place) {
					owner.versions[revision] = version
				}
			}
		}
		owner.versions[image.Place.Revision] = *image
		owner.top, owner.committed = image.Place.Revision, image.Place.Revision
		owner.emit(Committed{Version: *image})
		owner.settle(owner.committed)
	}
	owner.foundAccepted = nil
	owner.adopt(now, foundation.View)
	owner.emit(contract.Count{Name: "foundings", By: 1})
}
