package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// FoundedAsk asks a member whether it has synced its yes to a first view; FoundedHeld answers with the view that it agreed to.
//
// Members that restart before any of them has written the view down that all agreed to would wait for ever otherwise. A majority that
// still holds the same yes is enough: another first view would need the yes of each of these members to that one instead.
type BootstrapVoteQuery struct {
	Node contract.CoreNode `json:"node"`
}

type BootstrapVote struct {
	Node contract.CoreNode `json:"node"`
	View contract.View     `json:"view"`
}

func (owner *Replica) queryBootstrapVotes(now time.Duration) {
	accepted := owner.syncedBootstrap()
	if accepted == nil || now-owner.bootstrapVotesQueried < owner.bounds.Round() || now-owner.startedAt < owner.bounds.Lease() {
		return
	}
	owner.bootstrapVotesQueried, owner.bootstrapVotes = now, map[string]bool{owner.self.Identity(): true}
	owner.sendOthers(accepted.View.Core, MessageBootstrapVoteQuery, BootstrapVoteQuery{Node: owner.self})
}

// syncedFoundation gives the first view that this member's folder agrees to, or nothing.
func (owner *Replica) syncedBootstrap() *BootstrapProposal {
	if accepted := owner.bootstrapAccepted; accepted != nil && owner.bootstrapSynced == accepted.Ballot {
		return accepted
	}
	return nil
}

func (owner *Replica) handleBootstrapVoteQuery(ask BootstrapVoteQuery) {
	if owner.view.Number > 0 {
		owner.send(ask.Node, MessageNewView, owner.view)
		return
	}
	if accepted := owner.syncedBootstrap(); accepted != nil {
		owner.send(ask.Node, MessageBootstrapVote, BootstrapVote{Node: owner.self, View: accepted.View})
	}
}

func (owner *Replica) handleBootstrapVote(now time.Duration, held BootstrapVote) {
	accepted := owner.syncedBootstrap()
	if accepted == nil || held.View.Number != accepted.View.Number || !sameCore(held.View, accepted.View) {
		return
	}
	owner.bootstrapVotes[held.Node.Identity()] = true
	if len(owner.bootstrapVotes) >= accepted.View.Majority() {
		owner.installBootstrap(now, *accepted)
	}
}
