package rig

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/platform"
)

// gatewayMachine is one machine: a data process and, on core machines, a control process. The platform restarts each process that ends.
type gatewayMachine struct {
	fleet   *gatewayFleet
	name    string
	zone    string
	region  string
	address string
	folder  string
	core    bool
	lock    sync.Mutex
	// running holds the current process of each role; a process that has ended stays until the next one starts.
	running map[string]*program
	// stops are the graceful stops of the data process, hangups the times of SIGHUP, troubles the kills and freezes.
	stops    []*gatewayStop
	hangups  []time.Duration
	troubles []timeSpan
	// troubledStarts disturb the next start of a role. losesDisk says that the data folder is emptied before the next start.
	troubledStarts map[string]startTrouble
	losesDisk      bool
	// downFor is how much longer than usual the machine stays down after the next end of its processes.
	downFor time.Duration
	// removed says that the machine has left the fleet for good.
	removed atomic.Bool
}

// gatewayStop is one SIGTERM of a machine. endedAt is when its data process had ended, killed whether it took a SIGKILL.
type gatewayStop struct {
	at      time.Duration
	endedAt time.Duration
	killed  bool
}

// Roles of processes, named as the programs.
const (
	dataRole    = "cedardp"
	controlRole = "cedarcp"
)

func (machine *gatewayMachine) at(port int) string {
	return fmt.Sprintf("%s:%d", machine.address, port)
}

func (machine *gatewayMachine) roles() []string {
	if machine.core {
		return []string{controlRole, dataRole}
	}
	return []string{dataRole}
}

// settings returns the settings of a process.
func (machine *gatewayMachine) settings(role string, first bool) platform.ProcessSettings {
	zones := map[string]string{}
	shape := machine.fleet.shape
	for _, zone := range shape.zones {
		zones[zone.name] = zone.region
	}
	settings := platform.ProcessSettings{Name: machine.name, Role: role, Address: machine.address, Zone: machine.zone, Region: machine.region, Seeds: machine.fleet.coreAddresses(), First: first, Zones: zones,
		Frontend: machine.at(trafficPort), Readiness: machine.at(readyPort), ControlPlane: machine.at(controlPort), Registry: machine.at(lookupPort), InnerPorts: [2]int{firstInnerPort, lastInnerPort},
		Platform: machine.fleet.platform.address, ListLag: shape.listLag, Contact: shape.contact, Drain: shape.drain, Grace: shape.grace, Propagate: shape.propagate, MaxTTL: shape.maxTTL,
		MemoryMB: machine.fleet.plan.Limits.MemoryMB, MaxOpenFiles: machine.fleet.plan.Limits.OpenFiles, ProcessorQuota: machine.fleet.plan.Limits.ProcessorQuota}
	if machine.core && role == controlRole {
		settings.Member, settings.DataPath = true, filepath.Join(machine.folder, "data")
	}
	return settings
}

// startAll starts all processes of the machine.
func (machine *gatewayMachine) startAll(first bool) error {
	if err := os.MkdirAll(filepath.Join(machine.folder, "data"), 0o700); err != nil {
		return err
	}
	for _, role := range machine.roles() {
		if err := machine.startRole(role, first); err != nil {
			return err
		}
	}
	return nil
}

// startRole starts the process of a role and supervises it: when it ends it is started again after a pause, as the platform does.
func (machine *gatewayMachine) startRole(role string, first bool) error {
	trouble := machine.takeStartTrouble(role)
	if err := machine.prepareDisk(role); err != nil {
		return err
	}
	path, err := machine.writeSettings(role, first, trouble.settingsLate)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(machine.fleet.nextBuild(), role))
	command.Env = append(os.Environ(), platform.SettingsFileVariable+"="+path)
	started, err := machine.launch(role, command, trouble.readerLeaves)
	if err != nil {
		return err
	}
	limits := machine.fleet.plan.Limits
	machine.fleet.failIf(limitOpenFiles(started.pid(), limits.OpenFiles))
	if limits.EndsOverMemory {
		machine.fleet.failIf(limitMemory(started.pid(), limits.MemoryMB))
	}
	machine.lock.Lock()
	if machine.running == nil {
		machine.running = map[string]*program{}
	}
	machine.running[role] = started
	machine.lock.Unlock()
	go machine.supervise(role, started)
	return nil
}

const (
	leastRestartPause = 200 * time.Millisecond
	mostRestartPause  = 800 * time.Millisecond
)

// supervise waits for the end of a process and starts the next one.
func (machine *gatewayMachine) supervise(role string, ended *program) {
	<-ended.ended
	machine.lock.Lock()
	downFor := machine.downFor
	machine.lock.Unlock()
	time.Sleep(downFor + machine.fleet.between(leastRestartPause, mostRestartPause))
	fleet := machine.fleet
	fleet.lock.Lock()
	closing := fleet.closing
	fleet.lock.Unlock()
	if closing || machine.removed.Load() || ended.superseded.Load() {
		return
	}
	if !ended.told.Load() {
		fleet.fail(fmt.Errorf("%s of %s ended by itself after %v, %v:\n    %s", role, machine.name, ended.lifetime.Round(time.Millisecond), ended.command.ProcessState, ended.lastLines()))
	}
	if fleet.plan.StartTroubles != nil {
		fleet.troubleStart(machine, role)
	}
	if err := machine.startRole(role, false); err != nil {
		fleet.fail(err)
	}
}

// process returns the current process of a role.
func (machine *gatewayMachine) process(role string) *program {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	return machine.running[role]
}

// signal sends a signal to all processes of the machine.
func (machine *gatewayMachine) signal(signal syscall.Signal) {
	for _, role := range machine.roles() {
		if process := machine.process(role); process != nil {
			process.signal(signal)
		}
	}
}

// isRunning reports whether all processes run and have run for long enough to handle signals.
func (machine *gatewayMachine) isRunning() bool {
	for _, role := range machine.roles() {
		process := machine.process(role)
		if process == nil || process.hasEnded() || time.Since(process.startedAt) < signalHandlerSetupLimit {
			return false
		}
	}
	return true
}

// isReady asks the readiness check as the platform does.
func (machine *gatewayMachine) isReady() bool {
	path, _ := platform.Adapter{}.Paths()
	response, err := machine.fleet.client.Get("http://" + machine.at(readyPort) + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end kills all processes, waits for them and starts none again. The fleet has to be closing.
func (machine *gatewayMachine) end() {
	machine.signal(syscall.SIGCONT)
	machine.signal(syscall.SIGKILL)
	for _, role := range machine.roles() {
		if process := machine.process(role); process != nil {
			<-process.ended
		}
	}
}

// openTrouble records a kill or freeze that begins now and returns the function that ends it.
func (machine *gatewayMachine) openTrouble() func() {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	index := len(machine.troubles)
	machine.troubles = append(machine.troubles, timeSpan{node: machine.name, from: machine.fleet.now(), until: time.Hour})
	return func() {
		machine.lock.Lock()
		defer machine.lock.Unlock()
		machine.troubles[index].until = machine.fleet.now()
	}
}

// logLines returns the lines of the log of a role's processes that contain a text.
func (machine *gatewayMachine) logLines(role, text string) []string {
	content, _ := os.ReadFile(filepath.Join(machine.folder, role+".log"))
	lines := []string{}
	for _, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
