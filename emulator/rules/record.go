// Package rules judges a day by nothing but what the callers, servers, operator and list of servers saw.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Breach is one broken rule.
type Breach struct {
	Rule   string
	At     time.Duration
	Detail string
}

func (breach Breach) String() string {
	return fmt.Sprintf("%s at %v: %s", breach.Rule, breach.At.Round(time.Millisecond), breach.Detail)
}

// Bounds are the figures of the rules.
type Bounds struct {
	Contact, Ack, Drain, Grace, Loss, Propagate, Revert, Evacuate, Recover time.Duration
	RetryRatio                                                             float64
	RetryWindow                                                            time.Duration
	RetryAllowance                                                         float64
	WarmupOverage, WarmupAllowance                                         float64
}

// Try is one request as its caller saw it.
type Try struct {
	Identity string
	Call     string
	Class    string
	Route    string
	Service  string
	Zone     string
	Region   string
	Machine  string
	Kind     string
	// Repeatable tells that it may run more than once; Regions, if any, are its homes.
	Repeatable bool
	Resumable  bool
	Stream     bool
	Regions    []string
	Sent       time.Duration
	Read       time.Duration
	Ended      time.Duration
	// Status is what it was answered with, 0 when the connection ended without an answer.
	Status   int
	Sealed   bool
	Whole    bool
	AnswerOf string
	Reason   string
	// After is the last piece that the caller had; Pieces are those that came, with the run that made each; Total is how many there are.
	After  int
	Pieces []Piece
	Total  int
	// Probe tells that it was sent to see which configuration is in force.
	Probe    bool
	Deadline time.Duration
	GivenUp  bool
	// Key is what the caller showed, empty without one.
	Key string
}

type Piece struct {
	Number int
	Run    int64
	Made   time.Duration
	Came   time.Duration
}

// Arrival is one request as a server saw it.
type Arrival struct {
	Identity string
	Server   string
	Service  string
	Zone     string
	Region   string
	Machine  string
	Sent     time.Duration
	At       time.Duration
	Target   string
	Cold     bool
	Changed  bool
	// Tenant is whose call the server was told that it is.
	Tenant string
	After  int
	Run    int64
	Ran    bool
	RanAt  time.Duration
	NotRun bool
	Moved  bool
	// Broke tells that the server broke off, Failed that it answered with a failure of its own.
	Broke  bool
	Failed bool
	Ended  time.Duration
}

// Route is what one version of the configuration says about a route.
type Route struct {
	Services []string
	Regions  []string
	Late     bool
}

// Version is one configuration that the operator sent.
type Version struct {
	Number  int64
	Base    int64
	Sent    time.Duration
	Acked   time.Duration
	Took    bool
	Refused bool
	Invalid bool
	Ended   time.Duration
	Routes  map[string]Route
	// Holders are the tenants by their keys; without any, calls need no key.
	Holders map[string]string
}

// ReadBack is one answer to the operator's reading at the end.
type ReadBack struct {
	At     time.Duration
	Number int64
	Same   bool
}

// Evacuation is an order to empty a zone, or to take that back.
type Evacuation struct {
	Zone  string
	Off   bool
	Sent  time.Duration
	Acked time.Duration
	Took  bool
	Ended time.Duration
}

// Leaving is the moment at which the list first showed that a server leaves or is gone.
type Leaving struct {
	Server string
	Shown  time.Duration
}

type Span struct{ From, Until time.Duration }

func (span Span) touches(from, until time.Duration) bool {
	return span.From <= until && from <= span.Until
}

// Machine is the history of one machine: every trouble on it, and the orders to stop. Lost are the spans in which a core machine was
// down, frozen or cut off from the others of the core.
type Machine struct {
	Name     string
	Region   string
	Core     bool
	Troubles []Span
	Lost     []Span
	Stops    []time.Duration
}

// Service gives the rate that a cold server bears.
type Service struct {
	ColdPerS float64
}

