package contract

import (
	"crypto/sha256"
	"encoding/hex"
)

// CoreNode is a member of the core, the group of nodes that replicates the manifest and whose majority decides on views. ID identifies the
// member's data folder: a member that restarts with its folder is the same member, and one that returns with an empty or damaged folder is
// a different one, since it has forgotten its promises and votes.
type CoreNode struct {
	Name    string `json:"name"`
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Identity returns the name by which views refer to the member.
func (node CoreNode) Identity() string { return node.Name + "#" + node.ID }

// View is a configuration of the core that a majority of the previous view's core decided on. Core are the members that vote on the next
// view. Chain are the identities of the members that replicate writes, from the head to the tail. Holders are the members that have every
// acknowledged write: the chain itself, or the last chain of two or more members while the current one has a single member, which
// acknowledges no writes. Number is 0 before the first view.
type View struct {
	Number  int64      `json:"number"`
	Core    []CoreNode `json:"core"`
	Chain   []string   `json:"chain"`
	Holders []string   `json:"holders"`
}

// Proposers returns the members that may propose the next view, in order of precedence: the chain, then the other holders.
func (view View) Proposers() []string {
	takers := append([]string{}, view.Chain...)
	for _, holder := range view.Holders {
		if view.ChainIndex(holder) < 0 {
			takers = append(takers, holder)
		}
	}
	return takers
}

// Node returns the member of the core with the given identity.
func (view View) Node(identity string) (CoreNode, bool) {
	for _, node := range view.Core {
		if node.Identity() == identity {
			return node, true
		}
	}
	return CoreNode{}, false
}

// Head returns the first member of the chain, which accepts writes and assigns revisions.
func (view View) Head() (CoreNode, bool) {
	if len(view.Chain) == 0 {
		return CoreNode{}, false
	}
	return view.Node(view.Chain[0])
}

// Tail returns the last member of the chain, which commits writes and answers reads.
func (view View) Tail() (CoreNode, bool) {
	if len(view.Chain) == 0 {
		return CoreNode{}, false
	}
	return view.Node(view.Chain[len(view.Chain)-1])
}

// ChainIndex returns the index of a member in the chain, 0 for the head, or -1 for a member outside of the chain.
func (view View) ChainIndex(identity string) int {
	for index, member := range view.Chain {
		if member == identity {
			return index
		}
	}
	return -1
}

// Majority returns the number of members of the core that form a quorum.
func (view View) Majority() int { return len(view.Core)/2 + 1 }

// MaxRecordBytes limits the records of one message.
const MaxRecordBytes = 1 << 20

// Digest returns the SHA-256 hash of the content in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
