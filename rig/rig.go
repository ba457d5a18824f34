// Package rig plays a whole fleet as processes on one machine, with stand-ins for all that is outside, and breaks it.
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

type Rig struct {
	Site     site.Site
	Ledger   *ledger.Ledger
	Platform *Platform
	Nodes    []*Node
	folder   string
	bin      string
	otherBin string
	servers  []*Server
	began    time.Time
	bounds   env.Bounds
	random   *rand.Rand
	drawing  sync.Mutex
	stalls   atomic.Int64
	client   *http.Client
	// looker reads metrics pages; a process that is frozen answers nothing.
	looker *http.Client
	// given are the addresses that were given to nodes; one of a node that is not up is free to the kernel.
	given map[string]bool
}

const lookTime = time.Second

// Node is one machine: a cedarcp and a cedardp with a settings file, a faults file and, on core machines, a data folder.
type Node struct {
	Machine  site.Machine
	Settings env.Env
	folder   string
	bin      string
	builds   *alternation
	lock     sync.Mutex
	programs []*program
	cut      map[string]bool
	disk     string
	loss     int
}

func New(described site.Site, bin, folder string, seed uint64) (*Rig, error) {
	bounds := env.DefaultBounds()
	read, err := manifest.Parse(described.Manifest)
	if err != nil {
		return nil, err
	}
	rig := &Rig{Site: described, folder: folder, bin: bin, began: time.Now(), bounds: bounds, random: rand.New(rand.NewPCG(seed, 1)),
		Ledger: ledger.New(ledger.BoundsFor(bounds, read, len(described.Machines))), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		given: map[string]bool{}, looker: &http.Client{Timeout: lookTime, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	if rig.Platform, err = newPlatform(rig); err != nil {
		return nil, err
	}
	for _, row := range described.Servers {
		rig.Ledger.AddServer(row.Name, row.Zone, row.Region, row.Slots)
		server, err := newServer(rig, row)
		if err != nil {
			return nil, err
		}
		rig.servers = append(rig.servers, server)
	}
	rig.Platform.servers = rig.servers
	return rig, rig.place()
}

// draw gives a number below a bound; stories that play at once share the seed.
func (rig *Rig) draw(bound int) int {
	rig.drawing.Lock()
	defer rig.drawing.Unlock()
	return rig.random.IntN(bound)
}

func (rig *Rig) now() time.Duration { return time.Since(rig.began) }

func (rig *Rig) Server(name string) *Server {
	for _, server := range rig.servers {
		if server.Row.Name == name {
			return server
		}
	}
	return nil
}

const (
	firstPort  = 15000
	portCount  = 1000
	portRanges = 17
	portTries  = 200
)

// freeAddress finds a free port below those that the kernel gives to outgoing links, so that none is taken in between, and in a range of this
// process's own, since another rig beside it would take the port of a node that is down.
func (rig *Rig) freeAddress() (string, error) {
	var err error
	for range portTries {
		var listener net.Listener
		listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%portRanges*portCount+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !rig.given[address] {
			rig.given[address] = true
			return address, nil
		}
	}
	return "", errors.Join(err, errors.New("no port is free for another process"))
}

func (rig *Rig) place() error {
	for _, machine := range rig.Site.Machines {
		node, err := rig.newNode(machine)
		if err != nil {
			return err
		}
		rig.Nodes = append(rig.Nodes, node)
	}
	for _, node := range rig.Nodes {
		node.Settings.Seeds = rig.seeds()
	}
	return nil
}

func (rig *Rig) newNode(machine site.Machine) (*Node, error) {
	control, first := rig.freeAddress()
	data, second := rig.freeAddress()
	if first != nil {
		return nil, first
	}
	node := &Node{Machine: machine, folder: filepath.Join(rig.folder, machine.Name), bin: rig.bin, cut: map[string]bool{}}
	node.builds = rig.alternation(len(rig.Nodes))
	node.Settings = env.New(env.WithName(machine.Name), env.WithZone(machine.Zone), env.WithRegion(machine.Region),
		env.WithControl(control), env.WithData(data), env.WithPlatform(rig.Platform.Address))
	if machine.Core {
		node.Settings.Folder = filepath.Join(node.folder, "data")
	}
	return node, second
}

func (rig *Rig) seeds() []string {
	seeds := []string{}
	for _, node := range rig.Nodes {
		if node.Machine.Core {
			seeds = append(seeds, node.Settings.Control)
		}
	}
	return seeds
}

func (node *Node) faultsPath() string { return filepath.Join(node.folder, "faults.json") }

func (node *Node) writeFaults() error {
	content, err := json.Marshal(map[string]any{"cut": manifest.SortedKeys(node.cut), "disk": node.disk, "loss": node.loss})
	if err != nil {
		return err
	}
	aside := node.faultsPath() + ".aside"
	if err = os.WriteFile(aside, content, 0o600); err != nil {
		return err
	}
	return os.Rename(aside, node.faultsPath())
}

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
		program, err := node.start(name, path)
		if err != nil {
			return err
		}
		started = append(started, program)
	}
	node.runs(started)
	return nil
}

