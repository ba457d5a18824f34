package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/site"
)

// Server simulates a model or lookup server. Started, PrefixHits and PrefixCalls count its runs, those that found their prefix cached,
// and those that had a prefix.
type Server struct {
	site.Server
	fleet       *Fleet
	incarnation int
	// reportNumber counts the reports of this incarnation.
	reportNumber int64
	up           bool
	// gone means that the platform no longer lists the server.
	gone bool
	// FaultMode is empty, or one of: dark (no answers), refuse, cut (connections break in the middle), truncate (replies lack their end),
	// wrong (replies with another ID), partial or garbled (reports).
	FaultMode string
	// ReportLag makes the server repeat a report for this long.
	ReportLag time.Duration
	running   map[string]*serverRun
	waiting   []*serverRun
	// prefixes are the cached prefixes, oldest first.
	prefixes []string
	recalled map[string]bool
	leaving  bool
	// leavesAt is when the platform ends a leaving server; zero if it gave no time.
	leavesAt     time.Duration
	unloaded     bool
	lastReport   []byte
	lastReportAt time.Duration
	Started      int
	PrefixHits   int
	PrefixCalls  int
}

// serverRun is one call on a server; chunks are those produced so far.
type serverRun struct {
	attempt *serverAttempt
	id      string
	key     string
	chunks  []string
}

func (server *Server) location() location { return location{server.Name, server.Zone, server.Region} }

// StartCold brings the server up with an empty cache under a new incarnation.
func (server *Server) StartCold() {
	server.incarnation++
	server.up, server.reportNumber, server.prefixes, server.lastReport = true, 0, nil, nil
	server.running, server.waiting, server.recalled = map[string]*serverRun{}, nil, map[string]bool{}
	server.fleet.Ledger.ServerCold(server.Name, server.fleet.World.Now)
}

// Crash ends all calls on the server; their connections break.
func (server *Server) Crash() {
	server.up = false
	for _, id := range sortedRuns(server.running) {
		run := server.running[id]
		server.fleet.Ledger.RunEnded(id, run.chunks, false)
		run.attempt.connectionBroken()
	}
	for _, run := range server.waiting {
		run.attempt.connectionBroken()
	}
	server.running, server.waiting = map[string]*serverRun{}, nil
}

