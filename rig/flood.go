package rig

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Services of the machines of a SingleGateway.
const (
	ModelService = "model"
	PlainService = "sync"
)

// Flood lets the first servers of a service answer with a fault, until the function that it returns is called.
func (single *SingleGateway) Flood(fault AnswerFault, service string, servers int) (end func()) {
	faulty := single.fleet.platform.serversOf(service)
	faulty = faulty[:min(servers, len(faulty))]
	for _, server := range faulty {
		server.fault.Store(&fault)
	}
	return func() {
		for _, server := range faulty {
			server.fault.Store(nil)
		}
	}
}

// FloodList lets the platform answer with a fault when it is asked for the list of servers, until the function that it returns is called.
func (single *SingleGateway) FloodList(fault AnswerFault) (end func()) {
	single.fleet.platform.listFault.Store(&fault)
	return func() { single.fleet.platform.listFault.Store(nil) }
}

// serversOf returns the servers of a service that are not leaving, in the order of their starts.
func (platform *gatewayPlatform) serversOf(service string) []*gatewayServer {
	platform.lock.Lock()
	defer platform.lock.Unlock()
	return slices.DeleteFunc(slices.Clone(platform.servers), func(server *gatewayServer) bool {
		return server.draining || server.ended || server.service.name != service
	})
}

// CallSummary counts calls by what became of them.
type CallSummary struct {
	// Whole were answered whole by servers without a fault, Faulty were run by a faulty one and by no other.
	Whole, Faulty int
	// FaultyRuns counts the runs at faulty servers, also of calls that another server answered then.
	FaultyRuns int
	// Failed tells of each other call.
	Failed []string
}

// callPeriod is the time from the start of a caller's call to the earliest start of its next one.
const callPeriod = time.Second

// CallFor lets so many callers send calls to the machine for a span, one in callPeriod each, and returns what became of the calls.
func (single *SingleGateway) CallFor(span time.Duration, callers int) CallSummary {
	fleet, summary, lock, group := single.fleet, CallSummary{}, sync.Mutex{}, sync.WaitGroup{}
	round := fleet.below(1 << 30)
	for index := range callers {
		caller := fleet.newCaller(fmt.Sprintf("flood%d-%d", round, index), uint64(round+index))
		caller.home = fleet.machines[0]
		group.Go(func() {
			defer caller.drop()
			began := fleet.now()
			for next := began + callPeriod*time.Duration(index)/time.Duration(callers); next < began+span; next += callPeriod {
				time.Sleep(next - fleet.now())
				attempt := caller.call()
				lock.Lock()
				summary.add(attempt, fleet.record.faultyRuns(attempt.ID))
				lock.Unlock()
			}
		})
	}
	group.Wait()
	return summary
}

func (summary *CallSummary) add(attempt *gatewayAttempt, faultyRuns int) {
	summary.FaultyRuns += faultyRuns
	switch {
	case attempt.Status == http.StatusOK && attempt.Complete && len(attempt.Pieces) == attempt.WantPieces:
		summary.Whole++
	case faultyRuns > 0:
		summary.Faulty++
	default:
		summary.Failed = append(summary.Failed, fmt.Sprintf("%s %s: status %d, %d of %d pieces, %s", attempt.Kind, attempt.ID, attempt.Status, len(attempt.Pieces), attempt.WantPieces, attempt.Error))
	}
}

// faultyRuns counts the runs of an attempt at faulty servers.
func (record *gatewayRecord) faultyRuns(id string) int {
	record.lock.Lock()
	defer record.lock.Unlock()
	count := 0
	for _, run := range record.runs[id] {
		if run.Faulty {
			count++
		}
	}
	return count
}
