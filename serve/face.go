package serve

import (
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
)

// Face is a manner of speaking with callers, servers and the list of servers: names, formats and calls, no decisions.
type Face interface {
	// Settings reads what a process is told, for one of the two programs.
	Settings(kind string) (env.Env, error)
	// Arrive reads what a caller tells of its call, its key too, but for token and size; Identity is the name of its try.
	Arrive(request *http.Request) (arrive gateway.CallArrived, identity string)
	// Send names the server that is meant, the tenant in the place of the caller's key, the time that is left, and the last piece of a
	// stream that the caller has.
	Send(header http.Header, dispatch gateway.Dispatch, after string)
	// Head reads what a server's answer tells of itself.
	Head(response *http.Response) Head
	// After writes when a refused caller is to come back.
	After(header http.Header, after time.Duration)
	// Listing reads the whole list of servers, page by page.
	Listing(settings env.Env, get func(address string) ([]byte, error)) (contract.Listing, error)
	// Report reads one server's report.
	Report(content []byte, server string) (contract.Report, error)
	// Lookup reads where a caller is, and Addresses writes where it should go.
	Lookup(request *http.Request) gateway.Lookup
	Addresses(found gateway.Addresses, life time.Duration) any
	// Paths gives where readiness checks and look-ups come in.
	Paths() (ready, lookup string)
	// Orders gives the operators' calls: what each of them asks, and how the answer to it reads.
	Orders() []Order
}

// Head is what the head of a server's answer says. Whole tells that it bears the mark of a server's own answer.
type Head struct {
	Identity string
	Sealed   bool
	NotRun   bool
	Moved    bool
	Load     *gateway.Load
}

// Order is one call of an operator.
type Order struct {
	Pattern string
	Read    func(settings env.Env, request *http.Request, body []byte) (contract.Ask, error)
	Write   func(status int, body []byte) (int, any)
}
