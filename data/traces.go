package data

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Trace is why a call went where it went.
type Trace struct {
	Call     string         `json:"call"`
	Caller   string         `json:"caller"`
	Route    string         `json:"route"`
	Node     string         `json:"node"`
	Home     string         `json:"home"`
	Revision int64          `json:"revision"`
	Lists    []TraceList    `json:"lists"`
	Attempts []TraceAttempt `json:"attempts"`
	Outcome  string         `json:"outcome"`
	Status   int            `json:"status,omitempty"`
	Error    string         `json:"error,omitempty"`
	TookMs   int64          `json:"tookMs"`
	arrived  time.Duration
}

type TraceList struct {
	Shard  int            `json:"shard"`
	Epoch  contract.Epoch `json:"epoch"`
	Number int64          `json:"number"`
	Lapsed bool           `json:"lapsed"`
}

type TraceAttempt struct {
	Server   string `json:"server"`
	Verdicts any    `json:"candidates"`
	Result   string `json:"proof"`
	Error    string `json:"error,omitempty"`
}

type traces struct {
	most  int
	known map[string][]*Trace
	order []string
}

func newTraces(most int) *traces { return &traces{most: most, known: map[string][]*Trace{}} }

func (traces *traces) add(trace *Trace) {
	traces.known[trace.Call] = append(traces.known[trace.Call], trace)
	traces.order = append(traces.order, trace.Call)
	for len(traces.order) > traces.most {
		oldest := traces.order[0]
		traces.order = traces.order[1:]
		if traces.known[oldest] = traces.known[oldest][1:]; len(traces.known[oldest]) == 0 {
			delete(traces.known, oldest)
		}
	}
}

func (traces *traces) find(key string) []*Trace { return traces.known[key] }
