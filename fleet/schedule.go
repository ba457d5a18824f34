package fleet

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// fault is one thing that can go wrong, drawn by a seed; it ends by itself.
type fault struct {
	name string
	play func(fleet *Fleet, span time.Duration)
}

func (fleet *Fleet) some(machines []*Machine, most int) []*Machine {
	count := 1 + fleet.World.Random.IntN(most)
	chosen := []*Machine{}
	for _, place := range fleet.World.Random.Perm(len(machines)) {
		if len(chosen) < count {
			chosen = append(chosen, machines[place])
		}
	}
	return chosen
}

func one[Item any](fleet *Fleet, items []Item) Item {
	return items[fleet.World.Random.IntN(len(items))]
}

func (fleet *Fleet) zones() []string {
	zones, known := []string{}, map[string]bool{}
	for _, machine := range fleet.Machines {
		if !known[machine.Zone] {
			known[machine.Zone] = true
			zones = append(zones, machine.Zone)
		}
	}
	return zones
}

func (fleet *Fleet) anyNode() *Machine {
	live := fleet.Pick(func(machine *Machine) bool { return machine.Up() && !machine.Control.Frozen })
	if len(live) == 0 {
		return fleet.Machines[0]
	}
	return one(fleet, live)
}

func serverMode(mode string) func(*Fleet, time.Duration) {
	return func(fleet *Fleet, span time.Duration) {
		server := one(fleet, fleet.Servers)
		overlap(fleet, &server.Mode, mode, span, nil)
	}
}

func onDisk[Value any](field func(*Disk) *Value, value Value) func(*Fleet, time.Duration) {
	return func(fleet *Fleet, span time.Duration) {
		disk := one(fleet, fleet.Cores()).Disk
		overlap(fleet, field(disk), value, span, disk.Resume)
	}
}

