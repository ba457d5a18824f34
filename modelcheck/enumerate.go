package modelcheck

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Search configures a systematic search: every trace of moves within Bounds, shortest first, each distinct state visited once. It ends at
// MaxDepth moves, MaxStates distinct states or TimeLimit.
type Search struct {
	Members   int
	Bounds    Bounds
	MaxDepth  int
	MaxStates int
	TimeLimit time.Duration
	Fault     Fault
}

// SearchResult is the outcome of a search. All traces of up to Depth moves were tried. Complete is set if no trace was left to extend. Trace
// holds the moves that led to Violation.
type SearchResult struct {
	Search    Search
	States    int
	Traces    int
	Depth     int
	Complete  bool
	Took      time.Duration
	Violation string
	Trace     []Move
}

// String formats the totals, and the failing trace if there is one.
func (found SearchResult) String() string {
	outcome := "nothing broken"
	if found.Violation != "" {
		steps := []string{}
		for _, move := range found.Trace {
			steps = append(steps, move.String())
		}
		outcome = fmt.Sprintf("BROKEN after %d moves: %s\n%s", len(found.Trace), found.Violation, strings.Join(steps, "\n"))
	}
	return fmt.Sprintf("%d members, bounds %v: %d distinct states, %d traces, all of up to %d moves, %v: %s", found.Search.Members, found.Search.Bounds, found.States, found.Traces,
		found.Depth, found.Took.Round(time.Millisecond), outcome)
}

// enumerationSeed seeds the random draws of the replicas, which the search does not vary.
const enumerationSeed = 1

// traceOutcome is the outcome of playing a trace. effective reports whether the last move was applicable; hash identifies the state.
type traceOutcome struct {
	trace     []Move
	effective bool
	hash      uint64
	violation string
}

// Enumerate runs a breadth-first search in parallel on all processors.
func Enumerate(search Search) SearchResult {
	found, startedAt := SearchResult{Search: search}, time.Now()
	visited, frontier := map[uint64]bool{}, [][]Move{{}}
	for depth := 1; depth <= search.MaxDepth && len(frontier) > 0; depth++ {
		results, finished := search.expand(frontier, startedAt)
		frontier = nil
		for _, result := range results {
			found.Traces++
			if result.violation != "" && found.Violation == "" {
				found.Violation, found.Trace = result.violation, result.trace
			}
			if result.effective && !visited[result.hash] {
				visited[result.hash] = true
				frontier = append(frontier, result.trace)
			}
		}
		found.States = len(visited)
		if finished {
			found.Depth = depth
		}
		if found.Violation != "" || !finished || found.States >= search.MaxStates {
			break
		}
	}
	found.Complete, found.Took = len(frontier) == 0, time.Since(startedAt)
	return found
}

// expand plays every allowed trace that extends one of the frontier by one move. It returns false if the time limit cut it short.
func (search Search) expand(frontier [][]Move, startedAt time.Time) ([]traceOutcome, bool) {
	traces := [][]Move{}
	for _, trace := range frontier {
		for move := range moveCount {
			if search.allows(trace, move) {
				traces = append(traces, append(slices.Clone(trace), move))
			}
		}
	}
	results, next, group := make([]traceOutcome, len(traces)), atomic.Int64{}, sync.WaitGroup{}
	for range runtime.GOMAXPROCS(0) {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(startedAt) < search.TimeLimit {
				index := int(next.Add(1)) - 1
				if index >= len(traces) {
					return
				}
				results[index] = search.playTrace(traces[index])
			}
		}()
	}
	group.Wait()
	played := min(int(next.Load()), len(traces))
	return results[:played], played == len(traces) && time.Since(startedAt) < search.TimeLimit
}

// allows reports whether the bounds allow another move of this category after the trace.
func (search Search) allows(trace []Move, move Move) bool {
	used := 0
	for _, previous := range trace {
		if categoryOf[previous] == categoryOf[move] {
			used++
		}
	}
	return used < search.Bounds[categoryOf[move]]
}

// playTrace plays a trace, hashes the resulting state, then delivers what is in flight and checks the result.
func (search Search) playTrace(trace []Move) traceOutcome {
	cluster := New(enumerationSeed, search.Members, search.Fault)
	cluster.deterministicGossip = true
	cluster.bringUp()
	cluster.passTime()
	result := traceOutcome{trace: trace, effective: true}
	for _, move := range trace {
		result.effective = cluster.Play(move)
	}
	result.hash = xxhash.Sum64String(cluster.canonical())
	if !result.effective {
		return result
	}
	cluster.exchangeAll(false)
	if missing := cluster.findMissingWrite(); missing != "" {
		cluster.checker.fail("%s", missing)
	}
	cluster.checker.checkShortHistory()
	result.violation = cluster.checker.violation
	return result
}

// canonical returns the whole state as text. Members are named by their index in the newest view's chain, so that states that differ only in
// member names are equal. Operations keep the names under which they were submitted.
func (cluster *Cluster) canonical() string {
	text := &strings.Builder{}
	for _, member := range cluster.members {
		fmt.Fprintln(text, "member", member.name, member.removed, member.isUp(), member.pendingWrite != nil, member.refusedWrites)
		if member.isUp() {
			fmt.Fprint(text, member.replica.State(member.clock, passTicks*cluster.bounds.Tick()))
		}
		if recovered := member.disk.contentSummary(); recovered != "" {
			fmt.Fprintln(text, recovered)
		}
		for token, read := range member.reads {
			fmt.Fprintln(text, "read", token > 0, read.minRevision)
		}
	}
	inFlight := []string{}
	for _, message := range cluster.messages {
		inFlight = append(inFlight, fmt.Sprint(message.from, message.to, message.kind, xxhash.Sum64(message.body)))
	}
	slices.Sort(inFlight)
	fmt.Fprintln(text, inFlight, sortedLinks(cluster.blockedLinks), cluster.checker.newestAcked)
	replacements := []string{}
	for index, identity := range cluster.newestView.Chain {
		if node, found := cluster.newestView.Node(identity); found {
			replacements = append(replacements, node.Name+"#", fmt.Sprintf("<%d>#", index), node.Name+" ", fmt.Sprintf("<%d> ", index))
		}
	}
	return strings.NewReplacer(replacements...).Replace(text.String())
}

func sortedLinks(blocked map[[2]string]bool) []string {
	links := []string{}
	for link, cut := range blocked {
		if cut {
			links = append(links, link[0]+">"+link[1])
		}
	}
	slices.Sort(links)
	return links
}
