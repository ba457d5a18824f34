package rig

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
)

// Mean pauses between two actions of a series, for a fleet of usualMachines; larger fleets get more of them.
const (
	usualMachines      = 12
	gatewayKillPause   = 11 * time.Second
	gatewayFreezePause = 9 * time.Second
	gatewayHangupPause = 400 * time.Millisecond
	gatewayChangePause = 700 * time.Millisecond
	gatewayLeavePause  = 5 * time.Second

	gatewayRewritePause = 2 * time.Second
	// settleTime is how long callers go on after the last signal, so that the last stops are seen to their end.
	settleTime = 10 * time.Second
	// callersEndLimit is how long the last calls and stops may take.
	callersEndLimit = restartLimit + 20*time.Second
)

// SoakGateways starts a fleet of gateways, plays overlapping series of signals, restarts and changes under callers that keep their
// connections, and reports whether no rule was broken. All processes have ended when it returns.
func SoakGateways(plan GatewayPlan) (bool, error) {
	fleet, err := newGatewayFleet(plan)
	if err != nil {
		return false, err
	}
	defer fleet.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	results := make(chan playResult, 1)
	go func() {
		clean, err := fleet.soak()
		results <- playResult{clean, err}
	}()
	select {
	case <-signals:
		return false, errors.New("ended by a signal; every process that was started is ended too")
	case result := <-results:
		return result.clean, result.err
	}
}

// soak runs callers and series for the plan's span and checks the record.
func (fleet *gatewayFleet) soak() (bool, error) {
	start := fleet.start
	if fleet.plan.StartTroubles != nil {
		start = fleet.startTroubled
	}
	if err := start(); err != nil {
		fleet.fail(err)
		return fleet.report(), nil
	}
	if fleet.plan.Span == 0 {
		return fleet.report(), nil
	}
	fleet.plan.Log(fmt.Sprintf("%d machines ready after %v", len(fleet.allMachines()), fleet.now().Round(time.Millisecond)))
	calling, endCalls := context.WithCancel(context.Background())
	defer endCalls()
	fleet.startStayingCallers(calling)
	fleet.startRoamingCallers(calling)
	signalling, endSignals := context.WithTimeout(context.Background(), fleet.plan.Span)
	defer endSignals()
	fleet.inBackground(func() { fleet.sampleUsage(calling) })
	if fleet.plan.Site != nil {
		fleet.startSiteSeries(signalling)
	} else {
		fleet.startUsualSeries(signalling)
	}
	if fleet.plan.Floods {
		fleet.startFloods(signalling)
	}
	<-signalling.Done()
	if fleet.plan.Site != nil {
		if !awaitGroup(&fleet.series, callersEndLimit) {
			return false, errors.New("series did not end")
		}
		fleet.checkRecovered()
	}
	time.Sleep(settleTime)
	endCalls()
	if !awaitGroup(&fleet.group, callersEndLimit) {
		return false, errors.New("callers or series did not end")
	}
	return fleet.report(), nil
}

// startUsualSeries starts the series of signals, restarts and changes of a fleet without a site.
func (fleet *gatewayFleet) startUsualSeries(signalling context.Context) {
	for range fleet.plan.Stops {
		fleet.startSeries(signalling, time.Second, fleet.stopMachine)
	}
	scale := max(1, time.Duration(len(fleet.allMachines())/usualMachines))
	fleet.startSeries(signalling, gatewayKillPause/scale, fleet.killMachine)
	fleet.startSeries(signalling, gatewayFreezePause/scale, fleet.freezeMachine)
	fleet.startSeries(signalling, gatewayHangupPause/scale, fleet.hangUp)
	fleet.startSeries(signalling, gatewayChangePause, func() { fleet.failIf(fleet.operator.change()) })
	fleet.startSeries(signalling, gatewayLeavePause, func() { fleet.inBackground(func() { fleet.failIf(fleet.platform.replace()) }) })
	if fleet.plan.StartTroubles != nil {
		fleet.startSeries(signalling, gatewayRewritePause, fleet.rewriteSettings)
	}
}

