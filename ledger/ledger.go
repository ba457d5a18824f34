// Package ledger records what simulated clients, servers, the platform and operators observe in a test run, and checks it
// against the rules that the system promises. It never uses the counters of the nodes under test.
package ledger

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
)

// Rule names a promise of the system; the text is what results print.
type Rule string

// Rules that the ledger checks.
const (
	// DuplicateRun: an inference call ran more than once.
	DuplicateRun Rule = "doubled run"
	// UnansweredCall: a client got neither an answer nor an error within its deadline, and no fault excuses it.
	UnansweredCall Rule = "lost silently"
	// FalseNotRun: a call ran although each attempt of it that could have led to the run was reported as not run.
	FalseNotRun Rule = "told not run, but it ran"
	// BrokenStream: chunks were missing, repeated, out of order or from two runs, or an incomplete stream was reported as finished.
	BrokenStream Rule = "stream skipped, repeated, joined or looked finished"
	// WrongAnswer: a client got a malformed chunk or the chunk of another call, or a server got a call that no client sent.
	WrongAnswer Rule = "another's answer or half a success"
	// DispatchWhileLeaving: a server got a call too long after the platform marked it as leaving.
	DispatchWhileLeaving Rule = "picked after it was marked leaving"
	// DispatchWhileDrained: a server got a call too long after the drain of its zone was accepted.
	DispatchWhileDrained Rule = "a drained zone was sent a call"
	// OutsideHomeRegion: a call ran outside its home region.
	OutsideHomeRegion Rule = "left the home region"
	// StaleManifest: a node got an accepted revision too late, or went back to an older one.
	StaleManifest Rule = "manifest late or slipped back"
	// LostManifest: an accepted revision cannot be read back as it was written.
	LostManifest Rule = "accepted manifest missing or altered"
	// ColdServerOverload: a server that started with an empty cache ran more calls than its ramp allows.
	ColdServerOverload Rule = "a cold server was flooded"
	// ExcessRetries: the nodes retried more calls in a window than their retry budget allows.
	ExcessRetries Rule = "too many repeats"
	// SlowRecovery: a region took too long to serve again after it returned.
	SlowRecovery Rule = "serving came back late"
)

// Bounds are the limits that the rules apply.
type Bounds struct {
	// LeavingServer and ZoneDrain limit how long a server may still get calls after it was marked as leaving, or after the drain
	// of its zone was accepted.
	LeavingServer time.Duration
	ZoneDrain     time.Duration
	// ManifestDelivery limits how long a node may hold an older revision than one that it could have learned.
	ManifestDelivery time.Duration
	// Recovery limits the time between the return of a region and its first complete answer.
	Recovery time.Duration
	// Ramp is how long a cold server takes to reach all its slots; zero switches the check off.
	Ramp time.Duration
	// Slots is not used by the rules: AddServer gives the slots of each server.
	Slots int64
	// RetryPercent is the share of calls, in percent, that the nodes may retry in a window.
	RetryPercent float64
	// RetryBurst is how many retries all nodes together may make in a window beyond RetryPercent.
	RetryBurst int64
	// AnswerGrace is how long after its deadline a call may still be answered.
	AnswerGrace time.Duration
}

// BoundsFor derives the limits from the environment's bounds and the manifest; the retry burst grows with the number of nodes.
func BoundsFor(bounds env.Bounds, read manifest.Manifest, nodes int) Bounds {
	return Bounds{LeavingServer: bounds.Evacuate(), ZoneDrain: bounds.Evacuate(), ManifestDelivery: bounds.Deliver(), Recovery: bounds.Return(), Ramp: read.Retirement.RampDuration,
		RetryPercent: float64(read.RepeatPercent), RetryBurst: read.RepeatAllowance * int64(nodes), AnswerGrace: bounds.Deliver()}
}

// Violation is one breach of a rule. Results encode the fields under their Go names.
type Violation struct {
	Rule Rule
	// At is the time since the start of the run.
	At time.Duration
	// Detail says what was observed.
	Detail string
}

// callAttempt is one request of a client at one node.
type callAttempt struct {
	sentAt      time.Duration
	node        string
	outsideHome bool
	ended       bool
	endedAt     time.Duration
	outcome     string
	deadline    time.Duration
	arrivals    int64
}

