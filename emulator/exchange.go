package emulator

import (
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/manifest"
	"strconv"
)

// request is one attempt of a client as it travels to a node.
type request struct {
	attempt *rules.Attempt
	class   *Class
	host    string
	path    string
	prompt  engine.Prompt
	timeout time.Duration
	work    time.Duration
	size    int64
	// startedAt is when the client first wanted the call, and figure its statistics; probes have none.
	startedAt time.Duration
	figure    *Figure
}

// clientAnswer is what a client gets before or instead of a stream.
type clientAnswer struct {
	status     int
	retryAfter time.Duration
	close      bool
	sealed     bool
	identity   string
	complete   bool
}

// answerReceiver receives what comes back on a connection.
type answerReceiver interface {
	answered(answer clientAnswer)
	piece(piece rules.Piece)
}

// serverHead is the head of a server's answer. wrongServer means that the address now belongs to another server.
type serverHead struct {
	identity    string
	sealed      bool
	status      int
	notRun      bool
	wrongServer bool
	load        *gateway.Load
	close       bool
	keepAlive   time.Duration
}

// serverRequest is a request as it travels to a server; head, piece and complete are called with the parts of the answer.
type serverRequest struct {
	request       *request
	target        string
	tenant        string
	timeout       time.Duration
	resumeAfter   int
	priorityClass int
	// presumedTokens is how many tokens of the prompt the node believes to be cached at the server.
	presumedTokens int64
	machine        *machine
	sent           time.Duration
	head           func(serverHead)
	piece          func(rules.Piece)
	complete       func()
}

const (
	headBytes  = 400
	pieceBytes = 60
)

// exchange carries one call to one server after the other, and the answer back. A new generation invalidates callbacks of earlier
// dispatches.
type exchange struct {
	process        *dataProcess
	conn           *conn
	request        *request
	receiver       answerReceiver
	token          int64
	lastPiece      int
	answerStarted  bool
	headCloses     bool
	over           bool
	generation     int
	dispatch       gateway.Dispatch
	upstream       *conn
	deadline       time.Duration
	lastActivity   time.Duration
	silenceTimeout time.Duration
	reply          serverHead
	result         gateway.DispatchEnded
}

// accept accepts a client's connection.
func (data *dataProcess) accept(conn *conn) bool {
	if !data.Up || data.closedToClients {
		return false
	}
	data.clientConns[conn] = nil
	if !data.admitConn(conn) {
		delete(data.clientConns, conn)
		return false
	}
	conn.onClose[acceptor] = func() {
		data.Run(func() {
			left := data.clientConns[conn]
			data.forgetClient(conn)
			if left != nil {
				left()
			}
		})
	}
	return true
}

// serve passes one call to the router and carries out its commands until the call is over.
func (data *dataProcess) serve(conn *conn, request *request, back answerReceiver) {
	data.Run(func() {
		if _, found := data.clientConns[conn]; !found {
			return
		}
		data.token++
		data.traffic.Handle(data.now(), gateway.CallBegan{})
		admitted := data.admitRequest(conn, request)
		request.attempt.ReadAt = data.day.world.Now
		exchange := &exchange{process: data, conn: conn, request: request, receiver: back, token: data.token, lastPiece: request.attempt.ResumeAfter}
		if !admitted {
			request.attempt.Reason = notAdmitted
			exchange.headCloses = true
			exchange.answer(clientAnswer{status: http.StatusServiceUnavailable, retryAfter: refusedRetryAfter, complete: true})
			return
		}
		data.clientConns[conn] = exchange.clientLeft
		arrive := gateway.CallArrived{Token: exchange.token, Host: request.host, Path: request.path, Timeout: request.timeout, Prompt: request.prompt, Size: request.size}
		if request.attempt.Key != "" {
			digest := manifest.DigestKey(request.attempt.Key)
			arrive.KeyDigest = &digest
		}
		if request.attempt.ResumeAfter > 0 {
			arrive.LastEventID = strconv.Itoa(request.attempt.ResumeAfter)
		}
		exchange.perform(data.decide(arrive))
	})
}

