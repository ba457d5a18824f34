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

// session is one client connection at a data process, or a call that another node forwarded to it.
type session struct {
	process  *Process
	client   *clientAttempt
	request  call.Call
	token    int64
	attempts map[int]*serverAttempt
	// chunksSent counts the chunks sent to the client, or through this node.
	chunksSent int
	ended      bool
	// lastDelivery is when the latest delivery arrives; later ones arrive no earlier.
	lastDelivery time.Duration
	// sendDeadline is when the node closes the connection of a client that reads too slowly.
	sendDeadline time.Duration
	// forwarder is the session at the node that forwarded the call here; forwarded the one that this node forwarded to.
	forwarder *session
	forwarded *session
	// linkCut means that a cut link stopped the answer; nothing more is sent.
	linkCut bool
}

// serverAttempt is one dispatch of a call to a server over a connection of its own.
type serverAttempt struct {
	session      *session
	command      data.Dispatch
	server       *Server
	parser       *stream.Parser
	chunks       []string
	closed       bool
	linkCut      bool
	lastDelivery time.Duration
}

func (process *Process) sortedSessions() []*session {
	sessions := []*session{}
	for _, opened := range process.sessions {
		sessions = append(sessions, opened)
	}
	slices.SortFunc(sessions, func(left, right *session) int { return int(left.token - right.token) })
	return sessions
}

func (process *Process) accept(client *clientAttempt, request call.Call) {
	client.session = process.open(client, request, nil)
}

func (process *Process) open(client *clientAttempt, request call.Call, forwarder *session) *session {
	process.token++
	opened := &session{process: process, client: client, request: request, forwarder: forwarder, token: process.token, attempts: map[int]*serverAttempt{},
		sendDeadline: process.machine.fleet.World.Now + request.Deadline + process.machine.env.Bounds.Round()}
	process.sessions[opened.token] = opened
	if forwarder == nil {
		client.session = opened
	} else {
		forwarder.forwarded = opened
	}
	process.handle(data.CallArrived{Token: opened.token, Call: request})
	return opened
}

// sendToCaller delivers something to the client, in order, unless the link is cut.
func (session *session) sendToCaller(action func()) {
	world, here, there := session.process.machine.fleet.World, session.process.machine.location(), session.client.call.location()
	if session.forwarder != nil {
		session.sendToForwarder(action)
		return
	}
	if world.isCut(here, there) {
		session.client.linkCut = true
	}
	if session.client.linkCut {
		return
	}
	session.lastDelivery = max(session.lastDelivery+session.client.call.readDelay, world.Now+world.delay(here, there))
	if session.sendDeadline > 0 && session.lastDelivery > session.sendDeadline {
		session.client.linkCut = true
		world.At(session.sendDeadline, session.client.connectionBroken)
		return
	}
	world.At(session.lastDelivery, action)
}

func (session *session) close() {
	session.ended = true
	delete(session.process.sessions, session.token)
	for _, opened := range session.attempts {
		opened.close()
	}
	if forwarded := session.forwarded; forwarded != nil && !forwarded.ended {
		forwarded.callerLeft()
	}
}

// connectionBroken ends a session whose node died before the answer.
func (session *session) connectionBroken() {
	session.close()
	if session.forwarder != nil {
		session.forwardLost()
		return
	}
	session.sendToCaller(func() { session.client.connectionBroken() })
}

func (session *session) sendChunk(text string) {
	number := int64(session.chunksSent)
	session.chunksSent++
	session.sendToCaller(func() { session.client.receiveChunk(text, number) })
}

// answered handles the answer of the data process: a forward, an error or a complete reply.
func (session *session) answered(answer contract.Response) {
	if forward, outsideHome := answer.Body.(data.HomeForward); outsideHome {
		session.forwardHome(forward, forward.Nodes)
		return
	}
	reply, complete := answer.Body.(data.Reply)
	defer session.close()
	defer session.reportForwardEnd(answer.Status)
	if !complete {
		errorBody, _ := answer.Body.(contract.ErrorBody)
		if session.chunksSent > 0 {
			session.sendToCaller(func() { session.client.interrupted() })
			return
		}
		session.sendToCaller(func() { session.client.refused(answer.Status, errorBody, answer.RetryAfter) })
		return
	}
	for session.chunksSent < len(reply.Chunks) && session.client.call.profile.Class != "lookup" {
		session.sendChunk(reply.Chunks[session.chunksSent])
	}
	session.sendToCaller(func() { session.client.receiveEnd() })
}

