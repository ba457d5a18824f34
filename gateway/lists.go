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

// list is what this node holds of one shard's list of servers. All times are this node's own monotonic ones.
type list struct {
	epoch   contract.Epoch
	highest contract.Epoch
	number  int64
	// asked is when the question was sent whose answer last said that this is the list: since then it is not confirmed.
	asked time.Duration
	hint  string
	held  bool
	// interim is when the list was asked for that stands in until an owner's comes, 0 without one.
	interim time.Duration
	detour  machine.RelayPath
	// relayed is when relays were asked last.
	relayed time.Duration
	// overdue tells that the list was said to be unconfirmed for too long.
	overdue bool
}

// askEvery is the time between two questions for a list: a part of the bound for withdrawing a server.
func (node *Node) askEvery() time.Duration { return node.Bounds.Withdraw() / 8 }

func (node *Node) ask(now time.Duration) {
	if now < node.nextAsk || !node.Feed.Known() {
		return
	}
	node.nextAsk = now + node.askEvery()
	if !node.complete() {
		node.nextAsk = now + node.askEvery()/5
	}
	members, read := node.Neighbours.Members(now), node.Feed.Manifest()
	for _, region := range manifest.SortedKeys(read.Regions) {
		shards := read.Regions[region].Shards
		if node.lists[region] == nil {
			node.lists[region], node.servers[region] = map[int]*list{}, map[int][]contract.Candidate{}
		}
		for index := range node.lists[region] {
			if index >= shards {
				delete(node.lists[region], index)
				delete(node.servers[region], index)
			}
		}
		for index := 0; index < shards; index++ {
			if node.lists[region][index] == nil {
				node.lists[region][index] = &list{}
			}
			node.askOne(now, members, region, index, shards)
		}
	}
}

// complete tells whether every region's lists are here.
func (node *Node) complete() bool {
	for _, lists := range node.lists {
		for _, held := range lists {
			if !held.held {
				return false
			}
		}
	}
	return len(node.lists) > 0
}

func (node *Node) askOne(now time.Duration, members []contract.Member, region string, index, shards int) {
	held, self := node.lists[region][index], node.Self()
	ask := contract.LeaseRequest{Node: self.Name, Address: self.Address, Region: region, Shard: index, SentAt: now,
		HighestEpoch: held.highest, Number: held.number, Calls: node.known.Calls(region), StaleIndexes: node.known.Stale(region),
		Tallies: node.known.Tallies(now, region), CallObservations: node.known.Observed(now, region), ShardCount: shards, OmitUnchanged: held.held,
		Interim: !held.held && (held.interim == 0 || now-held.interim >= node.askEvery())}
	owners := node.ownersOf(members, held, region, index)
	for _, owner := range owners {
		node.emit(contract.Send{To: owner.Address, Kind: shard.MessageLeaseRequest, Body: ask})
	}
	if ask.Interim {
		node.askStandIn(members, owners, ask)
		return
	}
	node.askByRelay(now, held, owners, ask)
	if node.silent(now, held) {
		node.askNotices(members, owners, ask)
	}
}

// ownersOf gives who may own a shard: the first one in the agreed order, and whom a control node named instead of itself.
func (node *Node) ownersOf(members []contract.Member, held *list, region string, index int) []contract.Member {
	owners := []contract.Member{}
	for _, name := range []string{shard.PreferredOwner(members, region, index), held.hint} {
		member, there := node.Neighbours.Lookup(name)
		if name != "" && there && !slices.ContainsFunc(owners, func(owner contract.Member) bool { return owner.Name == name }) {
			owners = append(owners, member)
		}
	}
	return owners
}

