package rig

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cedarreel/cedarreel/platform"
)

// Port is a listening port of a gateway machine.
type Port int

// Ports of a machine by what they serve. PeerPort is the data process's own port for other nodes, ControlPort that of the control process
// for operators and other nodes.
const (
	CallerPort    Port = trafficPort
	ReadinessPort Port = readyPort
	DirectoryPort Port = lookupPort
	PeerPort      Port = firstInnerPort
	ControlPort   Port = controlPort
)

// Programs of a machine.
const (
	DataProgram    = dataRole
	ControlProgram = controlRole
)

// SingleGateway is one machine of the smallest fleet that takes a configuration, with its platform, servers and operator. Tests press on its
// ports.
type SingleGateway struct {
	fleet *gatewayFleet
	// first holds the processes that were started first; a later one shows that a process ended.
	first map[string]*program
}

// StartSingleGateway starts a fleet of one machine a zone and waits until it serves. Close ends it.
func StartSingleGateway(plan GatewayPlan) (*SingleGateway, error) {
	plan.Machines = len(usualZones)
	fleet, err := newGatewayFleet(plan)
	if err != nil {
		return nil, err
	}
	if err = fleet.start(); err != nil {
		fleet.close()
		return nil, err
	}
	single := &SingleGateway{fleet: fleet, first: map[string]*program{}}
	for _, role := range fleet.machines[0].roles() {
		single.first[role] = fleet.machines[0].process(role)
	}
	return single, nil
}

// Close kills all processes and ends the simulated servers.
func (single *SingleGateway) Close() { single.fleet.close() }

// Address returns the IP address and number of a port.
func (single *SingleGateway) Address(port Port) string { return single.fleet.machines[0].at(int(port)) }

// PID returns the process id of a program's first process.
func (single *SingleGateway) PID(name string) int { return single.first[name].pid() }

// HasEnded reports whether a program's first process has ended.
func (single *SingleGateway) HasEnded(name string) bool { return single.first[name].hasEnded() }

// Call sends one ordinary call on a new connection, and returns an error unless its whole answer came.
func (single *SingleGateway) Call() error {
	caller := single.fleet.newCaller("ordinary", 0)
	caller.home, caller.calls = single.fleet.machines[0], single.fleet.below(1<<30)
	defer caller.drop()
	attempt := caller.call()
	if attempt.Status != http.StatusOK || !attempt.Complete {
		return fmt.Errorf("a %s was answered %d, complete %v, %s", attempt.Kind, attempt.Status, attempt.Complete, attempt.Error)
	}
	return nil
}

// Check asks each of the other ports one ordinary question: the readiness check, a look-up of machines and a read of the configuration.
func (single *SingleGateway) Check() error {
	ready, _ := platform.Adapter{}.Paths()
	questions := map[Port]string{ReadinessPort: ready, DirectoryPort: platform.LookupQuery(gatewayHost, single.fleet.machines[0].region, single.fleet.machines[0].zone),
		ControlPort: platform.DescribePath, PeerPort: "/metrics"}
	errs := []error{}
	for port, path := range questions {
		response, err := single.fleet.client.Get("http://" + single.Address(port) + path)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				err = fmt.Errorf("%s was answered %d", path, response.StatusCode)
			}
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// DataMetrics returns the metrics of the data process as text.
func (single *SingleGateway) DataMetrics() (string, error) {
	response, err := single.fleet.client.Get("http://" + single.Address(PeerPort) + "/metrics")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}
