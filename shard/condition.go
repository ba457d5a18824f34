package shard

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
)

// healthRecord is the owner's state of one server, derived from the nodes' call tallies. A suspected server may return with a cold cache.
// A resting one gets trial calls only and returns in recoverySteps steps.
type healthRecord struct {
	incarnation    string        // incarnation of the server that the record is about
	reportedSince  time.Duration // start of the current run of failures
	watchedUntil   time.Duration // end of that run unless more failures are reported
	suspectedUntil time.Duration // until when a lost connection makes it suspected
	resting        int64         // recovery steps left until it serves fully, 0 if it does not rest
	steppedAt      time.Duration // last change of resting
	relapses       int           // times that it failed again after a recovery
	recoveredAt    time.Duration // last successful step of a recovery
}

const (
	// recoverySteps is how many steps a resting server takes to return.
	recoverySteps = 2
	// failureRatio: a server fails if at least one call in failureRatio fails; it rests only if its failure rate is also meanMultiple times
	// the mean of its pool.
	failureRatio = 5
	meanMultiple = 2
	// minFailedCalls is the least number of failed calls, and minFailedNodes the least number of nodes with failures, that count as evidence.
	minFailedCalls = 5
	minFailedNodes = 3
	// minFleetNodes is the least number of nodes at which a server rests for all of them. In a smaller fleet each node calls a server
	// often enough to judge it by its own calls, which is more precise.
	minFleetNodes = 24
	// minWitnesses is how many nodes, and how many zones, must find a server failing before it rests.
	minWitnesses = 2
	// untriedMultiple is how many quarantine times a server stays at a step if no node sends it a trial call.
	untriedMultiple = 4
	// maxRelapses bounds the doubling of a server's quarantine time; after healthyMultiple quarantine times of health it starts over.
	maxRelapses     = 3
	healthyMultiple = 16
)

// evidence is the sum of all nodes' tallies for one server.
type evidence struct {
	total       contract.CallTally
	zones       map[string]contract.CallTally // tallies of the nodes of each zone
	lostNodes   int                           // nodes that lost a connection to it
	failedNodes int                           // nodes with other failures only
}

// failing reports whether the share of failed calls is that of a failing server.
func failing(tally contract.CallTally) bool {
	return tally.Failures() > 0 && tally.Failures()*failureRatio >= tally.Total()
}

// failureRate returns the share of failed calls, 0 if there were none.
func (evidence *evidence) failureRate() float64 {
	if evidence == nil || evidence.total.Total() == 0 {
		return 0
	}
	return float64(evidence.total.Failures()) / float64(evidence.total.Total())
}

// confirmed reports whether at least minWitnesses nodes, and most of the zones that called the server lately, find it failing.
func (evidence *evidence) confirmed(nodes, zones int) bool {
	found := 0
	for _, tally := range evidence.zones {
		if failing(tally) {
			found++
		}
	}
	return evidence.total.Failures() >= minFailedCalls && failing(evidence.total) && evidence.lostNodes+evidence.failedNodes >= minWitnesses &&
		found >= min(minWitnesses, zones) && 2*found > len(evidence.zones)
}

// collectEvidence sums the tallies of the nodes that asked within a lease's time, and counts those nodes and their zones.
func (manager *Manager) collectEvidence(now time.Duration, shard *shardState) (evidenceByServer map[string]*evidence, nodes, zones int) {
	zoneOf, seen := map[string]string{}, map[string]bool{}
	for _, member := range manager.clusterState.Members {
		zoneOf[member.Name] = member.Zone
	}
	evidenceByServer = map[string]*evidence{}
	for node, tallies := range shard.tallies {
		if now-shard.nodeAcks[node].ReportedAt >= manager.bounds.Lease() {
			delete(shard.tallies, node)
			continue
		}
		nodes++
		zone := zoneOf[node]
		seen[zone] = true
		for name, tally := range tallies {
			merged := evidenceByServer[name]
			if merged == nil {
				merged = &evidence{zones: map[string]contract.CallTally{}}
				evidenceByServer[name] = merged
			}
			merged.total, merged.zones[zone] = merged.total.Add(tally), merged.zones[zone].Add(tally)
			switch {
			case tally.Unconnected > 0:
				merged.lostNodes++
			case tally.Failed > 0:
				merged.failedNodes++
			}
		}
	}
	return evidenceByServer, nodes, len(seen)
}