// dispatch connects to a server and hands the call over, with time limits for the connection and for the reply.
func (process *Process) dispatch(command data.Dispatch) {
	fleet, opened := process.machine.fleet, process.sessions[command.Token]
	if opened == nil {
		return
	}
	attempt := &serverAttempt{session: opened, command: command, server: fleet.Server(command.Server.Name), parser: stream.NewParser(command.AttemptID, process.machine.env.Bounds.ReplyBytes)}
	opened.attempts[command.Attempt] = attempt
	connected := false
	process.after(command.Timeout, func() {
		result := call.NotSent
		if connected {
			result = call.NoReply
		}
		process.Run(func() { attempt.end(result, "cut at its deadline") })
	})
	process.after(process.machine.env.Bounds.Round(), func() {
		if !connected {
			process.Run(func() { attempt.end(call.NotSent, "no link could be made") })
		}
	})
	fleet.World.deliver(process.machine.location(), attempt.server.location(), false, func() {
		if attempt.closed {
			return
		}
		connected = true
		attempt.server.accept(attempt)
	})
}

func (attempt *serverAttempt) close() { attempt.closed = true }

// end reports the result of an attempt. After a first chunk it can only be a complete or a broken reply.
func (attempt *serverAttempt) end(result call.Result, err string) {
	if attempt.closed {
		return
	}
	attempt.close()
	if result != call.CompleteReply && len(attempt.chunks) > 0 {
		result = call.BrokenReply
	}
	process, opened := attempt.session.process, attempt.session
	process.handle(data.AttemptEnded{Token: opened.token, Attempt: attempt.command.Attempt, Result: result, Chunks: attempt.chunks, Error: err})
	if result == call.BrokenReply {
		opened.sendToCaller(func() { opened.client.interrupted() })
		opened.reportForwardEnd(502)
		opened.close()
	}
}

// deliver brings something from the server to the node, in order; after a cut of the link nothing more arrives.
func (attempt *serverAttempt) deliver(action func()) {
	process := attempt.session.process
	world, here, there := process.machine.fleet.World, attempt.server.location(), process.machine.location()
	if world.isCut(here, there) {
		attempt.linkCut = true
	}
	if attempt.linkCut {
		return
	}
	attempt.lastDelivery = max(attempt.lastDelivery, world.Now+world.delay(here, there))
	world.At(attempt.lastDelivery, func() { process.Run(action) })
}

func (attempt *serverAttempt) connectionRefused() {
	attempt.deliver(func() { attempt.end(call.NotSent, "connection refused") })
}

func (attempt *serverAttempt) callRefused() {
	attempt.deliver(func() { attempt.end(call.Refused, "the server refused the call") })
}

func (attempt *serverAttempt) connectionBroken() {
	attempt.deliver(func() { attempt.end(call.NoReply, "the link broke") })
}

func (attempt *serverAttempt) receiveStream(content string) {
	attempt.deliver(func() {
		if attempt.closed {
			return
		}
		for _, chunk := range attempt.parser.Feed([]byte(content)) {
			if len(attempt.chunks) == 0 {
				attempt.session.process.handle(data.FirstChunk{Token: attempt.session.token, Attempt: attempt.command.Attempt})
			}
			attempt.chunks = append(attempt.chunks, chunk)
			attempt.session.sendChunk(chunk)
		}
		if attempt.parser.Finished() {
			attempt.end(call.CompleteReply, "")
		} else if attempt.parser.Err() != nil {
			attempt.end(call.NoReply, attempt.parser.Err().Error())
		}
	})
}

func (attempt *serverAttempt) receiveBody(content []byte) {
	attempt.deliver(func() {
		if attempt.closed {
			return
		}
		if attempt.session.client.call.profile.Class == "lookup" {
			var read struct{ ID, Key string }
			if json.Unmarshal(content, &read) != nil || read.ID != attempt.command.AttemptID || read.Key != attempt.session.client.call.key {
				attempt.end(call.NoReply, "another lookup's reply")
				return
			}
			attempt.chunks = []string{string(content)}
			attempt.end(call.CompleteReply, "")
			return
		}
		chunks, err := stream.CompleteReply(content, attempt.command.AttemptID)
		if err != nil {
			attempt.end(call.NoReply, err.Error())
			return
		}
		attempt.chunks = chunks
		attempt.end(call.CompleteReply, "")
	})
}

func (process *Process) cancel(command data.CancelAttempt) {
	if opened := process.sessions[command.Token]; opened != nil {
		if attempt := opened.attempts[command.Attempt]; attempt != nil {
			attempt.close()
		}
	}
}

func (process *Process) recall(command data.RecallAttempt) {
	fleet, server := process.machine.fleet, process.machine.fleet.Server(command.Server.Name)
	fleet.World.deliver(process.machine.location(), server.location(), false, func() {
		never := server.recall(command.AttemptID)
		fleet.World.deliver(server.location(), process.machine.location(), false, func() {
			process.Event(data.RecallAnswered{Token: command.Token, Attempt: command.Attempt, Confirmed: never})
		})
	})
}
