package serve

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/answers"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/upstream"
	"github.com/go-kit/log"
)

// TestGateway is a gateway process without its node.
type TestGateway struct{ process *gatewayProcess }

func NewTestGateway(settings env.Env, adapter Adapter) *TestGateway {
	process := &gatewayProcess{Process: &Process{Settings: settings, Loop: link.NewLoop(idleMachine{}, time.Hour, nil, log.NewNopLogger())}, adapter: adapter,
		traffic: gateway.NewRouter(settings, newRandom()), pool: upstream.NewPool(maxIdlePerServer, time.Minute), running: newCallRegistry()}
	process.limits.Store(&manifest.Limits{})
	process.admitter = newAdmitter(admission.GatewayBudget(settings.MemoryBytes, settings.OpenFiles), settings, process.Loop)
	process.answers = newAnswerLimiter(answers.NewBudget(settings.MemoryBytes, settings.ProcessorQuota), process.Loop)
	return &TestGateway{process}
}

func (test *TestGateway) Handler() http.Handler { return http.HandlerFunc(test.process.serveCall) }

func (test *TestGateway) Apply(event contract.Event) {
	test.process.execute(gateway.Update{Event: event})
}

// placeForwarder is a node that forwards all queries of the prompt index to one address.
type placeForwarder struct{ address string }

func (owner placeForwarder) Handle(_ time.Duration, event contract.Event) []contract.Command {
	query, ok := event.(gateway.AskPlace)
	if !ok {
		return nil
	}
	body, err := json.Marshal(query.Ask)
	if err != nil {
		panic(err)
	}
	return []contract.Command{contract.Forward{Request: contract.OperatorRequest{Token: query.Token, Verb: contract.VerbPlace, Body: body}, Address: owner.address}}
}

// AskAt sends queries of the prompt index to a control node at an address until stop is closed.
func (test *TestGateway) AskAt(address string, stop chan struct{}) {
	process := test.process
	process.Loop = link.NewLoop(placeForwarder{address}, time.Hour, nil, log.NewNopLogger())
	process.Loop.SetExecutor(process.execute)
	process.operators = link.NewOperatorAPI(process.Loop, 1<<20, 10*time.Second, link.NewFaults("", stop))
	go process.Loop.Run(stop)
}

func (test *TestGateway) Counts() map[string]int64 { return test.process.Loop.Counts() }

func (test *TestGateway) Running() int { return len(test.process.running.snapshot()) }

func (test *TestGateway) Idle() int { return test.process.pool.Idle() }

const (
	MaxReplyBytes = maxReplyBytes
	MaxEventBytes = maxEventBytes
)

// Serve serves callers at a listener. It returns the functions that stop the gateway as a signal does, and that end it as the end of a process does.
func (test *TestGateway) Serve(listener net.Listener) (stop, end func()) {
	process := test.process
	server := process.trafficServer()
	go func() { _ = server.Serve(listener) }()
	return func() { process.stopTraffic(server) }, func() { _ = server.Close() }
}

// StopLimit returns how long a process with these settings may take to stop.
func StopLimit(settings env.Env) time.Duration { return (&Process{Settings: settings}).stopLimit() }

// Admit admits the connections of a listener as those of peers.
func Admit(listener net.Listener) net.Listener {
	settings := env.New()
	loop := link.NewLoop(idleMachine{}, time.Hour, nil, log.NewNopLogger())
	return newAdmitter(admission.SinglePortBudget(settings.MemoryBytes, settings.OpenFiles), settings, loop).wrap(listener, admission.Peers)
}
