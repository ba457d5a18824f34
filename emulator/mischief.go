package emulator

import (
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/relay"
)

func (trouble Trouble) leads() bool { return strings.Contains(trouble.How, "leader") }

// head names the machine that heads the chain, as this one knows it.
func (machine *machine) head() string {
	for _, member := range machine.day.machines {
		if member.core && member.up() && member.control.leads() {
			return member.name
		}
	}
	return ""
}

func (day *Day) rush(trouble Trouble) {
	surge := &surge{class: trouble.Class, times: trouble.times()}
	day.bursts = append(day.bursts, surge)
	day.world.After(trouble.span(), func() { surge.times = 1 })
}

// move sends a share of a zone's callers to another zone.
func (day *Day) move(trouble Trouble) {
	from, to := day.chance.IntN(len(day.site.Zones)), day.chance.IntN(len(day.site.Zones)-1)
	if to >= from {
		to++
	}
	zone := day.site.Zones[from].Name
	day.shifts[zone] = shift{share: max(0.1, trouble.Share), to: day.site.Zones[to].Name}
	day.world.After(trouble.span(), func() { delete(day.shifts, zone) })
}

// crashServers ends servers; new ones come in their place unless they are gone. Dark ones are silent for a while and then go on.
func (day *Day) crashServers(trouble Trouble) {
	for _, server := range day.some(trouble) {
		if strings.Contains(trouble.How, "dark") {
			light := day.world.darken(server.name)
			server.dark = true
			day.world.After(trouble.span(), func() {
				server.dark = false
				light()
			})
			continue
		}
		server.crash()
		if !strings.Contains(trouble.How, "gone") {
			day.world.After(trouble.span(), func() { day.addServer(server.service, server.zone) })
		}
		day.world.After(crashStays+seconds(day.site.Bounds.ReuseS), func() { day.free = append(day.free, server.address) })
	}
}

func (day *Day) garble(trouble Trouble) {
	for _, server := range day.some(trouble) {
		server.garbled = max(0.01, trouble.X)
		day.world.After(trouble.span(), func() { server.garbled = 0 })
	}
}

func (day *Day) loseAnswers(trouble Trouble) {
	for _, server := range day.some(trouble) {
		server.lossy = max(0.01, trouble.X)
		day.world.After(trouble.span(), func() { server.lossy = 0 })
	}
}

const lingers = 1500 * time.Millisecond

func (day *Day) drainTime() time.Duration {
	return seconds(day.site.List.LagMs/1000) + milliseconds(day.site.Bounds.DrainMs) + lingers
}

// release replaces servers one after the other: a new one comes, an old one leaves.
func (day *Day) release(trouble Trouble) {
	for index, server := range day.some(trouble) {
		day.world.After(time.Duration(index)*trouble.gap(), func() {
			if server.up && !server.leaving {
				day.addServer(server.service, server.zone)
				server.depart(day.drainTime(), false)
			}
		})
	}
}

// scaleIn takes servers away: in order, or at short notice.
func (day *Day) scaleIn(trouble Trouble) {
	for _, server := range day.some(trouble) {
		if strings.Contains(trouble.How, "spot") {
			server.depart(seconds(trouble.times()), true)
			continue
		}
		server.depart(day.drainTime(), false)
	}
}

// coldReturn ends all servers of a zone and brings as many cold ones.
func (day *Day) coldReturn(trouble Trouble) {
	for _, server := range day.order {
		if !server.up || server.zone != trouble.Zone || server.leaving || server.dark {
			continue
		}
		if strings.Contains(trouble.How, "dark") {
			light := day.world.darken(server.name)
			server.dark = true
			day.world.After(trouble.span(), func() {
				server.dark, server.coldUntil = false, day.world.Now+seconds(server.service.ColdS)
				light()
			})
			continue
		}
		server.crash()
		day.world.After(trouble.span(), func() { day.addServer(server.service, server.zone) })
	}
}

// down takes a machine away for a span; a power loss says nothing to anybody.
func (day *Day) down(machine *machine, span time.Duration, power, wiped bool) {
	if !machine.up() {
		return
	}
	machine.lose(day.world.Now, day.world.Now+span)
	light := func() {}
	if power {
		machine.powerLost()
		light = day.world.darken(machine.name)
	} else {
		machine.kill()
	}
	if wiped && machine.disk != nil {
		machine.disk.Wipe()
	}
	boots := machine.boots
	day.world.After(span, func() {
		light()
		if machine.boots == boots {
			machine.start()
		}
	})
}

func (day *Day) killNodes(trouble Trouble) {
	for _, machine := range day.nodes(trouble) {
		span := trouble.span()
		if trouble.ForS == 0 {
			span = killReturn
		}
		day.down(machine, span, strings.Contains(trouble.How, "power"), false)
	}
	day.beside(trouble)
}

const killReturn = 500 * time.Millisecond

// beside plays what a variant has at the same moment: a race, or an evacuation.
func (day *Day) beside(trouble Trouble) {
	if strings.Contains(trouble.How, "race") {
		day.race(Trouble{Count: 1})
	}
	if strings.Contains(trouble.How, "drain") {
		day.evacuate(Trouble{Zone: day.site.Zones[day.chance.IntN(len(day.site.Zones))].Name, ForS: usualSpan})
	}
}

