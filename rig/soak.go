package rig

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// soaking is a soak under way: lanes of signals, restarts, changes, departures and cuts that go on side by side. Callers go on using
// their open connections whatever happens to the processes behind them.
type soaking struct {
	rig  *Rig
	plan Plan
	ends time.Duration
	lock sync.Mutex
	// busy names the machines that a lane stops or starts now.
	busy map[string]bool
	// coreLost counts core machines that are down, frozen or cut off, of which one may be at a time.
	coreLost int
	stops    []span
	troubles []span
	counts   map[string]int
	failures []error
	// writes holds a place for each change under way.
	writes chan struct{}
	group  sync.WaitGroup
}

// span is a time in which something was done to a machine's processes.
type span struct {
	node        string
	from, until time.Duration
}

const (
	// stopLimit is how long a process may take to end after SIGTERM: the longest reply that it lets end, and time for a frozen one.
	stopLimit    = 45 * time.Second
	hangupGap    = 150 * time.Millisecond
	changeGap    = 150 * time.Millisecond
	mostWrites   = 8
	drainGap     = 9 * time.Second
	departureGap = 2500 * time.Millisecond
	departureFor = 6 * time.Second
	cutGap       = 9 * time.Second
	settleFor    = 2 * time.Second
	watchGap     = 200 * time.Millisecond
	// startTime is how long a process may take until its first line runs, on a busy machine.
	startTime = 300 * time.Millisecond
)

// soak lets all lanes run until the plan's span is over, and then wants a fleet that serves, keeps what it accepted and is sound.
func soak(rig *Rig, plan Plan) error {
	soaked := &soaking{rig: rig, plan: plan, ends: rig.now() + plan.Span*9/10, busy: map[string]bool{}, counts: map[string]int{},
		writes: make(chan struct{}, mostWrites)}
	soaked.lane(1200*time.Millisecond, soaked.stop)
	soaked.lane(1700*time.Millisecond, soaked.stop)
	soaked.lane(4*time.Second, soaked.kill)
	soaked.lane(3*time.Second, soaked.freeze)
	soaked.lane(hangupGap, soaked.hangUp)
	soaked.lane(changeGap, soaked.change)
	soaked.lane(drainGap, soaked.drain)
	soaked.lane(departureGap, soaked.depart)
	soaked.lane(cutGap, soaked.cut)
	soaked.lane(watchGap, soaked.watch)
	soaked.group.Wait()
	return soaked.settled()
}

// lane does something again and again, with pauses around a gap, until the soak ends.
func (soaked *soaking) lane(gap time.Duration, act func() error) {
	soaked.group.Add(1)
	go func() {
		defer soaked.group.Done()
		for {
			time.Sleep(gap/2 + time.Duration(soaked.rig.draw(int(gap))))
			if soaked.rig.now() >= soaked.ends {
				return
			}
			if failure := act(); failure != nil {
				soaked.fail(failure)
			}
		}
	}()
}

func (soaked *soaking) fail(failure error) {
	soaked.lock.Lock()
	defer soaked.lock.Unlock()
	soaked.failures = append(soaked.failures, failure)
	soaked.plan.Say(fmt.Sprintf("%v FAILED %v", soaked.rig.now().Round(time.Millisecond), failure))
}

func (soaked *soaking) count(what string) {
	soaked.lock.Lock()
	defer soaked.lock.Unlock()
	soaked.counts[what]++
}

// claim draws a machine whose programs run and that no lane stops or starts, and none of the core while another of it is lost. Whoever
// has it lets it go again.
func (soaked *soaking) claim(fits func(*Node) bool) (*Node, func()) {
	soaked.lock.Lock()
	defer soaked.lock.Unlock()
	node := soaked.rig.Nodes[soaked.rig.draw(len(soaked.rig.Nodes))]
	if node.Machine.Core && soaked.coreLost > 0 || !fits(node) || !soaked.hold(node) {
		return nil, nil
	}
	if node.Machine.Core {
		soaked.coreLost++
	}
	return node, func() {
		soaked.lock.Lock()
		defer soaked.lock.Unlock()
		soaked.let(node)
		if node.Machine.Core {
			soaked.coreLost--
		}
	}
}

