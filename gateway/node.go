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

// Update is the command to pass an event to the Router.
type Update struct{ Event contract.Event }

// Lookup is the event that a client of a region and zone asks which data nodes it should send its calls to.
type Lookup struct {
	Token  int64
	Region string
	Zone   string
}

// Addresses is the answer to a Lookup: where data nodes take calls, as host and port.
type Addresses struct{ Addresses []string }

// AskPlace is the event that the Router wants a place query sent to the owner of the index, or with Ask.Known to the nearby replica. The body of the
// answer is an index.Placement.
type AskPlace struct {
	Token int64
	Ask   index.PlacementRequest
}

// Leave is the event that this node stops; the other members are told.
type Leave struct{}

// Node is the part of a data node that follows the manifest feed, membership, and the lists of servers that the owners of the shards send. What it
// learns goes to the Router in Update commands.
type Node struct {
	*machine.Node
	settings          env.Env
	reports           CallReports
	indexReachability IndexReachability
	// lists holds the state of each shard's list and serversByShard its servers, by region and shard.
	lists          map[string]map[int]*shardList
	serversByShard map[string]map[int][]contract.Candidate
	// observations is what all nodes together observe of their calls, by region, as the owners of the lists report it.
	observations map[string]contract.CallObservations
	// nextListRequest and nextIndexUpdate are when the next requests for lists and the next report of place uses are due.
	nextListRequest time.Duration
	nextIndexUpdate time.Duration
	// fleetNames are the data nodes that the Router was told last.
	fleetNames []string
	startedAt  time.Duration
	started    bool
	// pending are the commands that the current event has caused so far.
	pending []contract.Command
}

// CallReports gives access to what the Router knows of a region's servers, for the requests that the Node sends. The Router implements it.
type CallReports interface {
	// CallsInFlight returns the number of calls of this node at each server.
	CallsInFlight(region string) map[string]int64
	// StaleCaches returns the servers whose index entries are wrong, with the generation that this holds for.
	StaleCaches(region string) map[string]int64
	// Tallies returns the recent outcomes of calls at servers that failed or are watched.
	Tallies(now time.Duration, region string) map[string]contract.CallTally
	// Observations returns what this node observes of the calls that it sends to a region.
	Observations(now time.Duration, region string) contract.CallObservations
	// TakePlaceUses returns the uses of places in the index since the last call.
	TakePlaceUses() []index.Use
}

// NewNode returns a node that knows nothing yet. Boot identifies this start of the process.
func NewNode(settings env.Env, boot string, reports CallReports, random *rand.Rand) *Node {
	return &Node{Node: machine.New(settings, contract.KindData, boot, random), settings: settings, reports: reports,
		lists: map[string]map[int]*shardList{}, serversByShard: map[string]map[int][]contract.Candidate{}, observations: map[string]contract.CallObservations{}}
}

func (node *Node) emit(commands ...contract.Command) {
	node.pending = append(node.pending, commands...)
}

// Handle processes an event, which may have come through relays, and returns the commands to carry out.
func (node *Node) Handle(now time.Duration, event contract.Event) []contract.Command {
	return node.HandleRelayed(now, event, node.handle)
}

// handle processes an event that was taken out of its relay envelope.
func (node *Node) handle(now time.Duration, event contract.Event) []contract.Command {
	if !node.started {
		node.started, node.startedAt = true, now
	}
	node.pending = nil
	if gap := node.DetectFreeze(now); gap > 0 {
		node.emit(contract.AddCounter{Name: "woken", Delta: 1}, contract.Log{Message: "woken from a freeze", Attributes: []any{"ms", gap.Milliseconds()}})
	}
	for _, command := range node.Node.Handle(now, event) {
		if adopted, ok := command.(contract.VersionAdopted); ok {
			node.emit(Update{ConfigurationChanged{Manifest: node.Feed.Manifest()}})
			command = contract.Log{Message: "manifest in force", Attributes: []any{"revision", adopted.Version.Position.Revision}}
		}
		node.emit(command)
	}
	switch event := event.(type) {
	case contract.Tick:
		node.requestLists(now)
		node.checkListAges(now)
		node.reportFleet(now)
		node.reportPlaceUses(now)
	case contract.Message:
		node.handleMessage(now, event)
	case Lookup:
		node.emit(contract.Response{Token: event.Token, Status: 200, Body: node.lookup(now, event)})
	case AskPlace:
		node.forwardPlaceQuery(now, event)
	case Leave:
		node.emit(node.Neighbours.AnnounceLeave()...)
	}
	commands := node.pending
	node.pending = nil
	return commands
}

func (node *Node) handleMessage(now time.Duration, message contract.Message) {
	switch message.Kind {
	case shard.MessageLease:
		var lease contract.Lease
		if json.Unmarshal(message.Body, &lease) == nil {
			node.acceptLease(now, message, lease)
		}
	case shard.MessageServerNotices:
		var notices contract.DepartureNotice
		if json.Unmarshal(message.Body, &notices) == nil {
			node.applyNotices(message, notices)
		}
	case index.MessageMoved:
		var moved index.PlacementUpdate
		if json.Unmarshal(message.Body, &moved) == nil {
			node.emit(Update{PlacesMoved{Places: moved.Places}})
		}
	case shard.MessageNotOwner:
		var hint contract.NotOwner
		if json.Unmarshal(message.Body, &hint) == nil {
			if list := node.lists[hint.Region][hint.Shard]; list != nil {
				list.ownerHint = hint.Owner
			}
		}
	}
}

// reportFleet tells the Router which data nodes share the limits; suspected ones still count. It waits until this node has had the time to hear of
// them.
func (node *Node) reportFleet(now time.Duration) {
	if now-node.startedAt < node.settings.Gateway.Contact/4 {
		return
	}
	names := []string{}
	add := func(name string) {
		if member, found := node.Neighbours.Lookup(name); found && member.Kind == contract.KindData {
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
	if !slices.Equal(names, node.fleetNames) {
		node.fleetNames = names
		node.emit(Update{FleetChanged{Self: node.Self().Name, Names: names}})
	}
}

// minAddresses is the least number of addresses for which a lookup is answered from the caller's zone or region alone.
const minAddresses = 2

// lookup returns the serving nodes of the caller's zone; if these are too few, those of its region; else all.
func (node *Node) lookup(now time.Duration, lookup Lookup) Addresses {
	_, port := manifest.SplitAddress(node.settings.Gateway.Traffic)
	inZone, inRegion, everywhere := []string{}, []string{}, []string{}
	for _, member := range node.Neighbours.Members(now) {
		if member.Kind != contract.KindData || member.Position.Revision == 0 || member.Name == node.Self().Name && node.Neighbours.HasLeft() {
			continue
		}
		host, memberPort := manifest.SplitAddress(member.Address)
		if memberPort == "" {
			continue
		}
		address := host + ":" + port
		everywhere = append(everywhere, address)
		if member.Region == lookup.Region {
			inRegion = append(inRegion, address)
		}
		if member.Zone == lookup.Zone {
			inZone = append(inZone, address)
		}
	}
	chosen := inZone
	if len(chosen) < minAddresses {
		chosen = inRegion
	}
	if len(chosen) < minAddresses {
		chosen = everywhere
	}
	if len(chosen) > maxAddresses {
		node.Random.Shuffle(len(chosen), func(left, right int) { chosen[left], chosen[right] = chosen[right], chosen[left] })
		chosen = chosen[:maxAddresses]
	}
	return Addresses{chosen}
}

// maxAddresses limits the answer to a lookup.
const maxAddresses = 64
