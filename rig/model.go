package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// Server stands in for a model server, or for a sync or refund server.
type Server struct {
	Row         site.Server
	Address     string
	rig         *Rig
	lock        sync.Mutex
	incarnation int
	number      int64
	running     int64
	waiting     int64
	prefixes    []string
	slots       chan struct{}
	mode        string
	recalled    map[string]bool
	begun       map[string]bool
	web         *http.Server
	leaving     time.Time
	leavingMs   int64
	unloaded    bool
	late        map[string]any
	lateAt      time.Time
}

const lateReport = 2 * time.Second

func newServer(rig *Rig, row site.Server) (*Server, error) {
	address, err := rig.freeAddress()
	if err != nil {
		return nil, err
	}
	server := &Server{Row: row, rig: rig, Address: address}
	return server, server.start()
}

const (
	listenFor   = 2 * time.Second
	listenPause = 5 * time.Millisecond
)

// listenAgain listens at an address that was closed a moment ago. A process that the rig is just starting holds copies of all open sockets
// until it has its own program, so that a closed one can stay in use for some milliseconds, longer on a busy machine.
func listenAgain(address string) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(listenPause) {
		listener, failure := net.Listen("tcp", address)
		if failure == nil || !errors.Is(failure, syscall.EADDRINUSE) || time.Since(began) > listenFor {
			return listener, failure
		}
	}
}

