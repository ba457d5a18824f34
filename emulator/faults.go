package emulator

import (
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/relay"
)

func (trouble Trouble) targetsLeader() bool { return strings.Contains(trouble.How, "leader") }

// chainHead names the machine that heads the chain, empty without one.
func (machine *machine) chainHead() string {
	for _, member := range machine.day.machines {
		if member.core && member.up() && member.control.isHead() {
			return member.name
		}
	}
	return ""
}

func (day *Day) beginBurst(trouble Trouble) {
	surge := &surge{class: trouble.Class, factor: trouble.factorOrDefault()}
	day.surges = append(day.surges, surge)
	day.world.After(trouble.duration(), func() { surge.factor = 1 })
}

// shiftClients moves a share of the callers of one zone to another.
func (day *Day) shiftClients(trouble Trouble) {
	from, to := day.chance.IntN(len(day.site.Zones)), day.chance.IntN(len(day.site.Zones)-1)
	if to >= from {
		to++
	}
	zone := day.site.Zones[from].Name
	day.clientShifts[zone] = clientShift{share: max(0.1, trouble.Share), to: day.site.Zones[to].Name}
	day.world.After(trouble.duration(), func() { delete(day.clientShifts, zone) })
}

// crashServers ends servers; unless the variant is "gone", new ones replace them. With "dark" they only stop communicating for a
// while.
func (day *Day) crashServers(trouble Trouble) {
	for _, server := range day.pickServers(trouble) {
		if strings.Contains(trouble.How, "dark") {
			reconnect := day.world.isolate(server.name)
			server.silent = true
			day.world.After(trouble.duration(), func() {
				server.silent = false
				reconnect()
			})
			continue
		}
		server.crash()
		if !strings.Contains(trouble.How, "gone") {
			day.world.After(trouble.duration(), func() { day.addServer(server.service, server.zone) })
		}
		day.world.After(crashListedTime+seconds(day.site.Bounds.ReuseS), func() { day.freeAddresses = append(day.freeAddresses, server.address) })
	}
}

func (day *Day) garble(trouble Trouble) {
	for _, server := range day.pickServers(trouble) {
		server.garbleShare = max(0.01, trouble.X)
		day.world.After(trouble.duration(), func() { server.garbleShare = 0 })
	}
}

func (day *Day) loseAnswers(trouble Trouble) {
	for _, server := range day.pickServers(trouble) {
		server.answerLossShare = max(0.01, trouble.X)
		day.world.After(trouble.duration(), func() { server.answerLossShare = 0 })
	}
}

const departureMargin = 1500 * time.Millisecond

func (day *Day) drainTime() time.Duration {
	return seconds(day.site.List.LagMs/1000) + milliseconds(day.site.Bounds.DrainMs) + departureMargin
}

// release replaces servers one after the other, each by a new one.
func (day *Day) release(trouble Trouble) {
	for index, server := range day.pickServers(trouble) {
		day.world.After(time.Duration(index)*trouble.interval(), func() {
			if server.up && !server.leaving {
				day.addServer(server.service, server.zone)
				server.leave(day.drainTime(), false)
			}
		})
	}
}

// scaleIn removes servers after a regular drain, or with "spot" at short notice.
func (day *Day) scaleIn(trouble Trouble) {
	for _, server := range day.pickServers(trouble) {
		if strings.Contains(trouble.How, "spot") {
			server.leave(seconds(trouble.factorOrDefault()), true)
			continue
		}
		server.leave(day.drainTime(), false)
	}
}

// coldReturn ends all servers of a zone and brings back as many cold ones.
func (day *Day) coldReturn(trouble Trouble) {
	for _, server := range day.serversInOrder {
		if !server.up || server.zone != trouble.Zone || server.leaving || server.silent {
			continue
		}
		if strings.Contains(trouble.How, "dark") {
			reconnect := day.world.isolate(server.name)
			server.silent = true
			day.world.After(trouble.duration(), func() {
				server.silent, server.coldUntil = false, day.world.Now+seconds(server.service.ColdS)
				reconnect()
			})
			continue
		}
		server.crash()
		day.world.After(trouble.duration(), func() { day.addServer(server.service, server.zone) })
	}
}

// takeDown takes a machine down for a span; after a power loss no other end is notified.
func (day *Day) takeDown(machine *machine, span time.Duration, power, wiped bool) {
	if !machine.up() {
		return
	}
	machine.recordOutage(day.world.Now, day.world.Now+span)
	reconnect := func() {}
	if power {
		machine.powerLost()
		reconnect = day.world.isolate(machine.name)
	} else {
		machine.kill()
	}
	if wiped && machine.disk != nil {
		machine.disk.Wipe()
	}
	boots := machine.boots
	day.world.After(span, func() {
		reconnect()
		if machine.boots == boots {
			machine.start()
		}
	})
}

func (day *Day) killNodes(trouble Trouble) {
	for _, machine := range day.pickMachines(trouble) {
		span := trouble.duration()
		if trouble.ForS == 0 {
			span = killDowntime
		}
		day.takeDown(machine, span, strings.Contains(trouble.How, "power"), false)
	}
	day.alsoBegin(trouble)
}

const killDowntime = 500 * time.Millisecond

