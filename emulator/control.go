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

// controlShell carries out what the owner in a control process wants.
type controlShell struct {
	*process
	settings env.Env
	asks     map[int64]func(contract.Response)
	token    int64
}

func newControlShell(machine *machine, settings env.Env) *controlShell {
	var recovered *chain.Recovered
	if machine.disk != nil {
		loaded, failure := image.Load(machine.disk)
		if failure != nil {
			panic(failure)
		}
		recovered = &loaded
	}
	shell := &controlShell{settings: settings, asks: map[int64]func(contract.Response){}}
	owner := control.New(settings, machine.boot(), recovered, machine.random())
	if machine.disk != nil {
		snapshot, damaged := image.LoadIndex(machine.disk)
		machine.day.counts["control index_snapshots_damaged"] += int64(damaged)
		machine.day.counts["control index_places_restored"] += int64(len(snapshot.Places))
		owner.RestoreIndex(snapshot)
	}
	shell.process = machine.process(contract.KindControl, owner)
	shell.perform = shell.act
	return shell
}

func (shell *controlShell) act(command contract.Command) bool {
	switch command := command.(type) {
	case chain.Persist:
		shell.machine.disk.Save(func() {
			persisted := chain.Persisted{Token: command.Token}
			if failure := image.Save(shell.machine.disk, command); failure != nil {
				persisted.Error = failure.Error()
			}
			shell.event(persisted)
		})
	case index.Persist:
		shell.machine.disk.Save(func() {
			persisted := index.Persisted{}
			if failure := image.SaveIndex(shell.machine.disk, command.Snapshot); failure != nil {
				persisted.Error = failure.Error()
			}
			shell.event(persisted)
		})
	case shard.ReadPlatform:
		shell.readList()
	case shard.ReadReport:
		shell.readReport(command)
	case shard.Order:
		shell.event(shard.OrderResult{Server: command.Server, Load: command.Load})
	case contract.Response:
		take := shell.asks[command.Token]
		delete(shell.asks, command.Token)
		if take != nil {
			take(command)
		}
	case contract.Forward:
		forward(shell.process, command, func(answer contract.Response) { shell.act(answer) })
	default:
		return false
	}
	return true
}

// ask puts an operator's question to this process.
func (shell *controlShell) ask(ask contract.OperatorRequest, take func(contract.Response)) {
	shell.Run(func() {
		shell.token++
		ask.Token = shell.token
		shell.asks[ask.Token] = take
		shell.handle(ask)
	})
}

// forward carries an ask to the authority; an answer that is lost is unknown.
func forward(process *process, forward contract.Forward, give func(contract.Response)) {
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
	day.world.post(process.machine.place(), target.machine.place(), func() {
		if !target.Up {
			day.world.post(target.machine.place(), process.machine.place(), func() { end(contract.ErrorResponse(0, 503, "the authority cannot be reached; nothing was done", 0)) })
			return
		}
		target.machine.control.ask(forward.Request, func(answer contract.Response) {
			day.world.post(target.machine.place(), process.machine.place(), func() { end(answer) })
		})
	})
}

// readList reads the list page by page, each within the time for it.
func (shell *controlShell) readList() {
	read, limit := shard.ListingResult{StartedAt: shell.now()}, shell.settings.Bounds.PlatformPoll()
	var page func(number int)
	page = func(number int) {
		question(shell.process, shell.day.list.place(), limit, func() (any, time.Duration) {
			rows, more, fine := shell.day.list.page(number)
			if !fine {
				return nil, 0
			}
			return listPage{rows, more}, 0
		}, func(answer any) {
			got, fine := answer.(listPage)
			if !fine {
				read.Listing, read.Error = contract.Listing{}, "the list could not be read"
				shell.handle(read)
				return
			}
			read.Listing.Servers = append(read.Listing.Servers, got.rows...)
			if got.more {
				page(number + 1)
				return
			}
			shell.handle(read)
		})
	}
	page(0)
}

type listPage struct {
	rows []contract.ListedServer
	more bool
}

func (shell *controlShell) readReport(command shard.ReadReport) {
	read := shard.ReportResult{Server: command.Server, Request: command, ReadResult: retire.ReadResult{StartedAt: shell.now()}}
	server := shell.day.at(command.Address)
	if server == nil {
		read.Error = "nobody is there"
		shell.event(read)
		return
	}
	question(shell.process, server.place(), shell.settings.Bounds.PlatformPoll(), func() (any, time.Duration) {
		report, fine := server.report(command.Server)
		if !fine {
			return nil, 0
		}
		return report, time.Millisecond
	}, func(answer any) {
		if report, fine := answer.(contract.LoadReport); fine {
			read.Report = report
		} else {
			read.Error = "no report"
		}
		shell.handle(read)
	})
}

// question asks something outside and takes its answer, or nothing when the limit is over.
func question(process *process, there place, limit time.Duration, look func() (any, time.Duration), take func(any)) {
	world, here, done := process.day.world, process.machine.place(), false
	end := func(answer any) {
		if !done {
			done = true
			process.Run(func() { take(answer) })
		}
	}
	process.after(limit, func() { end(nil) })
	world.post(here, there, func() {
		answer, span := look()
		world.After(span, func() { world.post(there, here, func() { end(answer) }) })
	})
}

func content(value any) json.RawMessage {
	text, failure := json.Marshal(value)
	if failure != nil {
		panic(failure)
	}
	return text
}

// leads tells whether this process numbers writes now.
func (shell *controlShell) leads() bool {
	member, there := shell.owner.(*control.Controller).Feed.View().Head()
	return there && member.Identity() == shell.owner.(*control.Controller).Identity()
}

// leave tells the others, and ends after the time that this takes.
func (shell *controlShell) leave(then func()) {
	shell.event(control.Leave{})
	shell.after(shell.settings.Bounds.GossipInterval(), then)
}
