package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/gateway"
)

// server simulates one life of a model server. speed is a factor on the time of its work.
type server struct {
	day             *Day
	name            string
	address         string
	service         Service
	zone            string
	region          string
	speed           float64
	up              bool
	leaving         bool
	silent          bool
	endsAt          time.Duration
	coldUntil       time.Duration
	arrivals        []time.Duration
	conns           map[*conn]time.Duration
	jobs            map[*conn]*task
	queue           []*task
	running         []*task
	reportedLoad    gateway.Load
	reportedAt      time.Duration
	batch           *batch
	garbleShare     float64
	answerLossShare float64
	requestCount    int64
}

// task is one request at a server.
type task struct {
	*serverRequest
	server   *server
	conn     *conn
	arrival  *rules.Arrival
	number   int64
	deadline time.Duration
	over     bool
	progress *progress
}

const (
	idleTimeout     = 8 * time.Second
	crashLoadFactor = 3
	defaultPriority = 5
	queueParts      = 4
	numberStep      = 1
	answerBytes     = 1200
)

func (server *server) place() location {
	return location{server.name, server.zone, server.region, false}
}

// accept accepts a connection unless there are too many; the limit is lower while the queue is nearly full.
func (server *server) accept(conn *conn) bool {
	most := server.service.Connections
	if len(server.queue)*queueParts > server.service.Queue*(queueParts-1) {
		most = most * (queueParts - 1) / queueParts
	}
	if !server.up || len(server.conns) >= most {
		return false
	}
	server.conns[conn] = server.day.world.Now
	conn.onClose[acceptor] = func() { server.clientClosed(conn) }
	server.closeWhenIdle(conn)
	return true
}

// closeWhenIdle closes a connection that has been unused for idleTimeout.
func (server *server) closeWhenIdle(conn *conn) {
	server.day.world.After(idleTimeout, func() {
		used, found := server.conns[conn]
		switch {
		case !found:
		case server.jobs[conn] != nil || server.day.world.Now-used < idleTimeout:
			server.closeWhenIdle(conn)
		default:
			server.closeConnection(conn)
		}
	})
}

func (server *server) closeConnection(conn *conn) {
	delete(server.conns, conn)
	delete(server.jobs, conn)
	conn.close(acceptor)
}

// clientClosed handles the other end closing a connection; its request is cancelled.
func (server *server) clientClosed(conn *conn) {
	delete(server.conns, conn)
	if job := server.jobs[conn]; job != nil {
		delete(server.jobs, conn)
		server.cancel(job)
	}
}

func (server *server) cancel(job *task) {
	if job.over {
		return
	}
	job.over = true
	job.arrival.Ended = server.day.world.Now
	server.queue = slices.DeleteFunc(server.queue, func(other *task) bool { return other == job })
	server.remove(job)
	server.admit()
}

func (server *server) remove(job *task) {
	server.running = slices.DeleteFunc(server.running, func(other *task) bool { return other == job })
	if server.batch != nil {
		server.batch.release(job)
	}
}

func (server *server) cold() bool { return server.day.world.Now < server.coldUntil }

func (server *server) receive(conn *conn, asked *serverRequest) {
	if !server.up {
		return
	}
	now, world := server.day.world.Now, server.day.world
	arrival := &rules.Arrival{Identity: asked.request.attempt.Identity, Server: server.name, Service: server.service.Name, Zone: server.zone, Region: server.region,
		Machine: asked.machine.name, Sent: asked.sent, ArrivedAt: now, Target: asked.target, Tenant: asked.tenant, Cold: server.cold() && server.service.ColdPerS > 0, ResumeAfter: asked.resumeAfter}
	server.day.record.Arrivals = append(server.day.record.Arrivals, arrival)
	server.conns[conn] = now
	server.requestCount += numberStep
	job := &task{serverRequest: asked, server: server, conn: conn, arrival: arrival, number: server.requestCount, deadline: now + asked.timeout}
	server.jobs[conn] = job
	if asked.target != server.name {
		arrival.WrongServer = true
		server.reject(job, serverHead{status: 421, wrongServer: true})
		return
	}
	if arrival.Cold && server.overloaded(now) {
		world.After(0, func() { server.crash() })
		return
	}
	if server.answerLossShare > 0 && world.random.Float64() < server.answerLossShare {
		arrival.Executed, arrival.ExecutedAt, arrival.Interrupted, arrival.Ended = true, now, true, now
		server.closeConnection(conn)
		return
	}
	if len(server.running)+len(server.queue) >= server.service.Slots+server.service.Queue || server.batch != nil && !server.batch.fits(job) {
		server.reject(job, serverHead{status: 503, notRun: true})
		return
	}
	server.queue = append(server.queue, job)
	world.After(asked.timeout, func() {
		if !job.over && !arrival.Executed {
			server.queue = slices.DeleteFunc(server.queue, func(other *task) bool { return other == job })
			server.remove(job)
			server.reject(job, serverHead{status: 503, notRun: true})
		}
	})
	server.admit()
}

