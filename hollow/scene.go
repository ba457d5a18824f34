package hollow

import "time"

const (
	stormWrites = 100
	settling    = 10 * time.Second
	cutSpan     = 60 * time.Second
)

func (run *run) scene() {
	switch run.plan.Scene {
	case Storm:
		run.storm()
	case Zone:
		run.lose()
	case Region:
		run.split()
	}
}

// storm gives the head many writes at one moment.
func (run *run) storm() {
	event := &Event{Name: Storm, Nodes: len(run.world.processes), View: -1, Noticed: -1, KnownAgain: -1, Force: -1}
	run.result.Event = event
	began, head := run.world.Now, run.head()
	if head == nil {
		return
	}
	former := head.adopted[len(head.adopted)-1].revision
	for range stormWrites {
		run.change()
	}
	run.until(began, func() bool { return head.adopted[len(head.adopted)-1].revision >= former+stormWrites })
	newest := head.adopted[len(head.adopted)-1]
	event.Writes = int(newest.revision - former)
	event.WritesPerS = float64(event.Writes) / (newest.at - began).Seconds()
	event.Force = run.until(began, func() bool { return run.everywhere(newest.revision) })
	event.Lacking, _ = run.force(newest.revision)
}

func (run *run) gaps() (outside, inside float64) {
	for _, process := range run.world.processes[run.plan.Controls:] {
		if !process.up {
			continue
		}
		gap := process.gap
		for _, last := range process.heard {
			gap = max(gap, run.world.Now-last)
		}
		if process.region == run.plan.region(0) {
			inside = max(inside, gap.Seconds())
		} else {
			outside = max(outside, gap.Seconds())
		}
	}
	return outside, inside
}

// lose takes the zone of the first core machine away for good.
func (run *run) lose() {
	event := &Event{Name: Zone, View: -1, Noticed: -1, KnownAgain: -1, Force: -1}
	run.result.Event = event
	began, zone, view := run.world.Now, run.plan.zone(0), run.world.processes[1].node.Feed.View().Number
	for _, process := range run.world.processes {
		process.gap = 0
		if process.zone == zone {
			process.up = false
			event.Nodes++
		}
	}
	event.View = run.until(began, func() bool { return run.world.processes[1].node.Feed.View().Number > view })
	event.Noticed = run.until(began, func() bool { return !run.counted(zone) })
	run.pass(settling)
	outside, inside := run.gaps()
	event.Gap = max(outside, inside)
	run.after(event)
}

// counted tells whether some onlooker takes a node of a zone for alive.
func (run *run) counted(zone string) bool {
	for index := 0; index < len(run.world.processes); index += max(1, len(run.world.processes)/onlookers) {
		process := run.world.processes[index]
		if !process.up {
			continue
		}
		for _, member := range process.node.Neighbours.Members(run.world.Now) {
			if member.Hall == zone {
				return true
			}
		}
	}
	return false
}

// after makes one change and tells when it is in force on all that live, and when all know each other.
func (run *run) after(event *Event) {
	began := run.world.Now
	run.changes = nil
	run.change()
	if len(run.changes) > 0 {
		change := run.changes[0]
		event.Force = run.until(began, func() bool { revision := run.numbered(change); return revision > 0 && run.everywhere(revision) })
		event.Lacking, _ = run.force(max(1, run.numbered(change)))
	}
	event.KnownAgain = run.until(began, func() bool { _, least := run.known(); return least == 1 })
}

// split cuts the first region off from all others, for a minute, with a change made meanwhile.
func (run *run) split() {
	event := &Event{Name: Region, View: -1, Noticed: -1, KnownAgain: -1, Force: -1}
	run.result.Event = event
	began, region := run.world.Now, run.plan.region(0)
	for _, process := range run.world.processes {
		process.gap = 0
		if process.region == region {
			event.Nodes++
		}
	}
	run.world.cut = func(from, to *Process) bool {
		return to != nil && (from.region == region) != (to.region == region)
	}
	view := run.world.processes[1].node.Feed.View().Number
	event.View = run.until(began, func() bool { return run.world.processes[1].node.Feed.View().Number > view })
	for run.world.Now < began+cutSpan && run.result.Stopped == "" {
		run.pass(step)
	}
	event.Gap, event.InsideLists = run.gaps()
	run.changes = nil
	run.change()
	run.pass(settling)
	run.world.cut = func(_, _ *Process) bool { return false }
	mended := run.world.Now
	event.KnownAgain = run.until(mended, func() bool { _, least := run.known(); return least == 1 })
	if len(run.changes) > 0 {
		revision := run.numbered(run.changes[0])
		if revision > 0 && run.until(mended, func() bool { return run.everywhere(revision) }) >= 0 {
			_, last := run.force(revision)
			event.Force = (last - mended).Seconds()
		}
		event.Lacking, _ = run.force(max(1, revision))
	}
}
