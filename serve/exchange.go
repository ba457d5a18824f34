package serve

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
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
	body          bodyParts
	attemptID     string
	lastEventID   string
	answerStarted bool
	description   *runningCall
	replyStatus   int
	replyHeader   http.Header
	replyBody     bodyParts
}

// sendAttempt sends the call to one server and returns the state machine's next command for the call.
func (call *proxyCall) sendAttempt(dispatch gateway.Dispatch) contract.Command {
	process := call.process
	process.running.update(func() { call.description.server = dispatch.Server.Name })
	deadline := time.Now().Add(dispatch.Timeout)
	conn, err := process.dial(call.request.Context(), dispatch)
	if err != nil {
		return call.finishAttempt(gateway.DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt, Outcome: gateway.OutcomeNotSent, Reason: "no connection"})
	}
	watchdog := newWatchdog(call, conn, dispatch, deadline)
	defer watchdog.stop()
	paced := func() { process.handle(gateway.AnswerPaced{Token: dispatch.Token, Attempt: dispatch.Attempt}) }
	answer := process.answers.begin(call.request.Context(), dispatch.Server.Name, watchdog.interrupt, paced)
	defer answer.end()
	conn.Meter = answer
	exchange := &exchange{call: call, conn: conn, dispatch: dispatch, deadline: deadline, watchdog: watchdog, answer: answer,
		ended: gateway.DispatchEnded{Token: dispatch.Token, Attempt: dispatch.Attempt}}
	exchange.run()
	if command := watchdog.nextCommand(); command != nil {
		return command
	}
	return call.finishAttempt(exchange.ended)
}

// finishAttempt tells the state machine how an attempt ended and returns its next command.
func (call *proxyCall) finishAttempt(ended gateway.DispatchEnded) contract.Command {
	ended.AnswerStarted = call.answerStarted
	if call.request.Context().Err() != nil && ended.Outcome != gateway.OutcomeComplete {
		ended.Outcome = gateway.OutcomeCallerLeft
		call.logCallerLeft()
	}
	return call.process.nextCommand(ended)
}

// exchange is one request to a server and its answer. ended is how it ended.
type exchange struct {
	call     *proxyCall
	conn     *upstream.Conn
	dispatch gateway.Dispatch
	deadline time.Time
	watchdog *watchdog
	answer   *serverAnswer
	ended    gateway.DispatchEnded
}

// run sends the request and reads the answer.
func (exchange *exchange) run() {
	written, err := exchange.call.writeRequest(exchange.conn, exchange.dispatch)
	switch {
	case err != nil && written == 0:
		_ = exchange.conn.Close()
		exchange.end(gateway.OutcomeNotSent, "nothing could be written")
	case err != nil:
		exchange.lost(err, "not written")
	default:
		exchange.readAnswer()
	}
}

func (exchange *exchange) end(outcome gateway.Outcome, reason string) {
	exchange.ended.Outcome, exchange.ended.Reason = outcome, reason
}

// lost ends an exchange whose answer is not complete. The call may have run.
func (exchange *exchange) lost(err error, reason string) {
	_ = exchange.conn.Close()
	if bound := exchange.answer.metBound(); bound != nil {
		err, exchange.ended.Misbehaved = bound, bound.Reason.IsMisconduct()
	}
	if !time.Now().Before(exchange.deadline) {
		exchange.end(gateway.OutcomeDeadlineExceeded, reason)
		return
	}
	exchange.end(gateway.OutcomeBroken, reason+": "+err.Error())
}

// readAnswer reads the answer, and passes it on if it is a stream.
func (exchange *exchange) readAnswer() {
	call, process, dispatch := exchange.call, exchange.call.process, exchange.dispatch
	response, err := http.ReadResponse(exchange.conn.Reader, call.request)
	if err != nil {
		exchange.lost(err, "no answer")
		return
	}
	head := process.adapter.ReadServerHeaders(response)
	exchange.ended.Load = head.Load
	if head.AttemptID != "" && head.AttemptID != call.attemptID {
		process.noteLateBytes(dispatch.Server)
		exchange.lost(errors.New("another identity"), "the answer is another call's")
		return
	}
	exchange.watchdog.noteActivity()
	if head.AddressReused || head.NotRun {
		exchange.notRun(response, head)
		return
	}
	if err = checkHead(response, head); err != nil {
		exchange.lost(err, "not a server's whole answer")
		return
	}
	process.handle(gateway.HeadReceived{Token: dispatch.Token, Attempt: dispatch.Attempt, Load: head.Load})
	exchange.ended.ServerError = response.StatusCode >= 500
	switch success := response.StatusCode/100 == 2; {
	case success && dispatch.Stream:
		err = call.relayEvents(response, exchange.answer, dispatch, exchange.watchdog)
	case call.answerStarted:
		exchange.lost(errors.New(response.Status), "no going on")
		return
	default:
		call.replyBody.release()
		call.replyStatus, call.replyHeader = response.StatusCode, response.Header
		call.replyBody, err = readReply(response, exchange.answer, maxReplyBytes)
	}
	if err != nil {
		exchange.lost(err, "the answer broke off")
		return
	}
	call.returnConn(exchange.conn, response, dispatch)
	exchange.end(gateway.OutcomeComplete, "")
}

// notRun ends an exchange whose server says that it did not run the call. The connection is used again if the answer is short.
func (exchange *exchange) notRun(response *http.Response, head ServerReply) {
	discarded, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes+1))
	if err != nil || discarded > maxDiscardedBytes {
		_ = exchange.conn.Close()
	} else {
		exchange.call.returnConn(exchange.conn, response, exchange.dispatch)
	}
	if bound := exchange.answer.metBound(); bound != nil {
		exchange.ended.Misbehaved = bound.Reason.IsMisconduct()
	}
	if head.AddressReused {
		exchange.end(gateway.OutcomeWrongServer, "another server has the address")
		return
	}
	exchange.end(gateway.OutcomeNotRun, "the server did not run it")
}

// checkHead returns an error unless the head is that of a final answer, and of a success of the server itself whose end can be told.
func checkHead(response *http.Response, head ServerReply) error {
	if response.StatusCode < 200 {
		return errors.New("not a final answer: " + response.Status)
	}
	if response.StatusCode/100 != 2 {
		return nil
	}
	if !head.FromServer || head.AttemptID == "" {
		return errors.New("no mark of the server")
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("nothing tells where the answer ends")
	}
	return nil
}

// maxDiscardedBytes bounds the body of an answer that is read only to use its connection again.
const maxDiscardedBytes = 64 << 10

// returnConn gives a connection back to the pool, or closes it if it can't be used again.
func (call *proxyCall) returnConn(conn *upstream.Conn, response *http.Response, dispatch gateway.Dispatch) {
	if response.Close {
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
	call.setReplyHeader(call.replyHeader, int(call.replyBody.size))
	call.writer.WriteHeader(call.replyStatus)
	for _, part := range call.replyBody.parts {
		if _, err := call.writer.Write(part); err != nil {
			return
		}
	}
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
