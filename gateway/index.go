package gateway

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/index"
)

// keepers gives the control nodes that are asked for places. The owner of the index is the first live one in the agreed order. If it is
// in another region, the near replica is the first of the own zone, or else of the own region. One without a name is not there.
func (node *Node) keepers(now time.Duration) (owner, near contract.Member) {
	controls, self := map[string]contract.Member{}, node.Self()
	for _, member := range node.Neighbours.Members(now) {
		if member.Kind == contract.KindControl {
			controls[member.Name] = member
		}
	}
	for place, name := range contract.RendezvousOrder("index", slices.Collect(maps.Keys(controls))) {
		member := controls[name]
		if place == 0 {
			owner = member
		}
		if owner.Region == self.Region {
			return owner, contract.Member{}
		}
		if member.Region == self.Region && (near.Name == "" || near.Zone != self.Zone && member.Zone == self.Zone) {
			near = member
		}
	}
	return owner, near
}

// tellIndex tells the owner of the calls whether there is somebody to ask, and the owner of the index what was sent where.
func (node *Node) tellIndex(now time.Duration) {
	if now < node.nextTell {
		return
	}
	node.nextTell = now + node.askEvery()
	owner, near := node.keepers(now)
	if told := (Indexed{Known: owner.Name != "", Near: near.Name != ""}); told != node.indexed {
		node.indexed = told
		node.emit(Update{told})
	}
	if uses := node.known.Uses(); owner.Name != "" && len(uses) > 0 {
		node.emit(contract.Send{To: owner.Address, Kind: index.MessageUsage, Body: index.Usage{Address: node.Self().Address, Uses: uses,
			Results: index.Results(now, node.Bounds.Withdraw()/2, uses)}})
	}
}

func (node *Node) askPlace(now time.Duration, ask AskPlace) {
	keeper, near := node.keepers(now)
	err := "no owner of the index is known"
	if ask.Ask.Known {
		keeper, err = near, "no replica of the index is near"
	}
	body, failure := json.Marshal(ask.Ask)
	if keeper.Name == "" || failure != nil {
		node.emit(contract.ErrorResponse(ask.Token, 503, err, 0))
		return
	}
	if ask.Ask.Known {
		node.emit(contract.AddCounter{Name: "places_asked_near", Delta: 1})
	}
	node.emit(contract.Forward{Request: contract.OperatorRequest{Token: ask.Token, Verb: contract.VerbPlace, Body: body}, Address: keeper.Address})
}
