package fleet

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// narrow cuts a few links, either way alone or both, and mends just these.
func narrow(ends func(*Fleet) (left, right []string)) func(*Fleet, time.Duration) {
	return func(fleet *Fleet, span time.Duration) {
		left, right := ends(fleet)
		way := fleet.World.Random.IntN(3)
		if way != 0 {
			fleet.World.After(span, fleet.World.Cut(left, right))
		}
		if way != 1 {
			fleet.World.After(span, fleet.World.Cut(right, left))
		}
	}
}

// owning gives a machine that owns a shard, or any.
func (fleet *Fleet) owning() *Machine {
	owners := fleet.Pick(func(machine *Machine) bool { return machine.Up() && machine.Control.Gauges["shards_owned"] > 0 })
	if len(owners) == 0 {
		return one(fleet, fleet.Machines)
	}
	return one(fleet, owners)
}

func (fleet *Fleet) fromPlatform() (left, right []string) {
	machine := fleet.owning()
	return []string{machine.Name}, []string{"platform-" + machine.Region}
}

func (fleet *Fleet) fromServer() (left, right []string) {
	machine, names := fleet.owning(), []string{}
	for _, server := range fleet.Servers {
		if server.Region == machine.Region {
			names = append(names, server.Name)
		}
	}
	return []string{machine.Name}, []string{one(fleet, names)}
}

func (fleet *Fleet) fromFellows() (left, right []string) {
	machine := fleet.owning()
	return []string{machine.Name}, Names(fleet.InRegion(machine.Region))
}

func (fleet *Fleet) ownerFromNode() (left, right []string) {
	machine := fleet.owning()
	return []string{machine.Name}, []string{one(fleet, fleet.InRegion(machine.Region)).Name}
}

// most that a clock may run fast or slow in a day of trouble; ten times worse than a cheap oscillator's.
const mostDrift = 0.01

func drifting(fleet *Fleet, span time.Duration) {
	for _, machine := range fleet.Machines {
		fleet.World.After(span, machine.Drift((fleet.World.Random.Float64()*2-1)*mostDrift))
	}
}

func (fleet *Fleet) patch(name string, body map[string]any) contract.OperatorRequest {
	return contract.OperatorRequest{Verb: contract.VerbPatch, Body: content(body), Operation: fmt.Sprintf("%s-%d", name, fleet.World.Now)}
}

func reshard(fleet *Fleet, span time.Duration) {
	region := one(fleet, fleet.Site.Regions())
	for _, moment := range []time.Duration{0, span / 2} {
		shards := 1 + fleet.World.Random.IntN(4)
		fleet.World.After(moment, func() {
			fleet.Write(fleet.anyNode(), fleet.patch("shards", map[string]any{"regions": map[string]any{region: map[string]any{"shards": shards}}}), nil)
		})
	}
}

func reslot(fleet *Fleet, span time.Duration) {
	server := one(fleet, fleet.Servers)
	for place, slots := range []int64{max(1, server.Slots/2), server.Slots} {
		fleet.World.After(span*time.Duration(place), func() {
			fleet.Write(fleet.anyNode(), fleet.patch("slots", map[string]any{"pools": map[string]any{server.Pool: map[string]any{"slots": slots}}}), nil)
		})
	}
}

// answersLost is an operator who never gets the first answer and asks other nodes with the same key until one tells.
func answersLost(fleet *Fleet, span time.Duration) {
	for index := range 4 {
		fleet.World.After(span*time.Duration(index)/4, func() {
			ask := fleet.Patch(index)
			fleet.anyNode().Control.Ask(ask, func(contract.Response) {})
			fleet.World.After(time.Second, func() { fleet.askAgain(ask, 0) })
		})
	}
}

func (fleet *Fleet) askAgain(ask contract.OperatorRequest, tries int) {
	fleet.Write(fleet.anyNode(), ask, func(written Written) {
		if written.Status != 200 && written.Status != 202 && tries < 20 {
			fleet.World.After(time.Second, func() { fleet.askAgain(ask, tries+1) })
		}
	})
}

// careless callers send the same key again at other nodes and never say that it is a repeat.
func careless(fleet *Fleet, span time.Duration) {
	for index := range 40 {
		fleet.World.After(span*time.Duration(index)/40, func() {
			visit := fleet.Visit(fleet.Kind([]string{"long", "short"}[index%2]))
			visit.careless = true
			visit.send()
			for _, later := range []time.Duration{span / 10, span / 4, span / 2} {
				fleet.World.After(later, visit.send)
			}
		})
	}
}

func slowReaders(fleet *Fleet, span time.Duration) {
	for index := range 20 {
		fleet.World.After(span*time.Duration(index)/20, func() {
			visit := fleet.Visit(fleet.Kind("short"))
			visit.pace = time.Duration(fleet.World.Random.Int64N(int64(2 * time.Second)))
			visit.send()
		})
	}
}

// rollingRestart kills one machine after another, each for a moment.
func rollingRestart(fleet *Fleet, span time.Duration) {
	machines := fleet.InRegion(one(fleet, fleet.Site.Regions()))
	for place, machine := range machines {
		fleet.World.After(span*time.Duration(place)/time.Duration(len(machines)), func() {
			fleet.KillFor([]*Machine{machine}, time.Second)
		})
	}
}

// wipeCores kills all core machines at once and empties every folder: what was acknowledged lives on in the other nodes alone.
func (fleet *Fleet) wipeCores() {
	for _, machine := range fleet.Cores() {
		fleet.WipeAndReturn(machine, time.Second)
		machine.Disk.Wipe()
	}
}
