package data

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Trace explains how this node handled a call, for operators: the leases it knew, the candidates of each attempt, and the outcome.
// Revision is the manifest's, and TookMs the time from arrival to the answer.
type Trace struct {
	Call      string         `json:"call"`
	Caller    string         `json:"caller"`
	Route     string         `json:"route"`
	Node      string         `json:"node"`
	Home      string         `json:"home"`
	Revision  int64          `json:"revision"`
	Leases    []TraceLease   `json:"lists"`
	Attempts  []TraceAttempt `json:"attempts"`
	Outcome   string         `json:"outcome"`
	Status    int            `json:"status,omitempty"`
	Error     string         `json:"error,omitempty"`
	TookMs    int64          `json:"tookMs"`
	arrivedAt time.Duration
}

// TraceLease identifies the lease of a shard that was known when a server was picked.
type TraceLease struct {
	Shard  int            `json:"shard"`
	Epoch  contract.Epoch `json:"epoch"`
	Number int64          `json:"number"`
	Lapsed bool           `json:"lapsed"`
}

// TraceAttempt is one attempt. Verdicts says for each candidate server whether it was eligible, and Result holds a call.Result, or how
// the forwarding of the call ended.
type TraceAttempt struct {
	Server   string `json:"server"`
	Verdicts any    `json:"candidates"`
	Result   string `json:"proof"`
	Error    string `json:"error,omitempty"`
}

// traces keeps the newest traces, by the call's key; a key has several if its call was sent again.
type traces struct {
	limit  int
	byCall map[string][]*Trace
	order  []string
}

func newTraces(limit int) *traces { return &traces{limit: limit, byCall: map[string][]*Trace{}} }

func (traces *traces) add(trace *Trace) {
	traces.byCall[trace.Call] = append(traces.byCall[trace.Call], trace)
	traces.order = append(traces.order, trace.Call)
	for len(traces.order) > traces.limit {
		oldest := traces.order[0]
		traces.order = traces.order[1:]
		if traces.byCall[oldest] = traces.byCall[oldest][1:]; len(traces.byCall[oldest]) == 0 {
			delete(traces.byCall, oldest)
		}
	}
}

func (traces *traces) find(key string) []*Trace { return traces.byCall[key] }