// askStandIn asks some other control node, or a seed while none is known, for what it would list itself.
func (node *Node) askStandIn(members, owners []contract.Member, ask contract.LeaseRequest) {
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

// silentAfter, in halves of the time between two questions, is the age of a list from which its owner counts as silent: the answer to the
// question before the last one is missing.
const silentAfter = 3

func (node *Node) silent(now time.Duration, held *list) bool {
	return now-held.asked > silentAfter*node.askEvery()/2
}

// askByRelay asks the owners by way of other members when no answer comes: membership may tell that an owner is alive while the link to
// it is cut.
func (node *Node) askByRelay(now time.Duration, held *list, owners []contract.Member, ask contract.LeaseRequest) {
	if now-held.relayed < node.askEvery() {
		return
	}
	route, tried, needed := held.detour.Next(node.silent(now, held))
	if !needed {
		return
	}
	held.relayed = now
	if route == "" {
		node.emit(contract.Log{Message: "list asked for by relays", Attributes: []any{"region", ask.Region, "shard", ask.Shard, "number", held.number,
			"epoch", held.highest, "ageMs", (now - held.asked).Milliseconds(), "tried", tried, "owners", names(owners)}})
	}
	for _, owner := range owners {
		node.emit(node.SendByRelay(now, owner, contract.Send{To: owner.Address, Kind: shard.MessageLeaseRequest, Body: ask}, route, tried)...)
	}
}

// names gives the names of members in their order, split by commas.
func names(members []contract.Member) string {
	list := []string{}
	for _, member := range members {
		list = append(list, member.Name)
	}
	return strings.Join(list, ",")
}

// take accepts a list unless a higher epoch was seen; an older list of the same epoch changes nothing.
func (node *Node) take(now time.Duration, message contract.Message, lease contract.Lease) {
	held := node.lists[lease.Region][lease.Shard]
	if lease.Interim {
		node.takeInterim(held, message, lease)
		return
	}
	if held == nil || lease.Epoch.Before(held.highest) || lease.RequestSentAt > now {
		node.refused(held, message, lease)
		return
	}
	if lease.Epoch == held.highest && (lease.Number < held.number || lease.RequestSentAt < held.asked) {
		return
	}
	if lease.Unchanged && (lease.Epoch != held.epoch || lease.Number != held.number) {
		return
	}
	held.detour.RecordAnswer(message.ReturnRoute, held.asked == lease.RequestSentAt)
	held.highest, held.epoch, held.number, held.asked, held.hint = lease.Epoch, lease.Epoch, lease.Number, lease.RequestSentAt, ""
	node.confirmed(now, held, message, lease)
	if former := node.observed[lease.Region]; !maps.Equal(former.ShortPromptGapMs, lease.ShortPromptGapMs) || !maps.Equal(former.PrefillUsPerK, lease.PrefillUsPerK) {
		node.observed[lease.Region] = lease.CallObservations
		node.emit(Update{Observed{Region: lease.Region, CallObservations: lease.CallObservations}})
	}
	if lease.Unchanged {
		return
	}
	held.held = true
	node.list(message, lease)
}

// refused reports a list that was not accepted: one of a former owner, or of a shard that is not known.
func (node *Node) refused(held *list, message contract.Message, lease contract.Lease) {
	detail := []any{"region", lease.Region, "shard", lease.Shard, "from", message.From, "via", message.ReturnRoute, "epoch", lease.Epoch}
	if held != nil {
		detail = append(detail, "highest", held.highest)
	}
	node.emit(contract.AddCounter{Name: "lists_refused", Delta: 1}, contract.Log{Message: "list refused", Attributes: detail})
}

// takeInterim accepts what stands in for an owner's list, as long as this node has heard of no owner.
func (node *Node) takeInterim(held *list, message contract.Message, lease contract.Lease) {
	if held == nil || held.held || held.highest != (contract.Epoch{}) || lease.RequestSentAt <= held.interim {
		return
	}
	held.interim = lease.RequestSentAt
	node.list(message, lease)
}

// list puts a list of servers in force and reports by whom and by which relays it came.
func (node *Node) list(message contract.Message, lease contract.Lease) {
	count := node.use(lease.Region, lease.Shard, lease.Servers)
	node.emit(contract.Log{Message: "list", Attributes: []any{"region", lease.Region, "epoch", lease.Epoch.Number, "shard", lease.Shard, "number", lease.Number,
		"servers", count, "from", message.From, "via", message.ReturnRoute}})
}

// use puts servers of a shard in force and gives how many there are in its region.
func (node *Node) use(region string, index int, servers []contract.Candidate) int {
	node.servers[region][index] = servers
	all := []contract.Candidate{}
	for index := 0; index < len(node.lists[region]); index++ {
		all = append(all, node.servers[region][index]...)
	}
	node.emit(Update{Listed{Region: region, Servers: all}})
	return len(all)
}

// unconfirmedAfter is the age at which a list that is not confirmed is reported: half of the bound for withdrawing a server.
func (node *Node) unconfirmedAfter() time.Duration { return node.Bounds.Withdraw() / 2 }

// watchLists reports the age of the list that was confirmed longest ago, and each list that becomes overdue, with its owner as this node
// sees it.
func (node *Node) watchLists(now time.Duration) {
	oldest := time.Duration(0)
	for _, region := range manifest.SortedKeys(node.lists) {
		for index := range len(node.lists[region]) {
			held := node.lists[region][index]
			if !held.held {
				continue
			}
			age := now - held.asked
			oldest = max(oldest, age)
			if held.overdue || age < node.unconfirmedAfter() {
				continue
			}
			held.overdue = true
			owner := shard.PreferredOwner(node.Neighbours.Members(now), region, index)
			node.emit(contract.AddCounter{Name: "lists_unconfirmed", Delta: 1}, contract.Log{Message: "list is not confirmed", Attributes: []any{
				"region", region, "shard", index, "number", held.number, "ageMs", age.Milliseconds(), "owner", owner, "hint", held.hint}})
		}
	}
	node.emit(contract.SetGauge{Name: "list_age_ms", Value: oldest.Milliseconds()})
}

// confirmed notes that an owner's answer stands for the list, and reports that of a list that was overdue.
func (node *Node) confirmed(now time.Duration, held *list, message contract.Message, lease contract.Lease) {
	if !held.overdue {
		return
	}
	held.overdue = false
	node.emit(contract.Log{Message: "list is confirmed again", Attributes: []any{
		"region", lease.Region, "shard", lease.Shard, "number", lease.Number, "from", message.From, "via", message.ReturnRoute, "tookMs", (now - lease.RequestSentAt).Milliseconds()}})
}
