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

// Server simulates a model server, or the server behind a lookup route. SetMode selects a fault.
type Server struct {
	// Spec is the server's entry in the site.
	Spec site.Server
	// Address is the host and port, the same in every incarnation.
	Address string
	rig     *Rig
	lock    sync.Mutex
	// incarnation counts the starts.
	incarnation int
	// reportNumber numbers the load reports of one incarnation.
	reportNumber int64
	// running and waiting count calls that hold a slot and calls that wait for one.
	running int64
	waiting int64
	// prefixes are the cached prompt prefixes, oldest first.
	prefixes []string
	slots    chan struct{}
	// mode is the current fault, empty for none: "cut" breaks replies off halfway, "wrong" replies with another call's id, "refuse" refuses calls,
	// "dark" never answers, "late" repeats an old report, "partial" marks reports as incomplete, "garbled" truncates them.
	mode string
	// recalled and started hold the ids of calls that were withdrawn before their start and of calls that have begun.
	recalled   map[string]bool
	started    map[string]bool
	httpServer *http.Server
	// leavingSince is when the server was marked as leaving, zero if it is not; leavingWindowMs is the time that it was given.
	leavingSince    time.Time
	leavingWindowMs int64
	// unloaded says that the platform was told to unload the model.
	unloaded bool
	// lastReport is the newest report, which mode "late" repeats, and lastReportAt its time.
	lastReport   map[string]any
	lastReportAt time.Time
}

// lateReportAge is the age up to which mode "late" repeats a report.
const lateReportAge = 2 * time.Second

// newServer starts a server at a free address.
func newServer(rig *Rig, spec site.Server) (*Server, error) {
	address, err := rig.freeAddress()
	if err != nil {
		return nil, err
	}
	server := &Server{Spec: spec, rig: rig, Address: address}
	return server, server.start()
}

const (
	// listenRetryLimit and listenRetryInterval bound and pace the attempts to listen again at an address.
	listenRetryLimit    = 2 * time.Second
	listenRetryInterval = 5 * time.Millisecond
)

// listenWithRetry listens at an address that was closed a moment ago. Until a child process that is being started executes its program, it
// holds copies of all open sockets, so a closed address can stay in use for some milliseconds, longer on a busy machine.
func listenWithRetry(address string) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(listenRetryInterval) {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > listenRetryLimit {
			return listener, err
		}
	}
}

