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

const hopHeader = "Cedar-Hop"

// passage carries one question on to a node of its home and that node's answer back, byte by byte. A node is left for the next
// one only if no link to it was made.
type passage struct {
	shell   *dataShell
	pass    data.HomeForward
	method  string
	path    string
	headers map[string]string
	body    []byte
	sent    bool
	node    string
}

func (session *session) passage(pass data.HomeForward) *passage {
	asked := session.caller.call
	made := &passage{shell: session.shell, pass: pass, method: http.MethodPost, path: "/v1/chat/completions", body: session.caller.body, headers: map[string]string{
		"Content-Type": "application/json", "Cedar-Caller": asked.Caller, "Cedar-Route": asked.Route, "Cedar-Session": asked.Session, "Idempotency-Key": asked.Key}}
	if asked.IsLookup {
		made.method, made.body = http.MethodGet, nil
		made.path = "/v1/lookups/" + url.PathEscape(asked.Route) + "/" + url.PathEscape(asked.Key)
	}
	if asked.IsRetry {
		made.headers["Cedar-Attempt"] = "2"
	}
	if asked.Age > 0 {
		made.headers["Cedar-Age-Ms"] = strconv.FormatInt(max(1, asked.Age.Milliseconds()), 10)
	}
	return made
}

// ask tries the home's nodes in turn and gives the first answer.
func (passage *passage) ask(ctx context.Context) (*http.Response, error) {
	var last error
	for _, node := range passage.pass.Nodes {
		if passage.shell.Faults.Cut(node) {
			continue
		}
		request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { passage.sent = true }}), passage.method, "http://"+node+passage.path, passage.reader())
		if err != nil {
			return nil, err
		}
		request.ContentLength = int64(len(passage.body))
		for name, value := range passage.headers {
			if value != "" {
				request.Header.Set(name, value)
			}
		}
		request.Header.Set("Cedar-Home", passage.pass.Home)
		request.Header.Set("Cedar-Deadline-Ms", strconv.FormatInt(max(1, passage.pass.Timeout.Milliseconds()), 10))
		request.Header.Set(hopHeader, "1")
		passage.node = node
		response, err := passage.shell.client.Do(request)
		if err == nil || passage.sent {
			return response, err
		}
		last = err
	}
	return nil, last
}

func (passage *passage) reader() io.Reader {
	if passage.body == nil {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(passage.body))
}

// carry writes the home's answer out and tells its status; a status of none says that no node was reached.
func (passage *passage) carry(ctx context.Context, writer http.ResponseWriter, until time.Duration) (int, string) {
	bounds := passage.shell.Settings.Bounds
	limited, cancel := context.WithTimeout(ctx, passage.pass.Timeout+bounds.Round()/2)
	defer cancel()
	response, err := passage.ask(limited)
	if !passage.sent {
		trouble := contract.ErrorBody{Outcome: string(call.NotRun), Error: "no node of the call's home can be reached; it did not run", Home: passage.pass.Home,
			RetryAfterMs: bounds.Round().Milliseconds()}
		passage.tell(writer, http.StatusServiceUnavailable, bounds.Round(), trouble)
		return 0, trouble.Error
	}
	if err != nil {
		passage.tell(writer, http.StatusBadGateway, 0, contract.ErrorBody{Outcome: string(call.Unknown), Home: passage.pass.Home,
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
	if err = passage.copy(writer, response.Body, until); err != nil {
		return -response.StatusCode, err.Error()
	}
	return response.StatusCode, ""
}

func (passage *passage) tell(writer http.ResponseWriter, status int, after time.Duration, trouble contract.ErrorBody) {
	writer.Header().Set("Content-Type", "application/json")
	link.RetryAfter(writer, after)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(trouble)
}

// copy ends without an error only when the home's whole answer came and was written.
func (passage *passage) copy(writer http.ResponseWriter, from io.Reader, until time.Duration) error {
	control, buffer := http.NewResponseController(writer), make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		_ = control.SetWriteDeadline(nowPlus(min(passage.shell.Settings.Bounds.Return(), until-passage.shell.Loop.Now())))
		if _, other := writer.Write(buffer[:count]); other != nil {
			return other
		}
		if other := control.Flush(); other != nil {
			return other
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// passOn is a call's whole answer by way of its home; a break is passed on as a break.
func (out *writerOf) passOn(ctx context.Context, pass data.HomeForward) error {
	session := out.session
	made := session.passage(pass)
	status, err := made.carry(ctx, out.writer, session.until)
	session.shell.Loop.Post(data.HomeForwardEnded{Token: session.token, Node: made.node, Status: max(status, -status), Error: err})
	if status < 0 {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// hop reads whether a call was passed on already; only one hop is known.
func hop(request *http.Request) (bool, error) {
	switch value := request.Header.Get(hopHeader); value {
	case "":
		return false, nil
	case "1":
		if request.Header.Get("Cedar-Home") == "" {
			return false, badCall{status: http.StatusBadRequest, text: hopHeader + ": a call that is passed on names its home"}
		}
		return true, nil
	default:
		return false, badCall{status: http.StatusBadRequest, text: hopHeader + ": want 1 or nothing"}
	}
}
