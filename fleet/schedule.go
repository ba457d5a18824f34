package fleet

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// fault is a kind of failure that a seed can select; inject starts it, and it ends after the span by itself.
type fault struct {
	name   string
	inject func(fleet *Fleet, span time.Duration)
}

// randomMachines returns between one and limit random machines.
func (fleet *Fleet) randomMachines(machines []*Machine, limit int) []*Machine {
	count := 1 + fleet.World.Random.IntN(limit)
	chosen := []*Machine{}
	for _, index := range fleet.World.Random.Perm(len(machines)) {
		if len(chosen) < count {
			chosen = append(chosen, machines[index])
		}
	}
	return chosen
}

// randomItem returns a random item of a list that is not empty.
func randomItem[Item any](fleet *Fleet, items []Item) Item {
	return items[fleet.World.Random.IntN(len(items))]
}

func (fleet *Fleet) zones() []string {
	zones, seen := []string{}, map[string]bool{}
	for _, machine := range fleet.Machines {
		if !seen[machine.Zone] {
			seen[machine.Zone] = true
			zones = append(zones, machine.Zone)
		}
	}
	return zones
}

// anyNode returns a random live machine, or the first machine if none is live.
func (fleet *Fleet) anyNode() *Machine {
	live := fleet.MachinesWhere(func(machine *Machine) bool { return machine.Up() && !machine.Control.Frozen })
	if len(live) == 0 {
		return fleet.Machines[0]
	}
	return randomItem(fleet, live)
}

// serverMode makes a fault that puts a random server into a fault mode.
func serverMode(mode string) func(*Fleet, time.Duration) {
	return func(fleet *Fleet, span time.Duration) {
		server := randomItem(fleet, fleet.Servers)
		overlayField(fleet, &server.FaultMode, mode, span, nil)
	}
}

// onDisk makes a fault that sets a field of a random core machine's disk.
func onDisk[Value any](field func(*Disk) *Value, value Value) func(*Fleet, time.Duration) {
	return func(fleet *Fleet, span time.Duration) {
		disk := randomItem(fleet, fleet.Cores()).Disk
		overlayField(fleet, field(disk), value, span, disk.Resume)
	}
}

