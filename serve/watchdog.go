package serve

import (
	"context"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/upstream"
)

// watchdog interrupts an attempt when its deadline passes, its caller leaves, or the server is silent for timeout and the state machine
// gives it up. command is what the state machine decided in that case.
type watchdog struct {
	call         *proxyCall
	conn         *upstream.Conn
	dispatch     gateway.Dispatch
	lock         sync.Mutex
	timer        *time.Timer
	lastActivity time.Time
	timeout      time.Duration
	command      contract.Command
	finished     bool
	detach       func() bool
}

func newWatchdog(call *proxyCall, conn *upstream.Conn, dispatch gateway.Dispatch, deadline time.Time) *watchdog {
	created := &watchdog{call: call, conn: conn, dispatch: dispatch, lastActivity: time.Now(), timeout: dispatch.SilenceTimeout}
	_ = conn.SetDeadline(deadline)
	created.lock.Lock()
	created.timer = time.AfterFunc(dispatch.SilenceTimeout, created.expire)
	created.lock.Unlock()
	created.detach = context.AfterFunc(call.request.Context(), created.interrupt)
	return created
}

// interrupt makes pending reads and writes of the connection fail.
func (watchdog *watchdog) interrupt() { _ = watchdog.conn.SetDeadline(time.Now().Add(-time.Second)) }

// noteActivity restarts the silence timeout.
func (watchdog *watchdog) noteActivity() {
	watchdog.lock.Lock()
	watchdog.lastActivity = time.Now()
	watchdog.lock.Unlock()
}

// expire runs when the timer fires. If the server was silent all the time, the state machine says whether to wait longer.
func (watchdog *watchdog) expire() {
	watchdog.lock.Lock()
	defer watchdog.lock.Unlock()
	if watchdog.finished {
		return
	}
	if remaining := watchdog.timeout - time.Since(watchdog.lastActivity); remaining > 0 {
		watchdog.timer.Reset(remaining)
		return
	}
	command := watchdog.call.process.nextCommand(gateway.ServerSilent{Token: watchdog.dispatch.Token, Attempt: watchdog.dispatch.Attempt})
	if wait, ok := command.(gateway.Wait); ok {
		if watchdog.timeout = wait.SilenceTimeout; wait.SilenceTimeout > 0 {
			watchdog.lastActivity = time.Now()
			watchdog.timer.Reset(wait.SilenceTimeout)
		}
		return
	}
	watchdog.command, watchdog.finished = command, true
	watchdog.interrupt()
}

// nextCommand ends the watch and returns the command that the state machine gave instead of more waiting, if it did.
func (watchdog *watchdog) nextCommand() contract.Command {
	watchdog.lock.Lock()
	defer watchdog.lock.Unlock()
	watchdog.finished = true
	return watchdog.command
}

func (watchdog *watchdog) stop() {
	watchdog.detach()
	watchdog.lock.Lock()
	watchdog.finished = true
	watchdog.lock.Unlock()
	watchdog.timer.Stop()
}
