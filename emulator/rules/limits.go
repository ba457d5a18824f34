package rules

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// drain: a machine in touch sends a request to a server for too long after the list showed that it leaves, and after one in touch
// could have told so. The time while the list could not be read isn't counted.
func (judge *judge) drain() {
	shown := map[string]time.Duration{}
	for _, leaving := range judge.Leavings {
		if _, there := shown[leaving.Server]; !there {
			shown[leaving.Server] = leaving.Shown
		}
	}
	for _, arrival := range judge.Arrivals {
		moment, there := shown[arrival.Server]
		if !there || arrival.Moved {
			continue
		}
		bound := moment + judge.Bounds.Drain
		for _, span := range judge.ListTroubles {
			if span.touches(moment, bound) {
				bound += span.Until - max(span.From, moment)
			}
		}
		if arrival.Sent > bound && judge.touched(arrival.Machine, arrival.Sent, arrival.Sent) {
			judge.breach("DRAIN", arrival.At, "%s reached %s %v after the list showed that it leaves", arrival.Identity, arrival.Server, (arrival.At - moment).Round(time.Millisecond))
		}
	}
}

// evacuated: a machine in touch sends a request to a server of a zone that has been emptied for longer than the bound.
func (judge *judge) evacuated() {
	for _, order := range judge.Evacuations {
		if order.Off || !order.Took {
			continue
		}
		back := judge.End
		for _, other := range judge.Evacuations {
			if other.Off && other.Zone == order.Zone && (!other.Took || other.Acked > order.Sent) {
				back = min(back, max(other.Sent, order.Acked))
			}
		}
		for _, arrival := range judge.Arrivals {
			if arrival.Zone != order.Zone || arrival.Moved || arrival.Sent <= order.Acked+judge.Bounds.Evacuate || arrival.At >= back {
				continue
			}
			if judge.touched(arrival.Machine, arrival.Sent, arrival.Sent) {
				judge.breach("EVAC", arrival.At, "%s reached %s %v after %s was to be empty", arrival.Identity, arrival.Server, arrival.At-order.Acked, order.Zone)
			}
		}
	}
}

// failback: a cold server gets more requests in a second than it bears. Only those sent and arrived inside the second count.
func (judge *judge) failback() {
	cold := map[string][]*Arrival{}
	for _, arrival := range judge.Arrivals {
		if arrival.Cold && !arrival.Moved {
			cold[arrival.Server] = append(cold[arrival.Server], arrival)
		}
	}
	for _, server := range slices.Sorted(maps.Keys(cold)) {
		arrivals := cold[server]
		sort.SliceStable(arrivals, func(left, right int) bool { return arrivals[left].At < arrivals[right].At })
		most := judge.Services[arrivals[0].Service].ColdPerS*judge.Bounds.WarmupOverage + judge.Bounds.WarmupAllowance
		first := 0
		for last, arrival := range arrivals {
			for arrivals[first].At < arrival.At-time.Second {
				first++
			}
			count := 0
			for _, one := range arrivals[first : last+1] {
				if one.Sent >= arrival.At-time.Second {
					count++
				}
			}
			if float64(count) > most && most > judge.Bounds.WarmupAllowance {
				judge.breach("FAILBACK", arrival.At, "the cold %s got %d requests in a second, it bears %.0f", server, count, most)
				break
			}
		}
	}
}

// budget: arrivals beyond the first of each request against the requests of the window, of the one before, or of the one half a
// window before, whichever has most.
func (judge *judge) budget() {
	requests, extras := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, try := range judge.Tries {
		requests[try.Service] = append(requests[try.Service], try.Sent)
	}
	seen := map[string]bool{}
	arrivals := slices.Clone(judge.Arrivals)
	sort.SliceStable(arrivals, func(left, right int) bool { return arrivals[left].At < arrivals[right].At })
	for _, arrival := range arrivals {
		if seen[arrival.Identity] {
			extras[arrival.Service] = append(extras[arrival.Service], arrival.At)
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
			for extras[service][first] <= until-judge.Bounds.RetryWindow {
				first++
			}
			window := judge.Bounds.RetryWindow
			most := max(between(until-window, until), between(until-2*window, until-window), between(until-window*3/2, until-window/2))
			if allowed := judge.Bounds.RetryRatio*float64(most) + judge.Bounds.RetryAllowance; float64(last-first+1) > allowed {
				judge.breach("BUDGET", until, "%s got %d further arrivals in a window, %.0f are allowed", service, last-first+1, allowed)
				break
			}
		}
	}
}

const quarter = 4

// recovered: a quarter or more was served before the closing fault, and fewer than a quarter after the bound on recovery.
func (judge *judge) recovered() {
	if judge.Closing == 0 {
		return
	}
	before, after := [2]int{}, [2]int{}
	for _, try := range judge.Tries {
		var count *[2]int
		switch {
		case try.Probe:
			continue
		case try.Ended < judge.Closing:
			count = &before
		case try.Sent > judge.Returned+judge.Bounds.Recover:
			count = &after
		default:
			continue
		}
		count[0]++
		if try.Status/100 == 2 && try.Whole {
			count[1]++
		}
	}
	if before[1]*quarter >= before[0] && after[0] > 0 && after[1]*quarter < after[0] {
		judge.breach("RECOVER", judge.End, "%d of %d requests were served after the return, %d of %d before the fault", after[1], after[0], before[1], before[0])
	}
}

// acknowledged: a proper order waits for longer than its bound while the core was settled all the time.
func (judge *judge) acknowledged() {
	wait := func(what string, sent, ended time.Duration, took bool, routes int) {
		bound := judge.Bounds.Ack + time.Duration(routes)*3*time.Millisecond
		end := sent + bound
		if (!took || ended > end) && end < judge.End && judge.settled(sent, end) && !within(judge.Unplanned, sent-judge.Bounds.Contact, end) {
			judge.breach("ACKS", end, "%s sent at %v had no acknowledgement", what, sent)
		}
	}
	for _, version := range judge.Versions {
		if !version.Invalid && !version.Refused {
			wait("a configuration", version.Sent, version.Acked, version.Took, len(version.Routes))
		}
	}
	for _, order := range judge.Evacuations {
		wait("an evacuation of "+order.Zone, order.Sent, order.Acked, order.Took, 0)
	}
}
