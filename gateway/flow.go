package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

const mostConnects = 4

func (traffic *Traffic) arrive(now time.Duration, event Arrive) []contract.Command {
	if !traffic.Ready(now) {
		return one(traffic.notYet(now, event.Token))
	}
	work, refused := traffic.newJob(now, event)
	if refused != nil {
		return one(*refused)
	}
	traffic.jobs[event.Token] = work
	traffic.budget(work.service).called(now)
	if _, there := traffic.firstCalls[work.service]; !there {
		traffic.firstCalls[work.service] = now
	}
	return traffic.admit(now, work)
}

// admit sends a call on, after it has asked where its prompt belongs if that is not known here.
func (traffic *Traffic) admit(now time.Duration, work *job) []contract.Command {
	if place, asks := traffic.place(now, work); asks {
		return one(place)
	}
	return traffic.dispatch(now, work)
}

// draw takes one service of a route by weight.
func (traffic *Traffic) draw(route manifest.GatewayRoute) string {
	sum := 0.0
	for _, share := range route.Split {
		sum += share.Weight
	}
	point := traffic.random.Float64() * sum
	for _, share := range route.Split {
		if point -= share.Weight; point < 0 {
			return share.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

func one(command contract.Command) []contract.Command { return []contract.Command{command} }

// later is a refusal with the time to come back: as long as an answer may take, since what refuses now does so for a while, and
// spread so that callers don't return together.
func (traffic *Traffic) later(token int64, aim time.Duration, reason string) Refuse {
	base := max(aim, traffic.terms.Contact/16)
	return Refuse{Token: token, Status: 503, After: base*3/4 + time.Duration(traffic.random.Int64N(int64(base/2))), Reason: reason}
}

// notYet refuses while this node has no configuration or no list of servers, until about the time when it should have them.
func (traffic *Traffic) notYet(now time.Duration, token int64) Refuse {
	usual := traffic.terms.Contact * 3 / 20
	base := max(usual-(now-traffic.began), usual/3)
	return Refuse{Token: token, Status: 503, After: base + time.Duration(traffic.random.Int64N(int64(usual/3))), Reason: "this node has no configuration or no list yet"}
}

func (traffic *Traffic) drop(work *job) { delete(traffic.jobs, work.Token) }

// dispatch sends a call that has just arrived.
func (traffic *Traffic) dispatch(now time.Duration, work *job) []contract.Command {
	chosen, wait := traffic.pick(now, work)
	if chosen == nil {
		traffic.drop(work)
		return one(traffic.later(work.Token, work.route.LatencyTarget, "no server can take it now"))
	}
	if wait > work.ends-now {
		traffic.drop(work)
		return one(traffic.later(work.Token, work.route.LatencyTarget, "no server can answer it in time"))
	}
	return one(traffic.send(now, work, chosen))
}

func (traffic *Traffic) send(now time.Duration, work *job, chosen *server) Dispatch {
	service := traffic.read.Gateway.Services[work.service]
	work.attempt++
	work.sent++
	work.server, work.at, work.unread = chosen, now, 0
	if service.Engine != nil {
		if chosen.memory == nil {
			chosen.memory = newMemory(service)
		}
		work.unread, work.alone = max(1, work.Prompt.Input-work.held), chosen.reading == 0
		work.known = min(work.Prompt.Input, chosen.memory.Held(work.Prompt))
		chosen.memory.Take(work.Prompt)
		chosen.reading += work.unread
		chosen.queued++
	}
	if chosen.until > 0 || chosen.RecoverySteps > 0 {
		chosen.trial, chosen.nextTrial = true, now+traffic.terms.Contact/4
	}
	chosen.own++
	chosen.since++
	chosen.ramp.taken(now)
	return Dispatch{Token: work.Token, Attempt: work.attempt, Server: chosen.Candidate, Tenant: work.tenant, Left: work.ends - now, Patience: traffic.patience(now, work), Presumed: work.held,
		Connect: traffic.connectTime(chosen), Idle: traffic.idle(work), Priority: traffic.priority(work),
		Stream: work.route.Kind == manifest.KindStreaming, Resumable: work.route.Resumable}
}

// release takes a dispatch off its server.
func (traffic *Traffic) release(work *job) {
	server := work.server
	if server == nil {
		return
	}
	server.own--
	server.since = max(0, server.since-1)
	traffic.hasRead(work)
	work.server, server.trial = nil, false
	if !server.listed && server.own == 0 {
		delete(traffic.servers, server.Name)
	}
}

func (traffic *Traffic) current(token int64, attempt int) *job {
	work, there := traffic.jobs[token]
	if !there || work.attempt != attempt || work.server == nil {
		return nil
	}
	return work
}

func (traffic *Traffic) head(now time.Duration, event Head) {
	if work := traffic.current(event.Token, event.Attempt); work != nil {
		work.server.told(event.Load)
		traffic.returned(now, work.server)
	}
}

// returned takes a server that failed before for one that may have begun anew, and for a good one from now on.
func (traffic *Traffic) returned(now time.Duration, server *server) {
	traffic.suspect(now, server)
	if server.failures > 0 {
		traffic.doubt(now, server, traffic.terms.Contact/4)
	}
	server.fine(now)
}

func (traffic *Traffic) first(now time.Duration, event First) {
	work := traffic.current(event.Token, event.Attempt)
	if work == nil {
		return
	}
	if !work.begun {
		traffic.checkCache(now, work)
		traffic.use(now, work)
		traffic.observeRead(now, work)
	}
	work.begun = true
	traffic.hasRead(work)
	work.server.heard = now
}

// hasRead takes a prompt off what its server still has to read.
func (traffic *Traffic) hasRead(work *job) {
	if work.unread > 0 {
		work.server.reading -= work.unread
		work.server.queued--
		work.unread = 0
	}
}

// silent decides about a server that says nothing: one that others hear is slow, not gone.
func (traffic *Traffic) silent(now time.Duration, event Silent) []contract.Command {
	work := traffic.current(event.Token, event.Attempt)
	if work == nil {
		return one(Wait{Patience: time.Second})
	}
	server := work.server
	if server.heard < work.at && now >= server.until {
		traffic.fault(now, server)
		traffic.tally(now, server).Failed++
	}
	if now >= work.ends {
		return one(Wait{Patience: 0})
	}
	if server.heard < work.at && work.route.Repeatable() {
		if sent, _ := traffic.elsewhere(now, work, server, false); sent != nil {
			return sent
		}
	}
	return one(Wait{Patience: min(traffic.patience(now, work), work.ends-now)})
}

// elsewhere sends a call to another server that can still answer in time, or tells that there is none. Unless it is free, as for a call
// of which nothing was sent, that is one more attempt, and the budget is used only when there is a server.
func (traffic *Traffic) elsewhere(now time.Duration, work *job, former *server, free bool) (sent []contract.Command, none bool) {
	work.avoid[former.Name] = true
	if !free && work.sent >= work.route.MaxAttempts {
		return nil, false
	}
	chosen, wait := traffic.pick(now, work)
	if chosen == nil || !work.begun && wait > work.ends-now {
		return nil, true
	}
	if !free && !traffic.mayRepeat(now, work.service) {
		return nil, false
	}
	traffic.release(work)
	return one(traffic.send(now, work, chosen)), false
}

// fault rests a server that failed, and takes it for one that may come back cold.
func (traffic *Traffic) fault(now time.Duration, server *server) {
	server.failed(now, traffic.terms.Contact/16, traffic.terms.Contact/2)
	traffic.doubt(now, server, traffic.terms.Contact/4)
}

func (traffic *Traffic) ended(now time.Duration, event Ended) []contract.Command {
	work := traffic.current(event.Token, event.Attempt)
	if work == nil {
		if asking, there := traffic.jobs[event.Token]; there && asking.server == nil {
			traffic.drop(asking)
		}
		return one(Fail{Token: event.Token, Status: 502, Reason: "unknown call"})
	}
	server, reread := work.server, work.unread > 0
	server.told(event.Load)
	traffic.release(work)
	work.begun = work.begun || event.Begun
	again, none := event.Outcome.mayRepeat(work.route.Repeatable()), false
	switch event.Outcome {
	case Whole:
		traffic.returned(now, server)
		if event.Failed {
			traffic.tally(now, server).Failed++
		} else {
			traffic.tally(now, server).Succeeded++
		}
		if work.route.Kind != manifest.KindStreaming {
			server.paced(now - work.at)
		}
		if event.Failed && event.Outcome.mayRepeat(work.route.Repeatable()) {
			if sent, _ := traffic.elsewhere(now, work, server, false); sent != nil {
				return sent
			}
		}
		traffic.drop(work)
		return one(Pass{Token: work.Token})
	case Left, Late:
		traffic.drop(work)
		if event.Outcome == Late && !work.begun {
			return one(Fail{Token: work.Token, Status: 504, Reason: "its time is over"})
		}
		return one(Fail{Token: work.Token, Status: 502, Reason: string(event.Outcome)})
	case Unsent:
		traffic.fault(now, server)
		traffic.tally(now, server).Unconnected++
		work.sent--
		work.connects++
		again = again && work.connects < mostConnects
	case Moved:
		server.moved = true
	case NotRun:
		if reread && server.memory != nil {
			server.memory.Forget()
		}
	case Broken:
		traffic.fault(now, server)
		traffic.tally(now, server).Failed++
		again = again && now < work.ends
	}
	if again {
		var sent []contract.Command
		if sent, none = traffic.elsewhere(now, work, server, event.Outcome == Unsent); sent != nil {
			return sent
		}
	}
	traffic.drop(work)
	if work.begun || event.Outcome == Broken && !none {
		return one(Fail{Token: work.Token, Status: 502, Reason: event.Reason})
	}
	return one(traffic.later(work.Token, work.route.LatencyTarget, event.Reason))
}
