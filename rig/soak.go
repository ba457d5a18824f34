package rig

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// soakRun is a soak in progress: concurrent lanes of signals, restarts, manifest writes, server departures and cuts. Callers keep using their
// open connections whatever happens to the processes behind them.
type soakRun struct {
	rig  *Rig
	plan Plan
	// endsAt is when the lanes stop, since the rig's start.
	endsAt time.Duration
	lock   sync.Mutex
	// busy holds the names of machines that a lane is stopping or starting, and of servers that are leaving.
	busy map[string]bool
	// lostCores counts core machines that are down or cut off; at most one may be at a time.
	lostCores int
	// stops are the graceful stops, faults the kills and freezes.
	stops  []timeSpan
	faults []timeSpan
	// counts counts the events of each kind.
	counts   map[string]int
	failures []error
	// writes holds an entry for each manifest write in progress.
	writes chan struct{}
	group  sync.WaitGroup
}

// timeSpan is a period during which a machine's processes were stopped, killed or frozen.
type timeSpan struct {
	node        string
	from, until time.Duration
}

const (
	// stopTimeout is how long a process may take to end after SIGTERM: the longest reply that it completes, plus time for a frozen one.
	stopTimeout = 45 * time.Second
	// The intervals are mean pauses between two actions of a lane. maxConcurrentWrites limits the manifest writes in progress, departureWindow is
	// the time that a leaving server or a drained zone is given, and minCutDuration is the shortest cut.
	hangupInterval       = 150 * time.Millisecond
	writeInterval        = 150 * time.Millisecond
	maxConcurrentWrites  = 8
	drainInterval        = 9 * time.Second
	departureInterval    = 2500 * time.Millisecond
	departureWindow      = 6 * time.Second
	cutInterval          = 9 * time.Second
	minCutDuration       = 2 * time.Second
	restartCheckInterval = 200 * time.Millisecond
	// signalHandlerSetupLimit is how long a process may take on a busy machine until its code runs and handles signals.
	signalHandlerSetupLimit = 300 * time.Millisecond
)

// soak runs all lanes for nine tenths of the plan's span and then checks that the fleet serves, has kept what it accepted and is sound.
func soak(rig *Rig, plan Plan) error {
	run := &soakRun{rig: rig, plan: plan, endsAt: rig.now() + plan.Span*9/10, busy: map[string]bool{}, counts: map[string]int{},
		writes: make(chan struct{}, maxConcurrentWrites)}
	run.startLane(1200*time.Millisecond, run.stopNode)
	run.startLane(1700*time.Millisecond, run.stopNode)
	run.startLane(4*time.Second, run.killNode)
	run.startLane(3*time.Second, run.freezeNode)
	run.startLane(hangupInterval, run.sendHangup)
	run.startLane(writeInterval, run.writeManifest)
	run.startLane(drainInterval, run.drainZone)
	run.startLane(departureInterval, run.replaceServer)
	run.startLane(cutInterval, run.cutCoreNode)
	run.startLane(restartCheckInterval, run.restartEndedPrograms)
	run.group.Wait()
	return run.checkOutcome()
}

// startLane repeats an action in the background until the soak ends, with random pauses of half to one and a half intervals.
func (run *soakRun) startLane(interval time.Duration, action func() error) {
	run.group.Add(1)
	go func() {
		defer run.group.Done()
		for {
			time.Sleep(interval/2 + time.Duration(run.rig.randomBelow(int(interval))))
			if run.rig.now() >= run.endsAt {
				return
			}
			if err := action(); err != nil {
				run.recordFailure(err)
			}
		}
	}()
}

// recordFailure keeps an error for the final result and prints it.
func (run *soakRun) recordFailure(err error) {
	run.lock.Lock()
	defer run.lock.Unlock()
	run.failures = append(run.failures, err)
	run.plan.Log(fmt.Sprintf("%v FAILED %v", run.rig.now().Round(time.Millisecond), err))
}

// count counts an event.
func (run *soakRun) count(event string) {
	run.lock.Lock()
	defer run.lock.Unlock()
	run.counts[event]++
}

// claimNode draws a machine that matches, that no other lane stops or starts and, if it is a core machine, only while no other core machine is
// lost. It returns the machine and a function that releases it, or nil if the drawn machine does not qualify.
func (run *soakRun) claimNode(matches func(*Node) bool) (*Node, func()) {
	run.lock.Lock()
	defer run.lock.Unlock()
	node := run.rig.Nodes[run.rig.randomBelow(len(run.rig.Nodes))]
	if node.Machine.Core && run.lostCores > 0 || !matches(node) || !run.markBusy(node) {
		return nil, nil
	}
	if node.Machine.Core {
		run.lostCores++
	}
	return node, func() {
		run.lock.Lock()
		defer run.lock.Unlock()
		run.clearBusy(node)
		if node.Machine.Core {
			run.lostCores--
		}
	}
}

