package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
)

// Pass brings a head's versions down the chain, and tells how far the head is.
type Pass struct {
	From    contract.CoreNode `json:"from"`
	View    int64             `json:"view"`
	Records []contract.Record `json:"records"`
	// Previous is the place before the first version, or the newest one where there is none: the receiver's log must have it. The first
	// record is the change of that version.
	Previous  contract.Position `json:"previous"`
	Committed int64             `json:"committed"`
	Top       int64             `json:"top"`
}

// Done is the tail's word that the whole chain has synced all versions up to a place.
type Done struct {
	View  int64             `json:"view"`
	Place contract.Position `json:"place"`
	// Settled tells that the tail has all that its head had when the view began.
	Settled bool `json:"settled"`
}

// outrun tells whether another node holds a committed version that is newer than a revision, as after a disk lost what it had synced:
// then this member neither numbers versions nor answers reads until it has that version again.
func (owner *Owner) outrun(revision int64) bool { return owner.seen.Held.Position.Revision > revision }

// Open tells whether this node may number a write now.
func (owner *Owner) Open() bool {
	if !owner.IsHead() || owner.sealed || !owner.fit || len(owner.view.Chain) < 2 || len(owner.jobs) >= 4*batchSize || owner.outrun(owner.assigned) {
		return false
	}
	for _, identity := range owner.view.Chain {
		node, there := owner.view.Node(identity)
		if !there || !owner.reaches(node) || !owner.fitCore(node) {
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

// Submit numbers a change of the latest version at the head; it counts as accepted only with the Committed command that follows.
func (owner *Owner) Submit(now time.Duration, operation string, change document.Change) (contract.Version, []contract.Command) {
	owner.out = nil
	latest, _ := owner.Latest()
	highest := owner.assigned
	for _, member := range owner.seen.Members {
		highest = max(highest, member.Position.Revision)
	}
	version := latest.Next(contract.Position{View: owner.view.Number, Revision: highest + 1}, operation, change)
	owner.assigned = version.Position.Revision
	owner.keep(version)
	number := owner.view.Number
	owner.persist(now, job{versions: []contract.Version{version}, after: func(now time.Duration) {
		if owner.view.Number == number && !owner.sealed {
			owner.top = max(owner.top, version.Position.Revision)
			owner.passOn(owner.sheet([]contract.Version{version}))
		}
	}})
	out := owner.out
	owner.out = nil
	return version, out
}

// sheet is what the head passes down: versions, and how far it is itself.
func (owner *Owner) sheet(versions []contract.Version) Pass {
	pass := Pass{View: owner.view.Number, Committed: owner.committed, Top: owner.top}
	last := owner.top
	if len(versions) > 0 {
		last = owner.before(versions[0].Position.Revision)
	}
	previous := owner.versions[last]
	pass.Previous = previous.Position
	pass.Records = contract.EncodeRecords(previous, versions, contract.MaxRecordBytes)
	return pass
}

func (owner *Owner) passOn(pass Pass) {
	rank := owner.rank()
	if rank < 0 || rank == len(owner.view.Chain)-1 {
		return
	}
	if next, there := owner.view.Node(owner.view.Chain[rank+1]); there {
		pass.From = owner.self
		owner.send(next, MessagePass, pass)
	}
}

func (owner *Owner) pass(now time.Duration, pass Pass) {
	rank := owner.rank()
	if pass.View != owner.view.Number || owner.sealed || rank < 1 || owner.view.Chain[rank-1] != pass.From.Identity() {
		owner.emit(contract.AddCounter{Name: "passes_refused", Delta: 1})
		return
	}
	if !owner.follows(pass.Previous) {
		owner.emit(contract.AddCounter{Name: "passes_early", Delta: 1})
		return
	}
	passed, failure := contract.DecodeRecords(pass.Records, owner.at)
	if failure != nil {
		owner.emit(contract.AddCounter{Name: "versions_unreadable", Delta: 1}, contract.Log{Message: "passed versions can't be read", Attributes: []any{"error", failure}})
		return
	}
	fresh, fine := owner.fresh(passed)
	if !fine {
		return
	}
	number := owner.view.Number
	arrived := func(now time.Duration) {
		if owner.view.Number != number {
			owner.discard(now, fresh)
			return
		}
		owner.passed(pass, passed, fresh)
	}
	if len(fresh) == 0 && owner.writing == nil {
		arrived(now)
		return
	}
	owner.persist(now, job{versions: fresh, drop: owner.conflicts(fresh), after: arrived})
}

// fresh gives the passed versions that the log lacks; one that contradicts a committed version spoils them all.
func (owner *Owner) fresh(versions []contract.Version) ([]contract.Version, bool) {
	fresh := []contract.Version{}
	for _, version := range versions {
		held, there := owner.versions[version.Position.Revision]
		if there && held.Position == version.Position && version.Position.Revision <= owner.top {
			continue
		}
		if there && version.Position.Revision <= owner.committed {
			owner.emit(contract.AddCounter{Name: "committed_conflicts", Delta: 1}, contract.Log{Message: "pass against a committed version", Attributes: []any{"revision", version.Position.Revision}})
			return nil, false
		}
		fresh = append(fresh, version)
	}
	return fresh, true
}

// conflicts gives what must leave the folder before versions are written: others under their revisions and all that was built on those.
func (owner *Owner) conflicts(fresh []contract.Version) []contract.Position {
	first := int64(0)
	for _, version := range fresh {
		held, there := owner.versions[version.Position.Revision]
		if there && held.Position != version.Position && (first == 0 || version.Position.Revision < first) {
			first = version.Position.Revision
		}
	}
	drop := []contract.Position{}
	for revision, version := range owner.versions {
		if first > 0 && revision >= first && revision > owner.committed {
			drop = append(drop, version.Position)
		}
	}
	return drop
}

// passed takes up what was synced. A sealed member keeps it, since it may be the only one that has it, but tells nobody.
func (owner *Owner) passed(pass Pass, passed, fresh []contract.Version) {
	for _, version := range fresh {
		owner.install(version)
	}
	if owner.sealed {
		return
	}
	owner.verified = max(owner.verified, pass.Previous.Revision)
	if count := len(passed); count > 0 {
		owner.verified = max(owner.verified, passed[count-1].Position.Revision)
	}
	owner.settle(min(pass.Committed, owner.verified))
	if !owner.IsTail() {
		owner.passOn(pass)
		return
	}
	owner.settle(owner.verified)
	owner.settled = owner.settled || owner.verified >= pass.Top
	owner.announce()
}

// discard removes versions from the folder that were written for a view which ended meanwhile.
func (owner *Owner) discard(now time.Duration, versions []contract.Version) {
	drop := []contract.Position{}
	for _, version := range versions {
		if held, there := owner.versions[version.Position.Revision]; !there || held.Position != version.Position {
			drop = append(drop, version.Position)
		}
	}
	if len(drop) > 0 {
		owner.persist(now, job{drop: drop})
	}
}

func (owner *Owner) install(version contract.Version) {
	revision := version.Position.Revision
	if held, there := owner.versions[revision]; there && held.Position != version.Position {
		owner.truncate(max(revision-1, owner.committed))
	}
	owner.keep(version)
	owner.top = max(owner.top, revision)
	owner.assigned = max(owner.assigned, owner.top)
}

// forsake drops what a new view leaves behind. A head drops what it numbered and passed on to nobody: it can never be committed any more,
// and whoever asks for it by its key must not wait for it. A member that is in no chain drops all that was not committed.
func (owner *Owner) forsake() {
	last := max(owner.top, owner.committed)
	if !owner.holder() {
		last = owner.committed
	}
	owner.queueDrop(owner.truncate(last))
}

func (owner *Owner) announce() {
	owner.sendOthers(owner.view.Core, MessageDone, Done{View: owner.view.Number, Place: owner.versions[owner.committed].Position, Settled: owner.settled})
}

func (owner *Owner) done(now time.Duration, done Done) {
	version, there := owner.versions[done.Place.Revision]
	if done.View == owner.view.Number && (there && version.Position == done.Place || done.Place.Revision == 0) {
		owner.settled = owner.settled || done.Settled
		owner.settle(done.Place.Revision)
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
	if version, there := owner.versions[owner.committed]; there && version.Position != owner.marked {
		owner.marked = version.Position
		owner.jobs = append(owner.jobs, job{mark: &version.Position})
	}
	owner.queueDrop(owner.trim())
	owner.queuePast()
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
	owner.passOn(owner.sheet(suffix))
}

// Row is one kept revision as the history tells it.
type Row struct {
	Place     contract.Position `json:"place"`
	Operation string            `json:"operation"`
	Digest    string            `json:"digest"`
}

func (owner *Owner) History() []Row {
	rows := []Row{}
	for _, version := range owner.Versions() {
		if version.Position.Revision <= owner.committed {
			rows = append(rows, Row{version.Position, version.Operation, version.Digest})
		}
	}
	return rows
}
