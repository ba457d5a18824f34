package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// maxUnsentAttempts is how many dispatches of a call may fail before a byte is sent; they do not use up the attempts of its route.
const maxUnsentAttempts = 4

// maxShunning is the longest rest of a server that sends more than an answer may have, in contact times.
const maxShunning = 8

// handleArrival registers a new call and sends it on, or refuses it.
func (router *Router) handleArrival(now time.Duration, event CallArrived) []contract.Command {
	if !router.Ready(now) {
		return commandList(router.refuseNotReady(now, event.Token))
	}
	call, refused := router.newCall(now, event)
	if refused != nil {
		return commandList(*refused)
	}
	if router.shutdown.refuses(now, call.deadline) {
		return commandList(router.refuseStopping(event.Token))
	}
	router.calls[event.Token] = call
	router.retryBudgetOf(call.service).recordCall(now)
	if _, found := router.firstCalls[call.service]; !found {
		router.firstCalls[call.service] = now
	}
	return router.admit(now, call)
}

// admit dispatches a call, after asking for the place of its prompt if that is not known here.
func (router *Router) admit(now time.Duration, call *callState) []contract.Command {
	if place, asks := router.placeQueryFor(now, call); asks {
		return commandList(place)
	}
	return router.dispatch(now, call)
}

// drawService picks one service of a route at random, by weight.
func (router *Router) drawService(route manifest.GatewayRoute) string {
	sum := 0.0
	for _, share := range route.Split {
		sum += share.Weight
	}
	point := router.random.Float64() * sum
	for _, share := range route.Split {
		if point -= share.Weight; point < 0 {
			return share.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// commandList returns a list of one command.
func commandList(command contract.Command) []contract.Command { return []contract.Command{command} }

// refuseForNow returns a refusal with a time to come back: about the aim of the route (its target latency), since what causes the refusal lasts for a
// while, and randomised so that callers do not return together.
func (router *Router) refuseForNow(token int64, aim time.Duration, reason string) Refuse {
	delay := max(aim, router.policy.Contact/16)
	return Refuse{Token: token, Status: 503, RetryAfter: delay*3/4 + time.Duration(router.random.Int64N(int64(delay/2))), Reason: reason}
}

// refuseNotReady refuses a call while this node has no configuration or no list of servers, until about the time when it should have them.
func (router *Router) refuseNotReady(now time.Duration, token int64) Refuse {
	startupTime := router.policy.Contact * 3 / 20
	delay := max(startupTime-(now-router.startedAt), startupTime/3)
	return Refuse{Token: token, Status: 503, RetryAfter: delay + time.Duration(router.random.Int64N(int64(startupTime/3))), Reason: "this node has no configuration or no list yet"}
}

// forgetCall removes a call that has ended.
func (router *Router) forgetCall(call *callState) { delete(router.calls, call.Token) }

// dispatch sends a call for the first time, or refuses it if no server can take it or answer it in time.
func (router *Router) dispatch(now time.Duration, call *callState) []contract.Command {
	chosen, expectedWait := router.pickServer(now, call)
	if chosen == nil {
		router.forgetCall(call)
		return commandList(router.refuseForNow(call.Token, call.route.LatencyTarget, "no server can take it now"))
	}
	if expectedWait > call.deadline-now {
		router.forgetCall(call)
		return commandList(router.refuseForNow(call.Token, call.route.LatencyTarget, "no server can answer it in time"))
	}
	return commandList(router.sendTo(now, call, chosen))
}

// sendTo records a dispatch of the call to a server and returns the command for it.
func (router *Router) sendTo(now time.Duration, call *callState, target *serverState) Dispatch {
	service := router.manifest.Gateway.Services[call.service]
	call.attempt++
	call.attemptsUsed++
	call.server, call.sentAt, call.unreadTokens = target, now, 0
	if service.Engine != nil {
		if target.cacheEstimate == nil {
			target.cacheEstimate = newCacheEstimate(service)
		}
		call.unreadTokens, call.soleReader = max(1, call.Prompt.Input-call.cachedTokens), target.unreadTokens == 0
		call.sentBeforeTokens = min(call.Prompt.Input, target.cacheEstimate.CachedTokens(call.Prompt))
		target.cacheEstimate.Add(call.Prompt)
		target.unreadTokens += call.unreadTokens
		target.unreadPrompts++
	}
	if target.backoffUntil > 0 || target.RecoverySteps > 0 {
		target.probing, target.nextProbe = true, now+router.policy.Contact/4
	}
	target.inFlight++
	target.sentSinceLoad++
	target.ramp.recordCall(now)
	return Dispatch{Token: call.Token, Attempt: call.attempt, Server: target.Candidate, Tenant: call.tenant, Timeout: call.deadline - now, SilenceTimeout: router.silenceTimeout(now, call), CachedTokens: call.cachedTokens,
		ConnectTimeout: router.connectTimeout(target), MaxIdle: router.maxIdle(call), Priority: router.priority(call),
		Stream: call.route.Kind == manifest.KindStreaming, Resumable: call.route.Resumable}
}

// release removes a dispatch that ended from the counters of its server.
func (router *Router) release(call *callState) {
	server := call.server
	if server == nil {
		return
	}
	server.inFlight--
	server.sentSinceLoad = max(0, server.sentSinceLoad-1)
	router.clearUnread(call)
	call.server, server.probing = nil, false
	if !server.listed && server.inFlight == 0 {
		delete(router.servers, server.Name)
	}
}

// currentCall returns the call that an event is about, or nil if the attempt is not the current one or has ended.
func (router *Router) currentCall(token int64, attempt int) *callState {
	call, found := router.calls[token]
	if !found || call.attempt != attempt || call.server == nil {
		return nil
	}
	return call
}

// handleHead records that the server of a call answers.
func (router *Router) handleHead(now time.Duration, event HeadReceived) {
	if call := router.currentCall(event.Token, event.Attempt); call != nil {
		call.server.updateLoad(event.Load)
		router.serverAnswered(now, call.server)
	}
}

// handlePaced lets a server rest that sends more than this node can read.
func (router *Router) handlePaced(now time.Duration, event AnswerPaced) {
	if call := router.currentCall(event.Token, event.Attempt); call != nil {
		router.shun(now, call.server)
	}
}

// shun lets a server rest that sends more than an answer may have.
func (router *Router) shun(now time.Duration, server *serverState) {
	server.recordMisconduct(now, router.policy.Contact, router.policy.Contact*maxShunning)
}

// serverAnswered marks a server as healthy. One that failed before may have restarted and is first treated as cold.
func (router *Router) serverAnswered(now time.Duration, server *serverState) {
	router.applySuspicion(now, server)
	if server.failures > 0 {
		router.assumeCold(now, server, router.policy.Contact/4)
	}
	server.recordSuccess(now)
}

// handleStreamStart learns from the first chunk of an answer: its time shows whether the prompt was cached and how fast the engine reads.
func (router *Router) handleStreamStart(now time.Duration, event StreamStarted) {
	call := router.currentCall(event.Token, event.Attempt)
	if call == nil {
		return
	}
	if !call.answerStarted {
		router.checkCache(now, call)
		router.recordPlaceUse(now, call)
		router.learnReadSpeed(now, call)
	}
	call.answerStarted = true
	router.clearUnread(call)
	call.server.lastHeard = now
}

// clearUnread removes a call's prompt from what its server still has to read.
func (router *Router) clearUnread(call *callState) {
	if call.unreadTokens > 0 {
		call.server.unreadTokens -= call.unreadTokens
		call.server.unreadPrompts--
		call.unreadTokens = 0
	}
}

// handleSilence handles a server that sends nothing. A server that other calls hear from is slow, not lost; a call that may run twice is retried
// elsewhere if the server has not been heard since the dispatch.
func (router *Router) handleSilence(now time.Duration, event ServerSilent) []contract.Command {
	call := router.currentCall(event.Token, event.Attempt)
	if call == nil {
		return commandList(Wait{SilenceTimeout: time.Second})
	}
	server := call.server
	if server.lastHeard < call.sentAt && now >= server.backoffUntil {
		router.recordFault(now, server)
		router.tallyOf(now, server).Failed++
	}
	if now >= call.deadline {
		return commandList(Wait{SilenceTimeout: 0})
	}
	if server.lastHeard < call.sentAt && call.route.Repeatable() {
		if commands, _ := router.sendElsewhere(now, call, server, false); commands != nil {
			return commands
		}
	}
	return commandList(Wait{SilenceTimeout: min(router.silenceTimeout(now, call), call.deadline-now)})
}

// sendElsewhere sends a call to another server that can still answer in time; noServer reports that there is none. A dispatch that is free, since
// nothing was sent, uses no attempt and no retry budget. Otherwise the budget is used only once a server is found.
func (router *Router) sendElsewhere(now time.Duration, call *callState, failed *serverState, isFree bool) (sent []contract.Command, noServer bool) {
	call.triedServers[failed.Name] = true
	if !isFree && call.attemptsUsed >= call.route.MaxAttempts {
		return nil, false
	}
	chosen, expectedWait := router.pickServer(now, call)
	if chosen == nil || !call.answerStarted && expectedWait > call.deadline-now {
		return nil, true
	}
	if !isFree && !router.takeRetry(now, call.service) {
		return nil, false
	}
	router.release(call)
	return commandList(router.sendTo(now, call, chosen)), false
}

// recordFault lets a server that failed rest for a while and treats it as one that may come back cold.
func (router *Router) recordFault(now time.Duration, server *serverState) {
	server.recordFailure(now, router.policy.Contact/16, router.policy.Contact/2)
	router.assumeCold(now, server, router.policy.Contact/4)
}

// handleEnd decides what follows the end of a dispatch: the answer is passed on, the call is sent elsewhere, or it is refused (if it has not run) or
// failed.
func (router *Router) handleEnd(now time.Duration, event DispatchEnded) []contract.Command {
	call := router.currentCall(event.Token, event.Attempt)
	if call == nil {
		if queried, found := router.calls[event.Token]; found && queried.server == nil {
			router.forgetCall(queried)
		}
		return commandList(Fail{Token: event.Token, Status: 502, Reason: "unknown call"})
	}
	server, wasUnread := call.server, call.unreadTokens > 0
	server.updateLoad(event.Load)
	router.release(call)
	call.answerStarted = call.answerStarted || event.AnswerStarted
	mayRetry, noServer := event.Outcome.mayRetry(call.route.Repeatable()), false
	if event.Misbehaved {
		router.shun(now, server)
		if event.Outcome != OutcomeBroken {
			router.tallyOf(now, server).Failed++
		}
	}
	switch event.Outcome {
	case OutcomeComplete:
		router.serverAnswered(now, server)
		server.misconducts = 0
		if event.ServerError {
			router.tallyOf(now, server).Failed++
		} else {
			router.tallyOf(now, server).Succeeded++
		}
		if call.route.Kind != manifest.KindStreaming {
			server.recordCallTime(now - call.sentAt)
		}
		if event.ServerError && event.Outcome.mayRetry(call.route.Repeatable()) {
			if commands, _ := router.sendElsewhere(now, call, server, false); commands != nil {
				return commands
			}
		}
		router.forgetCall(call)
		return commandList(PassAnswer{Token: call.Token})
	case OutcomeCallerLeft, OutcomeDeadlineExceeded:
		router.forgetCall(call)
		if event.Outcome == OutcomeDeadlineExceeded && !call.answerStarted {
			return commandList(Fail{Token: call.Token, Status: 504, Reason: "its time is over"})
		}
		return commandList(Fail{Token: call.Token, Status: 502, Reason: string(event.Outcome)})
	case OutcomeNotSent:
		router.recordFault(now, server)
		router.tallyOf(now, server).Unconnected++
		call.attemptsUsed--
		call.unsentAttempts++
		mayRetry = mayRetry && call.unsentAttempts < maxUnsentAttempts
	case OutcomeWrongServer:
		server.wrongServer = true
	case OutcomeNotRun:
		if wasUnread && server.cacheEstimate != nil {
			server.cacheEstimate.Clear()
		}
	case OutcomeBroken:
		router.recordFault(now, server)
		router.tallyOf(now, server).Failed++
		mayRetry = mayRetry && now < call.deadline
	}
	if mayRetry {
		var commands []contract.Command
		if commands, noServer = router.sendElsewhere(now, call, server, event.Outcome == OutcomeNotSent); commands != nil {
			return commands
		}
	}
	router.forgetCall(call)
	if call.answerStarted || event.Outcome == OutcomeBroken && !noServer {
		return commandList(Fail{Token: call.Token, Status: 502, Reason: event.Reason})
	}
	return commandList(router.refuseForNow(call.Token, call.route.LatencyTarget, event.Reason))
}
