package serve

import (
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
)

// Adapter translates between this system and the protocols of a hosting platform: its settings, its list of servers, and the headers and
// formats of callers, model servers and operators. It makes no decisions.
type Adapter interface {
	// Settings reads the settings of a process. kind is contract.KindData or contract.KindControl.
	Settings(kind string) (env.Env, error)
	// ReadCallHeaders reads a caller's call from its headers, including its API key. Token, host, path and size are filled in by the caller of
	// this method. identity is the ID that the caller gave this attempt.
	ReadCallHeaders(request *http.Request) (arrived gateway.CallArrived, identity string)
	// SetServerHeaders sets the headers of a request to a server: the intended server, the tenant in place of the caller's API key, the
	// time left, and the ID of the last event of a stream that the caller has.
	SetServerHeaders(header http.Header, dispatch gateway.Dispatch, after string)
	// ReadServerHeaders reads the headers of a server's answer.
	ReadServerHeaders(response *http.Response) ServerReply
	// SetRetryAfter sets the header that tells a refused caller when to retry.
	SetRetryAfter(header http.Header, after time.Duration)
	// ReadListing reads the complete list of servers, page by page, with get.
	ReadListing(settings env.Env, get func(address string) ([]byte, error)) (contract.Listing, error)
	// ParseReport parses a server's load report.
	ParseReport(content []byte, server string) (contract.LoadReport, error)
	// ParseLookup parses a caller's question for nodes to call, and FormatAddresses formats the answer, which is valid for life.
	ParseLookup(request *http.Request) gateway.Lookup
	FormatAddresses(found gateway.Addresses, life time.Duration) any
	// Paths returns the URL paths of the readiness check and of lookups.
	Paths() (ready, lookup string)
	// OperatorEndpoints returns the HTTP endpoints for operators.
	OperatorEndpoints() []OperatorEndpoint
}

// ServerReply is what the headers of a server's answer say. AttemptID names the attempt that it answers. FromServer means that the model server
// itself sent the answer, NotRun that it did not run the call, and AddressReused that another server has the address now. Load is nil if the
// answer does not report it.
type ServerReply struct {
	AttemptID     string
	FromServer    bool
	NotRun        bool
	AddressReused bool
	Load          *gateway.Load
}

// OperatorEndpoint is one HTTP endpoint for operators: a pattern for http.ServeMux, the parser of its requests, and the formatter of the
// answers, which returns the status and the JSON body.
type OperatorEndpoint struct {
	Pattern      string
	ParseRequest func(settings env.Env, request *http.Request, body []byte) (contract.OperatorRequest, error)
	FormatAnswer func(status int, body []byte) (int, any)
}
