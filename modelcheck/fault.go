package modelcheck

import (
	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/image"
)

// Fault is a defect injected at the boundary of the replicas (messages, disk, recovered state), to show that the checks would detect a
// defect of that kind. Its text is the name that commands accept and print.
type Fault string

// The faults that can be planted; the text of each says what goes wrong.
const (
	NoFault                    Fault = ""
	FaultVoteNotSynced         Fault = "a vote is told before it is synced"
	FaultVersionNotSynced      Fault = "a version is passed on before it is synced"
	FaultReadWithoutQuorum     Fault = "a read is answered without a quorum"
	FaultAcknowledgedByHead    Fault = "a write is acknowledged by the head alone"
	FaultStaleViewConfirmed    Fault = "a member vouches for a view that it has left"
	FaultJoinedBeforeCaughtUp  Fault = "a member joins the chain before it caught up"
	FaultIdentityKeptAfterWipe Fault = "a member keeps its identity though it lost its disk"
	FaultVoteCountedTwice      Fault = "one member's vote counts for two"
	FaultNoLogMatching         Fault = "a version is taken without the one before it"
	FaultStaleVersionKept      Fault = "a version that was left behind stays in the folder"
	FaultSameIncarnation       Fault = "a start can't be told from the one before it"
	FaultPromiseForgotten      Fault = "a member that starts again has forgotten its promise and its vote"
	FaultFounderForgets        Fault = "a founder that starts again has forgotten its promise and its vote"
	FaultAmnesiacFounds        Fault = "a founder that lost its disk votes again"
)

// Faults returns all faults that can be planted.
func Faults() []Fault {
	return []Fault{FaultVoteNotSynced, FaultVersionNotSynced, FaultReadWithoutQuorum, FaultAcknowledgedByHead, FaultStaleViewConfirmed, FaultJoinedBeforeCaughtUp,
		FaultIdentityKeptAfterWipe, FaultVoteCountedTwice, FaultNoLogMatching, FaultStaleVersionKept, FaultSameIncarnation, FaultPromiseForgotten,
		FaultFounderForgets, FaultAmnesiacFounds}
}

// rewrite alters a message that a member sends, for the faults that show in messages; other messages pass unchanged.
func (fault Fault) rewrite(cluster *Cluster, sender *member, body any) any {
	switch body := body.(type) {
	case chain.ViewCheck:
		if fault == FaultStaleViewConfirmed && body.Responder.Name != "" {
			body.Current = true
			return body
		}
	case chain.Promise:
		if fault == FaultJoinedBeforeCaughtUp {
			return claimCaughtUp(cluster, body)
		}
		if fault == FaultVoteCountedTwice {
			body.Node = cluster.randomMember(body.Node)
			return body
		}
	case chain.Accepted:
		if fault == FaultVoteCountedTwice {
			body.Node = cluster.randomMember(body.Node)
			return body
		}
	case chain.Replicate:
		if fault == FaultNoLogMatching || fault == FaultJoinedBeforeCaughtUp {
			body.Previous = contract.Position{}
			return body
		}
	}
	return body
}

// randomMember returns a random running member in place of node, or node itself if the drawn one is down.
func (cluster *Cluster) randomMember(node contract.CoreNode) contract.CoreNode {
	if other := cluster.members[cluster.random.IntN(len(cluster.members))]; other.isUp() {
		return other.replica.Self()
	}
	return node
}

// claimCaughtUp makes a promise claim the newest version that any running member holds, as if its sender lacked nothing.
func claimCaughtUp(cluster *Cluster, promise chain.Promise) chain.Promise {
	for _, member := range cluster.members {
		if !member.isUp() {
			continue
		}
		if versions := member.replica.Versions(); len(versions) > 0 && versions[len(versions)-1].Position.Revision > promise.LastSynced {
			promise.LastSynced, promise.Digest, promise.Missing = versions[len(versions)-1].Position.Revision, versions[len(versions)-1].Digest, 0
		}
	}
	return promise
}

// retainedIdentity returns the member record from a disk with its votes cleared, so that only identity and view remain. It returns nil if
// there is none.
func retainedIdentity(disk *disk) *chain.MemberRecord {
	recovered, err := image.Load(disk)
	if err != nil || recovered.Member.ID == "" {
		return nil
	}
	record := recovered.Member
	record.Promised, record.Accepted = chain.Ballot{}, nil
	return &record
}
