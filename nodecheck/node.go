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
	// historyLength (versions) and historyBytes are small, so that versions are discarded while orders are still being retried.
	historyLength  = 24
	historyBytes   = 6 << 10
	maxDiskLatency = 8 * time.Millisecond
)

// node is a machine with a control process. Core nodes have a disk; for other nodes disk is nil. Each start of the process is a new
// incarnation: scheduled work carries its incarnation and is dropped if the process has restarted since.
type node struct {
	simulation  *simulation
	name        string
	address     string
	disk        *virtual.Disk
	controller  *control.Controller
	incarnation int
	startedAt   time.Duration
	// frozenUntil is when the process resumes; events that arrive before are postponed until then, except ticks, which are dropped.
	frozenUntil     time.Duration
	pendingRequests map[int64]func(contract.Response)
	lastToken       int64
	appliedPosition contract.Position
	startedBefore   bool
	// lastRead is the latest answer to a read, which FaultStaleAnswer returns again.
	lastRead   *contract.Response
	lastReadAt time.Duration
}

func (node *node) isCore() bool { return node.disk != nil }
func (node *node) isUp() bool   { return node.controller != nil }

func zoneOf(nodeIndex int) string { return fmt.Sprintf("zone-%d", nodeIndex%coreSize) }

func (simulation *simulation) settings(node *node, nodeIndex int) env.Env {
	seeds := []string{}
	for number := range coreSize {
		seeds = append(seeds, addressOf(number))
	}
	settings := env.New(env.WithName(node.name), env.WithZone(zoneOf(nodeIndex)), env.WithRegion("region"), env.WithControl(node.address), env.WithSeeds(seeds))
	settings.CoreSize, settings.Founders, settings.Wide, settings.Joins = coreSize, seeds, true, node.startedBefore
	settings.Zones = map[string]string{}
	for number := range coreSize {
		settings.Zones[zoneOf(number)] = "region"
	}
	settings.Bounds.History, settings.Bounds.HistoryBytes = historyLength, historyBytes
	return settings
}

func addressOf(nodeIndex int) string { return fmt.Sprintf("10.0.0.%d:7000", 1+nodeIndex) }

// start starts the process as a new incarnation, from what its disk holds.
func (node *node) start(nodeIndex int) {
	var recovered *chain.Recovered
	if node.isCore() {
		loaded, err := image.Load(node.disk)
		if err != nil {
			panic(err)
		}
		node.simulation.fault.recovered(&loaded)
		recovered = &loaded
	}
	node.incarnation++
	node.startedAt, node.frozenUntil, node.pendingRequests, node.appliedPosition = node.simulation.now, 0, map[int64]func(contract.Response){}, contract.Position{}
	random := rand.New(rand.NewPCG(node.simulation.random.Uint64(), uint64(node.incarnation)))
	node.controller = control.New(node.simulation.settings(node, nodeIndex), fmt.Sprintf("%s-life%d", node.name, node.incarnation), recovered, random)
	node.startedBefore = true
	node.tick(node.incarnation)
}

// isCurrent reports whether an incarnation is still running.
func (node *node) isCurrent(incarnation int) bool {
	return node.isUp() && node.incarnation == incarnation
}

func (node *node) tick(incarnation int) {
	if !node.isCurrent(incarnation) {
		return
	}
	node.handle(incarnation, contract.Tick{})
	node.simulation.schedule(node.simulation.settings(node, 0).Bounds.Tick(), func() { node.tick(incarnation) })
}

// handle passes an event to the controller and executes the resulting commands, after the freeze if the process is frozen.
func (node *node) handle(incarnation int, event contract.Event) {
	if !node.isCurrent(incarnation) {
		return
	}
	if node.frozenUntil > node.simulation.now {
		if _, tick := event.(contract.Tick); !tick {
			node.simulation.schedule(node.frozenUntil-node.simulation.now, func() { node.handle(incarnation, event) })
		}
		return
	}
	for _, command := range node.controller.Handle(node.simulation.now-node.startedAt, event) {
		node.execute(incarnation, command)
	}
	if version := node.controller.Feed.Version(); version.Position != node.appliedPosition {
		node.appliedPosition = version.Position
		node.simulation.checker.checkApplied(node.name, version)
	}
	node.simulation.counts.Views = max(node.simulation.counts.Views, node.controller.Feed.View().Number)
}

