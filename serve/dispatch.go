package serve

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/stream"
	"github.com/rotisserie/eris"
)

// deadlineIn returns the wall-clock time a duration from now, for deadlines of connections.
func deadlineIn(duration time.Duration) time.Time { return time.Now().Add(duration) }

// leaseGuardKey is the context key of an attempt's guard.
type leaseGuardKey struct{}

// leaseGuard allows an attempt to send its first byte only until sendBefore, when the lease expires, and notes whether a byte may have left. answer
// is what the server answers on the connection.
type leaseGuard struct {
	process    *dataProcess
	sendBefore time.Duration
	sent       atomic.Bool
	answer     *serverAnswer
}

func (guard *leaseGuard) expired() bool { return guard.process.Loop.Now() >= guard.sendBefore }

// leasedConn is a connection whose first write fails once its guard has expired.
type leasedConn struct {
	net.Conn
	*leaseGuard
}

func (conn leasedConn) Write(content []byte) (int, error) {
	if !conn.sent.Load() && conn.expired() {
		return 0, eris.New("the lease lapsed before a byte was sent")
	}
	conn.sent.Store(true)
	return conn.Conn.Write(content)
}

// Read reads bytes of the answer and tells its limits.
func (conn leasedConn) Read(content []byte) (int, error) {
	count, err := conn.Conn.Read(content)
	if count == 0 {
		return count, err
	}
	if boundErr := conn.answer.Received(content[:count]); boundErr != nil {
		return 0, boundErr
	}
	return count, err
}

// transport returns an HTTP transport that dials a new connection for each call, with a short timeout, and closes one that was
// established after the lease expired. A process that was paused between the choice of a server and the first byte thus sends nothing
// when it resumes.
func (process *dataProcess) transport() *http.Transport {
	dialer := net.Dialer{Timeout: process.Settings.Bounds.Round()}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		guard, exists := ctx.Value(leaseGuardKey{}).(*leaseGuard)
		if !exists {
			return conn, nil
		}
		if guard.expired() {
			_ = conn.Close()
			return nil, eris.New("the lease lapsed before the link was made")
		}
		return leasedConn{conn, guard}, nil
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: link.MaxAnswerHeadBytes}
}

// dispatch runs one attempt in its own goroutine. It ends with exactly one data.AttemptEnded event.
func (process *dataProcess) dispatch(command data.Dispatch) {
	session := process.session(command.Token)
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	key := attemptKey{command.Token, command.Attempt}
	process.registerCancel(key, cancel)
	go func() {
		defer process.cancel(key)
		ended := data.AttemptEnded{Token: command.Token, Attempt: command.Attempt, Result: call.CallerLeft}
		if session != nil {
			ended = process.runAttempt(ctx, session, command)
		}
		process.Loop.Post(ended)
	}()
}

// runAttempt sends the call to the server and reads the reply.
func (process *dataProcess) runAttempt(ctx context.Context, session *session, command data.Dispatch) (ended data.AttemptEnded) {
	ended = data.AttemptEnded{Token: command.Token, Attempt: command.Attempt, Result: call.NotSent}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := process.answers.begin(ctx, command.Server.Name, cancel, func() {})
	defer answer.end()
	guard := &leaseGuard{process: process, sendBefore: command.SendBefore, answer: answer}
	request, err := session.request(context.WithValue(ctx, leaseGuardKey{}, guard), command)
	if err != nil {
		ended.Error = err.Error()
		return ended
	}
	defer func() { ended.Error = cmp.Or(answer.boundText(), ended.Error) }()
	response, err := process.client.Do(request)
	if err != nil {
		ended.Error = err.Error()
		if guard.sent.Load() {
			ended.Result = call.NoReply
		}
		return ended
	}
	defer response.Body.Close()
	ended.Result = call.NoReply
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Cedar-Not-Run") == command.AttemptID:
		ended.Result, ended.Error = call.Refused, "the server refused the call"
	case response.StatusCode != http.StatusOK:
		ended.Error = "the server answered " + response.Status
	case session.callRequest.stream:
		process.relayStream(ctx, session, response, answer, command, &ended)
	default:
		process.readReply(session, response, answer, command, &ended)
	}
	return ended
}

