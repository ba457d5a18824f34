package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// BootstrapVoteQuery asks a member which bootstrap proposal it has synced. BootstrapVote answers with the view of the proposal.
//
// Members that restart after all of them accepted a first view, but before any of them recorded it as decided, would otherwise wait forever.
// A majority that still holds the same vote suffices: a different first view would need the vote of each of these members. Where a majority of
// the founders decides, the votes have to be for one ballot.
type BootstrapVoteQuery struct {
	Node contract.CoreNode `json:"node"`
}

// BootstrapVote answers a BootstrapVoteQuery.
type BootstrapVote struct {
	Node   contract.CoreNode `json:"node"`
	View   contract.View     `json:"view"`
	Ballot Ballot            `json:"ballot"`
}

// queryBootstrapVotes asks the peers for their votes if this member has accepted a proposal and does not know whether it was decided.
func (replica *Replica) queryBootstrapVotes(now time.Duration) {
	accepted := replica.syncedBootstrap()
	if accepted == nil || now-replica.bootstrapVotesQueried < replica.bounds.Round() || now-replica.startedAt < replica.bounds.Lease() {
		return
	}
	replica.bootstrapVotesQueried, replica.bootstrapVotes = now, map[string]bool{replica.self.Identity(): true}
	replica.sendOthers(accepted.View.Core, MessageBootstrapVoteQuery, BootstrapVoteQuery{Node: replica.self})
}

// syncedBootstrap returns the proposal that this member has accepted and synced, or nil.
func (replica *Replica) syncedBootstrap() *BootstrapProposal {
	if accepted := replica.bootstrapAccepted; accepted != nil && replica.bootstrapSynced == accepted.Ballot {
		return accepted
	}
	return nil
}

func (replica *Replica) handleBootstrapVoteQuery(request BootstrapVoteQuery) {
	if replica.view.Number > 0 {
		replica.send(request.Node, MessageNewView, replica.view)
		return
	}
	if accepted := replica.syncedBootstrap(); accepted != nil {
		replica.send(request.Node, MessageBootstrapVote, BootstrapVote{Node: replica.self, View: accepted.View, Ballot: accepted.Ballot})
	}
}

func (replica *Replica) handleBootstrapVote(now time.Duration, vote BootstrapVote) {
	accepted := replica.syncedBootstrap()
	if accepted == nil || vote.View.Number != accepted.View.Number || !sameCore(vote.View, accepted.View) {
		return
	}
	quorum := accepted.View.Majority()
	if replica.foundsByMajority() {
		if vote.Ballot != accepted.Ballot {
			return
		}
		quorum = replica.founderMajority()
	}
	replica.bootstrapVotes[vote.Node.Identity()] = true
	if len(replica.bootstrapVotes) >= quorum {
		replica.installBootstrap(now, *accepted)
	}
}
