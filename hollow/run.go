package hollow

import (
	"fmt"
	"runtime"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/gateway"
)

const (
	Calm   = "calm"
	Storm  = "storm"
	Zone   = "zone"
	Region = "region"

	step      = 100 * time.Millisecond
	patience  = 30 * time.Second
	meeting   = 5 * time.Second
	mostHeap  = 10 << 30
	mostWall  = 400 * time.Second
	onlookers = 40
)

type made struct {
	token int64
	at    time.Duration
}

type run struct {
	plan     Plan
	world    *World
	result   Result
	began    time.Time
	token    int64
	revision int64
	changes  []made
}

func newRun(plan Plan) *run {
	return &run{plan: plan, world: newWorld(max(1, plan.Workers)), began: time.Now(),
		result: Result{Plan: plan, Document: len(plan.Configuration()), Converged: -1, Configured: -1, Listed: -1}}
}

// Play runs one plan and gives what it showed.
func Play(plan Plan) Result {
	run := newRun(plan)
	defer run.world.Close()
	run.build()
	run.boot()
	if run.result.Stopped == "" {
		run.measure()
	}
	if run.result.Stopped == "" {
		run.scene()
	}
	for name, size := range weigh(run.world) {
		if role, there := run.result.Roles[name]; there {
			role.Heap = size
			run.result.Roles[name] = role
		}
	}
	run.result.Wall = time.Since(run.began).Seconds()
	return run.result
}

func (run *run) build() {
	world, plan := run.world, run.plan
	world.servers, world.loss = plan.servers(), plan.Loss
	seeds := []string{addressOf(0, controlPort), addressOf(1, controlPort), addressOf(2, controlPort)}
	for index := range plan.Controls + plan.Nodes {
		role := RoleData
		switch {
		case index < plan.Core:
			role = RoleCore
		case index < plan.Controls:
			role = RoleControl
		}
		process := newProcess(world, plan, index, role, seeds)
		world.processes = append(world.processes, process)
		world.addresses[process.address] = process
		world.push(&delivery{at: time.Duration(process.random.Int64N(int64(process.tick))), target: process, kind: "tick", event: contract.Tick{}})
	}
}

// pass lets a span go by and watches the bounds of this machine.
func (run *run) pass(span time.Duration) {
	run.world.Run(run.world.Now + span)
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	run.result.HeapPeak = max(run.result.HeapPeak, stats.HeapAlloc)
	switch {
	case stats.HeapAlloc > mostHeap:
		run.result.Stopped = fmt.Sprintf("memory: %d MB of heap at %v of virtual time", stats.HeapAlloc>>20, run.world.Now)
	case time.Since(run.began) > mostWall:
		run.result.Stopped = fmt.Sprintf("time: %v of wall time at %v of virtual time", mostWall, run.world.Now)
	}
}

// until gives the seconds from a moment until something holds, or less than zero.
func (run *run) until(from time.Duration, holds func() bool) float64 {
	return run.within(patience, from, holds)
}

func (run *run) within(span, from time.Duration, holds func() bool) float64 {
	for limit := run.world.Now + span; run.world.Now < limit && run.result.Stopped == ""; {
		if holds() {
			return (run.world.Now - from).Seconds()
		}
		run.pass(step)
	}
	if holds() {
		return (run.world.Now - from).Seconds()
	}
	return -1
}

func (run *run) boot() {
	run.result.Converged = run.within(meeting, 0, func() bool { _, least := run.known(); return least == 1 })
	headed := run.until(0, func() bool { return run.head() != nil })
	if headed < 0 {
		run.stop("no core was founded")
		return
	}
	began := run.world.Now
	run.until(began, func() bool {
		if len(run.changes) == 0 || run.refused(run.changes[len(run.changes)-1]) {
			run.changes, run.revision = nil, 0
			run.ask(contract.VerbReplace, run.plan.Configuration())
		}
		return run.everywhere(1)
	})
	if !run.everywhere(1) {
		run.stop("the first configuration did not reach every node")
	}
	run.result.Configured = (run.world.Now - began).Seconds()
	began = run.world.Now
	run.result.Listed = run.within(meeting, began, run.listed)
	run.pass(max(step, run.plan.Start-run.world.Now))
	run.open()
	run.changes = nil
}

func (run *run) stop(why string) {
	if run.result.Stopped == "" {
		run.result.Stopped = why
	}
}

// known gives the part of the living members that nodes know: the mean and the least of some onlookers.
func (run *run) known() (mean, least float64) {
	living := 0
	for _, process := range run.world.processes {
		if process.up {
			living++
		}
	}
	sum, count, least := 0.0, 0, 1.0
	for index := 0; index < len(run.world.processes); index += max(1, len(run.world.processes)/onlookers) {
		if process := run.world.processes[index]; process.up {
			part := float64(len(process.node.Neighbours.Members(run.world.Now))) / float64(living)
			sum, count, least = sum+part, count+1, min(least, part)
		}
	}
	return sum / float64(count), least
}

// head gives the head of the newest view, if it knows that it is.
func (run *run) head() *Process {
	newest, head := int64(0), (*Process)(nil)
	for _, process := range run.world.processes[:run.plan.Core] {
		view := process.node.Feed.View()
		node, there := view.Head()
		if !process.up || !there || view.Number < newest {
			continue
		}
		newest = view.Number
		if named := run.world.addresses[node.Address]; named != nil && named.up && named.node.Feed.View().Number == newest {
			head = named
		}
	}
	return head
}