func (fleet *gatewayFleet) failIf(err error) {
	if err != nil {
		fleet.fail(err)
	}
}

// inBackground runs an action that the end of the soak waits for.
func (fleet *gatewayFleet) inBackground(action func()) {
	fleet.group.Add(1)
	go func() {
		defer fleet.group.Done()
		action()
	}()
}

// startSeries repeats an action until the context ends, with random pauses of half to one and a half times the mean.
func (fleet *gatewayFleet) startSeries(ctx context.Context, pause time.Duration, action func()) {
	fleet.startTrouble(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(fleet.between(pause/2, pause*3/2)):
				action()
			}
		}
	})
}

// claim draws a machine that runs and that no other series disturbs; of the core machines one at a time is disturbed. It returns nil if the
// drawn machine does not qualify.
func (fleet *gatewayFleet) claim() (*gatewayMachine, func()) {
	return fleet.claimMachine(fleet.draw())
}

// claimMachine claims a given machine if it qualifies, as claim does.
func (fleet *gatewayFleet) claimMachine(machine *gatewayMachine) (*gatewayMachine, func()) {
	running := machine.isRunning() && !machine.removed.Load()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	if !running || fleet.busy[machine] || machine.core && fleet.lostCores > 0 {
		return nil, nil
	}
	fleet.busy[machine] = true
	if machine.core {
		fleet.lostCores++
	}
	return machine, func() {
		fleet.lock.Lock()
		defer fleet.lock.Unlock()
		delete(fleet.busy, machine)
		if machine.core {
			fleet.lostCores--
		}
	}
}

// stopMachine stops a machine with SIGTERM, sometimes after a SIGHUP and sometimes with further SIGTERMs, kills what is left after the grace
// period, and waits until all processes are back. Other series may freeze or kill it meanwhile.
func (fleet *gatewayFleet) stopMachine() {
	machine, release := fleet.claim()
	if machine == nil {
		return
	}
	defer release()
	fleet.stopClaimed(machine)
}

// stopClaimed stops a machine that the caller has claimed.
func (fleet *gatewayFleet) stopClaimed(machine *gatewayMachine) {
	fleet.count("stops")
	if fleet.below(2) == 0 {
		fleet.hangUpMachine(machine)
	}
	stopped := map[string]*program{}
	for _, role := range machine.roles() {
		stopped[role] = machine.process(role)
	}
	stop := &gatewayStop{at: fleet.now()}
	machine.lock.Lock()
	machine.stops = append(machine.stops, stop)
	machine.lock.Unlock()
	for _, process := range stopped {
		process.signal(syscall.SIGTERM)
	}
	if fleet.plan.Site != nil && fleet.below(overlapEvery) == 0 {
		fleet.overlapLives(machine, stopped)
	}
	if fleet.below(3) == 0 {
		time.Sleep(fleet.between(0, time.Second))
		for _, process := range stopped {
			process.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[fleet.below(2)])
		}
	}
	fleet.awaitStop(machine, stop, stopped)
	for ; !machine.isRunning(); time.Sleep(pollInterval) {
		if fleet.now() > stop.at+restartLimit {
			fleet.fail(fmt.Errorf("%s is not back %v after its stop", machine.name, restartLimit))
			return
		}
	}
	if machine.core {
		time.Sleep(coreSyncTime)
	}
}

const (
	restartLimit = 40 * time.Second
	// coreSyncTime is how long a core machine counts as lost after its start.
	coreSyncTime = 4 * time.Second
	// readyCheckDelay is how long after SIGTERM the readiness check must have turned.
	readyCheckDelay = time.Second
)