// faults are all kinds, by the names that the command line takes and results print.
var faults = []fault{
	{"kill", func(fleet *Fleet, span time.Duration) { fleet.KillFor(fleet.randomMachines(fleet.Machines, 1), span) }},
	{"kill many", func(fleet *Fleet, span time.Duration) { fleet.KillFor(fleet.randomMachines(fleet.Machines, 5), span) }},
	{"kill zone", func(fleet *Fleet, span time.Duration) {
		fleet.KillFor(fleet.InZone(randomItem(fleet, fleet.zones())), span)
	}},
	{"kill region", func(fleet *Fleet, span time.Duration) {
		fleet.KillRegion(randomItem(fleet, fleet.Site.Regions()), span)
	}},
	{"lose zone", loseZone},
	{"lose region", loseRegion},
	{"cut zone", func(fleet *Fleet, span time.Duration) {
		fleet.CutFor(fleet.surroundings(fleet.InZone(randomItem(fleet, fleet.zones()))), span, true)
	}},
	{"zones apart", cutZones},
	{"kill cores", func(fleet *Fleet, span time.Duration) { fleet.KillFor(fleet.Cores(), span/2) }},
	{"freeze", func(fleet *Fleet, span time.Duration) { fleet.FreezeFor(fleet.randomMachines(fleet.Machines, 1), span) }},
	{"freeze many", func(fleet *Fleet, span time.Duration) {
		fleet.FreezeFor(fleet.randomMachines(fleet.Machines, 4), span/2)
	}},
	{"freeze core", func(fleet *Fleet, span time.Duration) {
		fleet.FreezeFor(fleet.randomMachines(fleet.Cores(), 2), span/2)
	}},
	{"cut from platform", cutLinks((*Fleet).ownerAndPlatform)},
	{"cut from a server", cutLinks((*Fleet).ownerAndServer)},
	{"cut from peers", cutLinks((*Fleet).ownerAndPeers)},
	{"owner cut from a data node", cutLinks((*Fleet).ownerAndDataNode)},
	{"drifting clocks", driftClocks},
	{"shards change", changeShards},
	{"slots change", changeSlots},
	{"answers lost", loseAnswers},
	{"careless callers", retryUnmarked},
	{"slow readers", addSlowReaders},
	{"rolling restart", rollingRestart},
	{"cores wiped", func(fleet *Fleet, span time.Duration) { fleet.wipeCores() }},
	{"cut machine", func(fleet *Fleet, span time.Duration) {
		fleet.CutFor(Names(fleet.randomMachines(fleet.Machines, 1)), span, true)
	}},
	{"cut one way", func(fleet *Fleet, span time.Duration) {
		fleet.CutFor(Names(fleet.randomMachines(fleet.Machines, 2)), span, false)
	}},
	{"cut region", func(fleet *Fleet, span time.Duration) {
		fleet.CutFor(fleet.surroundings(fleet.InRegion(randomItem(fleet, fleet.Site.Regions()))), span, true)
	}},
	{"split core", func(fleet *Fleet, span time.Duration) {
		cores := fleet.Cores()
		fleet.World.After(span, fleet.World.CutBoth(Names(cores[:1]), Names(cores[1:])))
	}},
	{"cut core from all", func(fleet *Fleet, span time.Duration) { fleet.CutFor(Names(fleet.Cores()), span, true) }},
	{"lossy", func(fleet *Fleet, span time.Duration) {
		overlayField(fleet, &fleet.World.Loss, 0.1, span, nil)
	}},
	{"slow links", func(fleet *Fleet, span time.Duration) {
		overlayField(fleet, &fleet.World.ExtraLatency, 150*time.Millisecond, span, nil)
	}},
	{"lying disk", func(fleet *Fleet, span time.Duration) {
		machine := randomItem(fleet, fleet.Cores())
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
		machine := randomItem(fleet, fleet.Cores())
		machine.Disk.TearLastFile = true
		fleet.KillFor([]*Machine{machine}, span)
	}},
	{"full disk", onDisk(func(disk *Disk) *bool { return &disk.Full }, true)},
	{"disks stalled", func(fleet *Fleet, span time.Duration) {
		fleet.sendWrites(span, 12)
		for _, machine := range fleet.Cores()[:2] {
			overlayField(fleet, &machine.Disk.Stalled, true, span, machine.Disk.Resume)
		}
	}},
	{"disks full", func(fleet *Fleet, span time.Duration) {
		fleet.sendWrites(span, 12)
		for _, machine := range fleet.Cores() {
			overlayField(fleet, &machine.Disk.Full, true, span, nil)
		}
	}},
	{"slow disk", onDisk(func(disk *Disk) *time.Duration { return &disk.ExtraLatency }, 300*time.Millisecond)},
	{"stalled disk", onDisk(func(disk *Disk) *bool { return &disk.Stalled }, true)},
	{"swap core", func(fleet *Fleet, span time.Duration) {
		old := randomItem(fleet, fleet.Cores())
		fresh := fleet.ReplaceCore(old)
		fleet.declareGone(old, 0)
		fleet.World.After(span/2, func() { fleet.Write(fleet.anyNode(), fleet.RosterPatch(fresh.Region), nil) })
	}},
	{"wipe core", func(fleet *Fleet, span time.Duration) { fleet.WipeAndRestart(randomItem(fleet, fleet.Cores()), span/2) }},
	{"server crash", func(fleet *Fleet, span time.Duration) {
		server := randomItem(fleet, fleet.Servers)
		server.Crash()
		fleet.World.After(span, server.Replace)
	}},
	{"servers crash", crashServers},
	{"servers return cold", func(fleet *Fleet, span time.Duration) { fleet.replaceRandomServers(1 + len(fleet.Servers)/2) }},
	{"server dark", serverMode("dark")},
	{"servers dark", silenceServers},
	{"server refuses", serverMode("refuse")},
	{"server cuts replies", serverMode("cut")},
	{"server truncates", serverMode("truncate")},
	{"server answers for another", serverMode("wrong")},
	{"partial reports", serverMode("partial")},
	{"garbled reports", serverMode("garbled")},
	{"late reports", func(fleet *Fleet, span time.Duration) {
		server := randomItem(fleet, fleet.Servers)
		overlayField(fleet, &server.ReportLag, 3*time.Second, span, nil)
	}},
	{"late reports everywhere", func(fleet *Fleet, span time.Duration) {
		for _, server := range fleet.Servers {
			overlayField(fleet, &server.ReportLag, 2*time.Second, span, nil)
		}
	}},
	{"reclaim", func(fleet *Fleet, span time.Duration) {
		server := randomItem(fleet, fleet.Servers)
		if !server.leaving && !server.gone {
			server.MarkLeaving(span / 3)
			fleet.World.After(span, server.Replace)
		}
	}},
	{"many reclaims", reclaimServers},
	{"rolling replacement", func(fleet *Fleet, span time.Duration) {
		region := randomItem(fleet, fleet.Site.Regions())
		wait := time.Duration(0)
		for _, server := range fleet.Servers {
			if server.Region == region && wait < span {
				fleet.World.After(wait, func() {
					if !server.leaving && !server.gone {
						server.MarkLeaving(6 * time.Second)
						fleet.World.After(7*time.Second, server.Replace)
					}
				})
				wait += 2 * time.Second
			}
		}
	}},
	{"platform broken", func(fleet *Fleet, span time.Duration) {
		overlayField(fleet, &fleet.Platform.Broken, true, span, nil)
	}},
	{"platform down", func(fleet *Fleet, span time.Duration) {
		overlayField(fleet, &fleet.Platform.Down, true, span, nil)
	}},
	{"crowd", func(fleet *Fleet, span time.Duration) { fleet.Traffic(span/2, 12) }},
	{"swing", func(fleet *Fleet, span time.Duration) {
		for index, class := range []string{"long", "short", "long", "short"} {
			fleet.World.After(span*time.Duration(index)/4, func() { fleet.sendBurst(class, span/4, 120) })
		}
	}},
	{"leavers", func(fleet *Fleet, span time.Duration) {
		for index := 0; index < 20; index++ {
			fleet.World.After(span*time.Duration(index)/20, func() {
				call := fleet.NewCall(fleet.CallerProfile("short"))
				call.hangsUpAfter = time.Duration(fleet.World.Random.Int64N(int64(time.Second)))
				call.send()
			})
		}
	}},
	{"drain", drainRandomZone},
	{"two drains", func(fleet *Fleet, span time.Duration) {
		drainRandomZone(fleet, span)
		drainRandomZone(fleet, span)
	}},
	{"storm", func(fleet *Fleet, span time.Duration) { fleet.sendWrites(span, 60) }},
	{"scale", func(fleet *Fleet, span time.Duration) {
		server := randomItem(fleet, fleet.Servers)
		read := fleet.anyNode()
		fleet.Write(read, fleet.scaleRequest(server.Pool, 2), nil)
		fleet.World.After(span, func() { fleet.Write(fleet.anyNode(), fleet.scaleRequest(server.Pool, 10), nil) })
	}},
}

