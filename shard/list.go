package shard

import (
	"strconv"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/retire"
)

// eligible gives the servers of a shard that may take new work now.
func (owner *Owner) eligible(now time.Duration, held *duty) []contract.ServerRow {
	rows := []contract.ServerRow{}
	for _, row := range owner.mine(held) {
		known := owner.servers[row.Name]
		_, retiring := held.retirements[row.Name]
		_, pooled := owner.seen.Manifest.Pools[row.Pool]
		_, serves := owner.seen.Manifest.Gateway.Services[row.Pool]
		released := held.released[row.Name] == row.Incarnation
		if row.Leaving || row.Unloaded || retiring || released || !pooled && !serves || owner.drained(row.Zone) {
			continue
		}
		if !row.Unmeasured && (!known.good || known.failures >= darkAfter) {
			continue
		}
		rows = append(rows, row)
	}
	return rows
}

func (owner *Owner) drained(zone string) bool {
	_, early := owner.withdrawn[zone]
	return early || owner.seen.Manifest.Drained(zone)
}

// renumber raises the list's number whenever its set of servers or their condition changed.
func (owner *Owner) renumber(now time.Duration, held *duty) {
	names := []string{}
	held.rows, held.numbered = owner.eligible(now, held), owner.changes
	for _, row := range held.rows {
		name := row.Name + "@" + row.Incarnation
		if now < owner.servers[row.Name].warmUntil {
			name += "~"
		}
		if count := owner.servers[row.Name].cache; count > 0 {
			name += "#" + strconv.FormatInt(count, 10)
		}
		if watched, suspected, ill := held.conditionOf(now, row.Name); watched {
			name += "!" + strconv.FormatBool(suspected) + strconv.FormatInt(ill, 10)
		}
		names = append(names, name)
	}
	list := strings.Join(names, ",")
	if list != held.list || held.number == 0 {
		held.list = list
		held.number++
	}
}

// throwIndex has all nodes throw away what they presume of servers whose index one of them found wrong: once for one count, and not
// again before the nodes could know.
func (owner *Owner) throwIndex(now time.Duration, stale map[string]int64) {
	for name, count := range stale {
		known, there := owner.servers[name]
		if !there || known.cache > count || known.cacheAt > 0 && now-known.cacheAt < owner.bounds.Withdraw() {
			continue
		}
		known.cache, known.cacheAt = max(known.cache, count)+1, now
		owner.changes++
		owner.emit(contract.Count{Name: "cache_indexes_thrown", By: 1}, contract.Say{What: "cache index thrown away", Detail: []any{"server", name, "count", known.cache}})
	}
}

func (owner *Owner) ask(now time.Duration, ask contract.LeaseRequest) {
	held, there := owner.duties[ask.Shard]
	if !there || ask.Shards != owner.shards {
		owner.emit(contract.Send{To: ask.Address, Kind: MessageNotOwner, Body: contract.NotOwner{Region: ask.Region, Shard: ask.Shard}})
		return
	}
	if held.highest.Before(ask.Highest) {
		held.highest = ask.Highest
		if held.owning {
			held.owning, held.firstSince = false, now
			owner.emit(contract.Count{Name: "superseded", By: 1})
		}
	}
	if !held.owning || !owner.fresh(now) || owner.first(held.index) != owner.self.Name {
		owner.emit(contract.Send{To: ask.Address, Kind: MessageNotOwner,
			Body: contract.NotOwner{Region: ask.Region, Shard: ask.Shard, Owner: owner.first(held.index)}})
		owner.interim(now, held, ask)
		owner.notices(now, held, ask)
		return
	}
	owner.throwIndex(now, ask.Stale)
	if held.numbered != owner.changes {
		owner.renumber(now, held)
	}
	word := retire.Word{Told: now, Granted: now}
	if ask.Highest == held.epoch {
		word.Number = ask.Number
	}
	held.tallies[ask.Node] = ask.Tallies
	held.observations.tell(ask.Node, ask.Observed)
	held.words[ask.Node], held.calls[ask.Node], held.lingering[ask.Node] = word, ask.Calls, ask.Lingering
	lease := contract.Lease{Region: ask.Region, Shard: ask.Shard, Asked: ask.Asked, Epoch: held.epoch, Number: held.number,
		Life: owner.bounds.Lease(), Revision: owner.seen.Revision, Shards: owner.shards, Observed: owner.observed(now, held)}
	lease.Same = ask.Brief && ask.Highest == held.epoch && ask.Number == held.number
	for _, row := range held.rows {
		if lease.Same {
			break
		}
		lease.Servers = append(lease.Servers, owner.candidate(now, held, row, owner.share(now, held, row, ask.Node)))
	}
	for _, name := range manifest.SortedKeys(held.retirements) {
		lease.Withdraw = append(lease.Withdraw, name)
		if held.retirements[name].Recalls() {
			lease.Recall = append(lease.Recall, name)
		}
	}
	owner.emit(contract.Send{To: ask.Address, Kind: MessageLease, Body: lease})
}

func (owner *Owner) candidate(now time.Duration, held *duty, row contract.ServerRow, share int64) contract.Candidate {
	known := owner.servers[row.Name]
	watched, suspected, ill := held.conditionOf(now, row.Name)
	return contract.Candidate{Name: row.Name, Address: row.Address, Zone: row.Zone, Pool: row.Pool,
		Incarnation: row.Incarnation, Slots: owner.seen.Manifest.Pools[row.Pool].Slots, Share: share,
		Running: known.report.Running, Waiting: known.report.Waiting, Report: known.report.Number, Prefixes: known.report.Prefixes,
		Cache: known.cache, Watched: watched, Suspected: suspected, Ill: ill, WarmMs: max(0, (known.warmUntil - now).Milliseconds())}
}

