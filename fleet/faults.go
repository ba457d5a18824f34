package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/site"
)

// KillFor kills machines at once and starts them again later.
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

func (fleet *Fleet) FreezeFor(machines []*Machine, span time.Duration) {
	thaws := []func(){}
	for _, machine := range machines {
		if machine.Up() {
			thaws = append(thaws, machine.Freeze())
		}
	}
	fleet.World.After(span, func() {
		for _, thaw := range thaws {
			thaw()
		}
	})
}

// around gives all that stands in the zones or regions of machines besides the machines: servers, platform, callers.
func (fleet *Fleet) around(machines []*Machine) []string {
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

func (fleet *Fleet) everything() []string {
	return fleet.around(fleet.Machines)
}

// CutFor cuts a group off from all others for a while; with its surroundings when it is a whole region.
func (fleet *Fleet) CutFor(group []string, span time.Duration, bothWays bool) {
	inside := map[string]bool{}
	for _, name := range group {
		inside[name] = true
	}
	others := []string{}
	for _, name := range fleet.everything() {
		if !inside[name] {
			others = append(others, name)
		}
	}
	fleet.World.After(span, fleet.World.Cut(group, others))
	if bothWays {
		fleet.World.After(span, fleet.World.Cut(others, group))
	}
}

func (fleet *Fleet) InRegion(region string) []*Machine {
	return fleet.Pick(func(machine *Machine) bool { return machine.Region == region })
}

func (fleet *Fleet) InZone(zone string) []*Machine {
	return fleet.Pick(func(machine *Machine) bool { return machine.Zone == zone })
}

func (fleet *Fleet) Cores() []*Machine {
	return fleet.Pick(func(machine *Machine) bool { return machine.Core })
}

// KillRegion kills a region and says to the ledger when it is back.
func (fleet *Fleet) KillRegion(region string, span time.Duration) {
	fleet.KillFor(fleet.InRegion(region), span)
	delete(fleet.awaiting, region)
	fleet.World.After(span, func() {
		if !slices.ContainsFunc(fleet.InRegion(region), func(machine *Machine) bool { return !machine.Up() }) {
			fleet.Returned(region)
		}
	})
}

// Swap takes a core machine away for good and puts an empty one at a new address; the rosters follow by a patch.
func (fleet *Fleet) Swap(old *Machine) *Machine {
	if old.Up() {
		old.Kill()
	}
	fresh := fleet.NewMachine(site.Machine{Name: fmt.Sprintf("m%02d", len(fleet.Machines)+1), Zone: old.Zone, Region: old.Region, Core: true})
	for place, machine := range fleet.Machines {
		if machine == old {
			fleet.Machines[place] = fresh
		}
	}
	fleet.gone = append(fleet.gone, old)
	fresh.env.Control, fresh.env.Data = fmt.Sprintf("10.0.2.%d:7400", len(fleet.gone)), fmt.Sprintf("10.0.2.%d:7500", len(fleet.gone))
	fresh.Name = fmt.Sprintf("m%d", 90+len(fleet.gone))
	fresh.env.Name = fresh.Name
	fresh.env.Seeds = nil
	for _, machine := range fleet.Machines {
		if machine.Up() && len(fresh.env.Seeds) < 3 {
			fresh.env.Seeds = append(fresh.env.Seeds, machine.env.Control)
		}
	}
	fresh.Start()
	return fresh
}

// Roster patches a region's machines to those that stand now.
func (fleet *Fleet) Roster(region string) contract.OperatorRequest {
	names := Names(fleet.InRegion(region))
	body := content(map[string]any{"regions": map[string]any{region: map[string]any{"machines": names}}})
	return contract.OperatorRequest{Verb: contract.VerbPatch, Body: body, Operation: fmt.Sprintf("roster-%d", fleet.World.Now)}
}

// WipeAndReturn restarts a core machine with an empty folder at its old address.
func (fleet *Fleet) WipeAndReturn(machine *Machine, span time.Duration) {
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

// Patch makes an ask that changes something harmless, so that each one is its own.
func (fleet *Fleet) Patch(number int) contract.OperatorRequest {
	body := content(map[string]any{"homes": map[string]any{fmt.Sprintf("guest-%d", number%20): fleet.Site.Regions()[number%2]}})
	return contract.OperatorRequest{Verb: contract.VerbPatch, Body: body, Operation: fmt.Sprintf("patch-%d-%d", number, fleet.World.Now)}
}
