package serve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/upstream"
)

// proxyCall is an opaque call that a gateway proxies to one server after the other until one answers. started is set once a part of a
// streamed answer went to the caller; lastEventID is the ID of the last event that the caller has. The reply fields hold a complete answer.
type proxyCall struct {
	process       *gatewayProcess
	writer        http.ResponseWriter
	request       *http.Request
	body          callBody
	attemptID     string
	lastEventID   string
	answerStarted bool
	description   *runningCall
	replyStatus   int
	replyHeader   http.Header
	replyBody     []byte
}

// sendAttempt sends the call to one server and returns the state machine's next command for the call.
func (call *proxyCall) sendAttempt(dispatch gateway.Dispatch) contract.Command {
	ctx, process := call.request.Context(), call.process
	ended := gateway.DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt}
	var watchdog *watchdog
	finish := func(outcome gateway.Outcome, reason string) contract.Command {
		if command := watchdog.nextCommand(); command != nil {
			return command
		}
		ended.Outcome, ended.AnswerStarted, ended.Reason = outcome, call.answerStarted, reason
		if ctx.Err() != nil && outcome != gateway.OutcomeComplete {
			ended.Outcome = gateway.OutcomeCallerLeft
			call.logCallerLeft()
		}
		return process.nextCommand(ended)
	}
	process.running.update(func() { call.description.server = dispatch.Server.Name })
	deadline := time.Now().Add(dispatch.Timeout)
	conn, err := process.dial(ctx, dispatch)
	if err != nil {
		return finish(gateway.OutcomeNotSent, "no connection")
	}
	watchdog = newWatchdog(call, conn, dispatch, deadline)
	defer watchdog.stop()
	lost := func(err error, reason string) contract.Command {
		_ = conn.Close()
		if !time.Now().Before(deadline) {
			return finish(gateway.OutcomeDeadlineExceeded, reason)
		}
		return finish(gateway.OutcomeBroken, reason+": "+err.Error())
	}
	written, err := call.writeRequest(conn, dispatch)
	if err != nil && written == 0 {
		_ = conn.Close()
		return finish(gateway.OutcomeNotSent, "nothing could be written")
	}
	if err != nil {
		return lost(err, "not written")
	}
	response, err := http.ReadResponse(conn.Reader, call.request)
	if err != nil {
		return lost(err, "no answer")
	}
	head := process.adapter.ReadServerHeaders(response)
	ended.Load = head.Load
	if head.AttemptID != "" && head.AttemptID != call.attemptID {
		return lost(errors.New("another identity"), "the answer is another call's")
	}
	watchdog.noteActivity()
	if head.AddressReused || head.NotRun {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
		call.returnConn(conn, response, err, dispatch)
		if head.AddressReused {
			return finish(gateway.OutcomeWrongServer, "another server has the address")
		}
		return finish(gateway.OutcomeNotRun, "the server did not run it")
	}
	if response.StatusCode < 200 {
		return lost(errors.New(response.Status), "not a final answer")
	}
	success := response.StatusCode/100 == 2
	if success && (!head.FromServer || head.AttemptID == "") {
		return lost(errors.New("no mark"), "not a server's answer")
	}
	if success && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return lost(errors.New("no length"), "nothing tells where the answer ends")
	}
	process.handle(gateway.HeadReceived{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: head.Load})
	ended.ServerError = response.StatusCode >= 500
	if success && dispatch.Stream {
		err = call.relayEvents(response, dispatch, watchdog)
	} else if call.answerStarted {
		return lost(errors.New(response.Status), "no going on")
	} else {
		call.replyBody, err = io.ReadAll(http.MaxBytesReader(nil, response.Body, maxReplyBytes))
		call.replyStatus, call.replyHeader = response.StatusCode, response.Header
	}
	if err != nil {
		return lost(err, "the answer broke off")
	}
	call.returnConn(conn, response, nil, dispatch)
	return finish(gateway.OutcomeComplete, "")
}

// returnConn gives a connection back to the pool, or closes it if it can't be used again.
func (call *proxyCall) returnConn(conn *upstream.Conn, response *http.Response, err error, dispatch gateway.Dispatch) {
	if err != nil || response.Close {
		_ = conn.Close()
		return
	}
	call.process.pool.Put(dispatch.Server.Address, conn, keepAliveTimeout(response.Header))
}

// keepAliveTimeout returns how long the server announced that it keeps an idle connection open, or 0.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		if name, value, found := strings.Cut(strings.TrimSpace(part), "="); found && strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEndHeaders returns a copy without hop-by-hop headers and without those that the Connection header names.
func endToEndHeaders(header http.Header) http.Header {
	filtered := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			filtered.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		filtered.Del(name)
	}
	return filtered
}

// writeRequest sends the call to a server and returns the number of bytes that were written.
func (call *proxyCall) writeRequest(conn *upstream.Conn, dispatch gateway.Dispatch) (int, error) {
	written, err := conn.Write(call.requestBytes(dispatch))
	for _, part := range call.body.rest() {
		if err != nil {
			break
		}
		_, err = conn.Write(part)
	}
	return written, err
}

// requestBytes returns the call as it is sent to a server, with method, path and the first part of the body as they came from the caller.
func (call *proxyCall) requestBytes(dispatch gateway.Dispatch) []byte {
	header := endToEndHeaders(call.request.Header)
	header.Del("Content-Length")
	header.Del("Expect")
	call.process.adapter.SetServerHeaders(header, dispatch, call.lastEventID)
	buffer := bytes.NewBuffer(make([]byte, 0, len(call.body.first())+1024))
	buffer.WriteString(call.request.Method + " " + call.request.RequestURI + " HTTP/1.1\r\nHost: " + call.request.Host + "\r\n")
	_ = header.Write(buffer)
	if call.body.size > 0 || call.request.ContentLength != 0 || call.request.Method == http.MethodPost || call.request.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.FormatInt(call.body.size, 10) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(call.body.first())
	return buffer.Bytes()
}

// setReplyHeader copies a server's headers to the caller's answer. A negative length means that the body is streamed.
func (call *proxyCall) setReplyHeader(from http.Header, length int) {
	header := call.writer.Header()
	for name, values := range endToEndHeaders(from) {
		header[name] = values
	}
	if _, exists := from["Content-Type"]; !exists {
		header["Content-Type"] = nil
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	call.process.markClosing(header)
}

// sendReply ends the call with the server's complete answer; a streamed one has been sent already.
func (call *proxyCall) sendReply() {
	if call.answerStarted {
		return
	}
	call.setReplyHeader(call.replyHeader, len(call.replyBody))
	call.writer.WriteHeader(call.replyStatus)
	_, _ = call.writer.Write(call.replyBody)
}

// fail ends a call that may have run with an error. If its answer has started, the connection is aborted, so that it can't look complete.
func (call *proxyCall) fail(fail gateway.Fail) {
	call.process.Loop.Count("failed", 1)
	if call.answerStarted || call.request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	call.process.markClosing(call.writer.Header())
	call.writer.WriteHeader(fail.Status)
}

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
	if watchdog == nil {
		return nil
	}
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
