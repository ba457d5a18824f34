package chain

import (
	"sort"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

type Pass struct {
	View      int64              `json:"view"`
	Versions  []contract.Version `json:"versions"`
	Previous  int64              `json:"previous"`
	Committed int64              `json:"committed"`
	Top       int64              `json:"top"`
}

type Done struct {
	View     int64  `json:"view"`
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Settled tells that the tail has all that its head had when the view began.
	Settled bool `json:"settled"`
}

// Open tells whether this node may number a write now.
func (owner *Owner) Open() bool {
	if !owner.IsHead() || owner.sealed || !owner.fit || len(owner.view.Chain) < 2 || len(owner.jobs) >= 4*batchSize {
		return false
	}
	for _, identity := range owner.view.Chain {
		node, there := owner.view.Node(identity)
		if !there || !owner.aliveCore(node) || !owner.fitCore(node) {
			return false
		}
	}
	return true
}

func (owner *Owner) Latest() (contract.Version, bool) {
	for revision := owner.assigned; revision > 0 && revision > owner.assigned-owner.bounds.History; revision-- {
		if version, there := owner.versions[revision]; there {
			return version, true
		}
	}
	return contract.Version{}, owner.assigned == 0
}

func (owner *Owner) Version(revision int64) (contract.Version, bool) {
	version, there := owner.versions[revision]
	return version, there && revision <= owner.committed
}

// Submit numbers a manifest at the head; it counts as accepted only with the Committed command that follows.
func (owner *Owner) Submit(now time.Duration, operation string, content []byte) (contract.Version, []contract.Command) {
	owner.out = nil
	highest := owner.assigned
	for _, member := range owner.seen.Members {
		highest = max(highest, member.Place.Revision)
	}
	version := contract.Version{Place: contract.Place{View: owner.view.Number, Revision: highest + 1}, Operation: operation,
		Digest: contract.Digest(content), Manifest: content}
	owner.assigned = version.Place.Revision
	owner.versions[owner.assigned] = version
	number := owner.view.Number
	owner.persist(now, job{versions: []contract.Version{version}, after: func(now time.Duration) {
		if owner.view.Number == number && !owner.sealed {
			owner.top = max(owner.top, version.Place.Revision)
			owner.passOn(owner.sheet([]contract.Version{version}))
		}
	}})
	out := owner.out
	owner.out = nil
	return version, out
}

// sheet is what the head passes down: versions, and how far it is itself.
func (owner *Owner) sheet(versions []contract.Version) Pass {
	pass := Pass{View: owner.view.Number, Versions: versions, Previous: owner.top, Committed: owner.committed, Top: owner.top}
	if len(versions) > 0 {
		pass.Previous = owner.before(versions[0].Place.Revision)
	}
	return pass
}

func (owner *Owner) passOn(pass Pass) {
	rank := owner.rank()
	if rank < 0 || rank == len(owner.view.Chain)-1 {
		return
	}
	if next, there := owner.view.Node(owner.view.Chain[rank+1]); there {
		owner.send(next, LetterPass, pass)
	}
}

func (owner *Owner) before(revision int64) int64 {
	for previous := revision - 1; previous > 0 && previous > revision-owner.bounds.History; previous-- {
		if _, there := owner.versions[previous]; there {
			return previous
		}
	}
	return 0
}

func (owner *Owner) pass(now time.Duration, from string, pass Pass) {
	rank := owner.rank()
	if pass.View != owner.view.Number || owner.sealed || rank < 1 || owner.view.Chain[rank-1] != from {
		owner.emit(contract.Count{Name: "passes_refused", By: 1})
		return
	}
	if _, there := owner.versions[pass.Previous]; pass.Previous > 0 && (!there || pass.Previous > owner.top) {
		owner.emit(contract.Count{Name: "passes_early", By: 1})
		return
	}
	fresh := []contract.Version{}
	for _, version := range pass.Versions {
		held, there := owner.versions[version.Place.Revision]
		if there && held.Digest == version.Digest && held.Place == version.Place && version.Place.Revision <= owner.top {
			continue
		}
		if there && held.Digest != version.Digest && version.Place.Revision <= owner.committed {
			owner.emit(contract.Count{Name: "committed_conflicts", By: 1}, contract.Say{What: "pass against a committed version", Detail: []any{"revision", version.Place.Revision}})
			return
		}
		fresh = append(fresh, version)
	}
	number := owner.view.Number
	arrived := func(now time.Duration) {
		if owner.view.Number != number || owner.sealed {
			return
		}
		for _, version := range fresh {
			owner.install(version)
		}
		owner.settle(min(pass.Committed, owner.top))
		if !owner.IsTail() {
			owner.passOn(pass)
			return
		}
		owner.settle(owner.top)
		owner.settled = owner.settled || owner.top >= pass.Top
		owner.announce()
	}
	if len(fresh) == 0 && owner.writing == nil {
		arrived(now)
		return
	}
	owner.persist(now, job{versions: fresh, after: arrived})
}

func (owner *Owner) install(version contract.Version) {
	revision := version.Place.Revision
	if held, there := owner.versions[revision]; there && held.Digest != version.Digest {
		for other := range owner.versions {
			if other > revision && other > owner.committed {
				delete(owner.versions, other)
			}
		}
		owner.top = revision
	}
	owner.versions[revision] = version
	owner.top = max(owner.top, revision)
	owner.assigned = max(owner.assigned, owner.top)
}

// forsake drops what was numbered here in a former view and passed on to nobody: it can never be committed any more, and whoever asks
// for it by its key must not wait for it.
func (owner *Owner) forsake() {
	drop := []contract.Place{}
	for revision, version := range owner.versions {
		if revision > max(owner.top, owner.committed) {
			drop = append(drop, version.Place)
			delete(owner.versions, revision)
		}
	}
	if len(drop) > 0 {
		owner.jobs = append(owner.jobs, job{drop: drop})
	}
}

func (owner *Owner) announce() {
	for _, node := range owner.view.Core {
		if node.Identity() != owner.self.Identity() {
			owner.send(node, LetterDone, Done{View: owner.view.Number, Revision: owner.committed, Digest: owner.versions[owner.committed].Digest, Settled: owner.settled})
		}
	}
}

func (owner *Owner) done(now time.Duration, done Done) {
	version, there := owner.versions[done.Revision]
	if done.View == owner.view.Number && (there && version.Digest == done.Digest || done.Revision == 0) {
		owner.settled = owner.settled || done.Settled
		owner.settle(done.Revision)
		return
	}
	owner.scrub = now
}

func (owner *Owner) settle(revision int64) {
	if revision > owner.committed {
		owner.stuck = -1
	}
	for next := owner.committed + 1; next <= revision; next++ {
		version, there := owner.versions[next]
		if there {
			owner.emit(Committed{Version: version})
		}
	}
	owner.committed = max(owner.committed, revision)
	if version, there := owner.versions[owner.committed]; there && version.Place != owner.marked {
		owner.marked = version.Place
		owner.jobs = append(owner.jobs, job{mark: &version.Place})
	}
	drop := []contract.Place{}
	for old, version := range owner.versions {
		if old <= owner.committed-owner.bounds.History {
			drop = append(drop, version.Place)
			delete(owner.versions, old)
		}
	}
	if len(drop) > 0 {
		owner.jobs = append(owner.jobs, job{drop: drop})
	}
}

// retransmit passes the head's state and what is not yet acknowledged again, until the tail of this view has answered for it.
func (owner *Owner) retransmit(now time.Duration) {
	if !owner.IsHead() || owner.sealed || owner.committed >= owner.top && owner.settled {
		owner.stuck = -1
		return
	}
	if owner.stuck < 0 {
		owner.stuck = now
	}
	if now-owner.resend < owner.bounds.Round()/2 {
		return
	}
	owner.resend = now
	suffix := []contract.Version{}
	for revision := owner.committed + 1; revision <= owner.top && len(suffix) < batchSize; revision++ {
		if version, there := owner.versions[revision]; there {
			suffix = append(suffix, version)
		}
	}
	owner.passOn(owner.sheet(contract.Fit(suffix, false)))
}

type Fetch struct {
	Node contract.CoreNode `json:"node"`
	From int64             `json:"from"`
}

type History struct {
	Versions  []contract.Version `json:"versions"`
	Committed int64              `json:"committed"`
}

func (owner *Owner) lacks() (int64, int64) {
	count, first := int64(0), int64(0)
	known := max(owner.committed, owner.seen.Held.Place.Revision)
	for revision := max(1, known-owner.bounds.History+1); revision <= known; revision++ {
		if _, there := owner.versions[revision]; !there || revision > owner.committed {
			count++
			if first == 0 && revision > owner.cursor {
				first = revision
			}
		}
	}
	return count, first
}

// scrubHistory asks another core machine for the committed versions that are missing here.
func (owner *Owner) scrubHistory(now time.Duration) {
	if now < owner.scrub {
		return
	}
	owner.scrub = now + owner.bounds.Round()/2
	count, first := owner.lacks()
	if first == 0 {
		owner.cursor = 0
	}
	if count == 0 || first == 0 || len(owner.view.Chain) == 0 {
		return
	}
	target, there := owner.view.Node(owner.view.Chain[owner.random.IntN(len(owner.view.Chain))])
	if there && target.Identity() != owner.self.Identity() {
		owner.send(target, LetterFetch, Fetch{Node: owner.self, From: first})
	}
}

func (owner *Owner) fetch(fetch Fetch) {
	history := History{Committed: owner.committed}
	for revision := fetch.From; revision <= owner.committed && len(history.Versions) < batchSize; revision++ {
		if version, there := owner.versions[revision]; there {
			history.Versions = append(history.Versions, version)
		}
	}
	history.Versions = contract.Fit(history.Versions, false)
	owner.send(fetch.Node, LetterHistory, history)
}

func (owner *Owner) history(now time.Duration, history History) {
	fresh := []contract.Version{}
	for _, version := range history.Versions {
		held, there := owner.versions[version.Place.Revision]
		if contract.Digest(version.Manifest) == version.Digest && (!there || held.Digest != version.Digest) {
			fresh = append(fresh, version)
		}
		owner.cursor = version.Place.Revision
	}
	if len(history.Versions) == 0 {
		owner.cursor = 0
	}
	arrived := func(now time.Duration) {
		for _, version := range fresh {
			if _, there := owner.versions[version.Place.Revision]; !there || version.Place.Revision > owner.committed {
				owner.install(version)
			}
			owner.committed = max(owner.committed, version.Place.Revision)
		}
		if count, _ := owner.lacks(); count > 0 && len(fresh) > 0 {
			owner.scrub = now
		}
	}
	if len(fresh) > 0 {
		owner.persist(now, job{versions: fresh, after: arrived})
	}
}

// Lacking gives the first committed revision that is missing here, or nothing.
func (owner *Owner) Lacking() int64 {
	cursor := owner.cursor
	owner.cursor = 0
	count, first := owner.lacks()
	if count > 0 {
		for skip := owner.random.Int64N(count); skip > 0 && first > 0; skip-- {
			owner.cursor = first
			_, first = owner.lacks()
		}
	}
	owner.cursor = cursor
	if !owner.Member() {
		return 0
	}
	return first
}

// Refill takes committed versions that other nodes kept.
func (owner *Owner) Refill(now time.Duration, versions []contract.Version) []contract.Command {
	owner.out = nil
	cursor := owner.cursor
	owner.history(now, History{Versions: versions})
	owner.cursor = cursor
	out := owner.out
	owner.out = nil
	return out
}

// Row is one kept revision as the history tells it.
type Row struct {
	Place     contract.Place `json:"place"`
	Operation string         `json:"operation"`
	Digest    string         `json:"digest"`
}

func (owner *Owner) Versions() []contract.Version {
	versions := []contract.Version{}
	for _, version := range owner.versions {
		versions = append(versions, version)
	}
	sort.Slice(versions, func(left, right int) bool { return versions[left].Place.Revision < versions[right].Place.Revision })
	return versions
}

func (owner *Owner) History() []Row {
	rows := []Row{}
	for _, version := range owner.Versions() {
		if version.Place.Revision <= owner.committed {
			rows = append(rows, Row{version.Place, version.Operation, version.Digest})
		}
	}
	return rows
}
