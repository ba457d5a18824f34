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

type Fleet struct {
	World     *World
	Site      site.Site
	Bounds    env.Bounds
	Ledger    *ledger.Ledger
	Platform  *Platform
	Machines  []*Machine
	Servers   []*Server
	processes map[string]*Process
	byName    map[string]*Server
	calls     int
	open      int
	ordinary  bool
	Tell      func(string)
	awaiting  map[string]time.Duration
	Writes    []Written
	gone      []*Machine
	undrained map[string]int64
	overlays  map[any]*overlay
	lastTurn  map[string]string
	Turns     int
	Kept      int
}

type Option func(*Fleet)

func WithTell(tell func(string)) Option { return func(fleet *Fleet) { fleet.Tell = tell } }

func WithBounds(change func(*env.Bounds)) Option {
	return func(fleet *Fleet) { change(&fleet.Bounds) }
}

// New makes a fleet that has not started yet.
func New(described site.Site, seed uint64, options ...Option) *Fleet {
	fleet := &Fleet{World: newWorld(seed, time.Duration(described.RegionLatencyMs)*time.Millisecond), Site: described, Bounds: env.DefaultBounds(),
		processes: map[string]*Process{}, byName: map[string]*Server{}, awaiting: map[string]time.Duration{}, undrained: map[string]int64{}, overlays: map[any]*overlay{}, lastTurn: map[string]string{}}
	for _, option := range options {
		option(fleet)
	}
	read, err := manifest.Parse(described.Manifest)
	if err != nil {
		panic(err)
	}
	fleet.Ledger = ledger.New(ledger.BoundsFor(fleet.Bounds, read, len(described.Machines)))
	fleet.Platform = &Platform{fleet: fleet, epochs: map[string]contract.Epoch{}}
	for _, row := range described.Servers {
		server := &Server{Server: row, fleet: fleet}
		fleet.Ledger.AddServer(row.Name, row.Zone, row.Region, row.Slots)
		fleet.Servers = append(fleet.Servers, server)
		fleet.byName[row.Name] = server
		server.Return()
	}
	for _, row := range described.Machines {
		fleet.Machines = append(fleet.Machines, fleet.NewMachine(row))
	}
	return fleet
}

// NewMachine makes a machine at a fresh address; it has not started yet.
func (fleet *Fleet) NewMachine(row site.Machine) *Machine {
	number := len(fleet.Machines) + 1
	machine := &Machine{Machine: row, fleet: fleet}
	machine.env = env.New(env.WithName(row.Name), env.WithZone(row.Zone), env.WithRegion(row.Region), env.WithControl(fmt.Sprintf("10.0.0.%d:7400", number)),
		env.WithData(fmt.Sprintf("10.0.0.%d:7500", number)), env.WithPlatform("http://10.0.1.1:7600"))
	machine.env.Bounds = fleet.Bounds
	machine.env.Seeds = []string{"10.0.0.1:7400", "10.0.0.5:7400", "10.0.0.9:7400"}
	if row.Core {
		machine.Disk = newDisk(fleet.World)
	}
	return machine
}

func (fleet *Fleet) say(process *Process, said contract.Log) {
	if fleet.Tell != nil {
		fleet.Tell(fmt.Sprintln(fleet.World.Now, process.machine.Name+"-"+process.kind, said.Message, said.Attributes))
	}
}

func (fleet *Fleet) Server(name string) *Server { return fleet.byName[name] }

func (fleet *Fleet) Machine(name string) *Machine {
	for _, machine := range fleet.Machines {
		if machine.Name == name {
			return machine
		}
	}
	return nil
}

// Pick gives the machines that fit.
func (fleet *Fleet) Pick(fits func(*Machine) bool) []*Machine {
	machines := []*Machine{}
	for _, machine := range fleet.Machines {
		if fits(machine) {
			machines = append(machines, machine)
		}
	}
	return machines
}

func Names(machines []*Machine) []string {
	names := []string{}
	for _, machine := range machines {
		names = append(names, machine.Name)
	}
	return names
}

func (fleet *Fleet) Start() {
	for _, machine := range fleet.Machines {
		machine.Start()
	}
	fleet.watch()
}

// Run lets a span of virtual time pass.
func (fleet *Fleet) Run(span time.Duration) { fleet.World.RunUntil(fleet.World.Now + span) }

// Until runs until a condition holds, or a limit is over.
func (fleet *Fleet) Until(limit time.Duration, holds func() bool) bool {
	for ends := fleet.World.Now + limit; fleet.World.Now < ends; {
		if holds() {
			return true
		}
		fleet.Run(10 * time.Millisecond)
	}
	return holds()
}

// Traffic sends the site's callers for a span, at a part of their rate.
func (fleet *Fleet) Traffic(span time.Duration, part float64) {
	for _, kind := range fleet.Site.Callers {
		rate := float64(kind.PerSecond) * part
		if rate <= 0 {
			continue
		}
		ends := fleet.World.Now + span
		var next func()
		next = func() {
			if fleet.World.Now < ends {
				fleet.Visit(kind).send()
				fleet.World.After(time.Duration(fleet.World.Random.ExpFloat64()/rate*float64(time.Second)), next)
			}
		}
		fleet.World.After(time.Duration(fleet.World.Random.ExpFloat64()/rate*float64(time.Second)), next)
	}
}

// travellers is how many sessions each home has.
const travellers = 24

// Visit makes a caller of a kind, with a home at random.
func (fleet *Fleet) Visit(kind site.Caller) *visit {
	fleet.calls++
	regions := fleet.Site.Regions()
	next := &visit{fleet: fleet, kind: kind, desk: "desk", home: regions[fleet.World.Random.IntN(len(regions))], scoped: fmt.Sprintf("%s-%d", kind.Route, fleet.calls)}
	if kind.Class == "short" {
		next.session = fmt.Sprintf("%s-%d", next.home, fleet.World.Random.IntN(travellers))
	}
	if kind.Prefixes > 0 {
		next.prefix = fmt.Sprintf("contract %d of %s", fleet.World.Random.Int64N(kind.Prefixes), kind.Route)
	}
	return next
}

func (fleet *Fleet) Kind(class string) site.Caller {
	for _, kind := range fleet.Site.Callers {
		if kind.Class == class {
			return kind
		}
	}
	return site.Caller{}
}

// Returned says that a region is back; the ledger wants it to serve soon.
func (fleet *Fleet) Returned(region string) { fleet.awaiting[region] = fleet.World.Now }

func (fleet *Fleet) served(visit *visit, outcome string) {
	if back, there := fleet.awaiting[visit.home]; there && outcome == "done" && visit.kind.Class != "lookup" && visit.first >= back {
		delete(fleet.awaiting, visit.home)
		fleet.Ledger.RegionRecovered(visit.home, back, fleet.World.Now)
	}
}

// Close ends the run: patience for the last answers, a read-back of all that was accepted, and the ledger's last look.
func (fleet *Fleet) Close() []ledger.Violation {
	fleet.Run(fleet.Bounds.Return())
	fleet.Until(36*time.Second, func() bool { return fleet.open == 0 })
	fleet.readBack()
	for region, back := range fleet.awaiting {
		fleet.Ledger.RegionRecovered(region, back, fleet.World.Now)
	}
	fleet.Ledger.Close(fleet.World.Now)
	return fleet.Ledger.Violations()
}

func content(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
