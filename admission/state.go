package admission

import (
	"math"
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Costs of what a client makes a process hold, in bytes.
const (
	// connectionCost is the memory of an open connection: two goroutines, their stacks and buffers.
	connectionCost = 24 << 10
	// headerLineCost is the memory of a line of a head beyond its bytes, which are held twice: as they came and as parsed.
	headerLineCost = 256
	headByteCost   = 2
	// headSlack is how much beyond its limit a head may seem to be, since bytes of the body arrive with it.
	headSlack = 4 << 10
	// aheadCost is what the kernel may hold of requests that a client sends before the answer to its last one has ended.
	aheadCost = 128 << 10
)

const (
	// smallRequest is the size in bytes up to which a request may use the last smallRequestReserve of its class's memory.
	smallRequest        = 256 << 10
	smallRequestReserve = 1.0 / 4
	// progressHalfLife is how long it takes until received bytes count half as progress.
	progressHalfLife = 500 * time.Millisecond
	// minStall is how many times more than its recent progress a connection has to hold before it gives way to others.
	minStall = 4
	// logPeriod is the time between two log lines about ended connections.
	logPeriod = 5 * time.Second
)

// phase is what a connection waits for.
type phase int

const (
	// phaseWaiting: for the first byte of a request. phaseHead, phaseBody: for the rest of the head, of the body. phaseRunning: for the answer.
	// phaseStalled: for the client to take the answer.
	phaseWaiting phase = iota
	phaseHead
	phaseBody
	phaseRunning
	phaseStalled
)

// connection is the state of an open connection. held is the memory that it takes, ended is set once it was told to end.
type connection struct {
	class      Class
	remote     string
	phase      phase
	since      time.Duration
	bodyTime   time.Duration
	held       int64
	head       int64
	headHeld   int64
	ahead      bool
	progress   float64
	progressAt time.Duration
	ended      *End
}

// State is the admission of one process. It is not safe for concurrent use.
type State struct {
	budget      Budget
	limits      [classCount]Limits
	connections map[ConnID]*connection
	open        [classCount]int
	held        [classCount]int64
	lastLog     time.Duration
	unlogged    map[Reason]int64
	lastRemote  string
}

// New returns the state of a process without connections. All classes have the same limits at first.
func New(budget Budget, limits Limits) *State {
	state := &State{budget: budget, connections: map[ConnID]*connection{}, unlogged: map[Reason]int64{}}
	for class := range classCount {
		state.limits[class] = limits
	}
	return state
}

// Open returns the number of a class's open connections, Held the bytes that they take.
func (state *State) Open(class Class) int   { return state.open[class] }
func (state *State) Held(class Class) int64 { return state.held[class] }

// Handle handles an event at a time and returns commands: an End for each connection that ends, counters and log lines.
func (state *State) Handle(now time.Duration, event contract.Event) []contract.Command {
	switch event := event.(type) {
	case Opened:
		return state.opened(now, event)
	case Received:
		return state.onConnection(event.Conn, func(conn *connection) []contract.Command { return state.received(now, event, conn) })
	case RequestBegan:
		return state.onConnection(event.Conn, func(conn *connection) []contract.Command { return state.requestBegan(now, event, conn) })
	case Wanted:
		return state.onConnection(event.Conn, func(conn *connection) []contract.Command { return state.reserve(now, event.Conn, conn, event.Bytes) })
	case RequestRead:
		return state.onConnection(event.Conn, func(conn *connection) []contract.Command {
			conn.phase, conn.since = phaseRunning, now
			return nil
		})
	case AnswerStalled:
		return state.onConnection(event.Conn, func(conn *connection) []contract.Command { return conn.move(now, phaseRunning, phaseStalled) })
	case AnswerTaken:
		return state.onConnection(event.Conn, func(conn *connection) []contract.Command { return conn.move(now, phaseStalled, phaseRunning) })
	case RequestEnded:
		return state.onConnection(event.Conn, func(conn *connection) []contract.Command {
			state.release(conn, conn.held-connectionCost)
			conn.phase, conn.since, conn.head, conn.headHeld, conn.ahead = phaseWaiting, now, 0, 0, false
			return nil
		})
	case Closed:
		state.closed(event.Conn)
	case LimitsChanged:
		state.limits[event.Class] = event.Limits
	case contract.Tick:
		return state.tick(now)
	}
	return nil
}

// move changes the phase of a connection that is in another one.
func (conn *connection) move(now time.Duration, from, to phase) []contract.Command {
	if conn.phase == from {
		conn.phase, conn.since = to, now
	}
	return nil
}

// onConnection handles the event of a connection. One that was ended before is told so again.
func (state *State) onConnection(id ConnID, handle func(*connection) []contract.Command) []contract.Command {
	conn, found := state.connections[id]
	if !found {
		return nil
	}
	if conn.ended != nil {
		return []contract.Command{*conn.ended}
	}
	return handle(conn)
}

func (state *State) opened(now time.Duration, event Opened) []contract.Command {
	conn := &connection{class: event.Class, remote: event.Remote, since: now, progress: connectionCost, progressAt: now}
	state.connections[event.Conn] = conn
	commands := []contract.Command{}
	for state.open[event.Class] >= state.budget.Connections[event.Class] {
		victim, ended := state.mostStalled(now, event.Class, event.Conn)
		if ended == nil {
			state.open[event.Class]++
			return append(commands, state.end(event.Conn, conn, 0, ReasonConnections)...)
		}
		commands = append(commands, state.end(victim, ended, statusOf(ended.phase), ReasonConnections)...)
	}
	state.open[event.Class]++
	return append(commands, state.reserve(now, event.Conn, conn, connectionCost)...)
}

// received notes progress, and the memory that a head takes while it arrives.
func (state *State) received(now time.Duration, event Received, conn *connection) []contract.Command {
	conn.progress = conn.recentProgress(now) + float64(event.Bytes)
	conn.progressAt = now
	if conn.phase == phaseWaiting {
		conn.phase, conn.since = phaseHead, now
	}
	if conn.phase == phaseRunning && !conn.ahead {
		conn.ahead = true
		return state.reserve(now, event.Conn, conn, aheadCost)
	}
	if conn.phase != phaseHead {
		return nil
	}
	conn.head += event.Bytes
	if limit := state.limits[conn.class].HeadBytes; limit > 0 && conn.head > limit+headSlack {
		return state.end(event.Conn, conn, http.StatusRequestHeaderFieldsTooLarge, ReasonHeadSize)
	}
	cost := headCost(event.Bytes, event.Lines)
	conn.headHeld += cost
	return state.reserve(now, event.Conn, conn, cost)
}

// headCost is the memory that a part of a head takes.
func headCost(bytes, lines int64) int64 { return bytes*headByteCost + lines*headerLineCost }

func (state *State) requestBegan(now time.Duration, event RequestBegan, conn *connection) []contract.Command {
	conn.phase, conn.since, conn.bodyTime = phaseBody, now, event.BodyTime
	if conn.bodyTime <= 0 {
		conn.bodyTime = state.limits[conn.class].BodyTime
	}
	missing := headCost(event.Bytes, event.Lines) - conn.headHeld
	if missing <= 0 {
		return nil
	}
	conn.headHeld += missing
	return state.reserve(now, event.Conn, conn, missing)
}

func (state *State) closed(id ConnID) {
	conn, found := state.connections[id]
	if !found {
		return
	}
	if conn.ended == nil {
		state.open[conn.class]--
		state.release(conn, conn.held)
	}
	delete(state.connections, id)
}

// reserve takes memory for a connection. If there is too little, connections that hold much and make little progress are ended; if there are
// none, this one is.
func (state *State) reserve(now time.Duration, id ConnID, conn *connection, bytes int64) []contract.Command {
	commands := []contract.Command{}
	for !state.fits(conn, bytes) {
		if conn.held+bytes > state.ceiling(conn.class, conn.held+bytes) {
			return append(commands, state.end(id, conn, http.StatusRequestEntityTooLarge, ReasonTooLarge)...)
		}
		victim, ended := state.mostStalled(now, conn.class, id)
		if ended == nil {
			return append(commands, state.end(id, conn, statusOf(conn.phase), ReasonMemory)...)
		}
		commands = append(commands, state.end(victim, ended, statusOf(ended.phase), ReasonMemory)...)
	}
	conn.held += bytes
	state.held[conn.class] += bytes
	return commands
}

func (state *State) fits(conn *connection, bytes int64) bool {
	return state.held[conn.class]+bytes <= state.ceiling(conn.class, conn.held+bytes)
}

// ceiling returns the memory of a class that a request of a size may be a part of.
func (state *State) ceiling(class Class, size int64) int64 {
	if size > smallRequest {
		return int64(float64(state.budget.Memory[class]) * (1 - smallRequestReserve))
	}
	return state.budget.Memory[class]
}

func (state *State) release(conn *connection, bytes int64) {
	conn.held -= bytes
	state.held[conn.class] -= bytes
}

// statusOf returns the status for a request that is ended for want of memory or descriptors. Where no request has begun, or one runs, there is
// none.
func statusOf(phase phase) int {
	if phase == phaseHead || phase == phaseBody {
		return http.StatusServiceUnavailable
	}
	return 0
}

// mostStalled returns the connection of a class, other than one, that holds the most for its recent progress. Requests that run and
// connections that make progress are spared; without others it returns nil.
func (state *State) mostStalled(now time.Duration, class Class, other ConnID) (ConnID, *connection) {
	var id ConnID
	var found *connection
	worst := float64(minStall)
	for candidate, conn := range state.connections {
		if candidate == other || conn.class != class || conn.ended != nil || conn.phase == phaseRunning {
			continue
		}
		stall := float64(conn.held) / max(1, conn.recentProgress(now))
		if stall > worst || stall == worst && found != nil && candidate < id {
			id, found, worst = candidate, conn, stall
		}
	}
	return id, found
}

// recentProgress returns the bytes that arrived recently.
func (conn *connection) recentProgress(now time.Duration) float64 {
	return conn.progress * math.Exp2(-float64(now-conn.progressAt)/float64(progressHalfLife))
}

// end ends a connection and releases what it held.
func (state *State) end(id ConnID, conn *connection, status int, reason Reason) []contract.Command {
	state.open[conn.class]--
	state.release(conn, conn.held)
	conn.ended = &End{Conn: id, Class: conn.class, Status: status, Reason: reason}
	if reason != ReasonIdle {
		state.unlogged[reason]++
		state.lastRemote = conn.remote
	}
	return []contract.Command{*conn.ended, contract.AddCounter{Name: "clients_ended_" + string(reason), Delta: 1}}
}
