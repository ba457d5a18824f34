// Package rules checks the record of an emulated day against the safety and liveness rules of the system. It uses only what callers,
// servers, the operator and the list of servers observed, never the internal state of a node.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Violation is one breach of a rule.
type Violation struct {
	// Rule is the name of the rule, such as MIXED or DRAIN.
	Rule   string
	At     time.Duration
	Detail string
}

// String gives the rule, the time of day and the detail on one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%s at %v: %s", violation.Rule, violation.At.Round(time.Millisecond), violation.Detail)
}

// Bounds are the limits that the rules check against, taken from the site.
type Bounds struct {
	Contact, Ack, Drain, Grace, Loss, Propagate, Revert, Evacuate, Recover time.Duration
	RetryRatio                                                             float64
	RetryWindow                                                            time.Duration
	RetryAllowance                                                         float64
	WarmupOverage, WarmupAllowance                                         float64
}

// Attempt is one request as its caller saw it. All times are virtual time since the start of the day; zero means that it did not
// happen.
type Attempt struct {
	Identity string
	Call     string
	Class    string
	Route    string
	Service  string
	Zone     string
	Region   string
	Machine  string
	Kind     string
	// Repeatable requests may be executed more than once. Regions are the only regions whose servers may receive the request; empty
	// allows all.
	Repeatable bool
	Resumable  bool
	Stream     bool
	Regions    []string
	Sent       time.Duration
	ReadAt     time.Duration
	Ended      time.Duration
	// Status is the HTTP status that the caller received, 0 if the connection ended without an answer. Sealed marks an answer signed
	// by a server, Complete one that arrived to its end; AnswerIdentity is the request that the answer belongs to.
	Status         int
	Sealed         bool
	Complete       bool
	AnswerIdentity string
	Reason         string
	// ResumeAfter is the number of the last piece that the caller had from earlier attempts. Pieces are those that arrived now;
	// TotalPieces is the length of the whole stream.
	ResumeAfter int
	Pieces      []Piece
	TotalPieces int
	// Probe marks a request that was sent only to learn which configuration is in force.
	Probe     bool
	Deadline  time.Duration
	Abandoned bool
	// Key is the caller's API key, empty without one.
	Key string
}

// Piece is one event of a streamed answer. ExecutionID tells which execution at a server produced it.
type Piece struct {
	Number      int
	ExecutionID int64
	MadeAt      time.Duration
	ReceivedAt  time.Duration
}

// Arrival is one request as a server saw it.
type Arrival struct {
	Identity       string
	Server         string
	Service        string
	Zone           string
	Region         string
	Machine        string
	Sent           time.Duration
	ArrivedAt      time.Duration
	Target         string
	Cold           bool
	ContentChanged bool
	// Tenant is the tenant that the node named to the server.
	Tenant      string
	ResumeAfter int
	ExecutionID int64
	Executed    bool
	ExecutedAt  time.Duration
	NotRun      bool
	WrongServer bool
	// Interrupted means that the server broke off, Failed that it answered with an error of its own.
	Interrupted bool
	Failed      bool
	Ended       time.Duration
}

// Route is what one version of the configuration says about a route. AddedLater marks routes that the first version lacked.
type Route struct {
	Services   []string
	Regions    []string
	AddedLater bool
}

// Version is one configuration that the operator sent, on top of version Base. Refused means that no node can have accepted it; one
// that is neither Acknowledged nor Refused may be in force. Invalid ones must never be accepted.
type Version struct {
	Number         int64
	Base           int64
	Sent           time.Duration
	AcknowledgedAt time.Duration
	Acknowledged   bool
	Refused        bool
	Invalid        bool
	Ended          time.Duration
	Routes         map[string]Route
	// TenantsByKey maps each API key to its tenant; if it is empty, calls need no key.
	TenantsByKey map[string]string
}

// ReadBack is one answer to the operator's read of the configuration at the end of the day. Same tells whether the content equals
// what was sent under that number.
type ReadBack struct {
	At     time.Duration
	Number int64
	Same   bool
}

// Evacuation is an order to drain a zone, or with Cancel to end the drain.
type Evacuation struct {
	Zone           string
	Cancel         bool
	Sent           time.Duration
	AcknowledgedAt time.Duration
	Acknowledged   bool
	Ended          time.Duration
}

// Departure is the time at which the list first showed that a server leaves or is gone.
type Departure struct {
	Server   string
	ListedAt time.Duration
}

// Span is a period of virtual time; both ends belong to it.
type Span struct{ From, Until time.Duration }

func (span Span) overlaps(from, until time.Duration) bool {
	return span.From <= until && from <= span.Until
}