func sortedRuns(runs map[string]*serverRun) []string {
	ids := []string{}
	for id := range runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// MarkLeaving marks the server as leaving. If remaining is positive, the platform ends it after that time.
func (server *Server) MarkLeaving(remaining time.Duration) {
	fleet := server.fleet
	server.leaving = true
	fleet.Ledger.ServerLeaving(server.Name, fleet.World.Now)
	if remaining > 0 {
		server.leavesAt = fleet.World.Now + remaining
		incarnation := server.incarnation
		fleet.World.After(remaining, func() {
			if server.incarnation == incarnation && server.leaving {
				server.gone = true
				server.Crash()
			}
		})
	}
}

// Replace puts a new, cold server of the same name in its place.
func (server *Server) Replace() {
	server.Crash()
	server.leaving, server.gone, server.leavesAt, server.unloaded = false, false, 0, false
	server.fleet.Ledger.ServerStaying(server.Name)
	server.StartCold()
}

// report encodes the status report of the server, or nil if it does not answer.
func (server *Server) report() []byte {
	now := server.fleet.World.Now
	if !server.up || server.FaultMode == "dark" {
		return nil
	}
	if server.lastReport != nil && now-server.lastReportAt < server.ReportLag {
		return server.lastReport
	}
	server.reportNumber++
	report := map[string]any{"server": server.Name, "incarnation": fmt.Sprint(server.incarnation), "number": server.reportNumber, "running": len(server.running),
		"waiting": len(server.waiting), "prefixes": append([]string{}, server.prefixes...), "complete": server.FaultMode != "partial", "ageMs": 0}
	if server.FaultMode == "partial" {
		delete(report, "waiting")
	}
	content, _ := json.Marshal(report)
	if server.FaultMode == "garbled" {
		content = content[:len(content)/2]
	}
	server.lastReport, server.lastReportAt = content, now
	return content
}

// accept takes a call that arrives at the server.
func (server *Server) accept(attempt *serverAttempt) {
	fleet, call := server.fleet, attempt.session.client.call
	if !server.up {
		attempt.connectionRefused()
		return
	}
	switch server.FaultMode {
	case "dark":
		return
	case "refuse":
		fleet.Ledger.CallRefused(call.key, fleet.World.Now)
		attempt.callRefused()
		return
	}
	if attempt.command.Server.Incarnation != fmt.Sprint(server.incarnation) {
		fleet.Ledger.CallRefused(call.key, fleet.World.Now)
		attempt.callRefused()
		return
	}
	run := &serverRun{attempt: attempt, id: attempt.command.AttemptID, key: call.key}
	server.waiting = append(server.waiting, run)
	server.startWaiting()
}

// startWaiting starts queued calls while there are free slots.
func (server *Server) startWaiting() {
	for len(server.waiting) > 0 && int64(len(server.running)) < server.Slots {
		run := server.waiting[0]
		server.waiting = server.waiting[1:]
		if server.recalled[run.id] || run.attempt.closed {
			continue
		}
		server.startRun(run)
	}
}

func (server *Server) startRun(run *serverRun) {
	fleet, call := server.fleet, run.attempt.session.client.call
	server.running[run.id] = run
	server.Started++
	fleet.Ledger.RunStarted(run.key, run.id, server.Name, fleet.World.Now)
	if call.profile.Class == "lookup" {
		fleet.World.After(site.LookupDuration, func() { server.finishLookup(run) })
		return
	}
	if previous, found := fleet.lastServer[call.session]; found && call.session != "" {
		fleet.SessionTurns++
		if previous == server.Name {
			fleet.SameServerTurns++
		}
	}
	fleet.lastServer[call.session] = server.Name
	span := time.Duration(call.profile.Tokens) * site.PrefillTimePerToken
	if call.prefix != "" {
		server.PrefixCalls++
		if slices.Contains(server.prefixes, call.prefixDigest()) {
			server.PrefixHits++
			span /= site.CachedPrefixSpeedup
		} else if server.prefixes = append(server.prefixes, call.prefixDigest()); len(server.prefixes) > site.CachedPrefixes {
			server.prefixes = server.prefixes[1:]
		}
	}
	fleet.World.After(span+site.DecodeTimePerPiece, func() { server.decode(run) })
}

func (server *Server) isRunning(run *serverRun) bool { return server.running[run.id] == run }

// endRun frees the slot of a run; complete means that the run produced its whole reply.
func (server *Server) endRun(run *serverRun, complete bool) {
	delete(server.running, run.id)
	server.fleet.Ledger.RunEnded(run.id, run.chunks, complete)
	server.startWaiting()
}

func (server *Server) decode(run *serverRun) {
	if !server.isRunning(run) {
		return
	}
	if run.attempt.closed {
		server.endRun(run, false)
		return
	}
	call, position := run.attempt.session.client.call, len(run.chunks)
	if server.FaultMode == "cut" && position >= int(call.profile.Pieces)/2 {
		server.endRun(run, false)
		run.attempt.connectionBroken()
		return
	}
	id := run.id
	if server.FaultMode == "wrong" {
		id = "another"
	}
	chunk := ledger.ChunkText(run.id, run.key, position)
	run.chunks = append(run.chunks, chunk)
	if !call.profile.Unary {
		event := map[string]any{"id": id, "number": position, "choices": []any{map[string]any{"delta": map[string]any{"content": chunk}, "finish_reason": nil}}}
		content, _ := json.Marshal(event)
		run.attempt.receiveStream(fmt.Sprintf("data: %s\n\n", content))
	}
	if len(run.chunks) < int(call.profile.Pieces) {
		server.fleet.World.After(site.DecodeTimePerPiece, func() { server.decode(run) })
		return
	}
	server.finish(run, id)
}

func (server *Server) finish(run *serverRun, id string) {
	server.endRun(run, true)
	if run.attempt.session.client.call.profile.Unary {
		content, _ := json.Marshal(map[string]any{"id": id, "choices": []any{map[string]any{
			"message": map[string]any{"content": strings.Join(run.chunks, "")}, "finish_reason": "stop"}}})
		if server.FaultMode == "truncate" {
			content = content[:len(content)-3]
		}
		run.attempt.receiveBody(content)
		return
	}
	if server.FaultMode == "truncate" {
		run.attempt.connectionBroken()
		return
	}
	run.attempt.receiveStream(fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id))
}

func (server *Server) finishLookup(run *serverRun) {
	if !server.isRunning(run) {
		return
	}
	server.endRun(run, true)
	content, _ := json.Marshal(map[string]any{"id": run.id, "key": run.key, "value": "free"})
	run.attempt.receiveBody(content)
}

// recall removes a queued call that has not started and guarantees that it never will; false if that is not possible.
func (server *Server) recall(id string) bool {
	if _, started := server.running[id]; started || !server.up || server.FaultMode == "dark" {
		return false
	}
	for position, run := range server.waiting {
		if run.id == id {
			server.waiting = append(server.waiting[:position:position], server.waiting[position+1:]...)
			server.recalled[id] = true
			return true
		}
	}
	return false
}