func (exchange *exchange) perform(command contract.Command) {
	switch command := command.(type) {
	case gateway.Dispatch:
		exchange.dispatchTo(command)
	case gateway.PlaceQuery:
		exchange.process.queryPlace(command, func(placed gateway.PlaceAnswer) {
			if !exchange.over {
				exchange.perform(exchange.process.decide(placed))
			}
		})
	case gateway.PassAnswer:
		exchange.answer(clientAnswer{status: exchange.reply.status, sealed: exchange.reply.sealed, identity: exchange.reply.identity, complete: true})
	case gateway.Refuse:
		exchange.request.attempt.Reason = command.Reason
		exchange.answer(clientAnswer{status: command.Status, retryAfter: command.RetryAfter, complete: true})
	case gateway.Fail:
		exchange.request.attempt.Reason = command.Reason
		if exchange.answerStarted {
			exchange.end()
			exchange.process.closeClient(exchange.conn)
			return
		}
		exchange.answer(clientAnswer{status: command.Status, complete: true})
	default:
		panic("a command that nobody carries out")
	}
}

func (exchange *exchange) end() {
	exchange.over = true
	exchange.generation++
	exchange.process.traffic.Handle(exchange.process.now(), gateway.CallFinished{})
	if _, found := exchange.process.clientConns[exchange.conn]; found {
		exchange.process.clientConns[exchange.conn] = nil
		exchange.process.admit(admission.RequestEnded{Conn: admission.ConnID(exchange.conn.number)})
	}
}

func (exchange *exchange) answer(answer clientAnswer) {
	exchange.end()
	// The head of a stream that has started told already whether the connection is closed.
	if answer.close = exchange.process.leaving && !exchange.answerStarted || exchange.headCloses; answer.close {
		exchange.process.forgetClient(exchange.conn)
	}
	back := exchange.receiver
	exchange.conn.send(acceptor, headBytes, func() { back.answered(answer) })
	if answer.close {
		exchange.conn.close(acceptor)
	}
}

// clientLeft handles a client that closed its connection.
func (exchange *exchange) clientLeft() {
	if exchange.over {
		return
	}
	exchange.abandon()
	exchange.decide(gateway.OutcomeCallerLeft, "the caller went away")
}

// abandon closes the connection to the current server.
func (exchange *exchange) abandon() {
	exchange.generation++
	if exchange.upstream != nil {
		exchange.upstream.onClose[dialer] = nil
		exchange.process.closeServer(exchange.upstream)
		exchange.upstream = nil
	}
}

func (exchange *exchange) decide(outcome gateway.Outcome, reason string) {
	exchange.result.Outcome, exchange.result.AnswerStarted, exchange.result.Reason = outcome, exchange.answerStarted, reason
	exchange.perform(exchange.process.decide(exchange.result))
}

// endUnclear ends a dispatch after which it is unknown whether the server executed the call.
func (exchange *exchange) endUnclear(reason string) {
	exchange.abandon()
	if exchange.process.now() >= exchange.deadline {
		exchange.decide(gateway.OutcomeDeadlineExceeded, reason)
		return
	}
	exchange.decide(gateway.OutcomeBroken, reason)
}

// dispatchTo sends the call to one server, on an idle or a new connection.
func (exchange *exchange) dispatchTo(dispatch gateway.Dispatch) {
	data := exchange.process
	exchange.generation++
	number := exchange.generation
	exchange.dispatch, exchange.result = dispatch, gateway.DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt}
	exchange.deadline, exchange.silenceTimeout, exchange.upstream = data.now()+dispatch.Timeout, dispatch.SilenceTimeout, nil
	if kept := data.takeIdle(dispatch.Server.Address, dispatch.MaxIdle); kept != nil {
		exchange.sendUpstream(kept)
		return
	}
	server := data.day.serverAt(dispatch.Server.Address)
	to := location{name: dispatch.Server.Address, zone: dispatch.Server.Zone, region: data.day.site.region(dispatch.Server.Zone)}
	accept := func(*conn) bool { return false }
	if server != nil {
		to, accept = server.place(), server.accept
	}
	data.day.connectionsOpened++
	data.day.world.dial(data.machine.place(), to, min(dispatch.ConnectTimeout, dispatch.Timeout), accept, func(opened *conn) {
		if !data.Up {
			if opened != nil {
				opened.close(dialer)
			}
			return
		}
		data.Run(func() {
			switch {
			case exchange.over || exchange.generation != number:
				if opened != nil {
					opened.close(dialer)
				}
			case opened == nil:
				exchange.decide(gateway.OutcomeNotSent, "no connection")
			default:
				data.serverConns[opened] = true
				exchange.sendUpstream(opened)
			}
		})
	})
}

