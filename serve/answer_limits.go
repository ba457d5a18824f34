package serve

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/answers"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/link"
)

// answerLimiter runs the limits of the answers that a process reads: it tells the state machine what servers send, and ends what that ends.
type answerLimiter struct {
	lock    sync.Mutex
	state   *answers.State
	running map[answers.ID]*serverAnswer
	last    answers.ID
	loop    *link.Loop
}

func newAnswerLimiter(budget answers.Budget, loop *link.Loop) *answerLimiter {
	return &answerLimiter{state: answers.New(budget), running: map[answers.ID]*serverAnswer{}, loop: loop}
}

// begin registers an answer of a server that is about to be read. interrupt makes a pending read of it fail, paced is called when it is paused for
// the first time.
func (limiter *answerLimiter) begin(ctx context.Context, server string, interrupt, paced func()) *serverAnswer {
	limiter.lock.Lock()
	limiter.last++
	answer := &serverAnswer{limiter: limiter, id: limiter.last, ctx: ctx, interrupt: interrupt, paced: sync.OnceFunc(paced)}
	limiter.running[answer.id] = answer
	limiter.lock.Unlock()
	limiter.handle(answers.Began{Answer: answer.id, Server: server})
	return answer
}

// handle passes an event to the state machine and carries out its commands. It returns how long the answer of the event has to pause.
func (limiter *answerLimiter) handle(event contract.Event) time.Duration {
	limiter.lock.Lock()
	commands := limiter.state.Handle(limiter.loop.Now(), event)
	ended, pause := []*serverAnswer{}, time.Duration(0)
	for _, command := range commands {
		switch command := command.(type) {
		case answers.End:
			if answer := limiter.running[command.Answer]; answer != nil && answer.endedBy.CompareAndSwap(nil, &answers.Error{Reason: command.Reason}) {
				ended = append(ended, answer)
			}
		case answers.Pause:
			pause = command.Duration
		}
	}
	limiter.lock.Unlock()
	for _, answer := range ended {
		answer.interrupt()
	}
	for _, command := range commands {
		switch command.(type) {
		case answers.End, answers.Pause:
		default:
			limiter.loop.Execute(command)
		}
	}
	return pause
}

// serverAnswer is an answer that is read. It is the meter of its connection.
type serverAnswer struct {
	limiter   *answerLimiter
	id        answers.ID
	ctx       context.Context
	interrupt func()
	paced     func()
	endedBy   atomic.Pointer[answers.Error]
	head      headScanner
	held      int64
}

// Received tells the limits what arrived, waits as they want it, and returns an error if the answer met a bound.
func (answer *serverAnswer) Received(content []byte) error {
	headBytes, headLines := answer.head.scan(content)
	body := content[headBytes:]
	pause := answer.limiter.handle(answers.Received{Answer: answer.id, HeadBytes: headBytes, HeadLines: headLines, Bytes: int64(len(body)), Lines: int64(bytes.Count(body, lineEnd))})
	if err := answer.err(); err != nil || pause == 0 {
		return err
	}
	answer.paced()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return answer.err()
	case <-answer.ctx.Done():
		return answer.ctx.Err()
	}
}

// holdStep is the size in bytes in which the limits are told what is held of a body.
const holdStep = 8 << 10

// hold tells the limits how many bytes of the body are held, and returns an error if the answer met a bound.
func (answer *serverAnswer) hold(size int64) error {
	if size = (size + holdStep - 1) / holdStep * holdStep; size != answer.held {
		answer.held = size
		answer.limiter.handle(answers.Held{Answer: answer.id, Bytes: size})
	}
	return answer.err()
}

// exceeded ends the answer for a bound that this process found it to be over, and returns the error.
func (answer *serverAnswer) exceeded(reason answers.Reason) error {
	answer.limiter.handle(answers.Exceeded{Answer: answer.id, Reason: reason})
	return answer.err()
}

// end says that the answer is read no more.
func (answer *serverAnswer) end() {
	answer.limiter.handle(answers.Ended{Answer: answer.id})
	answer.limiter.lock.Lock()
	delete(answer.limiter.running, answer.id)
	answer.limiter.lock.Unlock()
}

// metBound returns the bound that the answer met, or nil.
func (answer *serverAnswer) metBound() *answers.Error { return answer.endedBy.Load() }

// boundText tells of the bound that the answer met, empty without one.
func (answer *serverAnswer) boundText() string {
	if bound := answer.metBound(); bound != nil {
		return bound.Error()
	}
	return ""
}

// err returns the bound that the answer met as an error, or nil.
func (answer *serverAnswer) err() error {
	if bound := answer.metBound(); bound != nil {
		return *bound
	}
	return nil
}
