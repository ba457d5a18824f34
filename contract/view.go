package contract

import (
	"crypto/sha256"
	"encoding/hex"
)

// CoreNode is a member of the core. ID belongs to the member's disk: a member that restarts with its data folder is the same member,
// and one that comes back with an empty or damaged folder is another.
type CoreNode struct {
	Name    string `json:"name"`
	ID      string `json:"id"`
	Address string `json:"address"`
}

func (node CoreNode) Identity() string { return node.Name + "#" + node.ID }

// View is one agreed state of the core. Holders have every acknowledged write: the chain itself, or the last chain of two
// or more when this one has a single member and so acknowledges nothing.
type View struct {
	Number  int64      `json:"number"`
	Core    []CoreNode `json:"core"`
	Chain   []string   `json:"chain"`
	Holders []string   `json:"holders"`
}

// Takers are those who may propose the next view, in the agreed order.
func (view View) Proposers() []string {
	takers := append([]string{}, view.Chain...)
	for _, holder := range view.Holders {
		if view.ChainIndex(holder) < 0 {
			takers = append(takers, holder)
		}
	}
	return takers
}

func (view View) Node(identity string) (CoreNode, bool) {
	for _, node := range view.Core {
		if node.Identity() == identity {
			return node, true
		}
	}
	return CoreNode{}, false
}

func (view View) Head() (CoreNode, bool) {
	if len(view.Chain) == 0 {
		return CoreNode{}, false
	}
	return view.Node(view.Chain[0])
}

func (view View) Tail() (CoreNode, bool) {
	if len(view.Chain) == 0 {
		return CoreNode{}, false
	}
	return view.Node(view.Chain[len(view.Chain)-1])
}

func (view View) ChainIndex(identity string) int {
	for index, member := range view.Chain {
		if member == identity {
			return index
		}
	}
	return -1
}

func (view View) Majority() int { return len(view.Core)/2 + 1 }

// RecordsMost is how many bytes of versions one message carries.
const MaxRecordBytes = 1 << 20

func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
