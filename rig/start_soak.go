package rig

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// StartTroubles are what disturbs the first start of a fleet and the later starts of its processes.
type StartTroubles struct {
	// AddressesInUse, LateSettings and LeavingReaders are how many in a hundred addresses are in use at a start, settings files are empty at
	// a start, and readers of output go away.
	AddressesInUse, LateSettings, LeavingReaders int
	// CoreKills is how many times in series a core machine is killed after the first start, LoseDisk whether it loses its disk then.
	CoreKills int
	LoseDisk  bool
	// KillWithin bounds the time from the first start to the first kill.
	KillWithin time.Duration
}

// DrawStartTroubles returns the troubles of a seed: each kind on some seeds alone, on others together.
func DrawStartTroubles(seed uint64) *StartTroubles {
	random := rand.New(rand.NewPCG(seed, 9))
	return &StartTroubles{AddressesInUse: 20 * random.IntN(2), LateSettings: 10 * random.IntN(2), LeavingReaders: 30 * random.IntN(2),
		CoreKills: random.IntN(4), LoseDisk: random.IntN(2) > 0, KillWithin: time.Duration(random.Int64N(int64(coreKillPause)) + 1)}
}

const (
	// startBound is within what time after the last trouble the first configuration has to be taken and all machines have to be ready.
	startBound = 12 * time.Second
	// startSpread is how far apart the machines of a fleet start.
	startSpread = 300 * time.Millisecond
	// longestOccupation and latestSettings bound how long an address is in use and a settings file empty.
	longestOccupation = 2 * time.Second
	latestSettings    = time.Second
	// lastReaderLeaves bounds how long after a start the reader of the output leaves.
	lastReaderLeaves = 4 * time.Second
	coreKillPause    = 1500 * time.Millisecond
)

// drawn reports true in so many of a hundred draws.
func (fleet *gatewayFleet) drawn(percent int) bool { return fleet.below(100) < percent }

// troubleStart draws what disturbs the next start of a process, and returns how long that lasts.
func (fleet *gatewayFleet) troubleStart(machine *gatewayMachine, role string) (longest time.Duration) {
	troubles := fleet.plan.StartTroubles
	for _, port := range ports(role) {
		if fleet.drawn(troubles.AddressesInUse) {
			duration := fleet.between(longestOccupation/10, longestOccupation)
			longest = max(longest, duration)
			fleet.failIf(machine.occupy(port, duration))
		}
	}
	trouble := startTrouble{}
	if fleet.drawn(troubles.LateSettings) {
		fleet.count("settings that are empty at first")
		trouble.settingsLate = fleet.between(latestSettings/10, latestSettings)
		longest = max(longest, trouble.settingsLate)
	}
	if fleet.drawn(troubles.LeavingReaders) {
		fleet.count("readers of output that leave")
		trouble.readerLeaves = fleet.between(latestSettings/10, lastReaderLeaves)
	}
	machine.troubleNextStart(role, trouble)
	return longest
}

// startTroubled starts all machines for the first time under the plan's troubles, and waits until they are configured and ready.
func (fleet *gatewayFleet) startTroubled() error {
	calm := fleet.now()
	machines := fleet.present()
	for _, index := range fleet.permutation(len(machines)) {
		machine := machines[index]
		for _, role := range machine.roles() {
			calm = max(calm, fleet.now()+fleet.troubleStart(machine, role))
		}
		if err := machine.startAll(true); err != nil {
			return err
		}
		time.Sleep(fleet.between(0, startSpread/time.Duration(len(machines))))
	}
	if fleet.plan.StartTroubles.CoreKills > 0 {
		fleet.killCoreEarly()
		calm = max(calm, fleet.now()+mostRestartPause)
	}
	if err := fleet.operator.install(); err != nil {
		return err
	}
	configuredAt := fleet.now()
	if configuredAt > calm+startBound {
		fleet.fail(fmt.Errorf("the first configuration was taken %v after the last trouble", configuredAt-calm))
	}
	return fleet.awaitReady(max(calm, configuredAt) + startBound)
}

// killCoreEarly kills the control process of one core machine in series, with or without the loss of its disk.
func (fleet *gatewayFleet) killCoreEarly() {
	core := fleet.core()
	machine := core[fleet.below(len(core))]
	for count := range fleet.plan.StartTroubles.CoreKills {
		pause := coreKillPause
		if count == 0 {
			pause = fleet.plan.StartTroubles.KillWithin
		}
		time.Sleep(fleet.between(0, pause))
		fleet.count("early kills of a core process")
		endTrouble := machine.openTrouble()
		if fleet.plan.StartTroubles.LoseDisk {
			machine.loseDisk()
		}
		if process := machine.process(controlRole); process != nil {
			process.signal(syscall.SIGKILL)
			<-process.ended
		}
		endTrouble()
	}
}

// permutation returns the numbers below count in random order.
func (fleet *gatewayFleet) permutation(count int) []int {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.random.Perm(count)
}

// rewriteSettings writes the settings of a random machine's processes anew, which are empty for a moment, and sends SIGHUP meanwhile.
func (fleet *gatewayFleet) rewriteSettings() {
	machine := fleet.draw()
	if !machine.isRunning() {
		return
	}
	fleet.count("settings rewritten under a SIGHUP")
	for _, role := range machine.roles() {
		_, err := machine.writeSettings(role, false, fleet.between(time.Millisecond, latestSettings/10))
		fleet.failIf(err)
	}
	fleet.hangUpMachine(machine)
}