// interim gives a node that has no list yet what the platform lists here, while the owner is not found: without an epoch, so that any
// owner's list replaces it. Only for nodes that go on by their last list whether a lease stands or not.
func (owner *Owner) interim(now time.Duration, held *duty, ask contract.LeaseRequest) {
	if !owner.prompt || !ask.Interim || !owner.fresh(now) {
		return
	}
	lease := contract.Lease{Region: ask.Region, Shard: ask.Shard, Asked: ask.Asked, Shards: owner.shards, Interim: true}
	for _, row := range owner.eligible(now, held) {
		lease.Servers = append(lease.Servers, owner.candidate(now, held, row, -1))
	}
	owner.emit(contract.Count{Name: "lists_interim", By: 1}, contract.Send{To: ask.Address, Kind: MessageLease, Body: lease})
}

// notices tells a node whose list nobody confirms which servers leave, by this node's own listing: a second way beside the owner, so that
// a cut or a relay that fails keeps no node sending to them.
func (owner *Owner) notices(now time.Duration, held *duty, ask contract.LeaseRequest) {
	if !owner.prompt || !ask.Notices || !owner.fresh(now) {
		return
	}
	told := contract.Notices{Region: ask.Region, Shard: ask.Shard}
	for _, row := range owner.mine(held) {
		if row.Leaving {
			told.Leaving = append(told.Leaving, row.Name)
		}
	}
	if len(told.Leaving) > 0 {
		owner.emit(contract.Count{Name: "notices_told", By: 1}, contract.Send{To: ask.Address, Kind: MessageNotices, Body: told})
	}
}

// share is this node's part of a cold server's ramp. What others were given and still hold, or still run, is taken off first,
// so the parts never add up to more than the ramp. Below zero means no bound. Right after a take-over nothing is given: leases
// of the former owner may still stand.
func (owner *Owner) share(now time.Duration, held *duty, row contract.ServerRow, node string) int64 {
	known := owner.servers[row.Name]
	ramp := owner.seen.Manifest.Retirement.Ramp
	if !known.ramping || now-known.rampFrom >= ramp {
		known.ramping = false
		delete(held.shares, row.Name)
		return -1
	}
	if now-held.taken < owner.bounds.Lease() {
		return 0
	}
	slots := owner.seen.Manifest.Pools[row.Pool].Slots
	names, others := owner.othersOn(now, held, row.Name, node)
	open := owner.part(max(1, slots*int64(now-known.rampFrom)/int64(ramp)), len(names))
	count := int64(len(names))
	part := int64(0)
	for place, name := range contract.Ordered("ramp/"+row.Name, names) {
		if name == node {
			part = open / count
			if int64(place) < open%count {
				part++
			}
		}
	}
	part = min(part, max(0, open-others))
	if held.shares[row.Name] == nil {
		held.shares[row.Name] = map[string]int64{}
	}
	held.shares[row.Name][node] = part
	return part
}

// part is what of a ramp an owner may hand out that hears so many of its region's data nodes: those that it does not hear may
// have an owner of their own. Where the part is less than one call, the owner that hears most of them has it.
func (owner *Owner) part(open int64, heard int) int64 {
	roster := max(heard, len(owner.seen.Manifest.Regions[owner.self.Region].Machines))
	share := open * int64(heard) / int64(roster)
	if share == 0 && heard*2 > roster {
		return 1
	}
	return share
}

// othersOn gives the nodes whose leases stand, and what all but one of them have, or may have, on a server. A node that is not
// heard any more may run what it began under its last lease: that counts in full until a later report of the server, and then as
// far as the report shows more than the others tell of. An owner that is new knows of no such nodes and goes by the report.
func (owner *Owner) othersOn(now time.Duration, held *duty, server, node string) (names []string, others int64) {
	known, told, unheard := owner.servers[server], int64(0), int64(0)
	for _, name := range manifest.SortedKeys(held.words) {
		lying := held.calls[name][server] + held.lingering[name][server]
		most, lapses := max(held.shares[server][name], lying), held.words[name].Granted+owner.bounds.Lease()
		switch {
		case now < lapses:
			names, told = append(names, name), told+lying
			if name != node {
				others += most
			}
		case known.sampled <= lapses+owner.bounds.LeaseRenewal():
			others += most
		default:
			unheard += most
		}
	}
	if now-held.taken < owner.seen.Manifest.Retirement.Ramp {
		unheard = known.report.Running + known.report.Waiting
	}
	return names, others + min(unheard, max(0, known.report.Running+known.report.Waiting-told))
}

func (owner *Owner) withdraw(now time.Duration, order Withdraw) {
	if order.Region != owner.self.Region {
		return
	}
	owner.withdrawn[order.Zone] = now + owner.bounds.Deliver()*2
	answer := Withdrawn{Token: order.Token}
	for _, index := range manifestOrder(owner.duties) {
		held := owner.duties[index]
		if held.owning && owner.first(index) == owner.self.Name {
			owner.renumber(now, held)
			answer.Shards = append(answer.Shards, index)
		}
	}
	owner.emit(contract.Send{To: order.Address, Kind: MessageWithdrawn, Body: answer})
}
