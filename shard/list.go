package shard

import (
	"strconv"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/retire"
)

// eligibleServers returns the servers of a shard that may receive new calls now.
func (manager *Manager) eligibleServers(now time.Duration, shard *shardState) []contract.ListedServer {
	rows := []contract.ListedServer{}
	for _, row := range manager.shardServers(shard) {
		server := manager.servers[row.Name]
		_, retiring := shard.retirements[row.Name]
		_, inPool := manager.clusterState.Manifest.Pools[row.Pool]
		_, serves := manager.clusterState.Manifest.Gateway.Services[row.Pool]
		released := shard.releasedServers[row.Name] == row.Incarnation
		if row.Leaving || row.Unloaded || retiring || released || !inPool && !serves || manager.zoneDrained(row.Zone) {
			continue
		}
		if !row.AssumedReady && (!server.reported || server.failures >= unreachableFailures) {
			continue
		}
		rows = append(rows, row)
	}
	return rows
}

// zoneDrained reports whether a zone is drained by the manifest or withdrawn ahead of it.
func (manager *Manager) zoneDrained(zone string) bool {
	_, withdrawn := manager.withdrawnZones[zone]
	return withdrawn || manager.clusterState.Manifest.Drained(zone)
}

// refreshList recomputes the list and raises its number if its servers or their condition changed.
func (manager *Manager) refreshList(now time.Duration, shard *shardState) {
	names := []string{}
	shard.listRows, shard.listVersion = manager.eligibleServers(now, shard), manager.stateVersion
	for _, row := range shard.listRows {
		name := row.Name + "@" + row.Incarnation
		if now < manager.servers[row.Name].warmUntil {
			name += "~"
		}
		if count := manager.servers[row.Name].cacheGeneration; count > 0 {
			name += "#" + strconv.FormatInt(count, 10)
		}
		if watched, suspected, stepsLeft := shard.healthOf(now, row.Name); watched {
			name += "!" + strconv.FormatBool(suspected) + strconv.FormatInt(stepsLeft, 10)
		}
		names = append(names, name)
	}
	fingerprint := strings.Join(names, ",")
	if fingerprint != shard.fingerprint || shard.listNumber == 0 {
		shard.fingerprint = fingerprint
		shard.listNumber++
	}
}

// invalidateCacheIndex makes all nodes discard their cache index of servers where one node found it wrong. Reports of the same
// generation count once, and a generation is not raised again before all nodes could have learned of the last one.
func (manager *Manager) invalidateCacheIndex(now time.Duration, stale map[string]int64) {
	for name, count := range stale {
		server, found := manager.servers[name]
		if !found || server.cacheGeneration > count || server.cacheInvalidatedAt > 0 && now-server.cacheInvalidatedAt < manager.bounds.Withdraw() {
			continue
		}
		server.cacheGeneration, server.cacheInvalidatedAt = max(server.cacheGeneration, count)+1, now
		manager.stateVersion++
		manager.emit(contract.AddCounter{Name: "cache_indexes_thrown", Delta: 1}, contract.Log{Message: "cache index thrown away", Attributes: []any{"server", name, "count", server.cacheGeneration}})
	}
}

