package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// ViewCheck asks the core whether a view is still current, so that the tail of an old view that was paused cannot answer reads. The reply
// repeats Nonce, StartID and View.
type ViewCheck struct {
	Nonce int64 `json:"nonce"`
	// StartID identifies the start of the sender, so that it ignores replies to requests of an earlier start.
	StartID string            `json:"start"`
	View    int64             `json:"view"`
	Node    contract.CoreNode `json:"node"`
	Current bool              `json:"holds"`
	// Responder is the member that replies. Node is the sender of the request.
	Responder contract.CoreNode `json:"by"`
}

// pendingConfirmation collects the replies to a ViewCheck.
type pendingConfirmation struct {
	view int64
	// inRole reports whether this member still is the head or tail that it was at the request.
	inRole   func() bool
	deadline time.Duration
	votes    map[string]bool
}

// Confirmed is the command that ends the confirmation of a token. The response may be given only if it is Granted.
type Confirmed struct {
	Token   int64
	Granted bool
}

// ConfirmTail asks the core whether this member is still the tail, before it answers a read. A Confirmed with the token follows.
func (replica *Replica) ConfirmTail(now time.Duration, token int64) []contract.Command {
	if !replica.synchronized || replica.isOutdated(replica.committed) {
		return []contract.Command{Confirmed{Token: token}}
	}
	return replica.confirm(now, token, replica.IsTail)
}

// ConfirmHead asks the core whether this member is still the head, before it tells its state, as when it refuses a write. A Confirmed with
// the token follows.
func (replica *Replica) ConfirmHead(now time.Duration, token int64) []contract.Command {
	if replica.isOutdated(replica.lastAssigned) {
		return []contract.Command{Confirmed{Token: token}}
	}
	return replica.confirm(now, token, replica.IsHead)
}

func (replica *Replica) confirm(now time.Duration, token int64, eligible func() bool) []contract.Command {
	if !eligible() || replica.sealed {
		return []contract.Command{Confirmed{Token: token}}
	}
	replica.commands = nil
	replica.confirmations[token] = &pendingConfirmation{view: replica.view.Number, inRole: eligible, deadline: now + replica.bounds.Round(), votes: map[string]bool{replica.self.Identity(): true}}
	replica.sendOthers(replica.view.Core, MessageViewCheck, ViewCheck{Nonce: token, StartID: replica.startID, View: replica.view.Number, Node: replica.self})
	out := replica.commands
	replica.commands = nil
	return out
}

func (replica *Replica) handleViewCheck(request ViewCheck) {
	holds := replica.IsMember() && !replica.sealed && replica.view.Number == request.View
	replica.send(request.Node, MessageViewCheckReply, ViewCheck{Nonce: request.Nonce, StartID: request.StartID, View: request.View, Current: holds, Responder: replica.self})
}

func (replica *Replica) handleViewCheckReply(reply ViewCheck) {
	pending, found := replica.confirmations[reply.Nonce]
	if !found || !reply.Current || pending.view != reply.View || reply.StartID != replica.startID {
		return
	}
	pending.votes[reply.Responder.Identity()] = true
	if len(pending.votes) >= replica.view.Majority() {
		delete(replica.confirmations, reply.Nonce)
		replica.emit(Confirmed{Token: reply.Nonce, Granted: pending.view == replica.view.Number && !replica.sealed && pending.inRole()})
	}
}

// expireConfirmations denies the confirmations that a majority did not answer in time.
func (replica *Replica) expireConfirmations(now time.Duration) {
	late := []int64{}
	for token, pending := range replica.confirmations {
		if now > pending.deadline {
			late = append(late, token)
		}
	}
	slices.Sort(late)
	for _, token := range late {
		delete(replica.confirmations, token)
		replica.emit(Confirmed{Token: token})
	}
}
