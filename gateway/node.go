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

// Node follows the feed and the lists of servers that the shards' owners give.
type Node struct {
	*machine.Node
	settings env.Env
	known    Known
	indexed  Indexed
	lists    map[string]map[int]*list
	servers  map[string]map[int][]contract.Candidate
	// observed is what all nodes together see of their calls, by region, as its owners tell it.
	observed map[string]contract.CallObservations
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
	Tallies(now time.Duration, region string) map[string]contract.CallTally
	// Observed gives what this node sees of the calls that it sends to a region.
	Observed(now time.Duration, region string) contract.CallObservations
	// Uses gives what was sent to places of the index since it was last asked for.
	Uses() []index.Use
}

func NewNode(settings env.Env, boot string, known Known, random *rand.Rand) *Node {
	return &Node{Node: machine.New(settings, contract.KindData, boot, random), settings: settings, known: known,
		lists: map[string]map[int]*list{}, servers: map[string]map[int][]contract.Candidate{}, observed: map[string]contract.CallObservations{}}
}

func (node *Node) emit(commands ...contract.Command) { node.out = append(node.out, commands...) }

func (node *Node) Handle(now time.Duration, event contract.Event) []contract.Command {
	return node.HandleRelayed(now, event, node.handle)
}

func (node *Node) handle(now time.Duration, event contract.Event) []contract.Command {
	if !node.begun {
		node.begun, node.started = true, now
	}
	node.out = nil
	if gap := node.DetectFreeze(now); gap > 0 {
		node.emit(contract.AddCounter{Name: "woken", Delta: 1}, contract.Log{Message: "woken from a freeze", Attributes: []any{"ms", gap.Milliseconds()}})
	}
	for _, command := range node.Node.Handle(now, event) {
		if adopted, fine := command.(contract.VersionAdopted); fine {
			node.emit(Update{Configured{Manifest: node.Feed.Manifest()}})
			command = contract.Log{Message: "manifest in force", Attributes: []any{"revision", adopted.Version.Position.Revision}}
		}
		node.emit(command)
	}
	switch event := event.(type) {
	case contract.Tick:
		node.ask(now)
		node.watchLists(now)
		node.tellFleet(now)
		node.tellIndex(now)
	case contract.Message:
		node.message(now, event)
	case Lookup:
		node.emit(contract.Response{Token: event.Token, Status: 200, Body: node.lookup(now, event)})
	case AskPlace:
		node.askPlace(now, event)
	case Leave:
		node.emit(node.Neighbours.AnnounceLeave()...)
	}
	out := node.out
	node.out = nil
	return out
}

func (node *Node) message(now time.Duration, message contract.Message) {
	switch message.Kind {
	case shard.MessageLease:
		var lease contract.Lease
		if json.Unmarshal(message.Body, &lease) == nil {
			node.take(now, message, lease)
		}
	case shard.MessageServerNotices:
		var told contract.DepartureNotice
		if json.Unmarshal(message.Body, &told) == nil {
			node.takeNotices(message, told)
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

// tellFleet names the data nodes that share the limits; those that fell silent still count. It is told only when this node has had
// the time to hear of them.
func (node *Node) tellFleet(now time.Duration) {
	if now-node.started < node.settings.Gateway.Contact/4 {
		return
	}
	names := []string{}
	add := func(name string) {
		if member, there := node.Neighbours.Lookup(name); there && member.Kind == contract.KindData {
			names = append(names, name)
		}
	}
	for _, member := range node.Neighbours.Members(now) {
		add(member.Name)
	}
	for _, name := range node.Neighbours.Suspected(now) {
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
	_, port := manifest.SplitAddress(node.settings.Gateway.Traffic)
	zone, region, all := []string{}, []string{}, []string{}
	for _, member := range node.Neighbours.Members(now) {
		if member.Kind != contract.KindData || member.Position.Revision == 0 || member.Name == node.Self().Name && node.Neighbours.HasLeft() {
			continue
		}
		host, known := manifest.SplitAddress(member.Address)
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
