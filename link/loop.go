// Package link carries messages between processes and runs an owner in a process: one goroutine a duty, joined by bounded rings.
package link

import (
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/go-kit/log"
)

const ringSize = 4096

type Loop struct {
	owner    contract.StateMachine
	act      func(contract.Command) bool
	events   chan contract.Event
	began    time.Time
	period   time.Duration
	logger   log.Logger
	lock     sync.Mutex
	measures *measures
	token    int64
	waiting  map[int64]func(contract.Response)
	sender   *Sender
}

// NewLoop runs an owner; act carries out the commands that are not messages, counts, lines or answers.
func NewLoop(owner contract.StateMachine, period time.Duration, sender *Sender, logger log.Logger) *Loop {
	return &Loop{owner: owner, events: make(chan contract.Event, ringSize), began: time.Now(), period: period,
		logger: logger, measures: newMeasures(), waiting: map[int64]func(contract.Response){}, sender: sender}
}

func (loop *Loop) Act(act func(contract.Command) bool) { loop.act = act }

func (loop *Loop) Now() time.Duration { return time.Since(loop.began) }

// Post waits for room in the ring; Try does not.
func (loop *Loop) Post(event contract.Event) { loop.events <- event }

func (loop *Loop) Try(event contract.Event) bool {
	select {
	case loop.events <- event:
		return true
	default:
		loop.Count("ring_full", 1)
		return false
	}
}

func (loop *Loop) Count(name string, by int64) {
	loop.measures.count(name, by)
}

func (loop *Loop) Counts() map[string]int64 {
	loop.measures.lock.Lock()
	defer loop.measures.lock.Unlock()
	copied := map[string]int64{}
	for name, count := range loop.measures.told {
		copied[name] = count
	}
	return copied
}

// Token makes a number for a question and remembers who takes its answer.
func (loop *Loop) Token(take func(contract.Response)) int64 {
	loop.lock.Lock()
	defer loop.lock.Unlock()
	loop.token++
	loop.waiting[loop.token] = take
	return loop.token
}

func (loop *Loop) Forget(token int64) {
	loop.lock.Lock()
	defer loop.lock.Unlock()
	delete(loop.waiting, token)
}

func (loop *Loop) Answer(answer contract.Response) {
	loop.lock.Lock()
	take := loop.waiting[answer.Token]
	delete(loop.waiting, answer.Token)
	loop.lock.Unlock()
	if take != nil {
		take(answer)
	}
}

func (loop *Loop) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(loop.period)
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
	for _, command := range loop.owner.Handle(loop.Now(), event) {
		loop.Do(command)
	}
}

func (loop *Loop) Do(command contract.Command) {
	switch command := command.(type) {
	case contract.Send:
		loop.sender.Send(command)
	case contract.AddCounter:
		loop.Count(command.Name, command.Delta)
	case contract.SetGauge:
		loop.measures.gauge(command.Name, command.Value)
	case contract.ObserveDuration:
		loop.measures.span(command.Name, command.Class, command.Duration)
	case contract.Log:
		_ = loop.logger.Log(append([]any{"what", command.Message}, command.Attributes...)...)
	case contract.Response:
		loop.Answer(command)
	default:
		if !loop.act(command) {
			panic("a command that nobody carries out")
		}
	}
}
