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

// requestError refuses a request before it becomes a call. retryAfter is when the caller may try again; 0 says nothing about it.
type requestError struct {
	status     int
	message    string
	retryAfter time.Duration
}

func (requestErr requestError) Error() string { return requestErr.message }

// maxNameLength bounds the names and keys that callers send, in bytes.
const maxNameLength = 256

// nameHeader reads a header that holds a name or a key.
func nameHeader(request *http.Request, header string, required bool) (string, error) {
	value := request.Header.Get(header)
	if value == "" && required {
		return "", requestError{status: 400, message: header + ": is missing"}
	}
	if len(value) > maxNameLength {
		return "", requestError{status: 400, message: fmt.Sprintf("%s: longer than %d characters", header, maxNameLength)}
	}
	for _, character := range value {
		if character < ' ' {
			return "", requestError{status: 400, message: header + ": has a control character"}
		}
	}
	return value, nil
}

// durationHeader reads a header that holds a positive number of milliseconds up to an hour; it returns 0 if the header is absent.
func durationHeader(request *http.Request, header string) (time.Duration, error) {
	value := request.Header.Get(header)
	if value == "" {
		return 0, nil
	}
	count, err := strconv.ParseInt(value, 10, 64)
	if err != nil || count <= 0 || count > int64(time.Hour/time.Millisecond) {
		return 0, requestError{status: 400, message: fmt.Sprintf("%s: %q is not a time left in milliseconds", header, value)}
	}
	return time.Duration(count) * time.Millisecond, nil
}

// commonHeaders reads the headers that every request may carry, and returns the first error.
func commonHeaders(request *http.Request) (call.Call, error) {
	var errs [7]error
	parsed := call.Call{}
	parsed.Caller, errs[0] = nameHeader(request, "Cedar-Caller", true)
	parsed.Session, errs[1] = nameHeader(request, "Cedar-Session", false)
	parsed.Home, errs[2] = nameHeader(request, "Cedar-Home", false)
	parsed.Deadline, errs[3] = durationHeader(request, "Cedar-Deadline-Ms")
	parsed.Age, errs[4] = durationHeader(request, "Cedar-Age-Ms")
	parsed.Forwarded, errs[6] = wasForwarded(request)
	if attempt := request.Header.Get("Cedar-Attempt"); attempt != "" {
		number, err := strconv.Atoi(attempt)
		if err != nil || number < 1 {
			errs[5] = requestError{status: 400, message: fmt.Sprintf("Cedar-Attempt: %q is not a number from 1 on", attempt)}
		}
		parsed.IsRetry = number > 1
	}
	for _, err := range errs {
		if err != nil {
			return parsed, err
		}
	}
	return parsed, nil
}

// callRequest is a decoded call. path is where it is sent at the model server.
type callRequest struct {
	call   call.Call
	body   []byte
	stream bool
	path   string
}

// bytesPerToken is the assumed size of a token, for an estimate of the prompt's length.
const bytesPerToken = 4

// decodeCall decodes and checks a completion request.
func (process *dataProcess) decodeCall(_ context.Context, request *http.Request) (any, error) {
	parsed, err := commonHeaders(request)
	if err != nil {
		return nil, err
	}
	if parsed.Route, err = nameHeader(request, "Cedar-Route", true); err != nil {
		return nil, err
	}
	if parsed.Key, err = nameHeader(request, "Idempotency-Key", true); err != nil {
		return nil, err
	}
	limit := process.Settings.Bounds.BodyBytes
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, requestError{status: 400, message: "the body could not be read"}
	}
	if int64(len(body)) > limit {
		return nil, requestError{status: 413, message: fmt.Sprintf("the body is larger than %d bytes", limit)}
	}
	tree, err := manifest.ParseObject(body)
	if err != nil {
		return nil, requestError{status: 400, message: "body: " + err.Error()}
	}
	reader := manifest.NewReader(tree)
	streamed := reader.Bool("stream")
	messages, ok := tree["messages"].([]any)
	if !ok || len(messages) == 0 {
		reader.Errorf("messages", "want a list that is not empty")
	}
	if err = reader.Err(); err != nil {
		return nil, requestError{status: 400, message: "body: " + err.Error()}
	}
	parsed.Digest = contract.Digest(append([]byte(parsed.Route+"\x00"), body...))
	parsed.Tokens = int64(len(body) / bytesPerToken)
	parsed.Prefix = prefixKey(messages)
	return callRequest{call: parsed, body: body, stream: streamed, path: "/v1/chat/completions"}, nil
}

