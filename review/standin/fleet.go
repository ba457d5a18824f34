package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Roles of the deploy file, named as their programs.
const (
	dataRole    = "cedardp"
	controlRole = "cedarcp"
)

// zones of the deployment, with their regions. The first machine of each zone has a disk.
var zones = []struct{ name, region string }{{"klia-hall", "klang"}, {"cyber-hall", "klang"}, {"bayan-hall", "penang"}}

// machinesPerZone is the number of machines of each zone.
const machinesPerZone = 2

// Names of a machine's ports.
const (
	portFrontend = iota
	portReadiness
	portControl
	portRegistry
	portInternal
	portCount
)

// internalPortCount is the length of the range of internal ports.
const internalPortCount = 16

// fleet is the deployment: the project's processes and the stand-ins around them.
type fleet struct {
	record   *record
	programs string
	folder   string
	ports    [portCount]int
	machines []*machine
	platform *platform
	operator *operator
	clients  *clients
	lock     sync.Mutex
	closing  bool
}

// machine is one machine with its processes by role.
type machine struct {
	fleet   *fleet
	name    string
	zone    string
	region  string
	address string
	core    bool
	lock    sync.Mutex
	running map[string]*exec.Cmd
}

func newFleet(record *record, programs, folder string) (*fleet, error) {
	created := &fleet{record: record, programs: programs, folder: folder}
	network := 32 + os.Getpid()%180
	for zoneIndex, zone := range zones {
		for index := range machinesPerZone {
			created.machines = append(created.machines, &machine{fleet: created, zone: zone.name, region: zone.region, core: index == 0,
				name:    fmt.Sprintf("edge-%s-%d", zone.name, index+1),
				address: fmt.Sprintf("127.%d.%d.%d", network, zoneIndex+1, index+1), running: map[string]*exec.Cmd{}})
		}
	}
	if err := created.choosePorts(); err != nil {
		return nil, err
	}
	var err error
	if created.platform, err = newPlatform(record); err != nil {
		return nil, err
	}
	created.operator = newOperator(created)
	created.clients = newClients(created)
	return created, nil
}

// choosePorts finds ports that are free at all machines' addresses.
func (fleet *fleet) choosePorts() error {
	for base := 20000 + os.Getpid()%500*20; base < 32000; base += 40 {
		free := true
		for _, machine := range fleet.machines {
			for offset := range portCount - 1 + internalPortCount {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machine.address, base+offset))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			for index := range fleet.ports {
				fleet.ports[index] = base + index
			}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (machine *machine) at(port int) string {
	return fmt.Sprintf("%s:%d", machine.address, machine.fleet.ports[port])
}

// core returns the machines with a disk, which serve control_plane.
func (fleet *fleet) core() []*machine {
	chosen := []*machine{}
	for _, machine := range fleet.machines {
		if machine.core {
			chosen = append(chosen, machine)
		}
	}
	return chosen
}

// machineNamed returns the machine of a name.
func (fleet *fleet) machineNamed(name string) *machine {
	for _, machine := range fleet.machines {
		if machine.name == name {
			return machine
		}
	}
	return nil
}

// settingsValues fill the settings file of a process.
type settingsValues struct {
	Name, Role, Serves, Address, Zone, Region, Seeds, DataPath, Frontend, Readiness, Control, Registry, Platform string
	FirstPort, LastPort                                                                                          int
	First, Core                                                                                                  bool
}

// settings returns the settings file of a process, with the figures of the site serilaluan-cedar.
func (machine *machine) settings(role string, first bool) (string, error) {
	seeds, fleet := []string{}, machine.fleet
	for _, core := range fleet.core() {
		seeds = append(seeds, fmt.Sprintf("%q", core.at(portControl)))
	}
	serves := `["edge","registry"]`
	if role == controlRole {
		serves = `["control_plane"]`
	}
	text := &strings.Builder{}
	err := settingsTemplate.Execute(text, settingsValues{Name: machine.name, Role: role, Serves: serves, Address: machine.address, Zone: machine.zone, Region: machine.region,
		Seeds: strings.Join(seeds, ","), DataPath: filepath.Join(machine.folder(), "data-"+role), Frontend: machine.at(portFrontend), Readiness: machine.at(portReadiness),
		Control: machine.at(portControl), Registry: machine.at(portRegistry), Platform: fleet.platform.address, FirstPort: fleet.ports[portInternal],
		LastPort: fleet.ports[portInternal] + internalPortCount - 1, First: first, Core: machine.core})
	return text.String(), err
}

func (machine *machine) folder() string {
	return filepath.Join(machine.fleet.folder, machine.name)
}

func (machine *machine) roles() []string {
	if machine.core {
		return []string{controlRole, dataRole}
	}
	return []string{dataRole}
}

// restartPause is the time after which the platform starts a process again that has ended.
const restartPause = 500 * time.Millisecond

// startRole starts a process and starts it again half a second after it ends.
func (machine *machine) startRole(role string, first bool) error {
	if err := os.MkdirAll(filepath.Join(machine.folder(), "data-"+role), 0o700); err != nil {
		return err
	}
	text, err := machine.settings(role, first)
	if err != nil {
		return err
	}
	path := filepath.Join(machine.folder(), role+".toml")
	if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(machine.folder(), role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(filepath.Join(machine.fleet.programs, role))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), names.SettingsVariable + "=" + path}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = command.Start(); err != nil {
		return err
	}
	machine.lock.Lock()
	machine.running[role] = command
	machine.lock.Unlock()
	go func() {
		_ = command.Wait()
		time.Sleep(restartPause)
		if !machine.fleet.isClosing() {
			machine.fleet.record.line("platform: process %s of %s ended (%v) and is started again", role, machine.name, command.ProcessState)
			_ = machine.startRole(role, false)
		}
	}()
	return nil
}

func (fleet *fleet) isClosing() bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.closing
}

// signal sends a signal to all processes of the machine.
func (machine *machine) signal(signal syscall.Signal) {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	for _, command := range machine.running {
		_ = command.Process.Signal(signal)
	}
}

// startLimit bounds the time until the fleet is configured and ready.
const startLimit = 30 * time.Second

// start starts all processes for the first time.
func (fleet *fleet) start() error {
	for _, machine := range fleet.machines {
		for _, role := range machine.roles() {
			if err := machine.startRole(role, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// configure sends the first configuration until it is taken and waits until all machines are ready.
func (fleet *fleet) configure() error {
	if err := fleet.operator.install(startLimit); err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, machine := range fleet.machines {
			if machine.isReady() {
				ready++
			}
		}
		if ready == len(fleet.machines) {
			fleet.record.line("all %d machines are ready", ready)
			return nil
		}
	}
	return errors.New("the machines did not get ready")
}

// isReady asks the readiness address as the platform does.
func (machine *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + machine.at(portReadiness) + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (fleet *fleet) close() {
	fleet.lock.Lock()
	fleet.closing = true
	fleet.lock.Unlock()
	fleet.clients.stop()
	for _, machine := range fleet.machines {
		machine.signal(syscall.SIGKILL)
	}
	fleet.platform.close()
	if os.Getenv("KEEP_LOGS") != "" {
		_ = os.CopyFS(os.Getenv("KEEP_LOGS"), os.DirFS(fleet.folder))
	}
}
