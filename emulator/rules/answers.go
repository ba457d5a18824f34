package rules

import (
	"slices"
	"time"
)

// mixed: a success that is not the server's own, or any answer that belongs to another request.
func (judge *judge) mixed() {
	for _, try := range judge.Tries {
		if try.Status == 0 {
			continue
		}
		if try.AnswerOf != "" && try.AnswerOf != try.Identity {
			judge.breach("MIXED", try.Ended, "%s got the answer of %s", try.Identity, try.AnswerOf)
		}
		if try.Status/100 == 2 && !try.Sealed {
			judge.breach("MIXED", try.Ended, "%s got a success that no server sealed", try.Identity)
		}
		if try.Status/100 == 2 && try.Whole && !try.Stream && !judge.answered(try.Identity) {
			judge.breach("MIXED", try.Ended, "%s got a success, no server gave one whole", try.Identity)
		}
	}
}

func (judge *judge) answered(identity string) bool {
	return slices.ContainsFunc(judge.runs[identity], func(run *Arrival) bool { return !run.Broke && !run.Failed })
}

// unasked: a run that no caller sent, or whose content was changed.
func (judge *judge) unasked() {
	for identity, runs := range judge.runs {
		for _, run := range runs {
			if judge.tries[identity] == nil {
				judge.breach("UNASKED", run.RanAt, "%s ran at %s, nobody sent it", identity, run.Server)
			} else if run.Changed {
				judge.breach("UNASKED", run.RanAt, "%s ran at %s with another content", identity, run.Server)
			}
		}
	}
}

func (judge *judge) twice() {
	for identity, runs := range judge.runs {
		if try := judge.tries[identity]; try != nil && !try.Repeatable && len(runs) > 1 {
			judge.breach("TWICE", runs[1].RanAt, "%s of %s ran %d times, at %s and %s", identity, try.Class, len(runs), runs[0].Server, runs[1].Server)
		}
	}
}

// promises are the statuses that say that a request has not run and never will.
func promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (judge *judge) refused() {
	for _, try := range judge.Tries {
		if runs := judge.runs[try.Identity]; !try.Repeatable && promises(try.Status) && len(runs) > 0 {
			judge.breach("REFUSED", try.Ended, "%s got %d, it ran at %s at %v", try.Identity, try.Status, runs[0].Server, runs[0].RanAt)
		}
	}
}

const (
	deniedFree = 5
	deniedPer  = 500
)

// denied: machines in touch end too many proper requests with a 3xx or 4xx that promises nothing.
func (judge *judge) denied() {
	count, asked, last := 0, 0, time.Duration(0)
	for _, try := range judge.Tries {
		if try.Probe {
			continue
		}
		asked++
		own := try.Status/100 == 3 || try.Status/100 == 4
		if own && !promises(try.Status) && !try.Sealed && judge.allowed(try) && judge.touched(try.Machine, try.Sent, try.Ended) {
			count, last = count+1, try.Ended
		}
	}
	if count > deniedFree+asked/deniedPer {
		judge.breach("DENIED", last, "%d of %d proper requests were ended with a 3xx or 4xx", count, asked)
	}
}

// allowed tells whether every version that may be in force allows the request.
func (judge *judge) allowed(try *Try) bool {
	versions := judge.inForce(try.Sent, try.Ended)
	for _, version := range versions {
		if _, there := version.Routes[try.Route]; !there || !holds(version, try.Key) {
			return false
		}
	}
	return len(versions) > 0
}

// route: a service runs a request that no version ever sent allows to go there, or another server than the one that was meant.
func (judge *judge) route() {
	for identity, runs := range judge.runs {
		try := judge.tries[identity]
		if try == nil {
			continue
		}
		for _, run := range runs {
			if !slices.ContainsFunc(judge.Versions, func(version *Version) bool {
				return !version.Invalid && slices.Contains(version.Routes[try.Route].Services, run.Service)
			}) {
				judge.breach("ROUTE", run.RanAt, "%s of route %s ran at service %s", identity, try.Route, run.Service)
			}
			if run.Target != "" && run.Target != run.Server {
				judge.breach("ROUTE", run.RanAt, "%s was meant for %s and ran at %s", identity, run.Target, run.Server)
			}
		}
	}
}

