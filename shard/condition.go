package shard

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// condition is what a shard's owner makes of the nodes' words on one server. Suspected servers may come back cold; ill ones rest, and
// come back by steps.
type condition struct {
	incarnation string
	since       time.Duration
	until       time.Duration
	lostUntil   time.Duration
	ill         int64
	stepped     time.Duration
	relapses    int
	healed      time.Duration
}

const (
	// illSteps is how many steps an ill server takes to come back.
	illSteps = 2
	// badPart is the part of its calls, one in so many, that must fail before a server counts as ill, and twice the mean of its service.
	badPart   = 5
	meanTimes = 2
	// leastBad is the least number of bad calls, and leastFailed of nodes with failures, that say anything.
	leastBad    = 5
	leastFailed = 3
	// fewestNodes is the least size of a fleet where servers rest for all: in a smaller one each node calls a server often enough to
	// know by itself, and knows better.
	fewestNodes = 24
	// leastWitnesses is how many nodes, and how many zones, must find a server bad before it rests for all.
	leastWitnesses = 2
	// untriedTimes is how many rests a server that nobody tries stays at a step.
	untriedTimes = 4
	// mostRelapses bounds the doubling of an ill server's rest; after calmTimes rests in health, it begins anew.
	mostRelapses = 3
	calmTimes    = 16
)

// witness is what all nodes together say of one server.
type witness struct {
	all    contract.Tally
	zones  map[string]contract.Tally
	lost   int
	failed int
}

// bad tells whether the part of a server's calls that fail is that of an ill one.
func bad(tally contract.Tally) bool { return tally.Bad() > 0 && tally.Bad()*badPart >= tally.Calls() }

func (witness *witness) share() float64 {
	if witness == nil || witness.all.Calls() == 0 {
		return 0
	}
	return float64(witness.all.Bad()) / float64(witness.all.Calls())
}

// agreed tells whether more than one node, and most of the zones that called the server lately, more than one, find it bad.
func (witness *witness) agreed(nodes, zones int) bool {
	found := 0
	for _, tally := range witness.zones {
		if bad(tally) {
			found++
		}
	}
	return witness.all.Bad() >= leastBad && bad(witness.all) && witness.lost+witness.failed >= leastWitnesses &&
		found >= min(leastWitnesses, zones) && 2*found > len(witness.zones)
}

// witnesses joins the words of the nodes that asked lately, and counts those nodes and their zones.
func (owner *Owner) witnesses(now time.Duration, held *duty) (joined map[string]*witness, nodes, zones int) {
	zoneOf, seen := map[string]string{}, map[string]bool{}
	for _, member := range owner.seen.Members {
		zoneOf[member.Name] = member.Zone
	}
	joined = map[string]*witness{}
	for node, tallies := range held.tallies {
		if now-held.words[node].Told >= owner.bounds.Lease() {
			delete(held.tallies, node)
			continue
		}
		nodes++
		zone := zoneOf[node]
		seen[zone] = true
		for name, tally := range tallies {
			one := joined[name]
			if one == nil {
				one = &witness{zones: map[string]contract.Tally{}}
				joined[name] = one
			}
			one.all, one.zones[zone] = one.all.Plus(tally), one.zones[zone].Plus(tally)
			switch {
			case tally.Lost > 0:
				one.lost++
			case tally.Failed > 0:
				one.failed++
			}
		}
	}
	return joined, nodes, len(seen)
}

// judge goes through the servers of a shard. One node that got no connection makes it suspected; it rests only in a large fleet, when
// nodes of several zones agree, and never more than half of a service's servers do: a server must be twice as bad as the mean.
func (owner *Owner) judge(now time.Duration, held *duty) {
	if now < held.nextJudge {
		return
	}
	held.nextJudge = now + owner.bounds.LeaseRenewal()
	joined, nodes, zones := owner.witnesses(now, held)
	pools, present := map[string][]contract.ServerRow{}, map[string]bool{}
	for _, row := range owner.eligible(now, held) {
		pools[row.Pool], present[row.Name] = append(pools[row.Pool], row), true
		one, known := joined[row.Name], held.conditions[row.Name]
		if known != nil && known.incarnation != row.Incarnation {
			delete(held.conditions, row.Name)
			known = nil
		}
		if one == nil || one.lost == 0 && one.failed < leastFailed {
			continue
		}
		if known == nil {
			known = &condition{incarnation: row.Incarnation}
			held.conditions[row.Name] = known
		}
		if now >= known.until {
			known.since = now
		}
		known.until = now + owner.bounds.Lease()
		if one.lost > 0 {
			known.lostUntil = known.until
		}
	}
	for name, known := range held.conditions {
		if !present[name] || now >= known.until && known.ill == 0 && now-known.healed > calmTimes*owner.rest(known) {
			delete(held.conditions, name)
		}
	}
	for _, pool := range manifest.SortedKeys(pools) {
		owner.judgePool(now, held, pools[pool], joined, nodes, zones)
	}
}

// rest is the time of one step: what nodes told of the time before it is past. It doubles when the server falls ill again.
func (owner *Owner) rest(known *condition) time.Duration {
	return (owner.bounds.Withdraw() + owner.bounds.Lease()) << min(known.relapses, mostRelapses)
}

// recover lets an ill server come back by a step when trial calls were answered well, or when nobody tried for long.
func (owner *Owner) recover(now time.Duration, known *condition, name string, one *witness) {
	passed := now - known.stepped
	switch {
	case passed < owner.rest(known):
	case one != nil && bad(one.all):
		if known.ill < illSteps {
			known.relapses++
		}
		known.ill, known.stepped = illSteps, now
	case one == nil && passed < untriedTimes*owner.rest(known):
	default:
		known.ill, known.stepped, known.healed = known.ill-1, now, now
		if known.ill == 0 {
			owner.emit(contract.Say{What: "server serves again", Detail: []any{"server", name}})
		}
	}
}

// conditionOf gives what the list says of a server: whether nodes tell how it fares, whether it may come back cold, and how many steps
// it has to go until it serves.
func (held *duty) conditionOf(now time.Duration, name string) (watched, suspected bool, ill int64) {
	known := held.conditions[name]
	if known == nil {
		return false, false, 0
	}
	return now < known.until || known.ill > 0, now < known.lostUntil, known.ill
}

func (owner *Owner) judgePool(now time.Duration, held *duty, rows []contract.ServerRow, joined map[string]*witness, nodes, zones int) {
	mean, ill := 0.0, 0
	for _, row := range rows {
		mean += joined[row.Name].share() / float64(len(rows))
		if known := held.conditions[row.Name]; known != nil && known.ill > 0 {
			ill++
		}
	}
	for _, row := range rows {
		known, one := held.conditions[row.Name], joined[row.Name]
		switch {
		case known == nil:
		case known.ill > 0:
			owner.recover(now, known, row.Name, one)
		case one == nil || now-known.since < owner.bounds.Lease() || now >= known.until:
		case nodes >= fewestNodes && one.agreed(nodes, zones) && one.share() >= meanTimes*mean && 2*(ill+1) <= len(rows):
			ill++
			if known.healed > 0 {
				known.relapses++
			}
			known.ill, known.stepped = illSteps, now
			owner.emit(contract.Count{Name: "servers_rested", By: 1},
				contract.Say{What: "server rests for all", Detail: []any{"server", row.Name, "bad", one.all.Bad(), "well", one.all.Well, "zones", len(one.zones)}})
		}
	}
}
