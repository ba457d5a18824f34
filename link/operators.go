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

const forwardPath = "/forward"

// Operators is the face of every node towards operators; answers of other nodes are passed on as they are.
type Operators struct {
	loop    *Loop
	client  *http.Client
	bound   int64
	patient time.Duration
	faults  *Faults
}

func NewOperators(loop *Loop, bound int64, patient time.Duration, faults *Faults) *Operators {
	return &Operators{loop: loop, bound: bound, patient: patient, client: &http.Client{Timeout: patient}, faults: faults}
}

type given struct {
	status int
	after  time.Duration
	body   json.RawMessage
}

type badAsk struct {
	status int
	text   string
}

func (bad badAsk) Error() string { return bad.text }

func (operators *Operators) Register(mux *http.ServeMux) {
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
		mux.Handle(pattern, kithttp.NewServer(operators.answer(), operators.decode(verb), encodeGiven, options...))
	}
	mux.Handle("POST "+forwardPath, kithttp.NewServer(operators.answer(), operators.decodeForwarded, encodeGiven, options...))
}

func (operators *Operators) read(request *http.Request, bound int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(request.Body, bound+1))
	if err != nil {
		return nil, badAsk{400, "the body could not be read"}
	}
	if int64(len(content)) > bound {
		return nil, badAsk{413, fmt.Sprintf("the body is larger than %d bytes", bound)}
	}
	return content, nil
}

func (operators *Operators) decode(verb string) kithttp.DecodeRequestFunc {
	return func(_ context.Context, request *http.Request) (any, error) {
		content, err := operators.read(request, operators.bound)
		if err != nil {
			return nil, err
		}
		ask := contract.OperatorRequest{Verb: verb, Subject: request.PathValue("subject"), Body: content, Operation: request.Header.Get("Operation-Key")}
		if len(ask.Operation) > 128 || strings.Contains(ask.Operation, "/") {
			return nil, badAsk{400, "Operation-Key: at most 128 characters, no slash"}
		}
		query := request.URL.Query()
		for name := range query {
			if name != "base" && name != "revision" {
				return nil, badAsk{400, "query " + name + ": unknown field"}
			}
		}
		if ask.HasBaseRevision = query.Has("base"); ask.HasBaseRevision {
			if ask.BaseRevision, err = strconv.ParseInt(query.Get("base"), 10, 64); err != nil || ask.BaseRevision < 0 {
				return nil, badAsk{400, "query base: want a revision"}
			}
		}
		if query.Has("revision") {
			if ask.Revision, err = strconv.ParseInt(query.Get("revision"), 10, 64); err != nil || ask.Revision < 1 {
				return nil, badAsk{400, "query revision: want a revision"}
			}
		}
		return ask, nil
	}
}

func (operators *Operators) decodeForwarded(_ context.Context, request *http.Request) (any, error) {
	content, err := operators.read(request, 2*operators.bound)
	if err != nil {
		return nil, err
	}
	var ask contract.OperatorRequest
	if json.Unmarshal(content, &ask) != nil {
		return nil, badAsk{400, "not an ask"}
	}
	ask.Forwarded = true
	return ask, nil
}

func (operators *Operators) answer() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		ask := request.(contract.OperatorRequest)
		answers := make(chan contract.Response, 1)
		ask.Token = operators.loop.Token(func(answer contract.Response) { answers <- answer })
		defer operators.loop.Forget(ask.Token)
		if !operators.loop.Try(ask) {
			return nil, badAsk{503, "this node is overloaded; nothing was done"}
		}
		select {
		case answer := <-answers:
			if passed, fine := answer.Body.(given); fine {
				return passed, nil
			}
			body, err := json.Marshal(answer.Body)
			return given{answer.Status, answer.RetryAfter, body}, err
		case <-ctx.Done():
			return nil, badAsk{504, "the asker left"}
		case <-time.After(operators.patient):
			return nil, badAsk{504, "no answer in time; ask by the operation key"}
		}
	}
}

// Ask puts a question to this node and gives status, time to come back and body of the answer.
func (operators *Operators) Ask(ctx context.Context, ask contract.OperatorRequest) (int, time.Duration, []byte) {
	response, failure := operators.answer()(ctx, ask)
	if failure != nil {
		status := http.StatusBadRequest
		var bad badAsk
		if errors.As(failure, &bad) {
			status = bad.status
		}
		return status, 0, []byte(failure.Error())
	}
	answer := response.(given)
	return answer.status, answer.after, answer.body
}

// Forward carries an ask to the authority; a lost answer to a write is unknown, never a refusal.
func (operators *Operators) Forward(forward contract.Forward) {
	fail := func(err error) {
		var dialed *net.OpError
		if errors.As(err, &dialed) && dialed.Op == "dial" {
			operators.loop.Answer(contract.ErrorResponse(forward.Request.Token, 503, "the authority cannot be reached; nothing was done", operators.patient/12))
			return
		}
		body := contract.WriteResult{Outcome: "unknown", Operation: forward.Request.Operation, Error: "the authority's answer was lost: " + err.Error()}
		operators.loop.Answer(contract.Response{Token: forward.Request.Token, Status: 504, Body: body})
	}
	if operators.faults.Cut(forward.Address) {
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
	began := time.Now()
	defer func() {
		operators.loop.Do(contract.ObserveDuration{Name: "forward", Class: forward.Request.Verb, Duration: time.Since(began)})
	}()
	response, err := operators.client.Do(request)
	if err != nil {
		fail(err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, mostBody))
	if err != nil {
		fail(err)
		return
	}
	seconds, _ := strconv.ParseInt(response.Header.Get("Retry-After"), 10, 64)
	operators.loop.Answer(contract.Response{Token: forward.Request.Token, Body: given{response.StatusCode, time.Duration(seconds) * time.Second, bytes.TrimSpace(body)}})
}

// Given is status and body of another node's answer.
func Given(answer contract.Response) (int, []byte) {
	if passed, fine := answer.Body.(given); fine {
		return passed.status, passed.body
	}
	return answer.Status, nil
}

func encodeGiven(_ context.Context, writer http.ResponseWriter, response any) error {
	answer := response.(given)
	writer.Header().Set("Content-Type", "application/json")
	RetryAfter(writer, answer.after)
	writer.WriteHeader(answer.status)
	_, err := writer.Write(append(answer.body, '\n'))
	return err
}

// RetryAfter tells when to come back, in whole seconds rounded up.
func RetryAfter(writer http.ResponseWriter, after time.Duration) {
	if after > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
}

func encodeError(_ context.Context, err error, writer http.ResponseWriter) {
	status := http.StatusBadRequest
	var bad badAsk
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
