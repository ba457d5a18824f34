package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Services of the configuration.
const (
	modelService  = "huvo11a"
	statusService = "wuno96b"
)

// platform is the stand-in for the list of servers, and the servers themselves.
type platform struct {
	record  *record
	address string
	http    *http.Server
	lock    sync.Mutex
	servers []*server
	arrived []arrival
}

// server is a model server or a server of the status service.
type server struct {
	platform *platform
	id       string
	service  string
	zone     string
	address  string
	slots    int
	http     *http.Server
	lock     sync.Mutex
	active   int
	// garbled is the share of answers after which more bytes are sent.
	garbled float64
}

// arrival is a request that reached a server.
type arrival struct {
	at     time.Duration
	id     string
	server *server
}

// Servers of each service in each zone.
const (
	modelServersPerZone  = 3
	statusServersPerZone = 1
)

func newPlatform(record *record) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &platform{record: record, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.InstancesPath, created.list)
	created.http = &http.Server{Handler: mux}
	go func() { _ = created.http.Serve(listener) }()
	for _, zone := range zones {
		for range modelServersPerZone {
			if err := created.add(modelService, zone.name, 64); err != nil {
				return nil, err
			}
		}
		for range statusServersPerZone {
			if err := created.add(statusService, zone.name, 6); err != nil {
				return nil, err
			}
		}
	}
	return created, nil
}

func (platform *platform) add(service, zone string, slots int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	created := &server{platform: platform, id: fmt.Sprintf("i-%08x", 0x7f3a0000+len(platform.servers)), service: service, zone: zone, address: listener.Addr().String(), slots: slots}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", created.report)
	mux.HandleFunc("GET /healthz", created.health)
	mux.HandleFunc("/", created.serve)
	created.http = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &connection{})
	}}
	go func() { _ = created.http.Serve(listener) }()
	platform.servers = append(platform.servers, created)
	return nil
}

// list answers with all servers on one page.
func (platform *platform) list(writer http.ResponseWriter, _ *http.Request) {
	platform.lock.Lock()
	rows := []any{}
	for _, server := range platform.servers {
		row := mustDecode[map[string]any](instanceFile)
		row["instanceId"], row["backend"], row["address"], row["zone"], row["capacity"] = server.id, server.service, server.address, server.zone, server.slots
		rows = append(rows, row)
	}
	platform.lock.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"instances": rows, "nextPageToken": nil})
}

func (platform *platform) close() {
	_ = platform.http.Close()
	for _, server := range platform.servers {
		_ = server.http.Close()
	}
}

func (server *server) report(writer http.ResponseWriter, _ *http.Request) {
	server.lock.Lock()
	active := server.active
	server.lock.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, `{"phase":"combined","models":[{"name":"m","revision":1,"loras":[]}],"utilization":false,"sequence":2,"queued":0,"active":%d,"cacheUsed":0,"cacheCapacity":319818,"supportedModels":0}`, active)
}

func (server *server) health(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(names.InstanceID, server.id)
}

// begin takes a slot, if one is free.
func (server *server) begin() bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.active >= server.slots {
		return false
	}
	server.active++
	return true
}

func (server *server) end() {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.active--
}

// eventCount is the number of events of a stream.
const eventCount = 8

// workTime is how long a server works on a status request, or on each event of a stream.
const workTime = 20 * time.Millisecond

// serve runs one request.
func (server *server) serve(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	header, id, record := writer.Header(), request.Header.Get(names.AttemptID), server.platform.record
	header.Set(names.AttemptID, id)
	if target := request.Header.Get(names.TargetInstance); target != "" && target != server.id {
		header.Set(names.InstanceID, server.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !server.begin() {
		header.Set(names.NotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer server.end()
	at := record.line("server %s of %s in %s runs request %s", server.id, server.service, server.zone, id)
	server.platform.addArrival(arrival{at: at, id: id, server: server})
	if server.answerAfterStrayBytes(writer, request, id) {
		return
	}
	defer server.drawStrayBytes(request)
	header.Set(names.Seal, "seal."+id)
	if server.service == statusService {
		time.Sleep(workTime)
		_, _ = io.WriteString(writer, "status of "+id)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	for number := 1; number <= eventCount; number++ {
		time.Sleep(workTime)
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d of %s\n\n", number, number, id); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

func (platform *platform) addArrival(arrival arrival) {
	platform.lock.Lock()
	defer platform.lock.Unlock()
	platform.arrived = append(platform.arrived, arrival)
}

// runs reports whether a server ran a request.
func (platform *platform) runs(id string) bool {
	platform.lock.Lock()
	defer platform.lock.Unlock()
	for _, arrival := range platform.arrived {
		if arrival.id == id {
			return true
		}
	}
	return false
}

// arrivals returns the requests that servers of a zone ran in a span of time.
func (platform *platform) arrivals(zone string, from, until time.Duration) []arrival {
	platform.lock.Lock()
	defer platform.lock.Unlock()
	chosen := []arrival{}
	for _, arrival := range platform.arrived {
		if arrival.server.zone == zone && arrival.at >= from && arrival.at <= until {
			chosen = append(chosen, arrival)
		}
	}
	return chosen
}
