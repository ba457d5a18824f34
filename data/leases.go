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
// highest epoch ever seen. requestedAt is when that lease was requested, and hint the owner that another node named.
type shardLease struct {
	lease       contract.Lease
	highest     contract.Epoch
	requestedAt time.Duration
	expiresAt   time.Duration
	hint        string
	detour      machine.RelayPath
}

// requestLeases asks for a new lease of every shard in each interval. It asks the shard's first owner, the node of the last lease and
// the hinted owner.
func (owner *Owner) requestLeases(now time.Duration) {
	if now < owner.nextLeaseRequest || !owner.Feed.Known() {
		return
	}
	owner.nextLeaseRequest = now + owner.Bounds.LeaseRenewal()
	region := owner.Self().Region
	members, shards := owner.Neighbours.Members(now), owner.shards()
	for index := 0; index < shards; index++ {
		current, exists := owner.shardLeases[index]
		if !exists {
			current = &shardLease{}
			owner.shardLeases[index] = current
		}
		targets := map[string]bool{current.hint: true, current.lease.Epoch.Node: true}
		first := shard.PreferredOwner(members, region, index)
		targets[first] = true
		request := contract.LeaseRequest{Node: owner.Self().Name, Address: owner.Self().Address, Region: region, Shard: index,
			SentAt: now, HighestEpoch: current.highest, Number: current.lease.Number, ShardCount: shards}
		request.Calls, request.Abandoned = owner.callsOnShard(index)
		for _, name := range manifest.SortedKeys(targets) {
			if member, exists := owner.Neighbours.Lookup(name); exists && member.Kind == contract.KindControl && owner.Neighbours.Alive(now, name) {
				owner.emit(contract.Send{To: member.Address, Kind: shard.MessageLeaseRequest, Body: request})
			}
		}
		owner.requestByRelay(now, current, first, request)
	}
}

// requestByRelay asks a shard's first owner through other members after it was silent for a third of a lease, so that a broken link
// between the two nodes does not stop the shard.
func (owner *Owner) requestByRelay(now time.Duration, current *shardLease, first string, request contract.LeaseRequest) {
	silent := now-current.requestedAt > owner.Bounds.Lease()/3
	target, exists := owner.Neighbours.Lookup(first)
	if !exists {
		return
	}
	if route, tried, needed := current.detour.Next(silent); needed {
		owner.emit(owner.SendByRelay(now, target, contract.Send{To: target.Address, Kind: shard.MessageLeaseRequest, Body: request}, route, tried)...)
	}
}

// shards returns the number of shards of this node's region.
func (owner *Owner) shards() int { return owner.Feed.Manifest().Regions[owner.Self().Region].Shards }

// callsOnShard counts this node's calls per server of a shard: those that run, and abandoned ones that may still run.
func (owner *Owner) callsOnShard(index int) (calls, lingering map[string]int64) {
	shards := owner.shards()
	calls, lingering = map[string]int64{}, map[string]int64{}
	for name, usage := range owner.usages {
		if contract.ShardOf(name, shards) != index {
			continue
		}
		if usage.Own > 0 {
			calls[name] = usage.Own
		}
		if usage.Lingering > 0 {
			lingering[name] = usage.Lingering
		}
	}
	return calls, lingering
}

// lease takes up a shard's lease unless a higher epoch was seen. It expires Life after this node requested it, so that no clocks are
// compared. For each new load report of a server it notes how many of this node's calls the report already includes.
func (owner *Owner) lease(now time.Duration, message contract.Message, lease contract.Lease) {
	current, exists := owner.shardLeases[lease.Shard]
	if !exists || lease.Region != owner.Self().Region {
		return
	}
	if lease.Epoch.Before(current.highest) || lease.ShardCount != owner.shards() {
		owner.count("leases_refused")
		return
	}
	same := lease.Epoch == current.highest
	if lease.RequestSentAt > now || same && (lease.Number < current.lease.Number || lease.RequestSentAt < current.requestedAt) {
		owner.count("leases_late")
		return
	}
	if now >= current.expiresAt {
		owner.backoffs = map[string]backoff{}
	}
	previous := current.lease.Withdraw
	current.detour.RecordAnswer(message.ReturnRoute, current.requestedAt == lease.RequestSentAt)
	current.highest, current.lease, current.requestedAt, current.hint = lease.Epoch, lease, lease.RequestSentAt, ""
	current.expiresAt = lease.RequestSentAt + lease.Duration
	for _, candidate := range lease.Servers {
		usage := owner.usages[candidate.Name]
		if usage.Report != candidate.ReportNumber {
			usage.Report, usage.AtReport = candidate.ReportNumber, usage.Own
			owner.usages[candidate.Name] = usage
		}
	}
	for _, name := range lease.Withdraw {
		if !slices.Contains(previous, name) {
			owner.affinities.forgetServer(name)
		}
	}
	owner.recall(lease.Recall)
	owner.dispatchQueued(now)
}

// notOwner remembers the owner that a control-plane node named in place of itself.
func (owner *Owner) notOwner(hint contract.NotOwner) {
	if current, exists := owner.shardLeases[hint.Shard]; exists && hint.Region == owner.Self().Region {
		current.hint = hint.Owner
	}
}

// candidates returns the servers of all unexpired leases, and the shards whose lease has expired, whose servers can't be picked.
func (owner *Owner) candidates(now time.Duration) ([]contract.Candidate, []int) {
	candidates, lapsed, shards, previous := []contract.Candidate{}, []int{}, owner.shards(), false
	for _, current := range owner.shardLeases {
		previous = previous || now < current.expiresAt && current.lease.ShardCount != shards
	}
	for _, index := range owner.shardIndexes() {
		current := owner.shardLeases[index]
		if now >= current.expiresAt {
			if index < shards && !previous {
				lapsed = append(lapsed, index)
			}
			continue
		}
		for _, candidate := range current.lease.Servers {
			if owner.shardLeaseOf(now, candidate.Name) == current {
				candidates = append(candidates, candidate)
			}
		}
	}
	return candidates, lapsed
}

// shardLeaseOf returns the lease that a server is picked under. After a change of the number of shards, leases of the previous number
// stay in use until they expire or are replaced.
func (owner *Owner) shardLeaseOf(now time.Duration, server string) *shardLease {
	shards := owner.shards()
	current, exists := owner.shardLeases[contract.ShardOf(server, shards)]
	if exists && now < current.expiresAt && current.lease.ShardCount == shards {
		return current
	}
	for _, index := range owner.shardIndexes() {
		previous := owner.shardLeases[index]
		if now < previous.expiresAt && previous.lease.ShardCount != shards && contract.ShardOf(server, previous.lease.ShardCount) == index {
			return previous
		}
	}
	return current
}

// leaseExpiry returns until when a call may be sent to a server; 0 if there is no lease.
func (owner *Owner) leaseExpiry(now time.Duration, server string) time.Duration {
	if current := owner.shardLeaseOf(now, server); current != nil {
		return current.expiresAt
	}
	return 0
}

// shardIndexes returns the numbers of all known shards in ascending order.
func (owner *Owner) shardIndexes() []int {
	indexes := []int{}
	for index := range owner.shardLeases {
		indexes = append(indexes, index)
	}
	sort.Ints(indexes)
	return indexes
}
