package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// clientCall is one call of a simulated client. The client sends it again with the same key, each time to another node, until it gets
// an outcome that is final for it.
type clientCall struct {
	fleet   *Fleet
	profile site.Caller
	caller  string
	home    string
	key     string
	// prefix is the shared start of the prompt, empty if there is none.
	prefix string
	// session groups the turns of one conversation, empty if there is none.
	session  string
	attempts int
	// isRetry marks the next attempt as a retry of a call that may have run.
	isRetry bool
	// unmarkedRetries makes the client send the key again on its own schedule without marking it as a retry.
	unmarkedRetries bool
	// readDelay is the pause between reads of a slow client.
	readDelay   time.Duration
	firstSentAt time.Duration
	// hangsUpAfter is the time after which the client leaves; zero means that it stays.
	hangsUpAfter time.Duration
	onFirstChunk func()
	duration     time.Duration
	// node is the machine of the latest attempt.
	node *Machine
	// Result is the outcome of the last attempt, empty while there is none.
	Result string
}

// clientAttempt is one request of a client to one node.
type clientAttempt struct {
	call    *clientCall
	node    *Machine
	session *session
	// index is the position of the attempt in the ledger's record of the call.
	index  int
	sentAt time.Duration
	reply  ledger.Reply
	ended  bool
	// linkCut means that a cut link stopped the request or the answer, or that the node closed the connection of a slow reader.
	linkCut bool
}

// Limits of a client's retries, and the pause between two attempts.
const (
	maxClientAttempts   = 4
	minClientRetryDelay = 200 * time.Millisecond
	maxClientRetryDelay = 2 * time.Second
	// outsideHomeShare is the share of clients that have moved and call nodes of any region.
	outsideHomeShare = 0.15
)

func (request *clientCall) location() location {
	return location{"callers-" + request.node.Zone, request.node.Zone, request.node.Region}
}

// prefixDigest is the name under which nodes and servers know the prefix of the prompt.
func (request *clientCall) prefixDigest() string {
	return contract.Digest([]byte(request.prefix))[:16]
}

// send sends the call to a random node of its home region other than the last one; a share of the clients uses any region.
func (request *clientCall) send() {
	fleet := request.fleet
	nodes, away := []*Machine{}, fleet.World.Random.Float64() < outsideHomeShare
	for _, machine := range fleet.Machines {
		if (away || machine.Region == request.home) && (request.node == nil || machine != request.node) {
			nodes = append(nodes, machine)
		}
	}
	request.node = nodes[fleet.World.Random.IntN(len(nodes))]
	request.sendTo(request.node)
}

// sendTo sends the call to this node as the next attempt.
func (request *clientCall) sendTo(machine *Machine) {
	fleet, deadline := request.fleet, time.Duration(request.profile.DeadlineMs)*time.Millisecond
	request.node = machine
	request.attempts++
	attempt := &clientAttempt{call: request, node: machine, sentAt: fleet.World.Now}
	inference := request.profile.Class != "lookup"
	attempt.index = fleet.Ledger.AttemptSent(request.key, request.profile.Class, request.home, inference, machine.Name, machine.Region != request.home, fleet.World.Now, deadline)
	payload := call.Call{Key: request.key, Caller: request.caller, Route: request.profile.Route, Home: request.home, Tokens: request.profile.Tokens,
		IsRetry: request.isRetry, Deadline: deadline, Digest: contract.Digest([]byte(request.key)), IsLookup: !inference,
		Session: request.session}
	if request.isRetry {
		payload.Age = fleet.World.Now - request.firstSentAt + 1
	} else if request.firstSentAt == 0 {
		request.firstSentAt = fleet.World.Now
	}
	if request.prefix != "" {
		payload.Prefix = request.prefixDigest()
	}
	process := machine.Data
	fleet.openAttempts++
	fleet.World.After(deadline+fleet.Bounds.Deliver()/2, func() { attempt.timedOut() })
	if request.hangsUpAfter > 0 {
		fleet.World.After(request.hangsUpAfter, attempt.hangUp)
	}
	lost := func() { attempt.linkCut = true }
	sent := fleet.World.deliverOrLose(request.location(), machine.location(), false, func() {
		if !process.Up {
			fleet.World.deliverOrLose(machine.location(), request.location(), false, func() { attempt.end("not_run", 0) }, lost)
			return
		}
		process.Run(func() {
			if !attempt.ended {
				process.accept(attempt, payload)
			}
		})
	}, lost)
	attempt.linkCut = attempt.linkCut || !sent
}

