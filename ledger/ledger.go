// Package ledger judges a run by what the stand-ins saw: callers, servers, the platform and operators, never our own counters.
package ledger

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
)

type Rule string

const (
	Doubled      Rule = "doubled run"
	LostSilently Rule = "lost silently"
	FalseNotRun  Rule = "told not run, but it ran"
	BrokenStream Rule = "stream skipped, repeated, joined or looked finished"
	WrongAnswer  Rule = "another's answer or half a success"
	LatePick     Rule = "picked after it was marked leaving"
	LateDrain    Rule = "a drained zone was sent a call"
	LeftHome     Rule = "left the home region"
	LateManifest Rule = "manifest late or slipped back"
	LostManifest Rule = "accepted manifest missing or altered"
	Flooded      Rule = "a cold server was flooded"
	Repeats      Rule = "too many repeats"
	LateReturn   Rule = "serving came back late"
)

type Bounds struct {
	Leave     time.Duration
	Drain     time.Duration
	Deliver   time.Duration
	Return    time.Duration
	Ramp      time.Duration
	Slots     int64
	RepeatPct float64
	// RepeatAtOnce is what all nodes together may repeat beyond their share in one window.
	RepeatAtOnce int64
	Patience     time.Duration
}

// Judging gives the bounds that the brief sets and a manifest promises, as the checker applies them to so many nodes.
func Judging(bounds env.Bounds, read manifest.Manifest, nodes int) Bounds {
	return Bounds{Leave: bounds.Evacuate(), Drain: bounds.Evacuate(), Deliver: bounds.Deliver(), Return: bounds.Return(), Ramp: read.Retirement.RampDuration,
		RepeatPct: float64(read.RepeatPercent), RepeatAtOnce: read.RepeatAllowance * int64(nodes), Patience: bounds.Deliver()}
}

type Breach struct {
	Rule   Rule
	At     time.Duration
	Detail string
}

type attempt struct {
	sent     time.Duration
	node     string
	away     bool
	ended    bool
	endedAt  time.Duration
	outcome  string
	deadline time.Duration
	arrivals int64
}

type run struct {
	identity string
	server   string
	began    time.Duration
	pieces   []string
	whole    bool
	over     bool
}

type called struct {
	scoped   string
	class    string
	home     string
	model    bool
	attempts []*attempt
	runs     []*run
}

// arrived counts an arrival at a server for the newest try of the call; one beyond the first is a repeat of ours.
func (ledger *Ledger) arrived(known *called, at time.Duration) {
	if len(known.attempts) == 0 {
		return
	}
	newest := known.attempts[len(known.attempts)-1]
	if newest.arrivals++; newest.arrivals > 1 {
		ledger.extras = append(ledger.extras, at)
	}
}

type span struct{ from, to time.Duration }

type serverFacts struct {
	zone, region string
	marked       time.Duration
	cold         time.Duration
	running      int64
	slots        int64
}

type Ledger struct {
	lock     sync.Mutex
	bounds   Bounds
	calls    map[string]*called
	byRun    map[string]*run
	servers  map[string]*serverFacts
	drains   map[string][]span
	accepted map[int64]string
	inForce  map[int64]time.Duration
	held     map[string]int64
	real     int64
	firsts   []time.Duration
	extras   []time.Duration
	breaches []Breach
	Figures  Figures
}

const never = time.Duration(1 << 62)

func New(bounds Bounds) *Ledger {
	return &Ledger{bounds: bounds, calls: map[string]*called{}, byRun: map[string]*run{}, servers: map[string]*serverFacts{}, drains: map[string][]span{},
		accepted: map[int64]string{}, inForce: map[int64]time.Duration{}, held: map[string]int64{}, Figures: NewFigures()}
}

func (ledger *Ledger) breach(at time.Duration, rule Rule, format string, detail ...any) {
	ledger.breaches = append(ledger.breaches, Breach{rule, at, fmt.Sprintf(format, detail...)})
}

func (ledger *Ledger) Server(name, zone, region string, slots int64) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.servers[name] = &serverFacts{zone: zone, region: region, marked: never, cold: -never, slots: slots}
}

// Marked says that the platform marked a server as leaving; Cold that it came (back) with nothing in its cache.
func (ledger *Ledger) Marked(server string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.servers[server].marked = at
}

func (ledger *Ledger) Unmarked(server string) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.servers[server].marked = never
}

func (ledger *Ledger) Cold(server string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.servers[server].cold, ledger.servers[server].running = at, 0
}

func (ledger *Ledger) Drained(zone string, accepted time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.drains[zone] = append(ledger.drains[zone], span{accepted, never})
}

