package hollow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/control"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/shard"
)

const (
	RoleData    = "data"
	RoleControl = "control"
	RoleCore    = "core"
	controlPort = 7400
	dataPort    = 7500
	sampled     = 16
	wholeLists  = "whole_lists"
	syncTime    = 2 * time.Millisecond
)

// Use is what one kind of event cost one node, and what it sent and got of that kind.
type Use struct {
	LettersOut int64
	BytesOut   int64
	LettersIn  int64
	BytesIn    int64
	Handle     time.Duration
	Link       time.Duration
	// BytesZone went out to other zones of the region, BytesRegion to other regions.
	BytesZone   int64
	BytesRegion int64
}

func (use *Use) add(other Use) {
	use.LettersOut, use.BytesOut = use.LettersOut+other.LettersOut, use.BytesOut+other.BytesOut
	use.LettersIn, use.BytesIn = use.LettersIn+other.LettersIn, use.BytesIn+other.BytesIn
	use.Handle, use.Link = use.Handle+other.Handle, use.Link+other.Link
	use.BytesZone, use.BytesRegion = use.BytesZone+other.BytesZone, use.BytesRegion+other.BytesRegion
}

type adoption struct {
	revision int64
	at       time.Duration
}

// Process is one node: the real owner, with everything outside it stood in for.
type Process struct {
	world   *World
	name    string
	role    string
	zone    string
	region  string
	address string
	owner   contract.Owner
	node    *machine.Node
	traffic *gateway.Traffic
	random  *rand.Rand
	up      bool
	tick    time.Duration
	inbox   []*delivery
	outbox  []*delivery
	uses    map[string]*Use
	adopted []adoption
	listed  map[string]int
	heard   map[string]time.Duration
	gap     time.Duration
	answers map[int64]contract.Answer
	reads   int64
	updates int64
	counts  map[string]int64
}

func addressOf(index, port int) string {
	return fmt.Sprintf("10.%d.%d.%d:%d", index>>16, index>>8&255, index&255, port)
}

func newProcess(world *World, plan Plan, index int, role string, seeds []string) *Process {
	kind, port := contract.KindData, dataPort
	if role != RoleData {
		kind, port = contract.KindControl, controlPort
	}
	address := addressOf(index, port)
	name := fmt.Sprintf("node-%05d", index)
	settings := env.New(env.WithName(name), env.WithRegion(plan.region(index)), env.WithHall(plan.zone(index)), env.WithSeeds(seeds))
	settings.Bounds, settings.Wide, settings.CoreSize = plan.bounds(), true, int64(plan.Core)
	settings.Gateway = env.Gateway{Traffic: "10.0.0.1:80", RepeatRatio: 0.2, RepeatWindow: 10 * time.Second, Contact: 4 * time.Second, LookupLife: time.Second}
	process := &Process{world: world, role: role, name: name + "-" + kind, zone: plan.zone(index), region: plan.region(index), address: address,
		random: rand.New(rand.NewPCG(plan.Seed, uint64(index)+1)), up: true, tick: settings.Bounds.Tick(), uses: map[string]*Use{}, listed: map[string]int{},
		heard: map[string]time.Duration{}, answers: map[int64]contract.Answer{}, counts: map[string]int64{}}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(plan.Seed, process.random.Uint64())) }
	if role == RoleData {
		settings.Data = address
		process.traffic = gateway.NewTraffic(settings, random())
		node := gateway.NewNode(settings, "b1", process.traffic, random())
		process.owner, process.node = node, node.Node
		return process
	}
	settings.Control = address
	var recovered *chain.Recovered
	if role == RoleCore {
		recovered = &chain.Recovered{}
	}
	owner := control.New(settings, "b1", recovered, random())
	process.owner, process.node = owner, owner.Node
	return process
}

func (process *Process) use(kind string) *Use {
	use, there := process.uses[kind]
	if !there {
		use = &Use{}
		process.uses[kind] = use
	}
	return use
}

// later puts an event into this process's own future.
func (process *Process) later(now, span time.Duration, kind string, event contract.Event) {
	process.outbox = append(process.outbox, &delivery{at: now + span, target: process, kind: kind, event: event})
}

func (process *Process) play() {
	for _, item := range process.inbox {
		if process.up {
			process.take(item)
		}
	}
	clear(process.inbox)
	process.inbox = process.inbox[:0]
}

func (process *Process) take(item *delivery) {
	if item.from != nil {
		if process.world.cut(item.from, process) {
			return
		}
		use := process.use(item.kind)
		use.LettersIn++
		use.BytesIn += int64(item.size)
		use.Link += item.decode
		if item.region != "" && process.role == RoleData {
			process.answered(item.at, item.region)
		}
	}
	if _, tick := item.event.(contract.Tick); tick {
		process.later(item.at, process.tick, item.kind, item.event)
	}
	began := worked()
	commands := process.owner.Handle(item.at, item.event)
	process.use(item.kind).Handle += worked() - began
	process.carryOut(item.at, commands)
	revision := process.node.Feed.Version().Place.Revision
	if count := len(process.adopted); revision > 0 && (count == 0 || process.adopted[count-1].revision < revision) {
		process.adopted = append(process.adopted, adoption{revision, item.at})
	}
}

