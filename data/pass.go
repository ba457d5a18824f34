package data

import (
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
)

// Pass is the body of an answer that a data node of the call's home gives: it is asked there once, and decides. The nodes are
// tried in turn as long as no byte of the call can have reached one.
type Pass struct {
	Home  string
	Nodes []string
	Limit time.Duration
}

// Passed tells how a call that was passed on ended, by the status that was given to its caller; none if no node was reached.
type Passed struct {
	Token  int64
	Node   string
	Status int
	Error  string
}

const passMost = 3

// homeNodes gives live data nodes of a region, in an order of the call's own.
func (owner *Owner) homeNodes(now time.Duration, home, subject string) []string {
	return owner.dataNodes(now, "pass/"+subject, passMost, func(region string) bool { return region == home })
}

// dataNodes gives the addresses of live data nodes in fitting regions, at most so many, in an order of the subject's own.
func (owner *Owner) dataNodes(now time.Duration, subject string, most int, fits func(region string) bool) []string {
	addresses, names := map[string]string{}, []string{}
	for _, member := range owner.Neighbours.Members(now) {
		if member.Kind == contract.KindData && fits(member.Region) {
			names, addresses[member.Name] = append(names, member.Name), member.Address
		}
	}
	nodes := []string{}
	for _, name := range contract.Ordered(subject, names) {
		if len(nodes) < most {
			nodes = append(nodes, addresses[name])
		}
	}
	return nodes
}

// passOn gives a call to its home: no server outside it is ever a candidate here. A home that cannot be reached is a refusal.
func (owner *Owner) passOn(now time.Duration, job *job) {
	if job.call.Forwarded {
		owner.refuse(now, job, 400, "a call that was passed on arrived outside its home", 0)
		return
	}
	nodes := owner.homeNodes(now, job.call.Home, job.call.ScopedKey())
	if len(nodes) == 0 {
		owner.away(now, job, "no node of the call's home can be reached; it did not run")
		return
	}
	owner.count("calls_passed_on")
	job.phase = phasePassed
	owner.jobs[job.token] = job
	owner.emit(contract.Answer{Token: job.token, Body: Pass{Home: job.call.Home, Nodes: nodes, Limit: job.deadline - now}})
}

func (owner *Owner) away(now time.Duration, job *job, err string) {
	after := owner.jitter(owner.Bounds.Round())
	job.trace.Error = err
	owner.count("answers_503")
	owner.finish(now, job, call.NotRun, contract.Answer{Token: job.token, Status: 503, After: after, Body: contract.Trouble{Outcome: string(call.NotRun),
		Error: err, Home: job.call.Home, RetryAfterMs: after.Milliseconds()}})
}

func (owner *Owner) passed(now time.Duration, event Passed) {
	job, there := owner.jobs[event.Token]
	if !there {
		return
	}
	proof, outcome := "answered there", call.Outcome("passed on")
	if event.Status == 0 {
		proof, outcome = string(call.NotSent), call.NotRun
	}
	owner.count("passed_on_" + map[bool]string{true: "answered", false: "unreached"}[event.Status > 0])
	job.trace.Attempts = append(job.trace.Attempts, TraceAttempt{Server: "node " + event.Node, Result: proof, Error: event.Error})
	job.trace.Status = event.Status
	owner.finish(now, job, outcome, nil)
}

// lookAway passes a question about a call on to the call's home; it tells whether it did.
func (owner *Owner) lookAway(now time.Duration, event Look) bool {
	home, fine := owner.Feed.Manifest().Home(event.Caller, event.Home, owner.Self().Region)
	answer := contract.Answer{Token: event.Token, Status: 400, Body: contract.Trouble{Error: "the home is not this caller's, or no region"}}
	switch {
	case fine && home == owner.Self().Region:
		return false
	case fine && event.Forwarded:
		answer.Body = contract.Trouble{Error: "a question that was passed on arrived outside its home"}
	case fine:
		nodes := owner.homeNodes(now, home, event.Key)
		answer = contract.Refuse(event.Token, 503, "no node of the call's home can be reached", owner.jitter(owner.Bounds.Round()))
		if len(nodes) > 0 {
			answer = contract.Answer{Token: event.Token, Body: Pass{Home: home, Nodes: nodes, Limit: owner.Bounds.Deliver()}}
		}
	}
	owner.emit(answer)
	return true
}