// overloaded tells whether a cold server got so many requests in a second that it crashes.
func (server *server) overloaded(now time.Duration) bool {
	server.arrivals = slices.DeleteFunc(server.arrivals, func(at time.Duration) bool { return at < now-time.Second })
	server.arrivals = append(server.arrivals, now)
	return float64(len(server.arrivals)) > server.service.ColdPerS*crashLoadFactor
}

func (server *server) reject(job *task, head serverHead) {
	job.over = true
	job.arrival.NotRun, job.arrival.Ended = head.notRun, server.day.world.Now
	server.reply(job, head)
	server.finish(job)
}

// reply sends the head of an answer, with a load figure that lags behind.
func (server *server) reply(job *task, head serverHead) {
	head.identity, head.sealed, head.close, head.keepAlive = job.request.attempt.Identity, true, server.leaving, idleTimeout
	if server.garbleShare > 0 && server.day.world.random.Float64() < server.garbleShare {
		head.identity = "late-" + head.identity
	}
	if now := server.day.world.Now; now-server.reportedAt > server.reportDelay() {
		server.reportedLoad, server.reportedAt = gateway.Load{Running: int64(len(server.running)), Waiting: int64(len(server.queue)), Slots: int64(server.service.Slots)}, now
	}
	load := server.reportedLoad
	head.load = &load
	take := job.head
	job.conn.send(acceptor, headBytes, func() { take(head) })
}

func (server *server) reportDelay() time.Duration {
	if server.service.Engine == nil {
		return 0
	}
	return seconds(server.service.Engine.LateMs / 1000)
}

// finish ends an answer; the connection waits for the next request.
func (server *server) finish(job *task) {
	take, conn := job.complete, job.conn
	conn.send(acceptor, 1, take)
	delete(server.jobs, conn)
	server.conns[conn] = server.day.world.Now
	if server.leaving {
		server.closeConnection(conn)
	}
}

// admit starts waiting requests, in batches or one per free slot.
func (server *server) admit() {
	if !server.up {
		return
	}
	if server.batch != nil {
		server.batch.resume()
		return
	}
	for len(server.queue) > 0 && len(server.running) < server.service.Slots {
		job := server.queue[0]
		server.queue = server.queue[1:]
		server.running = append(server.running, job)
		server.markExecuted(job)
		full := 1 + 0.5*float64(len(server.running))/float64(server.service.Slots)
		server.day.world.After(time.Duration(float64(job.request.work)*server.speed*full), func() {
			if job.over || !server.up {
				return
			}
			job.over, job.arrival.Ended = true, server.day.world.Now
			server.remove(job)
			server.reply(job, serverHead{status: 200})
			server.finish(job)
			server.admit()
		})
	}
}

func (server *server) markExecuted(job *task) {
	if !job.arrival.Executed {
		server.day.executions++
		job.arrival.Executed, job.arrival.ExecutedAt, job.arrival.ExecutionID = true, server.day.world.Now, server.day.executions
	}
}

// crash ends the server; the other ends of its connections are notified.
func (server *server) crash() {
	if !server.up {
		return
	}
	server.up = false
	server.interruptJobs()
	conns := slices.SortedFunc(maps.Keys(server.conns), func(left, right *conn) int { return int(left.number - right.number) })
	for _, conn := range conns {
		conn.close(acceptor)
	}
	server.conns, server.jobs, server.queue, server.running = map[*conn]time.Duration{}, map[*conn]*task{}, nil, nil
	server.day.list.crashed(server)
}

func (server *server) interruptJobs() {
	for _, job := range server.jobs {
		if !job.over {
			job.over = true
			job.arrival.Interrupted, job.arrival.Ended = true, server.day.world.Now
		}
	}
}

// report gives the server's load report; it reports false if another server has the address.
func (server *server) report(name string) (contract.LoadReport, bool) {
	if !server.up || server.name != name {
		return contract.LoadReport{}, false
	}
	server.day.reportCount++
	return contract.LoadReport{Server: name, Incarnation: name, Number: server.day.reportCount, Running: int64(len(server.running)), Waiting: int64(len(server.queue)),
		Complete: true, AgeMs: int64(math.Ceil(server.reportDelay().Seconds() * 1000))}, true
}
