package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/index"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/upstream"
	"github.com/rotisserie/eris"
)

const (
	idlePerServer  = 64
	mostBodyBytes  = 64 << 20
	mostReplyBytes = 16 << 20
)

type gatewayShell struct {
	*Process
	face    Face
	lock    sync.Mutex
	traffic *gateway.Router
	pool    *upstream.Pool
	token   atomic.Int64
	limits  atomic.Pointer[manifest.Limits]
	leaving atomic.Bool
	running atomic.Int64
	touched atomic.Int64
}

// Gateway runs a cedardp that takes opaque calls in a face's manner, until it is told to stop.
func Gateway(face Face) error {
	settings, failure := face.Settings(contract.KindData)
	if failure != nil {
		return failure
	}
	random := source()
	shell := &gatewayShell{face: face, traffic: gateway.NewRouter(settings, source()), pool: upstream.NewPool(idlePerServer, settings.Gateway.Contact*2)}
	shell.limits.Store(&manifest.Limits{})
	node := gateway.NewNode(settings, boot(), shell, random)
	shell.Process = newProcess(settings, node.Self(), node, "")
	shell.Loop.Act(shell.act)
	shell.Reread = func() (env.Env, error) { return face.Settings(contract.KindData) }
	ready, lookup := face.Paths()
	checks, lookups := http.NewServeMux(), http.NewServeMux()
	checks.HandleFunc("GET "+ready, shell.checkReady)
	lookups.HandleFunc("GET "+lookup, shell.lookup)
	servers := []*http.Server{}
	listen := func(address string, handler http.Handler, first func()) (*http.Server, error) {
		listener, failure := net.Listen("tcp", address)
		if failure != nil {
			return nil, eris.Wrap(failure, "cannot listen")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: settings.Bounds.Return(), IdleTimeout: settings.Bounds.Deadline(), ErrorLog: quietLog()}
		servers = append(servers, server)
		go func() {
			first()
			_ = server.Serve(listener)
		}()
		return server, nil
	}
	traffic, failure := listen(settings.Gateway.Traffic, http.HandlerFunc(shell.serve), shell.awaitReady)
	if failure != nil {
		return failure
	}
	if _, failure = listen(settings.Gateway.Ready, checks, func() {}); failure != nil {
		return failure
	}
	if _, failure = listen(settings.Gateway.Lookup, lookups, func() {}); failure != nil {
		return failure
	}
	go shell.sweep()
	return shell.run(settings.Data, func() { shell.leave(traffic) })
}

func (shell *gatewayShell) handle(event contract.Event) []contract.Command {
	shell.lock.Lock()
	defer shell.lock.Unlock()
	return shell.traffic.Handle(shell.Loop.Now(), event)
}

// decide gives the one command that the owner of the calls answers with.
func (shell *gatewayShell) decide(event contract.Event) contract.Command {
	commands := shell.handle(event)
	if len(commands) != 1 {
		panic("an event of a call wants one command")
	}
	return commands[0]
}

func (shell *gatewayShell) CallsInFlight(region string) map[string]int64 {
	shell.lock.Lock()
	defer shell.lock.Unlock()
	return shell.traffic.CallsInFlight(region)
}

func (shell *gatewayShell) StaleCaches(region string) map[string]int64 {
	shell.lock.Lock()
	defer shell.lock.Unlock()
	return shell.traffic.StaleCaches(region)
}

func (shell *gatewayShell) Tallies(now time.Duration, region string) map[string]contract.Tally {
	shell.lock.Lock()
	defer shell.lock.Unlock()
	return shell.traffic.Tallies(now, region)
}

func (shell *gatewayShell) Observations(now time.Duration, region string) contract.Observed {
	shell.lock.Lock()
	defer shell.lock.Unlock()
	return shell.traffic.Observations(now, region)
}

// Uses gives what was sent to places of the index since it was last asked for.
func (shell *gatewayShell) TakePlaceUses() []index.Use {
	shell.lock.Lock()
	defer shell.lock.Unlock()
	return shell.traffic.TakePlaceUses()
}

func (shell *gatewayShell) act(command contract.Command) bool {
	switch command := command.(type) {
	case gateway.Update:
		shell.handle(command.Event)
		shell.lock.Lock()
		limits := shell.traffic.Limits()
		shell.lock.Unlock()
		shell.limits.Store(&limits)
	case contract.Forward:
		go shell.forward.Forward(command)
	default:
		return false
	}
	return true
}

// awaitReady leaves new connections unread for the moment that a start takes: whoever comes then is served, not refused. It is
// bounded: a node that cannot get ready refuses with a time to come back.
func (shell *gatewayShell) awaitReady() {
	most := shell.Settings.Gateway.Contact * 3 / 20
	for began := time.Now(); time.Since(began) < most; settle(most / 60) {
		shell.lock.Lock()
		ready := shell.traffic.Ready(shell.Loop.Now())
		shell.lock.Unlock()
		if ready {
			return
		}
	}
}

