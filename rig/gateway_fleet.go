package rig

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
)

// GatewayPlan describes one soak of a fleet of gateways: real processes that a platform starts, stops and configures in its own protocol.
type GatewayPlan struct {
	// Bin is the folder of the programs, Folder takes the settings, logs and data of all machines.
	Bin    string
	Folder string
	// Machines is the number of machines, spread over the zones. The first of each zone is a core machine and runs a control process too.
	Machines int
	// Span is how long traffic and signals go on. Without one the soak ends when all machines are ready.
	Span time.Duration
	// CallsPerSecond is the rate of the callers that follow the directory, all together.
	CallsPerSecond float64
	// StayingCallers is how many callers stay with one machine and use their connection to it until its process is gone.
	StayingCallers int
	// Stops is how many graceful stops overlap.
	Stops int
	// Seed determines the traffic and the signals.
	Seed uint64
	// Limits are what the platform grants each process and the configuration grants callers.
	Limits GatewayLimits
	// StartTroubles disturb the starts of processes, nil for none.
	StartTroubles *StartTroubles
	// Log takes the lines of the run's output.
	Log func(string)
	// OtherBin, if set, is the folder of a second build; each start of a process takes one of the two at random.
	OtherBin string
	// Floods lets servers, and the list of servers, send bytes without end now and then.
	Floods bool
	// Site, if set, gives the zones, machines, services, kinds of calls, bounds and troubles. Machines is then not used.
	Site *emulator.Site
}

// GatewayLimits are limits of a process and of its callers. Zero leaves a limit out of the settings, or as the configuration usually has it.
type GatewayLimits struct {
	// MemoryMB is the memory of a process in megabytes, OpenFiles the number of its descriptors.
	MemoryMB, OpenFiles int
	// BodyBytes bounds a caller's body.
	BodyBytes int
	// ProcessorQuota is the share of one processor that a process is granted.
	ProcessorQuota float64
	// EndsOverMemory ends a process that asks for more writable memory than MemoryMB.
	EndsOverMemory bool
}

// Ports of every machine; machines differ in their loopback address.
const (
	trafficPort    = 8161
	controlPort    = 8166
	readyPort      = 8167
	lookupPort     = 8164
	firstInnerPort = 7720
	lastInnerPort  = 7735
)

// gatewayFleet is a fleet of gateways with its simulated platform, servers, operator and callers.
type gatewayFleet struct {
	plan      GatewayPlan
	startedAt time.Time
	shape     gatewayShape
	// machines are those that were ever part of the fleet, in the order of their addresses. New ones are added to a copy, under the lock.
	machines []*gatewayMachine
	platform *gatewayPlatform
	record   *gatewayRecord
	operator *gatewayOperator
	client   *http.Client
	network  *loopbackNetwork
	lock     sync.Mutex
	random   *rand.Rand
	// busy holds the machines that a series of signals is stopping, killing or freezing; lostCores counts the core machines among them.
	busy      map[*gatewayMachine]bool
	lostCores int
	failures  []error
	counts    map[string]int
	group     sync.WaitGroup
	series    sync.WaitGroup
	closing   bool
}

// requestTimeout bounds a request of the simulated platform or operator to a process.
const requestTimeout = 2 * time.Second