// evaluateHealth updates the health of a shard's servers. One node without a connection makes a server suspected. It rests only in a
// large fleet, if nodes of several zones agree and it fails at twice the mean rate; at most half of a pool rests at a time.
func (manager *Manager) evaluateHealth(now time.Duration, shard *shardState) {
	if now < shard.nextEvaluation {
		return
	}
	shard.nextEvaluation = now + manager.bounds.LeaseRenewal()
	evidenceByServer, nodes, zones := manager.collectEvidence(now, shard)
	pools, present := map[string][]contract.ListedServer{}, map[string]bool{}
	for _, row := range manager.eligibleServers(now, shard) {
		pools[row.Pool], present[row.Name] = append(pools[row.Pool], row), true
		evidence, record := evidenceByServer[row.Name], shard.serverHealth[row.Name]
		if record != nil && record.incarnation != row.Incarnation {
			delete(shard.serverHealth, row.Name)
			record = nil
		}
		if evidence == nil || evidence.lostNodes == 0 && evidence.failedNodes < minFailedNodes {
			continue
		}
		if record == nil {
			record = &healthRecord{incarnation: row.Incarnation}
			shard.serverHealth[row.Name] = record
		}
		if now >= record.watchedUntil {
			record.reportedSince = now
		}
		record.watchedUntil = now + manager.bounds.Lease()
		if evidence.lostNodes > 0 {
			record.suspectedUntil = record.watchedUntil
		}
	}
	for name, record := range shard.serverHealth {
		if !present[name] || now >= record.watchedUntil && record.resting == 0 && now-record.recoveredAt > healthyMultiple*manager.quarantineTime(record) {
			delete(shard.serverHealth, name)
		}
	}
	for _, pool := range manifest.SortedKeys(pools) {
		manager.evaluatePool(now, shard, pools[pool], evidenceByServer, nodes, zones)
	}
}

// quarantineTime is the length of one recovery step, after which tallies from before the step have expired. It doubles with each relapse.
func (manager *Manager) quarantineTime(record *healthRecord) time.Duration {
	return (manager.bounds.Withdraw() + manager.bounds.Lease()) << min(record.relapses, maxRelapses)
}

// advanceRecovery moves a resting server one step on if its trial calls succeeded or if no node tried it for long.
func (manager *Manager) advanceRecovery(now time.Duration, record *healthRecord, name string, reports *evidence) {
	passed := now - record.steppedAt
	switch {
	case passed < manager.quarantineTime(record):
	case reports != nil && failing(reports.total):
		if record.resting < recoverySteps {
			record.relapses++
		}
		record.resting, record.steppedAt = recoverySteps, now
	case reports == nil && passed < untriedMultiple*manager.quarantineTime(record):
	default:
		record.resting, record.steppedAt, record.recoveredAt = record.resting-1, now, now
		if record.resting == 0 {
			manager.emit(contract.Log{Message: "server serves again", Attributes: []any{"server", name}})
		}
	}
}

// healthOf returns what the list says of a server: whether nodes report their calls to it, whether it may return with a cold cache, and
// how many recovery steps are left.
func (shard *shardState) healthOf(now time.Duration, name string) (watched, suspected bool, resting int64) {
	record := shard.serverHealth[name]
	if record == nil {
		return false, false, 0
	}
	return now < record.watchedUntil || record.resting > 0, now < record.suspectedUntil, record.resting
}

// evaluatePool decides for the servers of one pool which of them start to rest and which advance in their recovery.
func (manager *Manager) evaluatePool(now time.Duration, shard *shardState, rows []contract.ListedServer, evidenceByServer map[string]*evidence, nodes, zones int) {
	mean, resting := 0.0, 0
	for _, row := range rows {
		mean += evidenceByServer[row.Name].failureRate() / float64(len(rows))
		if record := shard.serverHealth[row.Name]; record != nil && record.resting > 0 {
			resting++
		}
	}
	for _, row := range rows {
		record, reports := shard.serverHealth[row.Name], evidenceByServer[row.Name]
		switch {
		case record == nil:
		case record.resting > 0:
			manager.advanceRecovery(now, record, row.Name, reports)
		case reports == nil || now-record.reportedSince < manager.bounds.Lease() || now >= record.watchedUntil:
		case nodes >= minFleetNodes && reports.confirmed(nodes, zones) && reports.failureRate() >= meanMultiple*mean && 2*(resting+1) <= len(rows):
			resting++
			if record.recoveredAt > 0 {
				record.relapses++
			}
			record.resting, record.steppedAt = recoverySteps, now
			manager.emit(contract.AddCounter{Name: "servers_rested", Delta: 1},
				contract.Log{Message: "server rests for all", Attributes: []any{"server", row.Name, "bad", reports.total.Failures(), "well", reports.total.Succeeded, "zones", len(reports.zones)}})
		}
	}
}
