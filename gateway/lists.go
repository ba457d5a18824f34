package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
)

// shardList is the list of servers of one shard as this node holds it. All times are this node's own monotonic ones.
type shardList struct {
	// epoch and number identify the list; highestEpoch is the highest epoch that a list was accepted from.
	epoch        contract.Epoch
	highestEpoch contract.Epoch
	number       int64
	// confirmedAsOf is when the request was sent whose answer last confirmed this list; later changes may be missing here.
	confirmedAsOf time.Duration
	// ownerHint is the member that a control node named as the owner instead of itself.
	ownerHint string
	// received says that a list of an owner has been received.
	received bool
	// interimAsOf is when the interim list was requested that is used until an owner's list arrives, 0 without one.
	interimAsOf time.Duration
	relayPath   machine.RelayPath
	// relayedAt is when the list was last requested through relays.
	relayedAt time.Duration
	// overdue says that the list was reported as unconfirmed for too long.
	overdue bool
}

// listRequestInterval is the time between two requests for a list: an eighth of the bound for withdrawing a server.
func (node *Node) listRequestInterval() time.Duration { return node.Bounds.Withdraw() / 8 }

// requestLists requests the lists of all shards when that is due, sooner while lists are missing, and adapts the set of lists to the shards of the
// manifest.
func (node *Node) requestLists(now time.Duration) {
	if now < node.nextListRequest || !node.Feed.HasVersion() {
		return
	}
	node.nextListRequest = now + node.listRequestInterval()
	if !node.hasAllLists() {
		node.nextListRequest = now + node.listRequestInterval()/5
	}
	members, current := node.Neighbours.Members(now), node.Feed.Manifest()
	for _, region := range manifest.SortedKeys(current.Regions) {
		shards := current.Regions[region].Shards
		if node.lists[region] == nil {
			node.lists[region], node.serversByShard[region] = map[int]*shardList{}, map[int][]contract.Candidate{}
		}
		for index := range node.lists[region] {
			if index >= shards {
				delete(node.lists[region], index)
				delete(node.serversByShard[region], index)
			}
		}
		for index := 0; index < shards; index++ {
			if node.lists[region][index] == nil {
				node.lists[region][index] = &shardList{}
			}
			node.requestList(now, members, region, index, shards)
		}
	}
}

// hasAllLists reports whether the lists of all shards of every region have been received.
func (node *Node) hasAllLists() bool {
	for _, lists := range node.lists {
		for _, list := range lists {
			if !list.received {
				return false
			}
		}
	}
	return len(node.lists) > 0
}

// requestList requests the list of one shard from its possible owners. While it has none, another control node is asked for an interim list; if the
// owner does not answer, the request also goes through relays, and other control nodes are asked for notices.
func (node *Node) requestList(now time.Duration, members []contract.Member, region string, index, shards int) {
	list, self := node.lists[region][index], node.Self()
	ask := contract.LeaseRequest{Node: self.Name, Address: self.Address, Region: region, Shard: index, SentAt: now,
		HighestEpoch: list.highestEpoch, Number: list.number, Calls: node.reports.CallsInFlight(region), StaleIndexes: node.reports.StaleCaches(region),
		Tallies: node.reports.Tallies(now, region), CallObservations: node.reports.Observations(now, region), ShardCount: shards, OmitUnchanged: list.received,
		Interim: !list.received && (list.interimAsOf == 0 || now-list.interimAsOf >= node.listRequestInterval())}
	owners := node.ownerCandidates(members, list, region, index)
	for _, owner := range owners {
		node.emit(contract.Send{To: owner.Address, Kind: shard.MessageLeaseRequest, Body: ask})
	}
	if ask.Interim {
		node.requestInterimList(members, owners, ask)
		return
	}
	node.requestByRelay(now, list, owners, ask)
	if node.isOwnerSilent(now, list) {
		node.requestNotices(members, owners, ask)
	}
}

