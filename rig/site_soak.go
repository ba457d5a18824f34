package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
	"github.com/cedarreel/cedarreel/manifest"
)

// siteSeries are the troubles of a site that real processes on one machine can be given, by the site's name of their kind. Each plays one
// trouble to its end. Cuts of links, disks in trouble, clocks, losses of power and what only changes the traffic are not played.
var siteSeries = map[string]func(*gatewayFleet, emulator.Trouble){
	"after_ack_kill": func(fleet *gatewayFleet, trouble emulator.Trouble) { fleet.killCoreAfterAck(trouble, false) },
	"after_ack_wipe": func(fleet *gatewayFleet, trouble emulator.Trouble) { fleet.killCoreAfterAck(trouble, true) },
	"node_kill":      (*gatewayFleet).killDrawn,
	"herd_kill":      (*gatewayFleet).killTogether,
	"node_freeze":    (*gatewayFleet).freezeDrawn,
	"roll_term":      (*gatewayFleet).stopInTurn,
	"replace_core":   (*gatewayFleet).replaceCore,
	"config_change":  func(fleet *gatewayFleet, _ emulator.Trouble) { fleet.failIf(fleet.operator.change()) },
	"config_storm":   (*gatewayFleet).stormChanges,
	"release":        func(fleet *gatewayFleet, _ emulator.Trouble) { fleet.failIf(fleet.platform.replace()) },
	"scale_in":       func(fleet *gatewayFleet, _ emulator.Trouble) { fleet.failIf(fleet.platform.replace()) },
	"srv_crash":      func(fleet *gatewayFleet, _ emulator.Trouble) { fleet.failIf(fleet.platform.crash()) },
	"evacuate":       (*gatewayFleet).evacuate,
}

const (
	// siteTroublePause is the mean pause between two troubles of one series.
	siteTroublePause = 5 * time.Second
	// killAllPause is the mean pause between two kills of all processes of the core, or of the fleet.
	killAllPause = 25 * time.Second
	// usualTroubleSpan is how long a trouble lasts for which the site gives no duration.
	usualTroubleSpan = 4 * time.Second
	// usedSeries is how many in a hundred of a site's troubles a seed plays.
	usedSeries = 70
)

// startSiteSeries starts a series for each trouble that is drawn from the site, and one of kills of everything at once.
func (fleet *gatewayFleet) startSiteSeries(ctx context.Context) {
	random := rand.New(rand.NewPCG(fleet.plan.Seed, 11))
	for _, trouble := range fleet.plan.Site.Troubles {
		play := siteSeries[trouble.Kind]
		if play == nil || random.IntN(100) >= usedSeries {
			continue
		}
		fleet.startSeries(ctx, siteTroublePause, func() {
			fleet.count("trouble " + trouble.Kind)
			play(fleet, trouble)
		})
	}
	fleet.startSeries(ctx, killAllPause, fleet.killAllAtOnce)
	fleet.startSeries(ctx, gatewayHangupPause, fleet.hangUp)
}

// span is how long a trouble of a site lasts.
func span(trouble emulator.Trouble) time.Duration {
	if trouble.ForS > 0 {
		return inSeconds(trouble.ForS)
	}
	return usualTroubleSpan
}

// share is how many of all machines a trouble concerns, at least one.
func share(trouble emulator.Trouble, all int) int {
	return min(all, max(1, trouble.Count, int(trouble.Share*float64(all)+0.5)))
}

// claimCore claims a core machine that no other series disturbs while the rest of the core is well. It returns nil if there is none.
func (fleet *gatewayFleet) claimCore() (*gatewayMachine, func()) {
	core := fleet.core()
	return fleet.claimMachine(core[fleet.below(len(core))])
}

// killFor kills all processes of a machine, which stays down for a time.
func (machine *gatewayMachine) killFor(duration time.Duration) {
	endTrouble := machine.openTrouble()
	machine.lock.Lock()
	machine.downFor = duration
	machine.lock.Unlock()
	machine.signal(syscall.SIGKILL)
	machine.fleet.awaitRunning(machine)
	machine.lock.Lock()
	machine.downFor = 0
	machine.lock.Unlock()
	endTrouble()
}

// awaitRunning waits until all processes of a machine run, or it has left the fleet.
func (fleet *gatewayFleet) awaitRunning(machine *gatewayMachine) {
	time.Sleep(pollInterval)
	for began := fleet.now(); !machine.isRunning() && !machine.removed.Load(); time.Sleep(pollInterval) {
		if fleet.now() > began+restartLimit {
			fleet.fail(fmt.Errorf("%s is not back after %v", machine.name, restartLimit))
			return
		}
	}
}

// killCoreAfterAck kills a core machine right after a change was acknowledged, with or without its disk.
func (fleet *gatewayFleet) killCoreAfterAck(trouble emulator.Trouble, losesDisk bool) {
	machine, release := fleet.claimCore()
	if machine == nil {
		return
	}
	defer release()
	fleet.failIf(fleet.operator.change())
	if losesDisk {
		machine.loseDisk()
	}
	machine.killFor(span(trouble))
	time.Sleep(coreSyncTime)
}

