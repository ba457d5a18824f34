package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/go-kit/kit/endpoint"
)

type badCall struct {
	status int
	text   string
	after  time.Duration
}

func (bad badCall) Error() string { return bad.text }

const longestName = 256

func name(request *http.Request, header string, must bool) (string, error) {
	value := request.Header.Get(header)
	if value == "" && must {
		return "", badCall{status: 400, text: header + ": is missing"}
	}
	if len(value) > longestName {
		return "", badCall{status: 400, text: fmt.Sprintf("%s: longer than %d characters", header, longestName)}
	}
	for _, message := range value {
		if message < ' ' {
			return "", badCall{status: 400, text: header + ": has a control character"}
		}
	}
	return value, nil
}

func milliseconds(request *http.Request, header string) (time.Duration, error) {
	value := request.Header.Get(header)
	if value == "" {
		return 0, nil
	}
	count, err := strconv.ParseInt(value, 10, 64)
	if err != nil || count <= 0 || count > int64(time.Hour/time.Millisecond) {
		return 0, badCall{status: 400, text: fmt.Sprintf("%s: %q is not a time left in milliseconds", header, value)}
	}
	return time.Duration(count) * time.Millisecond, nil
}

// common reads the headers that every call may carry, collecting errors in one look.
func common(request *http.Request) (call.Call, error) {
	var errs [7]error
	asked := call.Call{}
	asked.Caller, errs[0] = name(request, "Cedar-Caller", true)
	asked.Session, errs[1] = name(request, "Cedar-Session", false)
	asked.Home, errs[2] = name(request, "Cedar-Home", false)
	asked.Deadline, errs[3] = milliseconds(request, "Cedar-Deadline-Ms")
	asked.Age, errs[4] = milliseconds(request, "Cedar-Age-Ms")
	asked.Forwarded, errs[6] = hop(request)
	if tries := request.Header.Get("Cedar-Attempt"); tries != "" {
		number, err := strconv.Atoi(tries)
		if err != nil || number < 1 {
			errs[5] = badCall{status: 400, text: fmt.Sprintf("Cedar-Attempt: %q is not a number from 1 on", tries)}
		}
		asked.IsRetry = number > 1
	}
	for _, err := range errs {
		if err != nil {
			return asked, err
		}
	}
	return asked, nil
}

type caller struct {
	call   call.Call
	body   []byte
	stream bool
	path   string
}

const tokenBytes = 4

func (shell *dataShell) decodeCall(_ context.Context, request *http.Request) (any, error) {
	asked, err := common(request)
	if err != nil {
		return nil, err
	}
	if asked.Route, err = name(request, "Cedar-Route", true); err != nil {
		return nil, err
	}
	if asked.Key, err = name(request, "Idempotency-Key", true); err != nil {
		return nil, err
	}
	bound := shell.Settings.Bounds.BodyBytes
	body, err := io.ReadAll(io.LimitReader(request.Body, bound+1))
	if err != nil {
		return nil, badCall{status: 400, text: "the body could not be read"}
	}
	if int64(len(body)) > bound {
		return nil, badCall{status: 413, text: fmt.Sprintf("the body is larger than %d bytes", bound)}
	}
	tree, err := manifest.ParseObject(body)
	if err != nil {
		return nil, badCall{status: 400, text: "body: " + err.Error()}
	}
	reader := manifest.NewReader(tree)
	streamed := reader.Bool("stream")
	messages, fine := tree["messages"].([]any)
	if !fine || len(messages) == 0 {
		reader.Errorf("messages", "want a list that is not empty")
	}
	if err = reader.Err(); err != nil {
		return nil, badCall{status: 400, text: "body: " + err.Error()}
	}
	asked.Digest = contract.Digest(append([]byte(asked.Route+"\x00"), body...))
	asked.Tokens = int64(len(body) / tokenBytes)
	asked.Prefix = prefix(messages)
	return caller{call: asked, body: body, stream: streamed, path: "/v1/chat/completions"}, nil
}

// prefix names a shared beginning: the system message that a contract's text comes in.
func prefix(messages []any) string {
	first, fine := messages[0].(map[string]any)
	if !fine || first["role"] != "system" || len(messages) < 2 {
		return ""
	}
	content, err := json.Marshal(first["content"])
	if err != nil {
		return ""
	}
	return contract.Digest(content)[:16]
}

func (shell *dataShell) decodeLookup(_ context.Context, request *http.Request) (any, error) {
	asked, err := common(request)
	if err != nil {
		return nil, err
	}
	asked.Route, asked.Key, asked.IsLookup = request.PathValue("route"), request.PathValue("key"), true
	if len(asked.Key) > longestName {
		return nil, badCall{status: 400, text: "key: too long"}
	}
	return caller{call: asked, path: "/lookup/" + asked.Key}, nil
}

func decodeLook(_ context.Context, request *http.Request) (any, error) {
	asked, err := common(request)
	return data.Look{Caller: asked.Caller, Key: request.PathValue("key"), Home: asked.Home, Forwarded: asked.Forwarded}, err
}

func (shell *dataShell) look() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		look := request.(data.Look)
		answers := make(chan contract.Response, 1)
		look.Token = shell.Loop.Token(func(answer contract.Response) { answers <- answer })
		defer shell.Loop.Forget(look.Token)
		if !shell.Loop.TryPost(look) {
			return nil, badCall{status: 503, text: "this node is overloaded", after: shell.Settings.Bounds.Round()}
		}
		select {
		case answer := <-answers:
			if pass, away := answer.Body.(data.HomeForward); away {
				return &passage{shell: shell, pass: pass, method: http.MethodGet, path: "/v1/calls/" + url.PathEscape(look.Key),
					headers: map[string]string{"Cedar-Caller": look.Caller}}, nil
			}
			return answer, nil
		case <-ctx.Done():
			return nil, badCall{status: 503, text: "the asker left"}
		}
	}
}

func encodeAnswer(ctx context.Context, writer http.ResponseWriter, response any) error {
	if away, fine := response.(*passage); fine {
		if status, _ := away.carry(ctx, writer, away.shell.Loop.Now()+away.pass.Timeout); status < 0 {
			panic(http.ErrAbortHandler)
		}
		return nil
	}
	answer := response.(contract.Response)
	writer.Header().Set("Content-Type", "application/json")
	link.RetryAfter(writer, answer.RetryAfter)
	writer.WriteHeader(answer.Status)
	return json.NewEncoder(writer).Encode(answer.Body)
}

func encodeBad(_ context.Context, err error, writer http.ResponseWriter) {
	bad := badCall{status: http.StatusBadRequest, text: err.Error()}
	errors.As(err, &bad)
	writer.Header().Set("Content-Type", "application/json")
	link.RetryAfter(writer, bad.after)
	writer.WriteHeader(bad.status)
	_ = json.NewEncoder(writer).Encode(contract.ErrorBody{Outcome: string(call.NotRun), Error: bad.text, RetryAfterMs: bad.after.Milliseconds()})
}