// ownerCandidates returns the members that may own a shard: the first one in the rendezvous order, and the one that a control node named instead of
// itself.
func (node *Node) ownerCandidates(members []contract.Member, list *shardList, region string, index int) []contract.Member {
	owners := []contract.Member{}
	for _, name := range []string{shard.PreferredOwner(members, region, index), list.ownerHint} {
		member, found := node.Neighbours.Lookup(name)
		if name != "" && found && !slices.ContainsFunc(owners, func(owner contract.Member) bool { return owner.Name == name }) {
			owners = append(owners, member)
		}
	}
	return owners
}

// requestInterimList asks a random other control node, or a seed while none is known, for the list that it would make itself.
func (node *Node) requestInterimList(members, owners []contract.Member, ask contract.LeaseRequest) {
	others := []string{}
	for _, member := range members {
		if member.Kind == contract.KindControl && !slices.ContainsFunc(owners, func(owner contract.Member) bool { return owner.Name == member.Name }) {
			others = append(others, member.Address)
		}
	}
	if len(others) == 0 {
		others = node.Neighbours.Seeds()
	}
	if len(others) > 0 {
		node.emit(contract.AddCounter{Name: "lists_asked_around", Delta: 1},
			contract.Send{To: others[node.Random.IntN(len(others))], Kind: shard.MessageLeaseRequest, Body: ask})
	}
}

// silentAfterHalfIntervals is the age of a list, in halves of the request interval, from which its owner counts as silent: the answer to the request
// before the last one is missing.
const silentAfterHalfIntervals = 3

// isOwnerSilent reports whether answers of the owner of a list are missing.
func (node *Node) isOwnerSilent(now time.Duration, list *shardList) bool {
	return now-list.confirmedAsOf > silentAfterHalfIntervals*node.listRequestInterval()/2
}

// requestByRelay requests a list through other members if the owners do not answer: membership may know an owner to be alive while the direct link to
// it is cut.
func (node *Node) requestByRelay(now time.Duration, list *shardList, owners []contract.Member, ask contract.LeaseRequest) {
	if now-list.relayedAt < node.listRequestInterval() {
		return
	}
	route, failures, needed := list.relayPath.Next(node.isOwnerSilent(now, list))
	if !needed {
		return
	}
	list.relayedAt = now
	if route == "" {
		node.emit(contract.Log{Message: "list asked for by relays", Attributes: []any{"region", ask.Region, "shard", ask.Shard, "number", list.number,
			"epoch", list.highestEpoch, "ageMs", (now - list.confirmedAsOf).Milliseconds(), "tried", failures, "owners", joinNames(owners)}})
	}
	for _, owner := range owners {
		node.emit(node.SendByRelay(now, owner, contract.Send{To: owner.Address, Kind: shard.MessageLeaseRequest, Body: ask}, route, failures)...)
	}
}

// joinNames returns the names of members, separated by commas.
func joinNames(members []contract.Member) string {
	result := []string{}
	for _, member := range members {
		result = append(result, member.Name)
	}
	return strings.Join(result, ",")
}

// acceptLease accepts a list unless one of a higher epoch was seen. An older list of the same epoch changes nothing; a lease that only confirms a
// list (Same) must be about the list that is held.
func (node *Node) acceptLease(now time.Duration, message contract.Message, lease contract.Lease) {
	list := node.lists[lease.Region][lease.Shard]
	if lease.Interim {
		node.acceptInterimList(list, message, lease)
		return
	}
	if list == nil || lease.Epoch.Before(list.highestEpoch) || lease.RequestSentAt > now {
		node.reportRefusedList(list, message, lease)
		return
	}
	if lease.Epoch == list.highestEpoch && (lease.Number < list.number || lease.RequestSentAt < list.confirmedAsOf) {
		return
	}
	if lease.Unchanged && (lease.Epoch != list.epoch || lease.Number != list.number) {
		return
	}
	list.relayPath.RecordAnswer(message.ReturnRoute, list.confirmedAsOf == lease.RequestSentAt)
	list.highestEpoch, list.epoch, list.number, list.confirmedAsOf, list.ownerHint = lease.Epoch, lease.Epoch, lease.Number, lease.RequestSentAt, ""
	node.clearOverdue(now, list, message, lease)
	if previous := node.observations[lease.Region]; !maps.Equal(previous.ShortPromptGapMs, lease.ShortPromptGapMs) || !maps.Equal(previous.PrefillUsPerK, lease.PrefillUsPerK) {
		node.observations[lease.Region] = lease.CallObservations
		node.emit(Update{ObservationsChanged{Region: lease.Region, CallObservations: lease.CallObservations}})
	}
	if lease.Unchanged {
		return
	}
	list.received = true
	node.installList(message, lease)
}