// newGatewayFleet prepares the machines and starts the platform and its servers.
func newGatewayFleet(plan GatewayPlan) (*gatewayFleet, error) {
	shape := usualShape(plan.Machines)
	if plan.Site != nil {
		shape = shapeOfSite(*plan.Site)
	}
	network, err := claimAnyNetwork()
	if err != nil {
		return nil, err
	}
	fleet := &gatewayFleet{plan: plan, shape: shape, startedAt: time.Now(), random: rand.New(rand.NewPCG(plan.Seed, 7)), busy: map[*gatewayMachine]bool{}, counts: map[string]int{},
		network: network, record: newGatewayRecord(),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	if fleet.platform, err = newGatewayPlatform(fleet); err != nil {
		network.release()
		return nil, err
	}
	for _, place := range shape.machines {
		fleet.addMachine(place)
	}
	fleet.operator = &gatewayOperator{fleet: fleet}
	return fleet, nil
}

// machinesPerSubnet is how many machines share the third byte of their loopback addresses.
const machinesPerSubnet = 200

// addMachine adds a machine at an address that none had before. It starts no process.
func (fleet *gatewayFleet) addMachine(place gatewayPlace) *gatewayMachine {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	index := len(fleet.machines)
	machine := &gatewayMachine{fleet: fleet, zone: place.zone.name, region: place.zone.region, core: place.core,
		address: fmt.Sprintf("127.%d.%d.%d", fleet.network.number, 1+index/machinesPerSubnet, 1+index%machinesPerSubnet)}
	machine.name = fmt.Sprintf("edge-%s-%d", place.zone.name, 1+index)
	machine.folder = filepath.Join(fleet.plan.Folder, machine.name)
	fleet.machines = append(slices.Clone(fleet.machines), machine)
	return machine
}

// allMachines returns the machines that were ever part of the fleet.
func (fleet *gatewayFleet) allMachines() []*gatewayMachine {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.machines
}

// present returns the machines that are part of the fleet now.
func (fleet *gatewayFleet) present() []*gatewayMachine {
	return slices.DeleteFunc(slices.Clone(fleet.allMachines()), func(machine *gatewayMachine) bool { return machine.removed.Load() })
}

// core returns the core machines that are part of the fleet now.
func (fleet *gatewayFleet) core() []*gatewayMachine {
	return slices.DeleteFunc(fleet.present(), func(machine *gatewayMachine) bool { return !machine.core })
}

// nextBuild returns the folder of the programs for the next start of a process.
func (fleet *gatewayFleet) nextBuild() string {
	if fleet.plan.OtherBin != "" && fleet.below(2) == 0 {
		return fleet.plan.OtherBin
	}
	return fleet.plan.Bin
}

// draw returns a random machine that is part of the fleet now.
func (fleet *gatewayFleet) draw() *gatewayMachine {
	machines := fleet.present()
	return machines[fleet.below(len(machines))]
}

// now returns the time since the fleet was made, which all records use.
func (fleet *gatewayFleet) now() time.Duration { return time.Since(fleet.startedAt) }

// below returns a random number in [0, bound).
func (fleet *gatewayFleet) below(bound int) int {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.random.IntN(bound)
}

// between returns a random duration in [least, most).
func (fleet *gatewayFleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(fleet.below(int(most-least)))
}

func (fleet *gatewayFleet) count(event string) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	fleet.counts[event]++
}

func (fleet *gatewayFleet) fail(err error) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	fleet.failures = append(fleet.failures, err)
	fleet.plan.Log(fmt.Sprintf("%v FAILED %v", time.Since(fleet.startedAt).Round(time.Millisecond), err))
}

// seedCount is how many seeds the platform names.
const seedCount = 3

// coreAddresses are the control addresses of core machines that are told to processes as seeds.
func (fleet *gatewayFleet) coreAddresses() []string {
	addresses := []string{}
	for _, machine := range fleet.core() {
		addresses = append(addresses, machine.at(controlPort))
	}
	return addresses[:min(seedCount, len(addresses))]
}

// start starts all machines for the first time and waits until they are configured and ready.
func (fleet *gatewayFleet) start() error {
	for _, machine := range fleet.present() {
		if err := machine.startAll(true); err != nil {
			return err
		}
	}
	if err := fleet.operator.install(); err != nil {
		return err
	}
	return fleet.awaitReady(fleet.now() + gatewayStartLimit + time.Duration(len(fleet.machines))*startLimitPerMachine)
}

// awaitReady waits until all machines are ready, at most until a time.
func (fleet *gatewayFleet) awaitReady(until time.Duration) error {
	waiting := fleet.present()
	for fleet.now() < until {
		waiting = slices.DeleteFunc(fleet.present(), (*gatewayMachine).isReady)
		if len(waiting) == 0 {
			return nil
		}
		time.Sleep(pollInterval)
	}
	names := []string{}
	for _, machine := range waiting {
		names = append(names, machine.name)
	}
	return fmt.Errorf("not ready by %v: %v", until.Round(time.Millisecond), names)
}

const (
	gatewayStartLimit    = 40 * time.Second
	startLimitPerMachine = 500 * time.Millisecond
	pollInterval         = 100 * time.Millisecond
)

// close kills all processes and ends the simulated servers.
func (fleet *gatewayFleet) close() {
	fleet.lock.Lock()
	fleet.closing = true
	fleet.lock.Unlock()
	for _, machine := range fleet.allMachines() {
		machine.end()
	}
	fleet.platform.close()
	fleet.network.release()
}
