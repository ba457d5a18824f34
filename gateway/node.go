package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
)

// Update hands what the node learned to the owner of the calls.
type Update struct{ Event contract.Event }

// Lookup asks which nodes a caller of a region and zone should go to.
type Lookup struct {
	Token  int64
	Region string
	Zone   string
}

// Addresses is the answer to a look-up: where nodes take calls, host and port.
type Addresses struct{ Addresses []string }

// AskPlace carries a question of the owner of the calls to the owner of the index, or with Ask.Known to the near replica; the answer
// has an index.Place as its body.
type AskPlace struct {
	Token int64
	Ask   index.Ask
}

// Leave tells the others that this node stops.
type Leave struct{}

type list struct {
	epoch   contract.Epoch
	highest contract.Epoch
	number  int64
	asked   time.Duration
	hint    string
	held    bool
	// interim is when the list was asked for that stands in until an owner's comes, 0 without one.
	interim time.Duration
}

// Node follows the feed and the lists of servers that the shards' owners give.
type Node struct {
	*machine.Node
	settings env.Env
	known    Known
	indexed  Indexed
	lists    map[string]map[int]*list
	servers  map[string]map[int][]contract.Candidate
	nextAsk  time.Duration
	nextTell time.Duration
	names    []string
	started  time.Duration
	begun    bool
	out      []contract.Command
}

// Known tells what the owner of the calls knows of a region's servers.
type Known interface {
	Calls(region string) map[string]int64
	Stale(region string) map[string]int64
	Tallies(now time.Duration, region string) map[string]contract.Tally
	// Uses gives what was sent to places of the index since it was last asked for.
	Uses() []index.Use
}

func NewNode(settings env.Env, boot string, known Known, random *rand.Rand) *Node {
	return &Node{Node: machine.New(settings, contract.KindData, boot, random), settings: settings, known: known,
		lists: map[string]map[int]*list{}, servers: map[string]map[int][]contract.Candidate{}}
}

func (node *Node) emit(commands ...contract.Command) { node.out = append(node.out, commands...) }

func (node *Node) Handle(now time.Duration, event contract.Event) []contract.Command {
	if !node.begun {
		node.begun, node.started = true, now
	}
	node.out = nil
	if gap := node.Woke(now); gap > 0 {
		node.emit(contract.Count{Name: "woken", By: 1}, contract.Say{What: "woken from a freeze", Detail: []any{"ms", gap.Milliseconds()}})
	}
	for _, command := range node.Node.Handle(now, event) {
		if adopted, fine := command.(contract.Adopted); fine {
			node.emit(Update{Configured{Manifest: node.Feed.Manifest()}})
			command = contract.Say{What: "manifest in force", Detail: []any{"revision", adopted.Version.Place.Revision}}
		}
		node.emit(command)
	}
	switch event := event.(type) {
	case contract.Tick:
		node.ask(now)
		node.tellFleet(now)
		node.tellIndex(now)
	case contract.Message:
		node.message(now, event)
	case Lookup:
		node.emit(contract.Answer{Token: event.Token, Status: 200, Body: node.lookup(now, event)})
	case AskPlace:
		node.askPlace(now, event)
	case Leave:
		node.emit(node.Neighbours.Farewell()...)
	}
	out := node.out
	node.out = nil
	return out
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
	ask := contract.LeaseRequest{Node: self.Name, Address: self.Address, Region: region, Shard: index, Asked: now,
		Highest: held.highest, Number: held.number, Calls: node.known.Calls(region), Stale: node.known.Stale(region),
		Tallies: node.known.Tallies(now, region), Shards: shards, Brief: held.held,
		Interim: !held.held && (held.interim == 0 || now-held.interim >= node.askEvery())}
	targets := []string{shard.First(members, region, index)}
	if held.hint != "" && !slices.Contains(targets, held.hint) {
		targets = append(targets, held.hint)
	}
	for _, name := range targets {
		if member, there := node.Neighbours.Look(name); there {
			node.emit(contract.Send{To: member.Address, Kind: shard.MessageAsk, Body: ask})
		}
	}
	if !ask.Interim && now-held.asked <= 3*node.askEvery() {
		return
	}
	others := []string{}
	for _, member := range members {
		if member.Kind == contract.KindControl && !slices.Contains(targets, member.Name) {
			others = append(others, member.Address)
		}
	}
	if ask.Interim && len(others) == 0 {
		others = node.Neighbours.Seeds()
	}
	if len(others) == 0 {
		return
	}
	kind := shard.MessageAround
	if ask.Interim {
		kind = shard.MessageAsk
	}
	node.emit(contract.Count{Name: "lists_asked_around", By: 1}, contract.Send{To: others[node.Random.IntN(len(others))], Kind: kind, Body: ask})
}

