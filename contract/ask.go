package contract

import "time"

// Ask is an operator's question; any node takes it, the authority answers it.
type OperatorRequest struct {
	Token           int64  `json:"-"`
	Verb            string `json:"verb"`
	Subject         string `json:"subject"`
	Body            []byte `json:"body"`
	BaseRevision    int64  `json:"base"`
	HasBaseRevision bool   `json:"hasBase"`
	Revision        int64  `json:"revision"`
	Operation       string `json:"operation"`
	Forwarded       bool   `json:"forwarded"`
	// Prompt asks for the answer as soon as the write is acknowledged; without it the answer waits until it is in force everywhere.
	ReplyOnCommit bool `json:"prompt,omitempty"`
}

const (
	VerbPut         = "put"
	VerbPatch       = "patch"
	VerbGet         = "get"
	VerbHistory     = "history"
	VerbOperation   = "operation"
	VerbDrain       = "drain"
	VerbUndrain     = "undrain"
	VerbScale       = "scale"
	VerbMembers     = "members"
	VerbShards      = "shards"
	VerbRetirements = "retirements"
	VerbChain       = "chain"
	VerbWhy         = "why"
	VerbGone        = "gone"
	VerbReplace     = "replace"
	VerbUpdate      = "update"
	VerbPlace       = "place"
	VerbCache       = "cache"
)

// Forward passes an ask to the authority, once.
type Forward struct {
	Request OperatorRequest
	Address string
}

func (request OperatorRequest) IsWrite() bool {
	switch request.Verb {
	case VerbPut, VerbPatch, VerbDrain, VerbUndrain, VerbScale, VerbReplace, VerbUpdate:
		return true
	}
	return false
}

// Authority is the tail for what was accepted, the head for everything else.
func (request OperatorRequest) AuthoritativeNode(view View) (CoreNode, bool) {
	if request.Verb == VerbGet || request.Verb == VerbHistory {
		return view.Tail()
	}
	return view.Head()
}

// Accepted is the answer to a write.
type WriteResult struct {
	Outcome      string   `json:"outcome"`
	Revision     int64    `json:"revision,omitempty"`
	View         int64    `json:"view,omitempty"`
	Operation    string   `json:"operation,omitempty"`
	MissingNodes []string `json:"lacking,omitempty"`
	Error        string   `json:"error,omitempty"`
}

type ErrorBody struct {
	Outcome      string   `json:"outcome,omitempty"`
	Error        string   `json:"error"`
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
	Home         string   `json:"home,omitempty"`
	Nodes        []string `json:"nodes,omitempty"`
}

func ErrorResponse(token int64, status int, err string, after time.Duration) Response {
	return Response{Token: token, Status: status, Body: ErrorBody{Error: err, RetryAfterMs: after.Milliseconds()}, RetryAfter: after}
}
