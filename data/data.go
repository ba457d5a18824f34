// Package data is the owner in a cedardp: it takes calls, records, admits, picks and ends them.
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
	affinitySize = 8192
	tracesSize   = 4096
	replyMemory  = 32
)

// Arrive is a caller's call; every one gets exactly one Answer or one Dispatch that ends whole or broken.
type Arrive struct {
	Token int64
	Call  call.Call
}

type Left struct{ Token int64 }

// Stop refuses new calls from now on; those that run go on.
type Stop struct{}

// Begun tells that the first piece of an attempt's reply reached the caller's side.
type Begun struct {
	Token   int64
	Attempt int
}

type Ended struct {
	Token   int64
	Attempt int
	Result  call.Result
	Chunks  []string
	Error   string
}

type Recalled struct {
	Token   int64
	Attempt int
	Never   bool
}

type Look struct {
	Token     int64
	Caller    string
	Key       string
	Home      string
	Forwarded bool
}

// Dispatch sends a call to a server; no byte of it may leave after Until, when the lease that allowed it has lapsed.
type Dispatch struct {
	Token    int64
	Attempt  int
	Identity string
	Server   contract.Candidate
	Limit    time.Duration
	Until    time.Duration
}

type Cancel struct {
	Token   int64
	Attempt int
}

type Recall struct {
	Token    int64
	Attempt  int
	Identity string
	Server   contract.Candidate
}

// Reply is the body of a successful answer.
type Reply struct {
	Chunks []string
	Server string
}

type Owner struct {
	*machine.Node
	settings  env.Env
	grants    map[int]*grant
	jobs      map[int64]*job
	table     *call.Table
	lines     *line.Lines
	repeats   call.RetryBudget
	usages    map[string]pick.Usage
	lingers   []linger
	sessions  *affinity
	traces    *traces
	turned    map[string]rest
	finds     map[int64]*find
	nextAsk   time.Duration
	shared    map[string]string
	nextShare time.Duration
	token     int64
	stopping  bool
	out       []contract.Command
}

func New(settings env.Env, boot string, random *rand.Rand) *Owner {
	bounds := settings.Bounds
	return &Owner{Node: machine.New(settings, contract.KindData, boot, random), settings: settings,
		grants: map[int]*grant{}, jobs: map[int64]*job{}, finds: map[int64]*find{}, turned: map[string]rest{}, shared: map[string]string{}, lines: line.New(), usages: map[string]pick.Usage{},
		table:    call.NewTable(bounds.RecordRetention(), bounds.Records, bounds.ReplyBytes*replyMemory),
		sessions: newAffinity(affinitySize), traces: newTraces(tracesSize)}
}

func (owner *Owner) emit(commands ...contract.Command) { owner.out = append(owner.out, commands...) }

func (owner *Owner) count(name string) { owner.emit(contract.Count{Name: name, By: 1}) }

func (owner *Owner) Handle(now time.Duration, event contract.Event) []contract.Command {
	return owner.HandleRelayed(now, event, owner.handle)
}