// markBusy marks a machine as busy and reports whether it was free. The caller holds the lock.
func (run *soakRun) markBusy(node *Node) bool {
	if run.busy[node.Machine.Name] {
		return false
	}
	run.busy[node.Machine.Name] = true
	return true
}

// clearBusy ends markBusy. The caller holds the lock.
func (run *soakRun) clearBusy(node *Node) { delete(run.busy, node.Machine.Name) }

// anyNode matches every node.
func anyNode(*Node) bool { return true }

// allStarted reports whether all programs of a machine run, and have run for long enough to handle signals.
func allStarted(node *Node) bool {
	all := true
	node.forEachProgram(func(program *program) {
		all = all && !program.hasEnded() && time.Since(program.startedAt) > signalHandlerSetupLimit
	})
	return all
}

// openSpan records a span that begins now and returns the function that ends it.
func (run *soakRun) openSpan(spans *[]timeSpan, node *Node) func() {
	run.lock.Lock()
	defer run.lock.Unlock()
	index := len(*spans)
	*spans = append(*spans, timeSpan{node: node.Settings.Name, from: run.rig.now(), until: run.endsAt + stopTimeout})
	return func() {
		run.lock.Lock()
		defer run.lock.Unlock()
		(*spans)[index].until = run.rig.now()
	}
}

// stopNode sends SIGTERM, sometimes repeatedly and preceded by SIGHUPs, waits for a clean exit and starts the machine again.
func (run *soakRun) stopNode() error {
	node, release := run.claimNode(allStarted)
	if node == nil {
		return nil
	}
	defer release()
	run.count("stops")
	endSpan := run.openSpan(&run.stops, node)
	for range run.rig.randomBelow(3) {
		node.signal(syscall.SIGHUP)
	}
	ended := make(chan bool, 1)
	go func() { ended <- node.Stop() }()
	for range run.rig.randomBelow(3) {
		time.Sleep(time.Duration(run.rig.randomBelow(int(100 * time.Millisecond))))
		node.signal(syscall.SIGTERM)
	}
	clean, timely := false, false
	select {
	case clean = <-ended:
		timely = true
	case <-time.After(stopTimeout):
		node.Kill()
	}
	endSpan()
	run.rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	err := run.restartNode(node)
	if !timely {
		return errors.Join(err, fmt.Errorf("%s did not end within %v of SIGTERM", node.Machine.Name, stopTimeout))
	}
	if !clean {
		return errors.Join(err, fmt.Errorf("%s ended with a failure on SIGTERM", node.Machine.Name))
	}
	return err
}

// restartNode starts a machine after a short pause and sends a SIGHUP immediately in half of the cases.
func (run *soakRun) restartNode(node *Node) error {
	time.Sleep(time.Duration(run.rig.randomBelow(int(800 * time.Millisecond))))
	err := node.Start()
	if run.rig.randomBelow(2) == 0 {
		node.signal(syscall.SIGHUP)
	}
	return err
}

// killNode kills a machine's processes and starts them again.
func (run *soakRun) killNode() error {
	node, release := run.claimNode(anyNode)
	if node == nil {
		return nil
	}
	defer release()
	run.count("kills")
	endSpan := run.openSpan(&run.faults, node)
	defer endSpan()
	node.Kill()
	run.rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	return run.restartNode(node)
}

// freezeNode suspends the processes of a machine outside the core for up to four seconds. Other lanes may stop or kill it meanwhile.
func (run *soakRun) freezeNode() error {
	node := run.rig.Nodes[run.rig.randomBelow(len(run.rig.Nodes))]
	if node.Machine.Core {
		return nil
	}
	run.count("freezes")
	endSpan := run.openSpan(&run.faults, node)
	defer endSpan()
	node.Freeze()
	time.Sleep(time.Duration(run.rig.randomBelow(int(4 * time.Second))))
	node.Resume()
	return nil
}

// sendHangup sends SIGHUP to both processes of a machine.
func (run *soakRun) sendHangup() error {
	run.count("hang-ups")
	run.rig.Nodes[run.rig.randomBelow(len(run.rig.Nodes))].signal(syscall.SIGHUP)
	return nil
}