func (day *Day) freezeNodes(trouble Trouble) {
	for _, machine := range day.nodes(trouble) {
		machine.lose(day.world.Now, day.world.Now+trouble.span())
		day.world.After(trouble.span(), machine.freeze())
	}
	day.beside(trouble)
}

// cutNodes cuts machines off from all other machines, the servers and the list, or from the callers too.
func (day *Day) cutNodes(trouble Trouble) {
	for _, machine := range day.nodes(trouble) {
		machine.lose(day.world.Now, day.world.Now+trouble.span())
		if day.chance.IntN(2) == 0 {
			day.world.After(trouble.span(), day.world.darken(machine.name))
			continue
		}
		names := []string{"list"}
		for _, other := range day.machines {
			names = append(names, other.name)
		}
		for _, server := range day.order {
			names = append(names, server.name)
		}
		day.world.After(trouble.span(), day.world.cut([]string{machine.name}, names))
	}
}

// roll stops machines in turn and starts each again.
func (day *Day) roll(trouble Trouble) {
	all := []*machine{}
	for _, machine := range day.machines {
		if machine.up() {
			all = append(all, machine)
		}
	}
	day.chance.Shuffle(len(all), func(left, right int) { all[left], all[right] = all[right], all[left] })
	if trouble.Share == 0 && trouble.Count == 0 {
		trouble.Share = 0.35
	}
	for index, machine := range all[:trouble.count(len(all))] {
		day.world.After(time.Duration(index)*trouble.gap(), func() { day.term(machine) })
	}
}

const (
	termReturn = 300 * time.Millisecond
	waitCore   = time.Second
)

// term tells a machine to stop and starts it again when both processes have ended, or when the grace is over.
func (day *Day) term(machine *machine) {
	if !machine.up() || machine.freezes > 0 || machine.data.leaving {
		return
	}
	if machine.core && day.spareCore() == 0 {
		day.world.After(waitCore, func() { day.term(machine) })
		return
	}
	grace, boots, left := seconds(day.site.Bounds.GraceS), machine.boots, len(machine.processes())
	machine.record.Stops = append(machine.record.Stops, day.world.Now)
	back := machine.lose(day.world.Now, day.world.Now+grace+termReturn)
	end := func() {
		if machine.boots != boots || !machine.up() {
			return
		}
		machine.kill()
		back(day.world.Now + termReturn)
		day.world.After(termReturn, machine.start)
	}
	over := func() {
		if left--; left == 0 {
			end()
		}
	}
	if machine.control != nil {
		machine.control.leave(over)
	}
	machine.data.leave(over)
	day.world.After(grace, end)
}

func (day *Day) killHerd(trouble Trouble) {
	for _, machine := range day.nodes(trouble) {
		day.down(machine, trouble.span(), false, false)
	}
}

func (day *Day) stepClocks(trouble Trouble) {
	for _, machine := range day.machines {
		if day.chance.Float64() < max(0.1, trouble.Share) {
			step := seconds(trouble.times())
			if strings.Contains(trouble.How, "back") {
				step = -step
			}
			machine.wall += step
			machine.ill(day.world.Now, day.world.Now)
			day.world.After(trouble.span(), func() {
				machine.wall -= step
				machine.ill(day.world.Now, day.world.Now)
			})
		}
	}
}

// close is the last fault of a day: it comes right after a configuration was acknowledged.
func (day *Day) close(how string) {
	day.plan = append(day.plan, "closing:"+how)
	day.record.FinalFaultAt = day.world.Now
	day.change(Trouble{})
	day.operator.onAck = append(day.operator.onAck, func(acked *machine) {
		day.record.FinalFaultAt, day.record.RestartedAt = day.world.Now, day.world.Now+closingDown
		day.record.Unplanned = append(day.record.Unplanned, rules.Span{From: day.world.Now, Until: day.world.Now + closingDown})
		for _, machine := range day.machines {
			switch how {
			case "kill_all":
				day.down(machine, closingDown, false, false)
			case "power_off_all":
				day.down(machine, closingDown, true, false)
			default:
				if machine == acked || machine.core {
					day.down(machine, closingDown, true, machine == day.wiped(acked))
				}
			}
		}
	})
}

// wiped is the machine that loses its disk: the one that acknowledged if it is of the core, or the first one of the core.
func (day *Day) wiped(acked *machine) *machine {
	if acked.core {
		return acked
	}
	for _, machine := range day.machines {
		if machine.core && !machine.gone {
			return machine
		}
	}
	return nil
}

const closingDown = 1200 * time.Millisecond

// loseRelayed loses a share x of what members carry for others, however often it is sent.
func (day *Day) loseRelayed(trouble Trouble) {
	day.relayLoss = trouble.times()
	day.world.After(trouble.span(), func() { day.relayLoss = 0 })
}

func (day *Day) losesRelayed(kind string) bool {
	carried := kind == relay.MessageForward || kind == relay.MessageDeliver
	return carried && day.relayLoss > 0 && day.chance.Float64() < day.relayLoss
}
