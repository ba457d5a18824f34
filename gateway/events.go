// Package gateway routes HTTP calls by host and path to the servers of a service. It admits calls, picks a server for each, retries calls that may
// run again, and ends them. Router handles the calls; Node keeps the configuration and the lists of servers up to date. Both are state machines
// without I/O: events in, commands out.
package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
)

// CallArrived is the event that a caller's request arrived.
type CallArrived struct {
	// Token identifies the call in all events and commands.
	Token int64
	Host  string
	Path  string
	// Timeout is how long the caller will wait, 0 if it did not say; the timeout of the route limits it.
	Timeout time.Duration
	// Prompt is what the request tells of its prompt, the zero value for other calls.
	Prompt engine.Prompt
	// LastEventID is the last event that the caller has of a stream that it resumes, empty for a new one.
	LastEventID string
	// Size is the length of the request in bytes.
	Size int64
	// KeyDigest is the digest of the API key that the caller presents, nil without one.
	KeyDigest *manifest.KeyDigest
}

// Dispatch is the command to send a call to a server.
type Dispatch struct {
	// Token and Attempt identify this dispatch in the events about it.
	Token   int64
	Attempt int
	Server  contract.Candidate
	// Tenant is the name of the tenant whose call it is, empty without one.
	Tenant string
	// Timeout is the time left until the answer must be complete.
	Timeout time.Duration
	// SilenceTimeout is how long to wait without a byte of the answer before a ServerSilent event is due.
	SilenceTimeout time.Duration
	// ConnectTimeout limits the setting up of a connection.
	ConnectTimeout time.Duration
	// MaxIdle is the longest that a reused connection may have been idle.
	MaxIdle time.Duration
	// Priority is the priority that the server is told: 2 for short prompts. A negative one is not sent.
	Priority int
	// CachedTokens is how many tokens of the prompt are presumed to be cached at the server.
	CachedTokens int64
	// Stream says that the answer is a stream, Resumable that the stream can be resumed at another server.
	Stream    bool
	Resumable bool
}

// Wait is the answer to ServerSilent if the call stays at its server: wait for another SilenceTimeout.
type Wait struct{ SilenceTimeout time.Duration }

// Refuse ends a call that has not run and never will. RetryAfter tells the caller when to come back; 0 means that a retry is no use.
type Refuse struct {
	Token      int64
	Status     int
	RetryAfter time.Duration
	Reason     string
}

// Fail ends a call that may or may not have run.
type Fail struct {
	Token  int64
	Status int
	Reason string
}

// PassAnswer passes the server's own answer to the caller unchanged.
type PassAnswer struct{ Token int64 }

// HeadReceived is the event that the first bytes of a server's answer arrived. Load is nil if the answer does not report it.
type HeadReceived struct {
	Token   int64
	Attempt int
	Load    *Load
}

// Load is what a server reports of itself: the calls that are running, those that are waiting, and its slots (how many it works on at once).
type Load struct {
	Running int64
	Waiting int64
	Slots   int64
}

// StreamStarted is the event that the first chunk of a streamed answer arrived.
type StreamStarted struct {
	Token   int64
	Attempt int
}

// AnswerPaced is the event that a server sends more than this node can read of its answers, so that one is read more slowly.
type AnswerPaced struct {
	Token   int64
	Attempt int
}

// ServerSilent is the event that nothing arrived within the silence timeout of a dispatch. The router answers it with Wait or with a new Dispatch.
type ServerSilent struct {
	Token   int64
	Attempt int
}

// Outcome is how a dispatch ended. The values appear in logs and in answers to callers.
type Outcome string

const (
	// OutcomeComplete is a complete answer of the server, which may report an error of its own.
	OutcomeComplete Outcome = "whole"
	// OutcomeNotSent means that no byte of the call reached the server.
	OutcomeNotSent Outcome = "unsent"
	// OutcomeNotRun means that the server itself says that it did not run the call.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeWrongServer ("moved") means that another server answered at the address and says that it is not the one that was meant.
	OutcomeWrongServer Outcome = "moved"
	// OutcomeBroken is every other answer that is not complete: the call may have run.
	OutcomeBroken Outcome = "broken"
	// OutcomeCallerLeft means that the caller closed its connection.
	OutcomeCallerLeft Outcome = "left"
	// OutcomeDeadlineExceeded ("late") means that the call's time is over.
	OutcomeDeadlineExceeded Outcome = "late"
)

// DispatchEnded is the event that a dispatch ended. AnswerStarted says that bytes of the answer have reached the caller. ServerError says that the
// complete answer reports an error of the server, Misbehaved that the server sent more than an answer may have. Load is nil if it was not reported.
type DispatchEnded struct {
	Token         int64
	Attempt       int
	Outcome       Outcome
	AnswerStarted bool
	ServerError   bool
	Misbehaved    bool
	Load          *Load
	Reason        string
}

// ConfigurationChanged brings the manifest that is now in force.
type ConfigurationChanged struct {
	Manifest manifest.Manifest
}

// ServersListed brings all servers of a region that may take calls.
type ServersListed struct {
	Region  string
	Servers []contract.Candidate
}

// ObservationsChanged brings what all nodes together observed about the calls that they send to a region.
type ObservationsChanged struct {
	Region string
	contract.CallObservations
}

// FleetChanged brings the names of the data nodes that share the limits; Self is this node's.
type FleetChanged struct {
	Self  string
	Names []string
}
