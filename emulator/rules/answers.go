package rules

import (
	"slices"
	"time"
)

// checkMixed implements MIXED: a success must come from a server, and an answer must belong to the request that it is given to.
func (checker *checker) checkMixed() {
	for _, attempt := range checker.Attempts {
		if attempt.Status == 0 {
			continue
		}
		if attempt.AnswerIdentity != "" && attempt.AnswerIdentity != attempt.Identity {
			checker.report("MIXED", attempt.Ended, "%s got the answer of %s", attempt.Identity, attempt.AnswerIdentity)
		}
		if attempt.Status/100 == 2 && !attempt.Sealed {
			checker.report("MIXED", attempt.Ended, "%s got a success that no server sealed", attempt.Identity)
		}
		if attempt.Status/100 == 2 && attempt.Complete && !attempt.Stream && !checker.hasCompleteExecution(attempt.Identity) {
			checker.report("MIXED", attempt.Ended, "%s got a success, no server gave one whole", attempt.Identity)
		}
	}
}

// hasCompleteExecution tells whether some server executed the request without breaking off or failing.
func (checker *checker) hasCompleteExecution(identity string) bool {
	return slices.ContainsFunc(checker.executions[identity], func(execution *Arrival) bool { return !execution.Interrupted && !execution.Failed })
}

// checkUnasked implements UNASKED: servers execute only requests that a caller sent, with unchanged content.
func (checker *checker) checkUnasked() {
	for identity, executions := range checker.executions {
		for _, execution := range executions {
			if checker.attempts[identity] == nil {
				checker.report("UNASKED", execution.ExecutedAt, "%s ran at %s, nobody sent it", identity, execution.Server)
			} else if execution.ContentChanged {
				checker.report("UNASKED", execution.ExecutedAt, "%s ran at %s with another content", identity, execution.Server)
			}
		}
	}
}

// checkTwice implements TWICE: a request that is not repeatable is executed at most once.
func (checker *checker) checkTwice() {
	for identity, executions := range checker.executions {
		if attempt := checker.attempts[identity]; attempt != nil && !attempt.Repeatable && len(executions) > 1 {
			checker.report("TWICE", executions[1].ExecutedAt, "%s of %s ran %d times, at %s and %s", identity, attempt.Class, len(executions), executions[0].Server, executions[1].Server)
		}
	}
}

// promisesNotRun tells whether a status promises that the request was not executed and never will be.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// checkRefused implements REFUSED: a request that was answered with such a promise is never executed.
func (checker *checker) checkRefused() {
	for _, attempt := range checker.Attempts {
		if executions := checker.executions[attempt.Identity]; !attempt.Repeatable && promisesNotRun(attempt.Status) && len(executions) > 0 {
			checker.report("REFUSED", attempt.Ended, "%s got %d, it ran at %s at %v", attempt.Identity, attempt.Status, executions[0].Server, executions[0].ExecutedAt)
		}
	}
}

const (
	// deniedAllowance denials and one more for every requestsPerDenial requests are tolerated.
	deniedAllowance   = 5
	requestsPerDenial = 500
)

// checkDenied implements DENIED: machines in contact may end only a few valid requests with a 3xx or 4xx of their own that carries
// no such promise.
func (checker *checker) checkDenied() {
	count, asked, last := 0, 0, time.Duration(0)
	for _, attempt := range checker.Attempts {
		if attempt.Probe {
			continue
		}
		asked++
		own := attempt.Status/100 == 3 || attempt.Status/100 == 4
		if own && !promisesNotRun(attempt.Status) && !attempt.Sealed && checker.allowedByConfiguration(attempt) && checker.inContact(attempt.Machine, attempt.Sent, attempt.Ended) {
			count, last = count+1, attempt.Ended
		}
	}
	if count > deniedAllowance+asked/requestsPerDenial {
		checker.report("DENIED", last, "%d of %d proper requests were ended with a 3xx or 4xx", count, asked)
	}
}

// allowedByConfiguration tells whether every version that may be in force has the route and accepts the key.
func (checker *checker) allowedByConfiguration(attempt *Attempt) bool {
	versions := checker.versionsInForce(attempt.Sent, attempt.Ended)
	for _, version := range versions {
		if _, found := version.Routes[attempt.Route]; !found || !acceptsKey(version, attempt.Key) {
			return false
		}
	}
	return len(versions) > 0
}

// checkRoute implements ROUTE: a request is executed only at a service that some version ever assigned to its route, and only at the
// server that the node meant.
func (checker *checker) checkRoute() {
	for identity, executions := range checker.executions {
		attempt := checker.attempts[identity]
		if attempt == nil {
			continue
		}
		for _, execution := range executions {
			if !slices.ContainsFunc(checker.Versions, func(version *Version) bool {
				return !version.Invalid && slices.Contains(version.Routes[attempt.Route].Services, execution.Service)
			}) {
				checker.report("ROUTE", execution.ExecutedAt, "%s of route %s ran at service %s", identity, attempt.Route, execution.Service)
			}
			if execution.Target != "" && execution.Target != execution.Server {
				checker.report("ROUTE", execution.ExecutedAt, "%s was meant for %s and ran at %s", identity, execution.Target, execution.Server)
			}
		}
	}
}

