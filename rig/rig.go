// Package rig runs a fleet of real processes on one machine, simulates the servers, platform and callers around it, and injects faults.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/site"
)

// Rig is one fleet with its simulated surroundings. Close ends it.
type Rig struct {
	// Site is the description that the fleet was made from.
	Site site.Site
	// Ledger records what callers and servers saw and checks it against the rules.
	Ledger *ledger.Ledger
	// Platform and Nodes are the simulated platform and the machines; stories may replace a node.
	Platform *Platform
	Nodes    []*Node
	folder   string
	bin      string
	// otherBin is the folder of a second build; empty for one build.
	otherBin  string
	servers   []*Server
	startedAt time.Time
	bounds    env.Bounds
	random    *rand.Rand
	// randomLock guards random, which concurrent stories share.
	randomLock sync.Mutex
	// stalledBytes counts what stalled readers found in their sockets when they read at last.
	stalledBytes atomic.Int64
	client       *http.Client
	// metricsClient reads metrics pages. It has a timeout, since a frozen process doesn't answer.
	metricsClient *http.Client
	network       *loopbackNetwork
	// usedAddresses are the addresses that were assigned. The kernel considers those of stopped nodes free.
	usedAddresses map[string]bool
}

// metricsTimeout bounds one read of a metrics page.
const metricsTimeout = time.Second

// Node is one machine: a cedarcp and a cedardp process with a settings file, a faults file and, on core machines, a data folder.
type Node struct {
	// Machine is the machine's entry in the site; its Core field says whether it runs a member of the control plane's core.
	Machine site.Machine
	// Settings are the contents of the settings file.
	Settings env.Env
	folder   string
	bin      string
	// builds chooses the build of each start, nil if there is one build.
	builds   *buildRotation
	lock     sync.Mutex
	programs []*program
	// faultsLock guards the contents of the faults file and its replacement: addresses that the node cannot reach, the state of its disk (empty
	// for healthy) and the percentage of messages that its links lose.
	faultsLock   sync.Mutex
	cutAddresses map[string]bool
	diskFault    string
	lossPercent  int
}

