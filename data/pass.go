package data

import (
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
)

// HomeForward is the body of a contract.Response that tells the process to forward a call or a question to one of its home region's Nodes
// and to relay that node's answer. The nodes are tried in turn as long as no byte can have reached one. Timeout is the time left.
type HomeForward struct {
	Home    string
	Nodes   []string
	Timeout time.Duration
}

// HomeForwardEnded is the event that a forwarded call ended. Status is what its caller was given, or 0 if no node was reached.
type HomeForwardEnded struct {
	Token  int64
	Node   string
	Status int
	Error  string
}

// maxForwardNodes bounds the nodes of the home region that a call may be forwarded to.
const maxForwardNodes = 3

// homeNodes returns addresses of live data nodes of a call's home region, in an order that depends on the call.
func (router *Router) homeNodes(now time.Duration, home, subject string) []string {
	return router.dataNodes(now, "pass/"+subject, maxForwardNodes, func(region string) bool { return region == home })
}

// dataNodes returns the addresses of at most limit live data nodes in accepted regions, in an order that depends on the subject.
func (router *Router) dataNodes(now time.Duration, subject string, limit int, accepts func(region string) bool) []string {
	addresses, names := map[string]string{}, []string{}
	for _, member := range router.Neighbours.Members(now) {
		if member.Kind == contract.KindData && accepts(member.Region) {
			names, addresses[member.Name] = append(names, member.Name), member.Address
		}
	}
	nodes := []string{}
	for _, name := range contract.RendezvousOrder(subject, names) {
		if len(nodes) < limit {
			nodes = append(nodes, addresses[name])
		}
	}
	return nodes
}

// forwardHome has a call forwarded to its home region, the only one whose servers may run it. It is refused if no node there is known.
func (router *Router) forwardHome(now time.Duration, job *job) {
	if job.call.Forwarded {
		router.refuse(now, job, 400, "a call that was passed on arrived outside its home", 0)
		return
	}
	nodes := router.homeNodes(now, job.call.Home, job.call.ScopedKey())
	if len(nodes) == 0 {
		router.refuseUnreachable(now, job, "no node of the call's home can be reached; it did not run")
		return
	}
	router.count("calls_passed_on")
	job.phase = phaseForwarded
	router.jobs[job.token] = job
	router.emit(contract.Response{Token: job.token, Body: HomeForward{Home: job.call.Home, Nodes: nodes, Timeout: job.deadline - now}})
}

// refuseUnreachable refuses a call whose home region can't be reached.
func (router *Router) refuseUnreachable(now time.Duration, job *job, err string) {
	after := router.jitter(router.Bounds.Round())
	job.trace.Error = err
	router.count("answers_503")
	router.finish(now, job, call.NotRun, contract.Response{Token: job.token, Status: 503, RetryAfter: after, Body: contract.ErrorBody{Outcome: string(call.NotRun),
		Error: err, Home: job.call.Home, RetryAfterMs: after.Milliseconds()}})
}

func (router *Router) forwardEnded(now time.Duration, event HomeForwardEnded) {
	job, exists := router.jobs[event.Token]
	if !exists {
		return
	}
	proof, outcome := "answered there", call.Outcome("passed on")
	if event.Status == 0 {
		proof, outcome = string(call.NotSent), call.NotRun
	}
	router.count("passed_on_" + map[bool]string{true: "answered", false: "unreached"}[event.Status > 0])
	job.trace.Attempts = append(job.trace.Attempts, TraceAttempt{Server: "node " + event.Node, Result: proof, Error: event.Error})
	job.trace.Status = event.Status
	router.finish(now, job, outcome, nil)
}

// forwardQuery has a question about a call forwarded to the call's home region, or refuses it. It reports false if this region is home.
func (router *Router) forwardQuery(now time.Duration, event OutcomeQuery) bool {
	home, ok := router.Feed.Manifest().Home(event.Caller, event.Home, router.Self().Region)
	answer := contract.Response{Token: event.Token, Status: 400, Body: contract.ErrorBody{Error: "the home is not this caller's, or no region"}}
	switch {
	case ok && home == router.Self().Region:
		return false
	case ok && event.Forwarded:
		answer.Body = contract.ErrorBody{Error: "a question that was passed on arrived outside its home"}
	case ok:
		nodes := router.homeNodes(now, home, event.Key)
		answer = contract.ErrorResponse(event.Token, 503, "no node of the call's home can be reached", router.jitter(router.Bounds.Round()))
		if len(nodes) > 0 {
			answer = contract.Response{Token: event.Token, Body: HomeForward{Home: home, Nodes: nodes, Timeout: router.Bounds.Deliver()}}
		}
	}
	router.emit(answer)
	return true
}
