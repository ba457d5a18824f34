package data

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/pick"
)

// dropAttempt removes an attempt and updates the server's load. If it is not known to be finished at the server, it keeps counting
// as lingering load there for the length of a lease.
func (router *Router) dropAttempt(now time.Duration, job *job, attemptNumber int, finished bool) {
	attempt, exists := job.attempts[attemptNumber]
	if !exists {
		return
	}
	delete(job.attempts, attemptNumber)
	usage := router.usages[attempt.server.Name]
	usage.InFlight = max(0, usage.InFlight-1)
	usage.InFlightAtReport = min(usage.InFlightAtReport, usage.InFlight)
	if !finished {
		usage.Lingering++
		router.abandoned = append(router.abandoned, abandonedAttempt{attempt.server.Name, now + router.Bounds.Lease()})
	}
	router.setUsage(attempt.server.Name, usage)
}

func (router *Router) setUsage(server string, usage pick.Usage) {
	if usage.InFlight == 0 && usage.Lingering == 0 {
		delete(router.usages, server)
		return
	}
	router.usages[server] = usage
}

// abandonedAttempt is an attempt that this node gave up and that the server may still be running.
type abandonedAttempt struct {
	server string
	until  time.Duration
}

func (router *Router) expireAbandoned(now time.Duration) {
	for len(router.abandoned) > 0 && now >= router.abandoned[0].until {
		server := router.abandoned[0].server
		router.abandoned = router.abandoned[1:]
		usage := router.usages[server]
		usage.Lingering = max(0, usage.Lingering-1)
		router.setUsage(server, usage)
	}
}

// firstChunk handles the start of a reply, after which the attempt can't be recalled any more.
func (router *Router) firstChunk(now time.Duration, event FirstChunk) {
	if job, exists := router.jobs[event.Token]; exists {
		if attempt, exists := job.attempts[event.Attempt]; exists {
			attempt.hasChunks = true
			router.emit(contract.ObserveDuration{Name: "first_piece", Class: job.route.Class, Duration: now - job.arrivedAt})
		}
	}
}

// attemptEnded handles the end of an attempt. A complete reply ends the call; an attempt that provably did not run may be retried; any
// other end is reported to the caller, since the call may have run. A lookup may also be retried if there was no reply.
func (router *Router) attemptEnded(now time.Duration, event AttemptEnded) {
	job, exists := router.jobs[event.Token]
	if !exists {
		return
	}
	attempt, exists := job.attempts[event.Attempt]
	if !exists {
		return
	}
	router.dropAttempt(now, job, event.Attempt, event.Result == call.CompleteReply || event.Result.NeverRan())
	if index := event.Attempt - 1; index < len(job.trace.Attempts) {
		job.trace.Attempts[index].Result, job.trace.Attempts[index].Error = string(event.Result), event.Error
	}
	router.count("attempts_" + string(event.Result))
	if event.Result == call.NotSent || event.Result == call.Refused || event.Result == call.NoReply || event.Result == call.BrokenReply {
		router.backOff(now, attempt.server.Name)
	}
	switch {
	case event.Result == call.CompleteReply:
		delete(router.backoffs, attempt.server.Name)
		router.queues.ObserveDuration(job.call.Route, now-attempt.startedAt)
		router.succeed(now, job, attempt, event)
	case event.Result.NeverRan() || job.call.IsLookup && event.Result == call.NoReply:
		router.retry(now, job, event)
	case event.Result == call.BrokenReply:
		router.finish(now, job, call.Interrupted, nil)
	case event.Result == call.CallerLeft:
		router.finish(now, job, call.Interrupted, nil)
	default:
		router.fail(now, job, 502, call.Unknown, "sent to a server, and no whole answer came: "+event.Error, 0)
	}
	router.dispatchQueued(now)
}

func (router *Router) succeed(now time.Duration, job *job, attempt *attempt, event AttemptEnded) {
	router.recordOutcome(job, call.Done, event.Chunks)
	router.finish(now, job, call.Done, contract.Response{Token: job.token, Status: 200, Body: Reply{Chunks: event.Chunks, Server: attempt.server.Name}})
}

// retry queues the call for another server, if the number of attempts, the deadline and the retry budget allow it.
func (router *Router) retry(now time.Duration, job *job, event AttemptEnded) {
	if len(job.attempts) > 0 {
		return
	}
	if job.attemptCount >= maxAttempts || now >= job.deadline || !router.retryBudget.TryWithdraw() {
		if job.call.IsLookup && event.Result == call.NoReply {
			router.fail(now, job, 502, call.Unknown, "no server answered the lookup: "+event.Error, router.jitter(router.Bounds.Round()))
			return
		}
		router.refuse(now, job, 503, "the server did not take the call: "+event.Error, router.jitter(router.Bounds.Round()))
		return
	}
	router.count("repeats_after_not_run")
	router.enqueue(now, job)
}

// callerLeft handles a disconnected caller: a waiting call is dropped, and a running one is cancelled and not retried.
func (router *Router) callerLeft(now time.Duration, event CallerLeft) {
	job, exists := router.jobs[event.Token]
	if !exists {
		return
	}
	job.callerGone = true
	router.count("callers_left")
	outcome := call.NotRun
	if job.phase == phaseRunning || job.phase == phaseForwarded {
		outcome = call.Interrupted
	}
	router.finish(now, job, outcome, nil)
}

// recall asks servers that are being retired to give back calls that they have not started, so that they can run elsewhere.
func (router *Router) recall(servers []string) {
	if len(servers) == 0 {
		return
	}
	for _, token := range router.sortedTokens() {
		job := router.jobs[token]
		if job.call.IsLookup {
			continue
		}
		for _, attemptNumber := range sortedAttempts(job.attempts) {
			attempt := job.attempts[attemptNumber]
			if attempt.hasChunks || attempt.recallSent || !slices.Contains(servers, attempt.server.Name) {
				continue
			}
			attempt.recallSent = true
			router.emit(RecallAttempt{Token: token, Attempt: attemptNumber, AttemptID: attemptID(router.Self(), job, attemptNumber), Server: attempt.server})
		}
	}
}

// recallAnswered ends an attempt that its server confirmed not to have started, so that the call can be retried elsewhere.
func (router *Router) recallAnswered(now time.Duration, event RecallAnswered) {
	job, exists := router.jobs[event.Token]
	if !exists || !event.Confirmed {
		return
	}
	if attempt, exists := job.attempts[event.Attempt]; exists && !attempt.hasChunks {
		router.emit(CancelAttempt{Token: event.Token, Attempt: event.Attempt})
		router.attemptEnded(now, AttemptEnded{Token: event.Token, Attempt: event.Attempt, Result: call.RecalledBeforeStart, Error: "recalled before it started"})
	}
}
