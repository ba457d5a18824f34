package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Platform simulates the external platform: it lists servers, marks them as leaving, and obeys load and unload orders unless their epoch is
// stale.
type Platform struct {
	// Address is the base URL.
	Address string
	rig     *Rig
	lock    sync.Mutex
	servers []*Server
	// newestEpochs holds the newest epoch seen from each shard of a region.
	newestEpochs map[string]int64
	// broken makes every listing incomplete.
	broken bool
	// Orders are the accepted orders, each a verb and a server name.
	Orders []string
}

// newPlatform starts a platform on a free port.
func newPlatform(rig *Rig) (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	platform := &Platform{Address: "http://" + listener.Addr().String(), rig: rig, newestEpochs: map[string]int64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", platform.serveList)
	mux.HandleFunc("POST /servers/{name}/{verb}", platform.serveOrder)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return platform, nil
}

// SetBroken makes listings incomplete, or complete again.
func (platform *Platform) SetBroken(broken bool) {
	platform.lock.Lock()
	defer platform.lock.Unlock()
	platform.broken = broken
}

// serveList answers with the servers of a region.
func (platform *Platform) serveList(writer http.ResponseWriter, request *http.Request) {
	region := request.URL.Query().Get("region")
	platform.lock.Lock()
	defer platform.lock.Unlock()
	rows := []any{}
	for _, server := range platform.servers {
		if server.Spec.Region != region {
			continue
		}
		server.lock.Lock()
		row := map[string]any{"name": server.Spec.Name, "address": server.Address, "zone": server.Spec.Zone, "pool": server.Spec.Pool,
			"incarnation": fmt.Sprint(server.incarnation), "leaving": !server.leavingSince.IsZero(), "unloaded": server.unloaded}
		if !server.leavingSince.IsZero() && server.leavingWindowMs > 0 {
			row["remainingMs"] = max(0, server.leavingWindowMs-time.Since(server.leavingSince).Milliseconds())
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

// serveOrder accepts a load or unload order, or answers 409 if a newer epoch of the same shard has given orders.
func (platform *Platform) serveOrder(writer http.ResponseWriter, request *http.Request) {
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
	shard := fmt.Sprintf("%s/%d", order.Region, order.Shard)
	platform.lock.Lock()
	stale := order.Epoch.Number < platform.newestEpochs[shard]
	if !stale {
		platform.newestEpochs[shard] = order.Epoch.Number
		platform.Orders = append(platform.Orders, request.PathValue("verb")+" "+request.PathValue("name"))
	}
	platform.lock.Unlock()
	if stale {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	if server := platform.rig.Server(request.PathValue("name")); server != nil {
		platform.applyOrder(server, request.PathValue("verb") == "load")
	}
	_, _ = writer.Write([]byte("{}\n"))
}

// applyOrder starts or stops a server if it is not in the wanted state yet.
func (platform *Platform) applyOrder(server *Server, load bool) {
	server.lock.Lock()
	changed := server.unloaded == load
	server.unloaded = !load
	server.lock.Unlock()
	if changed && load {
		_ = server.start()
	} else if changed {
		server.Crash()
	}
}

// MarkLeaving lists a server as leaving, with the time that remains to it.
func (platform *Platform) MarkLeaving(server *Server, remaining time.Duration) {
	server.lock.Lock()
	server.leavingSince, server.leavingWindowMs = time.Now(), remaining.Milliseconds()
	server.lock.Unlock()
	platform.rig.Ledger.ServerLeaving(server.Spec.Name, platform.rig.now())
}
