package data

import (
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/manifest"
	mapset "github.com/deckarep/golang-set/v2"
)

// recordSearch asks the voters of a call in this region, and the data nodes of the witness region, for its idempotency record.
// waiting and witness are the nodes of the two groups that have not answered. confirmed are the voters, and witnessed is the number of
// witnesses, that have no record and would have one. complete is called once, with the record or whether the call is proven unseen.
type recordSearch struct {
	token     int64
	scopedKey string
	until     time.Duration
	waiting   mapset.Set[string]
	confirmed mapset.Set[string]
	witness   mapset.Set[string]
	witnessed int
	voters    []string
	record    *call.Record
	complete  func(now time.Duration, record *call.Record, unseen bool)
}

// searchRecord starts the search for the record of a call that was first sent age ago.
func (router *Router) searchRecord(now time.Duration, scopedKey string, age time.Duration, complete func(time.Duration, *call.Record, bool)) {
	router.lastSearchToken++
	voters := router.votersFor(scopedKey)
	search := &recordSearch{token: router.lastSearchToken, scopedKey: scopedKey, until: now + router.Bounds.ReplicationTimeout(), voters: voters, complete: complete,
		waiting: mapset.NewThreadUnsafeSet[string](), confirmed: mapset.NewThreadUnsafeSet[string](), witness: mapset.NewThreadUnsafeSet[string]()}
	router.searches[router.lastSearchToken] = search
	find := Find{Token: router.lastSearchToken, ScopedKey: scopedKey, Age: age, Address: router.Self().Address}
	for _, name := range voters {
		if name == router.Self().Name {
			if router.table.CoversAge(now, age) {
				search.confirmed.Add(name)
			}
			continue
		}
		if member, exists := router.Neighbours.Lookup(name); exists {
			search.waiting.Add(name)
			router.emit(contract.Send{To: member.Address, Kind: MessageFind, Body: find})
		}
	}
	witness := router.witnessNodes()
	for _, name := range manifest.SortedKeys(witness) {
		search.witness.Add(name)
		router.emit(contract.Send{To: witness[name].Address, Kind: MessageFind, Body: find})
	}
	router.concludeSearch(now, search)
}

// handleFind answers a peer's search.
func (router *Router) handleFind(now time.Duration, request Find) {
	found := FindReply{Token: request.Token, CoversAge: router.table.CoversAge(now, request.Age)}
	if record, exists := router.table.Find(now, request.ScopedKey); exists {
		found.Record = &record
	}
	router.emit(contract.Send{To: request.Address, Kind: MessageFindReply, Body: found})
}

// handleFindReply handles an answer to a search of this node. A record with a final outcome takes precedence over a running one.
func (router *Router) handleFindReply(now time.Duration, from string, findReply FindReply) {
	search, exists := router.searches[findReply.Token]
	witness := exists && search.witness.Contains(from)
	if !exists || !witness && !search.waiting.Contains(from) {
		return
	}
	search.waiting.Remove(from)
	search.witness.Remove(from)
	if findReply.Record != nil && findReply.Record.ScopedKey == search.scopedKey {
		if search.record == nil || search.record.Outcome == call.Running {
			search.record = findReply.Record
		}
	} else if findReply.CoversAge && witness {
		search.witnessed++
	} else if findReply.CoversAge {
		search.confirmed.Add(from)
	}
	router.concludeSearch(now, search)
}

// concludeSearch ends a search once a final record was found, all necessary answers came, or its time is over.
func (router *Router) concludeSearch(now time.Duration, search *recordSearch) {
	final := search.record != nil && search.record.Outcome != call.Running
	pending := search.waiting.Cardinality() > 0 || search.witness.Cardinality() > 0 && search.record == nil && !router.homeProvesUnseen(search)
	if !final && pending && now < search.until {
		return
	}
	delete(router.searches, search.token)
	search.complete(now, search.record, router.homeProvesUnseen(search) || router.witnessesProveUnseen(search))
}

// homeProvesUnseen reports whether this region's voters alone prove that the call was never dispatched. Every dispatch needs grants
// from at least half of them, so more than half without a record are proof.
func (router *Router) homeProvesUnseen(search *recordSearch) bool {
	return search.confirmed.Cardinality()*2 > len(search.voters)
}

// witnessesProveUnseen reports whether exactly half of the voters and a majority of the witness region prove it together: a dispatch
// with grants from just half of the voters needs a majority of the witness region too.
func (router *Router) witnessesProveUnseen(search *recordSearch) bool {
	return search.confirmed.Cardinality()*2 == len(search.voters) && router.witnessMajority(search.witnessed)
}

func (router *Router) expireSearches(now time.Duration) {
	tokens := []int64{}
	for token, search := range router.searches {
		if now >= search.until {
			tokens = append(tokens, token)
		}
	}
	slices.Sort(tokens)
	for _, token := range tokens {
		router.concludeSearch(now, router.searches[token])
	}
}

// startSearch looks for the record of a call that may have been sent before, and continues with what it finds.
func (router *Router) startSearch(now time.Duration, job *job) {
	job.phase, job.searched = phaseSearching, true
	router.searchRecord(now, job.call.ScopedKey(), job.call.Age, func(now time.Duration, record *call.Record, unseen bool) {
		if router.jobs[job.token] != job {
			return
		}
		switch {
		case record != nil:
			router.answerFromRecord(now, job, *record)
		case unseen:
			router.startClaim(now, job)
		default:
			router.fail(now, job, 503, call.Unknown, "too few of those who could know of this repeat remember", router.jitter(router.Bounds.Round()))
		}
	})
}

// look tells a caller what became of a call; the call's home region answers.
func (router *Router) queryOutcome(now time.Duration, event OutcomeQuery) {
	if router.forwardQuery(now, event) {
		return
	}
	scopedKey := call.Call{Caller: event.Caller, Key: event.Key}.ScopedKey()
	answer := func(now time.Duration, record *call.Record, unseen bool) {
		body := map[string]any{"outcome": call.Unknown}
		status := 200
		switch {
		case record != nil:
			body["outcome"], body["kept"] = record.Outcome, record.ReplyKept
			if record.Outcome == call.Running && (record.Remaining <= 0 || !router.stillRuns(now, *record)) {
				body["outcome"] = call.Unknown
			}
			if record.ReplyKept {
				body["pieces"] = record.Chunks
			}
		case unseen:
			status, body["outcome"] = 404, call.Unseen
		}
		router.emit(contract.Response{Token: event.Token, Status: status, Body: body})
	}
	if record, exists := router.table.Find(now, scopedKey); exists && record.Outcome != call.Running {
		answer(now, &record, false)
		return
	}
	router.searchRecord(now, scopedKey, 0, answer)
}
