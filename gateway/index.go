package gateway

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/index"
)

// indexReplicas returns the control nodes that are asked for places. The owner of the index is the first live control node in the rendezvous order.
// If it is in another region, the replica is the first one in this node's zone, or else in its region. A member without a name stands for none.
func (node *Node) indexReplicas(now time.Duration) (owner, replica contract.Member) {
	controls, self := map[string]contract.Member{}, node.Self()
	for _, member := range node.Neighbours.Members(now) {
		if member.Kind == contract.KindControl {
			controls[member.Name] = member
		}
	}
	for rank, name := range contract.RendezvousOrder("index", slices.Collect(maps.Keys(controls))) {
		member := controls[name]
		if rank == 0 {
			owner = member
		}
		if owner.Region == self.Region {
			return owner, contract.Member{}
		}
		if member.Region == self.Region && (replica.Name == "" || replica.Zone != self.Zone && member.Zone == self.Zone) {
			replica = member
		}
	}
	return owner, replica
}

// reportPlaceUses tells the router whether the index can be reached, and the owner of the index which places were used and what their calls showed.
func (node *Node) reportPlaceUses(now time.Duration) {
	if now < node.nextIndexUpdate {
		return
	}
	node.nextIndexUpdate = now + node.listRequestInterval()
	owner, replica := node.indexReplicas(now)
	if reachability := (IndexReachability{OwnerKnown: owner.Name != "", ReplicaNear: replica.Name != ""}); reachability != node.indexReachability {
		node.indexReachability = reachability
		node.emit(Update{reachability})
	}
	if uses := node.reports.TakePlaceUses(); owner.Name != "" && len(uses) > 0 {
		node.emit(contract.Send{To: owner.Address, Kind: index.MessageUsage, Body: index.Usage{Address: node.Self().Address, Uses: uses,
			Results: index.Results(now, node.Bounds.Withdraw()/2, uses)}})
	}
}

// forwardPlaceQuery sends a place query to the owner of the index, or to the nearby replica if Ask.Known is set, and refuses it if there is none.
func (node *Node) forwardPlaceQuery(now time.Duration, query AskPlace) {
	target, replica := node.indexReplicas(now)
	reason := "no owner of the index is known"
	if query.Ask.Known {
		target, reason = replica, "no replica of the index is near"
	}
	body, err := json.Marshal(query.Ask)
	if target.Name == "" || err != nil {
		node.emit(contract.ErrorResponse(query.Token, 503, reason, 0))
		return
	}
	if query.Ask.Known {
		node.emit(contract.AddCounter{Name: "places_asked_near", Delta: 1})
	}
	node.emit(contract.Forward{Request: contract.OperatorRequest{Token: query.Token, Verb: contract.VerbPlace, Body: body}, Address: target.Address})
}