// handleLeaseRequest answers a data node with the list, or with the owner's name if this node does not own the shard.
func (manager *Manager) handleLeaseRequest(now time.Duration, leaseRequest contract.LeaseRequest) {
	shard, found := manager.shardStates[leaseRequest.Shard]
	if !found || leaseRequest.ShardCount != manager.shardCount {
		manager.emit(contract.Send{To: leaseRequest.Address, Kind: MessageNotOwner, Body: contract.NotOwner{Region: leaseRequest.Region, Shard: leaseRequest.Shard}})
		return
	}
	if shard.highestEpoch.Before(leaseRequest.HighestEpoch) {
		shard.highestEpoch = leaseRequest.HighestEpoch
		if shard.isOwner {
			shard.isOwner, shard.preferredSince = false, now
			manager.emit(contract.AddCounter{Name: "superseded", Delta: 1})
		}
	}
	if !shard.isOwner || !manager.listingFresh(now) || manager.preferredOwner(shard.index) != manager.self.Name {
		manager.emit(contract.Send{To: leaseRequest.Address, Kind: MessageNotOwner,
			Body: contract.NotOwner{Region: leaseRequest.Region, Shard: leaseRequest.Shard, Owner: manager.preferredOwner(shard.index)}})
		manager.sendInterimList(now, shard, leaseRequest)
		manager.sendNotices(now, shard, leaseRequest)
		return
	}
	manager.invalidateCacheIndex(now, leaseRequest.StaleIndexes)
	if shard.listVersion != manager.stateVersion {
		manager.refreshList(now, shard)
	}
	ack := retire.NodeStatus{ReportedAt: now, GrantedAt: now}
	if leaseRequest.HighestEpoch == shard.epoch {
		ack.ListNumber = leaseRequest.Number
	}
	shard.tallies[leaseRequest.Node] = leaseRequest.Tallies
	shard.observations.add(leaseRequest.Node, leaseRequest.CallObservations)
	shard.nodeAcks[leaseRequest.Node], shard.callsByNode[leaseRequest.Node], shard.lingeringByNode[leaseRequest.Node] = ack, leaseRequest.Calls, leaseRequest.Abandoned
	lease := contract.Lease{Region: leaseRequest.Region, Shard: leaseRequest.Shard, RequestSentAt: leaseRequest.SentAt, Epoch: shard.epoch, Number: shard.listNumber,
		Duration: manager.bounds.Lease(), Revision: manager.clusterState.Revision, ShardCount: manager.shardCount, CallObservations: manager.mergedObservations(now, shard)}
	lease.Unchanged = leaseRequest.OmitUnchanged && leaseRequest.HighestEpoch == shard.epoch && leaseRequest.Number == shard.listNumber
	for _, row := range shard.listRows {
		if lease.Unchanged {
			break
		}
		lease.Servers = append(lease.Servers, manager.candidate(now, shard, row, manager.rampShare(now, shard, row, leaseRequest.Node)))
	}
	for _, name := range manifest.SortedKeys(shard.retirements) {
		lease.Withdraw = append(lease.Withdraw, name)
		if shard.retirements[name].RecallsCalls() {
			lease.Recall = append(lease.Recall, name)
		}
	}
	manager.emit(contract.Send{To: leaseRequest.Address, Kind: MessageLease, Body: lease})
}

func (manager *Manager) candidate(now time.Duration, shard *shardState, row contract.ListedServer, share int64) contract.Candidate {
	server := manager.servers[row.Name]
	watched, suspected, stepsLeft := shard.healthOf(now, row.Name)
	return contract.Candidate{Name: row.Name, Address: row.Address, Zone: row.Zone, Pool: row.Pool,
		Incarnation: row.Incarnation, Slots: manager.clusterState.Manifest.Pools[row.Pool].Slots, Share: share,
		Running: server.report.Running, Waiting: server.report.Waiting, ReportNumber: server.report.Number, Prefixes: server.report.Prefixes,
		CacheResets: server.cacheGeneration, HealthTracked: watched, Suspected: suspected, RecoverySteps: stepsLeft, WarmupMs: max(0, (server.warmUntil - now).Milliseconds())}
}

// sendInterimList gives a node without any list the servers in this node's own listing while the owner cannot be found. It has no epoch,
// so any owner's list replaces it. It is sent under advisory leases only.
func (manager *Manager) sendInterimList(now time.Duration, shard *shardState, request contract.LeaseRequest) {
	if !manager.advisoryLeases || !request.Interim || !manager.listingFresh(now) {
		return
	}
	lease := contract.Lease{Region: request.Region, Shard: request.Shard, RequestSentAt: request.SentAt, ShardCount: manager.shardCount, Interim: true}
	for _, row := range manager.eligibleServers(now, shard) {
		lease.Servers = append(lease.Servers, manager.candidate(now, shard, row, -1))
	}
	manager.emit(contract.AddCounter{Name: "lists_interim", Delta: 1}, contract.Send{To: request.Address, Kind: MessageLease, Body: lease})
}

// sendNotices tells a node whose list no owner confirms which servers are leaving, by this node's own listing. It is a second path
// beside the owner, so that a partition or a failed relay does not keep a node sending calls to them.
func (manager *Manager) sendNotices(now time.Duration, shard *shardState, request contract.LeaseRequest) {
	if !manager.advisoryLeases || !request.DeparturesOnly || !manager.listingFresh(now) {
		return
	}
	notices := contract.DepartureNotice{Region: request.Region, Shard: request.Shard}
	for _, row := range manager.shardServers(shard) {
		if row.Leaving {
			notices.Leaving = append(notices.Leaving, row.Name)
		}
	}
	if len(notices.Leaving) > 0 {
		manager.emit(contract.AddCounter{Name: "notices_told", Delta: 1}, contract.Send{To: request.Address, Kind: MessageServerNotices, Body: notices})
	}
}

