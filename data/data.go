// Package data is the state machine of a data-plane node (cedardp). It takes calls, claims their idempotency records, queues them,
// picks a model server for each attempt, and answers. It performs no I/O: it turns events into commands for its process to carry out.
package data

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/control"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/line"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/pick"
	"github.com/cedarreel/cedarreel/shard"
)

const (
	maxAffinityEntries = 8192
	maxTraces          = 4096
	// maxKeptReplies is how many replies of the largest allowed size the idempotency records may hold together.
	maxKeptReplies = 32
)

// CallArrived is the event of a new call from a caller. Unless the caller leaves, each gets exactly one contract.Response with the same
// token; chunks of a streamed reply go to the caller before it.
type CallArrived struct {
	Token int64
	Call  call.Call
}

// CallerLeft is the event that a caller disconnected before its call was answered.
type CallerLeft struct{ Token int64 }

// Shutdown is the event that the process is stopping: new calls are refused, and running ones continue.
type Shutdown struct{}

// FirstChunk is the event that the first chunk of an attempt's reply arrived from the server.
type FirstChunk struct {
	Token   int64
	Attempt int
}

// AttemptEnded is the event that an attempt ended. Chunks holds what was received of the reply, and Error the reason of a failure.
type AttemptEnded struct {
	Token   int64
	Attempt int
	Result  call.Result
	Chunks  []string
	Error   string
}

// RecallAnswered is the event that a server answered a RecallAttempt, or did not. Only if Confirmed is set is it certain that the
// server never started the call and will not start it.
type RecallAnswered struct {
	Token     int64
	Attempt   int
	Confirmed bool
}

// OutcomeQuery is the event of a caller that asks what became of an earlier call. Forwarded is set if a node of another region passed the
// question on.
type OutcomeQuery struct {
	Token     int64
	Caller    string
	Key       string
	Home      string
	Forwarded bool
}

// Dispatch is the command to send a call to a server as one attempt. The first byte must not leave after SendBefore, when the lease
// that allowed the choice of this server expires. Timeout bounds the whole attempt. AttemptID is the call's identity at the server.
type Dispatch struct {
	Token      int64
	Attempt    int
	AttemptID  string
	Server     contract.Candidate
	Timeout    time.Duration
	SendBefore time.Duration
}

// CancelAttempt is the command to abort an attempt and close its connection.
type CancelAttempt struct {
	Token   int64
	Attempt int
}

// RecallAttempt is the command to ask a server to give back a call if it has not started it. It is answered by RecallAnswered.
type RecallAttempt struct {
	Token     int64
	Attempt   int
	AttemptID string
	Server    contract.Candidate
}

// Reply is the body of a successful contract.Response. Server is empty if the reply comes from an idempotency record.
type Reply struct {
	Chunks []string
	Server string
}

// Router is the state machine of one data-plane node. It holds the node's calls and its share of the idempotency records, and implements
// contract.StateMachine. It is not safe for concurrent use: the process's event loop calls Handle for one event at a time.
type Router struct {
	*machine.Node
	settings    env.Env
	shardLeases map[int]*shardLease
	jobs        map[int64]*job
	table       *call.Table
	queues      *line.Queues
	retryBudget call.RetryBudget
	// usages counts this node's calls per server; abandoned lists those whose end at the server is not known, oldest first.
	usages    map[string]pick.Usage
	abandoned []abandonedAttempt
	// affinities maps sessions and prefixes to servers.
	affinities *affinity
	traces     *traces
	// backoffs holds the servers that rejected calls, and searches the running searches by token.
	backoffs         map[string]backoff
	searches         map[int64]*recordSearch
	nextLeaseRequest time.Duration
	// importedFrom holds the members that sent this node their records, with the process start that they did so for.
	importedFrom map[string]string
	nextExport   time.Duration
	// lastSearchToken numbers the searches.
	lastSearchToken int64
	stopping        bool
	commands        []contract.Command
}

// New returns the state machine of a node. boot identifies this process start; random must be seeded by the caller.
func New(settings env.Env, boot string, random *rand.Rand) *Router {
	bounds := settings.Bounds
	return &Router{Node: machine.New(settings, contract.KindData, boot, random), settings: settings,
		shardLeases: map[int]*shardLease{}, jobs: map[int64]*job{}, searches: map[int64]*recordSearch{}, backoffs: map[string]backoff{}, importedFrom: map[string]string{}, queues: line.New(), usages: map[string]pick.Usage{},
		table:      call.NewTable(bounds.RecordRetention(), bounds.Records, bounds.ReplyBytes*maxKeptReplies),
		affinities: newAffinity(maxAffinityEntries), traces: newTraces(maxTraces)}
}

// emit adds commands to those that Handle returns.
func (router *Router) emit(added ...contract.Command) {
	router.commands = append(router.commands, added...)
}

func (router *Router) count(name string) { router.emit(contract.AddCounter{Name: name, Delta: 1}) }

// Handle processes one event at time now, on the process's monotonic clock, and returns the commands to carry out.
func (router *Router) Handle(now time.Duration, event contract.Event) []contract.Command {
	return router.HandleRelayed(now, event, router.handle)
}

