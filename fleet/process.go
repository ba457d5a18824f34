package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/control"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/image"
	"github.com/cedarreel/cedarreel/site"
	"github.com/cedarreel/cedarreel/virtual"
)

// Machine runs a control and a data process; a core machine has a disk.
type Machine struct {
	site.Machine
	fleet   *Fleet
	Control *Process
	Data    *Process
	Disk    *Disk
	env     env.Env
	boots   int
	freezes int
	illAt   time.Duration
	clock   clock
}

func (machine *Machine) place() place {
	return place{machine.Name, machine.Zone, machine.Region}
}

// Process is one life of a program.
type Process struct {
	virtual.Process
	machine  *Machine
	owner    contract.StateMachine
	kind     string
	boot     string
	began    time.Duration
	asks     map[int64]func(contract.Response)
	token    int64
	sessions map[int64]*session
	Counts   map[string]int64
	Gauges   map[string]int64
}

func (machine *Machine) Start() {
	machine.boots++
	machine.ill()
	machine.Control = machine.process(contract.KindControl)
	machine.Data = machine.process(contract.KindData)
	fleet := machine.fleet
	seed := func() *rand.Rand { return rand.New(rand.NewPCG(fleet.World.Random.Uint64(), 5)) }
	var recovered *chain.Recovered
	if machine.Core {
		loaded, err := image.Load(machine.Disk)
		if err != nil {
			panic(err)
		}
		recovered = &loaded
	}
	machine.Control.owner = control.New(machine.env, machine.Control.boot, recovered, seed())
	machine.Data.owner = data.New(machine.env, machine.Data.boot, seed())
	for _, process := range []*Process{machine.Control, machine.Data} {
		fleet.processes[process.address()] = process
		fleet.World.After(time.Duration(fleet.World.Random.Int64N(int64(machine.env.Bounds.Tick()))), process.tick)
	}
}

func (machine *Machine) process(kind string) *Process {
	return &Process{machine: machine, kind: kind, boot: fmt.Sprintf("b%d", machine.boots), began: machine.read(), Process: virtual.Process{Up: true},
		asks: map[int64]func(contract.Response){}, sessions: map[int64]*session{}, Counts: map[string]int64{}, Gauges: map[string]int64{}}
}

func (process *Process) address() string {
	if process.kind == contract.KindControl {
		return process.machine.env.Control
	}
	return process.machine.env.Data
}

func (process *Process) tick() {
	if !process.Up {
		return
	}
	if !process.Frozen {
		process.handle(contract.Tick{})
	}
	process.after(process.machine.env.Bounds.Tick(), process.tick)
}

func (process *Process) now() time.Duration { return process.machine.read() - process.began }

// Event brings an event to the owner and carries out its commands.
func (process *Process) Event(event contract.Event) { process.Run(func() { process.handle(event) }) }

func (process *Process) handle(event contract.Event) {
	for _, command := range process.owner.Handle(process.now(), event) {
		process.carryOut(command)
	}
}

func (process *Process) carryOut(command contract.Command) {
	fleet := process.machine.fleet
	switch command := command.(type) {
	case contract.Send:
		process.send(command)
	case contract.AddCounter:
		process.Counts[command.Name] += command.Delta
	case contract.SetGauge:
		process.Gauges[command.Name] = command.Value
	case contract.ObserveDuration:
	case contract.Log:
		fleet.say(process, command)
	case contract.Response:
		process.answer(command)
	case contract.Forward:
		process.forward(command)
	case data.Dispatch:
		process.dispatch(command)
	case data.CancelAttempt:
		process.cancel(command)
	case data.RecallAttempt:
		process.recall(command)
	case chain.Persist:
		process.persist(command)
	default:
		process.outside(command)
	}
}

func (process *Process) send(command contract.Send) {
	fleet := process.machine.fleet
	command = fleet.plain(command)
	target, there := fleet.processes[command.To]
	if !there {
		return
	}
	body, err := json.Marshal(command.Body)
	if err != nil {
		panic(err)
	}
	message := contract.Message{Kind: command.Kind, From: process.machine.Name + "-" + process.kind, Boot: process.boot, Body: body}
	fleet.World.travel(process.machine.place(), target.machine.place(), true, func() {
		if current := fleet.processes[command.To]; current != nil {
			current.Event(message)
		}
	})
}