// serverRun is one execution of a call on a server; complete holds if the server produced the whole reply.
type serverRun struct {
	id        string
	server    string
	startedAt time.Duration
	chunks    []string
	complete  bool
	ended     bool
}

// callRecord holds all attempts and runs of one call; inference is false for a lookup, which may run more than once.
type callRecord struct {
	key       string
	class     string
	home      string
	inference bool
	attempts  []*callAttempt
	runs      []*serverRun
}

// countArrival counts an arrival at a server for the latest attempt of the call; any beyond the first is a retry by the nodes.
func (ledger *Ledger) countArrival(record *callRecord, at time.Duration) {
	if len(record.attempts) == 0 {
		return
	}
	latest := record.attempts[len(record.attempts)-1]
	if latest.arrivals++; latest.arrivals > 1 {
		ledger.retries = append(ledger.retries, at)
	}
}

// interval is the time in which a zone is drained.
type interval struct{ from, to time.Duration }

// serverState is what the ledger knows of a server; leavingSince is never while the server is not leaving.
type serverState struct {
	zone, region string
	leavingSince time.Duration
	coldSince    time.Duration
	running      int64
	slots        int64
}

// Ledger collects observations of one test run and the violations they show. It is safe for concurrent use.
type Ledger struct {
	lock     sync.Mutex
	bounds   Bounds
	calls    map[string]*callRecord
	runsByID map[string]*serverRun
	servers  map[string]*serverState
	drains   map[string][]interval
	// accepted holds the digest of each accepted revision, empty if not known; revisions the newest revision seen at each node.
	accepted   map[int64]string
	acceptedAt map[int64]time.Duration
	revisions  map[string]int64
	callCount  int64
	firstSends []time.Duration
	retries    []time.Duration
	violations []Violation
	// Stats are the measurements so far; read them after Close.
	Stats Stats
}

// never is later than any time of a run.
const never = time.Duration(1 << 62)

// New makes an empty ledger that applies these bounds.
func New(bounds Bounds) *Ledger {
	return &Ledger{bounds: bounds, calls: map[string]*callRecord{}, runsByID: map[string]*serverRun{}, servers: map[string]*serverState{}, drains: map[string][]interval{},
		accepted: map[int64]string{}, acceptedAt: map[int64]time.Duration{}, revisions: map[string]int64{}, Stats: NewStats()}
}

func (ledger *Ledger) addViolation(at time.Duration, rule Rule, format string, detail ...any) {
	ledger.violations = append(ledger.violations, Violation{rule, at, fmt.Sprintf(format, detail...)})
}

// AddServer registers a server of the run with its zone, region and number of slots; it counts as warm.
func (ledger *Ledger) AddServer(name, zone, region string, slots int64) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.servers[name] = &serverState{zone: zone, region: region, leavingSince: never, coldSince: -never, slots: slots}
}

// ServerLeaving records that the platform marked a server as leaving.
func (ledger *Ledger) ServerLeaving(server string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.servers[server].leavingSince = at
}

// ServerStaying records that a server is no longer leaving.
func (ledger *Ledger) ServerStaying(server string) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.servers[server].leavingSince = never
}

// ServerCold records that a server started with an empty cache and nothing running.
func (ledger *Ledger) ServerCold(server string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.servers[server].coldSince, ledger.servers[server].running = at, 0
}

// ZoneDrained records that the drain of a zone was accepted.
func (ledger *Ledger) ZoneDrained(zone string, accepted time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.drains[zone] = append(ledger.drains[zone], interval{accepted, never})
}

// ZoneUndrained ends all drains of a zone when an operator sends an undrain, as it can take effect before its answer arrives.
func (ledger *Ledger) ZoneUndrained(zone string, sent time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	for index := range ledger.drains[zone] {
		ledger.drains[zone][index].to = min(ledger.drains[zone][index].to, sent)
	}
}

// AttemptSent records that a client sent a call to a node, and returns the index of the attempt within the call. With outsideHome the
// node is not in the home region of the call and has to forward it.
func (ledger *Ledger) AttemptSent(key, class, home string, inference bool, node string, outsideHome bool, at, deadline time.Duration) int {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	record, found := ledger.calls[key]
	if !found {
		record = &callRecord{key: key, class: class, home: home, inference: inference}
		ledger.calls[key] = record
		ledger.callCount++
		ledger.firstSends = append(ledger.firstSends, at)
	}
	record.attempts = append(record.attempts, &callAttempt{sentAt: at, node: node, outsideHome: outsideHome, deadline: deadline})
	ledger.Stats.addSent(class)
	return len(record.attempts) - 1
}

