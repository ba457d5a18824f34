package shard

import (
	"sort"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/retire"
)

const maxEndedRetirements = 64 // ended retirements that are kept for operators, per shard

// RetirementStatus is a running or ended retirement as operators see it.
type RetirementStatus struct {
	Server string       `json:"server"`
	Shard  int          `json:"shard"`
	Region string       `json:"region"`
	Cause  retire.Cause `json:"cause"`
	State  retire.State `json:"state"`
	Reason string       `json:"reason"`
	Epoch  int64        `json:"epoch"`
	Tries  int          `json:"tries"` // times that the withdrawal was started
	AgeMs  int64        `json:"ageMs"` // milliseconds since the last start
}

// Status is the state of one shard as its owner reports it to operators.
type Status struct {
	Region      string             `json:"region"`
	Shard       int                `json:"shard"`
	Owner       string             `json:"owner"`
	Epoch       int64              `json:"epoch"`
	ListNumber  int64              `json:"number"`  // version of the list within the epoch
	Servers     []string           `json:"servers"` // servers on the list
	Retirements []RetirementStatus `json:"retired"` // running retirements, then the latest ended ones
}

// scaleChanges returns the loaded servers beyond the scale in the manifest with the cause to retire them, and the unloaded ones to load again.
func (manager *Manager) scaleChanges() (map[string]retire.Cause, map[string]bool) {
	causes, wanted := map[string]retire.Cause{}, map[string]bool{}
	pools := map[string][]contract.ListedServer{}
	for _, row := range manager.listing.Servers {
		if !row.Leaving && !manager.zoneDrained(row.Zone) {
			pools[row.Pool] = append(pools[row.Pool], row)
		}
	}
	for _, name := range manifest.SortedKeys(pools) {
		pool, found := manager.clusterState.Manifest.Pools[name]
		if !found {
			continue
		}
		rows := pools[name]
		sort.Slice(rows, func(left, right int) bool { return rows[left].Name < rows[right].Name })
		for position, row := range rows {
			withinScale := pool.Scale < 0 || int64(position) < pool.Scale
			switch {
			case withinScale && row.Unloaded:
				wanted[row.Name] = true
			case !withinScale && !row.Unloaded && pool.Scale == 0:
				causes[row.Name] = retire.ScaleZero
			case !withinScale && !row.Unloaded:
				causes[row.Name] = retire.ScaleDown
			}
		}
	}
	return causes, wanted
}

// updateRetirements starts, continues and ends the retirements of a shard's servers.
func (manager *Manager) updateRetirements(now time.Duration, shard *shardState) {
	surplus, wanted := manager.scaleChanges()
	present := map[string]bool{}
	for _, row := range manager.shardServers(shard) {
		present[row.Name] = true
		if wanted[row.Name] {
			manager.sendOrder(now, shard, row.Name, true)
			continue
		}
		cause, leaving := surplus[row.Name]
		if manager.zoneDrained(row.Zone) && !row.Unloaded {
			cause, leaving = retire.Drain, true
		}
		if row.Leaving {
			cause, leaving = retire.Reclaim, true
		}
		manager.updateRetirement(now, shard, row, cause, leaving)
	}
	for _, name := range manifest.SortedKeys(shard.retirements) {
		retirement := shard.retirements[name]
		if !present[name] {
			manager.endRetirement(now, shard, retirement, "the platform no longer lists it")
			continue
		}
		manager.stepRetirement(now, shard, retirement)
	}
}

// updateRetirement starts or ends the retirement of one server as its cause for leaving appears, changes or disappears.
func (manager *Manager) updateRetirement(now time.Duration, shard *shardState, row contract.ListedServer, cause retire.Cause, leaving bool) {
	server := manager.servers[row.Name]
	retirement, running := shard.retirements[row.Name]
	if !leaving || row.Unloaded {
		delete(shard.abortedScales, row.Name)
		if shard.releasedServers[row.Name] == row.Incarnation && !row.Unloaded {
			delete(shard.releasedServers, row.Name)
			server.ramping, server.rampStart = true, now
		}
		if running {
			manager.endRetirement(now, shard, retirement, "its cause is over")
			server.ramping, server.rampStart = true, now
		}
		return
	}
	if shard.releasedServers[row.Name] == row.Incarnation {
		manager.sendOrder(now, shard, row.Name, false)
		return
	}
	remaining := time.Duration(row.RemainingMs) * time.Millisecond
	if running && retirement.Cause == cause {
		if remaining > 0 {
			retirement.ShortenDeadline(manager.listedAt + remaining)
		}
		return
	}
	pool := manager.clusterState.Manifest.Pools[row.Pool]
	if scale, found := shard.abortedScales[row.Name]; found && cause == retire.ScaleDown && scale == pool.Scale {
		return
	}
	if running {
		manager.endRetirement(now, shard, retirement, "a stronger cause came")
	}
	terms := retire.Terms{Retirement: manager.clusterState.Manifest.Retirement, Lease: manager.bounds.Lease(), MessageMargin: manager.bounds.LeaseRenewal(), Remaining: remaining}
	shard.retirements[row.Name] = retire.New(now, row.Name, row.Incarnation, cause, shard.listNumber+1, terms)
	manager.emit(contract.AddCounter{Name: "retirements", Delta: 1}, contract.Log{Message: "retirement started", Attributes: []any{"server", row.Name, "cause", cause}})
	manager.refreshList(now, shard)
	shard.retirements[row.Name].ListNumber = shard.listNumber
}