// alsoBegin begins what a variant adds at the same moment: a race of configurations, or a drain.
func (day *Day) alsoBegin(trouble Trouble) {
	if strings.Contains(trouble.How, "race") {
		day.raceConfigurations(Trouble{Count: 1})
	}
	if strings.Contains(trouble.How, "drain") {
		day.drainZone(Trouble{Zone: day.site.Zones[day.chance.IntN(len(day.site.Zones))].Name, ForS: defaultTroubleSeconds})
	}
}

func (day *Day) freezeNodes(trouble Trouble) {
	for _, machine := range day.pickMachines(trouble) {
		machine.recordOutage(day.world.Now, day.world.Now+trouble.duration())
		day.world.After(trouble.duration(), machine.freeze())
	}
	day.alsoBegin(trouble)
}

// cutNodes cuts machines off from all other machines, the servers and the list, or from the callers as well.
func (day *Day) cutNodes(trouble Trouble) {
	for _, machine := range day.pickMachines(trouble) {
		machine.recordOutage(day.world.Now, day.world.Now+trouble.duration())
		if day.chance.IntN(2) == 0 {
			day.world.After(trouble.duration(), day.world.isolate(machine.name))
			continue
		}
		names := []string{"list"}
		for _, other := range day.machines {
			names = append(names, other.name)
		}
		for _, server := range day.serversInOrder {
			names = append(names, server.name)
		}
		day.world.After(trouble.duration(), day.world.cutBetween([]string{machine.name}, names))
	}
}

// rollingRestart stops machines in turn and starts each again.
func (day *Day) rollingRestart(trouble Trouble) {
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
		day.world.After(time.Duration(index)*trouble.interval(), func() { day.restartGracefully(machine) })
	}
}

const (
	restartDowntime = 300 * time.Millisecond
	coreRetryPause  = time.Second
)

// restartGracefully asks a machine to stop, and starts it again when both processes have ended or the grace period is over. A core
// machine waits until the core can spare it.
func (day *Day) restartGracefully(machine *machine) {
	if !machine.up() || machine.freezeCount > 0 || machine.data.leaving {
		return
	}
	if machine.core && day.spareCore() == 0 {
		day.world.After(coreRetryPause, func() { day.restartGracefully(machine) })
		return
	}
	grace, boots, left := seconds(day.site.Bounds.GraceS), machine.boots, len(machine.processes())
	machine.record.Stops = append(machine.record.Stops, day.world.Now)
	back := machine.recordOutage(day.world.Now, day.world.Now+grace+restartDowntime)
	end := func() {
		if machine.boots != boots || !machine.up() {
			return
		}
		machine.kill()
		back(day.world.Now + restartDowntime)
		day.world.After(restartDowntime, machine.start)
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

func (day *Day) killTogether(trouble Trouble) {
	for _, machine := range day.pickMachines(trouble) {
		day.takeDown(machine, trouble.duration(), false, false)
	}
}

func (day *Day) stepClocks(trouble Trouble) {
	for _, machine := range day.machines {
		if day.chance.Float64() < max(0.1, trouble.Share) {
			step := seconds(trouble.factorOrDefault())
			if strings.Contains(trouble.How, "back") {
				step = -step
			}
			machine.clockOffset += step
			machine.recordTrouble(day.world.Now, day.world.Now)
			day.world.After(trouble.duration(), func() {
				machine.clockOffset -= step
				machine.recordTrouble(day.world.Now, day.world.Now)
			})
		}
	}
}

// beginFinalFault begins the last fault of a day, right after a configuration was acknowledged.
func (day *Day) beginFinalFault(how string) {
	day.plan = append(day.plan, "closing:"+how)
	day.record.FinalFaultAt = day.world.Now
	day.changeConfiguration(Trouble{})
	day.operator.onAck = append(day.operator.onAck, func(acked *machine) {
		day.record.FinalFaultAt, day.record.RestartedAt = day.world.Now, day.world.Now+finalFaultDowntime
		day.record.Unplanned = append(day.record.Unplanned, rules.Span{From: day.world.Now, Until: day.world.Now + finalFaultDowntime})
		for _, machine := range day.machines {
			switch how {
			case "kill_all":
				day.takeDown(machine, finalFaultDowntime, false, false)
			case "power_off_all":
				day.takeDown(machine, finalFaultDowntime, true, false)
			default:
				if machine == acked || machine.core {
					day.takeDown(machine, finalFaultDowntime, true, machine == day.wipeTarget(acked))
				}
			}
		}
	})
}

// wipeTarget is the machine that loses its disk: the acknowledging one if it is in the core, otherwise the first of the core.
func (day *Day) wipeTarget(acked *machine) *machine {
	if acked.core {
		return acked
	}
	for _, machine := range day.machines {
		if machine.core && !machine.removed {
			return machine
		}
	}
	return nil
}

const finalFaultDowntime = 1200 * time.Millisecond

// loseRelayed drops a share X of relayed messages; each retransmission is drawn anew.
func (day *Day) loseRelayed(trouble Trouble) {
	day.relayLoss = trouble.factorOrDefault()
	day.world.After(trouble.duration(), func() { day.relayLoss = 0 })
}

func (day *Day) losesRelayed(kind string) bool {
	carried := kind == relay.MessageForward || kind == relay.MessageDeliver
	return carried && day.relayLoss > 0 && day.chance.Float64() < day.relayLoss
}