func (owner *Owner) handle(now time.Duration, event contract.Event) []contract.Command {
	owner.out = nil
	if gap := owner.DetectFreeze(now); gap > 0 {
		owner.woke(now, gap)
	}
	for _, command := range owner.Node.Handle(now, event) {
		if adopted, fine := command.(contract.Adopted); fine {
			owner.repeats.Configure(owner.Feed.Manifest().RepeatPercent, owner.Feed.Manifest().RepeatAtOnce)
			command = contract.Say{What: "manifest in force", Detail: []any{"revision", adopted.Version.Place.Revision}}
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
	case Stop:
		owner.stopping = true
	case Left:
		owner.left(now, event)
	case Begun:
		owner.begun(now, event)
	case Ended:
		owner.ended(now, event)
	case Passed:
		owner.passed(now, event)
	case Recalled:
		owner.recalled(now, event)
	case Look:
		owner.look(now, event)
	case contract.Ask:
		owner.ask(now, event)
	}
	out := owner.out
	owner.out = nil
	return out
}

// woke follows a freeze: no lease from before it counts, and no call that has not left yet may leave.
func (owner *Owner) woke(now, gap time.Duration) {
	owner.emit(contract.Count{Name: "woken", By: 1}, contract.Say{What: "woken from a freeze", Detail: []any{"ms", gap.Milliseconds()}})
	for _, held := range owner.grants {
		held.expires = 0
	}
	for _, token := range owner.tokens() {
		if job := owner.jobs[token]; job.phase != phaseRunning && job.phase != phasePassed {
			owner.refuse(now, job, 503, "this node was frozen; the call did not run", owner.Bounds.Lease())
		}
	}
}

func (owner *Owner) tokens() []int64 {
	tokens := make([]int64, 0, len(owner.jobs))
	for token := range owner.jobs {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	return tokens
}

func (owner *Owner) tick(now time.Duration) {
	owner.table.Expire(now)
	owner.tickLingers(now)
	owner.askLeases(now)
	owner.askShares(now)
	owner.tickFinds(now)
	owner.tickJobs(now)
	owner.serve(now)
	owner.gauges()
}

func (owner *Owner) message(now time.Duration, message contract.Message) {
	switch message.Kind {
	case shard.MessageLease:
		readMessage(owner, message, func(lease contract.Lease) { owner.lease(now, message, lease) })
	case shard.MessageNotOwner:
		readMessage(owner, message, func(hint contract.NotOwner) { owner.notOwner(hint) })
	case MessageClaim:
		readMessage(owner, message, func(hold Claim) { owner.hold(now, hold) })
	case MessageClaimed:
		readMessage(owner, message, func(held Claimed) { owner.held(now, message.From, held) })
	case MessageFinish:
		readMessage(owner, message, func(record call.Record) { owner.table.Finish(record) })
	case MessageRelease:
		readMessage(owner, message, func(record call.Record) { owner.table.Release(record) })
	case MessageFind:
		readMessage(owner, message, func(ask Find) { owner.find(now, ask) })
	case MessageFound:
		readMessage(owner, message, func(found Found) { owner.found(now, message.From, found) })
	case MessageExport:
		readMessage(owner, message, func(ask Export) { owner.share(now, ask) })
	case MessageExported:
		readMessage(owner, message, func(shared Exported) { owner.takeShare(now, message, shared) })
	case control.MessageWhyAsk:
		readMessage(owner, message, func(ask control.StatusAsk) {
			body, _ := json.Marshal(owner.traces.find(ask.Call))
			owner.emit(contract.Send{To: ask.Address, Kind: control.MessageWhy, Body: control.Status{Token: ask.Token, Node: owner.Self().Name, Body: body}})
		})
	}
}

func readMessage[Body any](owner *Owner, message contract.Message, then func(Body)) {
	var body Body
	if json.Unmarshal(message.Body, &body) != nil {
		owner.count("messages_broken")
		return
	}
	then(body)
}

// ask passes an operator's question to the authority.
func (owner *Owner) ask(now time.Duration, ask contract.Ask) {
	node, there := ask.Authority(owner.Feed.View())
	address := node.Address
	if ask.Verb == contract.VerbWhy || ask.Verb == contract.VerbGone {
		for _, member := range owner.Neighbours.Members(now) {
			if member.Kind == contract.KindControl {
				address, there = member.Address, true
			}
		}
	}
	if !there || ask.Forwarded {
		owner.emit(contract.Refuse(ask.Token, 503, "no authority is known here yet; nothing was done", owner.Bounds.Round()))
		return
	}
	ask.Forwarded = true
	owner.emit(contract.Forward{Ask: ask, Address: address})
}

func (owner *Owner) gauges() {
	_, lapsed := owner.candidates(owner.nextAsk)
	for name, value := range map[string]int{"calls_now": len(owner.jobs), "calls_in_line": owner.lines.Total(), "records": owner.table.Len(), "shards_lapsed": len(lapsed)} {
		owner.emit(contract.Gauge{Name: name, Value: int64(value)})
	}
}
