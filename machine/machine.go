// Package machine implements what control nodes and data nodes have in common: membership by gossip, replication of the manifest feed, detection
// of process freezes, and messages through relays.
package machine

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/feed"
	"github.com/cedarreel/cedarreel/neighbour"
	"github.com/cedarreel/cedarreel/relay"
)

// Node is the common part of a control node and a data node, which embed it. It is a state machine without I/O: Handle takes an event and returns
// the commands to carry out. It is not safe for concurrent use.
type Node struct {
	// Bounds are the time limits from the settings.
	Bounds env.Bounds
	// Neighbours holds the membership of the fleet.
	Neighbours *neighbour.Membership
	// Feed follows the versions of the manifest and the view of the chain.
	Feed *feed.Replicator
	// Random is the source of all random choices; tests and the emulator seed it.
	Random   *rand.Rand
	lastTick time.Duration
	ticked   bool
}

// New returns a node of a kind (contract.KindControl or contract.KindData). Boot identifies this start of the process. The other process of the
// same machine, if the settings name one, is used as an additional seed.
func New(settings env.Env, kind, boot string, random *rand.Rand) *Node {
	address, sibling := settings.Data, settings.Control
	if kind == contract.KindControl {
		address, sibling = sibling, address
	}
	member := contract.Member{Name: settings.Name + "-" + kind, Boot: boot, Kind: kind, Zone: settings.Zone, Region: settings.Region, Address: address}
	seeds := slices.Clone(settings.Seeds)
	if sibling != "" {
		seeds = append(seeds, sibling)
	}
	return &Node{Bounds: settings.Bounds, Neighbours: neighbour.New(member, seeds, settings.Bounds, random),
		Feed: feed.New(address, settings.Bounds), Random: random}
}

// DetectFreeze returns how long the process was frozen before this event, or 0. A freeze is a gap since the last tick that exceeds Bounds.Freeze;
// membership is told of it, so that silence during the freeze is not held against other members.
func (node *Node) DetectFreeze(now time.Duration) time.Duration {
	gap := now - node.lastTick
	if !node.ticked || gap <= node.Bounds.Freeze() {
		return 0
	}
	node.lastTick = now
	node.Neighbours.ResumeAfterFreeze(now, gap)
	return gap
}

// Handle processes an event for membership and the feed. A tick also publishes gauges and asks other members for versions that are missing here.
func (node *Node) Handle(now time.Duration, event contract.Event) []contract.Command {
	commands := []contract.Command{}
	if _, tick := event.(contract.Tick); tick {
		node.lastTick, node.ticked = now, true
		self := node.Neighbours.Self()
		node.Neighbours.SetState(node.Feed.Version().Position, node.Feed.View().Number, self.Core)
		commands = append(commands, contract.SetGauge{Name: "manifest_revision", Value: node.Feed.Version().Position.Revision},
			contract.SetGauge{Name: "view", Value: node.Feed.View().Number}, contract.SetGauge{Name: "members", Value: int64(len(node.Neighbours.Members(now)))})
		commands = append(commands, node.Feed.Bootstrap(now, node.Neighbours.Seeds())...)
		commands = append(commands, node.Feed.CatchUp(now, node.Neighbours.Members(now), node.Neighbours.DirectPeers(now), node.Random)...)
	}
	commands = append(commands, node.Neighbours.Handle(now, event)...)
	return append(commands, node.Feed.Handle(now, event, node.Neighbours.ActiveAddresses())...)
}

// HandleRelayed passes an event to a handler. A message that came through relays is taken out of its envelope first, and the handler's answers to
// its sender return by the same relays. A message that this node only relays is forwarded without the handler.
func (node *Node) HandleRelayed(now time.Duration, event contract.Event, handle func(time.Duration, contract.Event) []contract.Command) []contract.Command {
	message, isMessage := event.(contract.Message)
	switch {
	case isMessage && message.Kind == relay.MessageForward:
		return relay.Forward(node.Self(), message, func(address string) bool { return node.isMember(now, address) })
	case isMessage && message.Kind == relay.MessageDeliver:
		inner, envelope, valid := relay.Unwrap(message)
		if !valid {
			return []contract.Command{contract.AddCounter{Name: "messages_broken", Delta: 1}}
		}
		return relay.RouteReplies(node.Self(), envelope, handle(now, inner))
	}
	return handle(now, event)
}

func (node *Node) isMember(now time.Duration, address string) bool {
	return slices.ContainsFunc(node.Neighbours.Members(now), func(member contract.Member) bool { return member.Address == address })
}

// maxParallelRelays is the number of routes by which one message is sent to a member that does not answer.
const maxParallelRelays = 3

// SendByRelay sends a message to a target that does not answer directly through other members: by the given route, or, if that is empty, by
// several random routes. Without a route, an even number of failures selects routes of one relay and an odd number routes of two.
func (node *Node) SendByRelay(now time.Duration, target contract.Member, send contract.Send, route string, failures int) []contract.Command {
	routes := []string{route}
	switch {
	case route != "":
	case failures%2 == 0:
		routes = node.ChooseRelays(now, target, maxParallelRelays)
	default:
		routes = node.ChooseTwoHopRoutes(now, target, maxParallelRelays)
	}
	commands := []contract.Command{contract.AddCounter{Name: "relays_asked", Delta: int64(len(routes))}}
	for _, route := range routes {
		commands = append(commands, relay.Wrap(route, node.Self(), send)...)
	}
	return commands
}

// ChooseTwoHopRoutes returns random routes over two relays. The first route goes over a member of this node's zone, which this node likely reaches,
// and a member of the target's zone, which likely reaches the target; the other routes go over any members.
func (node *Node) ChooseTwoHopRoutes(now time.Duration, target contract.Member, limit int) []string {
	routes := []string{}
	firstHops := slices.DeleteFunc(node.ChooseRelays(now, node.Self(), limit+1), func(address string) bool { return address == target.Address })
	secondHops := node.ChooseRelays(now, target, limit)
	for index := range min(limit, len(firstHops), len(secondHops)) {
		if firstHops[index] != secondHops[index] {
			routes = append(routes, relay.Route(firstHops[index], secondHops[index]))
		}
	}
	return routes
}

// ChooseRelays returns the addresses of random members that may reach a target which this node does not reach: first one in the target's zone, where
// most links to the target are, then others of any zone. Members on this machine or on the target's share its links and are left out.
func (node *Node) ChooseRelays(now time.Duration, target contract.Member, limit int) []string {
	ownMachine, targetMachine := contract.MachineOf(node.Self().Name), contract.MachineOf(target.Name)
	inTargetZone, others := []string{}, []string{}
	for _, member := range node.Neighbours.Members(now) {
		switch memberMachine := contract.MachineOf(member.Name); {
		case memberMachine == ownMachine || memberMachine == targetMachine:
		case member.Zone == target.Zone:
			inTargetZone = append(inTargetZone, member.Address)
		default:
			others = append(others, member.Address)
		}
	}
	for _, group := range [][]string{inTargetZone, others} {
		node.Random.Shuffle(len(group), func(left, right int) { group[left], group[right] = group[right], group[left] })
	}
	chosen := inTargetZone[:min(1, len(inTargetZone))]
	rest := slices.Concat(others, inTargetZone[len(chosen):])
	return slices.Concat(chosen, rest[:min(max(0, limit-len(chosen)), len(rest))])
}

// Self returns this node's own membership entry.
func (node *Node) Self() contract.Member { return node.Neighbours.Self() }

// Name returns the name of the machine that a member runs on.
func Name(member contract.Member) string {
	return strings.TrimSuffix(member.Name, "-"+member.Kind)
}
