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

// exchange carries one call to servers, one after the other, and the answer back.
type exchange struct {
	shell    *gatewayShell
	writer   http.ResponseWriter
	request  *http.Request
	body     []byte
	identity string
	after    string
	begun    bool
	status   int
	header   http.Header
	reply    []byte
}

// run sends the call to one server and gives what comes next, as the owner of the calls decides.
func (one *exchange) run(dispatch gateway.Dispatch) contract.Command {
	ctx, shell := one.request.Context(), one.shell
	ended := gateway.DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt}
	var watch *watch
	end := func(outcome gateway.Outcome, reason string) contract.Command {
		if command := watch.decided(); command != nil {
			return command
		}
		ended.Outcome, ended.AnswerStarted, ended.Reason = outcome, one.begun, reason
		if ctx.Err() != nil && outcome != gateway.OutcomeComplete {
			ended.Outcome = gateway.OutcomeCallerLeft
		}
		return shell.decide(ended)
	}
	limit := time.Now().Add(dispatch.Timeout)
	conn, failure := shell.dial(ctx, dispatch)
	if failure != nil {
		return end(gateway.OutcomeNotSent, "no connection")
	}
	watch = newWatch(one, conn, dispatch, limit)
	defer watch.stop()
	lost := func(failure error, reason string) contract.Command {
		_ = conn.Close()
		if !time.Now().Before(limit) {
			return end(gateway.OutcomeDeadlineExceeded, reason)
		}
		return end(gateway.OutcomeBroken, reason+": "+failure.Error())
	}
	written, failure := conn.Write(one.message(dispatch))
	if failure != nil && written == 0 {
		_ = conn.Close()
		return end(gateway.OutcomeNotSent, "nothing could be written")
	}
	if failure != nil {
		return lost(failure, "not written")
	}
	response, failure := http.ReadResponse(conn.Reader, one.request)
	if failure != nil {
		return lost(failure, "no answer")
	}
	head := shell.face.Head(response)
	ended.Load = head.Load
	if head.Identity != "" && head.Identity != one.identity {
		return lost(errors.New("another identity"), "the answer is another call's")
	}
	watch.touch()
	if head.Moved || head.NotRun {
		_, failure = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
		one.keep(conn, response, failure, dispatch)
		if head.Moved {
			return end(gateway.OutcomeWrongServer, "another server has the address")
		}
		return end(gateway.OutcomeNotRun, "the server did not run it")
	}
	if response.StatusCode < 200 {
		return lost(errors.New(response.Status), "not a final answer")
	}
	fine := response.StatusCode/100 == 2
	if fine && (!head.Sealed || head.Identity == "") {
		return lost(errors.New("no mark"), "not a server's answer")
	}
	if fine && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return lost(errors.New("no length"), "nothing tells where the answer ends")
	}
	shell.handle(gateway.HeadReceived{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: head.Load})
	ended.ServerError = response.StatusCode >= 500
	if fine && dispatch.Stream {
		failure = one.relay(response, dispatch, watch)
	} else if one.begun {
		return lost(errors.New(response.Status), "no going on")
	} else {
		one.reply, failure = io.ReadAll(http.MaxBytesReader(nil, response.Body, mostReplyBytes))
		one.status, one.header = response.StatusCode, response.Header
	}
	if failure != nil {
		return lost(failure, "the answer broke off")
	}
	one.keep(conn, response, nil, dispatch)
	return end(gateway.OutcomeComplete, "")
}

func (one *exchange) keep(conn *upstream.Conn, response *http.Response, failure error, dispatch gateway.Dispatch) {
	if failure != nil || response.Close {
		_ = conn.Close()
		return
	}
	one.shell.pool.Keep(dispatch.Server.Address, conn, keepAlive(response.Header))
}

