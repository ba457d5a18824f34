package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/site"
)

// Fleet is a whole deployment in one process: machines, servers, platform and clients, all in virtual time.
type Fleet struct {
	World    *World
	Site     site.Site
	Bounds   env.Bounds
	Ledger   *ledger.Ledger
	Platform *Platform
	Machines []*Machine
	Servers  []*Server
	// processes holds the latest process at each address.
	processes     map[string]*Process
	serversByName map[string]*Server
	// calls counts the calls made, for their keys.
	calls int
	// openAttempts counts the client attempts without an outcome.
	openAttempts      int
	noEarlyWithdrawal bool
	// LogSink, unless nil, gets the log lines of all nodes.
	LogSink func(string)
	// recovering holds, for each region that has to serve again, when it returned.
	recovering map[string]time.Duration
	// Writes are the answered writes in the order of their answers.
	Writes []WriteRecord
	// removed are the core machines that were replaced.
	removed []*Machine
	// undrainRevisions holds the latest revision that ended the drain of a zone; a drain with an older revision has no effect.
	undrainRevisions map[string]int64
	overlays         map[any]*fieldOverlay
	// lastServer holds the server of the latest turn of each session.
	lastServer map[string]string
	// SessionTurns counts turns after the first of a session, SameServerTurns those that ran on the server of the turn before.
	SessionTurns    int
	SameServerTurns int
}

// Option changes a fleet before it starts.
type Option func(*Fleet)

// WithLogSink passes each log line of the nodes to a function.
func WithLogSink(sink func(string)) Option { return func(fleet *Fleet) { fleet.LogSink = sink } }

// WithBounds changes the bounds of the environment for all nodes and for the ledger.
func WithBounds(change func(*env.Bounds)) Option {
	return func(fleet *Fleet) { change(&fleet.Bounds) }
}

// New makes a fleet that has not started yet. Runs with the same site, seed and options are identical.
func New(deployment site.Site, seed uint64, options ...Option) *Fleet {
	fleet := &Fleet{World: newWorld(seed, time.Duration(deployment.RegionLatencyMs)*time.Millisecond), Site: deployment, Bounds: env.DefaultBounds(),
		processes: map[string]*Process{}, serversByName: map[string]*Server{}, recovering: map[string]time.Duration{}, undrainRevisions: map[string]int64{}, overlays: map[any]*fieldOverlay{}, lastServer: map[string]string{}}
	for _, option := range options {
		option(fleet)
	}
	read, err := manifest.Parse(deployment.Manifest)
	if err != nil {
		panic(err)
	}
	fleet.Ledger = ledger.New(ledger.BoundsFor(fleet.Bounds, read, len(deployment.Machines)))
	fleet.Platform = &Platform{fleet: fleet, epochs: map[string]contract.Epoch{}}
	for _, serverConfig := range deployment.Servers {
		server := &Server{Server: serverConfig, fleet: fleet}
		fleet.Ledger.AddServer(serverConfig.Name, serverConfig.Zone, serverConfig.Region, serverConfig.Slots)
		fleet.Servers = append(fleet.Servers, server)
		fleet.serversByName[serverConfig.Name] = server
		server.StartCold()
	}
	for _, machineConfig := range deployment.Machines {
		fleet.Machines = append(fleet.Machines, fleet.NewMachine(machineConfig))
	}
	return fleet
}

// NewMachine makes a machine with the next free address; it has not started yet and is not in Machines.
func (fleet *Fleet) NewMachine(config site.Machine) *Machine {
	index := len(fleet.Machines) + 1
	machine := &Machine{Machine: config, fleet: fleet}
	machine.env = env.New(env.WithName(config.Name), env.WithZone(config.Zone), env.WithRegion(config.Region), env.WithControl(fmt.Sprintf("10.0.0.%d:7400", index)),
		env.WithData(fmt.Sprintf("10.0.0.%d:7500", index)), env.WithPlatform("http://10.0.1.1:7600"))
	machine.env.Bounds = fleet.Bounds
	machine.env.Seeds = []string{"10.0.0.1:7400", "10.0.0.5:7400", "10.0.0.9:7400"}
	if config.Core {
		machine.Disk = newDisk(fleet.World)
	}
	return machine
}

func (fleet *Fleet) writeLog(process *Process, line contract.Log) {
	if fleet.LogSink != nil {
		fleet.LogSink(fmt.Sprintln(fleet.World.Now, process.machine.Name+"-"+process.kind, line.Message, line.Attributes))
	}
}

// Server returns the server of that name, or nil.
func (fleet *Fleet) Server(name string) *Server { return fleet.serversByName[name] }