// start brings the server up, cold and under a new incarnation, at its old address.
func (server *Server) start() error {
	listener, err := listenAgain(server.Address)
	if err != nil {
		return err
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	server.Address = listener.Addr().String()
	server.incarnation++
	server.number, server.running, server.waiting, server.prefixes = 0, 0, 0, nil
	server.slots = make(chan struct{}, server.Row.Slots)
	server.recalled, server.begun = map[string]bool{}, map[string]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", server.report)
	mux.HandleFunc("POST /v1/chat/completions", server.complete)
	mux.HandleFunc("GET /lookup/{key}", server.look)
	mux.HandleFunc("POST /calls/{call}/recall", server.recall)
	server.web = &http.Server{Handler: mux}
	go func() { _ = server.web.Serve(listener) }()
	server.rig.Ledger.ServerCold(server.Row.Name, server.rig.now())
	return nil
}

// Crash breaks every connection at once.
func (server *Server) Crash() { _ = server.web.Close() }

func (server *Server) Mode(mode string) {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.mode = mode
}

func (server *Server) modeNow() string {
	server.lock.Lock()
	defer server.lock.Unlock()
	return server.mode
}

func (server *Server) report(writer http.ResponseWriter, request *http.Request) {
	mode := server.modeNow()
	if mode == "dark" {
		<-request.Context().Done()
		return
	}
	server.lock.Lock()
	if mode == "late" && time.Since(server.lateAt) < lateReport && server.late != nil {
		defer server.lock.Unlock()
		_ = json.NewEncoder(writer).Encode(server.late)
		return
	}
	server.number++
	report := map[string]any{"server": server.Row.Name, "incarnation": fmt.Sprint(server.incarnation), "number": server.number, "running": server.running,
		"waiting": server.waiting, "prefixes": append([]string{}, server.prefixes...), "complete": mode != "partial", "ageMs": 0}
	server.late, server.lateAt = report, time.Now()
	server.lock.Unlock()
	if mode == "garbled" {
		_, _ = io.WriteString(writer, "{\"server\":")
		return
	}
	_ = json.NewEncoder(writer).Encode(report)
}

func (server *Server) change(running, waiting int64) {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.running += running
	server.waiting += waiting
}

// take waits for a slot; a call that is recalled while it waits is never started.
func (server *Server) take(identity string, request *http.Request) bool {
	server.change(0, 1)
	defer server.change(0, -1)
	select {
	case server.slots <- struct{}{}:
	case <-request.Context().Done():
		return false
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.recalled[identity] {
		<-server.slots
		return false
	}
	server.begun[identity] = true
	return true
}

func (server *Server) recall(writer http.ResponseWriter, request *http.Request) {
	identity := request.PathValue("call")
	server.lock.Lock()
	never := !server.begun[identity]
	if never {
		server.recalled[identity] = true
	}
	server.lock.Unlock()
	_ = json.NewEncoder(writer).Encode(map[string]any{"call": identity, "neverStarted": never})
}

// stranger holds for a call that was meant for another incarnation of this server.
func (server *Server) stranger(request *http.Request) bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	return request.Header.Get("Cedar-Incarnation") != fmt.Sprint(server.incarnation)
}

func (server *Server) prefill(prefix string, tokens int) time.Duration {
	server.lock.Lock()
	defer server.lock.Unlock()
	for _, held := range server.prefixes {
		if prefix != "" && held == prefix {
			return time.Duration(tokens) * site.PrefillTimePerToken / site.CachedPrefixSpeedup
		}
	}
	if prefix != "" {
		server.prefixes = append(server.prefixes, prefix)
		if len(server.prefixes) > site.CachedPrefixes {
			server.prefixes = server.prefixes[1:]
		}
	}
	return time.Duration(tokens) * site.PrefillTimePerToken
}

type asked struct {
	Stream   bool `json:"stream"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (server *Server) complete(writer http.ResponseWriter, request *http.Request) {
	identity := request.Header.Get("Cedar-Call")
	body, _ := io.ReadAll(io.LimitReader(request.Body, 4<<20))
	var read asked
	scoped, pieces, wide := "", 1, 0
	if json.Unmarshal(body, &read) == nil && len(read.Messages) > 0 {
		last := read.Messages[len(read.Messages)-1].Content
		_, _ = fmt.Sscanf(last, "call %s pieces %d wide %d", &scoped, &pieces, &wide)
	}
	mode := server.modeNow()
	if mode == "refuse" || server.stranger(request) {
		server.rig.Ledger.CallRefused(scoped, server.rig.now())
		writer.Header().Set("Cedar-Not-Run", identity)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if mode == "dark" {
		<-request.Context().Done()
		return
	}
	if !server.take(identity, request) {
		writer.Header().Set("Cedar-Not-Run", identity)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	server.change(1, 0)
	defer func() {
		<-server.slots
		server.change(-1, 0)
	}()
	server.rig.Ledger.RunStarted(scoped, identity, server.Row.Name, server.rig.now())
	told := []string{}
	if !pause(request, server.prefill(request.Header.Get("Cedar-Prefix"), len(body)/4)) {
		server.rig.Ledger.RunEnded(identity, told, false)
		return
	}
	server.tell(writer, request, identity, scoped, pieces, wide, mode, read.Stream)
}

func (server *Server) tell(writer http.ResponseWriter, request *http.Request, identity, scoped string, pieces, wide int, mode string, streamed bool) {
	told, id := []string{}, identity
	if mode == "wrong" {
		id = "another"
	}
	for place := range pieces {
		piece := ledger.ChunkText(identity, scoped, place) + strings.Repeat("x", wide)
		if !pause(request, site.DecodeTimePerPiece) || mode == "cut" && place >= pieces/2 {
			server.rig.Ledger.RunEnded(identity, told, false)
			panic(http.ErrAbortHandler)
		}
		told = append(told, piece)
		if streamed {
			writer.Header().Set("Content-Type", "text/event-stream")
			chunk := map[string]any{"id": id, "number": place, "choices": []any{map[string]any{"delta": map[string]any{"content": piece}, "finish_reason": nil}}}
			content, _ := json.Marshal(chunk)
			if _, err := fmt.Fprintf(writer, "data: %s\n\n", content); err != nil {
				server.rig.Ledger.RunEnded(identity, told, false)
				return
			}
			_ = http.NewResponseController(writer).Flush()
		}
	}
	server.rig.Ledger.RunEnded(identity, told, true)
	if streamed {
		_, _ = fmt.Fprintf(writer, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
		return
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"id": id, "choices": []any{map[string]any{
		"message": map[string]any{"content": strings.Join(told, "")}, "finish_reason": "stop"}}})
}

func (server *Server) look(writer http.ResponseWriter, request *http.Request) {
	if server.modeNow() == "dark" {
		<-request.Context().Done()
		return
	}
	server.change(1, 0)
	defer server.change(-1, 0)
	identity, key := request.Header.Get("Cedar-Call"), request.PathValue("key")
	if server.stranger(request) {
		server.rig.Ledger.CallRefused(key, server.rig.now())
		writer.Header().Set("Cedar-Not-Run", identity)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	server.rig.Ledger.RunStarted(key, identity, server.Row.Name, server.rig.now())
	if !pause(request, site.LookupDuration) {
		return
	}
	server.rig.Ledger.RunEnded(identity, nil, true)
	_ = json.NewEncoder(writer).Encode(map[string]any{"id": identity, "key": key, "value": "free"})
}

func pause(request *http.Request, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-request.Context().Done():
		return false
	}
}
