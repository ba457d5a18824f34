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
		node.Neighbours.Hold(node.Feed.Version().Place, node.Feed.View().Number, self.Core)
		commands = append(commands, contract.Gauge{Name: "manifest_revision", Value: node.Feed.Version().Place.Revision},
			contract.Gauge{Name: "view", Value: node.Feed.View().Number}, contract.Gauge{Name: "members", Value: int64(len(node.Neighbours.Members(now)))})
		commands = append(commands, node.Feed.Begin(now, node.Neighbours.Seeds())...)
		commands = append(commands, node.Feed.Catch(now, node.Neighbours.Members(now), node.Neighbours.Near(now), node.Random)...)
	}
	commands = append(commands, node.Neighbours.Handle(now, event)...)
	return append(commands, node.Feed.Handle(now, event, node.Neighbours.Active())...)
}

func (node *Node) Self() contract.Member { return node.Neighbours.Self() }

// Name of the machine that a member runs on.
func Name(member contract.Member) string {
	return member.Name[:len(member.Name)-len("-"+member.Kind)]
}
