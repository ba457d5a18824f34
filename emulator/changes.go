package emulator

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// change moves the configuration on: a time-out, or a route that goes and one that comes. Some are whole, some by name.
func (day *Day) change(trouble Trouble) {
	operator := day.operator
	operator.whenFree(func(done func()) {
		next := operator.copy()
		upsert, remove := []string{}, []string{}
		if trouble.How == "idle" || trouble.How == "" && day.chance.IntN(2) == 0 {
			if spares := operator.spares(); len(spares) > 0 {
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
		sent, ask := operator.version(next, verb, upsert, remove)
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

// probeAll sends a few requests straight to each machine, on routes that came or went and on one that never was.
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

// probeWith sends a request with a key straight to a machine, on any route.
func (day *Day) probeWith(machine *machine, route, key string) {
	class := day.operator.plain()
	zone := day.site.Traffic[0].Zone
	for _, source := range day.site.Traffic {
		if source.Zone == machine.zone {
			zone = source.Zone
		}
	}
	if len(day.visitors[zone]) == 0 {
		return
	}
	one := day.call(day.visitors[zone][0], &class, day.chance)
	day.figures = day.figures[:len(day.figures)-1]
	one.route, one.straight, one.tries, one.key = route, machine, 1, key
	one.send(true)
}

// race has two operators send at the same time, on top of the same version.
func (day *Day) race(trouble Trouble) {
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
				sent, ask := operator.version(next, verb, []string{added}, nil)
				operator.send(sent, ask, func() {
					day.probeAll([]string{added}, seconds(0.5))
					if left--; left == 0 {
						day.world.After(trouble.gap(), done)
					}
				})
			}
		})
	}
}

func (day *Day) storm(trouble Trouble) {
	for span := time.Duration(0); span < trouble.span(); span += trouble.gap() {
		day.world.After(span, func() { day.change(Trouble{How: "timeout"}) })
	}
}

// bad sends configurations that are invalid, each in another way.
func (day *Day) bad(trouble Trouble) {
	operator := day.operator
	for range max(1, trouble.Count) {
		operator.whenFree(func(done func()) {
			next := operator.copy()
			route := operator.route("bad", operator.plain())
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
				route["split"] = []any{map[string]any{"service": operator.plain().Service, "weight": 0}}
			case 3:
				route["prefix"] = "/" + day.site.Classes[0].Name + "/"
			default:
				route["kind"] = "sometimes"
			}
			next.routes["bad"] = route
			sent, ask := operator.version(next, contract.VerbReplace, nil, nil)
			sent.Invalid = true
			operator.send(sent, ask, func() { day.world.After(trouble.gap(), done) })
		})
	}
}

func (day *Day) evacuate(trouble Trouble) {
	zone := trouble.Zone
	if zone == "" {
		zone = day.site.Zones[day.chance.IntN(len(day.site.Zones))].Name
	}
	back := func() {
		for _, server := range day.order {
			if server.up && server.zone == zone && !strings.Contains(trouble.How, "warm") {
				server.coldUntil = day.world.Now + seconds(server.service.ColdS)
			}
		}
	}
	day.operator.evacuate(zone, false, func() {
		day.world.After(trouble.span(), func() { day.operator.evacuate(zone, true, back) })
	})
}

// killAfterAck takes the power of the machine that acknowledges next; wipeAfterAck its disk too.
func (day *Day) killAfterAck(trouble Trouble) { day.afterAck(trouble, false) }
func (day *Day) wipeAfterAck(trouble Trouble) { day.afterAck(trouble, true) }

func (day *Day) afterAck(trouble Trouble, wiped bool) {
	day.change(Trouble{})
	day.operator.onAck = append(day.operator.onAck, func(acked *machine) {
		target := acked
		if wiped {
			target = day.wiped(acked)
		}
		if target.core && day.spareCore() == 0 {
			return
		}
		day.down(target, trouble.span(), true, wiped)
	})
}

// cutCore cuts machines of the core off, those of a zone if one is given. How they are cut off: from the other core machines alone
// (alone), from the machines of other zones too (near), or from all machines (all); one of alone and all when nothing is said. With
// one_way what they send is lost, and what is sent to them arrives.
func (day *Day) cutCore(trouble Trouble) {
	trouble.Core = true
	if trouble.Count == 0 {
		trouble.Count = 1
	}
	for _, machine := range day.nodes(trouble) {
		machine.lose(day.world.Now, day.world.Now+trouble.span())
		links := day.world.links([]string{machine.name}, day.cutFrom(machine, trouble), strings.Contains(trouble.How, "one_way"))
		day.world.After(trouble.span(), day.world.cutLinks(links))
	}
	day.beside(trouble)
}

// cutFrom names the machines that a core machine is cut off from.
func (day *Day) cutFrom(cut *machine, trouble Trouble) []string {
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

// replaceCore removes a machine of the core for good; an empty one comes at another address.
func (day *Day) replaceCore(trouble Trouble) {
	trouble.Core, trouble.Count = true, 1
	for _, old := range day.nodes(trouble) {
		old.lose(day.world.Now, day.world.Now+seconds(trouble.times())+returnTime)
		old.kill()
		old.gone, old.removed = true, day.world.Now
		day.world.darken(old.name)
		day.world.After(seconds(trouble.times()), func() {
			made := day.addMachine(old.zone, true)
			made.founded = true
			made.ill(day.world.Now, day.world.Now)
			made.start()
		})
	}
}

// disks lets something happen to the disks of core machines for a while.
func (day *Day) disks(trouble Trouble, begin, end func(*disk)) {
	trouble.Core = true
	for _, machine := range day.nodes(trouble) {
		machine.ill(day.world.Now, day.world.Now+trouble.span())
		begin(machine.disk)
		day.world.After(trouble.span(), func() { end(machine.disk) })
	}
}

func (day *Day) slowDisks(trouble Trouble) {
	day.disks(trouble, func(disk *disk) { disk.slow = trouble.times() }, func(disk *disk) { disk.slow = 1 })
}

func (day *Day) fillDisks(trouble Trouble) {
	day.disks(trouble, func(disk *disk) { disk.fill(1) }, func(disk *disk) { disk.fill(-1) })
}

func (day *Day) stallDisks(trouble Trouble) {
	day.disks(trouble, func(disk *disk) { disk.stall(1) }, func(disk *disk) { disk.stall(-1) })
}
