package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	wire "github.com/cedarreel/cedarreel/platform"
)

// gatewayPlatform simulates the platform: the list of servers and the servers themselves.
type gatewayPlatform struct {
	fleet   *gatewayFleet
	address string
	lock    sync.Mutex
	servers []*gatewayServer
	started int
	http    *http.Server
	// listFault, if set, is how the list is answered.
	listFault atomic.Pointer[AnswerFault]
}

func newGatewayPlatform(fleet *gatewayFleet) (*gatewayPlatform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	platform := &gatewayPlatform{fleet: fleet, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.InstancesPath, platform.list)
	platform.http = &http.Server{Handler: mux}
	go func() { _ = platform.http.Serve(listener) }()
	for _, service := range fleet.shape.services {
		for _, zone := range service.serverZones {
			if err := platform.add(service, zone); err != nil {
				return nil, err
			}
		}
	}
	return platform, nil
}

// close ends the platform and all servers.
func (platform *gatewayPlatform) close() {
	_ = platform.http.Close()
	platform.lock.Lock()
	defer platform.lock.Unlock()
	for _, server := range platform.servers {
		_ = server.http.Close()
	}
}

// add starts a server of a service in a zone.
func (platform *gatewayPlatform) add(service gatewayService, zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	platform.lock.Lock()
	defer platform.lock.Unlock()
	platform.started++
	server := &gatewayServer{platform: platform, name: fmt.Sprintf("i-%04x", platform.started), service: service, zone: zone, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", server.report)
	mux.HandleFunc("GET /healthz", server.health)
	mux.HandleFunc("/", server.serve)
	server.http = &http.Server{Handler: server.faultyOr(mux)}
	go func() { _ = server.http.Serve(listener) }()
	platform.servers = append(platform.servers, server)
	return nil
}

// list answers with all servers on one page, leaving ones as draining. Ended ones are not listed.
func (platform *gatewayPlatform) list(writer http.ResponseWriter, _ *http.Request) {
	if fault := platform.listFault.Load(); fault != nil {
		fault.answer(writer, "", func(string) {})
		return
	}
	platform.lock.Lock()
	instances := []wire.Instance{}
	for _, server := range platform.servers {
		if !server.ended {
			instances = append(instances, wire.Instance{Name: server.name, Service: server.service.name, Address: server.address, Zone: server.zone, Slots: server.service.slots, Draining: server.draining})
		}
	}
	platform.lock.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(wire.FormatInstances(instances))
}

// replace drains a random model server and starts another one in its place. The old one ends when the drain time is over and its calls are done.
func (platform *gatewayPlatform) replace() error {
	platform.lock.Lock()
	chosen := platform.drawModelServer()
	platform.lock.Unlock()
	if err := platform.add(chosen.service, chosen.zone); err != nil {
		return err
	}
	time.Sleep(platform.fleet.shape.listLag)
	platform.lock.Lock()
	chosen.draining = true
	platform.lock.Unlock()
	time.Sleep(platform.fleet.shape.drain + longestRoute)
	platform.lock.Lock()
	chosen.ended = true
	platform.lock.Unlock()
	return chosen.http.Close()
}

// drawModelServer returns a random model server that is not leaving. The lock has to be held.
func (platform *gatewayPlatform) drawModelServer() *gatewayServer {
	candidates := slices.DeleteFunc(slices.Clone(platform.servers), func(server *gatewayServer) bool {
		return server.draining || server.ended || !server.service.isModel
	})
	return candidates[platform.fleet.below(len(candidates))]
}

// crashedListed is how long a server that has crashed stays on the list.
const crashedListed = 4 * time.Second

// crash ends a random model server without notice and starts another one in its place.
func (platform *gatewayPlatform) crash() error {
	platform.lock.Lock()
	chosen := platform.drawModelServer()
	platform.lock.Unlock()
	chosen.crashed.Store(true)
	err := chosen.http.Close()
	time.Sleep(crashedListed)
	platform.lock.Lock()
	chosen.ended = true
	platform.lock.Unlock()
	return errors.Join(err, platform.add(chosen.service, chosen.zone))
}

// gatewayServer simulates one model server or service.
type gatewayServer struct {
	platform *gatewayPlatform
	name     string
	service  gatewayService
	zone     string
	address  string
	http     *http.Server
	lock     sync.Mutex
	running  int
	// draining and ended are guarded by the platform's lock.
	draining bool
	ended    bool
	// crashed says that the server broke off all its calls without notice.
	crashed atomic.Bool
	// fault, if set, is how the server answers in place of its usual answers.
	fault atomic.Pointer[AnswerFault]
}

// faultyOr answers with the server's fault while it has one. Of a call it is recorded that it ran and that its server is at fault.
func (server *gatewayServer) faultyOr(usual http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fault := server.fault.Load()
		if fault == nil {
			usual.ServeHTTP(writer, request)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := wire.AttemptID(request.Header)
		server.recordFaulty(id, fault, fault.beginsWhole())
		fault.answer(writer, id, func(later string) { server.recordFaulty(later, fault, false) })
	})
}