// order: pieces of a stream that are missing, come twice or come of two runs, and a whole stream without its last piece.
func (judge *judge) order() {
	for _, try := range judge.Tries {
		if !try.Stream || try.Status/100 != 2 {
			continue
		}
		want, run := try.After+1, int64(0)
		for _, piece := range try.Pieces {
			if piece.Number != want {
				judge.breach("ORDER", piece.Came, "%s got piece %d in the place of %d", try.Identity, piece.Number, want)
				break
			}
			if run != 0 && piece.Run != run && !try.Resumable {
				judge.breach("ORDER", piece.Came, "%s got pieces of two runs", try.Identity)
				break
			}
			want, run = want+1, piece.Run
		}
		if try.Whole && want <= try.Total {
			judge.breach("ORDER", try.Ended, "%s ended as whole at piece %d of %d", try.Identity, want-1, try.Total)
		}
	}
}

// home: a request with homes reaches a server elsewhere, or its body goes to a machine that is neither in a home nor in its caller's
// region. Here no machine passes a body on to another, so that only servers can break it.
func (judge *judge) home() {
	for identity, arrivals := range judge.arrivals {
		try := judge.tries[identity]
		if try == nil || len(try.Regions) == 0 {
			continue
		}
		for _, arrival := range arrivals {
			if !slices.Contains(try.Regions, arrival.Region) {
				judge.breach("HOME", arrival.At, "%s of homes %v reached %s in %s", identity, try.Regions, arrival.Server, arrival.Region)
			}
		}
	}
}

// lost: a request that a process had read ends without an answer while its machine stops as planned, or much more often while the
// configuration changes than at other times.
func (judge *judge) lost() {
	changes := map[string][2]int{}
	for _, try := range judge.Tries {
		machine := judge.machines[try.Machine]
		if machine == nil || !judge.endedOpen(try) || judge.serverBroke(try) || judge.disturbed(try) {
			continue
		}
		passed := len(judge.arrivals[try.Identity]) > 0
		if !passed && try.Ended-try.Sent <= judge.Bounds.Loss {
			continue
		}
		if judge.stopping(machine, try) {
			judge.breach("LOST", try.Ended, "%s was read by %s while it stopped, and got no whole answer", try.Identity, try.Machine)
			continue
		}
		count := changes[try.Machine]
		if judge.changing(try.Ended) {
			count[0]++
		} else {
			count[1]++
		}
		changes[try.Machine] = count
	}
	within, beyond := judge.changingTime()
	for name, count := range changes {
		during, others := float64(count[0])*beyond.Seconds(), float64(count[1])*within.Seconds()
		if count[0] >= fewestLost && during > mostOften*others {
			judge.breach("LOST", judge.End, "%s ended %d requests without an answer in %v of changes, %d in %v of other times", name, count[0], within, count[1], beyond)
		}
	}
}

const (
	fewestLost = 3
	mostOften  = 3
)

// endedOpen tells whether a request that was read got no whole answer, before its time was over.
func (judge *judge) endedOpen(try *Try) bool {
	open := try.Status == 0 || try.Status/100 == 2 && !try.Whole
	return open && try.Read > 0 && !try.GivenUp && try.Ended < try.Deadline
}

// changing tells whether a change of the configuration is under way.
func (judge *judge) changing(at time.Duration) bool {
	return slices.ContainsFunc(judge.taken(), func(version *Version) bool {
		return version.Took && version.Sent <= at && at <= version.Acked+judge.Bounds.Propagate+time.Second
	})
}

// changingTime gives how long changes were under way while traffic ran, and how long none was.
func (judge *judge) changingTime() (within, beyond time.Duration) {
	const step = 100 * time.Millisecond
	for at := judge.Traffic.From; at < judge.Traffic.Until; at += step {
		if judge.changing(at) {
			within += step
		} else {
			beyond += step
		}
	}
	return within, beyond
}

func (judge *judge) stopping(machine *Machine, try *Try) bool {
	return slices.ContainsFunc(machine.Stops, func(stop time.Duration) bool {
		return try.Ended >= stop && try.Sent <= stop+judge.Bounds.Grace+time.Second
	})
}

// serverBroke: not counted when the server broke off or was still at work in the second half of the grace.
func (judge *judge) serverBroke(try *Try) bool {
	for _, arrival := range judge.arrivals[try.Identity] {
		if arrival.Broke || arrival.Failed {
			return true
		}
		for _, stop := range judge.machines[try.Machine].Stops {
			if arrival.At <= stop+judge.Bounds.Grace && arrival.Ended >= stop+judge.Bounds.Grace/2 {
				return true
			}
		}
	}
	return false
}

func (judge *judge) disturbed(try *Try) bool {
	return within(judge.Unplanned, try.Sent-judge.Bounds.Contact, try.Ended)
}
