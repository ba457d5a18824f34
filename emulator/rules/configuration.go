package rules

import (
	"slices"
	"time"
)

// possibleVersions gives the versions that are or may have been in force, oldest first. It includes those that got no clear answer.
func (checker *checker) possibleVersions() []*Version {
	possible := []*Version{}
	for _, version := range checker.Versions {
		if !version.Invalid && !version.Refused {
			possible = append(possible, version)
		}
	}
	slices.SortStableFunc(possible, func(left, right *Version) int { return int(left.Number - right.Number) })
	return possible
}

// versionsInForce gives the versions that a machine in contact may use between two times: all sent before the end, except those that
// an acknowledged newer version replaced longer ago than the propagation bound.
func (checker *checker) versionsInForce(from, until time.Duration) []*Version {
	return checker.versionsInForceWithin(from, until, checker.Bounds.Propagate)
}

// versionsInForceWithin does the same with another propagation bound.
func (checker *checker) versionsInForceWithin(from, until, slack time.Duration) []*Version {
	newest, versions := int64(0), []*Version{}
	for _, version := range checker.possibleVersions() {
		if version.Acknowledged && version.AcknowledgedAt+slack < from {
			newest = max(newest, version.Number)
		}
	}
	for _, version := range checker.possibleVersions() {
		if version.Number >= newest && version.Sent <= until {
			versions = append(versions, version)
		}
	}
	return versions
}

// checkVersionInForce is part of CONFIG: a machine in contact handles requests as a version in force says, not as an outdated,
// refused or invalid one.
func (checker *checker) checkVersionInForce() {
	for _, attempt := range checker.Attempts {
		if attempt.ReadAt == 0 || !checker.inContact(attempt.Machine, attempt.Sent, attempt.Ended) {
			continue
		}
		versions := checker.versionsInForce(attempt.Sent, attempt.Ended)
		if len(versions) == 0 {
			continue
		}
		if attempt.Status == 404 && !attempt.Sealed && !slices.ContainsFunc(versions, func(version *Version) bool { return !hasRoute(version, attempt.Route) }) {
			checker.report("CONFIG", attempt.Sent, "%s: %s answered 404, route %s has been there for longer than the time to spread", attempt.Identity, attempt.Machine, attempt.Route)
		}
		for _, execution := range checker.executions[attempt.Identity] {
			if execution.Machine == attempt.Machine && !slices.ContainsFunc(versions, func(version *Version) bool {
				return slices.Contains(version.Routes[attempt.Route].Services, execution.Service)
			}) {
				checker.report("CONFIG", execution.ExecutedAt, "%s: %s sent it to %s, which route %s does not allow any more", attempt.Identity, attempt.Machine, execution.Service, attempt.Route)
			}
		}
	}
}

// hasRoute tells whether the version defines the route.
func hasRoute(version *Version, route string) bool {
	_, found := version.Routes[route]
	return found
}

// checkReverted is part of CONFIG: within one life, a machine that has used a newer version does not return to an older one.
func (checker *checker) checkReverted() {
	shown := map[string][]struct {
		at     time.Duration
		number int64
	}{}
	possible := checker.possibleVersions()
	oldest := func(route, service string) int64 {
		for _, version := range possible {
			if slices.Contains(version.Routes[route].Services, service) {
				return version.Number
			}
		}
		return 0
	}
	newest := func(route, service string) int64 {
		for index := len(possible) - 1; index >= 0; index-- {
			if slices.Contains(possible[index].Routes[route].Services, service) {
				return possible[index].Number
			}
		}
		return 0
	}
	for _, execution := range checker.Arrivals {
		if attempt := checker.attempts[execution.Identity]; execution.Executed && attempt != nil {
			if number := oldest(attempt.Route, execution.Service); number > 0 {
				shown[execution.Machine] = append(shown[execution.Machine], struct {
					at     time.Duration
					number int64
				}{execution.ExecutedAt, number})
			}
		}
	}
	for machine, all := range shown {
		slices.SortFunc(all, func(left, right struct {
			at     time.Duration
			number int64
		}) int {
			return int(left.at - right.at)
		})
		highest := all[:0:0]
		for _, one := range all {
			if len(highest) == 0 || one.number > highest[len(highest)-1].number {
				highest = append(highest, one)
			}
		}
		shown[machine] = highest
	}
	for _, execution := range checker.Arrivals {
		attempt := checker.attempts[execution.Identity]
		if attempt == nil || !execution.Executed || checker.machines[execution.Machine] == nil {
			continue
		}
		number := newest(attempt.Route, execution.Service)
		for _, mark := range shown[execution.Machine] {
			if number > 0 && number < mark.number && attempt.Sent > mark.at+checker.Bounds.Revert && !overlapsAny(checker.machines[execution.Machine].Troubles, mark.at, execution.ExecutedAt) {
				checker.report("CONFIG", execution.ExecutedAt, "%s went back to a version up to %d, it had shown %d at %v", execution.Machine, number, mark.number, mark.at)
				break
			}
		}
	}
}

