package fleet

import (
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/site"
)

// Probe is one call that a story sends by hand.
type Probe struct {
	*visit
}

// Probe makes a call of a class, bound to a home, that is not repeated by itself.
func (fleet *Fleet) Probe(class, home string) *Probe {
	made := fleet.Visit(fleet.Kind(class))
	made.home, made.tries = home, callerTries
	return &Probe{visit: made}
}

// With changes the kind of the call.
func (probe *Probe) With(change func(*site.Caller)) *Probe {
	change(&probe.kind)
	return probe
}

// Hurried sends a call to any node of its home, for a caller that goes away after a while.
func (fleet *Fleet) Hurried(class, home string, patience time.Duration) {
	probe := fleet.Probe(class, home)
	probe.leaves = patience
	probe.Send(one(fleet, fleet.InRegion(home)))
}

// Took is how long the last answer took.
func (probe *Probe) Took() time.Duration { return probe.took }

// Of makes it the call of another caller.
func (probe *Probe) Of(desk string) *Probe {
	probe.desk = desk
	return probe
}

func (probe *Probe) Key() string { return probe.scoped }

// Send sends it to a node; a second time it is a marked repeat.
func (probe *Probe) Send(machine *Machine) *Probe {
	probe.Ended = ""
	if probe.first > 0 {
		probe.repeat = true
	}
	probe.sendTo(machine)
	probe.tries = callerTries
	return probe
}

// Again sends it once more without the mark of a repeat, as a careless caller does.
func (probe *Probe) Again(machine *Machine) *Probe {
	probe.Ended, probe.repeat = "", false
	probe.sendTo(machine)
	probe.tries = callerTries
	return probe
}

func (probe *Probe) Outcome(limit time.Duration) string {
	probe.fleet.Until(limit, func() bool { return probe.Ended != "" })
	return probe.Ended
}

// Arrive puts a call of any shape to a data node and gives its answer.
func (fleet *Fleet) Arrive(machine *Machine, asked call.Call) contract.Response {
	given := contract.Response{}
	process := machine.Data
	process.token++
	token := process.token
	process.asks[token] = func(answer contract.Response) { given = answer }
	process.handle(data.CallArrived{Token: token, Call: asked})
	fleet.Until(5*time.Second, func() bool { return given.Status != 0 || given.Body != nil })
	return given
}

// Look asks a data node what became of a call.
func (fleet *Fleet) Look(machine *Machine, caller, key, home string) contract.Response {
	given := contract.Response{}
	process := machine.Data
	process.token++
	token := process.token
	process.asks[token] = func(answer contract.Response) { given = answer }
	process.handle(data.OutcomeQuery{Token: token, Caller: caller, Key: key, Home: home})
	fleet.Until(5*time.Second, func() bool { return given.Status != 0 || given.Body != nil })
	if pass, away := given.Body.(data.HomeForward); away {
		process = fleet.processes[pass.Nodes[0]]
		given = contract.Response{}
		process.token++
		process.asks[process.token] = func(answer contract.Response) { given = answer }
		process.handle(data.OutcomeQuery{Token: process.token, Caller: caller, Key: key, Home: pass.Home, Forwarded: true})
		fleet.Until(5*time.Second, func() bool { return given.Status != 0 })
	}
	return given
}

// Running gives the servers that run something now.
func (fleet *Fleet) Running() []*Server {
	busy := []*Server{}
	for _, server := range fleet.Servers {
		if len(server.running) > 0 {
			busy = append(busy, server)
		}
	}
	return busy
}

func (server *Server) Unloaded() bool { return server.unloaded }

func (server *Server) Busy() int { return len(server.running) }

// Owner gives the machine whose control process owns a shard of a region now, as the region's nodes tell.
func (fleet *Fleet) Owner(region string, index int) *Machine {
	answer := fleet.Operate(fleet.anyNode(), contract.OperatorRequest{Verb: contract.VerbShards})
	body, _ := answer.Body.(map[string]any)
	for _, status := range statuses(body) {
		if status.Region == region && status.Shard == index {
			for _, machine := range fleet.Machines {
				if machine.Name+"-control" == status.Owner {
					return machine
				}
			}
		}
	}
	return nil
}