// start brings the server up at its address, with empty caches and a new incarnation.
func (server *Server) start() error {
	listener, err := listenWithRetry(server.Address)
	if err != nil {
		return err
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	server.Address = listener.Addr().String()
	server.incarnation++
	server.reportNumber, server.running, server.waiting, server.prefixes = 0, 0, 0, nil
	server.slots = make(chan struct{}, server.Spec.Slots)
	server.recalled, server.started = map[string]bool{}, map[string]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", server.serveReport)
	mux.HandleFunc("POST /v1/chat/completions", server.serveChat)
	mux.HandleFunc("GET /lookup/{key}", server.serveLookup)
	mux.HandleFunc("POST /calls/{call}/recall", server.serveRecall)
	server.httpServer = &http.Server{Handler: mux}
	go func() { _ = server.httpServer.Serve(listener) }()
	server.rig.Ledger.ServerCold(server.Spec.Name, server.rig.now())
	return nil
}

// Crash closes the listener and all connections at once.
func (server *Server) Crash() { _ = server.httpServer.Close() }

// SetMode sets the fault that the server shows; an empty mode ends it.
func (server *Server) SetMode(mode string) {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.mode = mode
}

func (server *Server) currentMode() string {
	server.lock.Lock()
	defer server.lock.Unlock()
	return server.mode
}

// serveReport answers with a load report, or with a faulty one according to the mode.
func (server *Server) serveReport(writer http.ResponseWriter, request *http.Request) {
	mode := server.currentMode()
	if mode == "dark" {
		<-request.Context().Done()
		return
	}
	server.lock.Lock()
	if mode == "late" && time.Since(server.lastReportAt) < lateReportAge && server.lastReport != nil {
		defer server.lock.Unlock()
		_ = json.NewEncoder(writer).Encode(server.lastReport)
		return
	}
	server.reportNumber++
	report := map[string]any{"server": server.Spec.Name, "incarnation": fmt.Sprint(server.incarnation), "number": server.reportNumber, "running": server.running,
		"waiting": server.waiting, "prefixes": append([]string{}, server.prefixes...), "complete": mode != "partial", "ageMs": 0}
	server.lastReport, server.lastReportAt = report, time.Now()
	server.lock.Unlock()
	if mode == "garbled" {
		_, _ = io.WriteString(writer, "{\"server\":")
		return
	}
	_ = json.NewEncoder(writer).Encode(report)
}

// adjustLoad adds to the counts of running and waiting calls.
func (server *Server) adjustLoad(running, waiting int64) {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.running += running
	server.waiting += waiting
}

// acquireSlot waits for a slot. It returns false, and the call is never started, if the call is recalled or its request cancelled meanwhile.
func (server *Server) acquireSlot(callID string, request *http.Request) bool {
	server.adjustLoad(0, 1)
	defer server.adjustLoad(0, -1)
	select {
	case server.slots <- struct{}{}:
	case <-request.Context().Done():
		return false
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.recalled[callID] {
		<-server.slots
		return false
	}
	server.started[callID] = true
	return true
}

// serveRecall withdraws a call and answers whether that call had not started; if so, it never will.
func (server *Server) serveRecall(writer http.ResponseWriter, request *http.Request) {
	callID := request.PathValue("call")
	server.lock.Lock()
	neverStarted := !server.started[callID]
	if neverStarted {
		server.recalled[callID] = true
	}
	server.lock.Unlock()
	_ = json.NewEncoder(writer).Encode(map[string]any{"call": callID, "neverStarted": neverStarted})
}

// wrongIncarnation reports whether a call was meant for another incarnation of this server.
func (server *Server) wrongIncarnation(request *http.Request) bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	return request.Header.Get("Cedar-Incarnation") != fmt.Sprint(server.incarnation)
}

// prefillTime returns how long the prompt takes, less for a cached prefix, and caches the prefix.
func (server *Server) prefillTime(prefix string, tokens int) time.Duration {
	server.lock.Lock()
	defer server.lock.Unlock()
	for _, cached := range server.prefixes {
		if prefix != "" && cached == prefix {
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

// chatRequest is the part of a chat completion request that the server reads.
type chatRequest struct {
	Stream   bool `json:"stream"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// serveChat runs a chat completion. The last message names the key, the number of pieces and their padding.
func (server *Server) serveChat(writer http.ResponseWriter, request *http.Request) {
	callID := request.Header.Get("Cedar-Call")
	body, _ := io.ReadAll(io.LimitReader(request.Body, 4<<20))
	var parsed chatRequest
	key, pieces, pieceWidth := "", 1, 0
	if json.Unmarshal(body, &parsed) == nil && len(parsed.Messages) > 0 {
		last := parsed.Messages[len(parsed.Messages)-1].Content
		_, _ = fmt.Sscanf(last, "call %s pieces %d wide %d", &key, &pieces, &pieceWidth)
	}
	mode := server.currentMode()
	if mode == "refuse" || server.wrongIncarnation(request) {
		server.rig.Ledger.CallRefused(key, server.rig.now())
		writer.Header().Set("Cedar-Not-Run", callID)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if mode == "dark" {
		<-request.Context().Done()
		return
	}
	if !server.acquireSlot(callID, request) {
		writer.Header().Set("Cedar-Not-Run", callID)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	server.adjustLoad(1, 0)
	defer func() {
		<-server.slots
		server.adjustLoad(-1, 0)
	}()
	server.rig.Ledger.RunStarted(key, callID, server.Spec.Name, server.rig.now())
	sentPieces := []string{}
	if !sleepUnlessCancelled(request, server.prefillTime(request.Header.Get("Cedar-Prefix"), len(body)/4)) {
		server.rig.Ledger.RunEnded(callID, sentPieces, false)
		return
	}
	server.writeReply(writer, request, callID, key, pieces, pieceWidth, mode, parsed.Stream)
}

// writeReply generates the pieces of a reply at decoding speed and writes them as a stream or as one body.
func (server *Server) writeReply(writer http.ResponseWriter, request *http.Request, callID, key string, pieces, pieceWidth int, mode string, streamed bool) {
	sentPieces, replyID := []string{}, callID
	if mode == "wrong" {
		replyID = "another"
	}
	for number := range pieces {
		piece := ledger.ChunkText(callID, key, number) + strings.Repeat("x", pieceWidth)
		if !sleepUnlessCancelled(request, site.DecodeTimePerPiece) || mode == "cut" && number >= pieces/2 {
			server.rig.Ledger.RunEnded(callID, sentPieces, false)
			panic(http.ErrAbortHandler)
		}
		sentPieces = append(sentPieces, piece)
		if streamed {
			writer.Header().Set("Content-Type", "text/event-stream")
			chunk := map[string]any{"id": replyID, "number": number, "choices": []any{map[string]any{"delta": map[string]any{"content": piece}, "finish_reason": nil}}}
			content, _ := json.Marshal(chunk)
			if _, err := fmt.Fprintf(writer, "data: %s\n\n", content); err != nil {
				server.rig.Ledger.RunEnded(callID, sentPieces, false)
				return
			}
			_ = http.NewResponseController(writer).Flush()
		}
	}
	server.rig.Ledger.RunEnded(callID, sentPieces, true)
	if streamed {
		_, _ = fmt.Fprintf(writer, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", replyID)
		return
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"id": replyID, "choices": []any{map[string]any{
		"message": map[string]any{"content": strings.Join(sentPieces, "")}, "finish_reason": "stop"}}})
}

// serveLookup answers a lookup after a fixed time, without taking a slot.
func (server *Server) serveLookup(writer http.ResponseWriter, request *http.Request) {
	if server.currentMode() == "dark" {
		<-request.Context().Done()
		return
	}
	server.adjustLoad(1, 0)
	defer server.adjustLoad(-1, 0)
	callID, key := request.Header.Get("Cedar-Call"), request.PathValue("key")
	if server.wrongIncarnation(request) {
		server.rig.Ledger.CallRefused(key, server.rig.now())
		writer.Header().Set("Cedar-Not-Run", callID)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	server.rig.Ledger.RunStarted(key, callID, server.Spec.Name, server.rig.now())
	if !sleepUnlessCancelled(request, site.LookupDuration) {
		return
	}
	server.rig.Ledger.RunEnded(callID, nil, true)
	_ = json.NewEncoder(writer).Encode(map[string]any{"id": callID, "key": key, "value": "free"})
}

// sleepUnlessCancelled sleeps and returns true, or returns false as soon as the request is cancelled.
func sleepUnlessCancelled(request *http.Request, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-request.Context().Done():
		return false
	}
}