// New prepares a fleet of the programs in bin and starts its platform and servers. Start starts the nodes.
func New(description site.Site, bin, folder string, seed uint64) (*Rig, error) {
	bounds := env.DefaultBounds()
	parsed, err := manifest.Parse(description.Manifest)
	if err != nil {
		return nil, err
	}
	network, err := claimAnyNetwork()
	if err != nil {
		return nil, err
	}
	rig := &Rig{network: network, Site: description, folder: folder, bin: bin, startedAt: time.Now(), bounds: bounds, random: rand.New(rand.NewPCG(seed, 1)),
		Ledger: ledger.New(ledger.BoundsFor(bounds, parsed, len(description.Machines))), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		usedAddresses: map[string]bool{}, metricsClient: &http.Client{Timeout: metricsTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	if rig.Platform, err = newPlatform(rig); err != nil {
		return nil, err
	}
	for _, spec := range description.Servers {
		rig.Ledger.AddServer(spec.Name, spec.Zone, spec.Region, spec.Slots)
		server, err := newServer(rig, spec)
		if err != nil {
			return nil, err
		}
		rig.servers = append(rig.servers, server)
	}
	rig.Platform.servers = rig.servers
	return rig, rig.createNodes()
}

// randomBelow returns a random number in [0, bound).
func (rig *Rig) randomBelow(bound int) int {
	rig.randomLock.Lock()
	defer rig.randomLock.Unlock()
	return rig.random.IntN(bound)
}

// now returns the time since the rig was made, which all ledger entries use.
func (rig *Rig) now() time.Duration { return time.Since(rig.startedAt) }

// Server returns the server of a name, or nil.
func (rig *Rig) Server(name string) *Server {
	for _, server := range rig.servers {
		if server.Spec.Name == name {
			return server
		}
	}
	return nil
}

const (
	// Ports are drawn from portCount ports that begin at firstPort, below those that the kernel assigns to outgoing connections.
	firstPort = 15000
	portCount = 17000
	// maxPortAttempts bounds the search for a free port.
	maxPortAttempts = 200
)

// freeAddress finds a free port in the network of this rig, which no other rig uses: it could otherwise take the port of a node that is down.
func (rig *Rig) freeAddress() (string, error) {
	var err error
	for range maxPortAttempts {
		var listener net.Listener
		listener, err = net.Listen("tcp", fmt.Sprintf("127.%d.254.1:%d", rig.network.number, firstPort+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !rig.usedAddresses[address] {
			rig.usedAddresses[address] = true
			return address, nil
		}
	}
	return "", errors.Join(err, errors.New("no port is free for another process"))
}

// createNodes creates a node for each machine of the site and gives all of them the addresses of the core.
func (rig *Rig) createNodes() error {
	for _, machine := range rig.Site.Machines {
		node, err := rig.newNode(machine)
		if err != nil {
			return err
		}
		rig.Nodes = append(rig.Nodes, node)
	}
	for _, node := range rig.Nodes {
		node.Settings.Seeds = rig.seedAddresses()
	}
	return nil
}

// newNode assigns addresses, a folder and settings to a machine without starting it.
func (rig *Rig) newNode(machine site.Machine) (*Node, error) {
	control, controlErr := rig.freeAddress()
	data, dataErr := rig.freeAddress()
	if controlErr != nil {
		return nil, controlErr
	}
	node := &Node{Machine: machine, folder: filepath.Join(rig.folder, machine.Name), bin: rig.bin, cutAddresses: map[string]bool{}}
	node.builds = rig.newBuildRotation(len(rig.Nodes))
	node.Settings = env.New(env.WithName(machine.Name), env.WithZone(machine.Zone), env.WithRegion(machine.Region),
		env.WithControl(control), env.WithData(data), env.WithPlatform(rig.Platform.Address))
	if machine.Core {
		node.Settings.Folder = filepath.Join(node.folder, "data")
	}
	return node, dataErr
}

// seedAddresses returns the control addresses of the core machines.
func (rig *Rig) seedAddresses() []string {
	seeds := []string{}
	for _, node := range rig.Nodes {
		if node.Machine.Core {
			seeds = append(seeds, node.Settings.Control)
		}
	}
	return seeds
}

// faultsPath returns the path of the file from which the programs read the faults to simulate.
func (node *Node) faultsPath() string { return filepath.Join(node.folder, "faults.json") }

// writeFaults replaces the faults file atomically.
func (node *Node) writeFaults() error {
	node.faultsLock.Lock()
	defer node.faultsLock.Unlock()
	content, err := json.Marshal(map[string]any{"cut": manifest.SortedKeys(node.cutAddresses), "disk": node.diskFault, "loss": node.lossPercent})
	if err != nil {
		return err
	}
	temporary := node.faultsPath() + ".aside"
	if err = os.WriteFile(temporary, content, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, node.faultsPath())
}

// Start writes the settings and starts both programs.
func (node *Node) Start() error {
	if err := os.MkdirAll(node.folder, 0o700); err != nil {
		return err
	}
	if err := node.writeFaults(); err != nil {
		return err
	}
	path := filepath.Join(node.folder, "env.json")
	if err := os.WriteFile(path, node.Settings.JSON(), 0o600); err != nil {
		return err
	}
	started := []*program{}
	for _, name := range programNames {
		program, err := node.startProgram(name, path)
		if err != nil {
			return err
		}
		started = append(started, program)
	}
	node.setPrograms(started)
	return nil
}

// programNames are the programs that each machine runs.
var programNames = []string{"cedarcp", "cedardp"}

// setPrograms replaces the list of running programs.
func (node *Node) setPrograms(programs []*program) {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.programs = programs
}

// forEachProgram calls action for each program that was started last, without holding the lock.
func (node *Node) forEachProgram(action func(*program)) {
	node.lock.Lock()
	programs := slices.Clone(node.programs)
	node.lock.Unlock()
	for _, program := range programs {
		action(program)
	}
}

// Kill ends both processes with SIGKILL and waits for them.
func (node *Node) Kill() {
	node.forEachProgram(func(program *program) {
		program.signal(syscall.SIGKILL)
		<-program.ended
	})
	node.setPrograms(nil)
}

// Stop ends both processes with SIGTERM and reports whether both exited with code 0.
func (node *Node) Stop() bool {
	clean := true
	node.forEachProgram(func(program *program) { program.signal(syscall.SIGTERM) })
	node.forEachProgram(func(program *program) { clean = program.waitForCleanExit() && clean })
	node.setPrograms(nil)
	return clean
}

// RestartEnded restarts the programs that have ended on their own, as a supervisor would, and returns the ended processes.
func (node *Node) RestartEnded() ([]*program, error) {
	ended, running := []*program{}, []*program{}
	node.forEachProgram(func(program *program) {
		if program.hasEnded() {
			ended = append(ended, program)
		} else {
			running = append(running, program)
		}
	})
	for _, program := range ended {
		started, err := node.startProgram(program.name, filepath.Join(node.folder, "env.json"))
		if err != nil {
			return ended, err
		}
		running = append(running, started)
	}
	node.setPrograms(running)
	return ended, nil
}

// wipeData deletes a core machine's data folder.
func (node *Node) wipeData() error { return os.RemoveAll(node.Settings.Folder) }

// Freeze suspends both processes with SIGSTOP.
func (node *Node) Freeze() { node.signal(syscall.SIGSTOP) }

// Resume continues both processes after Freeze.
func (node *Node) Resume() { node.signal(syscall.SIGCONT) }

// signal sends a signal to both processes.
func (node *Node) signal(signal syscall.Signal) {
	node.forEachProgram(func(program *program) { program.signal(signal) })
}

// SetDiskFault simulates a disk that is "full", "stalled" or "slow"; an empty state ends the fault.
func (node *Node) SetDiskFault(state string) {
	node.faultsLock.Lock()
	node.diskFault = state
	node.faultsLock.Unlock()
	_ = node.writeFaults()
}

// Cut breaks every link between two groups of machines in both directions until Heal is called.
func (rig *Rig) Cut(left, right []*Node) {
	for _, one := range left {
		for _, other := range right {
			if one == other {
				continue
			}
			one.cutOff(other)
			other.cutOff(one)
		}
	}
	rig.writeAllFaults()
}

// cutOff lets the node reach neither process of another one, once its faults file is written.
func (node *Node) cutOff(other *Node) {
	node.faultsLock.Lock()
	defer node.faultsLock.Unlock()
	node.cutAddresses[other.Settings.Control] = true
	node.cutAddresses[other.Settings.Data] = true
}

// isCutOff reports whether the node cannot reach some other one.
func (node *Node) isCutOff() bool {
	node.faultsLock.Lock()
	defer node.faultsLock.Unlock()
	return len(node.cutAddresses) > 0
}

// Heal restores all links.
func (rig *Rig) Heal() {
	for _, node := range rig.Nodes {
		node.faultsLock.Lock()
		node.cutAddresses = map[string]bool{}
		node.faultsLock.Unlock()
	}
	rig.writeAllFaults()
}

// writeAllFaults writes the faults files of all nodes.
func (rig *Rig) writeAllFaults() {
	for _, node := range rig.Nodes {
		_ = node.writeFaults()
	}
}

// Start starts the processes of all nodes.
func (rig *Rig) Start() error {
	for _, node := range rig.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and closes all simulated servers.
func (rig *Rig) Close() {
	for _, node := range rig.Nodes {
		node.Resume()
		node.Kill()
	}
	for _, server := range rig.servers {
		server.Crash()
	}
	rig.network.release()
}

// Await polls a condition until it holds, or returns an error that names it when the limit is over.
func (rig *Rig) Await(description string, limit time.Duration, condition func() bool) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s did not hold within %v", description, limit)
}
