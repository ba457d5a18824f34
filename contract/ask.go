package contract

import "time"

// OperatorRequest is a request of an operator's client. Any node accepts it; the authoritative node of the chain answers it.
type OperatorRequest struct {
	// Token identifies the request inside the process that received it; it is not sent.
	Token int64 `json:"-"`
	// Verb is one of the Verb constants. Subject is what it applies to, such as a zone, a pool, a call or an operation key.
	Verb    string `json:"verb"`
	Subject string `json:"subject"`
	Body    []byte `json:"body"`
	// BaseRevision is the revision that a conditional write was made from. It counts only with HasBaseRevision.
	BaseRevision    int64 `json:"base"`
	HasBaseRevision bool  `json:"hasBase"`
	// Revision selects the revision that a read wants; 0 is the newest.
	Revision int64 `json:"revision"`
	// Operation is the idempotency key of a write.
	Operation string `json:"operation"`
	// Forwarded is set on a request that one node has forwarded; it is not forwarded again.
	Forwarded bool `json:"forwarded"`
	// ReplyOnCommit asks for the response as soon as the write is committed. Without it the response waits until the version is in
	// force on all nodes.
	ReplyOnCommit bool `json:"prompt,omitempty"`
}

// Verbs of operator requests.
const (
	VerbPut         = "put"         // replace the manifest
	VerbPatch       = "patch"       // merge a patch into the manifest
	VerbGet         = "get"         // read a manifest
	VerbHistory     = "history"     // list the kept revisions
	VerbOperation   = "operation"   // look up the result of a write by its operation key
	VerbDrain       = "drain"       // take a zone out of service
	VerbUndrain     = "undrain"     // return a zone to service
	VerbScale       = "scale"       // set the number of servers of a pool
	VerbMembers     = "members"     // list the nodes that are alive
	VerbShards      = "shards"      // list the shards and their owners
	VerbRetirements = "retirements" // list the servers that are being retired
	VerbChain       = "chain"       // show the state of the replication chain
	VerbWhy         = "why"         // show the trace of a call
	VerbGone        = "gone"        // declare a core machine permanently lost
	VerbReplace     = "replace"     // replace the gateway part of the manifest
	VerbUpdate      = "update"      // change entries of the gateway part of the manifest
	VerbPlace       = "place"       // ask which servers cache a prompt prefix
	VerbCache       = "cache"       // show the state of the cache index
)

// Forward is the command to send a request to the authoritative node at Address. A request is forwarded at most once.
type Forward struct {
	Request OperatorRequest
	Address string
}

// IsWrite reports whether the request creates a manifest version.
func (request OperatorRequest) IsWrite() bool {
	switch request.Verb {
	case VerbPut, VerbPatch, VerbDrain, VerbUndrain, VerbScale, VerbReplace, VerbUpdate:
		return true
	}
	return false
}

// AuthoritativeNode returns the node of the chain that may answer the request: the tail for reads of committed versions, the head for
// everything else. It reports false if the view has no chain.
func (request OperatorRequest) AuthoritativeNode(view View) (CoreNode, bool) {
	if request.Verb == VerbGet || request.Verb == VerbHistory {
		return view.Tail()
	}
	return view.Head()
}

// WriteResult is the body of the response to a write.
type WriteResult struct {
	// Outcome is "in force", "committed" or "unknown".
	Outcome   string `json:"outcome"`
	Revision  int64  `json:"revision,omitempty"`
	View      int64  `json:"view,omitempty"`
	Operation string `json:"operation,omitempty"`
	// MissingNodes are the nodes that had not confirmed the version when the response was sent.
	MissingNodes []string `json:"lacking,omitempty"`
	Error        string   `json:"error,omitempty"`
}

// ErrorBody is the body of a response that reports an error. Home and Nodes tell a caller of another region where to call instead.
type ErrorBody struct {
	Outcome      string   `json:"outcome,omitempty"`
	Error        string   `json:"error"`
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
	Home         string   `json:"home,omitempty"`
	Nodes        []string `json:"nodes,omitempty"`
}

// ErrorResponse returns a response with an ErrorBody. A retryAfter of 0 gives no advice on when to retry.
func ErrorResponse(token int64, status int, message string, retryAfter time.Duration) Response {
	return Response{Token: token, Status: status, Body: ErrorBody{Error: message, RetryAfterMs: retryAfter.Milliseconds()}, RetryAfter: retryAfter}
}
