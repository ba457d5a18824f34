package rig

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
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
}

// GatewayLimits are limits of a process and of its callers. Zero leaves a limit out of the settings, or as the configuration usually has it.
type GatewayLimits struct {
	// MemoryMB is the memory of a process in megabytes, OpenFiles the number of its descriptors.
	MemoryMB, OpenFiles int
	// BodyBytes bounds a caller's body.
	BodyBytes int
}

// Times of the simulated platform.
const (
	gatewayGrace      = 8 * time.Second
	gatewayContact    = 4 * time.Second
	gatewayPropagate  = 3 * time.Second
	gatewayDrain      = 4 * time.Second
	gatewayLossSlack  = 200 * time.Millisecond
	gatewayListLag    = 400 * time.Millisecond
	gatewayLookupLife = time.Second
	gatewayMaxTTL     = 5 * time.Second
)

// gatewayZones are the zones of the fleet with their regions.
var gatewayZones = []struct{ name, region string }{{"hall-a", "central"}, {"hall-b", "central"}, {"hall-c", "coast"}}

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
	machines  []*gatewayMachine
	platform  *gatewayPlatform
	record    *gatewayRecord
	operator  *gatewayOperator
	client    *http.Client
	// network is the second byte of the loopback addresses of this fleet.
	network int
	lock    sync.Mutex
	random  *rand.Rand
	// busy holds the machines that a series of signals is stopping, killing or freezing; lostCores counts the core machines among them.
	busy      map[*gatewayMachine]bool
	lostCores int
	failures  []error
	counts    map[string]int
	group     sync.WaitGroup
	closing   bool
}

// requestTimeout bounds a request of the simulated platform or operator to a process.
const requestTimeout = 2 * time.Second

// newGatewayFleet prepares the machines and starts the platform and its servers.
func newGatewayFleet(plan GatewayPlan) (*gatewayFleet, error) {
	fleet := &gatewayFleet{plan: plan, startedAt: time.Now(), random: rand.New(rand.NewPCG(plan.Seed, 7)), busy: map[*gatewayMachine]bool{}, counts: map[string]int{},
		network: 16 + os.Getpid()%200, record: newGatewayRecord(),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	var err error
	if fleet.platform, err = newGatewayPlatform(fleet); err != nil {
		return nil, err
	}
	for index := range plan.Machines {
		zone := gatewayZones[index%len(gatewayZones)]
		machine := &gatewayMachine{fleet: fleet, zone: zone.name, region: zone.region, core: index < len(gatewayZones),
			address: fmt.Sprintf("127.%d.%d.%d", fleet.network, 1+index/200, 1+index%200)}
		machine.name = fmt.Sprintf("edge-%s-%d", zone.name, 1+index/len(gatewayZones))
		machine.folder = filepath.Join(plan.Folder, machine.name)
		fleet.machines = append(fleet.machines, machine)
	}
	fleet.operator = &gatewayOperator{fleet: fleet}
	return fleet, nil
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

// coreAddresses are the control addresses of the core machines.
func (fleet *gatewayFleet) coreAddresses() []string {
	addresses := []string{}
	for _, machine := range fleet.machines {
		if machine.core {
			addresses = append(addresses, machine.at(controlPort))
		}
	}
	return addresses
}

// start starts all machines for the first time and waits until they are configured and ready.
func (fleet *gatewayFleet) start() error {
	for _, machine := range fleet.machines {
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
	for fleet.now() < until {
		ready := 0
		for _, machine := range fleet.machines {
			if machine.isReady() {
				ready++
			}
		}
		if ready == len(fleet.machines) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("not all machines are ready by %v", until.Round(time.Millisecond))
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
	for _, machine := range fleet.machines {
		machine.end()
	}
	fleet.platform.close()
}
