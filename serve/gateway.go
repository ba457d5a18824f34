package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/answers"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/upstream"
)

const (
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 64
	// defaultMaxBodyBytes bounds request bodies if the configuration does not.
	defaultMaxBodyBytes = 64 << 20
)

// gatewayProcess runs a data-plane node that proxies opaque calls for a platform. It has two state machines: the node, which the event
// loop runs, and traffic, which decides about calls under the lock and without waiting for the loop.
type gatewayProcess struct {
	*Process
	adapter Adapter
	lock    sync.Mutex
	traffic *gateway.Router
	pool    *upstream.Pool
	token   atomic.Int64
	limits  atomic.Pointer[manifest.Limits]
	answers *answerLimiter
	// leaving says that the process stops, so that it is not ready and answers close their connections.
	leaving atomic.Bool
	running *callRegistry
}

// Gateway runs a data-plane node (cedardp) that proxies opaque calls in the protocol of an adapter, until a signal stops it.
func Gateway(adapter Adapter) error {
	settings, err := awaitSettings(adapter, contract.KindData)
	if err != nil {
		return err
	}
	random := newRandom()
	process := &gatewayProcess{adapter: adapter, traffic: gateway.NewRouter(settings, newRandom()), pool: upstream.NewPool(maxIdlePerServer, settings.Gateway.Contact*2),
		running: newCallRegistry()}
	process.limits.Store(&manifest.Limits{})
	node := gateway.NewNode(settings, newBootID(), process, random)
	process.Process = newProcess(settings, node.Self(), node, admission.GatewayBudget(settings.MemoryBytes, settings.OpenFiles), "")
	process.answers = newAnswerLimiter(answers.NewBudget(settings.MemoryBytes, settings.ProcessorQuota), process.Loop)
	process.Loop.SetExecutor(process.execute)
	process.ReloadSettings = func() (env.Env, error) { return readSettings(adapter, contract.KindData) }
	ready, lookup := adapter.Paths()
	checks, lookups := http.NewServeMux(), http.NewServeMux()
	checks.HandleFunc("GET "+ready, process.checkReady)
	lookups.HandleFunc("GET "+lookup, process.lookup)
	peers, err := process.listen(settings.Data, admission.Peers)
	if err != nil {
		return err
	}
	traffic := process.trafficServer()
	ports := []gatewayPort{
		{address: settings.Gateway.Ready, class: admission.Readiness, server: setUpServer(&http.Server{Handler: admitDocuments(checks)})},
		{address: settings.Gateway.Lookup, class: admission.Directory, server: setUpServer(&http.Server{Handler: admitDocuments(lookups)})},
		{address: settings.Gateway.Traffic, class: admission.Callers, server: traffic, beforeServing: process.awaitReady},
	}
	for index := range ports {
		if ports[index].listener, err = process.listen(ports[index].address, ports[index].class); err != nil {
			return err
		}
	}
	for _, port := range ports {
		go port.serve()
	}
	go process.closeIdleConns()
	return process.run(peers, func() { process.stopTraffic(traffic) })
}

// gatewayPort is a listening port of a gateway. beforeServing, if set, delays the accepting of connections.
type gatewayPort struct {
	address       string
	class         admission.Class
	server        *http.Server
	listener      net.Listener
	beforeServing func()
}

func (port gatewayPort) serve() {
	if port.beforeServing != nil {
		port.beforeServing()
	}
	_ = port.server.Serve(port.listener)
}

// handle passes an event to the traffic state machine.
func (process *gatewayProcess) handle(event contract.Event) []contract.Command {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.traffic.Handle(process.Loop.Now(), event)
}

// nextCommand passes an event of a call to the traffic state machine and returns the one command that it answers with.
func (process *gatewayProcess) nextCommand(event contract.Event) contract.Command {
	commands := process.handle(event)
	if len(commands) != 1 {
		panic("an event of a call wants one command")
	}
	return commands[0]
}

// Calls returns the number of this node's running calls per server of a region.
func (process *gatewayProcess) CallsInFlight(region string) map[string]int64 {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.traffic.CallsInFlight(region)
}

// Stale returns the servers of a region whose prompt index this node found to be wrong.
func (process *gatewayProcess) StaleCaches(region string) map[string]int64 {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.traffic.StaleCaches(region)
}

// Tallies returns where calls to a region's servers failed recently.
func (process *gatewayProcess) Tallies(now time.Duration, region string) map[string]contract.CallTally {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.traffic.Tallies(now, region)
}

// Observed returns what this node observed of the sizes of calls in a region.
func (process *gatewayProcess) Observations(now time.Duration, region string) contract.CallObservations {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.traffic.Observations(now, region)
}

// Uses returns the uses of the prompt index's entries since the previous call of Uses.
func (process *gatewayProcess) TakePlaceUses() []index.Use {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.traffic.TakePlaceUses()
}

// execute carries out a command of the node. It reports whether it knows the command.
func (process *gatewayProcess) execute(command contract.Command) bool {
	switch command := command.(type) {
	case gateway.Update:
		process.handle(command.Event)
		process.lock.Lock()
		limits := process.traffic.Limits()
		process.lock.Unlock()
		process.limits.Store(&limits)
		process.admitter.handle(admission.LimitsChanged{Class: admission.Callers, Limits: admission.CallerLimits(process.Settings, limits)})
	case contract.Forward:
		go process.operators.Forward(command)
	default:
		return false
	}
	return true
}

