package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/virtual"
)

// machine runs a data process and, where the site says so, a control process. Core machines have a disk.
type machine struct {
	day         *Day
	name        string
	zone        string
	region      string
	core        bool
	number      int
	address     string
	disk        *disk
	control     *controlProcess
	data        *dataProcess
	boots       int
	freezeCount int
	joined      bool
	removed     bool
	listedAt    time.Duration
	removedAt   time.Duration
	clockOffset time.Duration
	record      *rules.Machine
}

// process is one life of a program, from start to exit.
type process struct {
	virtual.Process
	day     *Day
	machine *machine
	kind    string
	boot    string
	began   time.Duration
	owner   contract.StateMachine
	perform func(contract.Command) bool
}

const (
	controlPort = "7400"
	dataPort    = "7500"
	trafficPort = "7600"
	readyPort   = "7601"
	lookupPort  = "7602"
)

// Memory and descriptors of a process of a machine.
const (
	processMemoryBytes = 284 << 20
	processOpenFiles   = 3900
)

func (machine *machine) place() location {
	return location{machine.name, machine.zone, machine.region, false}
}

func (machine *machine) settings() env.Env {
	day, bounds := machine.day, machine.day.site.Bounds
	settings := env.New(env.WithName(machine.name), env.WithZone(machine.zone), env.WithRegion(machine.region), env.WithSeeds(day.seeds(machine)),
		env.WithControl(machine.address+":"+controlPort), env.WithData(machine.address+":"+dataPort), env.WithPlatform("http://10.200.0.1:80"))
	if !machine.runsControl() {
		settings.Control = ""
	}
	settings.Zones = map[string]string{}
	for _, zone := range day.site.Zones {
		settings.Zones[zone.Name] = zone.Region
	}
	settings.Founders = settings.Seeds
	settings.Joins, settings.Wide = machine.joined, true
	settings.CoreSize = min(2*int64(bounds.ToleratedMachines)+1, 9)
	settings.Bounds.WithdrawMs, settings.Bounds.EvacuateMs, settings.Bounds.DeliverMs = bounds.DrainMs, bounds.EvacuateMs, bounds.PropagateMs
	settings.Bounds.ReturnMs, settings.Bounds.BodyBytes = int64(bounds.RecoverS*1000), 32<<20
	settings.Gateway = env.Gateway{Traffic: machine.address + ":" + trafficPort, Ready: machine.address + ":" + readyPort, Lookup: machine.address + ":" + lookupPort,
		RepeatRatio: bounds.RetryRatio, RepeatWindow: seconds(bounds.RetryWindowS), RepeatAllowance: bounds.RetryAllowance,
		Contact: milliseconds(bounds.ContactMs), Grace: seconds(bounds.GraceS), LookupLife: seconds(bounds.LookupLifeS) / 5}
	settings.MemoryBytes, settings.OpenFiles = processMemoryBytes, processOpenFiles
	for _, change := range day.changes {
		change.apply(&settings)
	}
	return settings
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// start starts both processes.
func (machine *machine) start() {
	if machine.removed || machine.up() {
		return
	}
	machine.boots++
	settings := machine.settings()
	if !machine.joined || machine.listedAt == 0 {
		machine.listedAt = machine.day.world.Now + machine.day.listDelay()
	}
	machine.joined = true
	if machine.runsControl() {
		machine.control = newControlProcess(machine, settings)
	}
	settings.Bounds.History = env.FollowerHistory
	machine.data = newDataProcess(machine, settings)
	for _, process := range machine.processes() {
		process.after(time.Duration(machine.day.world.random.Int64N(int64(settings.Bounds.Tick()))), func() { process.tick(settings.Bounds.Tick()) })
	}
}

// runsControl tells whether the machine has a control process.
func (machine *machine) runsControl() bool { return machine.core || !machine.day.site.ControlOnCore }

// processes gives the processes of a machine that has been started.
func (machine *machine) processes() []*process {
	if machine.control == nil {
		return []*process{machine.data.process}
	}
	return []*process{machine.control.process, machine.data.process}
}

func (machine *machine) up() bool { return machine.data != nil && machine.data.Up }

func (machine *machine) process(kind string, owner contract.StateMachine) *process {
	created := &process{day: machine.day, machine: machine, kind: kind, boot: machine.boot(), began: machine.day.world.Now, owner: owner, Process: virtual.Process{Up: true}}
	return created
}

func (machine *machine) boot() string { return fmt.Sprintf("b%d", machine.boots) }

func (machine *machine) random() *rand.Rand {
	return rand.New(rand.NewPCG(machine.day.world.random.Uint64(), 5))
}

func (process *process) now() time.Duration { return process.day.world.Now - process.began }

func (process *process) after(span time.Duration, then func()) {
	process.day.world.After(span, func() { process.Run(then) })
}

func (process *process) tick(every time.Duration) {
	process.handle(contract.Tick{})
	process.after(every, func() { process.tick(every) })
}

func (process *process) event(event contract.Event) { process.Run(func() { process.handle(event) }) }

func (process *process) handle(event contract.Event) {
	for _, command := range process.owner.Handle(process.now(), event) {
		switch command := command.(type) {
		case contract.Send:
			process.send(command)
		case contract.AddCounter:
			process.day.counts[process.kind+" "+command.Name] += command.Delta
		case contract.SetGauge, contract.ObserveDuration:
		case contract.Log:
			process.day.recordDetection(command)
			process.day.logEvent(process.machine.name+"-"+process.kind, command.Message, command.Attributes...)
		default:
			if !process.perform(command) {
				panic(fmt.Sprintf("a command that nobody carries out: %T", command))
			}
		}
	}
}

func (process *process) send(command contract.Send) {
	target := process.day.listening(command.To)
	if target == nil || process.day.losesRelayed(command.Kind) {
		return
	}
	message := contract.Message{Kind: command.Kind, From: process.machine.name + "-" + process.kind, Boot: process.boot, Body: encodeJSON(command.Body)}
	process.day.world.sendMessage(process.machine.place(), target.machine.place(), func() {
		if current := process.day.listening(command.To); current != nil {
			current.event(message)
		}
	})
}

// kill ends both processes; the other ends of their connections are notified.
func (machine *machine) kill() {
	machine.end(func(data *dataProcess) { data.closeConnections() })
}

// powerLost ends both processes without notice and loses what was not synced to disk.
func (machine *machine) powerLost() {
	machine.end(func(data *dataProcess) { data.dropConnections() })
	if machine.disk != nil {
		machine.disk.LosePower()
	}
}

func (machine *machine) end(connections func(*dataProcess)) {
	machine.freezeCount = 0
	if !machine.up() {
		return
	}
	for _, process := range machine.processes() {
		process.Kill()
	}
	connections(machine.data)
	if machine.disk != nil {
		machine.disk.Abandon()
	}
}

func (machine *machine) freeze() (thaw func()) {
	if !machine.up() {
		return func() {}
	}
	boots := machine.boots
	machine.freezeCount++
	for _, process := range machine.processes() {
		process.Frozen = true
	}
	return func() {
		if machine.boots != boots || machine.freezeCount == 0 {
			return
		}
		if machine.freezeCount--; machine.freezeCount > 0 {
			return
		}
		for _, process := range machine.processes() {
			process.Thaw()
		}
	}
}

// recordOutage records a period in which the machine is down, frozen or cut off; back corrects its end.
func (machine *machine) recordOutage(from, until time.Duration) (back func(at time.Duration)) {
	span, record := rules.Span{From: from, Until: until}, machine.record
	record.Troubles = append(record.Troubles, span)
	trouble, lost := len(record.Troubles)-1, len(record.Outages)
	if machine.core {
		record.Outages = append(record.Outages, span)
	}
	return func(at time.Duration) {
		record.Troubles[trouble].Until = at
		if machine.core {
			record.Outages[lost].Until = at
		}
	}
}

// recordTrouble records another trouble of the machine; on core machines it makes the core count as unstable.
func (machine *machine) recordTrouble(from, until time.Duration) {
	span := rules.Span{From: from, Until: until}
	machine.record.Troubles = append(machine.record.Troubles, span)
	if machine.core {
		machine.day.record.CoreTroubles = append(machine.day.record.CoreTroubles, span)
	}
}
