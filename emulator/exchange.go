package emulator

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/manifest"
	"strconv"
)

// request is one try of a caller as it travels.
type request struct {
	try    *rules.Attempt
	class  *Class
	host   string
	path   string
	prompt engine.Prompt
	left   time.Duration
	work   time.Duration
	size   int64
	// began is when the caller wanted it first, and figure how it fares; probes have none.
	began  time.Duration
	figure *Figure
}

// answer is what a caller gets before or in the place of a stream.
type answer struct {
	status int
	after  time.Duration
	close  bool
	sealed bool
	of     string
	whole  bool
}

// caller takes what comes back on a connection.
type caller interface {
	answered(answer answer)
	piece(piece rules.Piece)
}

// head is the beginning of a server's answer.
type head struct {
	identity string
	sealed   bool
	status   int
	notRun   bool
	moved    bool
	load     *gateway.Load
	close    bool
	keep     time.Duration
}

// query is a request as it travels to a server; it answers through take, whole tells the end.
type query struct {
	request *request
	target  string
	tenant  string
	left    time.Duration
	after   int
	urgency int
	// presumed is how many tokens of the prompt the node believes to be kept at the server.
	presumed int64
	machine  *machine
	sent     time.Duration
	head     func(head)
	piece    func(rules.Piece)
	whole    func()
}

const (
	headBytes  = 400
	pieceBytes = 60
)

// exchange carries one call to servers, one after the other, and the answer back.
type exchange struct {
	shell    *dataShell
	conn     *conn
	request  *request
	back     caller
	token    int64
	after    int
	begun    bool
	over     bool
	number   int
	dispatch gateway.Dispatch
	upstream *conn
	limit    time.Duration
	touched  time.Duration
	patience time.Duration
	reply    head
	ended    gateway.DispatchEnded
}

// accept takes a caller's connection.
func (shell *dataShell) accept(conn *conn) bool {
	if !shell.Up || shell.shut {
		return false
	}
	shell.callers[conn] = nil
	conn.closed[far] = func() {
		shell.Run(func() {
			left := shell.callers[conn]
			delete(shell.callers, conn)
			if left != nil {
				left()
			}
		})
	}
	return true
}

// serve takes one call, has it decided, and carries out what was decided until it is over.
func (shell *dataShell) serve(conn *conn, request *request, back caller) {
	shell.Run(func() {
		if _, there := shell.callers[conn]; !there {
			return
		}
		shell.token++
		shell.exchanges++
		shell.touched = shell.now()
		request.try.ReadAt = shell.day.world.Now
		one := &exchange{shell: shell, conn: conn, request: request, back: back, token: shell.token, after: request.try.ResumeAfter}
		shell.callers[conn] = one.left
		arrive := gateway.CallArrived{Token: one.token, Host: request.host, Path: request.path, Timeout: request.left, Prompt: request.prompt, Size: request.size}
		if request.try.Key != "" {
			digest := manifest.DigestKey(request.try.Key)
			arrive.KeyDigest = &digest
		}
		if request.try.ResumeAfter > 0 {
			arrive.LastEventID = strconv.Itoa(request.try.ResumeAfter)
		}
		one.perform(shell.decide(arrive))
	})
}

func (one *exchange) perform(command contract.Command) {
	switch command := command.(type) {
	case gateway.Dispatch:
		one.run(command)
	case gateway.PlaceQuery:
		one.shell.ask(command, func(placed gateway.PlaceAnswer) {
			if !one.over {
				one.perform(one.shell.decide(placed))
			}
		})
	case gateway.PassAnswer:
		one.answer(answer{status: one.reply.status, sealed: one.reply.sealed, of: one.reply.identity, whole: true})
	case gateway.Refuse:
		one.request.try.Reason = command.Reason
		one.answer(answer{status: command.Status, after: command.RetryAfter, whole: true})
	case gateway.Fail:
		one.request.try.Reason = command.Reason
		if one.begun {
			one.end()
			one.conn.close(far)
			delete(one.shell.callers, one.conn)
			return
		}
		one.answer(answer{status: command.Status, whole: true})
	default:
		panic("a command that nobody carries out")
	}
}

func (one *exchange) end() {
	one.over = true
	one.number++
	one.shell.exchanges--
	if _, there := one.shell.callers[one.conn]; there {
		one.shell.callers[one.conn] = nil
	}
}

func (one *exchange) answer(answer answer) {
	one.end()
	if answer.close = one.shell.leaving; answer.close {
		delete(one.shell.callers, one.conn)
	}
	back := one.back
	one.conn.send(far, headBytes, func() { back.answered(answer) })
	if answer.close {
		one.conn.close(far)
	}
}

// left follows a caller that went away.
func (one *exchange) left() {
	if one.over {
		return
	}
	one.abandon()
	one.decide(gateway.OutcomeCallerLeft, "the caller went away")
}

// abandon ends the connection to the server that has the call now.
func (one *exchange) abandon() {
	one.number++
	if one.upstream != nil {
		one.upstream.closed[near] = nil
		one.shell.drop(one.upstream)
		one.upstream = nil
	}
}

func (one *exchange) decide(outcome gateway.Outcome, reason string) {
	one.ended.Outcome, one.ended.AnswerStarted, one.ended.Reason = outcome, one.begun, reason
	one.perform(one.shell.decide(one.ended))
}

