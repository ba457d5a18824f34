package data

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/pick"
)

// phase is the stage of a job.
type phase string

const (
	// phaseSearching: looking for an idempotency record of an earlier attempt of the caller.
	phaseSearching phase = "finding"
	// phaseClaiming: waiting for grants of the call's claim.
	phaseClaiming phase = "holding"
	// phaseQueued: waiting in the route's queue for a server.
	phaseQueued phase = "lined"
	// phaseRunning: sent to a server.
	phaseRunning phase = "running"
	// phaseForwarded: forwarded to the call's home region.
	phaseForwarded phase = "passed on"
)

// maxAttempts is the largest number of attempts of one call, including hedges.
const maxAttempts = 3

// attempt is one dispatch of a call to a server. hasChunks is set once a part of the reply arrived, and recallSent once the server was
// asked to give the call back.
type attempt struct {
	server     contract.Candidate
	startedAt  time.Duration
	hasChunks  bool
	recallSent bool
}

// job is a call that this node is handling. Its claim is described by voters, the nodes whose grants count; replicas, those of them
// that are alive; remoteReplicas, addresses in other regions that store a copy; and witnesses, the nodes of the witness region, if they
// were asked. granted and witnessed are the nodes that granted the claim, refusals counts voters without room for the record, and
// hasConflict is set while another node's claim stands in the way. replicas is nil once the record has been released or has its outcome.
type job struct {
	token          int64
	call           call.Call
	route          manifest.Route
	phase          phase
	arrivedAt      time.Duration
	deadline       time.Duration
	claimedAt      time.Duration
	replicas       map[string]contract.Member
	remoteReplicas []string
	witnesses      map[string]contract.Member
	witnessed      map[string]bool
	granted        map[string]bool
	voters         []string
	hasConflict    bool
	refusals       int
	attempts       map[int]*attempt
	attemptCount   int
	triedServers   map[string]bool
	hedged         bool
	searched       bool
	trace          *Trace
	callerGone     bool
}

// jitter returns a random duration between delay and twice delay.
func (router *Router) jitter(delay time.Duration) time.Duration {
	return delay + time.Duration(router.Random.Int64N(int64(delay)+1))
}

// handleCallArrived checks a new call and forwards it to its home region, answers it from a record, or starts to claim it.
func (router *Router) handleCallArrived(now time.Duration, event CallArrived) {
	config, request := router.Feed.Manifest(), event.Call
	home, ok := config.Home(request.Caller, request.Home, router.Self().Region)
	request.Home = home
	job := &job{token: event.Token, call: request, arrivedAt: now, triedServers: map[string]bool{}, attempts: map[int]*attempt{},
		trace: &Trace{Call: request.Key, Caller: request.Caller, Route: request.Route, Node: router.Self().Name, Home: home, Revision: router.Feed.Version().Position.Revision, arrivedAt: now}}
	router.traces.add(job.trace)
	router.count("calls")
	if !router.Feed.HasVersion() || router.stopping {
		router.refuse(now, job, 503, "this node does not serve now", router.jitter(router.Bounds.Round()))
		return
	}
	route, exists := config.Routes[request.Route]
	job.route = route
	switch {
	case !exists || request.IsLookup != (route.Class == manifest.ClassLookup):
		router.refuse(now, job, 404, "no such route", 0)
		return
	case !ok:
		router.refuse(now, job, 400, fmt.Sprintf("home %q is not this caller's, or no region", event.Call.Home), 0)
		return
	case route.Pools[home] == "":
		router.refuse(now, job, 404, "the route has no pool in the home region", 0)
		return
	case int64(len(router.jobs)) >= router.Bounds.Calls:
		router.refuse(now, job, 503, "too many calls at this node", router.jitter(router.Bounds.Round()))
		return
	}
	if request.Deadline <= 0 {
		request.Deadline = route.Deadline
	}
	job.deadline = now + min(request.Deadline, router.Bounds.Deadline())
	if home != router.Self().Region {
		router.forwardHome(now, job)
		return
	}
	if job.call.Tokens == 0 {
		job.call.Tokens = route.EstimatedTokens
	}
	router.jobs[job.token] = job
	if request.IsLookup {
		router.enqueue(now, job)
		return
	}
	if record, known := router.table.Find(now, request.ScopedKey()); known {
		router.answerFromRecord(now, job, record)
		return
	}
	if request.IsRetry {
		router.startSearch(now, job)
		return
	}
	router.startClaim(now, job)
}