// minAddedRouteRequests is the number of requests below which the comparison says nothing.
const minAddedRouteRequests = 20

// checkAddedRoutes is part of CONFIG: routes that were added later are served at least a quarter as often as the first ones.
func (checker *checker) checkAddedRoutes() {
	first, late := [2]int{}, [2]int{}
	for _, attempt := range checker.Attempts {
		if !checker.inContact(attempt.Machine, attempt.Sent, attempt.Ended) || !checker.allowedByConfiguration(attempt) || overlapsAny(checker.Unplanned, attempt.Sent-checker.Bounds.Contact, attempt.Ended) {
			continue
		}
		count := &first
		if checker.onAddedRoute(attempt) {
			count = &late
		}
		count[0]++
		if attempt.Status/100 == 2 && attempt.Complete {
			count[1]++
		}
	}
	if late[0] >= minAddedRouteRequests && first[0] > 0 && late[1]*4*first[0] < first[1]*late[0] {
		checker.report("CONFIG", checker.End, "%d of %d requests on routes that were added later were served, %d of %d on the first ones", late[1], late[0], first[1], first[0])
	}
}

// onAddedRoute tells whether the attempt uses a route that was added after the first version.
func (checker *checker) onAddedRoute(attempt *Attempt) bool {
	return slices.ContainsFunc(checker.Versions, func(version *Version) bool { return version.Routes[attempt.Route].AddedLater })
}

// checkAcknowledgedVersions is part of CONFIG: no invalid version is acknowledged, and no two versions on top of the same base.
func (checker *checker) checkAcknowledgedVersions() {
	bases := map[int64]int64{}
	for _, version := range checker.Versions {
		if !version.Acknowledged {
			continue
		}
		if version.Invalid {
			checker.report("CONFIG", version.AcknowledgedAt, "the invalid version %d was acknowledged", version.Number)
		}
		if other, found := bases[version.Base]; found && other != version.Number {
			checker.report("CONFIG", version.AcknowledgedAt, "versions %d and %d were both acknowledged on top of %d", other, version.Number, version.Base)
		}
		bases[version.Base] = version.Number
	}
}

// checkReadBack is part of CONFIG: at the end of the day the configuration can be read, is at least as new as the newest
// acknowledged version, and equals what was sent. A version that the final fault erased counts as LOST.
func (checker *checker) checkReadBack() {
	newest := int64(0)
	for _, version := range checker.Versions {
		if version.Acknowledged && !version.Invalid {
			newest = max(newest, version.Number)
		}
	}
	if newest == 0 {
		return
	}
	if len(checker.ReadBacks) == 0 {
		checker.report("CONFIG", checker.End, "the configuration could not be read back")
	}
	for _, read := range checker.ReadBacks {
		known := slices.ContainsFunc(checker.possibleVersions(), func(version *Version) bool { return version.Number == read.Number })
		switch {
		case read.Number < newest:
			rule := "CONFIG"
			if checker.FinalFaultAt > 0 {
				rule = "LOST"
			}
			checker.report(rule, read.At, "version %d was read back, %d had been acknowledged", read.Number, newest)
		case !known:
			checker.report("CONFIG", read.At, "version %d was read back, which was refused or never sent", read.Number)
		case !read.Same:
			checker.report("CONFIG", read.At, "version %d reads otherwise than it was sent", read.Number)
		}
	}
}
