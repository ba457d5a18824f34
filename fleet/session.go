package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/stream"
)

// session is one caller's connection to a data process.
type session struct {
	process  *Process
	try      *try
	asked    call.Call
	token    int64
	attempts map[int]*attempt
	written  int
	over     bool
	last     time.Duration
	until    time.Duration
	outer    *session
	inner    *session
	stuck    bool
}

// attempt is one call at one server, over a link of its own.
type attempt struct {
	session *session
	command data.Dispatch
	server  *Server
	relay   *stream.Parser
	pieces  []string
	closed  bool
	stuck   bool
	last    time.Duration
}

func (process *Process) sortedSessions() []*session {
	sessions := []*session{}
	for _, open := range process.sessions {
		sessions = append(sessions, open)
	}
	slices.SortFunc(sessions, func(left, right *session) int { return int(left.token - right.token) })
	return sessions
}

func (process *Process) arrive(try *try, asked call.Call) {
	try.session = process.open(try, asked, nil)
}

func (process *Process) open(try *try, asked call.Call, outer *session) *session {
	process.token++
	open := &session{process: process, try: try, asked: asked, outer: outer, token: process.token, attempts: map[int]*attempt{},
		until: process.machine.fleet.World.Now + asked.Deadline + process.machine.env.Bounds.Round()}
	process.sessions[open.token] = open
	if outer == nil {
		try.session = open
	} else {
		outer.inner = open
	}
	process.handle(data.CallArrived{Token: open.token, Call: asked})
	return open
}

// towards sends something to the caller, in order, unless the link is cut.
func (session *session) towards(then func()) {
	world, here, there := session.process.machine.fleet.World, session.process.machine.place(), session.try.visit.place()
	if session.outer != nil {
		session.outwards(then)
		return
	}
	if world.broken(here, there) {
		session.try.stuck = true
	}
	if session.try.stuck {
		return
	}
	session.last = max(session.last+session.try.visit.pace, world.Now+world.delay(here, there))
	if session.until > 0 && session.last > session.until {
		session.try.stuck = true
		world.At(session.until, session.try.broke)
		return
	}
	world.At(session.last, then)
}

func (session *session) close() {
	session.over = true
	delete(session.process.sessions, session.token)
	for _, open := range session.attempts {
		open.close()
	}
	if inner := session.inner; inner != nil && !inner.over {
		inner.leave()
	}
}

// broken is the end of a connection without an answer.
func (session *session) broken() {
	session.close()
	if session.outer != nil {
		session.lost()
		return
	}
	session.towards(func() { session.try.broke() })
}

func (session *session) piece(text string) {
	number := int64(session.written)
	session.written++
	session.towards(func() { session.try.piece(text, number) })
}

func (session *session) answered(answer contract.Response) {
	if pass, away := answer.Body.(data.HomeForward); away {
		session.pass(pass, pass.Nodes)
		return
	}
	reply, whole := answer.Body.(data.Reply)
	defer session.close()
	defer session.inform(answer.Status)
	if !whole {
		trouble, _ := answer.Body.(contract.ErrorBody)
		if session.written > 0 {
			session.towards(func() { session.try.err() })
			return
		}
		session.towards(func() { session.try.refused(answer.Status, trouble, answer.RetryAfter) })
		return
	}
	for session.written < len(reply.Chunks) && session.try.visit.kind.Class != "lookup" {
		session.piece(reply.Chunks[session.written])
	}
	session.towards(func() { session.try.finished() })
}

func (process *Process) dispatch(command data.Dispatch) {
	fleet, open := process.machine.fleet, process.sessions[command.Token]
	if open == nil {
		return
	}
	next := &attempt{session: open, command: command, server: fleet.Server(command.Server.Name), relay: stream.NewParser(command.AttemptID, process.machine.env.Bounds.ReplyBytes)}
	open.attempts[command.Attempt] = next
	connected := false
	process.after(command.Timeout, func() {
		proof := call.NotSent
		if connected {
			proof = call.NoReply
		}
		process.Run(func() { next.end(proof, "cut at its deadline") })
	})
	process.after(process.machine.env.Bounds.Round(), func() {
		if !connected {
			process.Run(func() { next.end(call.NotSent, "no link could be made") })
		}
	})
	fleet.World.travel(process.machine.place(), next.server.place(), false, func() {
		if next.closed {
			return
		}
		connected = true
		next.server.take(next)
	})
}

