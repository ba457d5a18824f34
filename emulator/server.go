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

// server stands in for one life of a server.
type server struct {
	day       *Day
	name      string
	address   string
	service   Service
	zone      string
	region    string
	speed     float64
	up        bool
	leaving   bool
	dark      bool
	ends      time.Duration
	coldUntil time.Duration
	arrivals  []time.Duration
	conns     map[*conn]time.Duration
	jobs      map[*conn]*task
	queue     []*task
	running   []*task
	told      gateway.Load
	toldAt    time.Duration
	batch     *batch
	garbled   float64
	lossy     float64
	runs      int64
}

// task is one request at a server.
type task struct {
	*query
	server   *server
	conn     *conn
	arrival  *rules.Arrival
	number   int64
	deadline time.Duration
	over     bool
	state    *reading
}

const (
	keptIdle    = 8 * time.Second
	fallsOver   = 3
	usualRank   = 5
	fullQueue   = 4
	runUnit     = 1
	answerBytes = 1200
)

func (server *server) place() place { return place{server.name, server.zone, server.region, false} }

// accept takes a connection unless there are too many, or fewer while the queue is long.
func (server *server) accept(conn *conn) bool {
	most := server.service.Connections
	if len(server.queue)*fullQueue > server.service.Queue*(fullQueue-1) {
		most = most * (fullQueue - 1) / fullQueue
	}
	if !server.up || len(server.conns) >= most {
		return false
	}
	server.conns[conn] = server.day.world.Now
	conn.closed[far] = func() { server.closed(conn) }
	server.idle(conn)
	return true
}

// idle closes a connection that was unused for its time.
func (server *server) idle(conn *conn) {
	server.day.world.After(keptIdle, func() {
		used, there := server.conns[conn]
		switch {
		case !there:
		case server.jobs[conn] != nil || server.day.world.Now-used < keptIdle:
			server.idle(conn)
		default:
			server.hangUp(conn)
		}
	})
}

func (server *server) hangUp(conn *conn) {
	delete(server.conns, conn)
	delete(server.jobs, conn)
	conn.close(far)
}

// closed follows a caller's end of a connection: what runs for it is dropped.
func (server *server) closed(conn *conn) {
	delete(server.conns, conn)
	if job := server.jobs[conn]; job != nil {
		delete(server.jobs, conn)
		server.forget(job)
	}
}

