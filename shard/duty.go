package shard

import (
	"sort"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/retire"
)

const pastSize = 64

// Retired is a retirement as operators see it.
type Retired struct {
	Server string       `json:"server"`
	Shard  int          `json:"shard"`
	Region string       `json:"region"`
	Cause  retire.Cause `json:"cause"`
	State  retire.State `json:"state"`
	Reason string       `json:"reason"`
	Epoch  int64        `json:"epoch"`
	Tries  int          `json:"tries"`
	AgeMs  int64        `json:"ageMs"`
}

type Status struct {
	Region  string    `json:"region"`
	Shard   int       `json:"shard"`
	Owner   string    `json:"owner"`
	Epoch   int64     `json:"epoch"`
	Number  int64     `json:"number"`
	Servers []string  `json:"servers"`
	Retired []Retired `json:"retired"`
}

// surplus names the loaded servers that the manifest's scale does not want, and the unloaded ones that it does.
func (owner *Owner) surplus() (map[string]retire.Cause, map[string]bool) {
	causes, wanted := map[string]retire.Cause{}, map[string]bool{}
	pools := map[string][]contract.ServerRow{}
	for _, row := range owner.listing.Servers {
		if !row.Leaving && !owner.drained(row.Zone) {
			pools[row.Pool] = append(pools[row.Pool], row)
		}
	}
	for _, name := range manifest.SortedKeys(pools) {
		pool, there := owner.seen.Manifest.Pools[name]
		if !there {
			continue
		}
		rows := pools[name]
		sort.Slice(rows, func(left, right int) bool { return rows[left].Name < rows[right].Name })
		for place, row := range rows {
			inside := pool.Scale < 0 || int64(place) < pool.Scale
			switch {
			case inside && row.Unloaded:
				wanted[row.Name] = true
			case !inside && !row.Unloaded && pool.Scale == 0:
				causes[row.Name] = retire.ScaleZero
			case !inside && !row.Unloaded:
				causes[row.Name] = retire.ScaleDown
			}
		}
	}
	return causes, wanted
}

func (owner *Owner) retireAll(now time.Duration, held *duty) {
	surplus, wanted := owner.surplus()
	present := map[string]bool{}
	for _, row := range owner.mine(held) {
		present[row.Name] = true
		if wanted[row.Name] {
			owner.orderOnce(now, held, row.Name, true)
			continue
		}
		cause, leaving := surplus[row.Name]
		if owner.drained(row.Zone) && !row.Unloaded {
			cause, leaving = retire.Drain, true
		}
		if row.Leaving {
			cause, leaving = retire.Reclaim, true
		}
		owner.retireOne(now, held, row, cause, leaving)
	}
	for _, name := range manifest.SortedKeys(held.retirements) {
		retirement := held.retirements[name]
		if !present[name] {
			owner.end(now, held, retirement, "the platform no longer lists it")
			continue
		}
		owner.step(now, held, retirement)
	}
}

func (owner *Owner) retireOne(now time.Duration, held *duty, row contract.ServerRow, cause retire.Cause, leaving bool) {
	known := owner.servers[row.Name]
	retirement, running := held.retirements[row.Name]
	if !leaving || row.Unloaded {
		delete(held.aborted, row.Name)
		if held.released[row.Name] == row.Incarnation && !row.Unloaded {
			delete(held.released, row.Name)
			known.ramping, known.rampFrom = true, now
		}
		if running {
			owner.end(now, held, retirement, "its cause is over")
			known.ramping, known.rampFrom = true, now
		}
		return
	}
	if held.released[row.Name] == row.Incarnation {
		owner.orderOnce(now, held, row.Name, false)
		return
	}
	remaining := time.Duration(row.RemainingMs) * time.Millisecond
	if running && retirement.Cause == cause {
		if remaining > 0 {
			retirement.Shorten(owner.listedAt + remaining)
		}
		return
	}
	pool := owner.seen.Manifest.Pools[row.Pool]
	if scale, there := held.aborted[row.Name]; there && cause == retire.ScaleDown && scale == pool.Scale {
		return
	}
	if running {
		owner.end(now, held, retirement, "a stronger cause came")
	}
	terms := retire.Terms{Retirement: owner.seen.Manifest.Retirement, Lease: owner.bounds.Lease(), Link: owner.bounds.LeaseRenewal(), Remaining: remaining}
	held.retirements[row.Name] = retire.New(now, row.Name, row.Incarnation, cause, held.number+1, terms)
	owner.emit(contract.Count{Name: "retirements", By: 1}, contract.Say{What: "withdrawn", Detail: []any{"server", row.Name, "cause", cause}})
	owner.renumber(now, held)
	held.retirements[row.Name].Number = held.number
}