func keepAlive(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		if name, value, found := strings.Cut(strings.TrimSpace(part), "="); found && strings.EqualFold(name, "timeout") {
			if seconds, failure := strconv.Atoi(strings.TrimSpace(value)); failure == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// message is the call as it goes to a server: method, path and body as they came.
func (one *exchange) message(dispatch gateway.Dispatch) []byte {
	header := endToEnd(one.request.Header)
	header.Del("Content-Length")
	header.Del("Expect")
	one.shell.face.Send(header, dispatch, one.after)
	buffer := bytes.NewBuffer(make([]byte, 0, len(one.body)+1024))
	buffer.WriteString(one.request.Method + " " + one.request.RequestURI + " HTTP/1.1\r\nHost: " + one.request.Host + "\r\n")
	_ = header.Write(buffer)
	if len(one.body) > 0 || one.request.ContentLength != 0 || one.request.Method == http.MethodPost || one.request.Method == http.MethodPut {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(one.body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(one.body)
	return buffer.Bytes()
}

func (one *exchange) answerHeader(from http.Header, length int) {
	header := one.writer.Header()
	for name, values := range endToEnd(from) {
		header[name] = values
	}
	if _, there := from["Content-Type"]; !there {
		header["Content-Type"] = nil
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// pass ends the call with the server's answer: a stream has gone already.
func (one *exchange) pass() {
	if one.begun {
		return
	}
	one.answerHeader(one.header, len(one.reply))
	one.writer.WriteHeader(one.status)
	_, _ = one.writer.Write(one.reply)
}

// fail ends a call that may have run: one that began must not look complete.
func (one *exchange) fail(fail gateway.Fail) {
	one.shell.Loop.Count("failed", 1)
	if one.begun || one.request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	one.writer.WriteHeader(fail.Status)
}

// watch ends an exchange when its time is over, its caller leaves, or the owner of the calls gives the server up for its silence.
type watch struct {
	one      *exchange
	conn     *upstream.Conn
	dispatch gateway.Dispatch
	lock     sync.Mutex
	timer    *time.Timer
	touched  time.Time
	patience time.Duration
	command  contract.Command
	over     bool
	unhook   func() bool
}

func newWatch(one *exchange, conn *upstream.Conn, dispatch gateway.Dispatch, limit time.Time) *watch {
	made := &watch{one: one, conn: conn, dispatch: dispatch, touched: time.Now(), patience: dispatch.SilenceTimeout}
	_ = conn.SetDeadline(limit)
	made.lock.Lock()
	made.timer = time.AfterFunc(dispatch.SilenceTimeout, made.fire)
	made.lock.Unlock()
	made.unhook = context.AfterFunc(one.request.Context(), made.cut)
	return made
}

func (watch *watch) cut() { _ = watch.conn.SetDeadline(time.Now().Add(-time.Second)) }

func (watch *watch) touch() {
	watch.lock.Lock()
	watch.touched = time.Now()
	watch.lock.Unlock()
}

func (watch *watch) fire() {
	watch.lock.Lock()
	defer watch.lock.Unlock()
	if watch.over {
		return
	}
	if rest := watch.patience - time.Since(watch.touched); rest > 0 {
		watch.timer.Reset(rest)
		return
	}
	command := watch.one.shell.decide(gateway.ServerSilent{Token: watch.dispatch.Token, Attempt: watch.dispatch.Attempt})
	if wait, fine := command.(gateway.Wait); fine {
		if watch.patience = wait.SilenceTimeout; wait.SilenceTimeout > 0 {
			watch.touched = time.Now()
			watch.timer.Reset(wait.SilenceTimeout)
		}
		return
	}
	watch.command, watch.over = command, true
	watch.cut()
}

// decided gives what the owner of the calls wanted instead of more waiting.
func (watch *watch) decided() contract.Command {
	if watch == nil {
		return nil
	}
	watch.lock.Lock()
	defer watch.lock.Unlock()
	watch.over = true
	return watch.command
}

func (watch *watch) stop() {
	watch.unhook()
	watch.lock.Lock()
	watch.over = true
	watch.lock.Unlock()
	watch.timer.Stop()
}
