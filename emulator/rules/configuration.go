package rules

import (
	"slices"
	"time"
)

// taken gives the versions that may be or have been in force, oldest first; one without a clear answer may be.
func (judge *judge) taken() []*Version {
	taken := []*Version{}
	for _, version := range judge.Versions {
		if !version.Invalid && !version.Refused {
			taken = append(taken, version)
		}
	}
	slices.SortStableFunc(taken, func(left, right *Version) int { return int(left.Number - right.Number) })
	return taken
}

// inForce gives the versions that may be in force at a machine in touch between two moments: those sent before its end, but for
// those that a newer version had replaced for longer than the time to spread.
func (judge *judge) inForce(from, until time.Duration) []*Version {
	return judge.inForceOn(from, until, judge.Bounds.Propagate)
}

func (judge *judge) inForceOn(from, until, slack time.Duration) []*Version {
	newest, versions := int64(0), []*Version{}
	for _, version := range judge.taken() {
		if version.Took && version.Acked+slack < from {
			newest = max(newest, version.Number)
		}
	}
	for _, version := range judge.taken() {
		if version.Number >= newest && version.Sent <= until {
			versions = append(versions, version)
		}
	}
	return versions
}

// handled: a machine in touch handles a request as only an older version, a refused or an invalid one allows.
func (judge *judge) handled() {
	for _, try := range judge.Tries {
		if try.Read == 0 || !judge.touched(try.Machine, try.Sent, try.Ended) {
			continue
		}
		versions := judge.inForce(try.Sent, try.Ended)
		if len(versions) == 0 {
			continue
		}
		if try.Status == 404 && !try.Sealed && !slices.ContainsFunc(versions, func(version *Version) bool { return !knows(version, try.Route) }) {
			judge.breach("CONFIG", try.Sent, "%s: %s answered 404, route %s has been there for longer than the time to spread", try.Identity, try.Machine, try.Route)
		}
		for _, run := range judge.runs[try.Identity] {
			if run.Machine == try.Machine && !slices.ContainsFunc(versions, func(version *Version) bool {
				return slices.Contains(version.Routes[try.Route].Services, run.Service)
			}) {
				judge.breach("CONFIG", run.RanAt, "%s: %s sent it to %s, which route %s does not allow any more", try.Identity, try.Machine, run.Service, try.Route)
			}
		}
	}
}

func knows(version *Version, route string) bool {
	_, there := version.Routes[route]
	return there
}

// reverted: in one life of a machine, a request is handled as only an older version allows, after a server saw a newer one there.
func (judge *judge) reverted() {
	shown := map[string][]struct {
		at     time.Duration
		number int64
	}{}
	taken := judge.taken()
	oldest := func(route, service string) int64 {
		for _, version := range taken {
			if slices.Contains(version.Routes[route].Services, service) {
				return version.Number
			}
		}
		return 0
	}
	newest := func(route, service string) int64 {
		for index := len(taken) - 1; index >= 0; index-- {
			if slices.Contains(taken[index].Routes[route].Services, service) {
				return taken[index].Number
			}
		}
		return 0
	}
	for _, run := range judge.Arrivals {
		if try := judge.tries[run.Identity]; run.Ran && try != nil {
			if number := oldest(try.Route, run.Service); number > 0 {
				shown[run.Machine] = append(shown[run.Machine], struct {
					at     time.Duration
					number int64
				}{run.RanAt, number})
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
	for _, run := range judge.Arrivals {
		try := judge.tries[run.Identity]
		if try == nil || !run.Ran || judge.machines[run.Machine] == nil {
			continue
		}
		number := newest(try.Route, run.Service)
		for _, mark := range shown[run.Machine] {
			if number > 0 && number < mark.number && try.Sent > mark.at+judge.Bounds.Revert && !within(judge.machines[run.Machine].Troubles, mark.at, run.RanAt) {
				judge.breach("CONFIG", run.RanAt, "%s went back to a version up to %d, it had shown %d at %v", run.Machine, number, mark.number, mark.at)
				break
			}
		}
	}
}

const fewestLate = 20

// added: routes that were added later are served less than a quarter as often as the first ones.
func (judge *judge) added() {
	first, late := [2]int{}, [2]int{}
	for _, try := range judge.Tries {
		if !judge.touched(try.Machine, try.Sent, try.Ended) || !judge.allowed(try) || within(judge.Unplanned, try.Sent-judge.Bounds.Contact, try.Ended) {
			continue
		}
		count := &first
		if judge.late(try) {
			count = &late
		}
		count[0]++
		if try.Status/100 == 2 && try.Whole {
			count[1]++
		}
	}
	if late[0] >= fewestLate && first[0] > 0 && late[1]*4*first[0] < first[1]*late[0] {
		judge.breach("CONFIG", judge.End, "%d of %d requests on routes that were added later were served, %d of %d on the first ones", late[1], late[0], first[1], first[0])
	}
}

func (judge *judge) late(try *Try) bool {
	return slices.ContainsFunc(judge.Versions, func(version *Version) bool { return version.Routes[try.Route].Late })
}

// accepted: an invalid version is acknowledged, or two are on top of the same one.
func (judge *judge) accepted() {
	bases := map[int64]int64{}
	for _, version := range judge.Versions {
		if !version.Took {
			continue
		}
		if version.Invalid {
			judge.breach("CONFIG", version.Acked, "the invalid version %d was acknowledged", version.Number)
		}
		if other, there := bases[version.Base]; there && other != version.Number {
			judge.breach("CONFIG", version.Acked, "versions %d and %d were both acknowledged on top of %d", other, version.Number, version.Base)
		}
		bases[version.Base] = version.Number
	}
}

// readBack: at the end the configuration doesn't come, is older than the newest acknowledged one, or isn't what was sent.
func (judge *judge) readBack() {
	newest := int64(0)
	for _, version := range judge.Versions {
		if version.Took && !version.Invalid {
			newest = max(newest, version.Number)
		}
	}
	if newest == 0 {
		return
	}
	if len(judge.ReadBacks) == 0 {
		judge.breach("CONFIG", judge.End, "the configuration could not be read back")
	}
	for _, read := range judge.ReadBacks {
		known := slices.ContainsFunc(judge.taken(), func(version *Version) bool { return version.Number == read.Number })
		switch {
		case read.Number < newest:
			rule := "CONFIG"
			if judge.Closing > 0 {
				rule = "LOST"
			}
			judge.breach(rule, read.At, "version %d was read back, %d had been acknowledged", read.Number, newest)
		case !known:
			judge.breach("CONFIG", read.At, "version %d was read back, which was refused or never sent", read.Number)
		case !read.Same:
			judge.breach("CONFIG", read.At, "version %d reads otherwise than it was sent", read.Number)
		}
	}
}
