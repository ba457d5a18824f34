package gateway

import (
	"slices"
	"strings"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/shard"
)

// requestNotices asks control nodes other than a silent owner which servers are leaving: the one on this machine, which no network cut separates, and
// a random other one.
func (node *Node) requestNotices(members, owners []contract.Member, ask contract.LeaseRequest) {
	ask.DeparturesOnly = true
	others := []contract.Member{}
	for _, member := range members {
		if member.Kind == contract.KindControl && !slices.ContainsFunc(owners, func(owner contract.Member) bool { return owner.Name == member.Name }) {
			others = append(others, member)
		}
	}
	for index, member := range others {
		if machine.Name(member) == machine.Name(node.Self()) {
			node.emit(contract.Send{To: member.Address, Kind: shard.MessageLeaseRequest, Body: ask})
			others = slices.Delete(others, index, index+1)
			break
		}
	}
	if len(others) > 0 {
		node.emit(contract.Send{To: others[node.Random.IntN(len(others))].Address, Kind: shard.MessageLeaseRequest, Body: ask})
	}
}

// applyNotices removes servers that are leaving from a list. The owner's next list replaces the result.
func (node *Node) applyNotices(message contract.Message, notices contract.DepartureNotice) {
	servers := node.serversByShard[notices.Region][notices.Shard]
	remaining := slices.DeleteFunc(slices.Clone(servers), func(server contract.Candidate) bool { return slices.Contains(notices.Leaving, server.Name) })
	if len(remaining) == len(servers) {
		return
	}
	node.setServers(notices.Region, notices.Shard, remaining)
	node.emit(contract.AddCounter{Name: "servers_noticed", Delta: int64(len(servers) - len(remaining))},
		contract.Log{Message: "servers leave by notice", Attributes: []any{"region", notices.Region, "shard", notices.Shard, "servers", strings.Join(notices.Leaving, ","), "from", message.From}})
}
