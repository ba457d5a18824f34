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

// Machine runs a control and a data process. Only a core machine has a disk.
type Machine struct {
	site.Machine
	fleet   *Fleet
	Control *Process
	Data    *Process
	Disk    *Disk
	env     env.Env
	// boots counts the starts, freezes the freezes that have not ended.
	boots       int
	freezes     int
	lastFaultAt time.Duration
	clock       clock
}

func (machine *Machine) location() location {
	return location{machine.Name, machine.Zone, machine.Region}
}

// Process is one run of a program, from start to kill. Counts and Gauges hold its metrics by name.
type Process struct {
	virtual.Process
	machine   *Machine
	owner     contract.StateMachine
	kind      string
	bootID    string
	startedAt time.Duration
	// pending holds the receivers of operators' answers by token.
	pending  map[int64]func(contract.Response)
	token    int64
	sessions map[int64]*session
	Counts   map[string]int64
	Gauges   map[string]int64
}

// Start boots the machine: both processes start fresh, and a core machine recovers from its disk.
func (machine *Machine) Start() {
	machine.boots++
	machine.recordFault()
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
	machine.Control.owner = control.New(machine.env, machine.Control.bootID, recovered, seed())
	machine.Data.owner = data.New(machine.env, machine.Data.bootID, seed())
	for _, process := range []*Process{machine.Control, machine.Data} {
		fleet.processes[process.address()] = process
		fleet.World.After(time.Duration(fleet.World.Random.Int64N(int64(machine.env.Bounds.Tick()))), process.tick)
	}
}

// process makes a process of a kind that has not been given its state machine yet.
func (machine *Machine) process(kind string) *Process {
	return &Process{machine: machine, kind: kind, bootID: fmt.Sprintf("b%d", machine.boots), startedAt: machine.localTime(), Process: virtual.Process{Up: true},
		pending: map[int64]func(contract.Response){}, sessions: map[int64]*session{}, Counts: map[string]int64{}, Gauges: map[string]int64{}}
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

func (process *Process) now() time.Duration { return process.machine.localTime() - process.startedAt }

// Event passes an event to the state machine and executes the resulting commands, or queues it while the process is frozen.
func (process *Process) Event(event contract.Event) { process.Run(func() { process.handle(event) }) }

func (process *Process) handle(event contract.Event) {
	for _, command := range process.owner.Handle(process.now(), event) {
		process.execute(command)
	}
}

func (process *Process) execute(command contract.Command) {
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
		fleet.writeLog(process, command)
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
		process.callExternal(command)
	}
}

func (process *Process) send(command contract.Send) {
	fleet := process.machine.fleet
	command = fleet.stripWithdrawal(command)
	target, found := fleet.processes[command.To]
	if !found {
		return
	}
	body, err := json.Marshal(command.Body)
	if err != nil {
		panic(err)
	}
	message := contract.Message{Kind: command.Kind, From: process.machine.Name + "-" + process.kind, Boot: process.bootID, Body: body}
	fleet.World.deliver(process.machine.location(), target.machine.location(), true, func() {
		if current := fleet.processes[command.To]; current != nil {
			current.Event(message)
		}
	})
}

func (process *Process) answer(answer contract.Response) {
	if session, found := process.sessions[answer.Token]; found {
		session.answered(answer)
		return
	}
	receive := process.pending[answer.Token]
	delete(process.pending, answer.Token)
	if receive != nil {
		receive(answer)
	}
}

// Ask sends an operator's request to this process; receive gets the answer.
func (process *Process) Ask(request contract.OperatorRequest, receive func(contract.Response)) {
	process.Run(func() {
		process.token++
		request.Token = process.token
		process.pending[request.Token] = receive
		process.handle(request)
	})
}

// forward carries an operator's request to the authority over the network; if no answer comes, the outcome is unknown.
func (process *Process) forward(forward contract.Forward) {
	fleet, token, answered := process.machine.fleet, forward.Request.Token, false
	respond := func(answer contract.Response) {
		if !answered {
			answered = true
			answer.Token = token
			process.Run(func() { process.answer(answer) })
		}
	}
	lost := contract.Response{Status: 504, Body: contract.WriteResult{Outcome: "unknown", Operation: forward.Request.Operation}}
	fleet.World.After(process.machine.env.Bounds.Deliver()*2, func() { respond(lost) })
	target, found := fleet.processes[forward.Address]
	if !found {
		return
	}
	fleet.World.deliver(process.machine.location(), target.machine.location(), false, func() {
		if target != fleet.processes[forward.Address] || !target.Up {
			fleet.World.deliver(target.machine.location(), process.machine.location(), false, func() {
				respond(contract.ErrorResponse(0, 503, "the authority cannot be reached; nothing was done", process.machine.env.Bounds.Round()))
			})
			return
		}
		target.Ask(forward.Request, func(answer contract.Response) {
			fleet.World.deliver(target.machine.location(), process.machine.location(), false, func() { respond(answer) })
		})
	})
}

// persist saves chain state to the disk and reports the result to the state machine.
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

// Kill ends both processes and cuts the power of the disk. A faulty disk may then lose writes that it reported as synced.
func (machine *Machine) Kill() {
	for _, process := range []*Process{machine.Control, machine.Data} {
		process.Kill()
		for _, session := range process.sortedSessions() {
			session.connectionBroken()
		}
	}
	if machine.Disk != nil {
		machine.Disk.LosePower()
	}
	machine.freezes = 0
	machine.recordFault()
	machine.fleet.Ledger.NodeRestarted(machine.Name + "-data")
	machine.fleet.Ledger.NodeRestarted(machine.Name + "-control")
}

// Up tells whether the machine runs, frozen or not.
func (machine *Machine) Up() bool { return machine.Control != nil && machine.Control.Up }

// faultySince tells whether the machine was down or frozen at any time since then; a cut of its links does not count.
func (machine *Machine) faultySince(since time.Duration) bool {
	return machine.lastFaultAt >= since || machine.freezes > 0 || !machine.Up()
}

func (machine *Machine) recordFault() { machine.lastFaultAt = machine.fleet.World.Now }

// Freeze suspends a machine. It resumes when all overlapping freezes have ended.
func (machine *Machine) Freeze() (thaw func()) {
	machine.recordFault()
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

// Wake resumes a machine and ends all its freezes.
func (machine *Machine) Wake() {
	machine.recordFault()
	machine.freezes = 0
	for _, process := range []*Process{machine.Control, machine.Data} {
		process.Thaw()
	}
}

// ReplaceOwner wraps or replaces the state machine of the process; tests inject faults this way to verify the checks.
func (process *Process) ReplaceOwner(change func(contract.StateMachine) contract.StateMachine) {
	process.owner = change(process.owner)
}