// hold takes a machine unless another lane has it; the lock is held meanwhile.
func (soaked *soaking) hold(node *Node) bool {
	if soaked.busy[node.Machine.Name] {
		return false
	}
	soaked.busy[node.Machine.Name] = true
	return true
}

func (soaked *soaking) let(node *Node) { delete(soaked.busy, node.Machine.Name) }

func anyNode(*Node) bool { return true }

// started tells whether all programs of a machine run, and have run for long enough to have caught signals.
func started(node *Node) bool {
	all := true
	node.each(func(program *program) { all = all && !program.over() && time.Since(program.began) > startTime })
	return all
}

// noted keeps a span that begins now; the function that it gives ends it.
func (soaked *soaking) noted(spans *[]span, node *Node) func() {
	soaked.lock.Lock()
	defer soaked.lock.Unlock()
	place := len(*spans)
	*spans = append(*spans, span{node: node.Settings.Name, from: soaked.rig.now(), until: soaked.ends + stopLimit})
	return func() {
		soaked.lock.Lock()
		defer soaked.lock.Unlock()
		(*spans)[place].until = soaked.rig.now()
	}
}

// stop sends SIGTERM, at times more than once and with SIGHUPs around it, waits for a clean end and starts the machine again.
func (soaked *soaking) stop() error {
	node, release := soaked.claim(started)
	if node == nil {
		return nil
	}
	defer release()
	soaked.count("stops")
	over := soaked.noted(&soaked.stops, node)
	for range soaked.rig.draw(3) {
		node.signal(syscall.SIGHUP)
	}
	ended := make(chan bool, 1)
	go func() { ended <- node.Stop() }()
	for range soaked.rig.draw(3) {
		time.Sleep(time.Duration(soaked.rig.draw(int(100 * time.Millisecond))))
		node.signal(syscall.SIGTERM)
	}
	clean, timely := false, false
	select {
	case clean = <-ended:
		timely = true
	case <-time.After(stopLimit):
		node.Kill()
	}
	over()
	soaked.rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	failure := soaked.restart(node)
	if !timely {
		return errors.Join(failure, fmt.Errorf("%s did not end within %v of SIGTERM", node.Machine.Name, stopLimit))
	}
	if !clean {
		return errors.Join(failure, fmt.Errorf("%s ended with a failure on SIGTERM", node.Machine.Name))
	}
	return failure
}

// restart starts a machine after a short pause; some get a SIGHUP as soon as they are there.
func (soaked *soaking) restart(node *Node) error {
	time.Sleep(time.Duration(soaked.rig.draw(int(800 * time.Millisecond))))
	failure := node.Start()
	if soaked.rig.draw(2) == 0 {
		node.signal(syscall.SIGHUP)
	}
	return failure
}

// kill ends a machine's processes without a farewell.
func (soaked *soaking) kill() error {
	node, release := soaked.claim(anyNode)
	if node == nil {
		return nil
	}
	defer release()
	soaked.count("kills")
	over := soaked.noted(&soaked.troubles, node)
	defer over()
	node.Kill()
	soaked.rig.Ledger.NodeRestarted(node.Machine.Name + "-data")
	return soaked.restart(node)
}

// freeze stops a machine's processes for up to four seconds; other lanes may stop or kill a frozen one.
func (soaked *soaking) freeze() error {
	node := soaked.rig.Nodes[soaked.rig.draw(len(soaked.rig.Nodes))]
	if node.Machine.Core {
		return nil
	}
	soaked.count("freezes")
	over := soaked.noted(&soaked.troubles, node)
	defer over()
	node.Freeze()
	time.Sleep(time.Duration(soaked.rig.draw(int(4 * time.Second))))
	node.Wake()
	return nil
}

func (soaked *soaking) hangUp() error {
	soaked.count("hang-ups")
	soaked.rig.Nodes[soaked.rig.draw(len(soaked.rig.Nodes))].signal(syscall.SIGHUP)
	return nil
}

