package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
)

// StopRequested is the event that the process was told to stop and has its grace period left.
type StopRequested struct{}

// CallBegan is the event that a request has been read from a caller's connection. Each is followed by one CallFinished.
type CallBegan struct{}

// CallFinished is the event that the answer to a request has been written to its connection, or that the connection has ended.
type CallFinished struct{}

// LeaveFleet is the command to tell the other nodes that this one stops, to fail readiness checks, and to close each connection after its
// next answer.
type LeaveFleet struct{}

// CloseToCallers is the command to close the listener for callers and all connections that wait for a request. A request that is read
// nevertheless is refused, so nothing is passed on whose answer has no way back.
type CloseToCallers struct{}

// EndTraffic is the command to end the process: no call is left, or the grace period is over.
type EndTraffic struct{}

// shutdownPhase is how far the stop of a process has come.
type shutdownPhase int

const (
	// phaseServing takes all calls.
	phaseServing shutdownPhase = iota
	// phaseLeaving takes calls that can finish before the process ends, and at first, until callers can know of the stop, all calls.
	phaseLeaving
	// phaseClosing takes no calls.
	phaseClosing
	// phaseEnded takes no calls, and the process ends.
	phaseEnded
)

// Shares of the grace period at which a stop goes on.
const (
	shutdownParts = 32
	// closeAtPart is when a node closes to callers. Calls whose time reaches beyond it are refused.
	closeAtPart = 29
	// endAtPart is when the process ends although calls are left. The rest is for the end of the process itself.
	endAtPart = 30
	// redirectShare is the longest share of the grace period in which calls are taken that may outlast it.
	redirectShare = 3
	// lookupLivesHeld is how many lifetimes some callers use the answer to a lookup.
	lookupLivesHeld = 3
	// shutdownTicks is the number of ticks in a grace period.
	shutdownTicks = 80
)

// ShutdownTick returns the interval of the contract.Tick events that a router needs while it stops.
func ShutdownTick(policy env.Gateway) time.Duration {
	return max(time.Millisecond, policy.Grace/shutdownTicks)
}

// shutdown decides how a node stops taking calls and when its process may end. It learns of requests as the process reads and answers them.
type shutdown struct {
	policy      env.Gateway
	phase       shutdownPhase
	requestedAt time.Duration
	// running counts the requests that were read and whose answers are not yet written; lastActivity is when one began or finished.
	running      int
	lastActivity time.Duration
	// begun and refused count the calls since the stop was requested.
	begun   int
	refused int
}

// leaving reports whether answers should close their connections.
func (shutdown *shutdown) leaving() bool { return shutdown.phase != phaseServing }

// handle processes an event and returns the commands to carry out.
func (shutdown *shutdown) handle(now time.Duration, event contract.Event) []contract.Command {
	switch event.(type) {
	case CallBegan:
		shutdown.running++
		shutdown.begun++
		shutdown.lastActivity = now
	case CallFinished:
		shutdown.running--
		shutdown.lastActivity = now
	case StopRequested:
		if shutdown.phase == phaseServing {
			shutdown.phase, shutdown.requestedAt, shutdown.begun = phaseLeaving, now, 0
			return []contract.Command{LeaveFleet{}, shutdown.log(now, "stop requested")}
		}
	case contract.Tick:
		return shutdown.advance(now)
	}
	return nil
}

// advance goes on to the next phase when that is due.
func (shutdown *shutdown) advance(now time.Duration) []contract.Command {
	passed := now - shutdown.requestedAt
	switch shutdown.phase {
	case phaseLeaving:
		if shutdown.quiet(now) {
			return shutdown.close(now, "closing to callers: quiet")
		}
		if passed >= shutdown.part(closeAtPart) {
			return shutdown.close(now, "closing to callers: grace period")
		}
	case phaseClosing:
		if shutdown.running == 0 {
			return shutdown.end(now, "traffic ended: no call left")
		}
		if passed >= shutdown.part(endAtPart) {
			return shutdown.end(now, "traffic ended: grace period over")
		}
	}
	return nil
}

// quiet reports whether callers have had the time to learn of the stop, no call is left, and none came for the lifetime of a lookup.
func (shutdown *shutdown) quiet(now time.Duration) bool {
	life := shutdown.policy.LookupLife
	return now-shutdown.requestedAt > 2*life && shutdown.running == 0 && now-shutdown.lastActivity > life
}

func (shutdown *shutdown) close(now time.Duration, step string) []contract.Command {
	shutdown.phase = phaseClosing
	return []contract.Command{CloseToCallers{}, shutdown.log(now, step)}
}

func (shutdown *shutdown) end(now time.Duration, step string) []contract.Command {
	shutdown.phase = phaseEnded
	return []contract.Command{shutdown.log(now, step), EndTraffic{}}
}

// part returns a number of the parts of the grace period.
func (shutdown *shutdown) part(number int) time.Duration {
	return shutdown.policy.Grace * time.Duration(number) / shutdownParts
}

// refuses reports whether a call with this deadline must not be taken, since it could outlast the process.
func (shutdown *shutdown) refuses(now, deadline time.Duration) bool {
	switch shutdown.phase {
	case phaseServing:
		return false
	case phaseLeaving:
		redirecting := now-shutdown.requestedAt < min(lookupLivesHeld*shutdown.policy.LookupLife, shutdown.policy.Grace/redirectShare)
		return !redirecting && deadline > shutdown.requestedAt+shutdown.part(closeAtPart)
	}
	return true
}

// log returns a log message about a step of the stop.
func (shutdown *shutdown) log(now time.Duration, step string) contract.Log {
	return contract.Log{Message: step, Attributes: []any{"msAfterSignal", (now - shutdown.requestedAt).Milliseconds(), "callsInFlight", shutdown.running,
		"callsSinceSignal", shutdown.begun, "refused", shutdown.refused}}
}

// Leaving reports whether this node stops, so that answers should close their connections.
func (router *Router) Leaving() bool { return router.shutdown.leaving() }

// refuseStopping refuses a call that this node can't finish before it stops. The caller finds another node when it looks nodes up again.
func (router *Router) refuseStopping(token int64) Refuse {
	router.shutdown.refused++
	delay := max(time.Millisecond, router.policy.LookupLife/10)
	return Refuse{Token: token, Status: 503, RetryAfter: delay/2 + time.Duration(router.random.Int64N(int64(delay/2)+1)), Reason: "this node stops"}
}