// request builds the request to the server. net/http must never replay it, so its body has no GetBody. The caller's idempotency key is
// not passed on.
func (session *session) request(ctx context.Context, command data.Dispatch) (*http.Request, error) {
	address := "http://" + command.Server.Address + session.callRequest.path
	method, body := http.MethodGet, io.Reader(nil)
	if !session.callRequest.call.IsLookup {
		method, body = http.MethodPost, io.NopCloser(bytes.NewReader(session.callRequest.body))
	}
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, eris.Wrap(err, "no request for the server")
	}
	if !session.callRequest.call.IsLookup {
		request.ContentLength = int64(len(session.callRequest.body))
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("Cedar-Call", command.AttemptID)
	request.Header.Set("Cedar-Incarnation", command.Server.Incarnation)
	request.Header.Set("Cedar-Prefix", session.callRequest.call.Prefix)
	return request, nil
}

// relayStream passes a streamed reply to the caller, chunk by chunk, and sets the attempt's result.
func (process *dataProcess) relayStream(ctx context.Context, session *session, response *http.Response, answer *serverAnswer, command data.Dispatch, ended *data.AttemptEnded) {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		ended.Error = "the server did not stream"
		return
	}
	parser := stream.NewParser(command.AttemptID, process.Settings.Bounds.ReplyBytes)
	buffer, held := make([]byte, 16<<10), int64(0)
	for !parser.Finished() && parser.Err() == nil {
		count, err := response.Body.Read(buffer)
		for _, piece := range parser.Feed(buffer[:count]) {
			if len(ended.Chunks) == 0 {
				process.Loop.Post(data.FirstChunk{Token: command.Token, Attempt: command.Attempt})
			}
			ended.Chunks = append(ended.Chunks, piece)
			held += int64(len(piece))
			if !session.pending.put(replyItem{chunk: piece}) {
				ended.Error = "the caller reads too slowly, and too much waits for callers"
				process.Loop.Count("readers_cut", 1)
			}
		}
		if err == nil {
			err = answer.hold(held + int64(parser.Unread()))
		}
		select {
		case <-ctx.Done():
			ended.Error = "cut at its deadline"
		case <-session.callerGone:
			ended.Result = call.CallerLeft
			return
		default:
		}
		if err != nil && !parser.Finished() {
			if !errors.Is(err, io.EOF) {
				ended.Error = err.Error()
			} else {
				ended.Error = "the stream ended before its finish"
			}
			break
		}
		if ended.Error != "" {
			break
		}
	}
	if parser.Finished() && ended.Error == "" {
		ended.Result = call.CompleteReply
		return
	}
	if parser.Err() != nil {
		ended.Error = parser.Err().Error()
	}
	if len(ended.Chunks) > 0 {
		ended.Result = call.BrokenReply
		session.pending.put(replyItem{errorText: ended.Error})
	}
}

// readReply reads a reply that is not streamed and sets the attempt's result.
func (process *dataProcess) readReply(session *session, response *http.Response, answer *serverAnswer, command data.Dispatch, ended *data.AttemptEnded) {
	body, err := readReply(response, answer, process.Settings.Bounds.ReplyBytes)
	content := bytes.Join(body.parts, nil)
	body.release()
	if err == nil && session.callRequest.call.IsLookup {
		err = checkLookupReply(content, command.AttemptID, session.callRequest.call.Key)
		ended.Chunks = []string{string(content)}
	} else if err == nil {
		ended.Chunks, err = stream.CompleteReply(content, command.AttemptID)
	}
	if err != nil {
		ended.Chunks, ended.Error = nil, err.Error()
		return
	}
	ended.Result = call.CompleteReply
}

// checkLookupReply returns an error unless the content is the complete reply to this lookup attempt.
func checkLookupReply(content []byte, identity, key string) error {
	var reply struct {
		ID    string           `json:"id"`
		Key   string           `json:"key"`
		Value *json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(content, &reply); err != nil {
		return eris.Wrap(err, "reply is not JSON")
	}
	if reply.ID != identity || reply.Key != key || reply.Value == nil {
		return eris.New("reply is of another lookup")
	}
	return nil
}

// recall asks a server to give back a call that it has not started. Anything but an explicit confirmation counts as a no.
func (process *dataProcess) recall(command data.RecallAttempt) {
	recalled := data.RecallAnswered{Token: command.Token, Attempt: command.Attempt}
	address := "http://" + command.Server.Address + "/calls/" + command.AttemptID + "/recall"
	response, err := process.recallClient.Post(address, "application/json", nil)
	if err == nil {
		var answer struct {
			Call         string `json:"call"`
			NeverStarted bool   `json:"neverStarted"`
		}
		err = json.NewDecoder(io.LimitReader(response.Body, 4096)).Decode(&answer)
		_ = response.Body.Close()
		recalled.Confirmed = err == nil && response.StatusCode == http.StatusOK && answer.Call == command.AttemptID && answer.NeverStarted
	}
	process.Loop.Post(recalled)
}