func (exchange *exchange) sendUpstream(upstream *conn) {
	data, number, dispatch := exchange.process, exchange.generation, exchange.dispatch
	guard := func(then func()) {
		data.Run(func() {
			if !exchange.over && exchange.generation == number {
				then()
			}
		})
	}
	exchange.upstream, exchange.lastActivity = upstream, data.now()
	upstream.onClose[dialer] = func() { guard(func() { exchange.endUnclear("the server broke off") }) }
	asked := &serverRequest{request: exchange.request, target: dispatch.Server.Name, tenant: dispatch.Tenant, timeout: dispatch.Timeout, resumeAfter: exchange.lastPiece, priorityClass: dispatch.Priority, presumedTokens: dispatch.CachedTokens, machine: data.machine,
		sent: data.day.world.Now}
	asked.head = func(head serverHead) { guard(func() { exchange.head(head) }) }
	asked.piece = func(piece rules.Piece) { guard(func() { exchange.piece(piece) }) }
	asked.complete = func() { guard(exchange.complete) }
	upstream.send(dialer, exchange.request.size, func() { data.day.servers[upstream.ends[acceptor].name].receive(upstream, asked) })
	data.after(exchange.deadline-data.now(), func() { guard(func() { exchange.endUnclear("its time is over") }) })
	exchange.watchSilence(number)
}

// watchSilence asks the router what to do about a server that sends nothing.
func (exchange *exchange) watchSilence(number int) {
	data := exchange.process
	data.after(exchange.silenceTimeout-(data.now()-exchange.lastActivity), func() {
		if exchange.over || exchange.generation != number {
			return
		}
		if data.now()-exchange.lastActivity < exchange.silenceTimeout {
			exchange.watchSilence(number)
			return
		}
		command := data.decide(gateway.ServerSilent{Token: exchange.dispatch.Token, Attempt: exchange.dispatch.Attempt})
		if wait, valid := command.(gateway.Wait); valid {
			if exchange.silenceTimeout = wait.SilenceTimeout; wait.SilenceTimeout > 0 {
				exchange.lastActivity = data.now()
				exchange.watchSilence(number)
			}
			return
		}
		exchange.abandon()
		exchange.perform(command)
	})
}

func (exchange *exchange) head(head serverHead) {
	exchange.result.Load = head.load
	if head.identity != "" && head.identity != exchange.request.attempt.Identity {
		exchange.endUnclear("the answer is another call's")
		return
	}
	exchange.lastActivity = exchange.process.now()
	exchange.reply = head
	if head.wrongServer || head.notRun {
		return
	}
	valid := head.status/100 == 2
	if valid && (!head.sealed || head.identity == "") {
		exchange.endUnclear("not a server's answer")
		return
	}
	exchange.process.traffic.Handle(exchange.process.now(), gateway.HeadReceived{Token: exchange.dispatch.Token, Attempt: exchange.dispatch.Attempt, Load: head.load})
	exchange.result.ServerError = head.status >= 500
	if exchange.answerStarted && !valid {
		exchange.endUnclear("no going on")
	}
}

func (exchange *exchange) piece(piece rules.Piece) {
	exchange.lastActivity = exchange.process.now()
	if !exchange.answerStarted {
		exchange.answerStarted, exchange.headCloses = true, exchange.process.leaving
		reply := clientAnswer{status: exchange.reply.status, sealed: exchange.reply.sealed, identity: exchange.reply.identity}
		back := exchange.receiver
		exchange.conn.send(acceptor, headBytes, func() { back.answered(reply) })
	}
	if piece.Number == exchange.lastPiece+1 || exchange.lastPiece == 0 {
		exchange.process.traffic.Handle(exchange.process.now(), gateway.StreamStarted{Token: exchange.dispatch.Token, Attempt: exchange.dispatch.Attempt})
	}
	exchange.lastPiece = piece.Number
	back := exchange.receiver
	exchange.conn.send(acceptor, pieceBytes, func() { back.piece(piece) })
}

// complete ends a dispatch with a complete answer; the connection is reused.
func (exchange *exchange) complete() {
	upstream, reply := exchange.upstream, exchange.reply
	exchange.generation++
	exchange.upstream = nil
	if reply.close {
		exchange.process.closeServer(upstream)
	} else {
		exchange.process.putIdle(exchange.dispatch.Server.Address, upstream, reply.keepAlive)
	}
	switch {
	case reply.wrongServer:
		exchange.decide(gateway.OutcomeWrongServer, "another server has the address")
	case reply.notRun:
		exchange.decide(gateway.OutcomeNotRun, "the server did not run it")
	default:
		exchange.decide(gateway.OutcomeComplete, "")
	}
}
