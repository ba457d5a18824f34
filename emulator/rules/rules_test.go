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

// calm is a clean day: two machines, two services, one configuration, and requests that were all served.
func calm() *Record {
	record := &Record{Bounds: Bounds{Contact: 4 * second, Ack: 5 * second, Drain: 4 * second, Grace: 8 * second, Loss: 200 * time.Millisecond, Propagate: 3 * second,
		Revert: 250 * time.Millisecond, Evacuate: 5 * second, Recover: 12 * second, RetryRatio: 0.2, RetryWindow: 10 * second, RetryAllowance: 4,
		WarmupOverage: 1.5, WarmupAllowance: 5},
		Services: map[string]Service{"model": {ColdPerS: 10}, "other": {}}, Traffic: Span{10 * second, 60 * second}, End: 80 * second}
	record.Machines = []*Machine{{Name: "one", Region: "near", Core: true, Troubles: []Span{{0, 0}}}, {Name: "two", Region: "near", Troubles: []Span{{0, 0}}}}
	record.CoreTroubles = []Span{{0, 0}}
	first := map[string]Route{"check": {Services: []string{"model"}}, "status": {Services: []string{"other"}}}
	record.Versions = []*Version{{Number: 1, Sent: 2 * second, Acked: 3 * second, Took: true, Routes: first}}
	record.ReadBacks = []ReadBack{{At: 79 * second, Number: 1, Same: true}}
	for index := range 30 {
		record.serve(fmt.Sprintf("check-%d", index), "check", "model", 10*second+time.Duration(index)*second)
	}
	return record
}

// serve adds a request that ran once and was answered whole.
func (record *Record) serve(identity, route, service string, sent time.Duration) (*Try, *Arrival) {
	try := &Try{Identity: identity, Class: route, Route: route, Service: service, Zone: "a", Region: "near", Machine: "one", Sent: sent, Read: sent + 1, Ended: sent + second/10,
		Status: 200, Sealed: true, Whole: true, AnswerOf: identity, Deadline: sent + 8*second}
	run := &Arrival{Identity: identity, Server: service + "-1", Service: service, Zone: "a", Region: "near", Machine: "one", Sent: sent + 2, At: sent + 3, Target: service + "-1",
		Run: int64(len(record.Arrivals) + 1), Ran: true, RanAt: sent + 4, Ended: sent + second/20}
	record.Tries, record.Arrivals = append(record.Tries, try), append(record.Arrivals, run)
	return try, run
}

func (record *Record) version(number, base int64, sent time.Duration, routes map[string]Route) *Version {
	made := &Version{Number: number, Base: base, Sent: sent, Acked: sent + second/10, Took: true, Routes: routes}
	record.Versions = append(record.Versions, made)
	record.ReadBacks = []ReadBack{{At: 79 * second, Number: number, Same: true}}
	return made
}

func broken(record *Record) []string {
	names, known := []string{}, map[string]bool{}
	for _, breach := range Judge(record) {
		if !known[breach.Rule] {
			known[breach.Rule] = true
			names = append(names, breach.Rule)
		}
	}
	return names
}

// cut takes core machines of three from the others for a span; the requests of the clean day go by way of one that is not cut off.
func (record *Record) cut(lost Span, count int) {
	record.CoreSize = 3
	for index := range 3 {
		machine := &Machine{Name: fmt.Sprintf("core-%d", index), Region: "near", Core: true}
		if index < count {
			machine.Troubles, machine.Lost = []Span{lost}, []Span{lost}
		}
		record.Machines = append(record.Machines, machine)
	}
}

// showing has all callers of the day show a key, and all servers be told its tenant.
func (record *Record) showing(key, tenant string) {
	for _, try := range record.Tries {
		try.Key = key
	}
	for _, run := range record.Arrivals {
		run.Tenant = tenant
	}
}

var moved = map[string]Route{"check": {Services: []string{"other"}}, "status": {Services: []string{"other"}}}

