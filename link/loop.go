// Package link transports messages between processes and runs the event loop of a state machine in one goroutine with a bounded queue.
package link

import (
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/go-kit/log"
)

const eventQueueSize = 4096 // events that wait for a loop

// Loop runs a state machine: it feeds it events and ticks one at a time and executes the resulting commands. Times are since its start.
type Loop struct {
	stateMachine   contract.StateMachine
	execute        func(contract.Command) bool // commands that the loop does not know
	events         chan contract.Event
	startedAt      time.Time
	tickInterval   time.Duration
	logger         log.Logger
	lock           sync.Mutex
	metrics        *metrics
	lastToken      int64                             // last token that was given out
	answerHandlers map[int64]func(contract.Response) // by token: who waits for an answer
	sender         *Sender
}

// NewLoop returns the loop of a state machine, with a tick at each interval. Run starts it.
func NewLoop(stateMachine contract.StateMachine, tickInterval time.Duration, sender *Sender, logger log.Logger) *Loop {
	return &Loop{stateMachine: stateMachine, events: make(chan contract.Event, eventQueueSize), startedAt: time.Now(), tickInterval: tickInterval,
		logger: logger, metrics: newMetrics(), answerHandlers: map[int64]func(contract.Response){}, sender: sender}
}

// SetExecutor sets what executes commands other than messages, metrics, log lines and answers; it returns false for an unknown command.
func (loop *Loop) SetExecutor(execute func(contract.Command) bool) { loop.execute = execute }

// Now returns the time since the loop was made, which is what the state machine sees.
func (loop *Loop) Now() time.Duration { return time.Since(loop.startedAt) }

// Post queues an event, and waits while the queue is full.
func (loop *Loop) Post(event contract.Event) { loop.events <- event }

// TryPost queues an event, or returns false and counts it if the queue is full.
func (loop *Loop) TryPost(event contract.Event) bool {
	select {
	case loop.events <- event:
		return true
	default:
		loop.Count("ring_full", 1)
		return false
	}
}

// Count adds to a counter.
func (loop *Loop) Count(name string, by int64) {
	loop.metrics.addCounter(name, by)
}

// Counts returns a copy of all counters by their internal names.
func (loop *Loop) Counts() map[string]int64 {
	loop.metrics.lock.Lock()
	defer loop.metrics.lock.Unlock()
	copied := map[string]int64{}
	for name, count := range loop.metrics.totals {
		copied[name] = count
	}
	return copied
}

// RegisterAnswer returns a new token for a question and registers onAnswer, which is called once with the answer.
func (loop *Loop) RegisterAnswer(onAnswer func(contract.Response)) int64 {
	loop.lock.Lock()
	defer loop.lock.Unlock()
	loop.lastToken++
	loop.answerHandlers[loop.lastToken] = onAnswer
	return loop.lastToken
}

// Forget drops a token whose answer is no longer awaited.
func (loop *Loop) Forget(token int64) {
	loop.lock.Lock()
	defer loop.lock.Unlock()
	delete(loop.answerHandlers, token)
}

// Answer passes an answer to the handler of its token; an answer that no one awaits is dropped.
func (loop *Loop) Answer(answer contract.Response) {
	loop.lock.Lock()
	onAnswer := loop.answerHandlers[answer.Token]
	delete(loop.answerHandlers, answer.Token)
	loop.lock.Unlock()
	if onAnswer != nil {
		onAnswer(answer)
	}
}

// Run processes events and ticks until stop is closed.
func (loop *Loop) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(loop.tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			loop.handle(contract.Tick{})
		case event := <-loop.events:
			loop.handle(event)
		}
	}
}

func (loop *Loop) handle(event contract.Event) {
	for _, command := range loop.stateMachine.Handle(loop.Now(), event) {
		loop.Execute(command)
	}
}

// Execute executes one command; it panics if no one knows the command.
func (loop *Loop) Execute(command contract.Command) {
	switch command := command.(type) {
	case contract.Send:
		loop.sender.Send(command)
	case contract.AddCounter:
		loop.Count(command.Name, command.Delta)
	case contract.SetGauge:
		loop.metrics.setGauge(command.Name, command.Value)
	case contract.ObserveDuration:
		loop.metrics.observeDuration(command.Name, command.Class, command.Duration)
	case contract.Log:
		_ = loop.logger.Log(append([]any{"what", command.Message}, loggableAttributes(command.Attributes)...)...)
	case contract.Response:
		loop.Answer(command)
	default:
		if !loop.execute(command) {
			panic("a command that nobody carries out")
		}
	}
}
