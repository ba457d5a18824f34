package fleet

import (
	"time"
)

// watchPeriod is the interval at which manifests are checked.
const watchPeriod = 100 * time.Millisecond

// watchManifests reports the revision of each process to the ledger. A node is behind from the time at which a node that it can reach,
// directly or through others, has a newer revision. Nodes that are down or frozen are not checked.
func (fleet *Fleet) watchManifests() {
	behind := map[string]time.Duration{}
	var observe func()
	observe = func() {
		fleet.restartRecoveryTimers()
		groups := fleet.connectedGroups()
		newest := map[int]int64{}
		for _, machine := range fleet.Machines {
			for _, process := range machine.processes() {
				if process.healthy() {
					newest[groups[machine]] = max(newest[groups[machine]], process.Gauges["manifest_revision"])
				}
			}
		}
		for _, machine := range fleet.Machines {
			for _, process := range machine.processes() {
				name, revision := machine.Name+"-"+process.kind, process.Gauges["manifest_revision"]
				since, found := behind[name]
				switch {
				case !process.healthy() || revision >= newest[groups[machine]]:
					delete(behind, name)
				case !found:
					behind[name] = fleet.World.Now
				}
				if process.healthy() && revision > 0 {
					delay := time.Duration(0)
					if found && revision < newest[groups[machine]] {
						delay = fleet.World.Now - since
					}
					fleet.Ledger.ManifestHeld(name, revision, fleet.World.Now, delay)
				}
			}
		}
		fleet.World.After(watchPeriod, observe)
	}
	observe()
}

// restartRecoveryTimers restarts the recovery bound of a region while it cannot serve: the platform cannot be read, so that any server
// might be leaving, or neither a core majority nor a node of another region is up to provide the manifest.
func (fleet *Fleet) restartRecoveryTimers() {
	for region := range fleet.recovering {
		others := fleet.MachinesWhere(func(machine *Machine) bool { return machine.Region != region && machine.Up() && machine.freezes == 0 })
		cores := fleet.MachinesWhere(func(machine *Machine) bool { return machine.Core && machine.Up() && machine.freezes == 0 })
		cause := ""
		if fleet.Platform.Broken || fleet.Platform.Down {
			cause = "a look at a region that returned while the platform could not be read"
		} else if len(others) == 0 && len(cores) < 2 {
			cause = "a look at a region that returned while no node knew the manifest"
		}
		if cause != "" {
			fleet.recovering[region] = fleet.World.Now
			fleet.Ledger.Excuse(cause)
		}
	}
}

// healthy tells whether the process is up and not frozen.
func (process *Process) healthy() bool { return process.Up && !process.Frozen }

func (machine *Machine) processes() []*Process {
	if machine.Control == nil {
		return nil
	}
	return []*Process{machine.Control, machine.Data}
}

// connectedGroups numbers the sets of machines that can communicate over links open in both directions.
func (fleet *Fleet) connectedGroups() map[*Machine]int {
	groups := map[*Machine]int{}
	for index, machine := range fleet.Machines {
		if groups[machine] == 0 {
			fleet.assignGroup(machine, index+1, groups)
		}
	}
	return groups
}

// assignGroup adds a machine and all that it can reach to a group.
func (fleet *Fleet) assignGroup(machine *Machine, group int, groups map[*Machine]int) {
	groups[machine] = group
	for _, other := range fleet.Machines {
		connected := len(fleet.World.cut) == 0 || !fleet.World.isCut(machine.location(), other.location()) && !fleet.World.isCut(other.location(), machine.location())
		if groups[other] == 0 && connected && machine.Up() && other.Up() && machine.freezes == 0 && other.freezes == 0 {
			fleet.assignGroup(other, group, groups)
		}
	}
}
