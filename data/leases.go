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

// grant is what this node holds of one shard: the newest lease and the highest epoch ever seen.
type grant struct {
	lease   contract.Lease
	highest contract.Epoch
	asked   time.Duration
	expires time.Duration
	hint    string
	detour  machine.RelayPath
}

func (owner *Owner) askLeases(now time.Duration) {
	if now < owner.nextAsk || !owner.Feed.Known() {
		return
	}
	owner.nextAsk = now + owner.Bounds.LeaseRenewal()
	region := owner.Self().Region
	members, shards := owner.Neighbours.Members(now), owner.shards()
	for index := 0; index < shards; index++ {
		held, there := owner.grants[index]
		if !there {
			held = &grant{}
			owner.grants[index] = held
		}
		targets := map[string]bool{held.hint: true, held.lease.Epoch.Node: true}
		first := shard.First(members, region, index)
		targets[first] = true
		ask := contract.LeaseRequest{Node: owner.Self().Name, Address: owner.Self().Address, Region: region, Shard: index,
			Asked: now, Highest: held.highest, Number: held.lease.Number, Shards: shards}
		ask.Calls, ask.Lingering = owner.callsOn(index)
		for _, name := range manifest.SortedKeys(targets) {
			if member, there := owner.Neighbours.Look(name); there && member.Kind == contract.KindControl && owner.Neighbours.Alive(now, name) {
				owner.emit(contract.Send{To: member.Address, Kind: shard.MessageAsk, Body: ask})
			}
		}
		owner.askByRelay(now, held, first, ask)
	}
}

// askByRelay asks a shard's first owner by way of other members when it has been silent for a third of a lease: a cut link between the
// two must not stop a shard.
func (owner *Owner) askByRelay(now time.Duration, held *grant, first string, ask contract.LeaseRequest) {
	silent := now-held.asked > owner.Bounds.Lease()/3
	target, there := owner.Neighbours.Look(first)
	if !there {
		return
	}
	if route, tried, needed := held.detour.Next(silent); needed {
		owner.emit(owner.SendByRelay(now, target, contract.Send{To: target.Address, Kind: shard.MessageAsk, Body: ask}, route, tried)...)
	}
}

func (owner *Owner) shards() int { return owner.Feed.Manifest().Regions[owner.Self().Region].Shards }

// callsOn counts what lies on the servers of a shard: this node's calls, and those that it gave up and that linger.
func (owner *Owner) callsOn(index int) (calls, lingering map[string]int64) {
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

// lease takes a pick list unless a higher epoch was seen; its life counts from this node's own asking.
func (owner *Owner) lease(now time.Duration, message contract.Message, lease contract.Lease) {
	held, there := owner.grants[lease.Shard]
	if !there || lease.Region != owner.Self().Region {
		return
	}
	if lease.Epoch.Before(held.highest) || lease.Shards != owner.shards() {
		owner.count("leases_refused")
		return
	}
	same := lease.Epoch == held.highest
	if lease.Asked > now || same && (lease.Number < held.lease.Number || lease.Asked < held.asked) {
		owner.count("leases_late")
		return
	}
	if now >= held.expires {
		owner.turned = map[string]rest{}
	}
	former := held.lease.Withdraw
	held.detour.RecordAnswer(message.Via, held.asked == lease.Asked)
	held.highest, held.lease, held.asked, held.hint = lease.Epoch, lease, lease.Asked, ""
	held.expires = lease.Asked + lease.Life
	for _, candidate := range lease.Servers {
		usage := owner.usages[candidate.Name]
		if usage.Report != candidate.Report {
			usage.Report, usage.AtReport = candidate.Report, usage.Own
			owner.usages[candidate.Name] = usage
		}
	}
	for _, name := range lease.Withdraw {
		if !slices.Contains(former, name) {
			owner.sessions.leave(name)
		}
	}
	owner.recall(lease.Recall)
	owner.serve(now)
}

func (owner *Owner) notOwner(hint contract.NotOwner) {
	if held, there := owner.grants[hint.Shard]; there && hint.Region == owner.Self().Region {
		held.hint = hint.Owner
	}
}

// candidates gives the servers under leases that have not lapsed, and the shards that cannot be picked from now.
func (owner *Owner) candidates(now time.Duration) ([]contract.Candidate, []int) {
	candidates, lapsed, shards, former := []contract.Candidate{}, []int{}, owner.shards(), false
	for _, held := range owner.grants {
		former = former || now < held.expires && held.lease.Shards != shards
	}
	for _, index := range owner.shardIndexes() {
		held := owner.grants[index]
		if now >= held.expires {
			if index < shards && !former {
				lapsed = append(lapsed, index)
			}
			continue
		}
		for _, candidate := range held.lease.Servers {
			if owner.grantOf(now, candidate.Name) == held {
				candidates = append(candidates, candidate)
			}
		}
	}
	return candidates, lapsed
}

// grantOf gives the grant that a server is picked under: that of the present division, or while there is none yet, what is
// left of a lease of the former one.
func (owner *Owner) grantOf(now time.Duration, server string) *grant {
	shards := owner.shards()
	held, there := owner.grants[contract.ShardOf(server, shards)]
	if there && now < held.expires && held.lease.Shards == shards {
		return held
	}
	for _, index := range owner.shardIndexes() {
		former := owner.grants[index]
		if now < former.expires && former.lease.Shards != shards && contract.ShardOf(server, former.lease.Shards) == index {
			return former
		}
	}
	return held
}

// leasedUntil tells until when a server may be sent what was picked for it.
func (owner *Owner) leasedUntil(now time.Duration, server string) time.Duration {
	if held := owner.grantOf(now, server); held != nil {
		return held.expires
	}
	return 0
}

func (owner *Owner) shardIndexes() []int {
	indexes := []int{}
	for index := range owner.grants {
		indexes = append(indexes, index)
	}
	sort.Ints(indexes)
	return indexes
}
