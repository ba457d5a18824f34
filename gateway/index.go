package gateway

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/index"
)

// indexOwner gives the control node that keeps the index: the first live one in the agreed order.
func (node *Node) indexOwner(now time.Duration) (contract.Member, bool) {
	names := []string{}
	for _, member := range node.Neighbours.Members(now) {
		if member.Kind == contract.KindControl {
			names = append(names, member.Name)
		}
	}
	if len(names) == 0 {
		return contract.Member{}, false
	}
	return node.Neighbours.Look(contract.Ordered("index", names)[0])
}

// tellIndex tells the owner of the calls whether there is somebody to ask, and the owner of the index what was sent where.
func (node *Node) tellIndex(now time.Duration) {
	if now < node.nextTell {
		return
	}
	node.nextTell = now + node.askEvery()
	owner, there := node.indexOwner(now)
	if there != node.indexed {
		node.indexed = there
		node.emit(Update{Indexed{Known: there}})
	}
	if uses := node.known.Uses(); there && len(uses) > 0 {
		node.emit(contract.Send{To: owner.Address, Kind: index.LetterUsed, Body: index.Used{Address: node.Self().Address, Uses: uses}})
	}
}

func (node *Node) askPlace(now time.Duration, ask AskPlace) {
	owner, there := node.indexOwner(now)
	body, failure := json.Marshal(ask.Ask)
	if !there || failure != nil {
		node.emit(contract.Refuse(ask.Token, 503, "no owner of the index is known", 0))
		return
	}
	node.emit(contract.Forward{Ask: contract.Ask{Token: ask.Token, Verb: contract.VerbPlace, Body: body}, Address: owner.Address})
}