// reportRefusedList logs a list that was not accepted: one of a former owner, of an unknown shard, or in answer to a request in the future.
func (node *Node) reportRefusedList(list *shardList, message contract.Message, lease contract.Lease) {
	detail := []any{"region", lease.Region, "shard", lease.Shard, "from", message.From, "via", message.ReturnRoute, "epoch", lease.Epoch}
	if list != nil {
		detail = append(detail, "highest", list.highestEpoch)
	}
	node.emit(contract.AddCounter{Name: "lists_refused", Delta: 1}, contract.Log{Message: "list refused", Attributes: detail})
}

// acceptInterimList accepts an interim list as long as this node has heard of no owner.
func (node *Node) acceptInterimList(list *shardList, message contract.Message, lease contract.Lease) {
	if list == nil || list.received || list.highestEpoch != (contract.Epoch{}) || lease.RequestSentAt <= list.interimAsOf {
		return
	}
	list.interimAsOf = lease.RequestSentAt
	node.installList(message, lease)
}

// installList puts a list of servers in force and logs who sent it and through which relays.
func (node *Node) installList(message contract.Message, lease contract.Lease) {
	serverCount := node.setServers(lease.Region, lease.Shard, lease.Servers)
	node.emit(contract.Log{Message: "list", Attributes: []any{"region", lease.Region, "epoch", lease.Epoch.Number, "shard", lease.Shard, "number", lease.Number,
		"servers", serverCount, "from", message.From, "via", message.ReturnRoute}})
}

// setServers puts the servers of a shard in force, tells the router all servers of the region, and returns how many these are.
func (node *Node) setServers(region string, index int, servers []contract.Candidate) int {
	node.serversByShard[region][index] = servers
	all := []contract.Candidate{}
	for index := 0; index < len(node.lists[region]); index++ {
		all = append(all, node.serversByShard[region][index]...)
	}
	node.emit(Update{ServersListed{Region: region, Servers: all}})
	return len(all)
}

// unconfirmedAfter is the age at which a list that is not confirmed is reported: half of the bound for withdrawing a server.
func (node *Node) unconfirmedAfter() time.Duration { return node.Bounds.Withdraw() / 2 }

// checkListAges publishes the age of the list that was confirmed longest ago, and logs each list that becomes overdue, with its owner as this node
// sees it.
func (node *Node) checkListAges(now time.Duration) {
	oldest := time.Duration(0)
	for _, region := range manifest.SortedKeys(node.lists) {
		for index := range len(node.lists[region]) {
			list := node.lists[region][index]
			if !list.received {
				continue
			}
			age := now - list.confirmedAsOf
			oldest = max(oldest, age)
			if list.overdue || age < node.unconfirmedAfter() {
				continue
			}
			list.overdue = true
			owner := shard.PreferredOwner(node.Neighbours.Members(now), region, index)
			node.emit(contract.AddCounter{Name: "lists_unconfirmed", Delta: 1}, contract.Log{Message: "list is not confirmed", Attributes: []any{
				"region", region, "shard", index, "number", list.number, "ageMs", age.Milliseconds(), "owner", owner, "hint", list.ownerHint}})
		}
	}
	node.emit(contract.SetGauge{Name: "list_age_ms", Value: oldest.Milliseconds()})
}

// clearOverdue logs that an owner has confirmed a list that was overdue.
func (node *Node) clearOverdue(now time.Duration, list *shardList, message contract.Message, lease contract.Lease) {
	if !list.overdue {
		return
	}
	list.overdue = false
	node.emit(contract.Log{Message: "list is confirmed again", Attributes: []any{
		"region", lease.Region, "shard", lease.Shard, "number", lease.Number, "from", message.From, "via", message.ReturnRoute, "tookMs", (now - lease.RequestSentAt).Milliseconds()}})
}
