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

// Search is a systematic search: every trace of moves within the bounds, shortest first, each state visited once.
type Search struct {
	Members int
	Bounds  Bounds
	Depth   int
	States  int
	Within  time.Duration
	Fault   Fault
}

// Found is what a search came to. Depth is the longest trace of which all were tried.
type Found struct {
	Search    Search
	States    int
	Traces    int
	Depth     int
	Complete  bool
	Took      time.Duration
	Violation string
	Trace     []Move
}

func (found Found) String() string {
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

// enumerationSeed is that of the random draws of owners, which the search does not vary.
const enumerationSeed = 1

// reached is what the play of a trace came to.
type reached struct {
	trace     []Move
	means     bool
	hash      uint64
	violation string
}

// Enumerate searches breadth first, on all processors.
func Enumerate(search Search) Found {
	found, began := Found{Search: search}, time.Now()
	visited, frontier := map[uint64]bool{}, [][]Move{{}}
	for depth := 1; depth <= search.Depth && len(frontier) > 0; depth++ {
		results, finished := search.expand(frontier, began)
		frontier = nil
		for _, result := range results {
			found.Traces++
			if result.violation != "" && found.Violation == "" {
				found.Violation, found.Trace = result.violation, result.trace
			}
			if result.means && !visited[result.hash] {
				visited[result.hash] = true
				frontier = append(frontier, result.trace)
			}
		}
		found.States = len(visited)
		if finished {
			found.Depth = depth
		}
		if found.Violation != "" || !finished || found.States >= search.States {
			break
		}
	}
	found.Complete, found.Took = len(frontier) == 0, time.Since(began)
	return found
}

// expand plays every trace that is one move longer than those of a frontier.
func (search Search) expand(frontier [][]Move, began time.Time) ([]reached, bool) {
	traces := [][]Move{}
	for _, trace := range frontier {
		for move := range moves {
			if search.allows(trace, move) {
				traces = append(traces, append(slices.Clone(trace), move))
			}
		}
	}
	results, next, group := make([]reached, len(traces)), atomic.Int64{}, sync.WaitGroup{}
	for range runtime.GOMAXPROCS(0) {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(began) < search.Within {
				place := int(next.Add(1)) - 1
				if place >= len(traces) {
					return
				}
				results[place] = search.play(traces[place])
			}
		}()
	}
	group.Wait()
	played := min(int(next.Load()), len(traces))
	return results[:played], played == len(traces) && time.Since(began) < search.Within
}

// allows tells whether a trace may go on with a move: its kind is within its bound, and two moves that only let time pass don't follow
// each other.
func (search Search) allows(trace []Move, move Move) bool {
	used := 0
	for _, former := range trace {
		if budgetOf[former] == budgetOf[move] {
			used++
		}
	}
	return used < search.Bounds[budgetOf[move]]
}

// play carries a trace out, hashes the state that it leads to and lets what is under way end, to judge it.
func (search Search) play(trace []Move) reached {
	cluster := New(enumerationSeed, search.Members, search.Fault)
	cluster.newsAlways = true
	cluster.settle()
	cluster.pass()
	result := reached{trace: trace, means: true}
	for _, move := range trace {
		result.means = cluster.Play(move)
	}
	result.hash = xxhash.Sum64String(cluster.canonical())
	if !result.means {
		return result
	}
	cluster.exchangeAll(false)
	if lacks := cluster.lacksAcknowledged(); lacks != "" {
		cluster.checker.fail("%s", lacks)
	}
	cluster.checker.explained()
	result.violation = cluster.checker.violation
	return result
}

// canonical is the whole state as text. Members are named by their places in the newest chain, so that states which differ in the names
// of members alone are one; orders are named as they were submitted.
func (cluster *Cluster) canonical() string {
	text := &strings.Builder{}
	for _, member := range cluster.members {
		fmt.Fprintln(text, "member", member.name, member.removed, member.up(), member.pending != nil, member.fullFor)
		if member.up() {
			fmt.Fprint(text, member.owner.State(member.clock, passTicks*cluster.bounds.Tick()))
		}
		if recovered := member.disk.listing(); recovered != "" {
			fmt.Fprintln(text, recovered)
		}
		for token, read := range member.reads {
			fmt.Fprintln(text, "read", token > 0, read.floor)
		}
	}
	under := []string{}
	for _, message := range cluster.messages {
		under = append(under, fmt.Sprint(message.from, message.to, message.kind, xxhash.Sum64(message.body)))
	}
	slices.Sort(under)
	fmt.Fprintln(text, under, sortedLinks(cluster.blocked), cluster.checker.newest)
	renamed := []string{}
	for place, identity := range cluster.view.Chain {
		if node, there := cluster.view.Node(identity); there {
			renamed = append(renamed, node.Name+"#", fmt.Sprintf("<%d>#", place), node.Name+" ", fmt.Sprintf("<%d> ", place))
		}
	}
	return strings.NewReplacer(renamed...).Replace(text.String())
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