// Machine is the history of one machine. Troubles are all periods of trouble, Stops the planned stop orders. Outages are the periods
// in which a core machine was down, frozen or cut off from the other core machines.
type Machine struct {
	Name     string
	Region   string
	Core     bool
	Troubles []Span
	Outages  []Span
	Stops    []time.Duration
}

// Service gives the rate of requests per second that a server of the service can take while it is cold; 0 sets no limit.
type Service struct {
	ColdPerS float64
}

// Record is everything that was observed during one day.
type Record struct {
	Bounds      Bounds
	Attempts    []*Attempt
	Arrivals    []*Arrival
	Versions    []*Version
	ReadBacks   []ReadBack
	Evacuations []*Evacuation
	Departures  []Departure
	Machines    []*Machine
	Services    map[string]Service
	// CoreSize is the number of core machines at full strength. CoreTroubles are periods in which the core counts as unstable
	// however many machines are up: disk faults, clock steps and starts. ListOutages are periods in which the list of servers could
	// not be read. Unplanned are the periods of every trouble that is not planned work.
	CoreSize     int
	CoreTroubles []Span
	ListOutages  []Span
	Unplanned    []Span
	Traffic      Span
	// FinalFaultAt is the time of the fault that ends the day and RestartedAt the time at which its machines were back; both are 0
	// on a day without one.
	FinalFaultAt time.Duration
	RestartedAt  time.Duration
	End          time.Duration
}

// Check runs every rule on a record and returns the violations, ordered by time, rule and detail.
func Check(record *Record) []Violation {
	checker := newChecker(record)
	for _, rule := range []func(){checker.checkMixed, checker.checkUnasked, checker.checkTwice, checker.checkRefused, checker.checkDenied, checker.checkRoute, checker.checkDrain, checker.checkLost,
		checker.checkTenants, checker.checkVersionInForce, checker.checkReverted, checker.checkAddedRoutes, checker.checkAcknowledgedVersions, checker.checkReadBack, checker.checkBudget, checker.checkOrder, checker.checkFailback, checker.checkHome, checker.checkEvacuation,
		checker.checkRecovery, checker.checkAcknowledgement} {
		rule()
	}
	slices.SortStableFunc(checker.violations, func(left, right Violation) int {
		return cmp.Or(cmp.Compare(left.At, right.At), cmp.Compare(left.Rule, right.Rule), cmp.Compare(left.Detail, right.Detail))
	})
	return checker.violations
}

// checker indexes a record by request identity and machine name, and collects violations.
type checker struct {
	*Record
	violations []Violation
	attempts   map[string]*Attempt
	executions map[string][]*Arrival
	arrivals   map[string][]*Arrival
	machines   map[string]*Machine
}

func newChecker(record *Record) *checker {
	checker := &checker{Record: record, attempts: map[string]*Attempt{}, executions: map[string][]*Arrival{}, arrivals: map[string][]*Arrival{}, machines: map[string]*Machine{}}
	for _, attempt := range record.Attempts {
		checker.attempts[attempt.Identity] = attempt
	}
	for _, arrival := range record.Arrivals {
		checker.arrivals[arrival.Identity] = append(checker.arrivals[arrival.Identity], arrival)
		if arrival.Executed {
			checker.executions[arrival.Identity] = append(checker.executions[arrival.Identity], arrival)
		}
	}
	for _, machine := range record.Machines {
		checker.machines[machine.Name] = machine
	}
	return checker
}

func (checker *checker) report(rule string, at time.Duration, format string, detail ...any) {
	checker.violations = append(checker.violations, Violation{rule, at, fmt.Sprintf(format, detail...)})
}

// inContact tells whether a machine could communicate with a stable core during the whole period and the contact time before it.
// Most rules excuse machines that could not.
func (checker *checker) inContact(name string, from, until time.Duration) bool {
	machine, found := checker.machines[name]
	if !found {
		return false
	}
	return !overlapsAny(machine.Troubles, from-checker.Bounds.Contact, until) && checker.coreStable(from, until)
}

// coreStable tells whether the core had a connected majority during the whole period and the contact time before it, with no core
// machine failing or returning meanwhile. A long outage of a minority disturbs only at its beginning and end.
func (checker *checker) coreStable(from, until time.Duration) bool {
	since := from - checker.Bounds.Contact
	if overlapsAny(checker.CoreTroubles, since, until) {
		return false
	}
	lost := 0
	for _, machine := range checker.Machines {
		for _, span := range machine.Outages {
			if since <= span.From && span.From <= until || since <= span.Until && span.Until <= until {
				return false
			}
		}
		if overlapsAny(machine.Outages, since, until) {
			lost++
		}
	}
	return lost == 0 || 2*lost < checker.CoreSize
}

func overlapsAny(spans []Span, from, until time.Duration) bool {
	for _, span := range spans {
		if span.overlaps(from, until) {
			return true
		}
	}
	return false
}