func (shell *gatewayShell) sweep() {
	ticker := time.NewTicker(shell.Settings.Gateway.Contact)
	defer ticker.Stop()
	for {
		select {
		case <-shell.stop:
			return
		case <-ticker.C:
			shell.pool.Sweep()
		}
	}
}

// leave steers callers away first, then lets what runs come to its end within the grace.
func (shell *gatewayShell) leave(traffic *http.Server) {
	shell.leaving.Store(true)
	shell.Loop.Post(gateway.Leave{})
	grace, began := shell.Settings.Gateway.Grace, time.Now()
	traffic.SetKeepAlivesEnabled(false)
	for time.Since(began) < grace*7/8 {
		settle(grace / 80)
		quiet := shell.Loop.Now() - time.Duration(shell.touched.Load())
		if time.Since(began) > shell.Settings.Gateway.LookupLife*2 && shell.running.Load() == 0 && quiet > shell.Settings.Gateway.LookupLife {
			return
		}
	}
}

func (shell *gatewayShell) checkReady(writer http.ResponseWriter, _ *http.Request) {
	shell.lock.Lock()
	ready := shell.traffic.Ready(shell.Loop.Now())
	shell.lock.Unlock()
	if !ready || shell.leaving.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (shell *gatewayShell) lookup(writer http.ResponseWriter, request *http.Request) {
	ask := shell.face.Lookup(request)
	answers := make(chan contract.Answer, 1)
	ask.Token = shell.Loop.Token(func(answer contract.Answer) { answers <- answer })
	defer shell.Loop.Forget(ask.Token)
	if !shell.Loop.Try(ask) {
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
		writeJSON(writer, http.StatusOK, shell.face.Addresses(found, shell.Settings.Gateway.LookupLife))
	case <-request.Context().Done():
	}
}

// serve takes one call: it reads it whole, has it decided, and carries out what was decided until it is over.
func (shell *gatewayShell) serve(writer http.ResponseWriter, request *http.Request) {
	shell.running.Add(1)
	defer shell.running.Add(-1)
	shell.touched.Store(int64(shell.Loop.Now()))
	if shell.leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	came := time.Now()
	limits := shell.limits.Load()
	if limits.HeaderBytes > 0 && headerSize(request) > limits.HeaderBytes {
		writer.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	most := int64(mostBodyBytes)
	if limits.BodyBytes > 0 {
		most = limits.BodyBytes
	}
	body, failure := readBody(writer, request, most)
	if failure != nil {
		var large *http.MaxBytesError
		if errors.As(failure, &large) {
			writer.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		panic(http.ErrAbortHandler)
	}
	arrive, identity := shell.face.Arrive(request)
	arrive.Token, arrive.Host, arrive.Path, arrive.Size = shell.token.Add(1), request.Host, request.URL.EscapedPath(), int64(len(body))
	if arrive.Timeout > 0 {
		arrive.Timeout = max(time.Millisecond, arrive.Timeout-time.Since(came))
	}
	one := &exchange{shell: shell, writer: writer, request: request, body: body, identity: identity, after: arrive.LastEventID}
	command := shell.decide(arrive)
	for command != nil {
		switch next := command.(type) {
		case gateway.Dispatch:
			command = one.run(next)
		case gateway.PlaceQuery:
			command = shell.place(request.Context(), next)
		case gateway.PassAnswer:
			one.pass()
			return
		case gateway.Refuse:
			if one.begun {
				panic(http.ErrAbortHandler)
			}
			shell.refuse(writer, next)
			return
		case gateway.Fail:
			one.fail(next)
			return
		default:
			panic("a command that nobody carries out")
		}
	}
}

func readBody(writer http.ResponseWriter, request *http.Request, most int64) ([]byte, error) {
	reader := http.MaxBytesReader(writer, request.Body, most)
	if request.ContentLength >= 0 && request.ContentLength <= most {
		content := make([]byte, request.ContentLength)
		_, failure := io.ReadFull(reader, content)
		return content, failure
	}
	return io.ReadAll(reader)
}

func headerSize(request *http.Request) int64 {
	size := int64(len(request.Method) + len(request.RequestURI) + len(request.Host) + 20)
	for name, values := range request.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + 4)
		}
	}
	return size
}

func (shell *gatewayShell) refuse(writer http.ResponseWriter, refuse gateway.Refuse) {
	shell.Loop.Count("refused_"+strconv.Itoa(refuse.Status), 1)
	if refuse.RetryAfter > 0 {
		shell.face.After(writer.Header(), refuse.RetryAfter)
	}
	writer.WriteHeader(refuse.Status)
}

func (shell *gatewayShell) dial(ctx context.Context, dispatch gateway.Dispatch) (*upstream.Conn, error) {
	if conn := shell.pool.Take(dispatch.Server.Address, dispatch.MaxIdle); conn != nil {
		return conn, nil
	}
	return shell.pool.Dial(ctx, dispatch.Server.Address, min(dispatch.ConnectTimeout, dispatch.Timeout))
}
