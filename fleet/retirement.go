package fleet

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/cedarreel/cedarreel/shard"
	"github.com/cedarreel/cedarreel/site"
)

// RetirementCauses are the triggers of a retirement that Retire measures.
var RetirementCauses = []string{"scale-down", "scale-to-zero", "reclaim", "short reclaim", "drain"}

// RetirementResult is the result of one retirement: the time until the server was released, the outcomes of the calls that it ran or
// queued, how many were recalled, and the delays until the next turns of their sessions started elsewhere.
type RetirementResult struct {
	Cause          string
	Duration       time.Duration
	Released       bool
	Held           bool
	Aborted        bool
	Outcomes       map[string]int
	Recalled       int64
	NextTurnDelays []time.Duration
	PrefixHits     int
	PrefixCalls    int
	Violations     int
}

// WithoutEarlyWithdrawal removes the early withdrawal of sessions and the recall of queued calls from all leases, as a baseline for
// comparison.
func WithoutEarlyWithdrawal() Option { return func(fleet *Fleet) { fleet.noEarlyWithdrawal = true } }

// stripWithdrawal applies WithoutEarlyWithdrawal to a message.
func (fleet *Fleet) stripWithdrawal(command contract.Send) contract.Send {
	if lease, ok := command.Body.(contract.Lease); ok && fleet.noEarlyWithdrawal {
		lease.Withdraw, lease.Recall = nil, nil
		command.Body = lease
	}
	return command
}

const (
	// targetCalls is how many calls the target gets, each with targetCallChunks chunks.
	targetCalls      = 12
	targetCallChunks = 500
	// reclaimNotice is enough time for a normal retirement, shortReclaimNotice is not.
	reclaimNotice      = 8 * time.Second
	shortReclaimNotice = 2 * time.Second
)

// Retire fills a server with running and queued calls, retires it for the given cause and returns what became of them.
func Retire(deployment site.Site, seed uint64, cause string, options ...Option) RetirementResult {
	fleet := New(deployment, seed, options...)
	result := RetirementResult{Cause: cause, Outcomes: map[string]int{}}
	if !fleet.StartAndServe() {
		return result
	}
	fleet.Run(trafficStarts - fleet.World.Now)
	region := fleet.Site.Regions()[0]
	pool := []*Server{}
	for _, server := range fleet.Servers {
		if server.Pool == fleet.Servers[0].Pool {
			pool = append(pool, server)
		}
	}
	target := pool[len(pool)-1]
	probes := fleet.loadServer(region, target, pool)
	began, prefixCalls, prefixHits := fleet.World.Now, 0, 0
	for _, server := range fleet.Servers {
		prefixCalls, prefixHits = prefixCalls+server.PrefixCalls, prefixHits+server.PrefixHits
	}
	fleet.Traffic(40*time.Second, 0.3)
	fleet.startRetirement(cause, target, len(pool))
	fleet.World.After(time.Second, func() {
		for index := range targetCalls / 2 {
			next := fleet.Probe("short", region)
			next.session = probes[index].session
			sent := fleet.World.Now
			next.Send(fleet.InRegion(region)[index%4])
			next.firstSentAt = sent
			next.onFirstChunk = func() { result.NextTurnDelays = append(result.NextTurnDelays, fleet.World.Now-sent) }
		}
	})
	fleet.RunUntil(70*time.Second, func() bool { return target.unloaded || target.gone })
	result.Duration = fleet.World.Now - began
	fleet.Run(time.Second)
	for _, row := range fleet.retirements() {
		if row.Server == target.Name {
			result.Released = result.Released || row.State == retire.Released
			result.Held = result.Held || row.State == retire.Held
			result.Aborted = result.Aborted || row.State == retire.Aborted
		}
	}
	for _, probe := range probes {
		result.Outcomes[probe.Outcome(40*time.Second)]++
	}
	for _, machine := range fleet.Machines {
		result.Recalled += machine.Data.Counts["attempts_recalled_before_start"]
	}
	for _, server := range fleet.Servers {
		result.PrefixCalls, result.PrefixHits = result.PrefixCalls+server.PrefixCalls, result.PrefixHits+server.PrefixHits
	}
	result.PrefixCalls, result.PrefixHits = result.PrefixCalls-prefixCalls, result.PrefixHits-prefixHits
	result.Violations = len(fleet.Close())
	return result
}

// loadServer gives the target calls that run for ten seconds, and as many that are queued behind them.
func (fleet *Fleet) loadServer(region string, target *Server, pool []*Server) []*Probe {
	for _, server := range pool {
		if server != target {
			server.Crash()
		}
	}
	fleet.Run(3 * time.Second)
	probes := []*Probe{}
	for index := range targetCalls {
		probe := fleet.Probe("short", region).WithProfile(func(profile *site.Caller) { profile.Pieces = targetCallChunks })
		probe.session = fmt.Sprintf("laden-%d", index)
		probes = append(probes, probe.Send(fleet.InRegion(region)[index%len(fleet.InRegion(region))]))
	}
	fleet.Run(300 * time.Millisecond)
	for _, server := range pool {
		if server != target {
			server.Replace()
		}
	}
	fleet.Run(3 * time.Second)
	return probes
}

// startRetirement triggers the retirement of the target; count is the size of its pool.
func (fleet *Fleet) startRetirement(cause string, target *Server, count int) {
	switch cause {
	case "scale-down":
		fleet.Write(fleet.Machines[3], fleet.scaleRequest(target.Pool, count-1), nil)
	case "scale-to-zero":
		fleet.Write(fleet.Machines[3], fleet.scaleRequest(target.Pool, 0), nil)
	case "reclaim":
		target.MarkLeaving(reclaimNotice)
	case "short reclaim":
		target.MarkLeaving(shortReclaimNotice)
	case "drain":
		fleet.Write(fleet.Machines[3], contract.OperatorRequest{Verb: contract.VerbDrain, Subject: target.Zone, Operation: "drain"}, nil)
	}
}

// retirements reads the current retirements through a random node.
func (fleet *Fleet) retirements() []shard.RetirementStatus {
	answer := fleet.Operate(fleet.anyNode(), contract.OperatorRequest{Verb: contract.VerbRetirements})
	body, _ := answer.Body.(map[string]any)
	rows, _ := body["retirements"].([]shard.RetirementStatus)
	return rows
}