// awaitStop waits for the processes that were told to stop, and kills those that outlast the grace period.
func (fleet *gatewayFleet) awaitStop(machine *gatewayMachine, stop *gatewayStop, stopped map[string]*program) {
	checked := false
	for _, role := range machine.roles() {
		process := stopped[role]
		for !process.hasEnded() && fleet.now() < stop.at+fleet.shape.grace {
			time.Sleep(pollInterval / 10)
			if role == dataRole && !checked && fleet.now() > stop.at+readyCheckDelay {
				checked = true
				if machine.isReady() && !process.hasEnded() && !machine.troubledSince(stop.at) {
					fleet.fail(fmt.Errorf("%s is ready %v after SIGTERM", machine.name, readyCheckDelay))
				}
			}
		}
		killed := !process.hasEnded()
		if killed {
			fleet.count("outlasted the grace period: " + role)
			if !machine.troubledSince(stop.at) {
				fleet.fail(fmt.Errorf("%s of %s outlasted its grace period:\n    %s", role, machine.name, process.lastLines()))
			}
			process.signal(syscall.SIGKILL)
			<-process.ended
		}
		machine.lock.Lock()
		if role == dataRole {
			stop.endedAt, stop.killed = fleet.now(), killed
		}
		machine.lock.Unlock()
		if !killed && !process.command.ProcessState.Success() && !machine.troubledSince(stop.at) {
			fleet.fail(fmt.Errorf("%s of %s ended with %v after SIGTERM", role, machine.name, process.command.ProcessState))
		}
	}
}

// troubledSince reports whether the machine was killed or frozen at some time after the given one.
func (machine *gatewayMachine) troubledSince(at time.Duration) bool {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	for _, trouble := range machine.troubles {
		if trouble.until >= at {
			return true
		}
	}
	return false
}

// killMachine kills all processes of a machine, which may be stopping.
func (fleet *gatewayFleet) killMachine() {
	fleet.disturb("kills", mostRestartPause, syscall.SIGKILL)
}

// freezeMachine suspends a machine for up to three seconds; it may be stopping.
func (fleet *gatewayFleet) freezeMachine() {
	fleet.disturb("freezes", fleet.between(200*time.Millisecond, 3*time.Second), syscall.SIGSTOP)
}

// disturb sends a signal to a random machine outside the core, records a trouble of a duration, and lets the machine go on.
func (fleet *gatewayFleet) disturb(event string, duration time.Duration, signal syscall.Signal) {
	machine := fleet.draw()
	if machine.core {
		return
	}
	fleet.count(event)
	endTrouble := machine.openTrouble()
	machine.signal(signal)
	time.Sleep(duration)
	machine.signal(syscall.SIGCONT)
	endTrouble()
}

// hangUp sends SIGHUP to a random machine, which may be stopping or starting.
func (fleet *gatewayFleet) hangUp() {
	if machine := fleet.draw(); machine.isRunning() {
		fleet.hangUpMachine(machine)
	}
}

func (fleet *gatewayFleet) hangUpMachine(machine *gatewayMachine) {
	fleet.count("hang-ups")
	machine.lock.Lock()
	machine.hangups = append(machine.hangups, fleet.now())
	machine.lock.Unlock()
	machine.signal(syscall.SIGHUP)
}

// report checks the record and prints figures and breaches. It returns whether there is none.
func (fleet *gatewayFleet) report() bool {
	breaches := fleet.check()
	for _, event := range manifest.SortedKeys(fleet.counts) {
		fleet.plan.Log(fmt.Sprintf("  %-44s %d", event, fleet.counts[event]))
	}
	for _, breach := range breaches {
		fleet.plan.Log(breach.String())
	}
	fleet.plan.Log(fmt.Sprintf("gateways: seed %d, %d machines, %v, %d breaches, %d failures", fleet.plan.Seed, len(fleet.allMachines()), fleet.plan.Span, len(breaches), len(fleet.failures)))
	return len(breaches) == 0 && len(fleet.failures) == 0
}