// change begins a write to the manifest through any node; several are under way at once. While the core is unsettled a write may be
// refused or remain unclear.
func (soaked *soaking) change() error {
	select {
	case soaked.writes <- struct{}{}:
	default:
		return nil
	}
	soaked.group.Add(1)
	go func() {
		defer soaked.group.Done()
		defer func() { <-soaked.writes }()
		rig, node := soaked.rig, soaked.rig.Nodes[soaked.rig.draw(len(soaked.rig.Nodes))]
		body := fmt.Appendf(nil, `{"homes":{"guest-%d":%q}}`, rig.draw(10), rig.Site.Regions()[rig.draw(len(rig.Site.Regions()))])
		status, _, _ := rig.Write(node, http.MethodPatch, "/v1/manifest", fmt.Sprintf("soak-%d-%d", rig.now(), rig.draw(1<<30)), body)
		soaked.count(fmt.Sprintf("changes answered %d", status))
		if status >= 400 && status < 500 {
			soaked.fail(fmt.Errorf("a proper change was answered %d by %s", status, node.Machine.Name))
		}
	}()
	return nil
}

func (soaked *soaking) drain() error {
	rig := soaked.rig
	zone := rig.Nodes[rig.draw(len(rig.Nodes))].Machine.Zone
	soaked.count("drains")
	if failure := rig.insist("/v1/zones/" + zone + "/drain"); failure != nil {
		return failure
	}
	rig.Ledger.ZoneDrained(zone, rig.now())
	time.Sleep(departureFor)
	rig.Ledger.ZoneUndrained(zone, rig.now())
	return rig.insist("/v1/zones/" + zone + "/undrain")
}

// depart marks a server and replaces it; departures overlap, but no more than a third of the servers leaves at once.
func (soaked *soaking) depart() error {
	rig := soaked.rig
	server := rig.servers[rig.draw(len(rig.servers))]
	soaked.lock.Lock()
	leaving := soaked.counts["leaving"]
	taken := soaked.busy[server.Row.Name] || 3*(leaving+1) > len(rig.servers)
	if !taken {
		soaked.busy[server.Row.Name] = true
		soaked.counts["leaving"]++
		soaked.counts["departures"]++
	}
	soaked.lock.Unlock()
	if taken {
		return nil
	}
	soaked.group.Add(1)
	go func() {
		defer soaked.group.Done()
		rig.Platform.Mark(server, departureFor)
		time.Sleep(departureFor)
		failure := rig.Platform.Replace(server)
		soaked.lock.Lock()
		delete(soaked.busy, server.Row.Name)
		soaked.counts["leaving"]--
		soaked.lock.Unlock()
		if failure != nil {
			soaked.fail(failure)
		}
	}()
	return nil
}

// cut takes a core machine from the other core machines, or from all machines of other zones too.
func (soaked *soaking) cut() error {
	node, release := soaked.claim(func(node *Node) bool { return node.Machine.Core })
	if node == nil {
		return nil
	}
	defer release()
	soaked.count("cuts")
	near := soaked.rig.draw(2) == 0
	others := soaked.rig.where(func(other *Node) bool {
		return other != node && (other.Machine.Core || near && other.Machine.Zone != node.Machine.Zone)
	})
	soaked.rig.Cut([]*Node{node}, others)
	time.Sleep(settleFor + time.Duration(soaked.rig.draw(int(6*time.Second))))
	soaked.rig.Heal()
	return nil
}

// watch starts programs again that ended by themselves. That is a failure unless a signal came in the first moments of the process, before
// its first line could run.
func (soaked *soaking) watch() error {
	failures := []error{}
	for _, node := range soaked.rig.Nodes {
		soaked.lock.Lock()
		held := soaked.hold(node)
		soaked.lock.Unlock()
		if !held {
			continue
		}
		ended, failure := node.Revive()
		failures = append(failures, failure)
		for _, program := range ended {
			soaked.count("ended by a signal at a start")
			if !program.signalled() || program.lived > startTime {
				failures = append(failures, fmt.Errorf("%s of %s ended by itself after %v: %v", program.name, node.Machine.Name, program.lived, program.command.ProcessState))
			}
		}
		soaked.lock.Lock()
		soaked.let(node)
		soaked.lock.Unlock()
	}
	return errors.Join(failures...)
}