// recordFaulty records that a faulty server took a call, and whether its answer is whole.
func (server *gatewayServer) recordFaulty(attemptID string, fault *AnswerFault, whole bool) {
	fleet := server.platform.fleet
	at := fleet.now()
	fleet.record.addRun(attemptID, &gatewayRun{Server: server.name, StartedAt: at, EndedAt: at, Whole: whole, BrokenOff: true, Faulty: true, NotRun: fault.notRun})
}

func (server *gatewayServer) report(writer http.ResponseWriter, _ *http.Request) {
	server.lock.Lock()
	active := server.running
	server.lock.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, `{"phase":"combined","models":[{"name":"m","revision":1,"loras":[]}],"utilization":false,"sequence":1,"queued":0,"active":%d,"cacheUsed":0,"cacheCapacity":90000,"supportedModels":0}`, active)
}

func (server *gatewayServer) health(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("X-Instance-Id", server.name)
}

// begin takes a slot for a call, if there is one.
func (server *gatewayServer) begin() bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.running >= server.service.slots {
		return false
	}
	server.running++
	return true
}

func (server *gatewayServer) finish() {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.running--
}

// serve runs a call: a stream of pieces, or one short answer.
func (server *gatewayServer) serve(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id, record, header := wire.AttemptID(request.Header), server.platform.fleet.record, writer.Header()
	if target := wire.TargetInstance(request.Header); target != "" && target != server.name {
		header.Set("X-Instance-Id", server.name)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !server.begin() {
		wire.MarkNotExecuted(header)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer server.finish()
	run := record.runStarted(id, server.name, server.platform.fleet.now())
	wire.SealAnswer(header, id)
	pieces, _ := strconv.Atoi(request.Header.Get(piecesHeader))
	gap, _ := strconv.Atoi(request.Header.Get(gapHeader))
	first := wire.LastEventID(request.Header)
	whole := server.answer(writer, request, pieces, first, time.Duration(gap)*time.Millisecond)
	record.runEnded(run, whole, !whole && server.crashed.Load(), server.platform.fleet.now())
}

// answer writes the answer and reports whether its end was reached.
func (server *gatewayServer) answer(writer http.ResponseWriter, request *http.Request, pieces, first int, gap time.Duration) bool {
	if pieces == 0 {
		if !sleepUnlessCancelled(request, gap) {
			return false
		}
		_, err := io.WriteString(writer, strings.Repeat("x", shortAnswerBytes))
		return err == nil
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := first + 1; number <= pieces; number++ {
		if !sleepUnlessCancelled(request, gap) {
			return false
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number, number); err != nil {
			return false
		}
		_ = http.NewResponseController(writer).Flush()
	}
	return true
}

const (
	// piecesHeader and gapHeader tell a simulated server how many pieces to write and how many milliseconds to wait before each.
	piecesHeader = "X-Pieces"
	gapHeader    = "X-Gap-Ms"
	// shortAnswerBytes is the length of an answer that is no stream.
	shortAnswerBytes = 600
)
