package data

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/pick"
)

// dropAttempt takes an attempt out; one whose end at the server is not known lingers there.
func (owner *Owner) dropAttempt(now time.Duration, job *job, number int, over bool) {
	attempt, there := job.attempts[number]
	if !there {
		return
	}
	delete(job.attempts, number)
	usage := owner.usages[attempt.server.Name]
	usage.Own = max(0, usage.Own-1)
	usage.AtReport = min(usage.AtReport, usage.Own)
	if !over {
		usage.Lingering++
		owner.lingers = append(owner.lingers, linger{attempt.server.Name, now + owner.Bounds.Lease()})
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

// linger is a call that was given up here and that a server may still be at.
type linger struct {
	server string
	until  time.Duration
}

func (owner *Owner) tickLingers(now time.Duration) {
	for len(owner.lingers) > 0 && now >= owner.lingers[0].until {
		server := owner.lingers[0].server
		owner.lingers = owner.lingers[1:]
		usage := owner.usages[server]
		usage.Lingering = max(0, usage.Lingering-1)
		owner.setUsage(server, usage)
	}
}

func (owner *Owner) begun(now time.Duration, event Begun) {
	if job, there := owner.jobs[event.Token]; there {
		if attempt, there := job.attempts[event.Attempt]; there {
			attempt.pieces = true
			owner.emit(contract.Took{What: "first_piece", Class: job.route.Class, Span: now - job.arrived})
		}
	}
}

// ended takes the end of one attempt: whole, proven not to have run, or not known.
func (owner *Owner) ended(now time.Duration, event Ended) {
	job, there := owner.jobs[event.Token]
	if !there {
		return
	}
	attempt, there := job.attempts[event.Attempt]
	if !there {
		return
	}
	owner.dropAttempt(now, job, event.Attempt, event.Result == call.CompleteReply || event.Result.NeverRan())
	if place := event.Attempt - 1; place < len(job.trace.Attempts) {
		job.trace.Attempts[place].Result, job.trace.Attempts[place].Error = string(event.Result), event.Error
	}
	owner.count("attempts_" + string(event.Result))
	if event.Result == call.NotSent || event.Result == call.Refused || event.Result == call.NoReply || event.Result == call.BrokenReply {
		owner.turnedAway(now, attempt.server.Name)
	}
	switch {
	case event.Result == call.CompleteReply:
		delete(owner.turned, attempt.server.Name)
		owner.lines.Served(job.call.Route, now-attempt.began)
		owner.succeed(now, job, attempt, event)
	case event.Result.NeverRan() || job.call.IsLookup && event.Result == call.NoReply:
		owner.again(now, job, event)
	case event.Result == call.BrokenReply:
		owner.finish(now, job, call.Interrupted, nil)
	case event.Result == call.CallerLeft:
		owner.finish(now, job, call.Interrupted, nil)
	default:
		owner.trouble(now, job, 502, call.Unknown, "sent to a server, and no whole answer came: "+event.Error, 0)
	}
	owner.serve(now)
}

func (owner *Owner) succeed(now time.Duration, job *job, attempt *attempt, event Ended) {
	owner.settleRecord(job, call.Done, event.Chunks)
	owner.finish(now, job, call.Done, contract.Answer{Token: job.token, Status: 200, Body: Reply{Chunks: event.Chunks, Server: attempt.server.Name}})
}

// again tries another server after a proven not-run, if the allowance and the deadline leave room for it.
func (owner *Owner) again(now time.Duration, job *job, event Ended) {
	if len(job.attempts) > 0 {
		return
	}
	if job.tries >= mostAttempts || now >= job.deadline || !owner.repeats.TryWithdraw() {
		if job.call.IsLookup && event.Result == call.NoReply {
			owner.trouble(now, job, 502, call.Unknown, "no server answered the lookup: "+event.Error, owner.jitter(owner.Bounds.Round()))
			return
		}
		owner.refuse(now, job, 503, "the server did not take the call: "+event.Error, owner.jitter(owner.Bounds.Round()))
		return
	}
	owner.count("repeats_after_not_run")
	owner.enter(now, job)
}

// left is a caller that went away: what waits is removed, what runs is cancelled and never run again.
func (owner *Owner) left(now time.Duration, event Left) {
	job, there := owner.jobs[event.Token]
	if !there {
		return
	}
	job.silent = true
	owner.count("callers_left")
	outcome := call.NotRun
	if job.phase == phaseRunning || job.phase == phasePassed {
		outcome = call.Interrupted
	}
	owner.finish(now, job, outcome, nil)
}

// recall asks servers that are cut to give back calls that they never started.
func (owner *Owner) recall(servers []string) {
	if len(servers) == 0 {
		return
	}
	for _, token := range owner.tokens() {
		job := owner.jobs[token]
		if job.call.IsLookup {
			continue
		}
		for _, number := range sortedAttempts(job.attempts) {
			attempt := job.attempts[number]
			if attempt.pieces || attempt.recalled || !slices.Contains(servers, attempt.server.Name) {
				continue
			}
			attempt.recalled = true
			owner.emit(Recall{Token: token, Attempt: number, Identity: identity(owner.Self(), job, number), Server: attempt.server})
		}
	}
}

func (owner *Owner) recalled(now time.Duration, event Recalled) {
	job, there := owner.jobs[event.Token]
	if !there || !event.Never {
		return
	}
	if attempt, there := job.attempts[event.Attempt]; there && !attempt.pieces {
		owner.emit(Cancel{Token: event.Token, Attempt: event.Attempt})
		owner.ended(now, Ended{Token: event.Token, Attempt: event.Attempt, Result: call.RecalledBeforeStart, Error: "recalled before it started"})
	}
}
