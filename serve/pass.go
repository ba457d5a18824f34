package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/link"
)

// forwardedHeader marks a request that a node of another region forwarded to the home region of its call.
const forwardedHeader = "Cedar-Hop"

// homeRequest forwards a request to a node of the call's home region and relays its answer. The next node is tried only if no connection
// to the previous one was established; sent is set once one was.
type homeRequest struct {
	process *dataProcess
	target  data.HomeForward
	method  string
	path    string
	headers map[string]string
	body    []byte
	sent    bool
	node    string
}

// homeRequest returns the forwarded request of a call.
func (session *session) homeRequest(target data.HomeForward) *homeRequest {
	original := session.callRequest.call
	home := &homeRequest{process: session.process, target: target, method: http.MethodPost, path: "/v1/chat/completions", body: session.callRequest.body, headers: map[string]string{
		"Content-Type": "application/json", "Cedar-Caller": original.Caller, "Cedar-Route": original.Route, "Cedar-Session": original.Session, "Idempotency-Key": original.Key}}
	if original.IsLookup {
		home.method, home.body = http.MethodGet, nil
		home.path = "/v1/lookups/" + url.PathEscape(original.Route) + "/" + url.PathEscape(original.Key)
	}
	if original.IsRetry {
		home.headers["Cedar-Attempt"] = "2"
	}
	if original.Age > 0 {
		home.headers["Cedar-Age-Ms"] = strconv.FormatInt(max(1, original.Age.Milliseconds()), 10)
	}
	return home
}

// send tries the nodes of the home region in turn and returns the first answer.
func (homeRequest *homeRequest) send(ctx context.Context) (*http.Response, error) {
	var lastErr error
	for _, node := range homeRequest.target.Nodes {
		if homeRequest.process.Faults.Cut(node) {
			continue
		}
		request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { homeRequest.sent = true }}), homeRequest.method, "http://"+node+homeRequest.path, homeRequest.bodyReader())
		if err != nil {
			return nil, err
		}
		request.ContentLength = int64(len(homeRequest.body))
		for name, value := range homeRequest.headers {
			if value != "" {
				request.Header.Set(name, value)
			}
		}
		request.Header.Set("Cedar-Home", homeRequest.target.Home)
		request.Header.Set("Cedar-Deadline-Ms", strconv.FormatInt(max(1, homeRequest.target.Timeout.Milliseconds()), 10))
		request.Header.Set(forwardedHeader, "1")
		homeRequest.node = node
		response, err := homeRequest.process.client.Do(request)
		if err == nil || homeRequest.sent {
			return response, err
		}
		lastErr = err
	}
	return nil, lastErr
}

func (homeRequest *homeRequest) bodyReader() io.Reader {
	if homeRequest.body == nil {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(homeRequest.body))
}

// relayAnswer writes the home region's answer to the caller and returns its status and an error text. The status is 0 if no node was
// reached, and negative if the answer broke off.
func (homeRequest *homeRequest) relayAnswer(ctx context.Context, writer http.ResponseWriter, until time.Duration) (int, string) {
	bounds := homeRequest.process.Settings.Bounds
	limitedCtx, cancel := context.WithTimeout(ctx, homeRequest.target.Timeout+bounds.Round()/2)
	defer cancel()
	response, err := homeRequest.send(limitedCtx)
	if !homeRequest.sent {
		body := contract.ErrorBody{Outcome: string(call.NotRun), Error: "no node of the call's home can be reached; it did not run", Home: homeRequest.target.Home,
			RetryAfterMs: bounds.Round().Milliseconds()}
		homeRequest.writeError(writer, http.StatusServiceUnavailable, bounds.Round(), body)
		return 0, body.Error
	}
	if err != nil {
		homeRequest.writeError(writer, http.StatusBadGateway, 0, contract.ErrorBody{Outcome: string(call.Unknown), Home: homeRequest.target.Home,
			Error: "passed on to its home, and no answer came"})
		return http.StatusBadGateway, err.Error()
	}
	defer response.Body.Close()
	for _, name := range []string{"Content-Type", "Cache-Control", "Retry-After", "Content-Length"} {
		if value := response.Header.Get(name); value != "" {
			writer.Header().Set(name, value)
		}
	}
	writer.WriteHeader(response.StatusCode)
	if err = homeRequest.copyBody(writer, response.Body, until); err != nil {
		return -response.StatusCode, err.Error()
	}
	return response.StatusCode, ""
}

// writeError answers the caller with an error of this node.
func (homeRequest *homeRequest) writeError(writer http.ResponseWriter, status int, retryAfter time.Duration, body contract.ErrorBody) {
	writer.Header().Set("Content-Type", "application/json")
	link.RetryAfter(writer, retryAfter)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// copyBody relays the body of the answer. It returns nil only if the complete body was received and written.
func (homeRequest *homeRequest) copyBody(writer http.ResponseWriter, from io.Reader, until time.Duration) error {
	controller, buffer := http.NewResponseController(writer), make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		_ = controller.SetWriteDeadline(deadlineIn(min(homeRequest.process.Settings.Bounds.Return(), until-homeRequest.process.Loop.Now())))
		if _, writeErr := writer.Write(buffer[:count]); writeErr != nil {
			return writeErr
		}
		if writeErr := controller.Flush(); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// forwardHome answers a call through its home region. If the answer breaks off, the caller's connection is aborted too.
func (out *replyWriter) forwardHome(ctx context.Context, target data.HomeForward) error {
	session := out.session
	home := session.homeRequest(target)
	status, err := home.relayAnswer(ctx, out.writer, session.giveUpAt)
	session.process.Loop.Post(data.HomeForwardEnded{Token: session.token, Node: home.node, Status: max(status, -status), Error: err})
	if status < 0 {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// wasForwarded reports whether a request was already forwarded by another node. It can be forwarded only once.
func wasForwarded(request *http.Request) (bool, error) {
	switch value := request.Header.Get(forwardedHeader); value {
	case "":
		return false, nil
	case "1":
		if request.Header.Get("Cedar-Home") == "" {
			return false, requestError{status: http.StatusBadRequest, message: forwardedHeader + ": a call that is passed on names its home"}
		}
		return true, nil
	default:
		return false, requestError{status: http.StatusBadRequest, message: forwardedHeader + ": want 1 or nothing"}
	}
}
