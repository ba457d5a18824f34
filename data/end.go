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
func (owner *Owner) dropAttempt(now time.Duration, job *job, attemptNumber int, finished bool) {
	attempt, exists := job.attempts[attemptNumber]
	if !exists {
		return
	}
	delete(job.attempts, attemptNumber)
	usage := owner.usages[attempt.server.Name]
	usage.Own = max(0, usage.Own-1)
	usage.AtReport = min(usage.AtReport, usage.Own)
	if !finished {
		usage.Lingering++
		owner.abandoned = append(owner.abandoned, abandonedAttempt{attempt.server.Name, now + owner.Bounds.Lease()})
	}
	owner.setUsage(attempt.server.Name, usage)
}

func (owner *Owner) setUsage(server string, usage pick.Usage) {
	if usage.Own == 0 && usage.Lingering == 0 {
		delete(owner.usages, server)
		return
	}
	owner.usages[server] = usage
}

// abandonedAttempt is an attempt that this node gave up and that the server may still be running.
type abandonedAttempt struct {
	server string
	until  time.Duration
}

func (owner *Owner) expireAbandoned(now time.Duration) {
	for len(owner.abandoned) > 0 && now >= owner.abandoned[0].until {
		server := owner.abandoned[0].server
		owner.abandoned = owner.abandoned[1:]
		usage := owner.usages[server]
		usage.Lingering = max(0, usage.Lingering-1)
		owner.setUsage(server, usage)
	}
}

// firstChunk handles the start of a reply, after which the attempt can't be recalled any more.
func (owner *Owner) firstChunk(now time.Duration, event FirstChunk) {
	if job, exists := owner.jobs[event.Token]; exists {
		if attempt, exists := job.attempts[event.Attempt]; exists {
			attempt.hasChunks = true
			owner.emit(contract.ObserveDuration{Name: "first_piece", Class: job.route.Class, Duration: now - job.arrivedAt})
		}
	}
}

// attemptEnded handles the end of an attempt. A complete reply ends the call; an attempt that provably did not run may be retried; any
// other end is reported to the caller, since the call may have run. A lookup may also be retried if there was no reply.
func (owner *Owner) attemptEnded(now time.Duration, event AttemptEnded) {
	job, exists := owner.jobs[event.Token]
	if !exists {
		return
	}
	attempt, exists := job.attempts[event.Attempt]
	if !exists {
		return
	}
	owner.dropAttempt(now, job, event.Attempt, event.Result == call.CompleteReply || event.Result.NeverRan())
	if index := event.Attempt - 1; index < len(job.trace.Attempts) {
		job.trace.Attempts[index].Result, job.trace.Attempts[index].Error = string(event.Result), event.Error
	}
	owner.count("attempts_" + string(event.Result))
	if event.Result == call.NotSent || event.Result == call.Refused || event.Result == call.NoReply || event.Result == call.BrokenReply {
		owner.backOff(now, attempt.server.Name)
	}
	switch {
	case event.Result == call.CompleteReply:
		delete(owner.backoffs, attempt.server.Name)
		owner.queues.ObserveDuration(job.call.Route, now-attempt.startedAt)
		owner.succeed(now, job, attempt, event)
	case event.Result.NeverRan() || job.call.IsLookup && event.Result == call.NoReply:
		owner.retry(now, job, event)
	case event.Result == call.BrokenReply:
		owner.finish(now, job, call.Interrupted, nil)
	case event.Result == call.CallerLeft:
		owner.finish(now, job, call.Interrupted, nil)
	default:
		owner.fail(now, job, 502, call.Unknown, "sent to a server, and no whole answer came: "+event.Error, 0)
	}
	owner.dispatchQueued(now)
}

func (owner *Owner) succeed(now time.Duration, job *job, attempt *attempt, event AttemptEnded) {
	owner.recordOutcome(job, call.Done, event.Chunks)
	owner.finish(now, job, call.Done, contract.Response{Token: job.token, Status: 200, Body: Reply{Chunks: event.Chunks, Server: attempt.server.Name}})
}

// retry queues the call for another server, if the number of attempts, the deadline and the retry budget allow it.
func (owner *Owner) retry(now time.Duration, job *job, event AttemptEnded) {
	if len(job.attempts) > 0 {
		return
	}
	if job.attemptCount >= maxAttempts || now >= job.deadline || !owner.retryBudget.TryWithdraw() {
		if job.call.IsLookup && event.Result == call.NoReply {
			owner.fail(now, job, 502, call.Unknown, "no server answered the lookup: "+event.Error, owner.jitter(owner.Bounds.Round()))
			return
		}
		owner.refuse(now, job, 503, "the server did not take the call: "+event.Error, owner.jitter(owner.Bounds.Round()))
		return
	}
	owner.count("repeats_after_not_run")
	owner.enqueue(now, job)
}

// callerLeft handles a disconnected caller: a waiting call is dropped, and a running one is cancelled and not retried.
func (owner *Owner) callerLeft(now time.Duration, event CallerLeft) {
	job, exists := owner.jobs[event.Token]
	if !exists {
		return
	}
	job.callerGone = true
	owner.count("callers_left")
	outcome := call.NotRun
	if job.phase == phaseRunning || job.phase == phaseForwarded {
		outcome = call.Interrupted
	}
	owner.finish(now, job, outcome, nil)
}

// recall asks servers that are being retired to give back calls that they have not started, so that they can run elsewhere.
func (owner *Owner) recall(servers []string) {
	if len(servers) == 0 {
		return
	}
	for _, token := range owner.tokens() {
		job := owner.jobs[token]
		if job.call.IsLookup {
			continue
		}
		for _, attemptNumber := range sortedAttempts(job.attempts) {
			attempt := job.attempts[attemptNumber]
			if attempt.hasChunks || attempt.recallSent || !slices.Contains(servers, attempt.server.Name) {
				continue
			}
			attempt.recallSent = true
			owner.emit(RecallAttempt{Token: token, Attempt: attemptNumber, AttemptID: attemptID(owner.Self(), job, attemptNumber), Server: attempt.server})
		}
	}
}

// recallAnswered ends an attempt that its server confirmed not to have started, so that the call can be retried elsewhere.
func (owner *Owner) recallAnswered(now time.Duration, event RecallAnswered) {
	job, exists := owner.jobs[event.Token]
	if !exists || !event.Confirmed {
		return
	}
	if attempt, exists := job.attempts[event.Attempt]; exists && !attempt.hasChunks {
		owner.emit(CancelAttempt{Token: event.Token, Attempt: event.Attempt})
		owner.attemptEnded(now, AttemptEnded{Token: event.Token, Attempt: event.Attempt, Result: call.RecalledBeforeStart, Error: "recalled before it started"})
	}
}
