package fleet

import (
	"time"
)

const watchPeriod = 100 * time.Millisecond

// watch notes what each process has in force. A node is behind from the moment on when a node that it can speak with, over
// any number of others, holds more; only a node that is dead or frozen, or in no touch with one that knows, is not judged.
func (fleet *Fleet) watch() {
	behind := map[string]time.Duration{}
	var look func()
	look = func() {
		fleet.await()
		groups := fleet.groups()
		newest := map[int]int64{}
		for _, machine := range fleet.Machines {
			for _, process := range machine.processes() {
				if process.well() {
					newest[groups[machine]] = max(newest[groups[machine]], process.Gauges["manifest_revision"])
				}
			}
		}
		for _, machine := range fleet.Machines {
			for _, process := range machine.processes() {
				name, revision := machine.Name+"-"+process.kind, process.Gauges["manifest_revision"]
				since, there := behind[name]
				switch {
				case !process.well() || revision >= newest[groups[machine]]:
					delete(behind, name)
				case !there:
					behind[name] = fleet.World.Now
				}
				if process.well() && revision > 0 {
					late := time.Duration(0)
					if there && revision < newest[groups[machine]] {
						late = fleet.World.Now - since
					}
					fleet.Ledger.ManifestHeld(name, revision, fleet.World.Now, late)
				}
			}
		}
		fleet.World.After(watchPeriod, look)
	}
	look()
}

// await lets the time of a region's return begin anew while nobody could serve there: the platform cannot be read, so a server
// might be leaving, or neither a majority of the core nor any node of another region is up to tell the manifest.
func (fleet *Fleet) await() {
	for region := range fleet.awaiting {
		others := fleet.Pick(func(machine *Machine) bool { return machine.Region != region && machine.Up() && machine.freezes == 0 })
		cores := fleet.Pick(func(machine *Machine) bool { return machine.Core && machine.Up() && machine.freezes == 0 })
		cause := ""
		if fleet.Platform.Broken || fleet.Platform.Down {
			cause = "a look at a region that returned while the platform could not be read"
		} else if len(others) == 0 && len(cores) < 2 {
			cause = "a look at a region that returned while no node knew the manifest"
		}
		if cause != "" {
			fleet.awaiting[region] = fleet.World.Now
			fleet.Ledger.Excuse(cause)
		}
	}
}

func (process *Process) well() bool { return process.Up && !process.Frozen }

func (machine *Machine) processes() []*Process {
	if machine.Control == nil {
		return nil
	}
	return []*Process{machine.Control, machine.Data}
}

// groups numbers the sets of machines that are in touch with each other, over links that are open both ways.
func (fleet *Fleet) groups() map[*Machine]int {
	groups := map[*Machine]int{}
	for place, machine := range fleet.Machines {
		if groups[machine] == 0 {
			fleet.spread(machine, place+1, groups)
		}
	}
	return groups
}

func (fleet *Fleet) spread(machine *Machine, group int, groups map[*Machine]int) {
	groups[machine] = group
	for _, other := range fleet.Machines {
		open := len(fleet.World.cut) == 0 || !fleet.World.broken(machine.place(), other.place()) && !fleet.World.broken(other.place(), machine.place())
		if groups[other] == 0 && open && machine.Up() && other.Up() && machine.freezes == 0 && other.freezes == 0 {
			fleet.spread(other, group, groups)
		}
	}
}
