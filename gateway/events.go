// Package gateway carries opaque calls by host and path to the servers of a service: it admits, picks, repeats and ends them.
package gateway

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/engine"
	"github.com/cedarreel/cedarreel/manifest"
)

// Arrive is one try of a caller. Left is how long it will wait; After is the last piece that it has of a stream it takes up. Key is the
// digest of the key that it shows, nil without one.
type Arrive struct {
	Token  int64
	Host   string
	Path   string
	Left   time.Duration
	Prompt engine.Prompt
	After  string
	Size   int64
	Key    *manifest.KeyDigest
}

// Dispatch sends a call to a server. Left is what may still pass until the answer is whole; after Patience without a first byte the
// gateway is asked what to do. Idle is the longest that a kept connection may have been unused. Presumed is how many tokens of the prompt
// are believed to be kept at the server. Tenant is whose call it is, empty without one.
type Dispatch struct {
	Token     int64
	Attempt   int
	Server    contract.Candidate
	Tenant    string
	Left      time.Duration
	Patience  time.Duration
	Connect   time.Duration
	Idle      time.Duration
	Priority  int
	Presumed  int64
	Stream    bool
	Resumable bool
}

// Wait goes on waiting for the same server.
type Wait struct{ Patience time.Duration }

// Refuse ends a call that never ran and never will; After tells when to come back.
type Refuse struct {
	Token  int64
	Status int
	After  time.Duration
	Reason string
}

// Fail ends a call of which nobody knows whether it ran.
type Fail struct {
	Token  int64
	Status int
	Reason string
}

// Pass gives the server's own answer to the caller as it is.
type Pass struct{ Token int64 }

// Head tells what the first bytes of a server's answer say.
type Head struct {
	Token   int64
	Attempt int
	Load    *Load
}

// Load is what a server tells of itself: calls running, calls waiting and its slots.
type Load struct {
	Running int64
	Waiting int64
	Slots   int64
}

// First tells that the first piece of a stream came.
type First struct {
	Token   int64
	Attempt int
}

// Silent tells that a dispatch has waited for its patience and nothing came.
type Silent struct {
	Token   int64
	Attempt int
}

type Outcome string

const (
	// Whole is a complete answer of the server.
	Whole Outcome = "whole"
	// Unsent means that no byte of the call reached the server.
	Unsent Outcome = "unsent"
	// NotRun is the server's own word that it did not run the call.
	NotRun Outcome = "not_run"
	// Moved is another server's word that it is not the one that was meant.
	Moved Outcome = "moved"
	// Broken is all else that is not a whole answer: the call may have run.
	Broken Outcome = "broken"
	// Left means that the caller went away.
	Left Outcome = "left"
	// Late means that the call's time is over.
	Late Outcome = "late"
)

// Ended is the end of one dispatch. Failed tells that the server's whole answer is a failure of its own.
type Ended struct {
	Token   int64
	Attempt int
	Outcome Outcome
	Begun   bool
	Failed  bool
	Load    *Load
	Reason  string
}

// Configured brings the configuration that is in force.
type Configured struct {
	Manifest manifest.Manifest
}

// Listed brings the servers of a region that may take calls.
type Listed struct {
	Region  string
	Servers []contract.Candidate
}

// Observed brings what all nodes together see of the calls that they send to a region.
type Observed struct {
	Region string
	contract.CallObservations
}

// Fleet names the data nodes that share the limits; Self is this node.
type Fleet struct {
	Self  string
	Names []string
}
