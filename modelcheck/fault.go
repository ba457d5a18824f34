package modelcheck

import (
	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/image"
)

// Fault is a defect that is planted at the seams of the owners, to show that the search would find one like it.
type Fault string

const (
	NoFault               Fault = ""
	FaultVoteNotSynced    Fault = "a vote is told before it is synced"
	FaultVersionNotSynced Fault = "a version is passed on before it is synced"
	FaultReadAlone        Fault = "a read is answered without a quorum"
	FaultAckedAtHead      Fault = "a write is acknowledged by the head alone"
	FaultVouchesForOld    Fault = "a member vouches for a view that it has left"
	FaultCountedEarly     Fault = "a member joins the chain before it caught up"
	FaultIdentityKept     Fault = "a member keeps its identity though it lost its disk"
	FaultVoteTwice        Fault = "one member's vote counts for two"
	FaultNoLogMatching    Fault = "a version is taken without the one before it"
	FaultRemovalLost      Fault = "a version that was left behind stays in the folder"
	FaultStartsAlike      Fault = "a start can't be told from the one before it"
	FaultPromiseForgotten Fault = "a member that starts again has forgotten its promise and its vote"
)

// Faults are all that can be planted.
func Faults() []Fault {
	return []Fault{FaultVoteNotSynced, FaultVersionNotSynced, FaultReadAlone, FaultAckedAtHead, FaultVouchesForOld, FaultCountedEarly,
		FaultIdentityKept, FaultVoteTwice, FaultNoLogMatching, FaultRemovalLost, FaultStartsAlike, FaultPromiseForgotten}
}

// rewrite changes what a member sends, where that is how a fault shows.
func (fault Fault) rewrite(cluster *Cluster, sender *member, body any) any {
	switch body := body.(type) {
	case chain.ViewCheck:
		if fault == FaultVouchesForOld && body.Responder.Name != "" {
			body.Current = true
			return body
		}
	case chain.Promise:
		if fault == FaultCountedEarly {
			return caughtUp(cluster, body)
		}
		if fault == FaultVoteTwice {
			body.Node = cluster.anyone(body.Node)
			return body
		}
	case chain.Accepted:
		if fault == FaultVoteTwice {
			body.Node = cluster.anyone(body.Node)
			return body
		}
	case chain.Replicate:
		if fault == FaultNoLogMatching || fault == FaultCountedEarly {
			body.Previous = contract.Position{}
			return body
		}
	}
	return body
}

// anyone gives a member at random in the place of another.
func (cluster *Cluster) anyone(node contract.CoreNode) contract.CoreNode {
	if other := cluster.members[cluster.random.IntN(len(cluster.members))]; other.up() {
		return other.owner.Self()
	}
	return node
}

// caughtUp lets a promise claim all that its proposer has.
func caughtUp(cluster *Cluster, promise chain.Promise) chain.Promise {
	for _, member := range cluster.members {
		if !member.up() {
			continue
		}
		if versions := member.owner.Versions(); len(versions) > 0 && versions[len(versions)-1].Position.Revision > promise.LastSynced {
			promise.LastSynced, promise.Digest, promise.Missing = versions[len(versions)-1].Position.Revision, versions[len(versions)-1].Digest, 0
		}
	}
	return promise
}

// identityOf gives what is left of a member's record when its votes and versions are gone: the identity and the view.
func identityOf(disk *disk) *chain.MemberRecord {
	recovered, failure := image.Load(disk)
	if failure != nil || recovered.Member.ID == "" {
		return nil
	}
	record := recovered.Member
	record.Promised, record.Accepted = chain.Ballot{}, nil
	return &record
}
