package data

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	mapset "github.com/deckarep/golang-set/v2"
)

// find asks every data node of the region that could know of a call, and those of the outer region.
type find struct {
	token    int64
	scoped   string
	until    time.Duration
	waiting  mapset.Set[string]
	firm     mapset.Set[string]
	outer    mapset.Set[string]
	vouched  int
	voters   []string
	record   *call.Record
	complete func(now time.Duration, record *call.Record, never bool)
}

func (owner *Owner) findAll(now time.Duration, scoped string, age time.Duration, complete func(time.Duration, *call.Record, bool)) {
	owner.token++
	voters := owner.votersOf(scoped)
	search := &find{token: owner.token, scoped: scoped, until: now + owner.Bounds.ReplicationTimeout(), voters: voters, complete: complete,
		waiting: mapset.NewThreadUnsafeSet[string](), firm: mapset.NewThreadUnsafeSet[string](), outer: mapset.NewThreadUnsafeSet[string]()}
	owner.finds[owner.token] = search
	ask := Find{Token: owner.token, ScopedKey: scoped, Age: age, Address: owner.Self().Address}
	for _, name := range voters {
		if name == owner.Self().Name {
			if owner.table.CoversAge(now, age) {
				search.firm.Add(name)
			}
			continue
		}
		if member, there := owner.Neighbours.Look(name); there {
			search.waiting.Add(name)
			owner.emit(contract.Send{To: member.Address, Kind: MessageFind, Body: ask})
		}
	}
	outer := owner.outerNodes()
	for _, name := range manifest.SortedKeys(outer) {
		search.outer.Add(name)
		owner.emit(contract.Send{To: outer[name].Address, Kind: MessageFind, Body: ask})
	}
	owner.concludeFind(now, search)
}

func (owner *Owner) find(now time.Duration, ask Find) {
	found := Found{Token: ask.Token, CoversAge: owner.table.CoversAge(now, ask.Age)}
	if record, there := owner.table.Find(now, ask.ScopedKey); there {
		found.Record = &record
	}
	owner.emit(contract.Send{To: ask.Address, Kind: MessageFound, Body: found})
}

func (owner *Owner) found(now time.Duration, from string, found Found) {
	search, there := owner.finds[found.Token]
	outer := there && search.outer.Contains(from)
	if !there || !outer && !search.waiting.Contains(from) {
		return
	}
	search.waiting.Remove(from)
	search.outer.Remove(from)
	if found.Record != nil && found.Record.ScopedKey == search.scoped {
		if search.record == nil || search.record.Outcome == call.Running {
			search.record = found.Record
		}
	} else if found.CoversAge && outer {
		search.vouched++
	} else if found.CoversAge {
		search.firm.Add(from)
	}
	owner.concludeFind(now, search)
}

// concludeFind ends a search when its time is over, or all answered whose word it needs.
func (owner *Owner) concludeFind(now time.Duration, search *find) {
	settled := search.record != nil && search.record.Outcome != call.Running
	waits := search.waiting.Cardinality() > 0 || search.outer.Cardinality() > 0 && search.record == nil && !owner.provesAlone(search)
	if !settled && waits && now < search.until {
		return
	}
	delete(owner.finds, search.token)
	search.complete(now, search.record, owner.provesAlone(search) || owner.proves(search))
}

// provesAlone tells whether the home region proves "never seen": every dispatch was granted by half of its voters at least, so more
// than half of them will do.
func (owner *Owner) provesAlone(search *find) bool {
	return search.firm.Cardinality()*2 > len(search.voters)
}

// proves tells whether it does together with the outer region: a dispatch that was granted by just half had most of that too.
func (owner *Owner) proves(search *find) bool {
	return search.firm.Cardinality()*2 == len(search.voters) && owner.most(search.vouched)
}

func (owner *Owner) tickFinds(now time.Duration) {
	tokens := []int64{}
	for token, search := range owner.finds {
		if now >= search.until {
			tokens = append(tokens, token)
		}
	}
	slices.Sort(tokens)
	for _, token := range tokens {
		owner.concludeFind(now, owner.finds[token])
	}
}

func (owner *Owner) startFind(now time.Duration, job *job) {
	job.phase, job.searched = phaseFinding, true
	owner.findAll(now, job.call.ScopedKey(), job.call.Age, func(now time.Duration, record *call.Record, never bool) {
		if owner.jobs[job.token] != job {
			return
		}
		switch {
		case record != nil:
			owner.meet(now, job, *record)
		case never:
			owner.startHold(now, job)
		default:
			owner.trouble(now, job, 503, call.Unknown, "too few of those who could know of this repeat remember", owner.jitter(owner.Bounds.Round()))
		}
	})
}

// look tells a caller what became of a call.
func (owner *Owner) look(now time.Duration, event Look) {
	if owner.lookAway(now, event) {
		return
	}
	scoped := call.Call{Caller: event.Caller, Key: event.Key}.ScopedKey()
	answer := func(now time.Duration, record *call.Record, never bool) {
		body := map[string]any{"outcome": call.Unknown}
		status := 200
		switch {
		case record != nil:
			body["outcome"], body["kept"] = record.Outcome, record.ReplyKept
			if record.Outcome == call.Running && (record.Remaining <= 0 || !owner.stillRuns(now, *record)) {
				body["outcome"] = call.Unknown
			}
			if record.ReplyKept {
				body["pieces"] = record.Chunks
			}
		case never:
			status, body["outcome"] = 404, call.Unseen
		}
		owner.emit(contract.Answer{Token: event.Token, Status: status, Body: body})
	}
	if record, there := owner.table.Find(now, scoped); there && record.Outcome != call.Running {
		answer(now, &record, false)
		return
	}
	owner.findAll(now, scoped, 0, answer)
}