// killDrawn kills machines: one of the core, or a share of the others at the same moment.
func (fleet *gatewayFleet) killDrawn(trouble emulator.Trouble) {
	if !trouble.Core {
		fleet.killTogether(trouble)
		return
	}
	machine, release := fleet.claimCore()
	if machine == nil {
		return
	}
	defer release()
	machine.killFor(span(trouble))
	time.Sleep(coreSyncTime)
}

// killTogether kills a share of the machines outside the core at the same moment.
func (fleet *gatewayFleet) killTogether(trouble emulator.Trouble) {
	machines := fleet.present()
	for _, index := range fleet.permutation(len(machines))[:share(trouble, len(machines))] {
		if machine := machines[index]; !machine.core {
			fleet.startTrouble(func() { machine.killFor(span(trouble)) })
		}
	}
}

// freezeDrawn suspends machines: one of the core, or a share of the others.
func (fleet *gatewayFleet) freezeDrawn(trouble emulator.Trouble) {
	if !trouble.Core {
		fleet.freezeMachine()
		return
	}
	machine, release := fleet.claimCore()
	if machine == nil {
		return
	}
	defer release()
	endTrouble := machine.openTrouble()
	machine.signal(syscall.SIGSTOP)
	time.Sleep(span(trouble))
	machine.signal(syscall.SIGCONT)
	endTrouble()
	time.Sleep(coreSyncTime)
}

// stopInTurn stops a share of the machines with SIGTERM, one shortly after the other.
func (fleet *gatewayFleet) stopInTurn(trouble emulator.Trouble) {
	machines := fleet.present()
	for _, index := range fleet.permutation(len(machines))[:share(trouble, len(machines))] {
		machine, release := fleet.claimMachine(machines[index])
		if machine == nil {
			continue
		}
		fleet.startTrouble(func() {
			defer release()
			fleet.stopClaimed(machine)
		})
		time.Sleep(inSeconds(trouble.GapS))
	}
}

// replaceCore removes a core machine for good, with SIGTERM or SIGKILL, and starts another one with an empty disk at a new address.
func (fleet *gatewayFleet) replaceCore(emulator.Trouble) {
	machine, release := fleet.claimCore()
	if machine == nil {
		return
	}
	defer release()
	endTrouble := machine.openTrouble()
	defer endTrouble()
	machine.removed.Store(true)
	if fleet.below(2) == 0 {
		machine.signal(syscall.SIGTERM)
		time.Sleep(fleet.between(0, fleet.shape.grace))
	}
	machine.end()
	successor := fleet.addMachine(gatewayPlace{gatewayZone{machine.zone, machine.region}, true})
	fleet.failIf(successor.startAll(false))
	fleet.awaitRunning(successor)
	time.Sleep(coreSyncTime)
}

// stormChanges sends changes in quick succession.
func (fleet *gatewayFleet) stormChanges(trouble emulator.Trouble) {
	for began := fleet.now(); fleet.now() < began+span(trouble); time.Sleep(inSeconds(trouble.GapS)) {
		fleet.failIf(fleet.operator.change())
	}
}

// evacuate empties a zone and takes that back.
func (fleet *gatewayFleet) evacuate(trouble emulator.Trouble) {
	zone := fleet.shape.zones[fleet.below(len(fleet.shape.zones))].name
	if fleet.operator.drain(zone, true) {
		time.Sleep(span(trouble))
	}
	if !fleet.operator.drain(zone, false) {
		fleet.fail(errors.New("taking an evacuation of " + zone + " back was not acknowledged"))
	}
}

// killAllAtOnce kills all processes of the core, or of the fleet, at the same moment. Their disks remain.
func (fleet *gatewayFleet) killAllAtOnce() {
	machines, event := fleet.core(), "kills of the whole core"
	if fleet.below(2) == 0 {
		machines, event = fleet.present(), "kills of the whole fleet"
	}
	fleet.count(event)
	for _, machine := range machines {
		fleet.startTrouble(func() { machine.killFor(0) })
	}
}

// startTrouble plays a part of a trouble beside the others. The check of the recovery waits for its end.
func (fleet *gatewayFleet) startTrouble(action func()) {
	fleet.series.Add(1)
	fleet.inBackground(func() {
		defer fleet.series.Done()
		action()
	})
}

// checkRecovered checks that all machines are ready within the recovery time after the last trouble, and that a change is taken then.
func (fleet *gatewayFleet) checkRecovered() {
	if err := fleet.awaitReady(fleet.now() + fleet.shape.recovery); err != nil {
		fleet.fail(fmt.Errorf("after the last trouble: %w", err))
	}
	if err := fleet.operator.change(); err != nil {
		fleet.fail(fmt.Errorf("after the last trouble: %w", err))
	}
}

// PlayedTroubles names the kinds of a site's troubles that a soak of real processes plays, and those that it leaves out.
func PlayedTroubles(site emulator.Site) (played, left []string) {
	kinds := map[string]bool{}
	for _, trouble := range site.Troubles {
		kinds[trouble.Kind] = siteSeries[trouble.Kind] != nil
	}
	for _, kind := range manifest.SortedKeys(kinds) {
		if kinds[kind] {
			played = append(played, kind)
		} else {
			left = append(left, kind)
		}
	}
	return played, left
}
