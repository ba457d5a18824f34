package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Platform stands in for the outside platform: it lists servers, marks them, and takes orders under an epoch.
type Platform struct {
	Address string
	rig     *Rig
	lock    sync.Mutex
	servers []*Server
	epochs  map[string]int64
	broken  bool
	Orders  []string
}

func newPlatform(rig *Rig) (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	platform := &Platform{Address: "http://" + listener.Addr().String(), rig: rig, epochs: map[string]int64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", platform.list)
	mux.HandleFunc("POST /servers/{name}/{verb}", platform.order)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return platform, nil
}

func (platform *Platform) Break(broken bool) {
	platform.lock.Lock()
	defer platform.lock.Unlock()
	platform.broken = broken
}

func (platform *Platform) list(writer http.ResponseWriter, request *http.Request) {
	region := request.URL.Query().Get("region")
	platform.lock.Lock()
	defer platform.lock.Unlock()
	rows := []any{}
	for _, server := range platform.servers {
		if server.Row.Region != region {
			continue
		}
		server.lock.Lock()
		row := map[string]any{"name": server.Row.Name, "address": server.Address, "zone": server.Row.Zone, "pool": server.Row.Pool,
			"incarnation": fmt.Sprint(server.incarnation), "leaving": !server.leaving.IsZero(), "unloaded": server.unloaded}
		if !server.leaving.IsZero() && server.leavingMs > 0 {
			row["remainingMs"] = max(0, server.leavingMs-time.Since(server.leaving).Milliseconds())
		}
		server.lock.Unlock()
		rows = append(rows, row)
	}
	listing := map[string]any{"region": region, "complete": true, "servers": rows}
	if platform.broken {
		listing["complete"] = false
	}
	_ = json.NewEncoder(writer).Encode(listing)
}

func (platform *Platform) order(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Region string `json:"region"`
		Shard  int    `json:"shard"`
		Epoch  struct {
			Number int64 `json:"number"`
		} `json:"epoch"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	subject := fmt.Sprintf("%s/%d", order.Region, order.Shard)
	platform.lock.Lock()
	stale := order.Epoch.Number < platform.epochs[subject]
	if !stale {
		platform.epochs[subject] = order.Epoch.Number
		platform.Orders = append(platform.Orders, request.PathValue("verb")+" "+request.PathValue("name"))
	}
	platform.lock.Unlock()
	if stale {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	if server := platform.rig.Server(request.PathValue("name")); server != nil {
		platform.carryOut(server, request.PathValue("verb") == "load")
	}
	_, _ = writer.Write([]byte("{}\n"))
}

func (platform *Platform) carryOut(server *Server, load bool) {
	server.lock.Lock()
	change := server.unloaded == load
	server.unloaded = !load
	server.lock.Unlock()
	if change && load {
		_ = server.start()
	} else if change {
		server.Crash()
	}
}

// Mark says that a server is leaving, with the time it has left.
func (platform *Platform) Mark(server *Server, remaining time.Duration) {
	server.lock.Lock()
	server.leaving, server.leavingMs = time.Now(), remaining.Milliseconds()
	server.lock.Unlock()
	platform.rig.Ledger.ServerLeaving(server.Row.Name, platform.rig.now())
}