// awaitReady delays the accepting of connections while the node starts, so that early callers are served instead of refused. The wait is
// bounded: a node that does not get ready then refuses calls and names a time to retry.
func (process *gatewayProcess) awaitReady() {
	limit := process.Settings.Gateway.Contact * 3 / 20
	for began := time.Now(); time.Since(began) < limit; sleep(limit / 60) {
		process.lock.Lock()
		ready := process.traffic.Ready(process.Loop.Now())
		process.lock.Unlock()
		if ready {
			return
		}
	}
}

// idleCheckPeriod is the time between two checks of the idle connections.
const idleCheckPeriod = time.Second

// closeIdleConns periodically closes connections that have been idle for too long, or on which bytes arrived.
func (process *gatewayProcess) closeIdleConns() {
	ticker := time.NewTicker(idleCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-process.stop:
			return
		case <-ticker.C:
			for _, address := range process.pool.CloseExpired() {
				process.answers.handle(answers.LateBytes{Server: address})
			}
		}
	}
}

// checkReady serves the readiness check.
func (process *gatewayProcess) checkReady(writer http.ResponseWriter, _ *http.Request) {
	process.lock.Lock()
	ready := process.traffic.Ready(process.Loop.Now())
	process.lock.Unlock()
	if !ready || process.leaving.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// lookup tells a caller the addresses of nodes to call.
func (process *gatewayProcess) lookup(writer http.ResponseWriter, request *http.Request) {
	query := process.adapter.ParseLookup(request)
	answers := make(chan contract.Response, 1)
	query.Token = process.Loop.RegisterAnswer(func(answer contract.Response) { answers <- answer })
	defer process.Loop.Forget(query.Token)
	if !process.Loop.TryPost(query) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case answer := <-answers:
		found := answer.Body.(gateway.Addresses)
		if len(found.Addresses) == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(writer, http.StatusOK, process.adapter.FormatAddresses(found, process.Settings.Gateway.LookupLife))
	case <-request.Context().Done():
	}
}

// serveCall serves one call: it reads the request completely and carries out the state machine's commands until the call is over.
func (process *gatewayProcess) serveCall(writer http.ResponseWriter, request *http.Request) {
	process.markClosing(writer.Header())
	arrivedAt := time.Now()
	arrived, attemptID := process.adapter.ReadCallHeaders(request)
	if end := beginRequest(request, min(arrived.Timeout, process.Settings.Bounds.Deadline())); end != nil {
		refuseClient(writer, end.Status)
		return
	}
	limits := process.limits.Load()
	if limits.HeaderBytes > 0 && headerSize(request) > limits.HeaderBytes {
		writer.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	limit := int64(defaultMaxBodyBytes)
	if limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	body, err := readCallBody(request, limit)
	if err == nil {
		err = requestRead(request)
	}
	var refused bodyRefused
	switch {
	case errors.As(err, &refused):
		refuseClient(writer, refused.status)
		discardBody(writer, request, limit)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	arrived.Token, arrived.Host, arrived.Path, arrived.Size = process.token.Add(1), request.Host, request.URL.EscapedPath(), body.size
	if arrived.Timeout > 0 {
		arrived.Timeout = max(time.Millisecond, arrived.Timeout-time.Since(arrivedAt))
	}
	call := &proxyCall{process: process, writer: writer, request: request, body: body, attemptID: attemptID, lastEventID: arrived.LastEventID}
	defer func() { call.replyBody.release() }()
	call.description = process.describeCall(call)
	defer process.running.add(call.description)()
	command := process.nextCommand(arrived)
	for command != nil {
		switch next := command.(type) {
		case gateway.Dispatch:
			command = call.sendAttempt(next)
		case gateway.PlaceQuery:
			command = process.place(request.Context(), next)
		case gateway.PassAnswer:
			call.sendReply()
			return
		case gateway.Refuse:
			if call.answerStarted {
				panic(http.ErrAbortHandler)
			}
			process.refuse(writer, next)
			return
		case gateway.Fail:
			call.fail(next)
			return
		default:
			panic("a command that nobody carries out")
		}
	}
}

// headerSize returns the approximate size of a request's head in bytes.
func headerSize(request *http.Request) int64 {
	size := int64(len(request.Method) + len(request.RequestURI) + len(request.Host) + 20)
	for name, values := range request.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + 4)
		}
	}
	return size
}

// refuse answers a call that did not run.
func (process *gatewayProcess) refuse(writer http.ResponseWriter, refuse gateway.Refuse) {
	process.Loop.Count("refused_"+strconv.Itoa(refuse.Status), 1)
	process.markClosing(writer.Header())
	if refuse.RetryAfter > 0 {
		process.adapter.SetRetryAfter(writer.Header(), refuse.RetryAfter)
	}
	writer.WriteHeader(refuse.Status)
}

// noteLateBytes notes that a server sent bytes that belong to no call. Its connections are not used again for a time.
func (process *gatewayProcess) noteLateBytes(server contract.Candidate) {
	process.pool.Distrust(server.Address)
	process.answers.handle(answers.LateBytes{Server: server.Name})
}

// dial returns a connection to the server, from the pool if there is one.
func (process *gatewayProcess) dial(ctx context.Context, dispatch gateway.Dispatch) (*upstream.Conn, error) {
	conn, lateBytes := process.pool.Get(dispatch.Server.Address, dispatch.MaxIdle)
	if lateBytes {
		process.noteLateBytes(dispatch.Server)
	}
	if conn != nil {
		return conn, nil
	}
	return process.pool.Dial(ctx, dispatch.Server.Address, min(dispatch.ConnectTimeout, dispatch.Timeout))
}