func (ledger *Ledger) Undrained(zone string, sent time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	for index := range ledger.drains[zone] {
		ledger.drains[zone][index].to = min(ledger.drains[zone][index].to, sent)
	}
}

// Sent notes one try of a caller at a node; one away from the call's home passes it on to another.
func (ledger *Ledger) Sent(scoped, class, home string, model bool, node string, away bool, at, deadline time.Duration) int {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	known, there := ledger.calls[scoped]
	if !there {
		known = &called{scoped: scoped, class: class, home: home, model: model}
		ledger.calls[scoped] = known
		ledger.real++
		ledger.firsts = append(ledger.firsts, at)
	}
	known.attempts = append(known.attempts, &attempt{sent: at, node: node, away: away, deadline: deadline})
	ledger.Figures.sent(class)
	return len(known.attempts) - 1
}

// Began notes that a server took a call up: this is where picks are judged.
func (ledger *Ledger) Began(scoped, identity, server string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	known, there := ledger.calls[scoped]
	if !there {
		ledger.breach(at, WrongAnswer, "server %s got a call that nobody sent: %q", server, scoped)
		return
	}
	ledger.arrived(known, at)
	begun := &run{identity: identity, server: server, began: at}
	known.runs = append(known.runs, begun)
	ledger.byRun[identity] = begun
	if known.model && len(known.runs) > 1 {
		ledger.breach(at, Doubled, "call %s ran on %s at %v and on %s", scoped, known.runs[0].server, known.runs[0].began, server)
	}
	ledger.judgePick(known, server, at)
}

func (ledger *Ledger) judgePick(known *called, server string, at time.Duration) {
	facts, there := ledger.servers[server]
	if !there {
		return
	}
	if known.home != "" && known.home != facts.region {
		ledger.breach(at, LeftHome, "call %s of %s ran on %s in %s", known.scoped, known.home, server, facts.region)
	}
	if at > facts.marked {
		ledger.Figures.latePick(at - facts.marked)
		if at-facts.marked > ledger.bounds.Leave {
			ledger.breach(at, LatePick, "%s was picked %v after it was marked", server, at-facts.marked)
		}
	}
	for _, drain := range ledger.drains[facts.zone] {
		if at > drain.from && at < drain.to {
			ledger.Figures.lateDrain(at - drain.from)
			if at-drain.from > ledger.bounds.Drain {
				ledger.breach(at, LateDrain, "%s in zone %s was picked %v after the drain", server, facts.zone, at-drain.from)
			}
		}
	}
	facts.running++
	age := at - facts.cold
	if age < ledger.bounds.Ramp && ledger.bounds.Ramp > 0 && known.model {
		allowed := max(1, facts.slots*int64(age)/int64(ledger.bounds.Ramp))
		ledger.Figures.cold(facts.running, allowed)
		if facts.running > allowed {
			ledger.breach(at, Flooded, "%s ran %d calls %v after it came back: %v", server, facts.running, age, ledger.runningOn(server))
		}
	}
}

// runningOn names the runs of a server that have not ended.
func (ledger *Ledger) runningOn(server string) []string {
	identities := []string{}
	for identity, known := range ledger.byRun {
		if known.server == server && !known.over {
			identities = append(identities, identity)
		}
	}
	sort.Strings(identities)
	return identities
}

// Refused notes that a server turned a call away without running it.
func (ledger *Ledger) Refused(scoped string, at time.Duration) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	if known, there := ledger.calls[scoped]; there {
		ledger.arrived(known, at)
	}
}

// Over notes that a server ended a run, with all the pieces of the whole reply if it came to its end.
func (ledger *Ledger) Over(identity string, pieces []string, whole bool) {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	known, there := ledger.byRun[identity]
	if !there {
		return
	}
	known.pieces, known.whole, known.over = pieces, whole, true
	if facts, there := ledger.servers[known.server]; there {
		facts.running = max(0, facts.running-1)
	}
}

func (ledger *Ledger) Breaches() []Breach {
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	return append([]Breach{}, ledger.breaches...)
}

func (ledger *Ledger) ByRule() map[Rule]int {
	counts := map[Rule]int{}
	for _, breach := range ledger.Breaches() {
		counts[breach.Rule]++
	}
	return counts
}

func sortedCalls(calls map[string]*called) []*called {
	sorted := make([]*called, 0, len(calls))
	for _, known := range calls {
		sorted = append(sorted, known)
	}
	sort.Slice(sorted, func(left, right int) bool { return sorted[left].scoped < sorted[right].scoped })
	return sorted
}
