package fleet

import (
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/retire"
	"github.com/cedarreel/cedarreel/shard"
	"github.com/cedarreel/cedarreel/site"
)

// Causes are the triggers of a retirement that are measured.
var Causes = []string{"scale-down", "scale-to-zero", "reclaim", "short reclaim", "drain"}

// Retired is what one measured retirement came to: the time until the server was let go, the ends of the calls that it ran or
// that waited at it, how many were recalled, and how soon the sessions' next turns began elsewhere.
type Retired struct {
	Cause    string
	Took     time.Duration
	Released bool
	Held     bool
	Aborted  bool
	Ends     map[string]int
	Recalled int64
	NextTurn []time.Duration
	Hits     int
	Asked    int
	Breaches int
}

// WithOrdinary takes the exceptions away, for comparison alone: sessions are not moved and nothing is recalled.
func WithOrdinary() Option { return func(fleet *Fleet) { fleet.ordinary = true } }

func (fleet *Fleet) plain(command contract.Send) contract.Send {
	if lease, fine := command.Body.(contract.Lease); fine && fleet.ordinary {
		lease.Withdraw, lease.Recall = nil, nil
		command.Body = lease
	}
	return command
}

const (
	laden    = 12
	ladenFor = 500
	reclaims = 8 * time.Second
	tooShort = 2 * time.Second
)

// Retire loads one server with running and waiting calls, retires it, and tells what became of them.
func Retire(described site.Site, seed uint64, cause string, options ...Option) Retired {
	fleet := New(described, seed, options...)
	retired := Retired{Cause: cause, Ends: map[string]int{}}
	if !fleet.Ready() {
		return retired
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
	probes := fleet.load(region, target, pool)
	began, asked, hits := fleet.World.Now, 0, 0
	for _, server := range fleet.Servers {
		asked, hits = asked+server.PrefixAsked, hits+server.PrefixHits
	}
	fleet.Traffic(40*time.Second, 0.3)
	fleet.trigger(cause, target, len(pool))
	fleet.World.After(time.Second, func() {
		for index := range laden / 2 {
			next := fleet.Probe("short", region)
			next.session = probes[index].session
			sent := fleet.World.Now
			next.Send(fleet.InRegion(region)[index%4])
			next.first = sent
			next.told = func() { retired.NextTurn = append(retired.NextTurn, fleet.World.Now-sent) }
		}
	})
	fleet.Until(70*time.Second, func() bool { return target.unloaded || target.gone })
	retired.Took = fleet.World.Now - began
	fleet.Run(time.Second)
	for _, row := range fleet.retirements() {
		if row.Server == target.Name {
			retired.Released = retired.Released || row.State == retire.Released
			retired.Held = retired.Held || row.State == retire.Held
			retired.Aborted = retired.Aborted || row.State == retire.Aborted
		}
	}
	for _, probe := range probes {
		retired.Ends[probe.Outcome(40*time.Second)]++
	}
	for _, machine := range fleet.Machines {
		retired.Recalled += machine.Data.Counts["attempts_recalled_before_start"]
	}
	for _, server := range fleet.Servers {
		retired.Asked, retired.Hits = retired.Asked+server.PrefixAsked, retired.Hits+server.PrefixHits
	}
	retired.Asked, retired.Hits = retired.Asked-asked, retired.Hits-hits
	retired.Breaches = len(fleet.Close())
	return retired
}

// load gives the target calls that run for ten seconds, and as many that wait there behind them.
func (fleet *Fleet) load(region string, target *Server, pool []*Server) []*Probe {
	for _, server := range pool {
		if server != target {
			server.Crash()
		}
	}
	fleet.Run(3 * time.Second)
	probes := []*Probe{}
	for index := range laden {
		probe := fleet.Probe("short", region).With(func(kind *site.Caller) { kind.Pieces = ladenFor })
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

func (fleet *Fleet) trigger(cause string, target *Server, count int) {
	switch cause {
	case "scale-down":
		fleet.Write(fleet.Machines[3], fleet.scale(target.Pool, count-1), nil)
	case "scale-to-zero":
		fleet.Write(fleet.Machines[3], fleet.scale(target.Pool, 0), nil)
	case "reclaim":
		target.Mark(reclaims)
	case "short reclaim":
		target.Mark(tooShort)
	case "drain":
		fleet.Write(fleet.Machines[3], contract.OperatorRequest{Verb: contract.VerbDrain, Subject: target.Zone, Operation: "drain"}, nil)
	}
}

func (fleet *Fleet) retirements() []shard.RetirementStatus {
	answer := fleet.Operate(fleet.anyNode(), contract.OperatorRequest{Verb: contract.VerbRetirements})
	body, _ := answer.Body.(map[string]any)
	rows, _ := body["retirements"].([]shard.RetirementStatus)
	return rows
}
