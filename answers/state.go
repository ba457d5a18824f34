package answers

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of an answer.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxPaused is how long an answer may be paused in all.
	maxPaused = time.Second
	// logPeriod is the time between two log lines about one server, and how long a server is remembered that sends nothing.
	logPeriod = 5 * time.Second
	// maxNamedServers bounds the servers that metrics name; the others are counted together as otherServers.
	maxNamedServers = 100
	otherServers    = "others"
)

// answer is the state of an answer that is read. head is the length of its head so far.
type answer struct {
	server    *server
	head      int64
	headLines int64
	held      int64
	bucket    bucket
	paused    time.Duration
	ended     *End
}

// server is what is known of a server whose answers are read. unlogged counts the bounds that were met since the last log line.
type server struct {
	name     string
	answers  int
	bucket   bucket
	lastUse  time.Duration
	loggedAt time.Duration
	unlogged int64
}

// State decides about the answers of one process. It is not safe for concurrent use.
type State struct {
	budget  Budget
	answers map[ID]*answer
	servers map[string]*server
	held    int64
	bucket  bucket
	cleaned time.Duration
	// named holds the servers that metrics name.
	named map[string]bool
}

// New returns the state of a process that reads no answer.
func New(budget Budget) *State {
	return &State{budget: budget, answers: map[ID]*answer{}, servers: map[string]*server{}, named: map[string]bool{}, bucket: newBucket(0, budget.Processor, sharedBucketSpan)}
}

// Held returns the bytes that all answers take.
func (state *State) Held() int64 { return state.held }

// Handle handles an event at a time and returns commands: a Pause, an End for each answer that ends, counters and log lines.
func (state *State) Handle(now time.Duration, event contract.Event) []contract.Command {
	switch event := event.(type) {
	case Began:
		state.forgetServers(now)
		server := state.serverNamed(now, event.Server)
		server.answers++
		state.answers[event.Answer] = &answer{server: server, bucket: newBucket(now, state.budget.Answer, answerBucketSpan)}
	case Received:
		return state.onAnswer(event.Answer, func(answer *answer) []contract.Command { return state.received(now, event, answer) })
	case Held:
		return state.onAnswer(event.Answer, func(answer *answer) []contract.Command {
			return state.hold(now, answer, headCost(answer.head, answer.headLines)+event.Bytes)
		})
	case Exceeded:
		return state.onAnswer(event.Answer, func(answer *answer) []contract.Command { return state.end(now, event.Answer, answer, event.Reason) })
	case Ended:
		state.forget(now, event.Answer)
	case LateBytes:
		return state.report(now, state.serverNamed(now, event.Server), ReasonLateBytes)
	}
	return nil
}

// onAnswer handles the event of an answer. One that was ended before is told so again.
func (state *State) onAnswer(id ID, handle func(*answer) []contract.Command) []contract.Command {
	answer, found := state.answers[id]
	if !found {
		return nil
	}
	if answer.ended != nil {
		return []contract.Command{*answer.ended}
	}
	return handle(answer)
}

// received charges what arrived, the head to the memory too.
func (state *State) received(now time.Duration, event Received, answer *answer) []contract.Command {
	answer.server.lastUse = now
	if event.HeadBytes > 0 {
		answer.head += event.HeadBytes
		answer.headLines += event.HeadLines
		if answer.head > maxHeadBytes || answer.headLines > maxHeadLines {
			return state.end(now, event.Answer, answer, ReasonHeadSize)
		}
		if commands := state.hold(now, answer, answer.held+headCost(event.HeadBytes, event.HeadLines)); commands != nil {
			return commands
		}
	}
	return state.charge(now, event.Answer, answer, processorCost(event))
}

// charge takes processor time from the allowance of an answer, and what that lacks from its server's and the process's. An answer is paused while
// there is too little, until it has been paused for too long.
func (state *State) charge(now time.Duration, id ID, answer *answer, cost time.Duration) []contract.Command {
	answer.bucket.refill(now)
	answer.bucket.tokens -= cost
	missing := -answer.bucket.tokens
	if missing <= 0 {
		return nil
	}
	server := answer.server
	server.bucket.refill(now)
	state.bucket.refill(now)
	if server.bucket.tokens >= missing && state.bucket.tokens >= missing {
		server.bucket.tokens -= missing
		state.bucket.tokens -= missing
		answer.bucket.tokens = 0
		return nil
	}
	pause := time.Duration(float64(missing) / answer.bucket.rate)
	if answer.paused += pause; answer.paused > maxPaused {
		return state.end(now, id, answer, ReasonPace)
	}
	return []contract.Command{Pause{Answer: id, Duration: pause}}
}

// hold sets what an answer takes of the memory. If all answers take too much, the one that takes the most is ended.
func (state *State) hold(now time.Duration, answer *answer, bytes int64) []contract.Command {
	state.held += bytes - answer.held
	answer.held = bytes
	var commands []contract.Command
	for state.held > state.budget.Memory {
		id, largest := state.largest()
		commands = append(commands, state.end(now, id, largest, ReasonMemory)...)
	}
	return commands
}

// largest returns the answer that takes the most memory.
func (state *State) largest() (ID, *answer) {
	var id ID
	var found *answer
	for candidate, answer := range state.answers {
		if found == nil || answer.held > found.held || answer.held == found.held && candidate > id {
			id, found = candidate, answer
		}
	}
	return id, found
}

// end ends an answer and releases what it took.
func (state *State) end(now time.Duration, id ID, answer *answer, reason Reason) []contract.Command {
	state.held -= answer.held
	answer.held = 0
	answer.ended = &End{Answer: id, Reason: reason}
	return append([]contract.Command{*answer.ended}, state.report(now, answer.server, reason)...)
}

// metricName returns the name under which a server's answers are counted.
func (state *State) metricName(server *server) string {
	if !state.named[server.name] && len(state.named) >= maxNamedServers {
		return otherServers
	}
	state.named[server.name] = true
	return server.name
}

// report counts a bound that a server's answer met, and names the server in the log now and then.
func (state *State) report(now time.Duration, server *server, reason Reason) []contract.Command {
	commands := []contract.Command{contract.AddCounter{Name: "server_answers_ended_" + string(reason), Delta: 1}, contract.AddCounter{Name: "faulty_answers_" + state.metricName(server), Delta: 1}}
	server.unlogged++
	if server.loggedAt > 0 && now-server.loggedAt < logPeriod {
		return commands
	}
	line := contract.Log{Message: "a server's answer met a bound", Attributes: []any{"server", server.name, "bound", string(reason), "answers", server.unlogged}}
	server.loggedAt, server.unlogged = now, 0
	return append(commands, line)
}

func (state *State) forget(now time.Duration, id ID) {
	answer, found := state.answers[id]
	if !found {
		return
	}
	state.held -= answer.held
	answer.server.answers--
	answer.server.lastUse = now
	delete(state.answers, id)
}

func (state *State) serverNamed(now time.Duration, name string) *server {
	known, found := state.servers[name]
	if !found {
		known = &server{name: name, bucket: newBucket(now, state.budget.Server, sharedBucketSpan)}
		state.servers[name] = known
	}
	known.lastUse = now
	return known
}

// forgetServers forgets servers without answers once their bucket is full again.
func (state *State) forgetServers(now time.Duration) {
	if now-state.cleaned < logPeriod {
		return
	}
	state.cleaned = now
	for name, server := range state.servers {
		if server.answers == 0 && now-server.lastUse > logPeriod {
			delete(state.servers, name)
		}
	}
}