func (server *server) forget(job *task) {
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

func (server *server) receive(conn *conn, asked *query) {
	if !server.up {
		return
	}
	now, world := server.day.world.Now, server.day.world
	arrival := &rules.Arrival{Identity: asked.request.try.Identity, Server: server.name, Service: server.service.Name, Zone: server.zone, Region: server.region,
		Machine: asked.machine.name, Sent: asked.sent, ArrivedAt: now, Target: asked.target, Tenant: asked.tenant, Cold: server.cold() && server.service.ColdPerS > 0, ResumeAfter: asked.after}
	server.day.record.Arrivals = append(server.day.record.Arrivals, arrival)
	server.conns[conn] = now
	server.runs += runUnit
	job := &task{query: asked, server: server, conn: conn, arrival: arrival, number: server.runs, deadline: now + asked.left}
	server.jobs[conn] = job
	if asked.target != server.name {
		arrival.WrongServer = true
		server.turnAway(job, head{status: 421, moved: true})
		return
	}
	if arrival.Cold && server.overload(now) {
		world.After(0, func() { server.crash() })
		return
	}
	if server.lossy > 0 && world.random.Float64() < server.lossy {
		arrival.Executed, arrival.ExecutedAt, arrival.Interrupted, arrival.Ended = true, now, true, now
		server.hangUp(conn)
		return
	}
	if len(server.running)+len(server.queue) >= server.service.Slots+server.service.Queue || server.batch != nil && !server.batch.fits(job) {
		server.turnAway(job, head{status: 503, notRun: true})
		return
	}
	server.queue = append(server.queue, job)
	world.After(asked.left, func() {
		if !job.over && !arrival.Executed {
			server.queue = slices.DeleteFunc(server.queue, func(other *task) bool { return other == job })
			server.remove(job)
			server.turnAway(job, head{status: 503, notRun: true})
		}
	})
	server.admit()
}

// overload tells whether a cold server got well above the rate that it bears.
func (server *server) overload(now time.Duration) bool {
	server.arrivals = slices.DeleteFunc(server.arrivals, func(at time.Duration) bool { return at < now-time.Second })
	server.arrivals = append(server.arrivals, now)
	return float64(len(server.arrivals)) > server.service.ColdPerS*fallsOver
}

func (server *server) turnAway(job *task, head head) {
	job.over = true
	job.arrival.NotRun, job.arrival.Ended = head.notRun, server.day.world.Now
	server.reply(job, head)
	server.finish(job)
}

// reply sends the head of an answer, with the load as it stood a while ago.
func (server *server) reply(job *task, head head) {
	head.identity, head.sealed, head.close, head.keep = job.request.try.Identity, true, server.leaving, keptIdle
	if server.garbled > 0 && server.day.world.random.Float64() < server.garbled {
		head.identity = "late-" + head.identity
	}
	if now := server.day.world.Now; now-server.toldAt > server.late() {
		server.told, server.toldAt = gateway.Load{Running: int64(len(server.running)), Waiting: int64(len(server.queue)), Slots: int64(server.service.Slots)}, now
	}
	load := server.told
	head.load = &load
	take := job.head
	job.conn.send(far, headBytes, func() { take(head) })
}

func (server *server) late() time.Duration {
	if server.service.Engine == nil {
		return 0
	}
	return seconds(server.service.Engine.LateMs / 1000)
}

// finish ends an answer; the connection waits for the next one.
func (server *server) finish(job *task) {
	take, conn := job.whole, job.conn
	conn.send(far, 1, take)
	delete(server.jobs, conn)
	server.conns[conn] = server.day.world.Now
	if server.leaving {
		server.hangUp(conn)
	}
}

// admit lets what waits begin: in batches, or slot by slot.
func (server *server) admit() {
	if !server.up {
		return
	}
	if server.batch != nil {
		server.batch.wake()
		return
	}
	for len(server.queue) > 0 && len(server.running) < server.service.Slots {
		job := server.queue[0]
		server.queue = server.queue[1:]
		server.running = append(server.running, job)
		server.began(job)
		full := 1 + 0.5*float64(len(server.running))/float64(server.service.Slots)
		server.day.world.After(time.Duration(float64(job.request.work)*server.speed*full), func() {
			if job.over || !server.up {
				return
			}
			job.over, job.arrival.Ended = true, server.day.world.Now
			server.remove(job)
			server.reply(job, head{status: 200})
			server.finish(job)
			server.admit()
		})
	}
}

func (server *server) began(job *task) {
	if !job.arrival.Executed {
		server.day.runs++
		job.arrival.Executed, job.arrival.ExecutedAt, job.arrival.ExecutionID = true, server.day.world.Now, server.day.runs
	}
}

// crash ends the server; its connections are reset.
func (server *server) crash() {
	if !server.up {
		return
	}
	server.up = false
	server.ended()
	conns := slices.SortedFunc(maps.Keys(server.conns), func(left, right *conn) int { return int(left.number - right.number) })
	for _, conn := range conns {
		conn.close(far)
	}
	server.conns, server.jobs, server.queue, server.running = map[*conn]time.Duration{}, map[*conn]*task{}, nil, nil
	server.day.list.crashed(server)
}

func (server *server) ended() {
	for _, job := range server.jobs {
		if !job.over {
			job.over = true
			job.arrival.Interrupted, job.arrival.Ended = true, server.day.world.Now
		}
	}
}

// report is what a server tells of itself, late.
func (server *server) report(name string) (contract.LoadReport, bool) {
	if !server.up || server.name != name {
		return contract.LoadReport{}, false
	}
	server.day.reports++
	return contract.LoadReport{Server: name, Incarnation: name, Number: server.day.reports, Running: int64(len(server.running)), Waiting: int64(len(server.queue)),
		Complete: true, AgeMs: int64(math.Ceil(server.late().Seconds() * 1000))}, true
}