// RunStarted records that a server started to run a call, and checks whether the call may run there.
func (ledger *Ledger) RunStarted(key, runID, server string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	record, found := ledger.calls[key]
	if !found {
		ledger.addViolation(at, WrongAnswer, "server %s got a call that no client sent: %q", server, key)
		return
	}
	ledger.countArrival(record, at)
	run := &serverRun{id: runID, server: server, startedAt: at}
	record.runs = append(record.runs, run)
	ledger.runsByID[runID] = run
	if record.inference && len(record.runs) > 1 {
		ledger.addViolation(at, DuplicateRun, "call %s ran on %s at %v and on %s", key, record.runs[0].server, record.runs[0].startedAt, server)
	}
	ledger.checkDispatch(record, server, at)
}

// checkDispatch checks whether this server may get the call at this time.
func (ledger *Ledger) checkDispatch(record *callRecord, server string, at time.Duration) {
	state, found := ledger.servers[server]
	if !found {
		return
	}
	if record.home != "" && record.home != state.region {
		ledger.addViolation(at, OutsideHomeRegion, "call %s of %s ran on %s in %s", record.key, record.home, server, state.region)
	}
	if at > state.leavingSince {
		ledger.Stats.addLeavingDelay(at - state.leavingSince)
		if at-state.leavingSince > ledger.bounds.LeavingServer {
			ledger.addViolation(at, DispatchWhileLeaving, "%s got a call %v after it was marked as leaving", server, at-state.leavingSince)
		}
	}
	for _, drain := range ledger.drains[state.zone] {
		if at > drain.from && at < drain.to {
			ledger.Stats.addDrainDelay(at - drain.from)
			if at-drain.from > ledger.bounds.ZoneDrain {
				ledger.addViolation(at, DispatchWhileDrained, "%s in zone %s got a call %v after the drain was accepted", server, state.zone, at-drain.from)
			}
		}
	}
	state.running++
	age := at - state.coldSince
	if age < ledger.bounds.Ramp && ledger.bounds.Ramp > 0 && record.inference {
		allowed := max(1, state.slots*int64(age)/int64(ledger.bounds.Ramp))
		ledger.Stats.addColdLoad(state.running, allowed)
		if state.running > allowed {
			ledger.addViolation(at, ColdServerOverload, "%s ran %d calls %v after a cold start: %v", server, state.running, age, ledger.runningOn(server))
		}
	}
}

// runningOn lists the IDs of the runs of a server that have not ended.
func (ledger *Ledger) runningOn(server string) []string {
	ids := []string{}
	for id, run := range ledger.runsByID {
		if run.server == server && !run.ended {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// CallRefused records that a server refused a call without running it.
func (ledger *Ledger) CallRefused(key string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if record, found := ledger.calls[key]; found {
		ledger.countArrival(record, at)
	}
}

// RunEnded records the end of a run with the chunks it produced; complete means that it produced the whole reply.
func (ledger *Ledger) RunEnded(runID string, chunks []string, complete bool) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	run, found := ledger.runsByID[runID]
	if !found {
		return
	}
	run.chunks, run.complete, run.ended = chunks, complete, true
	if state, found := ledger.servers[run.server]; found {
		state.running = max(0, state.running-1)
	}
}

// Violations returns the violations found so far.
func (ledger *Ledger) Violations() []Violation {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	return append([]Violation{}, ledger.violations...)
}

// CountsByRule returns the number of violations of each rule that was broken.
func (ledger *Ledger) CountsByRule() map[Rule]int {
	counts := map[Rule]int{}
	for _, violation := range ledger.Violations() {
		counts[violation.Rule]++
	}
	return counts
}

func sortedByKey(calls map[string]*callRecord) []*callRecord {
	sorted := make([]*callRecord, 0, len(calls))
	for _, record := range calls {
		sorted = append(sorted, record)
	}
	sort.Slice(sorted, func(left, right int) bool { return sorted[left].key < sorted[right].key })
	return sorted
}
