package shard

import (
	"encoding/json"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/retire"
)

// PreferredOwner returns the control node that should own a shard: the first live one of the region by rendezvous hashing. Nodes that
// cannot read the platform rank after all others. It is empty if no control node is alive.
func PreferredOwner(members []contract.Member, region string, index int) string {
	seeing, all := []string{}, []string{}
	for _, member := range members {
		if member.Kind == contract.KindControl && member.Region == region {
			all = append(all, member.Name)
			if !member.Impaired {
				seeing = append(seeing, member.Name)
			}
		}
	}
	if len(seeing) > 0 {
		all = seeing
	}
	for _, member := range members {
		if len(all) == 0 && member.Kind == contract.KindControl {
			return PreferredOwner(members, standInRegion(members, region), index)
		}
	}
	if len(all) == 0 {
		return ""
	}
	return contract.RendezvousOrder(HashKey(region, index), all)[0]
}

// standInRegion returns the region whose control nodes serve a region that has none, by rendezvous hashing.
func standInRegion(members []contract.Member, region string) string {
	regions := []string{}
	for _, member := range members {
		if member.Kind == contract.KindControl {
			regions = append(regions, member.Region)
		}
	}
	return contract.RendezvousOrder("stand-in/"+region, regions)[0]
}

// idlePollMultiple is how many times longer the poll interval of a node without shards is, under advisory leases: each poll has its
// price, but a take-over needs a listing that is younger than the grace time.
const idlePollMultiple = 3

// pollInterval is the time between two reads of the platform's listing.
func (manager *Manager) pollInterval() time.Duration {
	if !manager.advisoryLeases {
		return manager.bounds.PlatformPoll()
	}
	for index, shard := range manager.shardStates {
		if shard.isOwner || manager.preferredOwner(index) == manager.self.Name {
			return manager.bounds.PlatformPoll()
		}
	}
	return idlePollMultiple * manager.bounds.PlatformPoll()
}

// pollOverdue reports whether a shard is about to be taken over with a listing that was read too long ago while idle.
func (manager *Manager) pollOverdue(now time.Duration) bool {
	return manager.pollInterval() == manager.bounds.PlatformPoll() && (!manager.hasListing || now-manager.listedAt > 2*manager.bounds.PlatformPoll()) &&
		manager.nextPoll-now > manager.bounds.PlatformPoll()
}

// updatePlatformReadable marks this node blind after a lease's time without a good listing. It clears the mark only after a longer
// time with good listings, so that ownership does not flap.
func (manager *Manager) updatePlatformReadable(now time.Duration) {
	unreadFor := now - max(manager.listedAt, manager.startedAt)
	switch {
	case !manager.platformUnreadable && unreadFor > manager.bounds.Lease()+manager.pollInterval()-manager.bounds.PlatformPoll():
		manager.platformUnreadable, manager.readableSince = true, now
		manager.emit(contract.AddCounter{Name: "blind", Delta: 1}, contract.Log{Message: "the platform cannot be read here"})
	case manager.platformUnreadable && manager.listingFresh(now) && now-manager.readableSince > manager.bounds.RecoveryDelay():
		manager.platformUnreadable = false
		manager.emit(contract.Log{Message: "the platform can be read here again"})
	}
}

// PlatformUnreadable reports whether this node cannot read the platform; the other nodes then prefer other owners.
func (manager *Manager) PlatformUnreadable() bool { return manager.platformUnreadable }

// changeShardCount applies a new number of shards: each owned shard starts again under a higher epoch, without its retirements.
func (manager *Manager) changeShardCount(now time.Duration, shardCount int) {
	for index := range manager.shardStates {
		if index >= shardCount {
			delete(manager.shardStates, index)
		}
	}
	if manager.shardCount > 0 {
		for _, index := range sortedIndexes(manager.shardStates) {
			if shard := manager.shardStates[index]; shard.isOwner {
				manager.takeOver(now, shard)
			}
		}
	}
	manager.shardCount = shardCount
}

// ReportReply is what a peer read of a server for an owner that could not; Error is empty if the report was read.
type ReportReply struct {
	Server      string              `json:"server"`
	RequestedAt time.Duration       `json:"asked"`
	Report      contract.LoadReport `json:"report"`
	Error       string              `json:"error,omitempty"`
}

// requestReportFromPeer asks the region's peers in turn to read a report that this node could not read. It returns false without peers.
func (manager *Manager) requestReportFromPeer(now time.Duration, server string) bool {
	peers := []contract.Member{}
	for _, member := range manager.clusterState.Members {
		if member.Kind == contract.KindControl && member.Region == manager.self.Region && member.Name != manager.self.Name {
			peers = append(peers, member)
		}
	}
	if len(peers) == 0 {
		return false
	}
	address := ""
	for _, row := range manager.listing.Servers {
		if row.Name == server {
			address = row.Address
		}
	}
	known := manager.servers[server]
	known.failures++
	manager.nextPeer++
	manager.emit(contract.AddCounter{Name: "reports_asked_around", Delta: 1}, contract.Send{To: peers[manager.nextPeer%len(peers)].Address, Kind: MessageReportRequest,
		Body: ReadReport{Server: server, Address: address, ReplyTo: manager.self.Address, RequestedAt: now}})
	return true
}

// handleReportExchange reads a report for a peer, or handles the report that a peer has read.
func (manager *Manager) handleReportExchange(now time.Duration, message contract.Message) {
	if message.Kind == MessageReportRequest {
		var request ReadReport
		if json.Unmarshal(message.Body, &request) == nil && request.ReplyTo != "" {
			manager.emit(request)
		}
		return
	}
	var reply ReportReply
	if json.Unmarshal(message.Body, &reply) == nil {
		manager.handleReport(now, ReportResult{Server: reply.Server, ViaPeer: true, ReadResult: retire.ReadResult{StartedAt: reply.RequestedAt, Report: reply.Report, Error: reply.Error}})
	}
}