// rampShare returns how many calls a node may run on a cold server, or -1 for no bound. Calls that other nodes were granted or still run
// are subtracted first, so the shares never exceed the ramp. Just after a take-over it is 0: leases of the former owner may stand.
func (manager *Manager) rampShare(now time.Duration, shard *shardState, row contract.ListedServer, node string) int64 {
	server := manager.servers[row.Name]
	ramp := manager.clusterState.Manifest.Retirement.RampDuration
	if !server.ramping || now-server.rampStart >= ramp {
		server.ramping = false
		delete(shard.rampShares, row.Name)
		return -1
	}
	if now-shard.takenAt < manager.bounds.Lease() {
		return 0
	}
	slots := manager.clusterState.Manifest.Pools[row.Pool].Slots
	names, others := manager.otherNodesLoad(now, shard, row.Name, node)
	available := manager.nodeShare(max(1, slots*int64(now-server.rampStart)/int64(ramp)), len(names))
	count := int64(len(names))
	portion := int64(0)
	for position, name := range contract.RendezvousOrder("ramp/"+row.Name, names) {
		if name == node {
			portion = available / count
			if int64(position) < available%count {
				portion++
			}
		}
	}
	portion = min(portion, max(0, available-others))
	if shard.rampShares[row.Name] == nil {
		shard.rampShares[row.Name] = map[string]int64{}
	}
	shard.rampShares[row.Name][node] = portion
	return portion
}

// nodeShare returns how much of a ramp an owner may grant that hears from heard of its region's data nodes: in a partition the
// others may have another owner. If the share is below one call, the owner that hears from a majority gets one.
func (manager *Manager) nodeShare(available int64, heard int) int64 {
	roster := max(heard, len(manager.clusterState.Manifest.Regions[manager.self.Region].Machines))
	share := available * int64(heard) / int64(roster)
	if share == 0 && heard*2 > roster {
		return 1
	}
	return share
}

// otherNodesLoad returns the nodes with valid leases and the calls that all nodes but one may have on a server. A node that is not heard
// any more may still run what it began under its last lease. That counts in full until a later report of the server, and then as far as
// the report exceeds what the others report. A new owner does not know of such nodes and uses the report.
func (manager *Manager) otherNodesLoad(now time.Duration, shard *shardState, server, node string) (names []string, others int64) {
	state, reported, unheardLoad := manager.servers[server], int64(0), int64(0)
	for _, name := range manifest.SortedKeys(shard.nodeAcks) {
		outstanding := shard.callsByNode[name][server] + shard.lingeringByNode[name][server]
		bound, expiry := max(shard.rampShares[server][name], outstanding), shard.nodeAcks[name].GrantedAt+manager.bounds.Lease()
		switch {
		case now < expiry:
			names, reported = append(names, name), reported+outstanding
			if name != node {
				others += bound
			}
		case state.sampledAt <= expiry+manager.bounds.LeaseRenewal():
			others += bound
		default:
			unheardLoad += bound
		}
	}
	if now-shard.takenAt < manager.clusterState.Manifest.Retirement.RampDuration {
		unheardLoad = state.report.Running + state.report.Waiting
	}
	return names, others + min(unheardLoad, max(0, state.report.Running+state.report.Waiting-reported))
}

// withdrawZone takes a zone's servers off the lists ahead of the manifest that drains it, and confirms this for the shards owned here.
func (manager *Manager) withdrawZone(now time.Duration, order ZoneWithdraw) {
	if order.Region != manager.self.Region {
		return
	}
	manager.withdrawnZones[order.Zone] = now + manager.bounds.Deliver()*2
	answer := ZoneWithdrawn{Token: order.Token}
	for _, index := range sortedIndexes(manager.shardStates) {
		shard := manager.shardStates[index]
		if shard.isOwner && manager.preferredOwner(index) == manager.self.Name {
			manager.refreshList(now, shard)
			answer.Shards = append(answer.Shards, index)
		}
	}
	manager.emit(contract.Send{To: order.Address, Kind: MessageZoneWithdrawn, Body: answer})
}