// refuse answers a call that provably did not run. after is the time after which the caller may retry; 0 says nothing about it.
func (router *Router) refuse(now time.Duration, job *job, status int, err string, after time.Duration) {
	router.fail(now, job, status, call.NotRun, err, after)
}

// fail ends a call with an error answer.
func (router *Router) fail(now time.Duration, job *job, status int, outcome call.Outcome, err string, after time.Duration) {
	job.trace.Error = err
	router.count(fmt.Sprintf("answers_%d", status))
	router.finish(now, job, outcome, contract.Response{Token: job.token, Status: status, RetryAfter: after,
		Body: contract.ErrorBody{Outcome: string(outcome), Error: err, RetryAfterMs: after.Milliseconds()}})
}

// finish removes a call from its queue, records its outcome, cancels its attempts and emits its answer, if there is one to give.
func (router *Router) finish(now time.Duration, job *job, outcome call.Outcome, answer contract.Command) {
	router.queues.Remove(job.call.Route, job.token)
	delete(router.jobs, job.token)
	router.recordOutcome(job, outcome, nil)
	for _, attemptNumber := range sortedAttempts(job.attempts) {
		router.dropAttempt(now, job, attemptNumber, false)
		router.emit(CancelAttempt{Token: job.token, Attempt: attemptNumber})
	}
	router.closeTrace(now, job, outcome, answer)
	if answer != nil && !job.callerGone {
		router.emit(answer)
	}
}

// closeTrace completes a call's trace and counts its outcome.
func (router *Router) closeTrace(now time.Duration, job *job, outcome call.Outcome, answer contract.Command) {
	job.trace.Outcome, job.trace.TookMs = string(outcome), (now - job.arrivedAt).Milliseconds()
	if given, ok := answer.(contract.Response); ok {
		job.trace.Status = given.Status
	}
	router.count("outcomes_" + string(outcome))
	if outcome == call.Done {
		router.emit(contract.ObserveDuration{Name: "call", Class: job.route.Class, Duration: now - job.arrivedAt})
	}
}

// sortedAttempts returns the numbers of the attempts in ascending order.
func sortedAttempts(attempts map[int]*attempt) []int {
	numbers := []int{}
	for attemptNumber := 1; len(numbers) < len(attempts); attemptNumber++ {
		if _, exists := attempts[attemptNumber]; exists {
			numbers = append(numbers, attemptNumber)
		}
	}
	return numbers
}

// enqueue puts a claimed call into its route's queue, or refuses it at once if it can't be expected to be served before its deadline.
func (router *Router) enqueue(now time.Duration, job *job) {
	wait := router.queues.EstimateWait(job.call.Route, router.queues.CallsAhead(job.call.Route, job.call.Caller), router.runningCalls(job.call.Route))
	joined, displaced := router.queues.Enqueue(job.call.Route, job.call.Caller, job.token, job.route.QueueLimit)
	if other, exists := router.jobs[displaced]; exists {
		router.count("calls_displaced")
		router.refuse(now, other, 429, "the line is full, and most of it is of this caller", router.jitter(max(wait/2, router.Bounds.Round())))
	}
	if !joined {
		router.refuse(now, job, 429, "the line is full", router.jitter(max(wait/2, router.Bounds.Round())))
		return
	}
	job.phase = phaseQueued
	router.dispatchQueued(now)
	if job.phase == phaseQueued && router.allBackedOff(now, job) {
		router.refuse(now, job, 503, "its servers turn calls away; the call did not run", router.jitter(router.Bounds.Lease()))
		return
	}
	if job.phase == phaseQueued && now+wait+router.queues.MeanDuration(job.call.Route) > job.deadline {
		router.refuse(now, job, 429, "it cannot be served before its deadline", router.jitter(max(wait/2, router.Bounds.Round())))
	}
}

// runningCalls counts the calls of a route that are at servers.
func (router *Router) runningCalls(route string) int {
	count := 0
	for _, job := range router.jobs {
		if job.phase == phaseRunning && job.call.Route == route {
			count++
		}
	}
	return count
}

// dispatchQueued sends queued calls to servers while there are servers for them.
func (router *Router) dispatchQueued(now time.Duration) {
	if router.queues.TotalWaiting() == 0 {
		return
	}
	candidates, lapsed := router.candidates(now)
	router.queues.Dispatch(func(token int64) bool {
		job, exists := router.jobs[token]
		return !exists || router.dispatch(now, job, candidates, lapsed)
	})
}

