package emulator

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/control"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/image"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/cedarreel/cedarreel/shard"
)

// controlProcess carries out the commands of the state machine in a control process.
type controlProcess struct {
	*process
	settings env.Env
	pending  map[int64]func(contract.Response)
	token    int64
}

func newControlProcess(machine *machine, settings env.Env) *controlProcess {
	var recovered *chain.Recovered
	if machine.disk != nil {
		loaded, err := image.Load(machine.disk)
		if err != nil {
			panic(err)
		}
		recovered = &loaded
	}
	process := &controlProcess{settings: settings, pending: map[int64]func(contract.Response){}}
	owner := control.New(settings, machine.boot(), recovered, machine.random())
	if machine.disk != nil {
		snapshot, damaged := image.LoadIndex(machine.disk)
		machine.day.counts["control index_snapshots_damaged"] += int64(damaged)
		machine.day.counts["control index_places_restored"] += int64(len(snapshot.Places))
		owner.RestoreIndex(snapshot)
	}
	process.process = machine.process(contract.KindControl, owner)
	process.perform = process.execute
	return process
}

func (process *controlProcess) execute(command contract.Command) bool {
	switch command := command.(type) {
	case chain.Persist:
		process.machine.disk.Save(func() {
			persisted := chain.Persisted{Token: command.Token}
			if err := image.Save(process.machine.disk, command); err != nil {
				persisted.Error = err.Error()
			}
			process.event(persisted)
		})
	case index.Persist:
		process.machine.disk.Save(func() {
			persisted := index.Persisted{}
			if err := image.SaveIndex(process.machine.disk, command.Snapshot); err != nil {
				persisted.Error = err.Error()
			}
			process.event(persisted)
		})
	case shard.ReadPlatform:
		process.readList()
	case shard.ReadReport:
		process.readReport(command)
	case shard.Order:
		process.event(shard.OrderResult{Server: command.Server, Load: command.Load})
	case contract.Response:
		take := process.pending[command.Token]
		delete(process.pending, command.Token)
		if take != nil {
			take(command)
		}
	case contract.Forward:
		forwardRequest(process.process, command, func(answer contract.Response) { process.execute(answer) })
	default:
		return false
	}
	return true
}

// handleRequest passes an operator's request to this process and calls take with the answer.
func (process *controlProcess) handleRequest(ask contract.OperatorRequest, take func(contract.Response)) {
	process.Run(func() {
		process.token++
		ask.Token = process.token
		process.pending[ask.Token] = take
		process.handle(ask)
	})
}

// forwardRequest carries a request to the authority. If the answer is lost, the outcome is reported as unknown.
func forwardRequest(process *process, forward contract.Forward, give func(contract.Response)) {
	day, given := process.day, false
	end := func(answer contract.Response) {
		if !given {
			given = true
			answer.Token = forward.Request.Token
			process.Run(func() { give(answer) })
		}
	}
	process.after(process.machine.settings().Bounds.Deliver()*2, func() {
		end(contract.Response{Status: 504, Body: contract.WriteResult{Outcome: "unknown", Operation: forward.Request.Operation}})
	})
	target := day.listening(forward.Address)
	if target == nil {
		end(contract.ErrorResponse(0, 503, "the authority cannot be reached; nothing was done", 0))
		return
	}
	day.world.sendMessage(process.machine.place(), target.machine.place(), func() {
		if !target.Up {
			day.world.sendMessage(target.machine.place(), process.machine.place(), func() { end(contract.ErrorResponse(0, 503, "the authority cannot be reached; nothing was done", 0)) })
			return
		}
		target.machine.control.handleRequest(forward.Request, func(answer contract.Response) {
			day.world.sendMessage(target.machine.place(), process.machine.place(), func() { end(answer) })
		})
	})
}

// readList reads the list of servers page by page, each within the poll timeout.
func (process *controlProcess) readList() {
	read, limit := shard.ListingResult{StartedAt: process.now()}, process.settings.Bounds.PlatformPoll()
	var page func(number int)
	page = func(number int) {
		queryExternal(process.process, process.day.list.place(), limit, func() (any, time.Duration) {
			rows, more, valid := process.day.list.page(number)
			if !valid {
				return nil, 0
			}
			return listPage{rows, more}, 0
		}, func(answer any) {
			got, valid := answer.(listPage)
			if !valid {
				read.Listing, read.Error = contract.Listing{}, "the list could not be read"
				process.handle(read)
				return
			}
			read.Listing.Servers = append(read.Listing.Servers, got.rows...)
			if got.more {
				page(number + 1)
				return
			}
			process.handle(read)
		})
	}
	page(0)
}

type listPage struct {
	rows []contract.ListedServer
	more bool
}

func (process *controlProcess) readReport(command shard.ReadReport) {
	read := shard.ReportResult{Server: command.Server, Request: command, ReadResult: retire.ReadResult{StartedAt: process.now()}}
	server := process.day.serverAt(command.Address)
	if server == nil {
		read.Error = "nobody is there"
		process.event(read)
		return
	}
	queryExternal(process.process, server.place(), process.settings.Bounds.PlatformPoll(), func() (any, time.Duration) {
		report, valid := server.report(command.Server)
		if !valid {
			return nil, 0
		}
		return report, time.Millisecond
	}, func(answer any) {
		if report, valid := answer.(contract.LoadReport); valid {
			read.Report = report
		} else {
			read.Error = "no report"
		}
		process.handle(read)
	})
}

// queryExternal asks something outside of the process and gives nil after the limit.
func queryExternal(process *process, found location, limit time.Duration, look func() (any, time.Duration), take func(any)) {
	world, here, done := process.day.world, process.machine.place(), false
	end := func(answer any) {
		if !done {
			done = true
			process.Run(func() { take(answer) })
		}
	}
	process.after(limit, func() { end(nil) })
	world.sendMessage(here, found, func() {
		answer, span := look()
		world.After(span, func() { world.sendMessage(found, here, func() { end(answer) }) })
	})
}

func encodeJSON(value any) json.RawMessage {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

// isHead tells whether this process is the head of the chain, which numbers writes.
func (process *controlProcess) isHead() bool {
	member, found := process.owner.(*control.Controller).Feed.View().Head()
	return found && member.Identity() == process.owner.(*control.Controller).Identity()
}

// leave tells the other members, and calls then after the gossip interval that this takes.
func (process *controlProcess) leave(then func()) {
	process.event(control.Leave{})
	process.after(process.settings.Bounds.GossipInterval(), then)
}