func (run *run) ask(verb string, body []byte) {
	head := run.head()
	if head == nil {
		run.result.Refused++
		return
	}
	run.token++
	ask := contract.Ask{Token: run.token, Verb: verb, Body: body, Base: run.revision, HasBase: true, Prompt: true, Operation: fmt.Sprintf("change-%d", run.token)}
	run.revision++
	run.changes = append(run.changes, made{run.token, run.world.Now})
	run.world.push(&delivery{at: run.world.Now + leastDelay, target: head, kind: "ask", event: ask})
}

func (run *run) change() {
	if count := len(run.changes); count > 0 && run.refused(run.changes[count-1]) {
		run.revision--
		run.result.Refused++
		run.changes = run.changes[:count-1]
	}
	run.ask(contract.VerbUpdate, run.plan.change(run.revision+1))
}

func (run *run) answer(change made) (contract.Answer, bool) {
	for _, process := range run.world.processes[:run.plan.Core] {
		if answer, there := process.answers[change.token]; there {
			return answer, true
		}
	}
	return contract.Answer{}, false
}

func (run *run) refused(change made) bool {
	answer, there := run.answer(change)
	return there && answer.Status >= 400
}

func (run *run) numbered(change made) int64 {
	answer, _ := run.answer(change)
	accepted, _ := answer.Body.(contract.Accepted)
	return accepted.Revision
}

func (run *run) everywhere(revision int64) bool {
	lacking, _ := run.force(revision)
	return lacking == 0
}

// force gives how many living nodes lack a revision, and when the last of the others had it.
func (run *run) force(revision int64) (lacking int, last time.Duration) {
	for _, process := range run.world.processes {
		if !process.up {
			continue
		}
		count, found := len(process.adopted), false
		for place := count - 1; place >= 0 && process.adopted[place].revision >= revision; place-- {
			found = true
			if place == 0 || process.adopted[place-1].revision < revision {
				last = max(last, process.adopted[place].at)
			}
		}
		if !found {
			lacking++
		}
	}
	return lacking, last
}

func (run *run) listed() bool {
	for _, process := range run.world.processes[run.plan.Controls:] {
		sum := 0
		for _, count := range process.listed {
			sum += count
		}
		if process.up && sum != run.plan.Servers {
			return false
		}
	}
	return true
}

// open begins calls at every data node that never end.
func (run *run) open() {
	for _, process := range run.world.processes[run.plan.Controls:] {
		for index := range run.plan.Calls {
			process.traffic.Handle(run.world.Now, gateway.Arrive{Token: int64(index) + 1, Host: fmt.Sprintf("tenant-%05d.example.com", index%run.plan.Routes),
				Path: "/v1/chat", Left: time.Hour, Prompt: engine.Prompt{Model: modelName(index), Input: 100, Output: 100}, Size: 1000})
		}
	}
}

func (run *run) measure() {
	for _, process := range run.world.processes {
		process.uses, process.gap, process.reads, process.heard, process.counts = map[string]*Use{}, 0, 0, map[string]time.Duration{}, map[string]int64{}
	}
	began, next := run.world.Now, run.world.Now+time.Second
	sum, samples, least := 0.0, 0, 1.0
	for run.world.Now < began+run.plan.Span && run.result.Stopped == "" {
		if run.world.Now >= next && run.plan.Changes > 0 {
			run.change()
			next += time.Duration(float64(time.Second) / run.plan.Changes)
		}
		run.pass(step)
		if mean, lowest := run.known(); mean > 0 {
			sum, samples, least = sum+mean, samples+1, min(least, lowest)
		}
	}
	span := max(step, run.world.Now-began)
	run.result.Measured = span.Seconds()
	run.result.Roles, run.result.Network = roles(run.world.processes, span)
	run.result.KnownMean, run.result.KnownLeast = sum/float64(max(1, samples)), least
	for _, process := range run.world.processes {
		run.result.Gap = max(run.result.Gap, process.gap.Seconds())
	}
	run.result.TakeOvers, run.result.Whole = run.perSecond("take_overs", span), run.perSecond(wholeLists, span)
	if len(run.changes) > 0 {
		run.until(run.world.Now, func() bool {
			change := run.changes[len(run.changes)-1]
			revision := run.numbered(change)
			return run.refused(change) || revision > 0 && run.everywhere(revision)
		})
	}
	for _, change := range run.changes {
		run.tell(change)
	}
	run.changes = nil
}

// perSecond gives how often all nodes counted something, a second.
func (run *run) perSecond(name string, span time.Duration) float64 {
	sum := int64(0)
	for _, process := range run.world.processes {
		sum += process.counts[name]
	}
	return float64(sum) / span.Seconds()
}

func (run *run) tell(change made) {
	revision := run.numbered(change)
	if revision == 0 {
		run.result.Refused++
		return
	}
	lacking, last := run.force(revision)
	first := last
	for _, process := range run.world.processes[:run.plan.Core] {
		for _, adoption := range process.adopted {
			if adoption.revision >= revision {
				first = min(first, adoption.at)
				break
			}
		}
	}
	run.result.Committed = append(run.result.Committed, (first - change.at).Seconds())
	run.result.Force = append(run.result.Force, (last - change.at).Seconds())
	run.result.Lacking = append(run.result.Lacking, lacking)
}
