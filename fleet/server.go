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

// Server stands in for a model, sync or refund server.
type Server struct {
	site.Server
	fleet       *Fleet
	incarnation int
	number      int64
	up          bool
	gone        bool
	Mode        string
	ReportLag   time.Duration
	running     map[string]*run
	waiting     []*run
	prefixes    []string
	recalled    map[string]bool
	leaving     bool
	ends        time.Duration
	unloaded    bool
	lastReport  []byte
	lastAt      time.Duration
	Taken       int
	PrefixHits  int
	PrefixAsked int
}

type run struct {
	attempt  *attempt
	identity string
	scoped   string
	told     []string
}

func (server *Server) place() place { return place{server.Name, server.Zone, server.Region} }

// Return brings the server up cold, under a new incarnation.
func (server *Server) Return() {
	server.incarnation++
	server.up, server.number, server.prefixes, server.lastReport = true, 0, nil, nil
	server.running, server.waiting, server.recalled = map[string]*run{}, nil, map[string]bool{}
	server.fleet.Ledger.ServerCold(server.Name, server.fleet.World.Now)
}

// Crash ends everything on the server at once; those who wait for it see their links break.
func (server *Server) Crash() {
	server.up = false
	for _, identity := range sortedRuns(server.running) {
		run := server.running[identity]
		server.fleet.Ledger.RunEnded(identity, run.told, false)
		run.attempt.linkBroke()
	}
	for _, run := range server.waiting {
		run.attempt.linkBroke()
	}
	server.running, server.waiting = map[string]*run{}, nil
}

func sortedRuns(runs map[string]*run) []string {
	identities := []string{}
	for identity := range runs {
		identities = append(identities, identity)
	}
	slices.Sort(identities)
	return identities
}

// Mark says that the server is leaving; with time left, the platform ends it when that is over.
func (server *Server) Mark(remaining time.Duration) {
	fleet := server.fleet
	server.leaving = true
	fleet.Ledger.ServerLeaving(server.Name, fleet.World.Now)
	if remaining > 0 {
		server.ends = fleet.World.Now + remaining
		incarnation := server.incarnation
		fleet.World.After(remaining, func() {
			if server.incarnation == incarnation && server.leaving {
				server.gone = true
				server.Crash()
			}
		})
	}
}

// Replace puts a fresh server in the place of one that left.
func (server *Server) Replace() {
	server.Crash()
	server.leaving, server.gone, server.ends, server.unloaded = false, false, 0, false
	server.fleet.Ledger.ServerStaying(server.Name)
	server.Return()
}

func (server *Server) report() []byte {
	now := server.fleet.World.Now
	if !server.up || server.Mode == "dark" {
		return nil
	}
	if server.lastReport != nil && now-server.lastAt < server.ReportLag {
		return server.lastReport
	}
	server.number++
	report := map[string]any{"server": server.Name, "incarnation": fmt.Sprint(server.incarnation), "number": server.number, "running": len(server.running),
		"waiting": len(server.waiting), "prefixes": append([]string{}, server.prefixes...), "complete": server.Mode != "partial", "ageMs": 0}
	if server.Mode == "partial" {
		delete(report, "waiting")
	}
	content, _ := json.Marshal(report)
	if server.Mode == "garbled" {
		content = content[:len(content)/2]
	}
	server.lastReport, server.lastAt = content, now
	return content
}

// take is a call arriving at the server.
func (server *Server) take(attempt *attempt) {
	fleet, visit := server.fleet, attempt.session.try.visit
	if !server.up {
		attempt.refusedLink()
		return
	}
	switch server.Mode {
	case "dark":
		return
	case "refuse":
		fleet.Ledger.CallRefused(visit.scoped, fleet.World.Now)
		attempt.turnedAway()
		return
	}
	if attempt.command.Server.Incarnation != fmt.Sprint(server.incarnation) {
		fleet.Ledger.CallRefused(visit.scoped, fleet.World.Now)
		attempt.turnedAway()
		return
	}
	next := &run{attempt: attempt, identity: attempt.command.AttemptID, scoped: visit.scoped}
	server.waiting = append(server.waiting, next)
	server.start()
}

