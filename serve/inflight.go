package serve

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// callerConn is a caller's connection. requests counts the requests whose handlers have begun.
type callerConn struct {
	openedAt time.Duration
	requests atomic.Int64
}

// callerConnKey is the context key of a request's callerConn.
type callerConnKey struct{}

// connContext gives the requests of a connection access to its callerConn.
func (process *gatewayProcess) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(withAdmittedConn(ctx, conn), callerConnKey{}, &callerConn{openedAt: process.Loop.Now()})
}

// runningCall describes a call in flight for the log. Times are on the loop's clock.
type runningCall struct {
	attemptID string
	path      string
	readAt    time.Duration
	// connAge is how old the connection was when the request had been read, requestOfConn the number of the request on it.
	connAge       time.Duration
	requestOfConn int64
	server        string
	answerStarted bool
}

// callRegistry holds the calls in flight. It is safe for concurrent use.
type callRegistry struct {
	lock  sync.Mutex
	calls map[*runningCall]bool
}

func newCallRegistry() *callRegistry { return &callRegistry{calls: map[*runningCall]bool{}} }

// add registers a call and returns the function that removes it.
func (registry *callRegistry) add(call *runningCall) (remove func()) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	registry.calls[call] = true
	return func() {
		registry.lock.Lock()
		defer registry.lock.Unlock()
		delete(registry.calls, call)
	}
}

// update changes the description of a call.
func (registry *callRegistry) update(change func()) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	change()
}

// snapshot returns copies of all calls, oldest first.
func (registry *callRegistry) snapshot() []runningCall {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	calls := make([]runningCall, 0, len(registry.calls))
	for call := range registry.calls {
		calls = append(calls, *call)
	}
	slices.SortFunc(calls, func(left, right runningCall) int { return int(left.readAt - right.readAt) })
	return calls
}

// describeCall describes a call that has been read.
func (process *gatewayProcess) describeCall(call *proxyCall) *runningCall {
	description := &runningCall{attemptID: call.attemptID, path: call.request.URL.Path, readAt: process.Loop.Now()}
	if conn, found := call.request.Context().Value(callerConnKey{}).(*callerConn); found {
		description.connAge, description.requestOfConn = process.Loop.Now()-conn.openedAt, conn.requests.Add(1)
	}
	return description
}

// maxLoggedCalls bounds the calls that one log message of a stop names.
const maxLoggedCalls = 50

// logCutCalls names the calls whose connections end with the process. requestedAt is when the stop was asked for.
func (process *gatewayProcess) logCutCalls(requestedAt time.Duration) {
	calls, now := process.running.snapshot(), process.Loop.Now()
	for _, call := range calls[:min(len(calls), maxLoggedCalls)] {
		process.Loop.Execute(contract.Log{Message: "call cut by the stop", Attributes: []any{"attempt", call.attemptID, "path", call.path, "readMsAfterSignal",
			(call.readAt - requestedAt).Milliseconds(), "ageMs", (now - call.readAt).Milliseconds(), "server", call.server, "answerStarted", call.answerStarted,
			"requestOfConn", call.requestOfConn, "connAgeMs", call.connAge.Milliseconds()}})
	}
}

// logCallerLeft names a call whose connection ended before its answer while this process is stopping.
func (call *proxyCall) logCallerLeft() {
	process := call.process
	process.Loop.Count("callers_left", 1)
	if !process.leaving.Load() {
		return
	}
	process.Loop.Execute(contract.Log{Message: "connection ended before the answer", Attributes: []any{"attempt", call.attemptID, "server", call.description.server,
		"ageMs", (process.Loop.Now() - call.description.readAt).Milliseconds(), "answerStarted", call.answerStarted, "requestOfConn", call.description.requestOfConn}})
}