// sendWrites sends harmless patches to random nodes, evenly over the span.
func (fleet *Fleet) sendWrites(span time.Duration, count int) {
	for index := range count {
		fleet.World.After(span*time.Duration(index)/time.Duration(count), func() { fleet.Write(fleet.anyNode(), fleet.HarmlessPatch(index), nil) })
	}
}

// scaleRequest is a write that scales a pool to a count of servers.
func (fleet *Fleet) scaleRequest(pool string, count int) contract.OperatorRequest {
	return contract.OperatorRequest{Verb: contract.VerbScale, Subject: pool, Body: fmt.Appendf(nil, "%d", count), Operation: fmt.Sprintf("scale-%s-%d", pool, fleet.World.Now)}
}

// declareGone tells random nodes, 16 times, that a replaced machine is gone, as its operator does until a live node has got it.
func (fleet *Fleet) declareGone(old *Machine, attempt int) {
	fleet.World.After(3*time.Second, func() {
		fleet.anyNode().Control.Ask(contract.OperatorRequest{Verb: contract.VerbGone, Subject: old.Name}, func(contract.Response) {})
		if attempt < 15 {
			fleet.declareGone(old, attempt+1)
		}
	})
}

// drainRandomZone drains a random zone for a span.
func drainRandomZone(fleet *Fleet, span time.Duration) {
	zone := randomItem(fleet, fleet.zones())
	fleet.Write(fleet.anyNode(), fleet.drainRequest(zone), nil)
	fleet.World.After(span, func() { fleet.undrainUntilAccepted(zone, 0) })
}

