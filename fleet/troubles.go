package fleet

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// cutLinks makes a fault that cuts the links between two groups, in one or both directions, and restores only these.
func cutLinks(ends func(*Fleet) (left, right []string)) func(*Fleet, time.Duration) {
	return func(fleet *Fleet, span time.Duration) {
		left, right := ends(fleet)
		direction := fleet.World.Random.IntN(3)
		if direction != 0 {
			fleet.World.After(span, fleet.World.Cut(left, right))
		}
		if direction != 1 {
			fleet.World.After(span, fleet.World.Cut(right, left))
		}
	}
}

// shardOwner returns a random machine that owns a shard, or any machine if none does.
func (fleet *Fleet) shardOwner() *Machine {
	owners := fleet.MachinesWhere(func(machine *Machine) bool { return machine.Up() && machine.Control.Gauges["shards_owned"] > 0 })
	if len(owners) == 0 {
		return randomItem(fleet, fleet.Machines)
	}
	return randomItem(fleet, owners)
}

func (fleet *Fleet) ownerAndPlatform() (left, right []string) {
	machine := fleet.shardOwner()
	return []string{machine.Name}, []string{"platform-" + machine.Region}
}

func (fleet *Fleet) ownerAndServer() (left, right []string) {
	machine, names := fleet.shardOwner(), []string{}
	for _, server := range fleet.Servers {
		if server.Region == machine.Region {
			names = append(names, server.Name)
		}
	}
	return []string{machine.Name}, []string{randomItem(fleet, names)}
}

func (fleet *Fleet) ownerAndPeers() (left, right []string) {
	machine := fleet.shardOwner()
	return []string{machine.Name}, Names(fleet.InRegion(machine.Region))
}

func (fleet *Fleet) ownerAndDataNode() (left, right []string) {
	machine := fleet.shardOwner()
	return []string{machine.Name}, []string{randomItem(fleet, fleet.InRegion(machine.Region)).Name}
}

// maxDrift is the highest share by which a clock runs fast or slow: ten times the error of a cheap oscillator.
const maxDrift = 0.01

// driftClocks makes every clock run fast or slow by a random share.
func driftClocks(fleet *Fleet, span time.Duration) {
	for _, machine := range fleet.Machines {
		fleet.World.After(span, machine.Drift((fleet.World.Random.Float64()*2-1)*maxDrift))
	}
}

// patchRequest is a patch of the manifest with an operation key derived from the name.
func (fleet *Fleet) patchRequest(name string, body map[string]any) contract.OperatorRequest {
	return contract.OperatorRequest{Verb: contract.VerbPatch, Body: mustMarshal(body), Operation: fmt.Sprintf("%s-%d", name, fleet.World.Now)}
}

// changeShards changes the number of shards of a region twice.
func changeShards(fleet *Fleet, span time.Duration) {
	region := randomItem(fleet, fleet.Site.Regions())
	for _, delay := range []time.Duration{0, span / 2} {
		shards := 1 + fleet.World.Random.IntN(4)
		fleet.World.After(delay, func() {
			fleet.Write(fleet.anyNode(), fleet.patchRequest("shards", map[string]any{"regions": map[string]any{region: map[string]any{"shards": shards}}}), nil)
		})
	}
}

// changeSlots halves the slots of a pool for a span.
func changeSlots(fleet *Fleet, span time.Duration) {
	server := randomItem(fleet, fleet.Servers)
	for index, slots := range []int64{max(1, server.Slots/2), server.Slots} {
		fleet.World.After(span*time.Duration(index), func() {
			fleet.Write(fleet.anyNode(), fleet.patchRequest("slots", map[string]any{"pools": map[string]any{server.Pool: map[string]any{"slots": slots}}}), nil)
		})
	}
}

// loseAnswers sends writes whose first answer is lost; the operator retries at other nodes with the same operation key.
func loseAnswers(fleet *Fleet, span time.Duration) {
	for index := range 4 {
		fleet.World.After(span*time.Duration(index)/4, func() {
			request := fleet.HarmlessPatch(index)
			fleet.anyNode().Control.Ask(request, func(contract.Response) {})
			fleet.World.After(time.Second, func() { fleet.retryWrite(request, 0) })
		})
	}
}

// retryWrite sends a write to random nodes, up to 21 times, until it is accepted.
func (fleet *Fleet) retryWrite(request contract.OperatorRequest, attempt int) {
	fleet.Write(fleet.anyNode(), request, func(record WriteRecord) {
		if record.Status != 200 && record.Status != 202 && attempt < 20 {
			fleet.World.After(time.Second, func() { fleet.retryWrite(request, attempt+1) })
		}
	})
}

// retryUnmarked simulates clients that send the same key again to other nodes without marking it as a retry.
func retryUnmarked(fleet *Fleet, span time.Duration) {
	for index := range 40 {
		fleet.World.After(span*time.Duration(index)/40, func() {
			call := fleet.NewCall(fleet.CallerProfile([]string{"long", "short"}[index%2]))
			call.unmarkedRetries = true
			call.send()
			for _, later := range []time.Duration{span / 10, span / 4, span / 2} {
				fleet.World.After(later, call.send)
			}
		})
	}
}

// addSlowReaders adds clients that pause up to 2 s between reads.
func addSlowReaders(fleet *Fleet, span time.Duration) {
	for index := range 20 {
		fleet.World.After(span*time.Duration(index)/20, func() {
			call := fleet.NewCall(fleet.CallerProfile("short"))
			call.readDelay = time.Duration(fleet.World.Random.Int64N(int64(2 * time.Second)))
			call.send()
		})
	}
}

// rollingRestart restarts the machines of a region one after the other, each down for one second.
func rollingRestart(fleet *Fleet, span time.Duration) {
	machines := fleet.InRegion(randomItem(fleet, fleet.Site.Regions()))
	for index, machine := range machines {
		fleet.World.After(span*time.Duration(index)/time.Duration(len(machines)), func() {
			fleet.KillFor([]*Machine{machine}, time.Second)
		})
	}
}

// wipeCores kills all core machines and empties their disks: acknowledged writes survive only on the other nodes.
func (fleet *Fleet) wipeCores() {
	for _, machine := range fleet.Cores() {
		fleet.WipeAndRestart(machine, time.Second)
		machine.Disk.Wipe()
	}
}
