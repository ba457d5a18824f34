package nodecheck

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/control"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/image"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/shard"
	"github.com/cedarreel/cedarreel/virtual"
)

const (
	coreSize = 3
	// historyKept and historyBytes are small, so that versions are dropped while orders are still sent again.
	historyKept  = 24
	historyBytes = 6 << 10
	slowestDisk  = 8 * time.Millisecond
)

// node is a machine with a control process; one of the core has a disk.
type node struct {
	world   *world
	name    string
	address string
	disk    *virtual.Disk
	owner   *control.Controller
	life    int
	started time.Duration
	// frozen is until when the process stands still; what comes meanwhile waits.
	frozen  time.Duration
	asks    map[int64]func(contract.Response)
	token   int64
	inForce contract.Position
	founded bool
	// lastRead is an answer that a planted fault hands out again.
	lastRead   *contract.Response
	lastReadAt time.Duration
}

func (node *node) core() bool { return node.disk != nil }
func (node *node) up() bool   { return node.owner != nil }

func zoneOf(place int) string { return fmt.Sprintf("zone-%d", place%coreSize) }

func (world *world) settings(node *node, place int) env.Env {
	seeds := []string{}
	for number := range coreSize {
		seeds = append(seeds, addressOf(number))
	}
	settings := env.New(env.WithName(node.name), env.WithZone(zoneOf(place)), env.WithRegion("region"), env.WithControl(node.address), env.WithSeeds(seeds))
	settings.CoreSize, settings.Founders, settings.Wide, settings.Joins = coreSize, seeds, true, node.founded
	settings.Zones = map[string]string{}
	for number := range coreSize {
		settings.Zones[zoneOf(number)] = "region"
	}
	settings.Bounds.History, settings.Bounds.HistoryBytes = historyKept, historyBytes
	return settings
}

func addressOf(place int) string { return fmt.Sprintf("10.0.0.%d:7000", 1+place) }

// start begins a new life.
func (node *node) start(place int) {
	var recovered *chain.Recovered
	if node.core() {
		loaded, failure := image.Load(node.disk)
		if failure != nil {
			panic(failure)
		}
		node.world.fault.recovered(&loaded)
		recovered = &loaded
	}
	node.life++
	node.started, node.frozen, node.asks, node.inForce = node.world.now, 0, map[int64]func(contract.Response){}, contract.Position{}
	random := rand.New(rand.NewPCG(node.world.random.Uint64(), uint64(node.life)))
	node.owner = control.New(node.world.settings(node, place), fmt.Sprintf("%s-life%d", node.name, node.life), recovered, random)
	node.founded = true
	node.tick(node.life)
}

// alive tells whether a life still goes on.
func (node *node) alive(life int) bool { return node.up() && node.life == life }

func (node *node) tick(life int) {
	if !node.alive(life) {
		return
	}
	node.handle(life, contract.Tick{})
	node.world.after(node.world.settings(node, 0).Bounds.Tick(), func() { node.tick(life) })
}

// handle gives an event to the process, later if it is frozen.
func (node *node) handle(life int, event contract.Event) {
	if !node.alive(life) {
		return
	}
	if node.frozen > node.world.now {
		if _, tick := event.(contract.Tick); !tick {
			node.world.after(node.frozen-node.world.now, func() { node.handle(life, event) })
		}
		return
	}
	for _, command := range node.owner.Handle(node.world.now-node.started, event) {
		node.act(life, command)
	}
	if version := node.owner.Feed.Version(); version.Position != node.inForce {
		node.inForce = version.Position
		node.world.judge.inForce(node.name, version)
	}
	node.world.counts.Views = max(node.world.counts.Views, node.owner.Feed.View().Number)
}

func (node *node) act(life int, command contract.Command) {
	world := node.world
	switch command := command.(type) {
	case contract.Send:
		node.send(command)
	case chain.Persist:
		world.after(world.between(time.Millisecond, slowestDisk), func() {
			if !node.alive(life) {
				return
			}
			persisted := chain.Persisted{Token: command.Token}
			if failure := image.Save(node.disk, command); failure != nil {
				persisted.Error = failure.Error()
			}
			node.handle(life, persisted)
		})
	case index.Persist:
		world.after(time.Millisecond, func() { node.handle(life, index.Persisted{}) })
	case shard.ReadPlatform:
		read := shard.ListingResult{StartedAt: world.now - node.started}
		world.after(time.Millisecond, func() { node.handle(life, read) })
	case contract.Response:
		take := node.asks[command.Token]
		delete(node.asks, command.Token)
		if take != nil {
			take(command)
		}
	case contract.Forward:
		node.forward(life, command)
	}
}

func (node *node) send(command contract.Send) {
	world := node.world
	body, failure := json.Marshal(world.fault.rewrite(world, node, command))
	if failure != nil {
		panic(failure)
	}
	message := contract.Message{Kind: command.Kind, From: node.name + "-" + contract.KindControl, Boot: fmt.Sprintf("%s-life%d", node.name, node.life), Body: body}
	target := world.at(command.To)
	if target == nil {
		return
	}
	world.carry(node.address, command.To, func() { target.handle(target.life, message) })
}

// ask puts an operator's question to this node; without an answer, take is not called.
func (node *node) ask(ask contract.OperatorRequest, take func(contract.Response)) {
	if !node.up() {
		return
	}
	if answer, there := node.answerAgain(ask); there {
		take(answer)
		return
	}
	node.token++
	ask.Token = node.token
	node.asks[ask.Token] = func(answer contract.Response) {
		if ask.Verb == contract.VerbGet && answer.Status == statusDone {
			node.lastRead, node.lastReadAt = &answer, node.world.now
		}
		take(answer)
	}
	node.handle(node.life, ask)
}

// answerAgain gives an answer to a former read, where that fault is planted.
func (node *node) answerAgain(ask contract.OperatorRequest) (contract.Response, bool) {
	if node.world.fault != FaultFormerAnswer || ask.Verb != contract.VerbGet || node.lastRead == nil || node.world.now-node.lastReadAt > time.Second {
		return contract.Response{}, false
	}
	return *node.lastRead, true
}

// forward carries a question to the authority; an answer that is lost is unknown.
func (node *node) forward(life int, forward contract.Forward) {
	world, target, given := node.world, node.world.at(forward.Address), false
	end := func(answer contract.Response) {
		if given || !node.alive(life) {
			return
		}
		given = true
		answer.Token = forward.Request.Token
		node.act(life, answer)
	}
	world.after(world.settings(node, 0).Bounds.Deliver(), func() { end(contract.Response{Status: 504}) })
	if target == nil {
		return
	}
	world.carry(node.address, forward.Address, func() {
		if !target.up() {
			end(contract.ErrorResponse(0, 503, "the authority cannot be reached; nothing was done", 0))
			return
		}
		target.ask(forward.Request, func(answer contract.Response) {
			world.carry(target.address, node.address, func() { end(answer) })
		})
	})
}

// kill ends the process; with power, what was not synced goes too.
func (node *node) kill(power bool) {
	node.owner, node.lastRead = nil, nil
	if power && node.core() {
		node.disk.LosePowerPartially(func() bool { return node.world.random.IntN(2) == 0 })
	}
}