func (router *Router) handle(now time.Duration, event contract.Event) []contract.Command {
	router.commands = nil
	if gap := router.DetectFreeze(now); gap > 0 {
		router.afterFreeze(now, gap)
	}
	for _, command := range router.Node.Handle(now, event) {
		if adopted, ok := command.(contract.VersionAdopted); ok {
			router.retryBudget.Configure(router.Feed.Manifest().RepeatPercent, router.Feed.Manifest().RepeatAllowance)
			command = contract.Log{Message: "manifest in force", Attributes: []any{"revision", adopted.Version.Position.Revision}}
		}
		router.emit(command)
	}
	switch event := event.(type) {
	case contract.Tick:
		router.tick(now)
	case contract.Message:
		router.handleMessage(now, event)
	case CallArrived:
		router.handleCallArrived(now, event)
	case Shutdown:
		router.stopping = true
	case CallerLeft:
		router.callerLeft(now, event)
	case FirstChunk:
		router.firstChunk(now, event)
	case AttemptEnded:
		router.attemptEnded(now, event)
	case HomeForwardEnded:
		router.forwardEnded(now, event)
	case RecallAnswered:
		router.recallAnswered(now, event)
	case OutcomeQuery:
		router.queryOutcome(now, event)
	case contract.OperatorRequest:
		router.handleOperatorRequest(now, event)
	}
	out := router.commands
	router.commands = nil
	return out
}

// afterFreeze runs when the process resumes after it was paused for gap: leases from before no longer count, and calls that were not
// dispatched are refused.
func (router *Router) afterFreeze(now, gap time.Duration) {
	router.emit(contract.AddCounter{Name: "woken", Delta: 1}, contract.Log{Message: "woken from a freeze", Attributes: []any{"ms", gap.Milliseconds()}})
	for _, current := range router.shardLeases {
		current.expiresAt = 0
	}
	for _, token := range router.sortedTokens() {
		if job := router.jobs[token]; job.phase != phaseRunning && job.phase != phaseForwarded {
			router.refuse(now, job, 503, "this node was frozen; the call did not run", router.Bounds.Lease())
		}
	}
}

// sortedTokens returns the tokens of all jobs in ascending order, so that iteration is deterministic.
func (router *Router) sortedTokens() []int64 {
	tokens := make([]int64, 0, len(router.jobs))
	for token := range router.jobs {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	return tokens
}

// tick does the periodic work: expiry, lease requests, record exports, timeouts of calls, dispatch and gauges.
func (router *Router) tick(now time.Duration) {
	router.table.Expire(now)
	router.expireAbandoned(now)
	router.requestLeases(now)
	router.requestExports(now)
	router.expireSearches(now)
	router.tickJobs(now)
	router.dispatchQueued(now)
	router.reportGauges()
}

func (router *Router) handleMessage(now time.Duration, message contract.Message) {
	switch message.Kind {
	case shard.MessageLease:
		decodeMessage(router, message, func(lease contract.Lease) { router.handleLease(now, message, lease) })
	case shard.MessageNotOwner:
		decodeMessage(router, message, func(hint contract.NotOwner) { router.handleNotOwner(hint) })
	case MessageClaim:
		decodeMessage(router, message, func(claim Claim) { router.handleClaim(now, claim) })
	case MessageClaimReply:
		decodeMessage(router, message, func(claimReply ClaimReply) { router.handleClaimReply(now, message.From, claimReply) })
	case MessageFinish:
		decodeMessage(router, message, func(record call.Record) { router.table.Finish(record) })
	case MessageRelease:
		decodeMessage(router, message, func(record call.Record) { router.table.Release(record) })
	case MessageFind:
		decodeMessage(router, message, func(ask Find) { router.handleFind(now, ask) })
	case MessageFindReply:
		decodeMessage(router, message, func(findReply FindReply) { router.handleFindReply(now, message.From, findReply) })
	case MessageExport:
		decodeMessage(router, message, func(ask Export) { router.handleExport(now, ask) })
	case MessageExportReply:
		decodeMessage(router, message, func(exported ExportReply) { router.importRecords(now, message, exported) })
	case control.MessageTraceRequest:
		decodeMessage(router, message, func(ask control.StatusRequest) {
			body, _ := json.Marshal(router.traces.find(ask.Call))
			router.emit(contract.Send{To: ask.Address, Kind: control.MessageTraceReply, Body: control.StatusReply{Token: ask.Token, Node: router.Self().Name, Body: body}})
		})
	}
}

// decodeMessage unmarshals a message's body and passes it to the handler; a malformed body is only counted.
func decodeMessage[Body any](router *Router, message contract.Message, handler func(Body)) {
	var body Body
	if json.Unmarshal(message.Body, &body) != nil {
		router.count("messages_broken")
		return
	}
	handler(body)
}

// handleOperatorRequest forwards an operator's request to the control-plane node that decides it. Why and gone requests can be answered by any
// control-plane node.
func (router *Router) handleOperatorRequest(now time.Duration, ask contract.OperatorRequest) {
	node, exists := ask.AuthoritativeNode(router.Feed.View())
	address := node.Address
	if ask.Verb == contract.VerbWhy || ask.Verb == contract.VerbGone {
		for _, member := range router.Neighbours.Members(now) {
			if member.Kind == contract.KindControl {
				address, exists = member.Address, true
			}
		}
	}
	if !exists || ask.Forwarded {
		router.emit(contract.ErrorResponse(ask.Token, 503, "no authority is known here yet; nothing was done", router.Bounds.Round()))
		return
	}
	ask.Forwarded = true
	router.emit(contract.Forward{Request: ask, Address: address})
}

func (router *Router) reportGauges() {
	_, lapsed := router.candidates(router.nextLeaseRequest)
	for name, value := range map[string]int{"calls_now": len(router.jobs), "calls_in_line": router.queues.TotalWaiting(), "records": router.table.Len(), "shards_lapsed": len(lapsed)} {
		router.emit(contract.SetGauge{Name: name, Value: int64(value)})
	}
}
