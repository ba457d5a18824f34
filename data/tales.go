package data

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Tale is why a call went where it went.
type Tale struct {
	Call     string        `json:"call"`
	Caller   string        `json:"caller"`
	Route    string        `json:"route"`
	Node     string        `json:"node"`
	Home     string        `json:"home"`
	Revision int64         `json:"revision"`
	Lists    []TaleList    `json:"lists"`
	Attempts []TaleAttempt `json:"attempts"`
	Outcome  string        `json:"outcome"`
	Status   int           `json:"status,omitempty"`
	Error    string        `json:"error,omitempty"`
	TookMs   int64         `json:"tookMs"`
	arrived  time.Duration
}

type TaleList struct {
	Shard  int            `json:"shard"`
	Epoch  contract.Epoch `json:"epoch"`
	Number int64          `json:"number"`
	Lapsed bool           `json:"lapsed"`
}

type TaleAttempt struct {
	Server   string `json:"server"`
	Verdicts any    `json:"candidates"`
	Proof    string `json:"proof"`
	Error    string `json:"error,omitempty"`
}

type tales struct {
	most  int
	known map[string][]*Tale
	order []string
}

func newTales(most int) *tales { return &tales{most: most, known: map[string][]*Tale{}} }

func (tales *tales) add(tale *Tale) {
	tales.known[tale.Call] = append(tales.known[tale.Call], tale)
	tales.order = append(tales.order, tale.Call)
	for len(tales.order) > tales.most {
		oldest := tales.order[0]
		tales.order = tales.order[1:]
		if tales.known[oldest] = tales.known[oldest][1:]; len(tales.known[oldest]) == 0 {
			delete(tales.known, oldest)
		}
	}
}

func (tales *tales) find(key string) []*Tale { return tales.known[key] }