// drainRequest is a write that drains a zone.
func (fleet *Fleet) drainRequest(zone string) contract.OperatorRequest {
	return contract.OperatorRequest{Verb: contract.VerbDrain, Subject: zone, Operation: fmt.Sprintf("drain-%s-%d", zone, fleet.World.Now)}
}

// undrainUntilAccepted ends the drain of a zone, and retries until the write is accepted.
func (fleet *Fleet) undrainUntilAccepted(zone string, attempt int) {
	request := contract.OperatorRequest{Verb: contract.VerbUndrain, Subject: zone, Operation: fmt.Sprintf("undrain-%s-%d", zone, fleet.World.Now)}
	fleet.Ledger.ZoneUndrained(zone, fleet.World.Now)
	fleet.Write(fleet.anyNode(), request, func(record WriteRecord) {
		if record.Status != 200 && record.Status != 202 && attempt < 20 {
			fleet.World.After(time.Second, func() { fleet.undrainUntilAccepted(zone, attempt+1) })
		}
	})
}

// sendBurst sends calls of a single class at a fixed rate.
func (fleet *Fleet) sendBurst(class string, span time.Duration, perSecond int64) {
	kind := fleet.CallerProfile(class)
	for index := int64(0); index < perSecond*int64(span)/int64(time.Second); index++ {
		fleet.World.After(time.Duration(index)*time.Second/time.Duration(perSecond), func() { fleet.NewCall(kind).send() })
	}
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := []string{}
	for _, fault := range faults {
		names = append(names, fault.name)
	}
	return names
}

// maxFaultSpan limits the span that the duration of a fault is derived from.
const maxFaultSpan = time.Minute

// ScheduleFaults schedules count faults within the span, random ones or the named one alone, and returns a description of each.
func (fleet *Fleet) ScheduleFaults(span time.Duration, count int, name string) []string {
	descriptions := []string{}
	for index := 0; index < count; index++ {
		chosen := randomItem(fleet, faults)
		for _, fault := range faults {
			if fault.name == name {
				chosen = fault
			}
		}
		begins := time.Duration(fleet.World.Random.Int64N(int64(span * 3 / 4)))
		lasts := time.Second + time.Duration(fleet.World.Random.Int64N(int64(min(span, maxFaultSpan)/4)))
		descriptions = append(descriptions, fmt.Sprintf("%s at %v for %v", chosen.name, (fleet.World.Now+begins).Round(time.Millisecond), lasts.Round(time.Millisecond)))
		fleet.World.After(begins, func() { chosen.inject(fleet, lasts) })
	}
	return descriptions
}

// RepairAll ends all faults: links, disks, servers and platform work again, and all machines run.
func (fleet *Fleet) RepairAll() {
	fleet.removeOverlays()
	fleet.World.Heal()
	fleet.World.Loss, fleet.World.ExtraLatency = 0, 0
	fleet.Platform.Broken, fleet.Platform.Down = false, false
	for _, server := range fleet.Servers {
		server.FaultMode, server.ReportLag = "", 0
		if server.gone || !server.up && !server.unloaded {
			server.Replace()
		}
	}
	for _, machine := range fleet.Machines {
		if machine.Disk != nil {
			machine.Disk.Full, machine.Disk.Stalled, machine.Disk.ExtraLatency = false, false, 0
			machine.Disk.Resume()
		}
		if machine.Up() {
			machine.Wake()
		} else {
			machine.Start()
		}
	}
}