// stepRetirement advances one retirement by the nodes' latest acknowledgements.
func (manager *Manager) stepRetirement(now time.Duration, shard *shardState, retirement *retire.Retirement) {
	progress := retire.Evidence{Nodes: map[string]retire.NodeStatus{}}
	for node, ack := range shard.nodeAcks {
		if now-ack.GrantedAt > manager.bounds.Return() {
			continue
		}
		ack.Calls = shard.callsByNode[node][retirement.Server]
		progress.Nodes[node] = ack
	}
	readNow, ended := retirement.Step(now, progress)
	if ended && retirement.State == retire.Released {
		manager.releaseServer(now, shard, retirement)
		return
	}
	if ended {
		pool := ""
		for _, row := range manager.listing.Servers {
			if row.Name == retirement.Server {
				pool = row.Pool
			}
		}
		shard.abortedScales[retirement.Server] = manager.clusterState.Manifest.Pools[pool].Scale
		manager.emit(contract.AddCounter{Name: "retirements_aborted", Delta: 1})
		manager.endRetirement(now, shard, retirement, retirement.Reason)
		return
	}
	if server := manager.servers[retirement.Server]; readNow && server != nil {
		server.nextRead = now
	}
}

// releaseServer ends a retirement whose server is empty and orders the platform to unload it.
func (manager *Manager) releaseServer(now time.Duration, shard *shardState, retirement *retire.Retirement) {
	shard.releasedServers[retirement.Server] = retirement.Incarnation
	manager.emit(contract.AddCounter{Name: "retirements_released", Delta: 1})
	manager.endRetirement(now, shard, retirement, retirement.Reason)
	manager.sendOrder(now, shard, retirement.Server, false)
}

// endRetirement removes a retirement and records the reason for operators.
func (manager *Manager) endRetirement(now time.Duration, shard *shardState, retirement *retire.Retirement, reason string) {
	delete(shard.retirements, retirement.Server)
	entry := manager.retirementStatus(now, shard, retirement)
	entry.Reason = reason
	shard.endedRetirements = append(shard.endedRetirements, entry)
	if len(shard.endedRetirements) > maxEndedRetirements {
		shard.endedRetirements = shard.endedRetirements[1:]
	}
	manager.emit(contract.Log{Message: "retirement ended", Attributes: []any{"server", retirement.Server, "state", retirement.State, "why", reason}})
}

// sendOrder orders the platform to load or unload a server, at most once in two platform polls.
func (manager *Manager) sendOrder(now time.Duration, shard *shardState, name string, load bool) {
	server := manager.servers[name]
	if server == nil || now-server.orderedAt < manager.bounds.PlatformPoll()*2 {
		return
	}
	server.orderedAt = now
	manager.emit(Order{Server: name, Shard: shard.index, Load: load, Epoch: shard.epoch})
}

func (manager *Manager) retirementStatus(now time.Duration, shard *shardState, retirement *retire.Retirement) RetirementStatus {
	return RetirementStatus{Server: retirement.Server, Shard: shard.index, Region: manager.self.Region, Cause: retirement.Cause, State: retirement.State,
		Reason: retirement.Reason, Epoch: shard.epoch.Number, Tries: retirement.Attempts, AgeMs: (now - retirement.WithdrawnAt).Milliseconds()}
}

// Status returns the state of each shard that this node owns.
func (manager *Manager) Status(now time.Duration) []Status {
	statuses := []Status{}
	for _, index := range sortedIndexes(manager.shardStates) {
		shard := manager.shardStates[index]
		if !shard.isOwner {
			continue
		}
		status := Status{Region: manager.self.Region, Shard: index, Owner: manager.self.Name, Epoch: shard.epoch.Number, ListNumber: shard.listNumber,
			Servers: []string{}, Retirements: []RetirementStatus{}}
		for _, row := range manager.eligibleServers(now, shard) {
			status.Servers = append(status.Servers, row.Name)
		}
		for _, name := range manifest.SortedKeys(shard.retirements) {
			status.Retirements = append(status.Retirements, manager.retirementStatus(now, shard, shard.retirements[name]))
		}
		status.Retirements = append(status.Retirements, shard.endedRetirements...)
		statuses = append(statuses, status)
	}
	return statuses
}