func (owner *Owner) step(now time.Duration, held *duty, retirement *retire.Retirement) {
	facts := retire.Facts{Words: map[string]retire.Word{}}
	for node, word := range held.words {
		if now-word.Granted > owner.bounds.Return() {
			continue
		}
		word.Calls = held.calls[node][retirement.Server]
		facts.Words[node] = word
	}
	read, over := retirement.Step(now, facts)
	if over && retirement.State == retire.Released {
		owner.release(now, held, retirement)
		return
	}
	if over {
		pool := ""
		for _, row := range owner.listing.Servers {
			if row.Name == retirement.Server {
				pool = row.Pool
			}
		}
		held.aborted[retirement.Server] = owner.seen.Manifest.Pools[pool].Scale
		owner.emit(contract.Count{Name: "retirements_aborted", By: 1})
		owner.end(now, held, retirement, retirement.Reason)
		return
	}
	if known := owner.servers[retirement.Server]; read && known != nil {
		known.nextRead = now
	}
}

func (owner *Owner) release(now time.Duration, held *duty, retirement *retire.Retirement) {
	held.released[retirement.Server] = retirement.Incarnation
	owner.emit(contract.Count{Name: "retirements_released", By: 1})
	owner.end(now, held, retirement, retirement.Reason)
	owner.orderOnce(now, held, retirement.Server, false)
}

func (owner *Owner) end(now time.Duration, held *duty, retirement *retire.Retirement, why string) {
	delete(held.retirements, retirement.Server)
	entry := owner.retired(now, held, retirement)
	entry.Reason = why
	held.past = append(held.past, entry)
	if len(held.past) > pastSize {
		held.past = held.past[1:]
	}
	owner.emit(contract.Say{What: "retirement over", Detail: []any{"server", retirement.Server, "state", retirement.State, "why", why}})
}

func (owner *Owner) orderOnce(now time.Duration, held *duty, server string, load bool) {
	known := owner.servers[server]
	if known == nil || now-known.orderedAt < owner.bounds.PlatformPoll()*2 {
		return
	}
	known.orderedAt = now
	owner.emit(Order{Server: server, Shard: held.index, Load: load, Epoch: held.epoch})
}

func (owner *Owner) retired(now time.Duration, held *duty, retirement *retire.Retirement) Retired {
	return Retired{Server: retirement.Server, Shard: held.index, Region: owner.self.Region, Cause: retirement.Cause, State: retirement.State,
		Reason: retirement.Reason, Epoch: held.epoch.Number, Tries: retirement.Tries, AgeMs: (now - retirement.Since).Milliseconds()}
}

func (owner *Owner) Status(now time.Duration) []Status {
	statuses := []Status{}
	for _, index := range manifestOrder(owner.duties) {
		held := owner.duties[index]
		if !held.owning {
			continue
		}
		status := Status{Region: owner.self.Region, Shard: index, Owner: owner.self.Name, Epoch: held.epoch.Number, Number: held.number,
			Servers: []string{}, Retired: []Retired{}}
		for _, row := range owner.eligible(now, held) {
			status.Servers = append(status.Servers, row.Name)
		}
		for _, name := range manifest.SortedKeys(held.retirements) {
			status.Retired = append(status.Retired, owner.retired(now, held, held.retirements[name]))
		}
		status.Retired = append(status.Retired, held.past...)
		statuses = append(statuses, status)
	}
	return statuses
}