// answered notes how long this node went without an answer of a region's owner.
func (process *Process) answered(now time.Duration, region string) {
	if last, there := process.heard[region]; there {
		process.gap = max(process.gap, now-last)
	}
	process.heard[region] = now
}

func (process *Process) carryOut(now time.Duration, commands []contract.Command) {
	bundles, targets := map[string][]contract.Send{}, []string{}
	for _, command := range commands {
		switch command := command.(type) {
		case contract.Send:
			if len(bundles[command.To]) == 0 {
				targets = append(targets, command.To)
			}
			bundles[command.To] = append(bundles[command.To], command)
		case gateway.Update:
			process.update(now, command)
		case contract.Count:
			process.counts[command.Name] += command.By
		case contract.Answer:
			process.answers[command.Token] = command
		case contract.Forward:
			if target := process.world.addresses[command.Address]; target != nil {
				command.Ask.Forwarded = true
				process.outbox = append(process.outbox, &delivery{at: now + travel(process, target, process.random.Float64()), target: target, kind: "ask", event: command.Ask})
			}
		case chain.Persist:
			process.later(now, syncTime+time.Duration(process.random.Int64N(int64(syncTime))), "persisted", chain.Persisted{Token: command.Token})
		case shard.ReadPlatform:
			process.reads++
			process.later(now, 20*time.Millisecond, "listing", shard.ListingRead{Began: now, Listing: contract.Listing{Servers: process.world.servers}})
		}
	}
	for _, target := range targets {
		process.send(now, target, bundles[target])
	}
}

func (process *Process) update(now time.Duration, update gateway.Update) {
	began := worked()
	process.traffic.Handle(now, update.Event)
	kind := "calls"
	switch event := update.Event.(type) {
	case gateway.Listed:
		kind, process.listed[event.Region] = "calls listed", len(event.Servers)
	case gateway.Configured:
		kind = "calls configured"
	case gateway.Fleet:
		kind = "calls fleet"
	}
	process.updates++
	process.use(kind).Handle += worked() - began
}

const (
	envelope = len(`{"letters":[]}`)
	cover    = len(`{"kind":"","from":"","boot":"","body":}`)
)

// sizeOf is what a letter takes in its bundle; the first one carries the bundle's own frame.
func sizeOf(letter contract.Letter, place int) int {
	size := cover + len(letter.Kind) + len(letter.From) + len(letter.Boot) + len(letter.Body)
	if place == 0 {
		return size + envelope
	}
	return size + 1
}

// send carries what one event gave for one address as one bundle. Its size is counted; of some, the work of writing and reading it.
func (process *Process) send(now time.Duration, address string, sends []contract.Send) {
	target := process.world.addresses[address]
	sample := process.random.IntN(sampled) == 0
	began, letters := time.Duration(0), make([]contract.Letter, len(sends))
	if sample {
		began = worked()
	}
	for index, command := range sends {
		body, failure := json.Marshal(command.Body)
		if failure != nil {
			panic(failure)
		}
		letters[index] = contract.Letter{Kind: command.Kind, From: process.name, Boot: "b1", Body: body}
	}
	decode := time.Duration(0)
	if sample {
		decode = process.sample(began, letters)
	}
	lost := target == nil || process.world.loss > 0 && process.random.Float64() < process.world.loss || process.world.cut(process, target)
	for index, letter := range letters {
		size := sizeOf(letter, index)
		use := process.use(letter.Kind)
		use.LettersOut++
		use.BytesOut += int64(size)
		switch {
		case target == nil:
		case target.region != process.region:
			use.BytesRegion += int64(size)
		case target.zone != process.zone:
			use.BytesZone += int64(size)
		}
		if lost {
			continue
		}
		item := &delivery{at: now + travel(process, target, process.random.Float64()), from: process, target: target, event: letter, kind: letter.Kind, size: size, decode: decode}
		if licence, fine := sends[index].Body.(contract.Licence); fine {
			item.region = licence.Region
			if !licence.Same && licence.Back == "" {
				process.counts[wholeLists]++
			}
		}
		decode = 0
		process.outbox = append(process.outbox, item)
	}
}

func (process *Process) sample(began time.Duration, letters []contract.Letter) time.Duration {
	content, failure := json.Marshal(link.Bundle{Letters: letters})
	if failure != nil {
		panic(failure)
	}
	written := worked()
	process.use(letters[0].Kind).Link += (written - began) * sampled
	var bundle link.Bundle
	if failure = json.Unmarshal(content, &bundle); failure != nil {
		panic(failure)
	}
	return (worked() - written) * sampled
}