func (server *Server) start() {
	for len(server.waiting) > 0 && int64(len(server.running)) < server.Slots {
		next := server.waiting[0]
		server.waiting = server.waiting[1:]
		if server.recalled[next.identity] || next.attempt.closed {
			continue
		}
		server.begin(next)
	}
}

func (server *Server) begin(next *run) {
	fleet, visit := server.fleet, next.attempt.session.try.visit
	server.running[next.identity] = next
	server.Taken++
	fleet.Ledger.RunStarted(next.scoped, next.identity, server.Name, fleet.World.Now)
	if visit.kind.Class == "lookup" {
		fleet.World.After(site.LookupDuration, func() { server.finishLookup(next) })
		return
	}
	if former, there := fleet.lastTurn[visit.session]; there && visit.session != "" {
		fleet.Turns++
		if former == server.Name {
			fleet.Kept++
		}
	}
	fleet.lastTurn[visit.session] = server.Name
	span := time.Duration(visit.kind.Tokens) * site.PrefillTimePerToken
	if visit.prefix != "" {
		server.PrefixAsked++
		if slices.Contains(server.prefixes, visit.prefixName()) {
			server.PrefixHits++
			span /= site.CachedPrefixSpeedup
		} else if server.prefixes = append(server.prefixes, visit.prefixName()); len(server.prefixes) > site.CachedPrefixes {
			server.prefixes = server.prefixes[1:]
		}
	}
	fleet.World.After(span+site.DecodeTimePerPiece, func() { server.decode(next) })
}

func (server *Server) live(next *run) bool { return server.running[next.identity] == next }

func (server *Server) stop(next *run, whole bool) {
	delete(server.running, next.identity)
	server.fleet.Ledger.RunEnded(next.identity, next.told, whole)
	server.start()
}

func (server *Server) decode(next *run) {
	if !server.live(next) {
		return
	}
	if next.attempt.closed {
		server.stop(next, false)
		return
	}
	visit, place := next.attempt.session.try.visit, len(next.told)
	if server.Mode == "cut" && place >= int(visit.kind.Pieces)/2 {
		server.stop(next, false)
		next.attempt.linkBroke()
		return
	}
	id := next.identity
	if server.Mode == "wrong" {
		id = "another"
	}
	piece := ledger.ChunkText(next.identity, next.scoped, place)
	next.told = append(next.told, piece)
	if !visit.kind.Unary {
		chunk := map[string]any{"id": id, "number": place, "choices": []any{map[string]any{"delta": map[string]any{"content": piece}, "finish_reason": nil}}}
		content, _ := json.Marshal(chunk)
		next.attempt.bytes(fmt.Sprintf("data: %s\n\n", content))
	}
	if len(next.told) < int(visit.kind.Pieces) {
		server.fleet.World.After(site.DecodeTimePerPiece, func() { server.decode(next) })
		return
	}
	server.finish(next, id)
}

func (server *Server) finish(next *run, id string) {
	server.stop(next, true)
	if next.attempt.session.try.visit.kind.Unary {
		content, _ := json.Marshal(map[string]any{"id": id, "choices": []any{map[string]any{
			"message": map[string]any{"content": strings.Join(next.told, "")}, "finish_reason": "stop"}}})
		if server.Mode == "truncate" {
			content = content[:len(content)-3]
		}
		next.attempt.body(content)
		return
	}
	if server.Mode == "truncate" {
		next.attempt.linkBroke()
		return
	}
	next.attempt.bytes(fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id))
}

func (server *Server) finishLookup(next *run) {
	if !server.live(next) {
		return
	}
	server.stop(next, true)
	content, _ := json.Marshal(map[string]any{"id": next.identity, "key": next.scoped, "value": "free"})
	next.attempt.body(content)
}

// recall gives a call back that has not started; it never will.
func (server *Server) recall(identity string) bool {
	if _, started := server.running[identity]; started || !server.up || server.Mode == "dark" {
		return false
	}
	for place, next := range server.waiting {
		if next.identity == identity {
			server.waiting = append(server.waiting[:place:place], server.waiting[place+1:]...)
			server.recalled[identity] = true
			return true
		}
	}
	return false
}
