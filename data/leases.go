package data

import (
	"slices"
	"sort"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/machine"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/shard"
)

// shardLease is this node's state for one shard of its region's servers: the newest lease, which lists the servers to pick from, and the
// highest epoch ever seen. requestedAt is when that lease was requested, ownerHint the owner that another node named.
type shardLease struct {
	lease        contract.Lease
	highestEpoch contract.Epoch
	requestedAt  time.Duration
	expiresAt    time.Duration
	ownerHint    string
	relayPath    machine.RelayPath
}

// requestLeases asks for a new lease of every shard in each interval. It asks the shard's first owner, the node of the last lease and
// the hinted owner.
func (router *Router) requestLeases(now time.Duration) {
	if now < router.nextLeaseRequest || !router.Feed.HasVersion() {
		return
	}
	router.nextLeaseRequest = now + router.Bounds.LeaseRenewal()
	region := router.Self().Region
	members, shards := router.Neighbours.Members(now), router.shardCount()
	for index := 0; index < shards; index++ {
		current, exists := router.shardLeases[index]
		if !exists {
			current = &shardLease{}
			router.shardLeases[index] = current
		}
		targets := map[string]bool{current.ownerHint: true, current.lease.Epoch.Node: true}
		first := shard.PreferredOwner(members, region, index)
		targets[first] = true
		request := contract.LeaseRequest{Node: router.Self().Name, Address: router.Self().Address, Region: region, Shard: index,
			SentAt: now, HighestEpoch: current.highestEpoch, Number: current.lease.Number, ShardCount: shards}
		request.Calls, request.Abandoned = router.callsOnShard(index)
		for _, name := range manifest.SortedKeys(targets) {
			if member, exists := router.Neighbours.Lookup(name); exists && member.Kind == contract.KindControl && router.Neighbours.Alive(now, name) {
				router.emit(contract.Send{To: member.Address, Kind: shard.MessageLeaseRequest, Body: request})
			}
		}
		router.requestByRelay(now, current, first, request)
	}
}

// requestByRelay asks a shard's first owner through other members after it was silent for a third of a lease, so that a broken link
// between the two nodes does not stop the shard.
func (router *Router) requestByRelay(now time.Duration, current *shardLease, first string, request contract.LeaseRequest) {
	silent := now-current.requestedAt > router.Bounds.Lease()/3
	target, exists := router.Neighbours.Lookup(first)
	if !exists {
		return
	}
	if route, tried, needed := current.relayPath.Next(silent); needed {
		router.emit(router.SendByRelay(now, target, contract.Send{To: target.Address, Kind: shard.MessageLeaseRequest, Body: request}, route, tried)...)
	}
}

// shardCount returns the number of shards of this node's region.
func (router *Router) shardCount() int {
	return router.Feed.Manifest().Regions[router.Self().Region].Shards
}

// callsOnShard counts this node's calls per server of a shard: those that run, and abandoned ones that may still run.
func (router *Router) callsOnShard(index int) (calls, lingering map[string]int64) {
	shards := router.shardCount()
	calls, lingering = map[string]int64{}, map[string]int64{}
	for name, usage := range router.usages {
		if contract.ShardOf(name, shards) != index {
			continue
		}
		if usage.InFlight > 0 {
			calls[name] = usage.InFlight
		}
		if usage.Lingering > 0 {
			lingering[name] = usage.Lingering
		}
	}
	return calls, lingering
}

// handleLease takes up a shard's lease unless a higher epoch was seen. It expires Life after this node requested it, so that no clocks are
// compared. For each new load report of a server it notes how many of this node's calls the report already includes.
func (router *Router) handleLease(now time.Duration, message contract.Message, lease contract.Lease) {
	current, exists := router.shardLeases[lease.Shard]
	if !exists || lease.Region != router.Self().Region {
		return
	}
	if lease.Epoch.Before(current.highestEpoch) || lease.ShardCount != router.shardCount() {
		router.count("leases_refused")
		return
	}
	same := lease.Epoch == current.highestEpoch
	if lease.RequestSentAt > now || same && (lease.Number < current.lease.Number || lease.RequestSentAt < current.requestedAt) {
		router.count("leases_late")
		return
	}
	if now >= current.expiresAt {
		router.backoffs = map[string]backoff{}
	}
	previous := current.lease.Withdraw
	current.relayPath.RecordAnswer(message.ReturnRoute, current.requestedAt == lease.RequestSentAt)
	current.highestEpoch, current.lease, current.requestedAt, current.ownerHint = lease.Epoch, lease, lease.RequestSentAt, ""
	current.expiresAt = lease.RequestSentAt + lease.Duration
	for _, candidate := range lease.Servers {
		usage := router.usages[candidate.Name]
		if usage.Report != candidate.ReportNumber {
			usage.Report, usage.InFlightAtReport = candidate.ReportNumber, usage.InFlight
			router.usages[candidate.Name] = usage
		}
	}
	for _, name := range lease.Withdraw {
		if !slices.Contains(previous, name) {
			router.affinities.forgetServer(name)
		}
	}
	router.recall(lease.Recall)
	router.dispatchQueued(now)
}

// handleNotOwner remembers the owner that a control-plane node named in place of itself.
func (router *Router) handleNotOwner(hint contract.NotOwner) {
	if current, exists := router.shardLeases[hint.Shard]; exists && hint.Region == router.Self().Region {
		current.ownerHint = hint.Owner
	}
}

// candidates returns the servers of all unexpired leases, and the shards whose lease has expired, whose servers can't be picked.
func (router *Router) candidates(now time.Duration) ([]contract.Candidate, []int) {
	candidates, lapsed, shards, previous := []contract.Candidate{}, []int{}, router.shardCount(), false
	for _, current := range router.shardLeases {
		previous = previous || now < current.expiresAt && current.lease.ShardCount != shards
	}
	for _, index := range router.shardIndexes() {
		current := router.shardLeases[index]
		if now >= current.expiresAt {
			if index < shards && !previous {
				lapsed = append(lapsed, index)
			}
			continue
		}
		for _, candidate := range current.lease.Servers {
			if router.shardLeaseOf(now, candidate.Name) == current {
				candidates = append(candidates, candidate)
			}
		}
	}
	return candidates, lapsed
}

// shardLeaseOf returns the lease that a server is picked under. After a change of the number of shards, leases of the previous number
// stay in use until they expire or are replaced.
func (router *Router) shardLeaseOf(now time.Duration, server string) *shardLease {
	shards := router.shardCount()
	current, exists := router.shardLeases[contract.ShardOf(server, shards)]
	if exists && now < current.expiresAt && current.lease.ShardCount == shards {
		return current
	}
	for _, index := range router.shardIndexes() {
		previous := router.shardLeases[index]
		if now < previous.expiresAt && previous.lease.ShardCount != shards && contract.ShardOf(server, previous.lease.ShardCount) == index {
			return previous
		}
	}
	return current
}

// leaseExpiry returns until when a call may be sent to a server; 0 if there is no lease.
func (router *Router) leaseExpiry(now time.Duration, server string) time.Duration {
	if current := router.shardLeaseOf(now, server); current != nil {
		return current.expiresAt
	}
	return 0
}

// shardIndexes returns the numbers of all known shards in ascending order.
func (router *Router) shardIndexes() []int {
	indexes := []int{}
	for index := range router.shardLeases {
		indexes = append(indexes, index)
	}
	sort.Ints(indexes)
	return indexes
}
