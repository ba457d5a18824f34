package rules

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// checkDrain implements DRAIN: a machine in contact sends no request to a server after the drain bound has passed since the list
// showed that it leaves. Time in which the list could not be read extends the bound.
func (checker *checker) checkDrain() {
	shown := map[string]time.Duration{}
	for _, leaving := range checker.Departures {
		if _, found := shown[leaving.Server]; !found {
			shown[leaving.Server] = leaving.ListedAt
		}
	}
	for _, arrival := range checker.Arrivals {
		listedAt, found := shown[arrival.Server]
		if !found || arrival.WrongServer {
			continue
		}
		bound := listedAt + checker.Bounds.Drain
		for _, span := range checker.ListOutages {
			if span.overlaps(listedAt, bound) {
				bound += span.Until - max(span.From, listedAt)
			}
		}
		if arrival.Sent > bound && checker.inContact(arrival.Machine, arrival.Sent, arrival.Sent) {
			checker.report("DRAIN", arrival.ArrivedAt, "%s reached %s %v after the list showed that it leaves", arrival.Identity, arrival.Server, (arrival.ArrivedAt - listedAt).Round(time.Millisecond))
		}
	}
}

// checkEvacuation implements EVAC: a machine in contact sends no request to a zone that has been drained for longer than the bound.
func (checker *checker) checkEvacuation() {
	for _, evacuation := range checker.Evacuations {
		if evacuation.Cancel || !evacuation.Acknowledged {
			continue
		}
		returned := checker.End
		for _, other := range checker.Evacuations {
			if other.Cancel && other.Zone == evacuation.Zone && (!other.Acknowledged || other.AcknowledgedAt > evacuation.Sent) {
				returned = min(returned, max(other.Sent, evacuation.AcknowledgedAt))
			}
		}
		for _, arrival := range checker.Arrivals {
			if arrival.Zone != evacuation.Zone || arrival.WrongServer || arrival.Sent <= evacuation.AcknowledgedAt+checker.Bounds.Evacuate || arrival.ArrivedAt >= returned {
				continue
			}
			if checker.inContact(arrival.Machine, arrival.Sent, arrival.Sent) {
				checker.report("EVAC", arrival.ArrivedAt, "%s reached %s %v after %s was to be empty", arrival.Identity, arrival.Server, arrival.ArrivedAt-evacuation.AcknowledgedAt, evacuation.Zone)
			}
		}
	}
}

// checkFailback implements FAILBACK: a cold server gets no more requests in any second than it can take. Only requests that were
// both sent and received within the second count, so that delayed messages don't add up.
func (checker *checker) checkFailback() {
	cold := map[string][]*Arrival{}
	for _, arrival := range checker.Arrivals {
		if arrival.Cold && !arrival.WrongServer {
			cold[arrival.Server] = append(cold[arrival.Server], arrival)
		}
	}
	for _, server := range slices.Sorted(maps.Keys(cold)) {
		arrivals := cold[server]
		sort.SliceStable(arrivals, func(left, right int) bool { return arrivals[left].ArrivedAt < arrivals[right].ArrivedAt })
		limit := checker.Services[arrivals[0].Service].ColdPerS*checker.Bounds.WarmupOverage + checker.Bounds.WarmupAllowance
		first := 0
		for last, arrival := range arrivals {
			for arrivals[first].ArrivedAt < arrival.ArrivedAt-time.Second {
				first++
			}
			count := 0
			for _, one := range arrivals[first : last+1] {
				if one.Sent >= arrival.ArrivedAt-time.Second {
					count++
				}
			}
			if float64(count) > limit && limit > checker.Bounds.WarmupAllowance {
				checker.report("FAILBACK", arrival.ArrivedAt, "the cold %s got %d requests in a second, it bears %.0f", server, count, limit)
				break
			}
		}
	}
}