// writeManifest starts a manifest write through any node, unless too many are in progress. While the core is unsettled a write may fail or
// remain unclear, but must not be answered with a client error.
func (run *soakRun) writeManifest() error {
	select {
	case run.writes <- struct{}{}:
	default:
		return nil
	}
	run.group.Add(1)
	go func() {
		defer run.group.Done()
		defer func() { <-run.writes }()
		rig, node := run.rig, run.rig.Nodes[run.rig.randomBelow(len(run.rig.Nodes))]
		body := fmt.Appendf(nil, `{"homes":{"guest-%d":%q}}`, rig.randomBelow(10), rig.Site.Regions()[rig.randomBelow(len(rig.Site.Regions()))])
		status, _, _ := rig.Write(node, http.MethodPatch, "/v1/manifest", fmt.Sprintf("soak-%d-%d", rig.now(), rig.randomBelow(1<<30)), body)
		run.count(fmt.Sprintf("changes answered %d", status))
		if status >= 400 && status < 500 {
			run.recordFailure(fmt.Errorf("a valid manifest change was answered %d by %s", status, node.Machine.Name))
		}
	}()
	return nil
}

// drainZone drains a zone for a while.
func (run *soakRun) drainZone() error {
	rig := run.rig
	zone := rig.Nodes[rig.randomBelow(len(rig.Nodes))].Machine.Zone
	run.count("drains")
	if err := rig.writeUntilAccepted("/v1/zones/" + zone + "/drain"); err != nil {
		return err
	}
	rig.Ledger.ZoneDrained(zone, rig.now())
	time.Sleep(departureWindow)
	rig.Ledger.ZoneUndrained(zone, rig.now())
	return rig.writeUntilAccepted("/v1/zones/" + zone + "/undrain")
}

// replaceServer marks a server as leaving and later replaces it. Departures overlap, but at most a third of the servers leave at once.
func (run *soakRun) replaceServer() error {
	rig := run.rig
	server := rig.servers[rig.randomBelow(len(rig.servers))]
	run.lock.Lock()
	leaving := run.counts["leaving"]
	skip := run.busy[server.Spec.Name] || 3*(leaving+1) > len(rig.servers)
	if !skip {
		run.busy[server.Spec.Name] = true
		run.counts["leaving"]++
		run.counts["departures"]++
	}
	run.lock.Unlock()
	if skip {
		return nil
	}
	run.group.Add(1)
	go func() {
		defer run.group.Done()
		rig.Platform.MarkLeaving(server, departureWindow)
		time.Sleep(departureWindow)
		err := rig.Platform.Replace(server)
		run.lock.Lock()
		delete(run.busy, server.Spec.Name)
		run.counts["leaving"]--
		run.lock.Unlock()
		if err != nil {
			run.recordFailure(err)
		}
	}()
	return nil
}

// cutCoreNode cuts a core machine off from the other core machines, and in half of the cases also from all machines of other zones.
func (run *soakRun) cutCoreNode() error {
	node, release := run.claimNode(func(node *Node) bool { return node.Machine.Core })
	if node == nil {
		return nil
	}
	defer release()
	run.count("cuts")
	wholeZone := run.rig.randomBelow(2) == 0
	others := run.rig.nodesWhere(func(other *Node) bool {
		return other != node && (other.Machine.Core || wholeZone && other.Machine.Zone != node.Machine.Zone)
	})
	run.rig.Cut([]*Node{node}, others)
	time.Sleep(minCutDuration + time.Duration(run.rig.randomBelow(int(6*time.Second))))
	run.rig.Heal()
	return nil
}

// restartEndedPrograms restarts programs that ended on their own. That is a failure unless a signal killed the process before its code could
// handle signals.
func (run *soakRun) restartEndedPrograms() error {
	failures := []error{}
	for _, node := range run.rig.Nodes {
		run.lock.Lock()
		claimed := run.markBusy(node)
		run.lock.Unlock()
		if !claimed {
			continue
		}
		ended, err := node.RestartEnded()
		failures = append(failures, err)
		for _, program := range ended {
			run.count("ended by a signal at a start")
			if !program.endedBySignal() || program.lifetime > signalHandlerSetupLimit {
				failures = append(failures, fmt.Errorf("%s of %s ended by itself after %v: %v", program.name, node.Machine.Name, program.lifetime, program.command.ProcessState))
			}
		}
		run.lock.Lock()
		run.clearBusy(node)
		run.lock.Unlock()
	}
	return errors.Join(failures...)
}