func (node *Node) message(now time.Duration, message contract.Message) {
	switch message.Kind {
	case shard.MessageLease:
		var lease contract.Lease
		if json.Unmarshal(message.Body, &lease) == nil {
			node.take(now, lease)
		}
	case index.MessageMoved:
		var moved index.Moved
		if json.Unmarshal(message.Body, &moved) == nil {
			node.emit(Update{Relocated{Places: moved.Places}})
		}
	case shard.MessageNotOwner:
		var hint contract.NotOwner
		if json.Unmarshal(message.Body, &hint) == nil {
			if held := node.lists[hint.Region][hint.Shard]; held != nil {
				held.hint = hint.Owner
			}
		}
	}
}

// take accepts a list unless a higher epoch was seen; an older list of the same epoch changes nothing.
func (node *Node) take(now time.Duration, lease contract.Lease) {
	held := node.lists[lease.Region][lease.Shard]
	if lease.Interim {
		node.takeInterim(held, lease)
		return
	}
	if held == nil || lease.Epoch.Before(held.highest) || lease.Asked > now {
		node.emit(contract.Count{Name: "lists_refused", By: 1})
		return
	}
	if lease.Epoch == held.highest && (lease.Number < held.number || lease.Asked < held.asked) {
		return
	}
	if lease.Same && (lease.Epoch != held.epoch || lease.Number != held.number) {
		return
	}
	held.highest, held.epoch, held.number, held.asked, held.hint = lease.Epoch, lease.Epoch, lease.Number, lease.Asked, ""
	if lease.Same {
		return
	}
	held.held = true
	node.list(lease)
}

// takeInterim accepts what stands in for an owner's list, as long as this node has heard of no owner.
func (node *Node) takeInterim(held *list, lease contract.Lease) {
	if held == nil || held.held || held.highest != (contract.Epoch{}) || lease.Asked <= held.interim {
		return
	}
	held.interim = lease.Asked
	node.list(lease)
}

func (node *Node) list(lease contract.Lease) {
	node.servers[lease.Region][lease.Shard] = lease.Servers
	all := []contract.Candidate{}
	for index := 0; index < len(node.lists[lease.Region]); index++ {
		all = append(all, node.servers[lease.Region][index]...)
	}
	node.emit(Update{Listed{Region: lease.Region, Servers: all}},
		contract.Say{What: "list", Detail: []any{"region", lease.Region, "epoch", lease.Epoch.Number, "number", lease.Number, "servers", len(all)}})
}

// tellFleet names the data nodes that share the limits; those that fell silent still count. It is told only when this node has had
// the time to hear of them.
func (node *Node) tellFleet(now time.Duration) {
	if now-node.started < node.settings.Gateway.Contact/4 {
		return
	}
	names := []string{}
	add := func(name string) {
		if member, there := node.Neighbours.Look(name); there && member.Kind == contract.KindData {
			names = append(names, name)
		}
	}
	for _, member := range node.Neighbours.Members(now) {
		add(member.Name)
	}
	for _, name := range node.Neighbours.Silent(now) {
		add(name)
	}
	slices.Sort(names)
	if !slices.Equal(names, node.names) {
		node.names = names
		node.emit(Update{Fleet{Self: node.Self().Name, Names: names}})
	}
}

const fewest = 2

// lookup gives the nodes of the caller's zone that serve, or those of its region, or all, when these are too few.
func (node *Node) lookup(now time.Duration, ask Lookup) Addresses {
	_, port := splitAddress(node.settings.Gateway.Traffic)
	zone, region, all := []string{}, []string{}, []string{}
	for _, member := range node.Neighbours.Members(now) {
		if member.Kind != contract.KindData || member.Place.Revision == 0 || member.Name == node.Self().Name && node.Neighbours.Left() {
			continue
		}
		host, known := splitAddress(member.Address)
		if known == "" {
			continue
		}
		address := host + ":" + port
		all = append(all, address)
		if member.Region == ask.Region {
			region = append(region, address)
		}
		if member.Zone == ask.Zone {
			zone = append(zone, address)
		}
	}
	chosen := zone
	if len(chosen) < fewest {
		chosen = region
	}
	if len(chosen) < fewest {
		chosen = all
	}
	if len(chosen) > mostAddresses {
		node.Random.Shuffle(len(chosen), func(left, right int) { chosen[left], chosen[right] = chosen[right], chosen[left] })
		chosen = chosen[:mostAddresses]
	}
	return Addresses{chosen}
}

const mostAddresses = 64