func (node *node) execute(incarnation int, command contract.Command) {
	simulation := node.simulation
	switch command := command.(type) {
	case contract.Send:
		node.send(command)
	case chain.Persist:
		simulation.schedule(simulation.randomDuration(time.Millisecond, maxDiskLatency), func() {
			if !node.isCurrent(incarnation) {
				return
			}
			persisted := chain.Persisted{Token: command.Token}
			if err := image.Save(node.disk, command); err != nil {
				persisted.Error = err.Error()
			}
			node.handle(incarnation, persisted)
		})
	case index.Persist:
		simulation.schedule(time.Millisecond, func() { node.handle(incarnation, index.Persisted{}) })
	case shard.ReadPlatform:
		read := shard.ListingResult{StartedAt: simulation.now - node.startedAt}
		simulation.schedule(time.Millisecond, func() { node.handle(incarnation, read) })
	case contract.Response:
		onResponse := node.pendingRequests[command.Token]
		delete(node.pendingRequests, command.Token)
		if onResponse != nil {
			onResponse(command)
		}
	case contract.Forward:
		node.forward(incarnation, command)
	}
}

func (node *node) send(command contract.Send) {
	simulation := node.simulation
	body, err := json.Marshal(simulation.fault.rewrite(simulation, node, command))
	if err != nil {
		panic(err)
	}
	message := contract.Message{Kind: command.Kind, From: node.name + "-" + contract.KindControl, Boot: fmt.Sprintf("%s-life%d", node.name, node.incarnation), Body: body}
	target := simulation.nodeAt(command.To)
	if target == nil {
		return
	}
	simulation.transmit(node.address, command.To, func() { target.handle(target.incarnation, message) })
}

// request sends an operator's request to this node. onResponse is not called if the node is down or never answers.
func (node *node) request(request contract.OperatorRequest, onResponse func(contract.Response)) {
	if !node.isUp() {
		return
	}
	if answer, found := node.staleAnswer(request); found {
		onResponse(answer)
		return
	}
	node.lastToken++
	request.Token = node.lastToken
	node.pendingRequests[request.Token] = func(answer contract.Response) {
		if request.Verb == contract.VerbGet && answer.Status == statusOK {
			node.lastRead, node.lastReadAt = &answer, node.simulation.now
		}
		onResponse(answer)
	}
	node.handle(node.incarnation, request)
}

// staleAnswer returns the answer to an earlier read of the last second, if FaultStaleAnswer is planted.
func (node *node) staleAnswer(request contract.OperatorRequest) (contract.Response, bool) {
	if node.simulation.fault != FaultStaleAnswer || request.Verb != contract.VerbGet || node.lastRead == nil || node.simulation.now-node.lastReadAt > time.Second {
		return contract.Response{}, false
	}
	return *node.lastRead, true
}

// forward forwards a request to the authority. Without an answer in time the outcome is unknown, and the request fails with status 504.
func (node *node) forward(incarnation int, forward contract.Forward) {
	simulation, target, responded := node.simulation, node.simulation.nodeAt(forward.Address), false
	complete := func(answer contract.Response) {
		if responded || !node.isCurrent(incarnation) {
			return
		}
		responded = true
		answer.Token = forward.Request.Token
		node.execute(incarnation, answer)
	}
	simulation.schedule(simulation.settings(node, 0).Bounds.Deliver(), func() { complete(contract.Response{Status: 504}) })
	if target == nil {
		return
	}
	simulation.transmit(node.address, forward.Address, func() {
		if !target.isUp() {
			complete(contract.ErrorResponse(0, 503, "the authority cannot be reached; nothing was done", 0))
			return
		}
		target.request(forward.Request, func(answer contract.Response) {
			simulation.transmit(target.address, node.address, func() { complete(answer) })
		})
	})
}

// kill ends the process; with power, unsynced data is lost too.
func (node *node) kill(power bool) {
	node.controller, node.lastRead = nil, nil
	if power && node.isCore() {
		node.disk.LosePowerPartially(func() bool { return node.simulation.random.IntN(2) == 0 })
	}
}