var faults = []fault{
	{"kill", func(fleet *Fleet, span time.Duration) { fleet.KillFor(fleet.some(fleet.Machines, 1), span) }},
	{"kill many", func(fleet *Fleet, span time.Duration) { fleet.KillFor(fleet.some(fleet.Machines, 5), span) }},
	{"kill zone", func(fleet *Fleet, span time.Duration) { fleet.KillFor(fleet.InZone(one(fleet, fleet.zones())), span) }},
	{"kill region", func(fleet *Fleet, span time.Duration) { fleet.KillRegion(one(fleet, fleet.Site.Regions()), span) }},
	{"lose zone", loseZone},
	{"lose region", loseRegion},
	{"cut zone", func(fleet *Fleet, span time.Duration) {
		fleet.CutFor(fleet.around(fleet.InZone(one(fleet, fleet.zones()))), span, true)
	}},
	{"zones apart", zonesApart},
	{"kill cores", func(fleet *Fleet, span time.Duration) { fleet.KillFor(fleet.Cores(), span/2) }},
	{"freeze", func(fleet *Fleet, span time.Duration) { fleet.FreezeFor(fleet.some(fleet.Machines, 1), span) }},
	{"freeze many", func(fleet *Fleet, span time.Duration) { fleet.FreezeFor(fleet.some(fleet.Machines, 4), span/2) }},
	{"freeze core", func(fleet *Fleet, span time.Duration) { fleet.FreezeFor(fleet.some(fleet.Cores(), 2), span/2) }},
	{"cut from platform", narrow((*Fleet).fromPlatform)},
	{"cut from a server", narrow((*Fleet).fromServer)},
	{"cut from peers", narrow((*Fleet).fromFellows)},
	{"owner cut from a data node", narrow((*Fleet).ownerFromNode)},
	{"drifting clocks", drifting},
	{"shards change", reshard},
	{"slots change", reslot},
	{"answers lost", answersLost},
	{"careless callers", careless},
	{"slow readers", slowReaders},
	{"rolling restart", rollingRestart},
	{"cores wiped", func(fleet *Fleet, span time.Duration) { fleet.wipeCores() }},
	{"cut machine", func(fleet *Fleet, span time.Duration) { fleet.CutFor(Names(fleet.some(fleet.Machines, 1)), span, true) }},
	{"cut one way", func(fleet *Fleet, span time.Duration) {
		fleet.CutFor(Names(fleet.some(fleet.Machines, 2)), span, false)
	}},
	{"cut region", func(fleet *Fleet, span time.Duration) {
		fleet.CutFor(fleet.around(fleet.InRegion(one(fleet, fleet.Site.Regions()))), span, true)
	}},
	{"split core", func(fleet *Fleet, span time.Duration) {
		cores := fleet.Cores()
		fleet.World.After(span, fleet.World.CutBoth(Names(cores[:1]), Names(cores[1:])))
	}},
	{"cut core from all", func(fleet *Fleet, span time.Duration) { fleet.CutFor(Names(fleet.Cores()), span, true) }},
	{"lossy", func(fleet *Fleet, span time.Duration) {
		overlap(fleet, &fleet.World.Loss, 0.1, span, nil)
	}},
	{"slow links", func(fleet *Fleet, span time.Duration) {
		overlap(fleet, &fleet.World.Slow, 150*time.Millisecond, span, nil)
	}},
	{"lying disk", func(fleet *Fleet, span time.Duration) {
		machine := one(fleet, fleet.Cores())
		machine.Disk.LostSaves = 1 + fleet.World.Random.IntN(6)
		fleet.KillFor([]*Machine{machine}, span)
	}},
	{"lying disks", func(fleet *Fleet, span time.Duration) {
		for _, machine := range fleet.Cores() {
			machine.Disk.LostSaves = 1 + fleet.World.Random.IntN(6)
		}
		fleet.KillFor(fleet.Cores(), span/2)
	}},
	{"torn disk", func(fleet *Fleet, span time.Duration) {
		machine := one(fleet, fleet.Cores())
		machine.Disk.TearLastFile = true
		fleet.KillFor([]*Machine{machine}, span)
	}},
	{"full disk", onDisk(func(disk *Disk) *bool { return &disk.Full }, true)},
	{"disks stalled", func(fleet *Fleet, span time.Duration) {
		fleet.writes(span, 12)
		for _, machine := range fleet.Cores()[:2] {
			overlap(fleet, &machine.Disk.Stalled, true, span, machine.Disk.Resume)
		}
	}},
	{"disks full", func(fleet *Fleet, span time.Duration) {
		fleet.writes(span, 12)
		for _, machine := range fleet.Cores() {
			overlap(fleet, &machine.Disk.Full, true, span, nil)
		}
	}},
	{"slow disk", onDisk(func(disk *Disk) *time.Duration { return &disk.Slow }, 300*time.Millisecond)},
	{"stalled disk", onDisk(func(disk *Disk) *bool { return &disk.Stalled }, true)},
	{"swap core", func(fleet *Fleet, span time.Duration) {
		old := one(fleet, fleet.Cores())
		fresh := fleet.Swap(old)
		fleet.declare(old, 0)
		fleet.World.After(span/2, func() { fleet.Write(fleet.anyNode(), fleet.Roster(fresh.Region), nil) })
	}},
	{"wipe core", func(fleet *Fleet, span time.Duration) { fleet.WipeAndReturn(one(fleet, fleet.Cores()), span/2) }},
	{"server crash", func(fleet *Fleet, span time.Duration) {
		server := one(fleet, fleet.Servers)
		server.Crash()
		fleet.World.After(span, server.Replace)
	}},
	{"servers crash", serversCrash},
	{"servers return cold", func(fleet *Fleet, span time.Duration) { fleet.replaceSome(1 + len(fleet.Servers)/2) }},
	{"server dark", serverMode("dark")},
	{"servers dark", serversDark},
	{"server refuses", serverMode("refuse")},
	{"server cuts replies", serverMode("cut")},
	{"server truncates", serverMode("truncate")},
	{"server answers for another", serverMode("wrong")},
	{"partial reports", serverMode("partial")},
	{"garbled reports", serverMode("garbled")},
	{"late reports", func(fleet *Fleet, span time.Duration) {
		server := one(fleet, fleet.Servers)
		overlap(fleet, &server.ReportLag, 3*time.Second, span, nil)
	}},
	{"late reports everywhere", func(fleet *Fleet, span time.Duration) {
		for _, server := range fleet.Servers {
			overlap(fleet, &server.ReportLag, 2*time.Second, span, nil)
		}
	}},
	{"reclaim", func(fleet *Fleet, span time.Duration) {
		server := one(fleet, fleet.Servers)
		if !server.leaving && !server.gone {
			server.Mark(span / 3)
			fleet.World.After(span, server.Replace)
		}
	}},
	{"many reclaims", manyReclaims},
	{"rolling replacement", func(fleet *Fleet, span time.Duration) {
		region := one(fleet, fleet.Site.Regions())
		wait := time.Duration(0)
		for _, server := range fleet.Servers {
			if server.Region == region && wait < span {
				fleet.World.After(wait, func() {
					if !server.leaving && !server.gone {
						server.Mark(6 * time.Second)
						fleet.World.After(7*time.Second, server.Replace)
					}
				})
				wait += 2 * time.Second
			}
		}
	}},
	{"platform broken", func(fleet *Fleet, span time.Duration) {
		overlap(fleet, &fleet.Platform.Broken, true, span, nil)
	}},
	{"platform down", func(fleet *Fleet, span time.Duration) {
		overlap(fleet, &fleet.Platform.Down, true, span, nil)
	}},
	{"crowd", func(fleet *Fleet, span time.Duration) { fleet.Traffic(span/2, 12) }},
	{"swing", func(fleet *Fleet, span time.Duration) {
		for index, class := range []string{"long", "short", "long", "short"} {
			fleet.World.After(span*time.Duration(index)/4, func() { fleet.burst(class, span/4, 120) })
		}
	}},
	{"leavers", func(fleet *Fleet, span time.Duration) {
		for index := 0; index < 20; index++ {
			fleet.World.After(span*time.Duration(index)/20, func() {
				visit := fleet.Visit(fleet.Kind("short"))
				visit.leaves = time.Duration(fleet.World.Random.Int64N(int64(time.Second)))
				visit.send()
			})
		}
	}},
	{"drain", drainOne},
	{"two drains", func(fleet *Fleet, span time.Duration) {
		drainOne(fleet, span)
		drainOne(fleet, span)
	}},
	{"storm", func(fleet *Fleet, span time.Duration) { fleet.writes(span, 60) }},
	{"scale", func(fleet *Fleet, span time.Duration) {
		server := one(fleet, fleet.Servers)
		read := fleet.anyNode()
		fleet.Write(read, fleet.scale(server.Pool, 2), nil)
		fleet.World.After(span, func() { fleet.Write(fleet.anyNode(), fleet.scale(server.Pool, 10), nil) })
	}},
}

