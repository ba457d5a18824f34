// Package retire decides when a withdrawn server is empty: withdrawal, window, two complete idle reports, release or hold.
package retire

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

type Cause string

const (
	ScaleDown Cause = "scale-down"
	ScaleZero Cause = "scale-to-zero"
	Reclaim   Cause = "reclaim"
	Drain     Cause = "drain"
)

type State string

const (
	Withdrawn State = "withdrawn"
	Reading   State = "reading"
	Held      State = "held"
	Cutting   State = "cutting"
	Released  State = "released"
	Aborted   State = "aborted"
)

const idleReads = 2

// Terms are the bounds of one retirement, from the manifest and the settings.
type Terms struct {
	manifest.Retirement
	Lease     time.Duration
	Link      time.Duration
	Remaining time.Duration
}

// Outcome is one try to read a server's report; a failed one has a Error.
type Outcome struct {
	Began  time.Duration
	Report contract.LoadReport
	Error  string
}

// Word is what a data node last told of its pick list and of its own calls on the server.
type Word struct {
	Number  int64
	Calls   int64
	Told    time.Duration
	Granted time.Duration
}

type Facts struct {
	Words map[string]Word
}

type Retirement struct {
	Server      string
	Cause       Cause
	State       State
	Reason      string
	Number      int64
	Incarnation string
	Since       time.Duration
	Ready       time.Duration
	Idle        int
	Tries       int
	terms       Terms
	confirmed   bool
	confirmedAt time.Duration
	lastReport  int64
	nextRead    time.Duration
	asked       time.Duration
	asking      bool
	deadline    time.Duration
}

func New(now time.Duration, server, incarnation string, cause Cause, number int64, terms Terms) *Retirement {
	retirement := &Retirement{Server: server, Cause: cause, Number: number, Incarnation: incarnation, State: Withdrawn, terms: terms}
	retirement.restart(now)
	switch cause {
	case Reclaim:
		limit := terms.Drain
		if terms.Remaining > 0 {
			limit = min(limit, terms.Remaining)
		}
		retirement.deadline = now + limit
	case Drain:
		retirement.deadline = now + terms.Evacuation
	default:
		retirement.deadline = now + terms.Hold
	}
	return retirement
}

func (retirement *Retirement) restart(now time.Duration) {
	window := max(retirement.terms.Window, retirement.terms.Lease+retirement.terms.Link)
	retirement.Since, retirement.Ready, retirement.State = now, now+window, Withdrawn
	retirement.confirmed, retirement.Idle, retirement.lastReport, retirement.asking = false, 0, 0, false
	retirement.Tries++
}

// Shorten takes a nearer end that the platform has set.
func (retirement *Retirement) Shorten(end time.Duration) {
	if retirement.Cause == Reclaim {
		retirement.deadline = min(retirement.deadline, end)
	}
}

// Step looks at the data nodes' words and the time; it tells whether to read the server's report now and whether it is over.
func (retirement *Retirement) Step(now time.Duration, facts Facts) (read bool, over bool) {
	if retirement.State == Released || retirement.State == Aborted {
		return false, true
	}
	retirement.confirm(now, facts)
	if now >= retirement.deadline && retirement.pastDeadline(now) {
		return false, true
	}
	if now < retirement.Ready || !retirement.confirmed || now < retirement.nextRead {
		return false, false
	}
	if retirement.State == Withdrawn {
		retirement.State = Reading
	}
	for _, word := range facts.Words {
		if word.Calls > 0 && now-word.Told < retirement.terms.Lease {
			retirement.hold("a data node has a call there")
			retirement.nextRead = now + retirement.terms.Poll
			return false, false
		}
	}
	if retirement.asking {
		retirement.hold("the last read had no answer")
	}
	retirement.nextRead = now + retirement.terms.Poll
	retirement.asked, retirement.asking = now, true
	return true, false
}

func (retirement *Retirement) confirm(now time.Duration, facts Facts) {
	if retirement.confirmed {
		return
	}
	for _, word := range facts.Words {
		lapsed := now > word.Granted+retirement.terms.Lease+retirement.terms.Link
		if word.Number < retirement.Number && !lapsed {
			return
		}
	}
	retirement.confirmed, retirement.confirmedAt = true, now
}

func (retirement *Retirement) pastDeadline(now time.Duration) bool {
	switch retirement.Cause {
	case ScaleDown:
		retirement.State, retirement.Reason = Aborted, "hold budget over; back in the picks"
		return true
	case ScaleZero:
		retirement.State, retirement.Reason = Held, "hold budget over; counted, not picked, tried again"
		retirement.deadline = now + retirement.terms.Hold
		retirement.restart(now)
		retirement.State = Held
		return false
	case Reclaim:
		retirement.State, retirement.Reason = Released, "the platform's time is over; what still runs is cut"
		return true
	}
	if retirement.State != Cutting {
		retirement.State, retirement.Reason = Cutting, "evacuation time is over; running calls stream on"
		retirement.deadline = now + retirement.terms.Hold
		return false
	}
	retirement.State, retirement.Reason = Released, "what still runs after evacuation and hold is cut"
	return true
}

func (retirement *Retirement) hold(reason string) {
	retirement.Idle, retirement.Reason = 0, reason
	if retirement.State != Cutting {
		retirement.State = Held
	}
}

// Read takes the end of one read; only the second idle one in a row releases.
func (retirement *Retirement) Read(now time.Duration, outcome Outcome) bool {
	over := retirement.State == Released || retirement.State == Aborted
	if over || !retirement.asking || outcome.Began < retirement.asked {
		return false
	}
	retirement.asking = false
	report := outcome.Report
	sampled := outcome.Began - time.Duration(report.AgeMs)*time.Millisecond
	switch {
	case outcome.Error != "":
		retirement.hold("read failed: " + outcome.Error)
	case report.Incarnation != retirement.Incarnation:
		retirement.hold("the server restarted")
	case !report.Complete:
		retirement.hold("the report is partial")
	case !report.Idle():
		retirement.hold("the server is busy")
	case sampled < retirement.Ready || sampled < retirement.confirmedAt:
		retirement.hold("the report was sampled before the window ended")
	case report.Number <= retirement.lastReport:
		retirement.hold("the report is not a new one")
	default:
		retirement.lastReport = report.Number
		retirement.Idle++
		if retirement.State != Cutting {
			retirement.State = Reading
		}
		if retirement.Idle >= idleReads {
			retirement.State, retirement.Reason = Released, "two complete idle reports"
			return true
		}
	}
	return false
}

// Returns tells whether the server goes back to the picks when the retirement is over.
func (retirement *Retirement) Returns() bool { return retirement.State == Aborted }

// Recalls tells whether calls that never started there should be called back.
func (retirement *Retirement) Recalls() bool {
	return retirement.Cause == Reclaim || retirement.Cause == Drain
}
