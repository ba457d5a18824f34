package link

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

const forwardPath = "/forward" // path for questions that another node forwards

// OperatorAPI serves the operators' HTTP interface, which every node has. Answers of other nodes are passed on unchanged.
type OperatorAPI struct {
	loop    *Loop
	client  *http.Client
	maxBody int64         // bound of a request body in bytes
	timeout time.Duration // wait for an answer of the loop or of another node
	faults  *Faults
}

// NewOperatorAPI returns the operators' interface of a loop, with a bound of request bodies in bytes and a timeout for answers.
func NewOperatorAPI(loop *Loop, maxBody int64, timeout time.Duration, faults *Faults) *OperatorAPI {
	return &OperatorAPI{loop: loop, maxBody: maxBody, timeout: timeout, client: &http.Client{Transport: NewTransport(), Timeout: timeout}, faults: faults}
}

// httpAnswer is an answer as it is written to the client.
type httpAnswer struct {
	status     int
	retryAfter time.Duration
	body       json.RawMessage
}

// badRequest is an error with the HTTP status that it is answered with.
type badRequest struct {
	status int
	text   string
}

// Error returns the text for the client.
func (bad badRequest) Error() string { return bad.text }

// Register adds the operators' routes and the path for forwarded questions to a mux.
func (api *OperatorAPI) Register(mux *http.ServeMux) {
	routes := map[string]string{
		"PUT /v1/manifest": contract.VerbPut, "PATCH /v1/manifest": contract.VerbPatch, "GET /v1/manifest": contract.VerbGet,
		"GET /v1/manifest/history": contract.VerbHistory, "GET /v1/operations/{subject}": contract.VerbOperation,
		"POST /v1/zones/{subject}/drain": contract.VerbDrain, "POST /v1/zones/{subject}/undrain": contract.VerbUndrain,
		"POST /v1/pools/{subject}/scale": contract.VerbScale, "GET /v1/members": contract.VerbMembers, "GET /v1/shards": contract.VerbShards,
		"GET /v1/retirements": contract.VerbRetirements, "GET /v1/cache": contract.VerbCache, "GET /v1/chain": contract.VerbChain, "GET /v1/why/{subject}": contract.VerbWhy,
		"POST /v1/machines/{subject}/gone": contract.VerbGone,
	}
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	for pattern, verb := range routes {
		mux.Handle(pattern, kithttp.NewServer(api.answer(), api.decodeRequest(verb), encodeAnswer, options...))
	}
	mux.Handle("POST "+forwardPath, kithttp.NewServer(api.answer(), api.decodeForwarded, encodeAnswer, options...))
}

func (api *OperatorAPI) readBody(request *http.Request, maxBody int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(request.Body, maxBody+1))
	if err != nil {
		return nil, badRequest{400, "the body could not be read"}
	}
	if int64(len(content)) > maxBody {
		return nil, badRequest{413, fmt.Sprintf("the body is larger than %d bytes", maxBody)}
	}
	return content, nil
}

func (api *OperatorAPI) decodeRequest(verb string) kithttp.DecodeRequestFunc {
	return func(_ context.Context, request *http.Request) (any, error) {
		content, err := api.readBody(request, api.maxBody)
		if err != nil {
			return nil, err
		}
		question := contract.OperatorRequest{Verb: verb, Subject: request.PathValue("subject"), Body: content, Operation: request.Header.Get("Operation-Key")}
		if len(question.Operation) > 128 || strings.Contains(question.Operation, "/") {
			return nil, badRequest{400, "Operation-Key: at most 128 characters, no slash"}
		}
		query := request.URL.Query()
		for name := range query {
			if name != "base" && name != "revision" {
				return nil, badRequest{400, "query " + name + ": unknown field"}
			}
		}
		if question.HasBaseRevision = query.Has("base"); question.HasBaseRevision {
			if question.BaseRevision, err = strconv.ParseInt(query.Get("base"), 10, 64); err != nil || question.BaseRevision < 0 {
				return nil, badRequest{400, "query base: want a revision"}
			}
		}
		if query.Has("revision") {
			if question.Revision, err = strconv.ParseInt(query.Get("revision"), 10, 64); err != nil || question.Revision < 1 {
				return nil, badRequest{400, "query revision: want a revision"}
			}
		}
		return question, nil
	}
}

func (api *OperatorAPI) decodeForwarded(_ context.Context, request *http.Request) (any, error) {
	content, err := api.readBody(request, 2*api.maxBody)
	if err != nil {
		return nil, err
	}
	var question contract.OperatorRequest
	if json.Unmarshal(content, &question) != nil {
		return nil, badRequest{400, "not an ask"}
	}
	question.Forwarded = true
	return question, nil
}

