// Package machine is what every node of cedarreel is: a member among neighbours that follows the feed.
package machine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/feed"
	"github.com/cedarreel/cedarreel/neighbour"
	"github.com/cedarreel/cedarreel/relay"
)

type Node struct {
	Bounds     env.Bounds
	Neighbours *neighbour.Owner
	Feed       *feed.Owner
	Random     *rand.Rand
	lastTick   time.Duration
	ticked     bool
}

func New(settings env.Env, kind, boot string, random *rand.Rand) *Node {
	address, sibling := settings.Data, settings.Control
	if kind == contract.KindControl {
		address, sibling = sibling, address
	}
	self := contract.Member{Name: settings.Name + "-" + kind, Boot: boot, Kind: kind, Zone: settings.Zone, Region: settings.Region, Address: address}
	seeds := slices.Clone(settings.Seeds)
	if sibling != "" {
		seeds = append(seeds, sibling)
	}
	return &Node{Bounds: settings.Bounds, Neighbours: neighbour.New(self, seeds, settings.Bounds, random),
		Feed: feed.New(address, settings.Bounds), Random: random}
}

// Woke tells the length of a freeze that ended with this event, or nothing.
func (node *Node) Woke(now time.Duration) time.Duration {
	gap := now - node.lastTick
	if !node.ticked || gap <= node.Bounds.Freeze() {
		return 0
	}
	node.lastTick = now
	node.Neighbours.Woke(now, gap)
	return gap
}

func (node *Node) Handle(now time.Duration, event contract.Event) []contract.Command {
	commands := []contract.Command{}
	if _, tick := event.(contract.Tick); tick {
		node.lastTick, node.ticked = now, true
		self := node.Neighbours.Self()
		node.Neighbours.Hold(node.Feed.Version().Position, node.Feed.View().Number, self.Core)
		commands = append(commands, contract.SetGauge{Name: "manifest_revision", Value: node.Feed.Version().Position.Revision},
			contract.SetGauge{Name: "view", Value: node.Feed.View().Number}, contract.SetGauge{Name: "members", Value: int64(len(node.Neighbours.Members(now)))})
		commands = append(commands, node.Feed.Begin(now, node.Neighbours.Seeds())...)
		commands = append(commands, node.Feed.Catch(now, node.Neighbours.Members(now), node.Neighbours.Near(now), node.Random)...)
	}
	commands = append(commands, node.Neighbours.Handle(now, event)...)
	return append(commands, node.Feed.Handle(now, event, node.Neighbours.Active())...)
}

// Relayed brings an event to a handler, out of its envelope if a relay brought it; answers to it go back the same way. What this node is
// to carry for others is passed on.
func (node *Node) Relayed(now time.Duration, event contract.Event, handle func(time.Duration, contract.Event) []contract.Command) []contract.Command {
	message, fine := event.(contract.Message)
	switch {
	case fine && message.Kind == relay.MessageForward:
		return relay.Forward(node.Self(), message, func(address string) bool { return node.knows(now, address) })
	case fine && message.Kind == relay.MessageDeliver:
		opened, envelope, whole := relay.Open(message)
		if !whole {
			return []contract.Command{contract.AddCounter{Name: "messages_broken", Delta: 1}}
		}
		return relay.Back(node.Self(), envelope, handle(now, opened))
	}
	return handle(now, event)
}

func (node *Node) knows(now time.Duration, address string) bool {
	return slices.ContainsFunc(node.Neighbours.Members(now), func(member contract.Member) bool { return member.Address == address })
}

// relaysAtOnce is how many members are asked at once to carry a message to one that does not answer.
const relaysAtOnce = 3

// ByRelay has other members carry a message to a target that does not answer: by the route that worked last, or by several that are drawn when
// none did or it fell silent too, which an empty route says. As long as relays are tried in vain, single ones and pairs are drawn by turns.
func (node *Node) ByRelay(now time.Duration, target contract.Member, send contract.Send, route string, tried int) []contract.Command {
	routes := []string{route}
	switch {
	case route != "":
	case tried%2 == 0:
		routes = node.Relays(now, target, relaysAtOnce)
	default:
		routes = node.LongRoutes(now, target, relaysAtOnce)
	}
	commands := []contract.Command{contract.AddCounter{Name: "relays_asked", Delta: int64(len(routes))}}
	for _, route := range routes {
		commands = append(commands, relay.By(route, node.Self(), send)...)
	}
	return commands
}

// LongRoutes draws routes of two members: the first one over a member of this node's zone, which it likely reaches, and one of the target's
// zone, which likely reaches that; the others over any.
func (node *Node) LongRoutes(now time.Duration, target contract.Member, most int) []string {
	routes := []string{}
	begins := slices.DeleteFunc(node.Relays(now, node.Self(), most+1), func(address string) bool { return address == target.Address })
	ends := node.Relays(now, target, most)
	for place := range min(most, len(begins), len(ends)) {
		if begins[place] != ends[place] {
			routes = append(routes, relay.Route(begins[place], ends[place]))
		}
	}
	return routes
}

// Relays draws the addresses of members that may reach a target which this node does not reach: one of the target's zone, where most
// links to it are, and others of any zone. Those on the machine of either share its links and are left out.
func (node *Node) Relays(now time.Duration, target contract.Member, most int) []string {
	own, theirs := contract.MachineOf(node.Self().Name), contract.MachineOf(target.Name)
	near, others := []string{}, []string{}
	for _, member := range node.Neighbours.Members(now) {
		switch on := contract.MachineOf(member.Name); {
		case on == own || on == theirs:
		case member.Zone == target.Zone:
			near = append(near, member.Address)
		default:
			others = append(others, member.Address)
		}
	}
	for _, group := range [][]string{near, others} {
		node.Random.Shuffle(len(group), func(left, right int) { group[left], group[right] = group[right], group[left] })
	}
	chosen := near[:min(1, len(near))]
	rest := slices.Concat(others, near[len(chosen):])
	return slices.Concat(chosen, rest[:min(max(0, most-len(chosen)), len(rest))])
}

func (node *Node) Self() contract.Member { return node.Neighbours.Self() }

// Name of the machine that a member runs on.
func Name(member contract.Member) string {
	return member.Name[:len(member.Name)-len("-"+member.Kind)]
}
