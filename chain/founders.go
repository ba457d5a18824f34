package chain

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Where the founders of a blank fleet are set, a majority of them decides on the first view by single-decree Paxos: ballots, promises that are
// synced before they are told, and the value of the highest ballot that a majority is known to have accepted. A founder votes only if its
// folder is that of the first start of the fleet. One that has lost its folder, or has ended before it wrote to it, has no vote: what it
// promised is forgotten. It joins the view that the others decide. Without set founders all members have to agree.

// foundsByMajority reports whether a majority of set founders decides on the next view.
func (replica *Replica) foundsByMajority() bool {
	return replica.view.Number == 0 && len(replica.founders) > 0
}

// founderMajority returns how many founders are a majority.
func (replica *Replica) founderMajority() int { return len(replica.founders)/2 + 1 }

// bootstrapQuorum returns how many members have to promise and to accept.
func (replica *Replica) bootstrapQuorum(attempt *bootstrapAttempt) int {
	if replica.foundsByMajority() {
		return replica.founderMajority()
	}
	return len(attempt.peers)
}

// maxBootstrapDoublings bounds how often the time for an attempt is doubled.
const maxBootstrapDoublings = 3

// bootstrapLimit returns how long an attempt may take. Where a majority decides, it grows with each attempt that was given up, so that founders
// with slow disks or little processor time get done.
func (replica *Replica) bootstrapLimit() time.Duration {
	if !replica.foundsByMajority() {
		return replica.bounds.Round() * 2
	}
	return replica.bounds.Round() * 3 << min(replica.bootstrapsGivenUp, maxBootstrapDoublings)
}

// founderPatience is how long founders wait for one that they don't see.
func (replica *Replica) founderPatience() time.Duration { return replica.bounds.Return() / 4 }

// mayFound reports whether this founder starts an attempt to found the first view. Founders that come before it by name go first.
func (replica *Replica) mayFound(now time.Duration, peers []contract.CoreNode) bool {
	rank := slices.Index(peers, replica.self)
	if rank < 0 || len(peers) < replica.founderMajority() || !replica.isBlankFleet() {
		return false
	}
	age := now - replica.startedAt
	if len(peers) < len(replica.founders) && age < replica.founderPatience() {
		return false
	}
	return age >= replica.bounds.Lease()+time.Duration(rank)*2*replica.bounds.Round()
}

// proposalToRepeat returns the proposal that peers have accepted before and that may have been decided, or nil. Where a majority of the founders
// decides, it is the one with the highest ballot; where all peers have to agree, one for the same core.
func (replica *Replica) proposalToRepeat(attempt *bootstrapAttempt, own BootstrapProposal) *BootstrapProposal {
	var repeated *BootstrapProposal
	for _, node := range attempt.peers {
		accepted := attempt.promises[node.Identity()].Accepted
		if accepted == nil || accepted.Ballot.Number != attempt.ballot.Number {
			continue
		}
		if replica.foundsByMajority() && (repeated == nil || repeated.Ballot.Before(accepted.Ballot)) || !replica.foundsByMajority() && sameCore(accepted.View, own.View) {
			repeated = accepted
		}
	}
	return repeated
}

// waitingFor describes what a member without a core waits for.
type waitingFor struct {
	view           int64
	peers, of      int
	mayBootstrap   bool
	blankFleet     bool
	acceptedBallot Ballot
}

// logWaiting logs what keeps this member from a bootstrap whenever that changes.
func (replica *Replica) logWaiting(peers []contract.CoreNode) {
	waiting := waitingFor{view: replica.view.Number, peers: len(peers), of: replica.founderCount(), mayBootstrap: replica.mayBootstrap, blankFleet: replica.isBlankFleet(), acceptedBallot: replica.bootstrapSynced}
	if replica.waiting == waiting {
		return
	}
	replica.waiting = waiting
	replica.emit(contract.Log{Message: "no core", Attributes: []any{"view", waiting.view, "founders", waiting.peers, "of", waiting.of, "mayBootstrap", waiting.mayBootstrap,
		"blankFleet", waiting.blankFleet, "accepted", waiting.acceptedBallot}})
}

// SetFounders sets the addresses of the core machines that bootstrap a blank fleet. Other machines join the view that these agree on, until
// the core has its intended size. A member that was started first with other founders keeps those, since majorities of different sets may
// decide differently.
func (replica *Replica) SetFounders(addresses []string) {
	replica.founders = addresses
	if replica.recordedMayBootstrap && len(replica.recordedFounders) > 0 {
		replica.founders = replica.recordedFounders
	}
}

// AllowBootstrap sets whether this start may bootstrap a blank fleet. A member that was allowed to at its first start stays allowed until it
// has a view. A member that replaces another one or has lost its disk must not be allowed to: it only joins.
func (replica *Replica) AllowBootstrap(may bool) {
	replica.mayBootstrap = may || replica.recordedMayBootstrap
}