// checkBudget implements BUDGET: repeated arrivals in a window stay below the retry ratio. They are compared with the requests of
// the same window, the one before, or the one half a window earlier, whichever has most.
func (checker *checker) checkBudget() {
	requests, extras := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, attempt := range checker.Attempts {
		requests[attempt.Service] = append(requests[attempt.Service], attempt.Sent)
	}
	seen := map[string]bool{}
	arrivals := slices.Clone(checker.Arrivals)
	sort.SliceStable(arrivals, func(left, right int) bool { return arrivals[left].ArrivedAt < arrivals[right].ArrivedAt })
	for _, arrival := range arrivals {
		if seen[arrival.Identity] {
			extras[arrival.Service] = append(extras[arrival.Service], arrival.ArrivedAt)
		}
		seen[arrival.Identity] = true
	}
	for _, service := range slices.Sorted(maps.Keys(extras)) {
		sent, first := requests[service], 0
		slices.Sort(sent)
		between := func(from, until time.Duration) int {
			return sort.Search(len(sent), func(index int) bool { return sent[index] > until }) - sort.Search(len(sent), func(index int) bool { return sent[index] > from })
		}
		for last, until := range extras[service] {
			for extras[service][first] <= until-checker.Bounds.RetryWindow {
				first++
			}
			window := checker.Bounds.RetryWindow
			limit := max(between(until-window, until), between(until-2*window, until-window), between(until-window*3/2, until-window/2))
			if allowed := checker.Bounds.RetryRatio*float64(limit) + checker.Bounds.RetryAllowance; float64(last-first+1) > allowed {
				checker.report("BUDGET", until, "%s got %d further arrivals in a window, %.0f are allowed", service, last-first+1, allowed)
				break
			}
		}
	}
}

// servedShareDivisor makes a quarter the share of requests that counts as serving.
const servedShareDivisor = 4

// checkRecovery implements RECOVER: if at least a quarter of requests was served before the final fault, at least a quarter is
// served again once the recovery bound has passed.
func (checker *checker) checkRecovery() {
	if checker.FinalFaultAt == 0 {
		return
	}
	before, after := [2]int{}, [2]int{}
	for _, attempt := range checker.Attempts {
		var count *[2]int
		switch {
		case attempt.Probe:
			continue
		case attempt.Ended < checker.FinalFaultAt:
			count = &before
		case attempt.Sent > checker.RestartedAt+checker.Bounds.Recover:
			count = &after
		default:
			continue
		}
		count[0]++
		if attempt.Status/100 == 2 && attempt.Complete {
			count[1]++
		}
	}
	if before[1]*servedShareDivisor >= before[0] && after[0] > 0 && after[1]*servedShareDivisor < after[0] {
		checker.report("RECOVER", checker.End, "%d of %d requests were served after the return, %d of %d before the fault", after[1], after[0], before[1], before[0])
	}
}

// checkAcknowledgement implements ACKS: a valid order is acknowledged within its bound while the core is stable. Large
// configurations get 3 ms more for each route.
func (checker *checker) checkAcknowledgement() {
	wait := func(what string, sent, ended time.Duration, took bool, routes int) {
		bound := checker.Bounds.Ack + time.Duration(routes)*3*time.Millisecond
		end := sent + bound
		if (!took || ended > end) && end < checker.End && checker.coreStable(sent, end) && !overlapsAny(checker.Unplanned, sent-checker.Bounds.Contact, end) {
			checker.report("ACKS", end, "%s sent at %v had no acknowledgement", what, sent)
		}
	}
	for _, version := range checker.Versions {
		if !version.Invalid && !version.Refused {
			wait("a configuration", version.Sent, version.AcknowledgedAt, version.Acknowledged, len(version.Routes))
		}
	}
	for _, evacuation := range checker.Evacuations {
		wait("an evacuation of "+evacuation.Zone, evacuation.Sent, evacuation.AcknowledgedAt, evacuation.Acknowledged, 0)
	}
}