var _ = Describe("the rules", func() {
	It("find nothing on a clean day", func() {
		Expect(Judge(calm())).To(BeEmpty())
	})

	DescribeTable("find a planted violation", func(rule string, plant func(*Record)) {
		record := calm()
		plant(record)
		Expect(broken(record)).To(ConsistOf(rule))
	},
		Entry("an unsealed success", "MIXED", func(record *Record) { record.Tries[0].Sealed = false }),
		Entry("another request's answer", "MIXED", func(record *Record) { record.Tries[0].AnswerOf = "check-1" }),
		Entry("a success that the server broke off", "MIXED", func(record *Record) { record.Arrivals[0].Broke = true }),
		Entry("a run that nobody sent", "UNASKED", func(record *Record) {
			record.Arrivals = append(record.Arrivals, &Arrival{Identity: "ghost", Service: "model", Server: "model-1", Ran: true, RanAt: 12 * second, Machine: "one"})
		}),
		Entry("a run with another content", "UNASKED", func(record *Record) { record.Arrivals[0].Changed = true }),
		Entry("a run as another tenant's call", "UNASKED", func(record *Record) {
			record.Versions[0].Holders = map[string]string{"key-1": "one", "key-2": "two"}
			record.showing("key-1", "one")
			record.Arrivals[0].Tenant = "two"
		}),
		Entry("a run without the tenant", "UNASKED", func(record *Record) {
			record.Versions[0].Holders = map[string]string{"key-1": "one"}
			record.showing("key-1", "one")
			record.Arrivals[0].Tenant = ""
		}),
		Entry("a run with a key that nobody ever held", "ROUTE", func(record *Record) {
			record.Versions[0].Holders = map[string]string{"key-1": "one"}
			record.showing("key-1", "one")
			record.Tries[0].Key = "key-9"
		}),
		Entry("a run with a key that was taken away", "CONFIG", func(record *Record) {
			record.Versions[0].Holders = map[string]string{"key-1": "one", "key-2": "one"}
			record.showing("key-1", "one")
			record.version(2, 1, 20*second, record.Versions[0].Routes)
			record.Versions[1].Holders = map[string]string{"key-1": "one"}
			try, run := record.serve("taken", "check", "model", 30*second)
			try.Key, run.Tenant = "key-2", "one"
		}),
		Entry("a key that is there and refused", "CONFIG", func(record *Record) {
			record.Versions[0].Holders = map[string]string{"key-1": "one"}
			record.showing("key-1", "one")
			try, run := record.serve("turned-down", "check", "model", 30*second)
			try.Key, try.Status, try.Sealed, try.AnswerOf, run.Ran = "key-1", 401, false, "", false
		}),
		Entry("two runs", "TWICE", func(record *Record) {
			again := *record.Arrivals[0]
			again.Server, again.Target = "model-2", "model-2"
			record.Arrivals = append(record.Arrivals, &again)
		}),
		Entry("a promise that was broken", "REFUSED", func(record *Record) { record.Tries[0].Status = 503 }),
		Entry("proper requests that are turned down", "DENIED", func(record *Record) {
			for index := range 7 {
				try, run := record.serve(fmt.Sprintf("late-%d", index), "check", "model", 50*second)
				try.Status, try.Sealed, try.AnswerOf, run.Ran = 400, false, "", false
			}
		}),
		Entry("a service that no version allows", "ROUTE", func(record *Record) {
			try, run := record.serve("status-1", "status", "other", 20*second)
			try.Machine, run.Machine = "lost", "lost"
			run.Service, run.Server, run.Target = "model", "model-1", "model-1"
		}),
		Entry("another server than the one that was meant", "ROUTE", func(record *Record) { record.Arrivals[0].Target = "model-2" }),
		Entry("a server that leaves", "DRAIN", func(record *Record) { record.Leavings = []Leaving{{"model-1", 30 * second}} }),
		Entry("a stop that cuts a request", "LOST", func(record *Record) {
			record.Machines[0].Stops = []time.Duration{20 * second}
			try, run := record.serve("cut", "check", "model", 20*second+second/2)
			try.Status, try.Whole, try.Sealed, try.AnswerOf, try.Ended, run.Ended = 0, false, false, "", 21*second, 21*second
		}),
		Entry("changes that cut requests", "LOST", func(record *Record) {
			record.version(2, 1, 30*second, record.Versions[0].Routes)
			for index := range 3 {
				try, run := record.serve(fmt.Sprintf("cut-%d", index), "check", "model", 31*second)
				try.Status, try.Whole, try.Sealed, try.AnswerOf, run.Ended = 0, false, false, "", 31*second+second/10
			}
		}),
		Entry("a route that is not known yet", "CONFIG", func(record *Record) {
			record.version(2, 1, 20*second, map[string]Route{"check": {Services: []string{"model"}}, "added": {Services: []string{"other"}}})
			try, run := record.serve("added-1", "added", "other", 30*second)
			try.Status, try.Sealed, try.AnswerOf, run.Ran = 404, false, "", false
		}),
		Entry("an old service after the time to spread", "CONFIG", func(record *Record) { record.version(2, 1, 20*second, moved) }),
		Entry("a machine that goes back", "CONFIG", func(record *Record) {
			record.Tries, record.Arrivals = nil, nil
			record.version(2, 1, 20*second, moved)
			record.serve("new", "check", "other", 20*second+second/2)
			record.serve("old", "check", "model", 21*second)
		}),
		Entry("later routes that are served less", "CONFIG", func(record *Record) {
			record.version(2, 1, 5*second, map[string]Route{"check": {Services: []string{"model"}}, "added": {Services: []string{"other"}, Late: true}})
			for index := range 20 {
				try, run := record.serve(fmt.Sprintf("added-%d", index), "added", "other", 30*second)
				try.Status, try.Whole, try.Sealed, try.AnswerOf, run.Ran = 500, false, false, "", false
			}
		}),
		Entry("an invalid version that is acknowledged", "CONFIG", func(record *Record) {
			record.version(2, 1, 70*second, nil).Invalid = true
			record.ReadBacks[0].Number = 1
		}),
		Entry("two versions on top of one", "CONFIG", func(record *Record) {
			record.version(2, 1, 70*second, record.Versions[0].Routes)
			record.version(3, 1, 70*second, record.Versions[0].Routes)
		}),
		Entry("no version at the end", "CONFIG", func(record *Record) { record.ReadBacks = nil }),
		Entry("an older version at the end", "CONFIG", func(record *Record) {
			record.version(2, 1, 70*second, record.Versions[0].Routes)
			record.ReadBacks[0].Number = 1
		}),
		Entry("another version than was sent", "CONFIG", func(record *Record) { record.ReadBacks[0].Same = false }),
		Entry("a closing fault that wipes out a version", "LOST", func(record *Record) {
			record.version(2, 1, 70*second, record.Versions[0].Routes)
			record.ReadBacks[0].Number, record.Closing, record.Returned = 1, 71*second, 72*second
		}),
		Entry("too many further arrivals", "BUDGET", func(record *Record) {
			for index := range 8 {
				again := *record.Arrivals[index]
				again.Ran, again.NotRun, again.At = false, true, 20*second
				record.Arrivals = append(record.Arrivals, &again)
			}
		}),
		Entry("a piece that is missing", "ORDER", func(record *Record) {
			record.Tries[0].Stream, record.Tries[0].Total = true, 3
			record.Tries[0].Pieces = []Piece{{Number: 1, Run: 1}, {Number: 3, Run: 1}}
		}),
		Entry("pieces of two runs", "ORDER", func(record *Record) {
			record.Tries[0].Stream, record.Tries[0].Total = true, 2
			record.Tries[0].Pieces = []Piece{{Number: 1, Run: 1}, {Number: 2, Run: 2}}
		}),
		Entry("a stream that ends early and looks whole", "ORDER", func(record *Record) {
			record.Tries[0].Stream, record.Tries[0].Total = true, 2
			record.Tries[0].Pieces = []Piece{{Number: 1, Run: 1}}
		}),
		Entry("a cold server that is overrun", "FAILBACK", func(record *Record) {
			for index := range 21 {
				_, run := record.serve(fmt.Sprintf("cold-%d", index), "check", "model", 20*second+time.Duration(index)*second/50)
				run.Cold = true
			}
		}),
		Entry("a request away from its homes", "HOME", func(record *Record) {
			record.Tries[0].Regions, record.Arrivals[0].Region = []string{"near"}, "far"
		}),
		Entry("a zone that was emptied", "EVAC", func(record *Record) {
			record.Evacuations = []*Evacuation{{Zone: "a", Sent: 20 * second, Acked: 20 * second, Took: true}}
		}),
		Entry("a fleet that does not come back", "RECOVER", func(record *Record) {
			record.Closing, record.Returned = 42*second, 43*second
			for index := range 8 {
				try, run := record.serve(fmt.Sprintf("after-%d", index), "check", "model", 56*second)
				try.Status, try.Whole, try.Sealed, try.AnswerOf, run.Ran = 500, false, false, "", false
			}
		}),
		Entry("an order without an answer", "ACKS", func(record *Record) {
			made := record.version(2, 1, 30*second, record.Versions[0].Routes)
			made.Took = false
		}),
		Entry("an evacuation that is acknowledged too late", "ACKS", func(record *Record) {
			record.Evacuations = []*Evacuation{{Zone: "b", Sent: 20 * second, Acked: 26 * second, Took: true}}
			record.Evacuations[0].Ended = 26 * second
		}),
		Entry("a server that leaves while one of the core has been cut off for longer than the contact time", "DRAIN", func(record *Record) {
			record.Leavings = []Leaving{{"model-1", 20 * second}}
			record.cut(Span{20 * second, 60 * second}, 1)
		}),
	)

	DescribeTable("excuse what they tell", func(plant func(*Record)) {
		record := calm()
		plant(record)
		Expect(Judge(record)).To(BeEmpty())
	},
		Entry("a machine out of touch that sends to a server that leaves", func(record *Record) {
			record.Leavings = []Leaving{{"model-1", 30 * second}}
			record.Machines[0].Troubles = []Span{{31 * second, 39 * second}}
		}),
		Entry("a server that leaves while half of the core is cut off", func(record *Record) {
			record.Leavings = []Leaving{{"model-1", 20 * second}}
			record.cut(Span{20 * second, 60 * second}, 2)
		}),
		Entry("a server that leaves within the contact time of a cut's beginning or end", func(record *Record) {
			record.Leavings = []Leaving{{"model-1", 31 * second}}
			record.cut(Span{32 * second, 36 * second}, 1)
		}),
		Entry("a list that could not be read", func(record *Record) {
			record.Leavings = []Leaving{{"model-1", 30 * second}}
			record.ListTroubles = []Span{{30 * second, 36 * second}}
		}),
		Entry("an evacuation whose taking back was under way when it was acknowledged", func(record *Record) {
			record.Evacuations = []*Evacuation{{Zone: "a", Sent: 20 * second, Acked: 21 * second, Took: true, Ended: 21 * second},
				{Zone: "a", Off: true, Sent: 20*second + second/2, Acked: 22 * second, Took: true, Ended: 22 * second}}
		}),
		Entry("an unsettled core", func(record *Record) {
			record.version(2, 1, 20*second, record.Versions[0].Routes).Took = false
			record.CoreTroubles = append(record.CoreTroubles, Span{24 * second, 24 * second})
		}),
		Entry("a version that may be in force", func(record *Record) {
			record.version(2, 1, 39*second, moved).Took = false
			record.CoreTroubles = append(record.CoreTroubles, Span{41 * second, 41 * second})
			record.serve("maybe", "check", "other", 40*second)
		}),
		Entry("a server that broke off while its machine stopped", func(record *Record) {
			record.Machines[0].Stops = []time.Duration{20 * second}
			try, run := record.serve("cut", "check", "model", 20*second+second/2)
			try.Status, try.Whole, try.Sealed, try.AnswerOf, try.Ended, run.Broke = 0, false, false, "", 21*second, true
		}),
	)
})
