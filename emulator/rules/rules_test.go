package rules

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRules(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rules")
}

const second = time.Second

// cleanRecord is a day without violations: two machines, two services, one configuration, and requests that were all served.
func cleanRecord() *Record {
	record := &Record{Bounds: Bounds{Contact: 4 * second, Ack: 5 * second, Drain: 4 * second, Grace: 8 * second, Loss: 200 * time.Millisecond, Propagate: 3 * second,
		Revert: 250 * time.Millisecond, Evacuate: 5 * second, Recover: 12 * second, RetryRatio: 0.2, RetryWindow: 10 * second, RetryAllowance: 4,
		WarmupOverage: 1.5, WarmupAllowance: 5},
		Services: map[string]Service{"model": {ColdPerS: 10}, "other": {}}, Traffic: Span{10 * second, 60 * second}, End: 80 * second}
	record.Machines = []*Machine{{Name: "one", Region: "near", Core: true, Troubles: []Span{{0, 0}}}, {Name: "two", Region: "near", Troubles: []Span{{0, 0}}}}
	record.CoreTroubles = []Span{{0, 0}}
	first := map[string]Route{"check": {Services: []string{"model"}}, "status": {Services: []string{"other"}}}
	record.Versions = []*Version{{Number: 1, Sent: 2 * second, AcknowledgedAt: 3 * second, Acknowledged: true, Routes: first}}
	record.ReadBacks = []ReadBack{{At: 79 * second, Number: 1, Same: true}}
	for index := range 30 {
		record.addServed(fmt.Sprintf("check-%d", index), "check", "model", 10*second+time.Duration(index)*second)
	}
	return record
}

// addServed adds a request that was executed once and answered completely.
func (record *Record) addServed(identity, route, service string, sent time.Duration) (*Attempt, *Arrival) {
	attempt := &Attempt{Identity: identity, Class: route, Route: route, Service: service, Zone: "a", Region: "near", Machine: "one", Sent: sent, ReadAt: sent + 1, Ended: sent + second/10,
		Status: 200, Sealed: true, Complete: true, AnswerIdentity: identity, Deadline: sent + 8*second}
	arrival := &Arrival{Identity: identity, Server: service + "-1", Service: service, Zone: "a", Region: "near", Machine: "one", Sent: sent + 2, ArrivedAt: sent + 3, Target: service + "-1",
		ExecutionID: int64(len(record.Arrivals) + 1), Executed: true, ExecutedAt: sent + 4, Ended: sent + second/20}
	record.Attempts, record.Arrivals = append(record.Attempts, attempt), append(record.Arrivals, arrival)
	return attempt, arrival
}

// addVersion adds an acknowledged version that the operator reads back at the end.
func (record *Record) addVersion(number, base int64, sent time.Duration, routes map[string]Route) *Version {
	version := &Version{Number: number, Base: base, Sent: sent, AcknowledgedAt: sent + second/10, Acknowledged: true, Routes: routes}
	record.Versions = append(record.Versions, version)
	record.ReadBacks = []ReadBack{{At: 79 * second, Number: number, Same: true}}
	return version
}

// violatedRules names each violated rule once.
func violatedRules(record *Record) []string {
	names, known := []string{}, map[string]bool{}
	for _, breach := range Check(record) {
		if !known[breach.Rule] {
			known[breach.Rule] = true
			names = append(names, breach.Rule)
		}
	}
	return names
}

// cutCore adds a core of three machines and cuts some of them off for a span. The requests of the clean day use a machine that is
// not cut off.
func (record *Record) cutCore(lost Span, count int) {
	record.CoreSize = 3
	for index := range 3 {
		machine := &Machine{Name: fmt.Sprintf("core-%d", index), Region: "near", Core: true}
		if index < count {
			machine.Troubles, machine.Outages = []Span{lost}, []Span{lost}
		}
		record.Machines = append(record.Machines, machine)
	}
}

// useKey gives all callers the same key, and tells all servers its tenant.
func (record *Record) useKey(key, tenant string) {
	for _, attempt := range record.Attempts {
		attempt.Key = key
	}
	for _, arrival := range record.Arrivals {
		arrival.Tenant = tenant
	}
}

var movedRoutes = map[string]Route{"check": {Services: []string{"other"}}, "status": {Services: []string{"other"}}}

