// Package retire decides when a server that gets no new calls is idle and can be given back to the platform. A retirement withdraws the server,
// waits until every data node has stopped picking it, and then reads its load reports. Two complete idle reports in a row release it.
package retire

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// Cause is why a server is retired.
type Cause string

// Causes of a retirement.
const (
	ScaleDown Cause = "scale-down"    // the pool has more servers than its scale
	ScaleZero Cause = "scale-to-zero" // the scale of the pool is zero
	Reclaim   Cause = "reclaim"       // the platform takes the server back within a time limit
	Drain     Cause = "drain"         // an operator drained its zone
)

// State is the phase of a retirement.
type State string

// States of a retirement. Released and Aborted are final.
const (
	Withdrawn State = "withdrawn" // gets no new calls; the window has not ended
	Reading   State = "reading"   // load reports are read and were idle so far
	Held      State = "held"      // the last check did not show the server to be idle
	Cutting   State = "cutting"   // the evacuation time of a drain is over; calls that still run have the hold time left
	Released  State = "released"  // the server can be stopped
	Aborted   State = "aborted"   // the server returns to service
)

// requiredIdleReports is the number of complete idle reports in a row that release a server.
const requiredIdleReports = 2

// Terms are the time limits of a retirement. The embedded ones are from the manifest, Lease (the duration of a data node's lease) and
// MessageMargin (an allowance for messages in transit) from the settings. Remaining is the time that the platform leaves for a Reclaim, or 0 if it is unknown.
type Terms struct {
	manifest.Retirement
	Lease         time.Duration
	MessageMargin time.Duration
	Remaining     time.Duration
}

// ReadResult is the result of reading a server's load report at StartedAt. Error is empty if the read succeeded.
type ReadResult struct {
	StartedAt time.Duration
	Report    contract.LoadReport
	Error     string
}

// NodeStatus is what a data node last reported: the number of the server list that it uses and how many of its calls run on the server. It
// reported this at ReportedAt and last got a lease at GrantedAt.
type NodeStatus struct {
	ListNumber int64
	Calls      int64
	ReportedAt time.Duration
	GrantedAt  time.Duration
}

// Evidence is the status of all data nodes that can send calls to the server, by name.
type Evidence struct {
	Nodes map[string]NodeStatus
}

// Retirement is the retirement of one server. ListNumber is the number of the first server list without the server. Reason explains the current
// state. WindowEnd is the earliest time at which a load report counts, IdleReports the number of idle reports in a row, and Attempts how often
// the retirement was begun.
type Retirement struct {
	Server        string
	Cause         Cause
	State         State
	Reason        string
	ListNumber    int64
	Incarnation   string
	WithdrawnAt   time.Duration
	WindowEnd     time.Duration
	IdleReports   int
	Attempts      int
	terms         Terms
	confirmed     bool
	confirmedAt   time.Duration
	lastReport    int64
	nextRead      time.Duration
	readStartedAt time.Duration
	readPending   bool
	deadline      time.Duration
}

// New starts the retirement of a server. Only reports of the given incarnation of the server count.
func New(now time.Duration, server, incarnation string, cause Cause, number int64, terms Terms) *Retirement {
	retirement := &Retirement{Server: server, Cause: cause, ListNumber: number, Incarnation: incarnation, State: Withdrawn, terms: terms}
	retirement.beginAttempt(now)
	switch cause {
	case Reclaim:
		limit := terms.ReclaimTimeout
		if terms.Remaining > 0 {
			limit = min(limit, terms.Remaining)
		}
		retirement.deadline = now + limit
	case Drain:
		retirement.deadline = now + terms.EvacuationTimeout
	default:
		retirement.deadline = now + terms.ScaleDownTimeout
	}
	return retirement
}

// beginAttempt starts the window anew. It lasts at least until a data node that got its lease just before can no longer send a call.
func (retirement *Retirement) beginAttempt(now time.Duration) {
	window := max(retirement.terms.SettleTime, retirement.terms.Lease+retirement.terms.MessageMargin)
	retirement.WithdrawnAt, retirement.WindowEnd, retirement.State = now, now+window, Withdrawn
	retirement.confirmed, retirement.IdleReports, retirement.lastReport, retirement.readPending = false, 0, 0, false
	retirement.Attempts++
}

// ShortenDeadline moves the deadline of a Reclaim to an earlier end announced by the platform.
func (retirement *Retirement) ShortenDeadline(end time.Duration) {
	if retirement.Cause == Reclaim {
		retirement.deadline = min(retirement.deadline, end)
	}
}