// prefixKey returns a digest of the system message, which calls with a shared prompt have in common, or "" if there is none.
func prefixKey(messages []any) string {
	first, ok := messages[0].(map[string]any)
	if !ok || first["role"] != "system" || len(messages) < 2 {
		return ""
	}
	content, err := json.Marshal(first["content"])
	if err != nil {
		return ""
	}
	return contract.Digest(content)[:16]
}

func (process *dataProcess) decodeLookup(_ context.Context, request *http.Request) (any, error) {
	parsed, err := commonHeaders(request)
	if err != nil {
		return nil, err
	}
	parsed.Route, parsed.Key, parsed.IsLookup = request.PathValue("route"), request.PathValue("key"), true
	if len(parsed.Key) > maxNameLength {
		return nil, requestError{status: 400, message: "key: too long"}
	}
	return callRequest{call: parsed, path: "/lookup/" + parsed.Key}, nil
}

// decodeOutcomeQuery decodes a caller's question about the outcome of an earlier call.
func decodeOutcomeQuery(_ context.Context, request *http.Request) (any, error) {
	parsed, err := commonHeaders(request)
	return data.OutcomeQuery{Caller: parsed.Caller, Key: request.PathValue("key"), Home: parsed.Home, Forwarded: parsed.Forwarded}, err
}

// query answers questions about the outcome of an earlier call, here or at the call's home region.
func (process *dataProcess) query() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		query := request.(data.OutcomeQuery)
		answers := make(chan contract.Response, 1)
		query.Token = process.Loop.RegisterAnswer(func(answer contract.Response) { answers <- answer })
		defer process.Loop.Forget(query.Token)
		if !process.Loop.TryPost(query) {
			return nil, requestError{status: 503, message: "this node is overloaded", retryAfter: process.Settings.Bounds.Round()}
		}
		select {
		case answer := <-answers:
			if target, isForward := answer.Body.(data.HomeForward); isForward {
				return &homeRequest{process: process, target: target, method: http.MethodGet, path: "/v1/calls/" + url.PathEscape(query.Key),
					headers: map[string]string{"Cedar-Caller": query.Caller}}, nil
			}
			return answer, nil
		case <-ctx.Done():
			return nil, requestError{status: 503, message: "the asker left"}
		}
	}
}

// encodeAnswer writes a JSON answer, or relays that of the call's home region.
func encodeAnswer(ctx context.Context, writer http.ResponseWriter, response any) error {
	if forward, ok := response.(*homeRequest); ok {
		if status, _ := forward.relayAnswer(ctx, writer, forward.process.Loop.Now()+forward.target.Timeout); status < 0 {
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

// encodeError writes an error that kept a request from becoming a call.
func encodeError(_ context.Context, err error, writer http.ResponseWriter) {
	requestErr := requestError{status: http.StatusBadRequest, message: err.Error()}
	errors.As(err, &requestErr)
	writer.Header().Set("Content-Type", "application/json")
	link.RetryAfter(writer, requestErr.retryAfter)
	writer.WriteHeader(requestErr.status)
	_ = json.NewEncoder(writer).Encode(contract.ErrorBody{Outcome: string(call.NotRun), Error: requestErr.message, RetryAfterMs: requestErr.retryAfter.Milliseconds()})
}