// Record is a whole day.
type Record struct {
	Bounds      Bounds
	Tries       []*Try
	Arrivals    []*Arrival
	Versions    []*Version
	ReadBacks   []ReadBack
	Evacuations []*Evacuation
	Leavings    []Leaving
	Machines    []*Machine
	Services    map[string]Service
	// CoreSize is how many machines the core has when it is whole. CoreTroubles are the spans in which it counts as unsettled whatever is
	// left of it: disk troubles, steps of clocks, starts. ListTroubles are the spans in which the list could not be read. Planned are
	// the spans of planned work, Unplanned those of every other trouble.
	CoreSize     int
	CoreTroubles []Span
	ListTroubles []Span
	Unplanned    []Span
	Traffic      Span
	// Closing is the moment of the closing fault, Returned the one at which the machines were back; 0 when there was none.
	Closing  time.Duration
	Returned time.Duration
	End      time.Duration
}

// Judge gives every broken rule.
func Judge(record *Record) []Breach {
	judge := newJudge(record)
	for _, rule := range []func(){judge.mixed, judge.unasked, judge.twice, judge.refused, judge.denied, judge.route, judge.drain, judge.lost,
		judge.tenants, judge.handled, judge.reverted, judge.added, judge.accepted, judge.readBack, judge.budget, judge.order, judge.failback, judge.home, judge.evacuated,
		judge.recovered, judge.acknowledged} {
		rule()
	}
	slices.SortStableFunc(judge.breaches, func(left, right Breach) int {
		return cmp.Or(cmp.Compare(left.At, right.At), cmp.Compare(left.Rule, right.Rule), cmp.Compare(left.Detail, right.Detail))
	})
	return judge.breaches
}

type judge struct {
	*Record
	breaches []Breach
	tries    map[string]*Try
	runs     map[string][]*Arrival
	arrivals map[string][]*Arrival
	machines map[string]*Machine
}

func newJudge(record *Record) *judge {
	made := &judge{Record: record, tries: map[string]*Try{}, runs: map[string][]*Arrival{}, arrivals: map[string][]*Arrival{}, machines: map[string]*Machine{}}
	for _, try := range record.Tries {
		made.tries[try.Identity] = try
	}
	for _, arrival := range record.Arrivals {
		made.arrivals[arrival.Identity] = append(made.arrivals[arrival.Identity], arrival)
		if arrival.Ran {
			made.runs[arrival.Identity] = append(made.runs[arrival.Identity], arrival)
		}
	}
	for _, machine := range record.Machines {
		made.machines[machine.Name] = machine
	}
	return made
}

func (judge *judge) breach(rule string, at time.Duration, format string, detail ...any) {
	judge.breaches = append(judge.breaches, Breach{rule, at, fmt.Sprintf(format, detail...)})
}

// touched tells whether a machine was in touch all the time between two moments.
func (judge *judge) touched(name string, from, until time.Duration) bool {
	machine, there := judge.machines[name]
	if !there {
		return false
	}
	return !within(machine.Troubles, from-judge.Bounds.Contact, until) && judge.settled(from, until)
}

// settled tells whether the core was, over the contact time before and all the time between two moments: over half of it was there and
// connected, and no core machine went away or came back. What lasts unsettles nothing, its beginning and its end do.
func (judge *judge) settled(from, until time.Duration) bool {
	since := from - judge.Bounds.Contact
	if within(judge.CoreTroubles, since, until) {
		return false
	}
	lost := 0
	for _, machine := range judge.Machines {
		for _, span := range machine.Lost {
			if since <= span.From && span.From <= until || since <= span.Until && span.Until <= until {
				return false
			}
		}
		if within(machine.Lost, since, until) {
			lost++
		}
	}
	return lost == 0 || 2*lost < judge.CoreSize
}

func within(spans []Span, from, until time.Duration) bool {
	for _, span := range spans {
		if span.touches(from, until) {
			return true
		}
	}
	return false
}