// programNames are those that each machine runs.
var programNames = []string{"cedarcp", "cedardp"}

func (node *Node) runs(programs []*program) {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.programs = programs
}

// each does something with the programs that were started last.
func (node *Node) each(then func(*program)) {
	node.lock.Lock()
	programs := slices.Clone(node.programs)
	node.lock.Unlock()
	for _, program := range programs {
		then(program)
	}
}

// Kill ends both processes at once, without a farewell.
func (node *Node) Kill() {
	node.each(func(program *program) {
		program.signal(syscall.SIGKILL)
		<-program.ended
	})
	node.runs(nil)
}

// Stop asks both processes to end and tells whether both did so cleanly.
func (node *Node) Stop() bool {
	clean := true
	node.each(func(program *program) { program.signal(syscall.SIGTERM) })
	node.each(func(program *program) { clean = program.clean() && clean })
	node.runs(nil)
	return clean
}

// Revive starts those programs again that ended by themselves, as a platform does, and gives them.
func (node *Node) Revive() ([]*program, error) {
	ended, kept := []*program{}, []*program{}
	node.each(func(program *program) {
		if program.over() {
			ended = append(ended, program)
		} else {
			kept = append(kept, program)
		}
	})
	for _, program := range ended {
		started, err := node.start(program.name, filepath.Join(node.folder, "env.json"))
		if err != nil {
			return ended, err
		}
		kept = append(kept, started)
	}
	node.runs(kept)
	return ended, nil
}

// wipe empties a core machine's data folder.
func (node *Node) wipe() error { return os.RemoveAll(node.Settings.Folder) }

func (node *Node) Freeze() { node.signal(syscall.SIGSTOP) }

func (node *Node) Wake() { node.signal(syscall.SIGCONT) }

// signal sends a signal to both processes that were started last.
func (node *Node) signal(signal syscall.Signal) {
	node.each(func(program *program) { program.signal(signal) })
}

func (node *Node) Disk(state string) {
	node.disk = state
	_ = node.writeFaults()
}

// Cut breaks every link between two groups of machines, both ways; Heal mends all.
func (rig *Rig) Cut(left, right []*Node) {
	for _, one := range left {
		for _, other := range right {
			if one == other {
				continue
			}
			for _, address := range []string{other.Settings.Control, other.Settings.Data} {
				one.cut[address] = true
			}
			for _, address := range []string{one.Settings.Control, one.Settings.Data} {
				other.cut[address] = true
			}
		}
	}
	rig.rewrite()
}

func (rig *Rig) Heal() {
	for _, node := range rig.Nodes {
		node.cut = map[string]bool{}
	}
	rig.rewrite()
}

func (rig *Rig) rewrite() {
	for _, node := range rig.Nodes {
		_ = node.writeFaults()
	}
}

func (rig *Rig) Start() error {
	for _, node := range rig.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (rig *Rig) Close() {
	for _, node := range rig.Nodes {
		node.Wake()
		node.Kill()
	}
	for _, server := range rig.servers {
		server.Crash()
	}
}

// Await asks until a condition holds or its time is over.
func (rig *Rig) Await(what string, limit time.Duration, holds func() bool) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s did not hold within %v", what, limit)
}