// dispatch picks a server for a call and emits the attempt. It reports whether it did; a call past its deadline is left to tickJobs.
func (router *Router) dispatch(now time.Duration, job *job, candidates []contract.Candidate, lapsed []int) bool {
	if now >= job.deadline {
		return false
	}
	want := pick.Request{Pool: job.route.Pools[job.call.Home], Class: job.route.Class, Zone: router.Self().Zone, Prefix: job.call.Prefix, Tried: job.triedServers, Resting: router.inBackoff(now)}
	if job.call.Session != "" {
		want.Session = job.call.Caller + "\x1f" + job.call.Session
	}
	chosen, verdicts, ok := pick.Choose(want, candidates, router.usages, router.affinities.server, router.Random)
	if !ok {
		return false
	}
	if job.attemptCount == 0 {
		router.retryBudget.Deposit()
	}
	job.phase = phaseRunning
	job.attemptCount++
	job.triedServers[chosen.Name] = true
	job.attempts[job.attemptCount] = &attempt{server: chosen, startedAt: now}
	usage := router.usages[chosen.Name]
	usage.InFlight++
	router.usages[chosen.Name] = usage
	if want.Session != "" {
		router.affinities.set(want.Session, chosen.Name)
	}
	if want.Prefix != "" {
		router.affinities.set("prefix/"+want.Prefix, chosen.Name)
	}
	router.fillTrace(job, chosen, verdicts, lapsed)
	router.emit(Dispatch{Token: job.token, Attempt: job.attemptCount, AttemptID: attemptID(router.Self(), job, job.attemptCount), Server: chosen,
		Timeout: job.deadline - now, SendBefore: min(router.leaseExpiry(now, chosen.Name), job.deadline)})
	return true
}

// attemptID returns the identity of one attempt at a server, which is unique across nodes and their restarts.
func attemptID(self contract.Member, job *job, attemptNumber int) string {
	return fmt.Sprintf("%s-%s-%d-%d", machine.Name(self), self.Boot, job.token, attemptNumber)
}

// maxTraceVerdicts bounds the candidates that the trace of one attempt lists.
const maxTraceVerdicts = 32

// fillTrace adds an attempt to a call's trace, with the leases that the choice of its server was based on.
func (router *Router) fillTrace(job *job, chosen contract.Candidate, verdicts []pick.Verdict, lapsed []int) {
	if len(verdicts) > maxTraceVerdicts {
		verdicts = verdicts[:maxTraceVerdicts]
	}
	job.trace.Attempts = append(job.trace.Attempts, TraceAttempt{Server: chosen.Name, Verdicts: verdicts})
	job.trace.Leases = nil
	for _, index := range router.shardIndexes() {
		current := router.shardLeases[index]
		entry := TraceLease{Shard: index, Epoch: current.lease.Epoch, Number: current.lease.Number}
		for _, other := range lapsed {
			entry.Lapsed = entry.Lapsed || other == index
		}
		job.trace.Leases = append(job.trace.Leases, entry)
	}
}

// tickJobs handles the time limits of all calls: claims, queueing and hedging.
func (router *Router) tickJobs(now time.Duration) {
	for _, token := range router.sortedTokens() {
		job := router.jobs[token]
		switch {
		case job.phase == phaseClaiming && now-job.claimedAt > router.Bounds.ReplicationTimeout():
			router.refuse(now, job, 503, "too few keepers answered; the call did not run", router.jitter(router.Bounds.Round()))
		case job.phase == phaseClaiming && job.hasConflict:
			router.claimAgain(job)
		case job.phase == phaseClaiming:
			router.checkClaim(now, job)
		case job.phase == phaseQueued && now+router.queues.MeanDuration(job.call.Route)/2 >= job.deadline:
			router.refuse(now, job, 503, "no server was free in time; the call did not run", router.jitter(router.Bounds.Round()))
		case job.phase == phaseRunning && job.call.IsLookup && !job.hedged:
			router.hedge(now, job)
		}
	}
}

// hedgeFactor is how many mean service times a lookup may take before it is hedged.
const hedgeFactor = 3

// hedge sends a slow lookup to a second server as well, if the retry budget allows it.
func (router *Router) hedge(now time.Duration, job *job) {
	hedgeDelay := max(router.queues.MeanDuration(job.call.Route)*hedgeFactor, router.Bounds.LeaseRenewal())
	first, exists := job.attempts[job.attemptCount]
	if !exists || now-first.startedAt < hedgeDelay || job.attemptCount >= maxAttempts {
		return
	}
	job.hedged = true
	if !router.retryBudget.TryWithdraw() {
		return
	}
	candidates, lapsed := router.candidates(now)
	if router.dispatch(now, job, candidates, lapsed) {
		router.count("repeats_hedged")
	}
}
