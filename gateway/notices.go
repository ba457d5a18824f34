package gateway

import (
	"slices"
	"strings"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/shard"
)

// askNotices asks control nodes other than a silent owner which servers leave: the one on this machine, which no cut takes away, and one
// that is drawn.
func (node *Node) askNotices(members, owners []contract.Member, ask contract.LeaseRequest) {
	ask.DeparturesOnly = true
	others := []contract.Member{}
	for _, member := range members {
		if member.Kind == contract.KindControl && !slices.ContainsFunc(owners, func(owner contract.Member) bool { return owner.Name == member.Name }) {
			others = append(others, member)
		}
	}
	for place, member := range others {
		if machine.Name(member) == machine.Name(node.Self()) {
			node.emit(contract.Send{To: member.Address, Kind: shard.MessageLeaseRequest, Body: ask})
			others = slices.Delete(others, place, place+1)
			break
		}
	}
	if len(others) > 0 {
		node.emit(contract.Send{To: others[node.Random.IntN(len(others))].Address, Kind: shard.MessageLeaseRequest, Body: ask})
	}
}

// takeNotices takes servers that leave out of a list that is held. The owner's next list replaces what is left.
func (node *Node) takeNotices(message contract.Message, told contract.DepartureNotice) {
	held := node.servers[told.Region][told.Shard]
	left := slices.DeleteFunc(slices.Clone(held), func(server contract.Candidate) bool { return slices.Contains(told.Leaving, server.Name) })
	if len(left) == len(held) {
		return
	}
	node.use(told.Region, told.Shard, left)
	node.emit(contract.AddCounter{Name: "servers_noticed", Delta: int64(len(held) - len(left))},
		contract.Log{Message: "servers leave by notice", Attributes: []any{"region", told.Region, "shard", told.Shard, "servers", strings.Join(told.Leaving, ","), "from", message.From}})
}