// hangUp closes the connection of a client that leaves before its answer is complete.
func (attempt *clientAttempt) hangUp() {
	if attempt.ended || attempt.session == nil || attempt.session.ended {
		return
	}
	session := attempt.session
	attempt.ended = true
	attempt.call.fleet.openAttempts--
	attempt.reply.Outcome = "left"
	attempt.call.fleet.Ledger.AttemptAnswered(attempt.call.key, attempt.index, attempt.call.fleet.World.Now, attempt.reply)
	session.process.Run(func() {
		if !session.ended {
			session.process.handle(data.CallerLeft{Token: session.token})
			session.close()
		}
	})
}

// receiveChunk takes a chunk with its sequence number; one text may hold several chunks of a reply that was not streamed.
func (attempt *clientAttempt) receiveChunk(text string, number int64) {
	if attempt.ended {
		return
	}
	if attempt.reply.FirstChunkAfter == 0 {
		attempt.reply.FirstChunkAfter = attempt.call.fleet.World.Now - attempt.sentAt
		if attempt.call.onFirstChunk != nil {
			attempt.call.onFirstChunk()
		}
	}
	for _, chunk := range strings.SplitAfter(text, ";") {
		if chunk != "" {
			attempt.reply.Chunks = append(attempt.reply.Chunks, chunk)
		}
	}
	if !attempt.call.profile.Unary {
		attempt.reply.ChunkNumbers = append(attempt.reply.ChunkNumbers, number)
	}
}

// receiveEnd ends the attempt with a complete reply.
func (attempt *clientAttempt) receiveEnd() {
	attempt.reply.Finished = true
	if attempt.reply.FirstChunkAfter == 0 {
		attempt.reply.FirstChunkAfter = attempt.call.fleet.World.Now - attempt.sentAt
	}
	attempt.end("done", 0)
}

// interrupted ends the attempt with an error that came after the first chunk.
func (attempt *clientAttempt) interrupted() { attempt.end("interrupted", 0) }

// connectionBroken ends an attempt whose connection closed without an answer.
func (attempt *clientAttempt) connectionBroken() { attempt.end("broken", 0) }

// timedOut ends an attempt that got no answer in time; a cut link, or a fault of the node since the attempt was sent, excuses it.
func (attempt *clientAttempt) timedOut() {
	if !attempt.ended {
		attempt.reply.Node = attempt.node.Name
		attempt.reply.Excused = attempt.linkCut || attempt.node.faultySince(attempt.sentAt)
		attempt.end(ledger.OutcomeNoAnswer, 0)
	}
}

// refused ends the attempt with an error answer; after is its Retry-After.
func (attempt *clientAttempt) refused(status int, errorBody contract.ErrorBody, after time.Duration) {
	attempt.reply.Status, attempt.reply.RetryAfter = status, after
	outcome := errorBody.Outcome
	if outcome == "" {
		outcome = fmt.Sprint(status)
	}
	attempt.end(outcome, after)
}

// end records the outcome and schedules the next attempt unless the outcome is final or the attempts are used up.
func (attempt *clientAttempt) end(outcome string, after time.Duration) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	request, fleet := attempt.call, attempt.call.fleet
	fleet.openAttempts--
	if session := attempt.session; outcome == ledger.OutcomeNoAnswer && session != nil && !session.ended {
		session.process.Run(func() {
			if !session.ended {
				session.process.handle(data.CallerLeft{Token: session.token})
				session.close()
			}
		})
	}
	attempt.reply.Outcome = outcome
	fleet.Ledger.AttemptAnswered(request.key, attempt.index, fleet.World.Now, attempt.reply)
	request.Result, request.duration = outcome, fleet.World.Now-attempt.sentAt
	if outcome == "done" || outcome == "interrupted" || outcome == "unknown" || request.attempts >= maxClientAttempts {
		fleet.recordServed(request, outcome)
		return
	}
	if request.unmarkedRetries {
		return
	}
	if outcome != "not_run" {
		request.isRetry = true
	}
	fleet.World.After(min(max(after, minClientRetryDelay), maxClientRetryDelay), request.send)
}
