package rig

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// gatewayBreach is one breach of a rule by an attempt.
type gatewayBreach struct {
	rule    string
	attempt *gatewayAttempt
	detail  string
	// lines are the lines of the machine's log that name the attempt.
	lines []string
}

func (breach gatewayBreach) String() string {
	attempt := breach.attempt
	text := fmt.Sprintf("%s: %s (%s) at %s, request %d of its connection, sent %v, ended %v, status %d, %d of %d pieces, %q: %s", breach.rule, attempt.ID, attempt.Kind, attempt.Machine.name,
		attempt.RequestOfConn, attempt.Sent.Round(time.Millisecond), attempt.Ended.Round(time.Millisecond), attempt.Status, len(attempt.Pieces), attempt.WantPieces, attempt.Error, breach.detail)
	for _, line := range breach.lines {
		text += "\n    " + line
	}
	return text
}

const (
	// excusedSendTime is how long after SIGTERM a request may be sent whose loss a server excuses that is still at work in the last
	// excusedGraceShare of the grace period.
	excusedSendTime   = 3 * time.Second
	excusedGraceShare = 6
	// stopTail is how long after the grace period a request still counts as sent around a stop.
	stopTail = time.Second
	// maxLossesInCalm is how many requests a machine may lose at other times.
	maxLossesInCalm = 3
)

// check checks the record against the rules and returns all breaches.
func (fleet *gatewayFleet) check() []gatewayBreach {
	record := fleet.record
	record.lock.Lock()
	defer record.lock.Unlock()
	breaches := []gatewayBreach{}
	report := func(rule string, attempt *gatewayAttempt, format string, values ...any) {
		breaches = append(breaches, gatewayBreach{rule, attempt, fmt.Sprintf(format, values...), attempt.Machine.logLines(dataRole, "attempt="+attempt.ID+" ")})
	}
	lostInCalm := map[*gatewayMachine][]*gatewayAttempt{}
	for _, attempt := range record.attempts {
		runs := record.runs[attempt.ID]
		fleet.counts["attempts answered "+fmt.Sprint(attempt.Status)]++
		fleet.checkAnswer(attempt, runs, report)
		if !attempt.lost(runs) || attempt.Machine.troubledAround(attempt) {
			continue
		}
		switch stop, planned := attempt.Machine.plannedWork(attempt); {
		case stop != nil && stop.excuses(attempt, runs):
			fleet.counts["losses excused by a server at work"]++
		case stop != nil:
			report("LOST", attempt, "SIGTERM at %v, process ended at %v, killed %v, runs %s", stop.at.Round(time.Millisecond), stop.endedAt.Round(time.Millisecond), stop.killed, describeRuns(runs))
		case planned:
			report("LOST", attempt, "cut after a SIGHUP, runs %s", describeRuns(runs))
		default:
			lostInCalm[attempt.Machine] = append(lostInCalm[attempt.Machine], attempt)
		}
	}
	for _, attempts := range lostInCalm {
		fleet.counts["losses at other times"] += len(attempts)
		if len(attempts) > maxLossesInCalm {
			report("LOST", attempts[0], "and %d more at other times than stops", len(attempts)-1)
		}
	}
	return breaches
}

// checkAnswer checks MIXED, ORDER, REFUSED and TWICE for one attempt.
func (fleet *gatewayFleet) checkAnswer(attempt *gatewayAttempt, runs []*gatewayRun, report func(string, *gatewayAttempt, string, ...any)) {
	success := attempt.Status/100 == 2
	// A faulty server's own whole answer has no pieces.
	shortByFault := slices.ContainsFunc(runs, func(run *gatewayRun) bool { return run.Faulty && run.Whole })
	runs = slices.DeleteFunc(slices.Clone(runs), func(run *gatewayRun) bool { return run.NotRun })
	if attempt.AnswerID != "" && attempt.AnswerID != attempt.ID || success && attempt.AnswerID == "" {
		report("MIXED", attempt, "got the answer of %q", attempt.AnswerID)
	}
	for index, number := range attempt.Pieces {
		if number != index+1 {
			report("ORDER", attempt, "piece %d in the place of %d", number, index+1)
			break
		}
	}
	if success && attempt.Complete && len(attempt.Pieces) != attempt.WantPieces && !shortByFault {
		report("ORDER", attempt, "looks whole")
	}
	if !attempt.Repeatable && len(runs) > 1 {
		report("TWICE", attempt, "runs %s", describeRuns(runs))
	}
	if attempt.Status == 503 && !attempt.Repeatable && len(runs) > 0 {
		report("REFUSED", attempt, "runs %s", describeRuns(runs))
	}
}

// lost reports whether a request got no whole answer though it was passed on to a server, or was left unanswered for long, and neither its
// time was over nor the server at fault.
func (attempt *gatewayAttempt) lost(runs []*gatewayRun) bool {
	answered := attempt.Complete && attempt.Status != 0
	brokenOff := slices.ContainsFunc(runs, func(run *gatewayRun) bool { return run.BrokenOff })
	if answered || brokenOff || attempt.Ended >= attempt.GiveUp {
		return false
	}
	return len(runs) > 0 || attempt.Ended-attempt.Sent > gatewayLossSlack
}

// troubledAround reports whether the machine was killed or frozen from the contact time before the request until its end.
func (machine *gatewayMachine) troubledAround(attempt *gatewayAttempt) bool {
	return slices.ContainsFunc(machine.troubles, func(trouble timeSpan) bool {
		return trouble.from <= attempt.Ended && trouble.until >= attempt.Sent-machine.fleet.shape.contact
	})
}

// plannedWork returns the stop during which the request was lost, if any, and whether it was lost around a stop or a SIGHUP.
func (machine *gatewayMachine) plannedWork(attempt *gatewayAttempt) (*gatewayStop, bool) {
	for _, stop := range machine.stops {
		if attempt.Ended >= stop.at && attempt.Sent <= stop.at+machine.fleet.shape.grace+stopTail {
			return stop, true
		}
	}
	return nil, slices.ContainsFunc(machine.hangups, func(at time.Duration) bool {
		return attempt.Sent <= at+machine.fleet.shape.propagate && attempt.Ended >= at
	})
}

// excuses reports whether a server was still at work in the last part of the grace period on a request that was sent early in it.
func (stop *gatewayStop) excuses(attempt *gatewayAttempt, runs []*gatewayRun) bool {
	late := stop.at + attempt.Machine.fleet.shape.grace*(excusedGraceShare-1)/excusedGraceShare
	return attempt.Sent <= stop.at+excusedSendTime && slices.ContainsFunc(runs, func(run *gatewayRun) bool {
		return run.EndedAt == 0 || run.EndedAt >= late
	})
}

func describeRuns(runs []*gatewayRun) string {
	texts := []string{}
	for _, run := range runs {
		texts = append(texts, fmt.Sprintf("%s %v to %v whole %v", run.Server, run.StartedAt.Round(time.Millisecond), run.EndedAt.Round(time.Millisecond), run.Whole))
	}
	return strings.Join(texts, ", ")
}