func (api *OperatorAPI) answer() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		question := request.(contract.OperatorRequest)
		answers := make(chan contract.Response, 1)
		question.Token = api.loop.RegisterAnswer(func(answer contract.Response) { answers <- answer })
		defer api.loop.Forget(question.Token)
		if !api.loop.TryPost(question) {
			return nil, badRequest{503, "this node is overloaded; nothing was done"}
		}
		select {
		case answer := <-answers:
			if forwarded, ok := answer.Body.(httpAnswer); ok {
				return forwarded, nil
			}
			body, err := json.Marshal(answer.Body)
			return httpAnswer{answer.Status, answer.RetryAfter, body}, err
		case <-ctx.Done():
			return nil, badRequest{504, "the asker left"}
		case <-time.After(api.timeout):
			return nil, badRequest{504, "no answer in time; ask by the operation key"}
		}
	}
}

// Ask puts a question to this node's loop and returns the status, the Retry-After time and the body of the answer.
func (api *OperatorAPI) Ask(ctx context.Context, question contract.OperatorRequest) (int, time.Duration, []byte) {
	response, err := api.answer()(ctx, question)
	if err != nil {
		status := http.StatusBadRequest
		var bad badRequest
		if errors.As(err, &bad) {
			status = bad.status
		}
		return status, 0, []byte(err.Error())
	}
	answer := response.(httpAnswer)
	return answer.status, answer.retryAfter, answer.body
}

// Forward sends a question to the authority and passes its answer to the loop. If the answer is lost after a connection was made, the
// outcome is unknown: a write may have taken effect, so this is never reported as a refusal.
func (api *OperatorAPI) Forward(forward contract.Forward) {
	fail := func(err error) {
		var dialErr *net.OpError
		if errors.As(err, &dialErr) && dialErr.Op == "dial" {
			api.loop.Answer(contract.ErrorResponse(forward.Request.Token, 503, "the authority cannot be reached; nothing was done", api.timeout/12))
			return
		}
		body := contract.WriteResult{Outcome: "unknown", Operation: forward.Request.Operation, Error: "the authority's answer was lost: " + err.Error()}
		api.loop.Answer(contract.Response{Token: forward.Request.Token, Status: 504, Body: body})
	}
	if api.faults.Cut(forward.Address) {
		fail(errors.New("link cut"))
		return
	}
	content, err := json.Marshal(forward.Request)
	if err != nil {
		fail(err)
		return
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+forward.Address+forwardPath, io.NopCloser(bytes.NewReader(content)))
	if err != nil {
		fail(err)
		return
	}
	startedAt := time.Now()
	defer func() {
		api.loop.Execute(contract.ObserveDuration{Name: "forward", Class: forward.Request.Verb, Duration: time.Since(startedAt)})
	}()
	response, err := api.client.Do(request)
	if err != nil {
		fail(err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize))
	if err != nil {
		fail(err)
		return
	}
	seconds, _ := strconv.ParseInt(response.Header.Get("Retry-After"), 10, 64)
	api.loop.Answer(contract.Response{Token: forward.Request.Token, Body: httpAnswer{response.StatusCode, time.Duration(seconds) * time.Second, bytes.TrimSpace(body)}})
}

// ForwardedAnswer returns the status and body of another node's answer.
func ForwardedAnswer(answer contract.Response) (int, []byte) {
	if forwarded, ok := answer.Body.(httpAnswer); ok {
		return forwarded.status, forwarded.body
	}
	return answer.Status, nil
}

func encodeAnswer(_ context.Context, writer http.ResponseWriter, response any) error {
	answer := response.(httpAnswer)
	writer.Header().Set("Content-Type", "application/json")
	RetryAfter(writer, answer.retryAfter)
	writer.WriteHeader(answer.status)
	_, err := writer.Write(append(answer.body, '\n'))
	return err
}

// RetryAfter sets the Retry-After header, in whole seconds rounded up; zero sets none.
func RetryAfter(writer http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}

func encodeError(_ context.Context, err error, writer http.ResponseWriter) {
	status := http.StatusBadRequest
	var bad badRequest
	if errors.As(err, &bad) {
		status = bad.status
	}
	if status == http.StatusServiceUnavailable {
		RetryAfter(writer, time.Second)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(contract.ErrorBody{Error: err.Error()})
}
