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

// visit is a caller with one call: it repeats the same key elsewhere until it has an end that it can keep.
type visit struct {
	fleet    *Fleet
	kind     site.Caller
	desk     string
	home     string
	scoped   string
	prefix   string
	session  string
	tries    int
	repeat   bool
	careless bool
	pace     time.Duration
	first    time.Duration
	leaves   time.Duration
	told     func()
	took     time.Duration
	at       *Machine
	Ended    string
}

// try is one attempt of a caller at one node.
type try struct {
	visit   *visit
	at      *Machine
	session *session
	index   int
	began   time.Duration
	reply   ledger.Reply
	over    bool
	stuck   bool
}

const (
	callerTries = 4
	callerPause = 200 * time.Millisecond
	callerMost  = 2 * time.Second
	// awayShare is how many of the callers have moved: they call at any node of any region.
	awayShare = 0.15
)

func (visit *visit) place() place {
	return place{"callers-" + visit.at.Zone, visit.at.Zone, visit.at.Region}
}

func (visit *visit) prefixName() string {
	return contract.Digest([]byte(visit.prefix))[:16]
}

// send sends the call to a node of its home region, another one each time.
func (visit *visit) send() {
	fleet := visit.fleet
	nodes, away := []*Machine{}, fleet.World.Random.Float64() < awayShare
	for _, machine := range fleet.Machines {
		if (away || machine.Region == visit.home) && (visit.at == nil || machine != visit.at) {
			nodes = append(nodes, machine)
		}
	}
	visit.at = nodes[fleet.World.Random.IntN(len(nodes))]
	visit.sendTo(visit.at)
}

func (visit *visit) sendTo(machine *Machine) {
	fleet, deadline := visit.fleet, time.Duration(visit.kind.DeadlineMs)*time.Millisecond
	visit.at = machine
	visit.tries++
	next := &try{visit: visit, at: machine, began: fleet.World.Now}
	model := visit.kind.Class != "lookup"
	next.index = fleet.Ledger.AttemptSent(visit.scoped, visit.kind.Class, visit.home, model, machine.Name, machine.Region != visit.home, fleet.World.Now, deadline)
	asked := call.Call{Key: visit.scoped, Caller: visit.desk, Route: visit.kind.Route, Home: visit.home, Tokens: visit.kind.Tokens,
		IsRetry: visit.repeat, Deadline: deadline, Digest: contract.Digest([]byte(visit.scoped)), IsLookup: !model,
		Session: visit.session}
	if visit.repeat {
		asked.Age = fleet.World.Now - visit.first + 1
	} else if visit.first == 0 {
		visit.first = fleet.World.Now
	}
	if visit.prefix != "" {
		asked.Prefix = visit.prefixName()
	}
	process := machine.Data
	fleet.open++
	fleet.World.After(deadline+fleet.Bounds.Deliver()/2, func() { next.unheard() })
	if visit.leaves > 0 {
		fleet.World.After(visit.leaves, next.leave)
	}
	lost := func() { next.stuck = true }
	sent := fleet.World.carry(visit.place(), machine.place(), false, func() {
		if !process.Up {
			fleet.World.carry(machine.place(), visit.place(), false, func() { next.end("not_run", 0) }, lost)
			return
		}
		process.Run(func() {
			if !next.over {
				process.arrive(next, asked)
			}
		})
	}, lost)
	next.stuck = next.stuck || !sent
}

// leave is a caller that goes away in the middle.
func (try *try) leave() {
	if try.over || try.session == nil || try.session.over {
		return
	}
	open := try.session
	try.over = true
	try.visit.fleet.open--
	try.reply.Outcome = "left"
	try.visit.fleet.Ledger.AttemptAnswered(try.visit.scoped, try.index, try.visit.fleet.World.Now, try.reply)
	open.process.Run(func() {
		if !open.over {
			open.process.handle(data.CallerLeft{Token: open.token})
			open.close()
		}
	})
}

func (try *try) piece(text string, number int64) {
	if try.over {
		return
	}
	if try.reply.FirstChunkAfter == 0 {
		try.reply.FirstChunkAfter = try.visit.fleet.World.Now - try.began
		if try.visit.told != nil {
			try.visit.told()
		}
	}
	for _, piece := range strings.SplitAfter(text, ";") {
		if piece != "" {
			try.reply.Chunks = append(try.reply.Chunks, piece)
		}
	}
	if !try.visit.kind.Unary {
		try.reply.ChunkNumbers = append(try.reply.ChunkNumbers, number)
	}
}

func (try *try) finished() {
	try.reply.Finished = true
	if try.reply.FirstChunkAfter == 0 {
		try.reply.FirstChunkAfter = try.visit.fleet.World.Now - try.began
	}
	try.end("done", 0)
}

func (try *try) err() { try.end("interrupted", 0) }

// broke is a connection that ended without an answer.
func (try *try) broke() { try.end("broken", 0) }

// unheard is a caller whose patience ended; a node that was ill since the call began excuses it.
func (try *try) unheard() {
	if !try.over {
		try.reply.Node = try.at.Name
		try.reply.Excused = try.stuck || try.at.illSince(try.began)
		try.end(ledger.OutcomeNoAnswer, 0)
	}
}

func (try *try) refused(status int, trouble contract.ErrorBody, after time.Duration) {
	try.reply.Status, try.reply.RetryAfter = status, after
	outcome := trouble.Outcome
	if outcome == "" {
		outcome = fmt.Sprint(status)
	}
	try.end(outcome, after)
}

func (try *try) end(outcome string, after time.Duration) {
	if try.over {
		return
	}
	try.over = true
	visit, fleet := try.visit, try.visit.fleet
	fleet.open--
	if open := try.session; outcome == ledger.OutcomeNoAnswer && open != nil && !open.over {
		open.process.Run(func() {
			if !open.over {
				open.process.handle(data.CallerLeft{Token: open.token})
				open.close()
			}
		})
	}
	try.reply.Outcome = outcome
	fleet.Ledger.AttemptAnswered(visit.scoped, try.index, fleet.World.Now, try.reply)
	visit.Ended, visit.took = outcome, fleet.World.Now-try.began
	if outcome == "done" || outcome == "interrupted" || outcome == "unknown" || visit.tries >= callerTries {
		fleet.served(visit, outcome)
		return
	}
	if visit.careless {
		return
	}
	if outcome != "not_run" {
		visit.repeat = true
	}
	fleet.World.After(min(max(after, callerPause), callerMost), visit.send)
}