// Machine returns the machine of that name, or nil.
func (fleet *Fleet) Machine(name string) *Machine {
	for _, machine := range fleet.Machines {
		if machine.Name == name {
			return machine
		}
	}
	return nil
}

// MachinesWhere returns the machines for which the condition holds.
func (fleet *Fleet) MachinesWhere(matches func(*Machine) bool) []*Machine {
	machines := []*Machine{}
	for _, machine := range fleet.Machines {
		if matches(machine) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// Names returns the names of machines.
func Names(machines []*Machine) []string {
	names := []string{}
	for _, machine := range machines {
		names = append(names, machine.Name)
	}
	return names
}

// Start starts all machines and the check of their manifests; no manifest is written yet.
func (fleet *Fleet) Start() {
	for _, machine := range fleet.Machines {
		machine.Start()
	}
	fleet.watchManifests()
}

// Run advances virtual time by a span.
func (fleet *Fleet) Run(span time.Duration) { fleet.World.RunUntil(fleet.World.Now + span) }

// RunUntil advances virtual time until the condition holds or the limit is over, and returns whether it holds.
func (fleet *Fleet) RunUntil(limit time.Duration, condition func() bool) bool {
	for deadline := fleet.World.Now + limit; fleet.World.Now < deadline; {
		if condition() {
			return true
		}
		fleet.Run(10 * time.Millisecond)
	}
	return condition()
}

// Traffic schedules the calls of all the site's clients for a span, at a share of their rates.
func (fleet *Fleet) Traffic(span time.Duration, share float64) {
	for _, profile := range fleet.Site.Callers {
		rate := float64(profile.PerSecond) * share
		if rate <= 0 {
			continue
		}
		deadline := fleet.World.Now + span
		var next func()
		next = func() {
			if fleet.World.Now < deadline {
				fleet.NewCall(profile).send()
				fleet.World.After(time.Duration(fleet.World.Random.ExpFloat64()/rate*float64(time.Second)), next)
			}
		}
		fleet.World.After(time.Duration(fleet.World.Random.ExpFloat64()/rate*float64(time.Second)), next)
	}
}

// sessionsPerRegion is how many sessions the clients of each home region share.
const sessionsPerRegion = 24

// NewCall makes a call of the given profile with a random home region, session and prefix.
func (fleet *Fleet) NewCall(profile site.Caller) *clientCall {
	fleet.calls++
	regions := fleet.Site.Regions()
	next := &clientCall{fleet: fleet, profile: profile, caller: "desk", home: regions[fleet.World.Random.IntN(len(regions))], key: fmt.Sprintf("%s-%d", profile.Route, fleet.calls)}
	if profile.Class == "short" {
		next.session = fmt.Sprintf("%s-%d", next.home, fleet.World.Random.IntN(sessionsPerRegion))
	}
	if profile.Prefixes > 0 {
		next.prefix = fmt.Sprintf("contract %d of %s", fleet.World.Random.Int64N(profile.Prefixes), profile.Route)
	}
	return next
}

// CallerProfile returns the first client profile of a class, or an empty one.
func (fleet *Fleet) CallerProfile(class string) site.Caller {
	for _, profile := range fleet.Site.Callers {
		if profile.Class == class {
			return profile
		}
	}
	return site.Caller{}
}

// RegionReturned starts the recovery bound of a region, in which it has to complete a call.
func (fleet *Fleet) RegionReturned(region string) { fleet.recovering[region] = fleet.World.Now }

// recordServed ends the recovery of a region with its first complete inference call that was sent after the return.
func (fleet *Fleet) recordServed(call *clientCall, outcome string) {
	if returnedAt, found := fleet.recovering[call.home]; found && outcome == "done" && call.profile.Class != "lookup" && call.firstSentAt >= returnedAt {
		delete(fleet.recovering, call.home)
		fleet.Ledger.RegionRecovered(call.home, returnedAt, fleet.World.Now)
	}
}

// Close ends the run: it waits for the last answers, reads all accepted revisions back and returns the violations.
func (fleet *Fleet) Close() []ledger.Violation {
	fleet.Run(fleet.Bounds.Return())
	fleet.RunUntil(36*time.Second, func() bool { return fleet.openAttempts == 0 })
	fleet.readBack()
	for region, returnedAt := range fleet.recovering {
		fleet.Ledger.RegionRecovered(region, returnedAt, fleet.World.Now)
	}
	fleet.Ledger.Close(fleet.World.Now)
	return fleet.Ledger.Violations()
}

func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
