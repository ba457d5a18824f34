package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/site"
)

// KillFor kills machines at once and starts them again after the span.
func (fleet *Fleet) KillFor(machines []*Machine, span time.Duration) {
	killed := []*Machine{}
	for _, machine := range machines {
		if machine.Up() {
			machine.Kill()
			killed = append(killed, machine)
		}
	}
	fleet.World.After(span, func() {
		for _, machine := range killed {
			if !machine.Up() {
				machine.Start()
			}
		}
	})
}

// FreezeFor suspends the machines that are up and resumes them after the span.
func (fleet *Fleet) FreezeFor(machines []*Machine, span time.Duration) {
	thawFuncs := []func(){}
	for _, machine := range machines {
		if machine.Up() {
			thawFuncs = append(thawFuncs, machine.Freeze())
		}
	}
	fleet.World.After(span, func() {
		for _, thaw := range thawFuncs {
			thaw()
		}
	})
}

// surroundings returns the names of the machines together with the servers and clients of their zones and the platforms of their regions.
func (fleet *Fleet) surroundings(machines []*Machine) []string {
	names, zones, regions := Names(machines), map[string]bool{}, map[string]bool{}
	for _, machine := range machines {
		zones[machine.Zone], regions[machine.Region] = true, true
	}
	for _, server := range fleet.Servers {
		if zones[server.Zone] {
			names = append(names, server.Name)
		}
	}
	for _, zone := range manifest.SortedKeys(zones) {
		names = append(names, "callers-"+zone)
	}
	for _, region := range manifest.SortedKeys(regions) {
		names = append(names, "platform-"+region)
	}
	return names
}

// allEndpoints returns the names of everything that links connect.
func (fleet *Fleet) allEndpoints() []string {
	return fleet.surroundings(fleet.Machines)
}

// CutFor cuts the links from a group of names to all others for a span, and with bothWays also the links back.
func (fleet *Fleet) CutFor(group []string, span time.Duration, bothWays bool) {
	inside := map[string]bool{}
	for _, name := range group {
		inside[name] = true
	}
	others := []string{}
	for _, name := range fleet.allEndpoints() {
		if !inside[name] {
			others = append(others, name)
		}
	}
	fleet.World.After(span, fleet.World.Cut(group, others))
	if bothWays {
		fleet.World.After(span, fleet.World.Cut(others, group))
	}
}

// InRegion returns the machines of a region.
func (fleet *Fleet) InRegion(region string) []*Machine {
	return fleet.MachinesWhere(func(machine *Machine) bool { return machine.Region == region })
}

// InZone returns the machines of a zone.
func (fleet *Fleet) InZone(zone string) []*Machine {
	return fleet.MachinesWhere(func(machine *Machine) bool { return machine.Zone == zone })
}

// Cores returns the machines that hold the replicated manifest.
func (fleet *Fleet) Cores() []*Machine {
	return fleet.MachinesWhere(func(machine *Machine) bool { return machine.Core })
}

// KillRegion kills all machines of a region for a span and then expects the region to serve again within the recovery bound.
func (fleet *Fleet) KillRegion(region string, span time.Duration) {
	fleet.KillFor(fleet.InRegion(region), span)
	delete(fleet.recovering, region)
	fleet.World.After(span, func() {
		if !slices.ContainsFunc(fleet.InRegion(region), func(machine *Machine) bool { return !machine.Up() }) {
			fleet.RegionReturned(region)
		}
	})
}

// ReplaceCore removes a core machine for good and starts an empty one under a new name and address. The manifest still lists the old
// machine until RosterPatch is written.
func (fleet *Fleet) ReplaceCore(old *Machine) *Machine {
	if old.Up() {
		old.Kill()
	}
	replacement := fleet.NewMachine(site.Machine{Name: fmt.Sprintf("m%02d", len(fleet.Machines)+1), Zone: old.Zone, Region: old.Region, Core: true})
	for index, machine := range fleet.Machines {
		if machine == old {
			fleet.Machines[index] = replacement
		}
	}
	fleet.removed = append(fleet.removed, old)
	replacement.env.Control, replacement.env.Data = fmt.Sprintf("10.0.2.%d:7400", len(fleet.removed)), fmt.Sprintf("10.0.2.%d:7500", len(fleet.removed))
	replacement.Name = fmt.Sprintf("m%d", 90+len(fleet.removed))
	replacement.env.Name = replacement.Name
	replacement.env.Seeds = nil
	for _, machine := range fleet.Machines {
		if machine.Up() && len(replacement.env.Seeds) < 3 {
			replacement.env.Seeds = append(replacement.env.Seeds, machine.env.Control)
		}
	}
	replacement.Start()
	return replacement
}

// RosterPatch is a write that sets the machines of a region in the manifest to the present ones.
func (fleet *Fleet) RosterPatch(region string) contract.OperatorRequest {
	names := Names(fleet.InRegion(region))
	body := mustMarshal(map[string]any{"regions": map[string]any{region: map[string]any{"machines": names}}})
	return contract.OperatorRequest{Verb: contract.VerbPatch, Body: body, Operation: fmt.Sprintf("roster-%d", fleet.World.Now)}
}

// WipeAndRestart kills a core machine, empties its disk and starts it at the same address after the span.
func (fleet *Fleet) WipeAndRestart(machine *Machine, span time.Duration) {
	if !machine.Up() {
		return
	}
	machine.Kill()
	machine.Disk.Wipe()
	fleet.World.After(span, func() {
		if !machine.Up() {
			machine.Start()
		}
	})
}

// HarmlessPatch is a write that only changes the home of one of 20 guests; each has an operation key of its own.
func (fleet *Fleet) HarmlessPatch(number int) contract.OperatorRequest {
	body := mustMarshal(map[string]any{"homes": map[string]any{fmt.Sprintf("guest-%d", number%20): fleet.Site.Regions()[number%2]}})
	return contract.OperatorRequest{Verb: contract.VerbPatch, Body: body, Operation: fmt.Sprintf("patch-%d-%d", number, fleet.World.Now)}
}