// checkOrder implements ORDER: the pieces of a stream come without gaps or repetition and, unless the call is resumable, from one
// execution; a stream that ends as complete has all of them.
func (checker *checker) checkOrder() {
	for _, attempt := range checker.Attempts {
		if !attempt.Stream || attempt.Status/100 != 2 {
			continue
		}
		want, execution := attempt.ResumeAfter+1, int64(0)
		for _, piece := range attempt.Pieces {
			if piece.Number != want {
				checker.report("ORDER", piece.ReceivedAt, "%s got piece %d in the place of %d", attempt.Identity, piece.Number, want)
				break
			}
			if execution != 0 && piece.ExecutionID != execution && !attempt.Resumable {
				checker.report("ORDER", piece.ReceivedAt, "%s got pieces of two runs", attempt.Identity)
				break
			}
			want, execution = want+1, piece.ExecutionID
		}
		if attempt.Complete && want <= attempt.TotalPieces {
			checker.report("ORDER", attempt.Ended, "%s ended as whole at piece %d of %d", attempt.Identity, want-1, attempt.TotalPieces)
		}
	}
}

// checkHome implements HOME: a request that is bound to regions reaches servers in these alone. Nodes of the emulator don't pass
// bodies on to each other, so only the choice of servers can break the rule.
func (checker *checker) checkHome() {
	for identity, arrivals := range checker.arrivals {
		attempt := checker.attempts[identity]
		if attempt == nil || len(attempt.Regions) == 0 {
			continue
		}
		for _, arrival := range arrivals {
			if !slices.Contains(attempt.Regions, arrival.Region) {
				checker.report("HOME", arrival.ArrivedAt, "%s of homes %v reached %s in %s", identity, attempt.Regions, arrival.Server, arrival.Region)
			}
		}
	}
}

// checkLost implements LOST: a request that a node has read gets an answer while its machine stops as planned, and requests are not
// lost much more often during configuration changes than at other times.
func (checker *checker) checkLost() {
	changes := map[string][2]int{}
	for _, attempt := range checker.Attempts {
		machine := checker.machines[attempt.Machine]
		if machine == nil || !checker.endedWithoutAnswer(attempt) || checker.serverAtFault(attempt) || checker.nearUnplannedTrouble(attempt) {
			continue
		}
		passed := len(checker.arrivals[attempt.Identity]) > 0
		if !passed && attempt.Ended-attempt.Sent <= checker.Bounds.Loss {
			continue
		}
		if checker.overlapsStop(machine, attempt) {
			checker.report("LOST", attempt.Ended, "%s was read by %s while it stopped, and got no whole answer", attempt.Identity, attempt.Machine)
			continue
		}
		count := changes[attempt.Machine]
		if checker.configurationChanging(attempt.Ended) {
			count[0]++
		} else {
			count[1]++
		}
		changes[attempt.Machine] = count
	}
	within, beyond := checker.configurationChangeTime()
	for name, count := range changes {
		during, others := float64(count[0])*beyond.Seconds(), float64(count[1])*within.Seconds()
		if count[0] >= minLostDuringChanges && during > maxLossRateRatio*others {
			checker.report("LOST", checker.End, "%s ended %d requests without an answer in %v of changes, %d in %v of other times", name, count[0], within, count[1], beyond)
		}
	}
}

const (
	// A machine breaks the rule with at least minLostDuringChanges losses, at more than maxLossRateRatio times the usual rate.
	minLostDuringChanges = 3
	maxLossRateRatio     = 3
)

// endedWithoutAnswer tells whether a request that a node had read got no complete answer before its deadline.
func (checker *checker) endedWithoutAnswer(attempt *Attempt) bool {
	open := attempt.Status == 0 || attempt.Status/100 == 2 && !attempt.Complete
	return open && attempt.ReadAt > 0 && !attempt.Abandoned && attempt.Ended < attempt.Deadline
}

// configurationChanging tells whether an accepted version is being sent or may still be spreading; a second is added for slow
// machines.
func (checker *checker) configurationChanging(at time.Duration) bool {
	return slices.ContainsFunc(checker.possibleVersions(), func(version *Version) bool {
		return version.Acknowledged && version.Sent <= at && at <= version.AcknowledgedAt+checker.Bounds.Propagate+time.Second
	})
}

// configurationChangeTime splits the time of traffic into the part with a configuration change under way and the part without.
func (checker *checker) configurationChangeTime() (within, beyond time.Duration) {
	const step = 100 * time.Millisecond
	for at := checker.Traffic.From; at < checker.Traffic.Until; at += step {
		if checker.configurationChanging(at) {
			within += step
		} else {
			beyond += step
		}
	}
	return within, beyond
}

// overlapsStop tells whether the attempt was under way during a planned stop of its machine.
func (checker *checker) overlapsStop(machine *Machine, attempt *Attempt) bool {
	return slices.ContainsFunc(machine.Stops, func(stop time.Duration) bool {
		return attempt.Ended >= stop && attempt.Sent <= stop+checker.Bounds.Grace+time.Second
	})
}

const (
	// A server excuses a lost answer if it was still at work in the last part of the grace period, of excusedGraceParts equal ones, on a request
	// that was sent at most excusedSendTime after the stop began.
	excusedGraceParts = 6
	excusedSendTime   = 3 * time.Second
)

// serverAtFault excuses a lost answer if the server broke off or failed, or was still working at the end of the grace period of a stop on a
// request that was sent early in it.
func (checker *checker) serverAtFault(attempt *Attempt) bool {
	for _, arrival := range checker.arrivals[attempt.Identity] {
		if arrival.Interrupted || arrival.Failed {
			return true
		}
		for _, stop := range checker.machines[attempt.Machine].Stops {
			late := stop + checker.Bounds.Grace*(excusedGraceParts-1)/excusedGraceParts
			if attempt.Sent <= stop+excusedSendTime && arrival.ArrivedAt <= stop+checker.Bounds.Grace && arrival.Ended >= late {
				return true
			}
		}
	}
	return false
}

// nearUnplannedTrouble tells whether an unplanned trouble touched the attempt or the contact time before it.
func (checker *checker) nearUnplannedTrouble(attempt *Attempt) bool {
	return overlapsAny(checker.Unplanned, attempt.Sent-checker.Bounds.Contact, attempt.Ended)
}
