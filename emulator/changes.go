package emulator

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// changeConfiguration changes a timeout, or removes a route and adds one. Half of the changes replace the whole configuration, the
// others name only what differs.
func (day *Day) changeConfiguration(trouble Trouble) {
	operator := day.operator
	operator.whenFree(func(done func()) {
		next := operator.copy()
		upsert, remove := []string{}, []string{}
		if trouble.How == "idle" || trouble.How == "" && day.chance.IntN(2) == 0 {
			if spares := operator.spareRoutes(); len(spares) > 0 {
				gone := spares[day.chance.IntN(len(spares))]
				delete(next.routes, gone)
				remove = append(remove, gone)
			}
			upsert = append(upsert, operator.addSpare(next))
		} else {
			names := manifest.SortedKeys(next.routes)
			name := names[day.chance.IntN(len(names))]
			route := maps.Clone(next.routes[name].(map[string]any))
			route["timeoutMs"] = asFloat(route["timeoutMs"]) + float64(100*(1+day.chance.IntN(5)))
			next.routes[name] = route
			upsert = append(upsert, name)
		}
		verb := contract.VerbUpdate
		if day.chance.IntN(2) == 0 {
			verb = contract.VerbReplace
		}
		sent, ask := operator.newVersion(next, verb, upsert, remove)
		operator.send(sent, ask, func() {
			day.probeAll(append(upsert, remove...), seconds(0.5))
			day.probeAll(append(upsert, remove...), day.record.Bounds.Propagate+seconds(0.3))
			done()
		})
	})
}

func asFloat(value any) float64 {
	number, _ := value.(float64)
	return number
}

// probeAll sends a few requests directly to each machine, on routes that were added or removed and on one that never existed.
func (day *Day) probeAll(routes []string, after time.Duration) {
	day.world.After(after, func() {
		for _, machine := range day.machines {
			if !machine.up() || !machine.data.ready() {
				continue
			}
			for _, route := range append([]string{"never"}, routes...) {
				day.probe(machine, route)
			}
		}
	})
}

func (day *Day) probe(machine *machine, route string) {
	for _, one := range day.site.Classes {
		if one.Name == route {
			return
		}
	}
	day.probeWith(machine, route, day.operator.heldKey(day.chance.IntN))
}

// probeWith sends a request with a given key directly to a machine, on any route.
func (day *Day) probeWith(machine *machine, route, key string) {
	class := day.operator.plainClass()
	zone := day.site.Traffic[0].Zone
	for _, source := range day.site.Traffic {
		if source.Zone == machine.zone {
			zone = source.Zone
		}
	}
	if len(day.clients[zone]) == 0 {
		return
	}
	one := day.newCall(day.clients[zone][0], &class, day.chance)
	day.figures = day.figures[:len(day.figures)-1]
	one.route, one.machine, one.attemptsLeft, one.key = route, machine, 1, key
	one.send(true)
}

// raceConfigurations has two operators send changes at the same time on top of the same version.
func (day *Day) raceConfigurations(trouble Trouble) {
	operator := day.operator
	for range max(1, trouble.Count) {
		operator.whenFree(func(done func()) {
			left := 2
			for range 2 {
				next := operator.copy()
				added := operator.addSpare(next)
				verb := contract.VerbReplace
				if day.chance.IntN(2) == 0 {
					verb = contract.VerbUpdate
				}
				sent, ask := operator.newVersion(next, verb, []string{added}, nil)
				operator.send(sent, ask, func() {
					day.probeAll([]string{added}, seconds(0.5))
					if left--; left == 0 {
						day.world.After(trouble.interval(), done)
					}
				})
			}
		})
	}
}

// stormConfigurations changes the configuration in every interval of the trouble.
func (day *Day) stormConfigurations(trouble Trouble) {
	for span := time.Duration(0); span < trouble.duration(); span += trouble.interval() {
		day.world.After(span, func() { day.changeConfiguration(Trouble{How: "timeout"}) })
	}
}

// sendInvalidConfigurations sends configurations that are invalid for different reasons; all must be refused.
func (day *Day) sendInvalidConfigurations(trouble Trouble) {
	operator := day.operator
	for range max(1, trouble.Count) {
		operator.whenFree(func(done func()) {
			next := operator.copy()
			route := operator.route("bad", operator.plainClass())
			route["prefix"] = fmt.Sprintf("/bad-%d/", operator.highest)
			switch ways := 5 + min(1, len(next.tenants)/2); day.chance.IntN(ways) {
			case 5:
				if !operator.sharedKey(next) {
					route["service"] = "nobody"
				}
			case 0:
				route["service"] = "nobody"
			case 1:
				route["timeoutMs"] = 0
			case 2:
				delete(route, "service")
				route["split"] = []any{map[string]any{"service": operator.plainClass().Service, "weight": 0}}
			case 3:
				route["prefix"] = "/" + day.site.Classes[0].Name + "/"
			default:
				route["kind"] = "sometimes"
			}
			next.routes["bad"] = route
			sent, ask := operator.newVersion(next, contract.VerbReplace, nil, nil)
			sent.Invalid = true
			operator.send(sent, ask, func() { day.world.After(trouble.interval(), done) })
		})
	}
}