// writes sends small changes to any node, spread over a while.
func (fleet *Fleet) writes(span time.Duration, count int) {
	for index := range count {
		fleet.World.After(span*time.Duration(index)/time.Duration(count), func() { fleet.Write(fleet.anyNode(), fleet.Patch(index), nil) })
	}
}

func (fleet *Fleet) scale(pool string, count int) contract.OperatorRequest {
	return contract.OperatorRequest{Verb: contract.VerbScale, Subject: pool, Body: fmt.Appendf(nil, "%d", count), Operation: fmt.Sprintf("scale-%s-%d", pool, fleet.World.Now)}
}

// declare is the operator who swapped a machine and says so until a live node has heard it.
func (fleet *Fleet) declare(old *Machine, tries int) {
	fleet.World.After(3*time.Second, func() {
		fleet.anyNode().Control.Ask(contract.OperatorRequest{Verb: contract.VerbGone, Subject: old.Name}, func(contract.Response) {})
		if tries < 15 {
			fleet.declare(old, tries+1)
		}
	})
}

func drainOne(fleet *Fleet, span time.Duration) {
	zone := one(fleet, fleet.zones())
	fleet.Write(fleet.anyNode(), fleet.drain(zone), nil)
	fleet.World.After(span, func() { fleet.undrain(zone, 0) })
}

func (fleet *Fleet) drain(zone string) contract.OperatorRequest {
	return contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone, Operation: fmt.Sprintf("drain-%s-%d", zone, fleet.World.Now)}
}

// undrain is an operator who asks until it is accepted.
func (fleet *Fleet) undrain(zone string, tries int) {
	ask := contract.OperatorRequest{Verb: contract.VerbUndrain, Subject: zone, Operation: fmt.Sprintf("undrain-%s-%d", zone, fleet.World.Now)}
	fleet.Ledger.ZoneUndrained(zone, fleet.World.Now)
	fleet.Write(fleet.anyNode(), ask, func(written Written) {
		if written.Status != 200 && written.Status != 202 && tries < 20 {
			fleet.World.After(time.Second, func() { fleet.undrain(zone, tries+1) })
		}
	})
}

// burst sends one class alone for a while.
func (fleet *Fleet) burst(class string, span time.Duration, perSecond int64) {
	kind := fleet.Kind(class)
	for index := int64(0); index < perSecond*int64(span)/int64(time.Second); index++ {
		fleet.World.After(time.Duration(index)*time.Second/time.Duration(perSecond), func() { fleet.Visit(kind).send() })
	}
}

func FaultNames() []string {
	names := []string{}
	for _, fault := range faults {
		names = append(names, fault.name)
	}
	return names
}

const longestFault = time.Minute

// Trouble plays faults for a while: the named one alone, or as many as asked for at random.
func (fleet *Fleet) Trouble(span time.Duration, count int, name string) []string {
	told := []string{}
	for index := 0; index < count; index++ {
		chosen := one(fleet, faults)
		for _, fault := range faults {
			if fault.name == name {
				chosen = fault
			}
		}
		begins := time.Duration(fleet.World.Random.Int64N(int64(span * 3 / 4)))
		lasts := time.Second + time.Duration(fleet.World.Random.Int64N(int64(min(span, longestFault)/4)))
		told = append(told, fmt.Sprintf("%s at %v for %v", chosen.name, (fleet.World.Now+begins).Round(time.Millisecond), lasts.Round(time.Millisecond)))
		fleet.World.After(begins, func() { chosen.play(fleet, lasts) })
	}
	return told
}

// Mend ends whatever is still broken.
func (fleet *Fleet) Mend() {
	fleet.liftAll()
	fleet.World.Heal()
	fleet.World.Loss, fleet.World.Slow = 0, 0
	fleet.Platform.Broken, fleet.Platform.Down = false, false
	for _, server := range fleet.Servers {
		server.Mode, server.ReportLag = "", 0
		if server.gone || !server.up && !server.unloaded {
			server.Replace()
		}
	}
	for _, machine := range fleet.Machines {
		if machine.Disk != nil {
			machine.Disk.Full, machine.Disk.Stalled, machine.Disk.Slow = false, false, 0
			machine.Disk.Resume()
		}
		if machine.Up() {
			machine.Wake()
		} else {
			machine.Start()
		}
	}
}
