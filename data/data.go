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

// Arrive is the event of a new call from a caller. Unless the caller leaves, each gets exactly one contract.Answer with the same
// token; chunks of a streamed reply go to the caller before it.
type Arrive struct {
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

// Look is the event of a caller that asks what became of an earlier call. Forwarded is set if a node of another region passed the
// question on.
type Look struct {
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

// Reply is the body of a successful contract.Answer. Server is empty if the reply comes from an idempotency record.
type Reply struct {
	Chunks []string
	Server string
}

// Owner is the state machine of one data-plane node. It owns the node's calls and its share of the idempotency records, and
// implements contract.Owner. It is not safe for concurrent use: the process's event loop calls Handle for one event at a time.
type Owner struct {
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
	// exported holds the members that sent this node their records, with the process start that they did so for.
	exported   map[string]string
	nextExport time.Duration
	// token numbers the searches.
	token    int64
	stopping bool
	out      []contract.Command
}

// New returns the state machine of a node. boot identifies this process start; random must be seeded by the caller.
func New(settings env.Env, boot string, random *rand.Rand) *Owner {
	bounds := settings.Bounds
	return &Owner{Node: machine.New(settings, contract.KindData, boot, random), settings: settings,
		shardLeases: map[int]*shardLease{}, jobs: map[int64]*job{}, searches: map[int64]*recordSearch{}, backoffs: map[string]backoff{}, exported: map[string]string{}, queues: line.New(), usages: map[string]pick.Usage{},
		table:      call.NewTable(bounds.RecordRetention(), bounds.Records, bounds.ReplyBytes*maxKeptReplies),
		affinities: newAffinity(maxAffinityEntries), traces: newTraces(maxTraces)}
}

// emit adds commands to those that Handle returns.
func (owner *Owner) emit(commands ...contract.Command) { owner.out = append(owner.out, commands...) }

func (owner *Owner) count(name string) { owner.emit(contract.AddCounter{Name: name, Delta: 1}) }

// Handle processes one event at time now, on the process's monotonic clock, and returns the commands to carry out.
func (owner *Owner) Handle(now time.Duration, event contract.Event) []contract.Command {
	return owner.HandleRelayed(now, event, owner.handle)
}

func (owner *Owner) handle(now time.Duration, event contract.Event) []contract.Command {
	owner.out = nil
	if gap := owner.DetectFreeze(now); gap > 0 {
		owner.afterFreeze(now, gap)
	}
	for _, command := range owner.Node.Handle(now, event) {
		if adopted, ok := command.(contract.VersionAdopted); ok {
			owner.retryBudget.Configure(owner.Feed.Manifest().RepeatPercent, owner.Feed.Manifest().RepeatAtOnce)
			command = contract.Log{Message: "manifest in force", Attributes: []any{"revision", adopted.Version.Position.Revision}}
		}
		owner.emit(command)
	}
	switch event := event.(type) {
	case contract.Tick:
		owner.tick(now)
	case contract.Message:
		owner.message(now, event)
	case Arrive:
		owner.arrive(now, event)
	case Shutdown:
		owner.stopping = true
	case CallerLeft:
		owner.callerLeft(now, event)
	case FirstChunk:
		owner.firstChunk(now, event)
	case AttemptEnded:
		owner.attemptEnded(now, event)
	case HomeForwardEnded:
		owner.forwardEnded(now, event)
	case RecallAnswered:
		owner.recallAnswered(now, event)
	case Look:
		owner.queryOutcome(now, event)
	case contract.OperatorRequest:
		owner.ask(now, event)
	}
	out := owner.out
	owner.out = nil
	return out
}

// afterFreeze runs when the process resumes after it was paused for gap: leases from before no longer count, and calls that were not
// dispatched are refused.
func (owner *Owner) afterFreeze(now, gap time.Duration) {
	owner.emit(contract.AddCounter{Name: "woken", Delta: 1}, contract.Log{Message: "woken from a freeze", Attributes: []any{"ms", gap.Milliseconds()}})
	for _, current := range owner.shardLeases {
		current.expiresAt = 0
	}
	for _, token := range owner.tokens() {
		if job := owner.jobs[token]; job.phase != phaseRunning && job.phase != phaseForwarded {
			owner.refuse(now, job, 503, "this node was frozen; the call did not run", owner.Bounds.Lease())
		}
	}
}

// tokens returns the tokens of all jobs in ascending order, so that iteration is deterministic.
func (owner *Owner) tokens() []int64 {
	tokens := make([]int64, 0, len(owner.jobs))
	for token := range owner.jobs {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	return tokens
}

// tick does the periodic work: expiry, lease requests, record exports, timeouts of calls, dispatch and gauges.
func (owner *Owner) tick(now time.Duration) {
	owner.table.Expire(now)
	owner.expireAbandoned(now)
	owner.requestLeases(now)
	owner.requestExports(now)
	owner.expireSearches(now)
	owner.tickJobs(now)
	owner.dispatchQueued(now)
	owner.reportGauges()
}

func (owner *Owner) message(now time.Duration, message contract.Message) {
	switch message.Kind {
	case shard.MessageLease:
		decodeMessage(owner, message, func(lease contract.Lease) { owner.lease(now, message, lease) })
	case shard.MessageNotOwner:
		decodeMessage(owner, message, func(hint contract.NotOwner) { owner.notOwner(hint) })
	case MessageClaim:
		decodeMessage(owner, message, func(claim Claim) { owner.claim(now, claim) })
	case MessageClaimReply:
		decodeMessage(owner, message, func(claimReply ClaimReply) { owner.claimReply(now, message.From, claimReply) })
	case MessageFinish:
		decodeMessage(owner, message, func(record call.Record) { owner.table.Finish(record) })
	case MessageRelease:
		decodeMessage(owner, message, func(record call.Record) { owner.table.Release(record) })
	case MessageFind:
		decodeMessage(owner, message, func(ask Find) { owner.find(now, ask) })
	case MessageFindReply:
		decodeMessage(owner, message, func(findReply FindReply) { owner.findReply(now, message.From, findReply) })
	case MessageExport:
		decodeMessage(owner, message, func(ask Export) { owner.export(now, ask) })
	case MessageExportReply:
		decodeMessage(owner, message, func(exported ExportReply) { owner.importRecords(now, message, exported) })
	case control.MessageWhyAsk:
		decodeMessage(owner, message, func(ask control.StatusAsk) {
			body, _ := json.Marshal(owner.traces.find(ask.Call))
			owner.emit(contract.Send{To: ask.Address, Kind: control.MessageWhy, Body: control.Status{Token: ask.Token, Node: owner.Self().Name, Body: body}})
		})
	}
}

// decodeMessage unmarshals a message's body and passes it to the handler; a malformed body is only counted.
func decodeMessage[Body any](owner *Owner, message contract.Message, handler func(Body)) {
	var body Body
	if json.Unmarshal(message.Body, &body) != nil {
		owner.count("messages_broken")
		return
	}
	handler(body)
}

// ask forwards an operator's request to the control-plane node that decides it. Why and gone requests can be answered by any
// control-plane node.
func (owner *Owner) ask(now time.Duration, ask contract.OperatorRequest) {
	node, exists := ask.AuthoritativeNode(owner.Feed.View())
	address := node.Address
	if ask.Verb == contract.VerbWhy || ask.Verb == contract.VerbGone {
		for _, member := range owner.Neighbours.Members(now) {
			if member.Kind == contract.KindControl {
				address, exists = member.Address, true
			}
		}
	}
	if !exists || ask.Forwarded {
		owner.emit(contract.ErrorResponse(ask.Token, 503, "no authority is known here yet; nothing was done", owner.Bounds.Round()))
		return
	}
	ask.Forwarded = true
	owner.emit(contract.Forward{Request: ask, Address: address})
}

func (owner *Owner) reportGauges() {
	_, lapsed := owner.candidates(owner.nextLeaseRequest)
	for name, value := range map[string]int{"calls_now": len(owner.jobs), "calls_in_line": owner.queues.Total(), "records": owner.table.Len(), "shards_lapsed": len(lapsed)} {
		owner.emit(contract.SetGauge{Name: name, Value: int64(value)})
	}
}