func (attempt *attempt) close() { attempt.closed = true }

// end is the last word of an attempt; once a piece has come it can only be whole or broken.
func (attempt *attempt) end(proof call.Result, err string) {
	if attempt.closed {
		return
	}
	attempt.close()
	if proof != call.CompleteReply && len(attempt.pieces) > 0 {
		proof = call.BrokenReply
	}
	process, open := attempt.session.process, attempt.session
	process.handle(data.AttemptEnded{Token: open.token, Attempt: attempt.command.Attempt, Result: proof, Chunks: attempt.pieces, Error: err})
	if proof == call.BrokenReply {
		open.towards(func() { open.try.err() })
		open.inform(502)
		open.close()
	}
}

// back carries something from the server over the attempt's link, in order; after a cut nothing more comes.
func (attempt *attempt) back(then func()) {
	process := attempt.session.process
	world, here, there := process.machine.fleet.World, attempt.server.place(), process.machine.place()
	if world.broken(here, there) {
		attempt.stuck = true
	}
	if attempt.stuck {
		return
	}
	attempt.last = max(attempt.last, world.Now+world.delay(here, there))
	world.At(attempt.last, func() { process.Run(then) })
}

func (attempt *attempt) refusedLink() {
	attempt.back(func() { attempt.end(call.NotSent, "connection refused") })
}

func (attempt *attempt) turnedAway() {
	attempt.back(func() { attempt.end(call.Refused, "the server refused the call") })
}

func (attempt *attempt) linkBroke() {
	attempt.back(func() { attempt.end(call.NoReply, "the link broke") })
}

func (attempt *attempt) bytes(content string) {
	attempt.back(func() {
		if attempt.closed {
			return
		}
		for _, piece := range attempt.relay.Feed([]byte(content)) {
			if len(attempt.pieces) == 0 {
				attempt.session.process.handle(data.FirstChunk{Token: attempt.session.token, Attempt: attempt.command.Attempt})
			}
			attempt.pieces = append(attempt.pieces, piece)
			attempt.session.piece(piece)
		}
		if attempt.relay.Finished() {
			attempt.end(call.CompleteReply, "")
		} else if attempt.relay.Err() != nil {
			attempt.end(call.NoReply, attempt.relay.Err().Error())
		}
	})
}

func (attempt *attempt) body(content []byte) {
	attempt.back(func() {
		if attempt.closed {
			return
		}
		if attempt.session.try.visit.kind.Class == "lookup" {
			var read struct{ ID, Key string }
			if json.Unmarshal(content, &read) != nil || read.ID != attempt.command.AttemptID || read.Key != attempt.session.try.visit.scoped {
				attempt.end(call.NoReply, "another lookup's reply")
				return
			}
			attempt.pieces = []string{string(content)}
			attempt.end(call.CompleteReply, "")
			return
		}
		pieces, err := stream.CompleteReply(content, attempt.command.AttemptID)
		if err != nil {
			attempt.end(call.NoReply, err.Error())
			return
		}
		attempt.pieces = pieces
		attempt.end(call.CompleteReply, "")
	})
}

func (process *Process) cancel(command data.CancelAttempt) {
	if open := process.sessions[command.Token]; open != nil {
		if attempt := open.attempts[command.Attempt]; attempt != nil {
			attempt.close()
		}
	}
}

func (process *Process) recall(command data.RecallAttempt) {
	fleet, server := process.machine.fleet, process.machine.fleet.Server(command.Server.Name)
	fleet.World.travel(process.machine.place(), server.place(), false, func() {
		never := server.recall(command.AttemptID)
		fleet.World.travel(server.place(), process.machine.place(), false, func() {
			process.Event(data.RecallAnswered{Token: command.Token, Attempt: command.Attempt, Confirmed: never})
		})
	})
}
