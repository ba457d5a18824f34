package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Check asks the core whether a view still is the newest, so that a woken old tail cannot answer.
type ViewCheck struct {
	Nonce int64 `json:"nonce"`
	// Start is the asker's start, so that an answer to its former start is not taken for one to this.
	StartID string            `json:"start"`
	View    int64             `json:"view"`
	Node    contract.CoreNode `json:"node"`
	Current bool              `json:"holds"`
	// By answers.
	Responder contract.CoreNode `json:"by"`
}

type pendingConfirmation struct {
	view int64
	// fits tells whether this member still has the place in the chain that asked.
	inRole   func() bool
	deadline time.Duration
	votes    map[string]bool
}

// Vouched ends a check: the tail's answer may or may not be given.
type Confirmed struct {
	Token   int64
	Granted bool
}

// Vouch asks the core whether the tail's answer to a read may be given.
func (owner *Replica) ConfirmTail(now time.Duration, token int64) []contract.Command {
	if !owner.synchronized || owner.isOutdated(owner.committed) {
		return []contract.Command{Confirmed{Token: token}}
	}
	return owner.confirm(now, token, owner.IsTail)
}

// VouchHead asks the core whether what the head says of its state may be given, as when it refuses an order.
func (owner *Replica) ConfirmHead(now time.Duration, token int64) []contract.Command {
	if owner.isOutdated(owner.lastAssigned) {
		return []contract.Command{Confirmed{Token: token}}
	}
	return owner.confirm(now, token, owner.IsHead)
}

func (owner *Replica) confirm(now time.Duration, token int64, fits func() bool) []contract.Command {
	if !fits() || owner.sealed {
		return []contract.Command{Confirmed{Token: token}}
	}
	owner.commands = nil
	owner.confirmations[token] = &pendingConfirmation{view: owner.view.Number, inRole: fits, deadline: now + owner.bounds.Round(), votes: map[string]bool{owner.self.Identity(): true}}
	owner.sendOthers(owner.view.Core, MessageViewCheck, ViewCheck{Nonce: token, StartID: owner.startID, View: owner.view.Number, Node: owner.self})
	out := owner.commands
	owner.commands = nil
	return out
}

func (owner *Replica) handleViewCheck(ask ViewCheck) {
	holds := owner.IsMember() && !owner.sealed && owner.view.Number == ask.View
	owner.send(ask.Node, MessageViewCheckReply, ViewCheck{Nonce: ask.Nonce, StartID: ask.StartID, View: ask.View, Current: holds, Responder: owner.self})
}

func (owner *Replica) handleViewCheckReply(answer ViewCheck) {
	pending, there := owner.confirmations[answer.Nonce]
	if !there || !answer.Current || pending.view != answer.View || answer.StartID != owner.startID {
		return
	}
	pending.votes[answer.Responder.Identity()] = true
	if len(pending.votes) >= owner.view.Majority() {
		delete(owner.confirmations, answer.Nonce)
		owner.emit(Confirmed{Token: answer.Nonce, Granted: pending.view == owner.view.Number && !owner.sealed && pending.inRole()})
	}
}

func (owner *Replica) expireConfirmations(now time.Duration) {
	late := []int64{}
	for token, pending := range owner.confirmations {
		if now > pending.deadline {
			late = append(late, token)
		}
	}
	slices.Sort(late)
	for _, token := range late {
		delete(owner.confirmations, token)
		owner.emit(Confirmed{Token: token})
	}
}
