package serve

import (
	"bytes"
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
	"github.com/cedarreel/cedarreel/stream"
	"github.com/rotisserie/eris"
)

func nowPlus(span time.Duration) time.Time { return time.Now().Add(span) }

type sendingKey struct{}

// sending is one attempt's lease to send, and whether a byte of it may have left.
type sending struct {
	shell *dataShell
	until time.Duration
	sent  atomic.Bool
}

func (sending *sending) lapsed() bool { return sending.shell.Loop.Now() >= sending.until }

// leasedLink is a link whose first byte leaves only under the lease.
type leasedLink struct {
	net.Conn
	*sending
}

func (link leasedLink) Write(content []byte) (int, error) {
	if !link.sent.Load() && link.lapsed() {
		return 0, eris.New("the lease lapsed before a byte was sent")
	}
	link.sent.Store(true)
	return link.Conn.Write(content)
}

// transport makes a new link for each call, gives up soon on one that cannot be made, and closes one that was made too late:
// a process that froze between the pick and the first byte sends nothing when it wakes.
func (shell *dataShell) transport() *http.Transport {
	dialer := net.Dialer{Timeout: shell.Settings.Bounds.Round()}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		made, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		sending, there := ctx.Value(sendingKey{}).(*sending)
		if !there {
			return made, nil
		}
		if sending.lapsed() {
			_ = made.Close()
			return nil, eris.New("the lease lapsed before the link was made")
		}
		return leasedLink{made, sending}, nil
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
}

// dispatch runs one attempt in its own goroutine; it ends with one Ended event.
func (shell *dataShell) dispatch(command data.Dispatch) {
	session := shell.session(command.Token)
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	key := attemptKey{command.Token, command.Attempt}
	shell.keep(key, cancel)
	go func() {
		defer shell.cancel(key)
		ended := data.AttemptEnded{Token: command.Token, Attempt: command.Attempt, Result: call.CallerLeft}
		if session != nil {
			ended = shell.attempt(ctx, session, command)
		}
		shell.Loop.Post(ended)
	}()
}

func (shell *dataShell) attempt(ctx context.Context, session *session, command data.Dispatch) data.AttemptEnded {
	ended := data.AttemptEnded{Token: command.Token, Attempt: command.Attempt, Result: call.NotSent}
	sending := &sending{shell: shell, until: command.SendBefore}
	request, err := session.request(context.WithValue(ctx, sendingKey{}, sending), command)
	if err != nil {
		ended.Error = err.Error()
		return ended
	}
	response, err := shell.client.Do(request)
	if err != nil {
		ended.Error = err.Error()
		if sending.sent.Load() {
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
	case session.caller.stream:
		shell.relay(ctx, session, response, command, &ended)
	default:
		shell.whole(session, response, command, &ended)
	}
	return ended
}

// request is never replayable: no GetBody, a new link for each call, and the caller's key is not passed on.
func (session *session) request(ctx context.Context, command data.Dispatch) (*http.Request, error) {
	address := "http://" + command.Server.Address + session.caller.path
	method, body := http.MethodGet, io.Reader(nil)
	if !session.caller.call.IsLookup {
		method, body = http.MethodPost, io.NopCloser(bytes.NewReader(session.caller.body))
	}
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, eris.Wrap(err, "no request for the server")
	}
	if !session.caller.call.IsLookup {
		request.ContentLength = int64(len(session.caller.body))
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("Cedar-Call", command.AttemptID)
	request.Header.Set("Cedar-Incarnation", command.Server.Incarnation)
	request.Header.Set("Cedar-Prefix", session.caller.call.Prefix)
	return request, nil
}

func (shell *dataShell) relay(ctx context.Context, session *session, response *http.Response, command data.Dispatch, ended *data.AttemptEnded) {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		ended.Error = "the server did not stream"
		return
	}
	relay := stream.NewParser(command.AttemptID, shell.Settings.Bounds.ReplyBytes)
	buffer := make([]byte, 16<<10)
	for !relay.Finished() && relay.Err() == nil {
		count, err := response.Body.Read(buffer)
		for _, piece := range relay.Feed(buffer[:count]) {
			if len(ended.Chunks) == 0 {
				shell.Loop.Post(data.FirstChunk{Token: command.Token, Attempt: command.Attempt})
			}
			ended.Chunks = append(ended.Chunks, piece)
			if !session.box.put(item{piece: piece}) {
				ended.Error = "the caller reads too slowly, and too much waits for callers"
				shell.Loop.Count("readers_cut", 1)
			}
		}
		select {
		case <-ctx.Done():
			ended.Error = "cut at its deadline"
		case <-session.gone:
			ended.Result = call.CallerLeft
			return
		default:
		}
		if err != nil && !relay.Finished() {
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
	if relay.Finished() && ended.Error == "" {
		ended.Result = call.CompleteReply
		return
	}
	if relay.Err() != nil {
		ended.Error = relay.Err().Error()
	}
	if len(ended.Chunks) > 0 {
		ended.Result = call.BrokenReply
		session.box.put(item{broken: ended.Error})
	}
}

func (shell *dataShell) whole(session *session, response *http.Response, command data.Dispatch, ended *data.AttemptEnded) {
	bound := shell.Settings.Bounds.ReplyBytes
	content, err := io.ReadAll(io.LimitReader(response.Body, bound+1))
	if err == nil && int64(len(content)) > bound {
		err = eris.New("the reply is larger than its bound")
	}
	if err == nil && session.caller.call.IsLookup {
		err = wholeLookup(content, command.AttemptID, session.caller.call.Key)
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

func wholeLookup(content []byte, identity, key string) error {
	var read struct {
		ID    string           `json:"id"`
		Key   string           `json:"key"`
		Value *json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(content, &read); err != nil {
		return eris.Wrap(err, "reply is not JSON")
	}
	if read.ID != identity || read.Key != key || read.Value == nil {
		return eris.New("reply is of another lookup")
	}
	return nil
}

// recall asks a server to give back a call that it never started; only its clear yes counts.
func (shell *dataShell) recall(command data.RecallAttempt) {
	recalled := data.RecallAnswered{Token: command.Token, Attempt: command.Attempt}
	address := "http://" + command.Server.Address + "/calls/" + command.AttemptID + "/recall"
	response, err := shell.asks.Post(address, "application/json", nil)
	if err == nil {
		var answer struct {
			Call         string `json:"call"`
			NeverStarted bool   `json:"neverStarted"`
		}
		err = json.NewDecoder(io.LimitReader(response.Body, 4096)).Decode(&answer)
		_ = response.Body.Close()
		recalled.Confirmed = err == nil && response.StatusCode == http.StatusOK && answer.Call == command.AttemptID && answer.NeverStarted
	}
	shell.Loop.Post(recalled)
}