// lost ends a dispatch whose answer is unclear.
func (one *exchange) lost(reason string) {
	one.abandon()
	if one.shell.now() >= one.limit {
		one.decide(gateway.OutcomeDeadlineExceeded, reason)
		return
	}
	one.decide(gateway.OutcomeBroken, reason)
}

// run sends the call to one server.
func (one *exchange) run(dispatch gateway.Dispatch) {
	shell := one.shell
	one.number++
	number := one.number
	one.dispatch, one.ended = dispatch, gateway.DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt}
	one.limit, one.patience, one.upstream = shell.now()+dispatch.Timeout, dispatch.SilenceTimeout, nil
	if kept := shell.take(dispatch.Server.Address, dispatch.MaxIdle); kept != nil {
		one.write(kept)
		return
	}
	server := shell.day.at(dispatch.Server.Address)
	to := place{name: dispatch.Server.Address, zone: dispatch.Server.Zone, region: shell.day.site.region(dispatch.Server.Zone)}
	accept := func(*conn) bool { return false }
	if server != nil {
		to, accept = server.place(), server.accept
	}
	shell.day.opened++
	shell.day.world.dial(shell.machine.place(), to, min(dispatch.ConnectTimeout, dispatch.Timeout), accept, func(opened *conn) {
		if !shell.Up {
			if opened != nil {
				opened.close(near)
			}
			return
		}
		shell.Run(func() {
			switch {
			case one.over || one.number != number:
				if opened != nil {
					opened.close(near)
				}
			case opened == nil:
				one.decide(gateway.OutcomeNotSent, "no connection")
			default:
				shell.servers[opened] = true
				one.write(opened)
			}
		})
	})
}

func (one *exchange) write(upstream *conn) {
	shell, number, dispatch := one.shell, one.number, one.dispatch
	guard := func(then func()) {
		shell.Run(func() {
			if !one.over && one.number == number {
				then()
			}
		})
	}
	one.upstream, one.touched = upstream, shell.now()
	upstream.closed[near] = func() { guard(func() { one.lost("the server broke off") }) }
	asked := &query{request: one.request, target: dispatch.Server.Name, tenant: dispatch.Tenant, left: dispatch.Timeout, after: one.after, urgency: dispatch.Priority, presumed: dispatch.CachedTokens, machine: shell.machine,
		sent: shell.day.world.Now}
	asked.head = func(head head) { guard(func() { one.head(head) }) }
	asked.piece = func(piece rules.Piece) { guard(func() { one.piece(piece) }) }
	asked.whole = func() { guard(one.whole) }
	upstream.send(near, one.request.size, func() { shell.day.servers[upstream.ends[far].name].receive(upstream, asked) })
	shell.after(one.limit-shell.now(), func() { guard(func() { one.lost("its time is over") }) })
	one.watch(number)
}

// watch asks the owner of the calls what to do about a server that says nothing.
func (one *exchange) watch(number int) {
	shell := one.shell
	shell.after(one.patience-(shell.now()-one.touched), func() {
		if one.over || one.number != number {
			return
		}
		if shell.now()-one.touched < one.patience {
			one.watch(number)
			return
		}
		command := shell.decide(gateway.ServerSilent{Token: one.dispatch.Token, Attempt: one.dispatch.Attempt})
		if wait, fine := command.(gateway.Wait); fine {
			if one.patience = wait.SilenceTimeout; wait.SilenceTimeout > 0 {
				one.touched = shell.now()
				one.watch(number)
			}
			return
		}
		one.abandon()
		one.perform(command)
	})
}

func (one *exchange) head(head head) {
	one.ended.Load = head.load
	if head.identity != "" && head.identity != one.request.try.Identity {
		one.lost("the answer is another call's")
		return
	}
	one.touched = one.shell.now()
	one.reply = head
	if head.moved || head.notRun {
		return
	}
	fine := head.status/100 == 2
	if fine && (!head.sealed || head.identity == "") {
		one.lost("not a server's answer")
		return
	}
	one.shell.traffic.Handle(one.shell.now(), gateway.HeadReceived{Token: one.dispatch.Token, Attempt: one.dispatch.Attempt, Load: head.load})
	one.ended.ServerError = head.status >= 500
	if one.begun && !fine {
		one.lost("no going on")
	}
}

func (one *exchange) piece(piece rules.Piece) {
	one.touched = one.shell.now()
	if !one.begun {
		one.begun = true
		reply := answer{status: one.reply.status, sealed: one.reply.sealed, of: one.reply.identity}
		back := one.back
		one.conn.send(far, headBytes, func() { back.answered(reply) })
	}
	if piece.Number == one.after+1 || one.after == 0 {
		one.shell.traffic.Handle(one.shell.now(), gateway.StreamStarted{Token: one.dispatch.Token, Attempt: one.dispatch.Attempt})
	}
	one.after = piece.Number
	back := one.back
	one.conn.send(far, pieceBytes, func() { back.piece(piece) })
}

// whole ends a dispatch with a complete answer; the connection is kept for the next call.
func (one *exchange) whole() {
	upstream, reply := one.upstream, one.reply
	one.number++
	one.upstream = nil
	if reply.close {
		one.shell.drop(upstream)
	} else {
		one.shell.keep(one.dispatch.Server.Address, upstream, reply.keep)
	}
	switch {
	case reply.moved:
		one.decide(gateway.OutcomeWrongServer, "another server has the address")
	case reply.notRun:
		one.decide(gateway.OutcomeNotRun, "the server did not run it")
	default:
		one.decide(gateway.OutcomeComplete, "")
	}
}