var _ = Describe("the rules", func() {
	It("find nothing on a day without violations", func() {
		Expect(Check(cleanRecord())).To(BeEmpty())
	})

	DescribeTable("find a planted violation", func(rule string, plant func(*Record)) {
		record := cleanRecord()
		plant(record)
		Expect(violatedRules(record)).To(ConsistOf(rule))
	},
		Entry("an unsealed success", "MIXED", func(record *Record) { record.Attempts[0].Sealed = false }),
		Entry("another request's answer", "MIXED", func(record *Record) { record.Attempts[0].AnswerIdentity = "check-1" }),
		Entry("a success that the server broke off", "MIXED", func(record *Record) { record.Arrivals[0].Interrupted = true }),
		Entry("an execution that nobody requested", "UNASKED", func(record *Record) {
			record.Arrivals = append(record.Arrivals, &Arrival{Identity: "ghost", Service: "model", Server: "model-1", Executed: true, ExecutedAt: 12 * second, Machine: "one"})
		}),
		Entry("an execution with changed content", "UNASKED", func(record *Record) { record.Arrivals[0].ContentChanged = true }),
		Entry("an execution under another tenant", "UNASKED", func(record *Record) {
			record.Versions[0].TenantsByKey = map[string]string{"key-1": "one", "key-2": "two"}
			record.useKey("key-1", "one")
			record.Arrivals[0].Tenant = "two"
		}),
		Entry("an execution without the tenant", "UNASKED", func(record *Record) {
			record.Versions[0].TenantsByKey = map[string]string{"key-1": "one"}
			record.useKey("key-1", "one")
			record.Arrivals[0].Tenant = ""
		}),
		Entry("an execution with a key that nobody ever held", "ROUTE", func(record *Record) {
			record.Versions[0].TenantsByKey = map[string]string{"key-1": "one"}
			record.useKey("key-1", "one")
			record.Attempts[0].Key = "key-9"
		}),
		Entry("an execution with a withdrawn key", "CONFIG", func(record *Record) {
			record.Versions[0].TenantsByKey = map[string]string{"key-1": "one", "key-2": "one"}
			record.useKey("key-1", "one")
			record.addVersion(2, 1, 20*second, record.Versions[0].Routes)
			record.Versions[1].TenantsByKey = map[string]string{"key-1": "one"}
			attempt, arrival := record.addServed("taken", "check", "model", 30*second)
			attempt.Key, arrival.Tenant = "key-2", "one"
		}),
		Entry("a valid key that is refused", "CONFIG", func(record *Record) {
			record.Versions[0].TenantsByKey = map[string]string{"key-1": "one"}
			record.useKey("key-1", "one")
			attempt, arrival := record.addServed("turned-down", "check", "model", 30*second)
			attempt.Key, attempt.Status, attempt.Sealed, attempt.AnswerIdentity, arrival.Executed = "key-1", 401, false, "", false
		}),
		Entry("two executions", "TWICE", func(record *Record) {
			again := *record.Arrivals[0]
			again.Server, again.Target = "model-2", "model-2"
			record.Arrivals = append(record.Arrivals, &again)
		}),
		Entry("a broken promise not to execute", "REFUSED", func(record *Record) { record.Attempts[0].Status = 503 }),
		Entry("too many valid requests denied", "DENIED", func(record *Record) {
			for index := range 7 {
				attempt, arrival := record.addServed(fmt.Sprintf("late-%d", index), "check", "model", 50*second)
				attempt.Status, attempt.Sealed, attempt.AnswerIdentity, arrival.Executed = 400, false, "", false
			}
		}),
		Entry("a service that no version allows", "ROUTE", func(record *Record) {
			attempt, arrival := record.addServed("status-1", "status", "other", 20*second)
			attempt.Machine, arrival.Machine = "lost", "lost"
			arrival.Service, arrival.Server, arrival.Target = "model", "model-1", "model-1"
		}),
		Entry("another server than the one that was meant", "ROUTE", func(record *Record) { record.Arrivals[0].Target = "model-2" }),
		Entry("a server that leaves", "DRAIN", func(record *Record) { record.Departures = []Departure{{"model-1", 30 * second}} }),
		Entry("a stop that interrupts a request", "LOST", func(record *Record) {
			record.Machines[0].Stops = []time.Duration{20 * second}
			attempt, arrival := record.addServed("cut", "check", "model", 20*second+second/2)
			attempt.Status, attempt.Complete, attempt.Sealed, attempt.AnswerIdentity, attempt.Ended, arrival.Ended = 0, false, false, "", 21*second, 21*second
		}),
		Entry("a stop that interrupts a request which came late, its server at work", "LOST", func(record *Record) {
			record.Machines[0].Stops = []time.Duration{20 * second}
			attempt, arrival := record.addServed("cut", "check", "model", 24*second)
			attempt.Status, attempt.Complete, attempt.Sealed, attempt.AnswerIdentity, attempt.Ended, arrival.Ended = 0, false, false, "", 27*second, 27*second
		}),
		Entry("a stop that interrupts an early request before the last part of the grace period", "LOST", func(record *Record) {
			record.Machines[0].Stops = []time.Duration{20 * second}
			attempt, arrival := record.addServed("cut", "check", "model", 21*second)
			attempt.Status, attempt.Complete, attempt.Sealed, attempt.AnswerIdentity, attempt.Ended, arrival.Ended = 0, false, false, "", 26*second, 26*second
		}),
		Entry("configuration changes that interrupt requests", "LOST", func(record *Record) {
			record.addVersion(2, 1, 30*second, record.Versions[0].Routes)
			for index := range 3 {
				attempt, arrival := record.addServed(fmt.Sprintf("cut-%d", index), "check", "model", 31*second)
				attempt.Status, attempt.Complete, attempt.Sealed, attempt.AnswerIdentity, arrival.Ended = 0, false, false, "", 31*second+second/10
			}
		}),
		Entry("a route that is not known yet", "CONFIG", func(record *Record) {
			record.addVersion(2, 1, 20*second, map[string]Route{"check": {Services: []string{"model"}}, "added": {Services: []string{"other"}}})
			attempt, arrival := record.addServed("added-1", "added", "other", 30*second)
			attempt.Status, attempt.Sealed, attempt.AnswerIdentity, arrival.Executed = 404, false, "", false
		}),
		Entry("an old service after the propagation bound", "CONFIG", func(record *Record) { record.addVersion(2, 1, 20*second, movedRoutes) }),
		Entry("a machine that reverts to an older version", "CONFIG", func(record *Record) {
			record.Attempts, record.Arrivals = nil, nil
			record.addVersion(2, 1, 20*second, movedRoutes)
			record.addServed("new", "check", "other", 20*second+second/2)
			record.addServed("old", "check", "model", 21*second)
		}),
		Entry("later routes that are served less", "CONFIG", func(record *Record) {
			record.addVersion(2, 1, 5*second, map[string]Route{"check": {Services: []string{"model"}}, "added": {Services: []string{"other"}, AddedLater: true}})
			for index := range 20 {
				attempt, arrival := record.addServed(fmt.Sprintf("added-%d", index), "added", "other", 30*second)
				attempt.Status, attempt.Complete, attempt.Sealed, attempt.AnswerIdentity, arrival.Executed = 500, false, false, "", false
			}
		}),
		Entry("an invalid version that is acknowledged", "CONFIG", func(record *Record) {
			record.addVersion(2, 1, 70*second, nil).Invalid = true
			record.ReadBacks[0].Number = 1
		}),
		Entry("two versions on top of one", "CONFIG", func(record *Record) {
			record.addVersion(2, 1, 70*second, record.Versions[0].Routes)
			record.addVersion(3, 1, 70*second, record.Versions[0].Routes)
		}),
		Entry("no version at the end", "CONFIG", func(record *Record) { record.ReadBacks = nil }),
		Entry("an older version at the end", "CONFIG", func(record *Record) {
			record.addVersion(2, 1, 70*second, record.Versions[0].Routes)
			record.ReadBacks[0].Number = 1
		}),
		Entry("another version than was sent", "CONFIG", func(record *Record) { record.ReadBacks[0].Same = false }),
		Entry("a final fault that erases a version", "LOST", func(record *Record) {
			record.addVersion(2, 1, 70*second, record.Versions[0].Routes)
			record.ReadBacks[0].Number, record.FinalFaultAt, record.RestartedAt = 1, 71*second, 72*second
		}),
		Entry("too many repeated arrivals", "BUDGET", func(record *Record) {
			for index := range 8 {
				again := *record.Arrivals[index]
				again.Executed, again.NotRun, again.ArrivedAt = false, true, 20*second
				record.Arrivals = append(record.Arrivals, &again)
			}
		}),
		Entry("a piece that is missing", "ORDER", func(record *Record) {
			record.Attempts[0].Stream, record.Attempts[0].TotalPieces = true, 3
			record.Attempts[0].Pieces = []Piece{{Number: 1, ExecutionID: 1}, {Number: 3, ExecutionID: 1}}
		}),
		Entry("pieces of two executions", "ORDER", func(record *Record) {
			record.Attempts[0].Stream, record.Attempts[0].TotalPieces = true, 2
			record.Attempts[0].Pieces = []Piece{{Number: 1, ExecutionID: 1}, {Number: 2, ExecutionID: 2}}
		}),
		Entry("a stream that ends early as complete", "ORDER", func(record *Record) {
			record.Attempts[0].Stream, record.Attempts[0].TotalPieces = true, 2
			record.Attempts[0].Pieces = []Piece{{Number: 1, ExecutionID: 1}}
		}),
		Entry("an overloaded cold server", "FAILBACK", func(record *Record) {
			for index := range 21 {
				_, arrival := record.addServed(fmt.Sprintf("cold-%d", index), "check", "model", 20*second+time.Duration(index)*second/50)
				arrival.Cold = true
			}
		}),
		Entry("a request outside its regions", "HOME", func(record *Record) {
			record.Attempts[0].Regions, record.Arrivals[0].Region = []string{"near"}, "far"
		}),
		Entry("a request to a drained zone", "EVAC", func(record *Record) {
			record.Evacuations = []*Evacuation{{Zone: "a", Sent: 20 * second, AcknowledgedAt: 20 * second, Acknowledged: true}}
		}),
		Entry("a deployment that does not recover", "RECOVER", func(record *Record) {
			record.FinalFaultAt, record.RestartedAt = 42*second, 43*second
			for index := range 8 {
				attempt, arrival := record.addServed(fmt.Sprintf("after-%d", index), "check", "model", 56*second)
				attempt.Status, attempt.Complete, attempt.Sealed, attempt.AnswerIdentity, arrival.Executed = 500, false, false, "", false
			}
		}),
		Entry("an order without an answer", "ACKS", func(record *Record) {
			version := record.addVersion(2, 1, 30*second, record.Versions[0].Routes)
			version.Acknowledged = false
		}),
		Entry("an evacuation that is acknowledged too late", "ACKS", func(record *Record) {
			record.Evacuations = []*Evacuation{{Zone: "b", Sent: 20 * second, AcknowledgedAt: 26 * second, Acknowledged: true}}
			record.Evacuations[0].Ended = 26 * second
		}),
		Entry("a server that leaves while one of the core has been cut off for longer than the contact time", "DRAIN", func(record *Record) {
			record.Departures = []Departure{{"model-1", 20 * second}}
			record.cutCore(Span{20 * second, 60 * second}, 1)
		}),
	)

	DescribeTable("accept what the bounds excuse", func(plant func(*Record)) {
		record := cleanRecord()
		plant(record)
		Expect(Check(record)).To(BeEmpty())
	},
		Entry("a machine out of contact that sends to a server that leaves", func(record *Record) {
			record.Departures = []Departure{{"model-1", 30 * second}}
			record.Machines[0].Troubles = []Span{{31 * second, 39 * second}}
		}),
		Entry("a server that leaves while half of the core is cut off", func(record *Record) {
			record.Departures = []Departure{{"model-1", 20 * second}}
			record.cutCore(Span{20 * second, 60 * second}, 2)
		}),
		Entry("a server that leaves within the contact time of a cut's beginning or end", func(record *Record) {
			record.Departures = []Departure{{"model-1", 31 * second}}
			record.cutCore(Span{32 * second, 36 * second}, 1)
		}),
		Entry("a list that could not be read", func(record *Record) {
			record.Departures = []Departure{{"model-1", 30 * second}}
			record.ListOutages = []Span{{30 * second, 36 * second}}
		}),
		Entry("a drain whose cancellation was under way when it was acknowledged", func(record *Record) {
			record.Evacuations = []*Evacuation{{Zone: "a", Sent: 20 * second, AcknowledgedAt: 21 * second, Acknowledged: true, Ended: 21 * second},
				{Zone: "a", Cancel: true, Sent: 20*second + second/2, AcknowledgedAt: 22 * second, Acknowledged: true, Ended: 22 * second}}
		}),
		Entry("an unstable core", func(record *Record) {
			record.addVersion(2, 1, 20*second, record.Versions[0].Routes).Acknowledged = false
			record.CoreTroubles = append(record.CoreTroubles, Span{24 * second, 24 * second})
		}),
		Entry("a version that may be in force", func(record *Record) {
			record.addVersion(2, 1, 39*second, movedRoutes).Acknowledged = false
			record.CoreTroubles = append(record.CoreTroubles, Span{41 * second, 41 * second})
			record.addServed("maybe", "check", "other", 40*second)
		}),
		Entry("a server that broke off while its machine stopped", func(record *Record) {
			record.Machines[0].Stops = []time.Duration{20 * second}
			attempt, arrival := record.addServed("cut", "check", "model", 20*second+second/2)
			attempt.Status, attempt.Complete, attempt.Sealed, attempt.AnswerIdentity, attempt.Ended, arrival.Interrupted = 0, false, false, "", 21*second, true
		}),
	)
})