// drainZone drains a zone for a while. Its servers return cold unless the variant is "warm".
func (day *Day) drainZone(trouble Trouble) {
	zone := trouble.Zone
	if zone == "" {
		zone = day.site.Zones[day.chance.IntN(len(day.site.Zones))].Name
	}
	back := func() {
		for _, server := range day.serversInOrder {
			if server.up && server.zone == zone && !strings.Contains(trouble.How, "warm") {
				server.coldUntil = day.world.Now + seconds(server.service.ColdS)
			}
		}
	}
	day.operator.evacuate(zone, false, func() {
		day.world.After(trouble.duration(), func() { day.operator.evacuate(zone, true, back) })
	})
}

// killAfterAck cuts the power of the machine that acknowledges the next change; wipeAfterAck also erases its disk.
func (day *Day) killAfterAck(trouble Trouble) { day.failAfterAck(trouble, false) }
func (day *Day) wipeAfterAck(trouble Trouble) { day.failAfterAck(trouble, true) }

func (day *Day) failAfterAck(trouble Trouble, wiped bool) {
	day.changeConfiguration(Trouble{})
	day.operator.onAck = append(day.operator.onAck, func(acked *machine) {
		target := acked
		if wiped {
			target = day.wipeTarget(acked)
		}
		if target.core && day.spareCore() == 0 {
			return
		}
		day.takeDown(target, trouble.duration(), true, wiped)
	})
}

// cutCore cuts core machines off, those of a zone if one is given: from the other core machines ("alone"), also from all machines of
// other zones ("near"), or from all machines ("all"). Without a variant, alone or all is drawn. With "one_way" only what they send
// is lost.
func (day *Day) cutCore(trouble Trouble) {
	trouble.Core = true
	if trouble.Count == 0 {
		trouble.Count = 1
	}
	for _, machine := range day.pickMachines(trouble) {
		machine.recordOutage(day.world.Now, day.world.Now+trouble.duration())
		links := day.world.links([]string{machine.name}, day.cutTargets(machine, trouble), strings.Contains(trouble.How, "one_way"))
		day.world.After(trouble.duration(), day.world.cutLinks(links))
	}
	day.alsoBegin(trouble)
}

// cutTargets names the machines that a core machine is cut off from.
func (day *Day) cutTargets(cut *machine, trouble Trouble) []string {
	near, all := strings.Contains(trouble.How, "near"), strings.Contains(trouble.How, "all")
	if !near && !all && !strings.Contains(trouble.How, "alone") {
		all = day.chance.IntN(2) == 1
	}
	names := []string{}
	for _, other := range day.machines {
		if other.core || all || near && other.zone != cut.zone {
			names = append(names, other.name)
		}
	}
	return names
}

// replaceCore removes a core machine for good; an empty one starts later at another address.
func (day *Day) replaceCore(trouble Trouble) {
	trouble.Core, trouble.Count = true, 1
	for _, old := range day.pickMachines(trouble) {
		old.recordOutage(day.world.Now, day.world.Now+seconds(trouble.factorOrDefault())+recoveryTime)
		old.kill()
		old.removed, old.removedAt = true, day.world.Now
		day.world.isolate(old.name)
		day.world.After(seconds(trouble.factorOrDefault()), func() {
			made := day.addMachine(old.zone, true)
			made.joined = true
			made.recordTrouble(day.world.Now, day.world.Now)
			made.start()
		})
	}
}

// disturbDisks applies a disk fault to core machines for a while.
func (day *Day) disturbDisks(trouble Trouble, begin, end func(*disk)) {
	trouble.Core = true
	for _, machine := range day.pickMachines(trouble) {
		machine.recordTrouble(day.world.Now, day.world.Now+trouble.duration())
		begin(machine.disk)
		day.world.After(trouble.duration(), func() { end(machine.disk) })
	}
}

func (day *Day) slowDisks(trouble Trouble) {
	day.disturbDisks(trouble, func(disk *disk) { disk.slow = trouble.factorOrDefault() }, func(disk *disk) { disk.slow = 1 })
}

func (day *Day) fillDisks(trouble Trouble) {
	day.disturbDisks(trouble, func(disk *disk) { disk.fill(1) }, func(disk *disk) { disk.fill(-1) })
}

func (day *Day) stallDisks(trouble Trouble) {
	day.disturbDisks(trouble, func(disk *disk) { disk.stall(1) }, func(disk *disk) { disk.stall(-1) })
}