func (process *Process) answer(answer contract.Response) {
	if session, there := process.sessions[answer.Token]; there {
		session.answered(answer)
		return
	}
	take := process.asks[answer.Token]
	delete(process.asks, answer.Token)
	if take != nil {
		take(answer)
	}
}

// Ask puts an operator's question to this process.
func (process *Process) Ask(ask contract.OperatorRequest, take func(contract.Response)) {
	process.Run(func() {
		process.token++
		ask.Token = process.token
		process.asks[ask.Token] = take
		process.handle(ask)
	})
}

// forward carries an ask to the authority as the links do; a lost answer is unknown.
func (process *Process) forward(forward contract.Forward) {
	fleet, token, given := process.machine.fleet, forward.Request.Token, false
	give := func(answer contract.Response) {
		if !given {
			given = true
			answer.Token = token
			process.Run(func() { process.answer(answer) })
		}
	}
	lost := contract.Response{Status: 504, Body: contract.WriteResult{Outcome: "unknown", Operation: forward.Request.Operation}}
	fleet.World.After(process.machine.env.Bounds.Deliver()*2, func() { give(lost) })
	target, there := fleet.processes[forward.Address]
	if !there {
		return
	}
	fleet.World.travel(process.machine.place(), target.machine.place(), false, func() {
		if target != fleet.processes[forward.Address] || !target.Up {
			fleet.World.travel(target.machine.place(), process.machine.place(), false, func() {
				give(contract.ErrorResponse(0, 503, "the authority cannot be reached; nothing was done", process.machine.env.Bounds.Round()))
			})
			return
		}
		target.Ask(forward.Request, func(answer contract.Response) {
			fleet.World.travel(target.machine.place(), process.machine.place(), false, func() { give(answer) })
		})
	})
}

func (process *Process) persist(work chain.Persist) {
	disk := process.machine.Disk
	disk.Save(func() {
		if !process.Up {
			return
		}
		persisted := chain.Persisted{Token: work.Token}
		if err := image.Save(disk, work); err != nil {
			persisted.Error = err.Error()
		}
		disk.RecordSave()
		process.Event(persisted)
	})
}

// Kill ends both processes; what the disk only said it kept may go with them.
func (machine *Machine) Kill() {
	for _, process := range []*Process{machine.Control, machine.Data} {
		process.Kill()
		for _, session := range process.sortedSessions() {
			session.broken()
		}
	}
	if machine.Disk != nil {
		machine.Disk.LosePower()
	}
	machine.freezes = 0
	machine.ill()
	machine.fleet.Ledger.NodeRestarted(machine.Name + "-data")
	machine.fleet.Ledger.NodeRestarted(machine.Name + "-control")
}

func (machine *Machine) Up() bool { return machine.Control != nil && machine.Control.Up }

// illSince tells whether a machine was dead or frozen at any time since a moment; a cut of its links is no illness.
func (machine *Machine) illSince(moment time.Duration) bool {
	return machine.illAt >= moment || machine.freezes > 0 || !machine.Up()
}

func (machine *Machine) ill() { machine.illAt = machine.fleet.World.Now }

// Freeze stops a machine; the end of one freeze wakes it only if no other lasts.
func (machine *Machine) Freeze() (thaw func()) {
	machine.ill()
	machine.Control.Frozen, machine.Data.Frozen = true, true
	machine.freezes++
	boots := machine.boots
	return func() {
		if machine.boots == boots && machine.freezes > 0 {
			if machine.freezes--; machine.freezes == 0 {
				machine.Wake()
			}
		}
	}
}

func (machine *Machine) Wake() {
	machine.ill()
	machine.freezes = 0
	for _, process := range []*Process{machine.Control, machine.Data} {
		process.Thaw()
	}
}

// Plant puts another owner in the place of this process's, for the stories that test the checker.
func (process *Process) Plant(change func(contract.StateMachine) contract.StateMachine) {
	process.owner = change(process.owner)
}
