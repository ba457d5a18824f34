package fleet

import (
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/site"
)

// Probe is a single call that a test sends and inspects.
type Probe struct {
	*clientCall
}

// Probe makes a call of a class and a home region that is never retried automatically.
func (fleet *Fleet) Probe(class, home string) *Probe {
	call := fleet.NewCall(fleet.CallerProfile(class))
	call.home, call.attempts = home, maxClientAttempts
	return &Probe{clientCall: call}
}

// WithProfile changes the client profile of the call.
func (probe *Probe) WithProfile(change func(*site.Caller)) *Probe {
	change(&probe.profile)
	return probe
}

// SendAndHangUp sends a call to a random node of its home region; the client leaves after the given time.
func (fleet *Fleet) SendAndHangUp(class, home string, patience time.Duration) {
	probe := fleet.Probe(class, home)
	probe.hangsUpAfter = patience
	probe.Send(randomItem(fleet, fleet.InRegion(home)))
}

// Duration is the time that the last answer took.
func (probe *Probe) Duration() time.Duration { return probe.duration }

// WithCaller makes it the call of another caller.
func (probe *Probe) WithCaller(caller string) *Probe {
	probe.caller = caller
	return probe
}

// Key is the idempotency key of the call.
func (probe *Probe) Key() string { return probe.key }

// Send sends the call to a node; from the second time on it is marked as a retry.
func (probe *Probe) Send(machine *Machine) *Probe {
	probe.Result = ""
	if probe.firstSentAt > 0 {
		probe.isRetry = true
	}
	probe.sendTo(machine)
	probe.attempts = maxClientAttempts
	return probe
}

// SendUnmarked sends the call again without marking it as a retry, as a faulty client does.
func (probe *Probe) SendUnmarked(machine *Machine) *Probe {
	probe.Result, probe.isRetry = "", false
	probe.sendTo(machine)
	probe.attempts = maxClientAttempts
	return probe
}

// Outcome waits up to the limit for the outcome; it is empty if there is none yet.
func (probe *Probe) Outcome(limit time.Duration) string {
	probe.fleet.RunUntil(limit, func() bool { return probe.Result != "" })
	return probe.Result
}

// SubmitCall passes a call of any form to a data node and returns its answer, or a zero response after 5 s.
func (fleet *Fleet) SubmitCall(machine *Machine, request call.Call) contract.Response {
	response := contract.Response{}
	process := machine.Data
	process.token++
	token := process.token
	process.pending[token] = func(answer contract.Response) { response = answer }
	process.handle(data.CallArrived{Token: token, Call: request})
	fleet.RunUntil(5*time.Second, func() bool { return response.Status != 0 || response.Body != nil })
	return response
}

// Lookup asks a data node for the outcome of a call, and follows a forward to the home region.
func (fleet *Fleet) Lookup(machine *Machine, caller, key, home string) contract.Response {
	response := contract.Response{}
	process := machine.Data
	process.token++
	token := process.token
	process.pending[token] = func(answer contract.Response) { response = answer }
	process.handle(data.OutcomeQuery{Token: token, Caller: caller, Key: key, Home: home})
	fleet.RunUntil(5*time.Second, func() bool { return response.Status != 0 || response.Body != nil })
	if forward, outsideHome := response.Body.(data.HomeForward); outsideHome {
		process = fleet.processes[forward.Nodes[0]]
		response = contract.Response{}
		process.token++
		process.pending[process.token] = func(answer contract.Response) { response = answer }
		process.handle(data.OutcomeQuery{Token: process.token, Caller: caller, Key: key, Home: forward.Home, Forwarded: true})
		fleet.RunUntil(5*time.Second, func() bool { return response.Status != 0 })
	}
	return response
}

// BusyServers returns the servers that are running a call.
func (fleet *Fleet) BusyServers() []*Server {
	busy := []*Server{}
	for _, server := range fleet.Servers {
		if len(server.running) > 0 {
			busy = append(busy, server)
		}
	}
	return busy
}

// Unloaded tells whether an order has unloaded the server.
func (server *Server) Unloaded() bool { return server.unloaded }

// RunningCount is the number of calls that the server is running.
func (server *Server) RunningCount() int { return len(server.running) }

// Owner returns the machine whose control process owns a shard of a region, according to a random node; nil if there is none.
func (fleet *Fleet) Owner(region string, index int) *Machine {
	answer := fleet.Operate(fleet.anyNode(), contract.OperatorRequest{Verb: contract.VerbShards})
	body, _ := answer.Body.(map[string]any)
	for _, status := range shardStatuses(body) {
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