// Step advances the retirement on each tick. It reports whether the server's load report should be read now and whether the retirement is
// over.
func (retirement *Retirement) Step(now time.Duration, evidence Evidence) (read bool, over bool) {
	if retirement.State == Released || retirement.State == Aborted {
		return false, true
	}
	retirement.confirm(now, evidence)
	if now >= retirement.deadline && retirement.handleDeadline(now) {
		return false, true
	}
	if now < retirement.WindowEnd || !retirement.confirmed || now < retirement.nextRead {
		return false, false
	}
	if retirement.State == Withdrawn {
		retirement.State = Reading
	}
	for _, node := range evidence.Nodes {
		if node.Calls > 0 && now-node.ReportedAt < retirement.terms.Lease {
			retirement.hold("a data node has a call there")
			retirement.nextRead = now + retirement.terms.ReportInterval
			return false, false
		}
	}
	if retirement.readPending {
		retirement.hold("the last read had no answer")
	}
	retirement.nextRead = now + retirement.terms.ReportInterval
	retirement.readStartedAt, retirement.readPending = now, true
	return true, false
}

// confirm checks that every data node uses a list without the server, or has lost its lease.
func (retirement *Retirement) confirm(now time.Duration, evidence Evidence) {
	if retirement.confirmed {
		return
	}
	for _, node := range evidence.Nodes {
		lapsed := now > node.GrantedAt+retirement.terms.Lease+retirement.terms.MessageMargin
		if node.ListNumber < retirement.ListNumber && !lapsed {
			return
		}
	}
	retirement.confirmed, retirement.confirmedAt = true, now
}

// handleDeadline applies the rule of the cause when the deadline has passed, and reports whether the retirement is over.
func (retirement *Retirement) handleDeadline(now time.Duration) bool {
	switch retirement.Cause {
	case ScaleDown:
		retirement.State, retirement.Reason = Aborted, "hold budget over; back in the picks"
		return true
	case ScaleZero:
		retirement.State, retirement.Reason = Held, "hold budget over; counted, not picked, tried again"
		retirement.deadline = now + retirement.terms.ScaleDownTimeout
		retirement.beginAttempt(now)
		retirement.State = Held
		return false
	case Reclaim:
		retirement.State, retirement.Reason = Released, "the platform's time is over; what still runs is cut"
		return true
	}
	if retirement.State != Cutting {
		retirement.State, retirement.Reason = Cutting, "evacuation time is over; running calls stream on"
		retirement.deadline = now + retirement.terms.ScaleDownTimeout
		return false
	}
	retirement.State, retirement.Reason = Released, "what still runs after evacuation and hold is cut"
	return true
}

// hold starts the count of idle reports anew.
func (retirement *Retirement) hold(reason string) {
	retirement.IdleReports, retirement.Reason = 0, reason
	if retirement.State != Cutting {
		retirement.State = Held
	}
}

// Read processes the result of a read and reports whether it released the server. Only the second complete idle report in a row does.
func (retirement *Retirement) Read(now time.Duration, result ReadResult) bool {
	over := retirement.State == Released || retirement.State == Aborted
	if over || !retirement.readPending || result.StartedAt < retirement.readStartedAt {
		return false
	}
	retirement.readPending = false
	report := result.Report
	sampledAt := result.StartedAt - time.Duration(report.AgeMs)*time.Millisecond
	switch {
	case result.Error != "":
		retirement.hold("read failed: " + result.Error)
	case report.Incarnation != retirement.Incarnation:
		retirement.hold("the server restarted")
	case !report.Complete:
		retirement.hold("the report is partial")
	case !report.Idle():
		retirement.hold("the server is busy")
	case sampledAt < retirement.WindowEnd || sampledAt < retirement.confirmedAt:
		retirement.hold("the report was sampled before the window ended")
	case report.Number <= retirement.lastReport:
		retirement.hold("the report is not a new one")
	default:
		retirement.lastReport = report.Number
		retirement.IdleReports++
		if retirement.State != Cutting {
			retirement.State = Reading
		}
		if retirement.IdleReports >= requiredIdleReports {
			retirement.State, retirement.Reason = Released, "two complete idle reports"
			return true
		}
	}
	return false
}

// ReturnsToService reports whether the server gets calls again when the retirement is over.
func (retirement *Retirement) ReturnsToService() bool { return retirement.State == Aborted }

// RecallsCalls reports whether calls that have not started on the server are recalled and sent to another one.
func (retirement *Retirement) RecallsCalls() bool {
	return retirement.Cause == Reclaim || retirement.Cause == Drain
}
