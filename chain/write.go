package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
)

// Pass brings a head's versions down the chain, and tells how far the head is.
type Replicate struct {
	From    contract.CoreNode `json:"from"`
	View    int64             `json:"view"`
	Records []contract.Record `json:"records"`
	// Previous is the place before the first version, or the newest one where there is none: the receiver's log must have it. The first
	// record is the change of that version.
	Previous   contract.Position `json:"previous"`
	Committed  int64             `json:"committed"`
	LastSynced int64             `json:"top"`
}

// Done is the tail's word that the whole chain has synced all versions up to a place.
type CommitNotice struct {
	View     int64             `json:"view"`
	Position contract.Position `json:"place"`
	// Settled tells that the tail has all that its head had when the view began.
	Synchronized bool `json:"settled"`
}

// outrun tells whether another node holds a committed version that is newer than a revision, as after a disk lost what it had synced:
// then this member neither numbers versions nor answers reads until it has that version again.
func (owner *Replica) isOutdated(revision int64) bool {
	return owner.membership.NewestVersion.Position.Revision > revision
}

// Open tells whether this node may number a write now.
func (owner *Replica) AcceptsWrites() bool {
	if !owner.IsHead() || owner.sealed || !owner.diskHealthy || len(owner.view.Chain) < 2 || len(owner.writeQueue) >= 4*batchSize || owner.isOutdated(owner.lastAssigned) {
		return false
	}
	for _, identity := range owner.view.Chain {
		node, there := owner.view.Node(identity)
		if !there || !owner.reaches(node) || !owner.hasHealthyDisk(node) {
			return false
		}
	}
	return true
}

func (owner *Replica) Latest() (contract.Version, bool) {
	for revision := owner.lastAssigned; revision > 0 && revision > owner.lastAssigned-owner.bounds.History; revision-- {
		if version, there := owner.versions[revision]; there {
			return version, true
		}
	}
	return contract.Version{}, owner.lastAssigned == 0
}

func (owner *Replica) CommittedVersion(revision int64) (contract.Version, bool) {
	version, there := owner.versions[revision]
	return version, there && revision <= owner.committed
}

// Submit numbers a change of the latest version at the head; it counts as accepted only with the Committed command that follows.
func (owner *Replica) Submit(now time.Duration, operation string, change document.Change) (contract.Version, []contract.Command) {
	owner.commands = nil
	latest, _ := owner.Latest()
	highest := owner.lastAssigned
	for _, member := range owner.membership.Members {
		highest = max(highest, member.Position.Revision)
	}
	version := latest.Next(contract.Position{View: owner.view.Number, Revision: highest + 1}, operation, change)
	owner.lastAssigned = version.Position.Revision
	owner.put(version)
	number := owner.view.Number
	owner.persist(now, persistJob{versions: []contract.Version{version}, onSynced: func(now time.Duration) {
		if owner.view.Number == number && !owner.sealed {
			owner.lastSynced = max(owner.lastSynced, version.Position.Revision)
			owner.sendDownstream(owner.newReplicate([]contract.Version{version}))
		}
	}})
	out := owner.commands
	owner.commands = nil
	return version, out
}

// sheet is what the head passes down: versions, and how far it is itself.
func (owner *Replica) newReplicate(versions []contract.Version) Replicate {
	pass := Replicate{View: owner.view.Number, Committed: owner.committed, LastSynced: owner.lastSynced}
	last := owner.lastSynced
	if len(versions) > 0 {
		last = owner.previousRevision(versions[0].Position.Revision)
	}
	previous := owner.versions[last]
	pass.Previous = previous.Position
	pass.Records = contract.EncodeRecords(previous, versions, contract.MaxRecordBytes)
	return pass
}

func (owner *Replica) sendDownstream(pass Replicate) {
	rank := owner.chainIndex()
	if rank < 0 || rank == len(owner.view.Chain)-1 {
		return
	}
	if next, there := owner.view.Node(owner.view.Chain[rank+1]); there {
		pass.From = owner.self
		owner.send(next, MessageReplicate, pass)
	}
}

func (owner *Replica) handleReplicate(now time.Duration, pass Replicate) {
	rank := owner.chainIndex()
	if pass.View != owner.view.Number || owner.sealed || rank < 1 || owner.view.Chain[rank-1] != pass.From.Identity() {
		owner.emit(contract.AddCounter{Name: "passes_refused", Delta: 1})
		return
	}
	if !owner.hasPrevious(pass.Previous) {
		owner.emit(contract.AddCounter{Name: "passes_early", Delta: 1})
		return
	}
	passed, failure := contract.DecodeRecords(pass.Records, owner.lookup)
	if failure != nil {
		owner.emit(contract.AddCounter{Name: "versions_unreadable", Delta: 1}, contract.Log{Message: "passed versions can't be read", Attributes: []any{"error", failure}})
		return
	}
	fresh, fine := owner.unknownVersions(passed)
	if !fine {
		return
	}
	number := owner.view.Number
	arrived := func(now time.Duration) {
		if owner.view.Number != number {
			owner.discard(now, fresh)
			return
		}
		owner.replicated(pass, passed, fresh)
	}
	if len(fresh) == 0 && owner.writing == nil {
		arrived(now)
		return
	}
	owner.persist(now, persistJob{versions: fresh, remove: owner.conflictingPositions(fresh), onSynced: arrived})
}

// fresh gives the passed versions that the log lacks; one that contradicts a committed version spoils them all.
func (owner *Replica) unknownVersions(versions []contract.Version) ([]contract.Version, bool) {
	fresh := []contract.Version{}
	for _, version := range versions {
		held, there := owner.versions[version.Position.Revision]
		if there && held.Position == version.Position && version.Position.Revision <= owner.lastSynced {
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
func (owner *Replica) conflictingPositions(fresh []contract.Version) []contract.Position {
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
func (owner *Replica) replicated(pass Replicate, passed, fresh []contract.Version) {
	for _, version := range fresh {
		owner.install(version)
	}
	if owner.sealed {
		return
	}
	owner.matched = max(owner.matched, pass.Previous.Revision)
	if count := len(passed); count > 0 {
		owner.matched = max(owner.matched, passed[count-1].Position.Revision)
	}
	owner.commitUpTo(min(pass.Committed, owner.matched))
	if !owner.IsTail() {
		owner.sendDownstream(pass)
		return
	}
	owner.commitUpTo(owner.matched)
	owner.synchronized = owner.synchronized || owner.matched >= pass.LastSynced
	owner.announceCommit()
}

// discard removes versions from the folder that were written for a view which ended meanwhile.
func (owner *Replica) discard(now time.Duration, versions []contract.Version) {
	drop := []contract.Position{}
	for _, version := range versions {
		if held, there := owner.versions[version.Position.Revision]; !there || held.Position != version.Position {
			drop = append(drop, version.Position)
		}
	}
	if len(drop) > 0 {
		owner.persist(now, persistJob{remove: drop})
	}
}

func (owner *Replica) install(version contract.Version) {
	revision := version.Position.Revision
	if held, there := owner.versions[revision]; there && held.Position != version.Position {
		owner.truncate(max(revision-1, owner.committed))
	}
	owner.put(version)
	owner.lastSynced = max(owner.lastSynced, revision)
	owner.lastAssigned = max(owner.lastAssigned, owner.lastSynced)
}

// forsake drops what a new view leaves behind. A head drops what it numbered and passed on to nobody: it can never be committed any more,
// and whoever asks for it by its key must not wait for it. A member that is in no chain drops all that was not committed.
func (owner *Replica) dropAbandoned() {
	last := max(owner.lastSynced, owner.committed)
	if !owner.isHolder() {
		last = owner.committed
	}
	owner.queueRemoval(owner.truncate(last))
}

func (owner *Replica) announceCommit() {
	owner.sendOthers(owner.view.Core, MessageCommitNotice, CommitNotice{View: owner.view.Number, Position: owner.versions[owner.committed].Position, Synchronized: owner.synchronized})
}

func (owner *Replica) handleCommitNotice(now time.Duration, done CommitNotice) {
	version, there := owner.versions[done.Position.Revision]
	if done.View == owner.view.Number && (there && version.Position == done.Position || done.Position.Revision == 0) {
		owner.synchronized = owner.synchronized || done.Synchronized
		owner.commitUpTo(done.Position.Revision)
		return
	}
	owner.nextCatchUp = now
}

func (owner *Replica) commitUpTo(revision int64) {
	if revision > owner.committed {
		owner.stalledSince = -1
	}
	for next := owner.committed + 1; next <= revision; next++ {
		version, there := owner.versions[next]
		if there {
			owner.emit(Committed{Version: version})
		}
	}
	owner.committed = max(owner.committed, revision)
	if version, there := owner.versions[owner.committed]; there && version.Position != owner.markedCommit {
		owner.markedCommit = version.Position
		owner.writeQueue = append(owner.writeQueue, persistJob{commitMark: &version.Position})
	}
	owner.queueRemoval(owner.trim())
	owner.queuePastOperations()
}

// retransmit passes the head's state and what is not yet acknowledged again, until the tail of this view has answered for it.
func (owner *Replica) retransmit(now time.Duration) {
	if !owner.IsHead() || owner.sealed || owner.committed >= owner.lastSynced && owner.synchronized {
		owner.stalledSince = -1
		return
	}
	if owner.stalledSince < 0 {
		owner.stalledSince = now
	}
	if now-owner.lastResend < owner.bounds.Round()/2 {
		return
	}
	owner.lastResend = now
	suffix := []contract.Version{}
	for revision := owner.committed + 1; revision <= owner.lastSynced && len(suffix) < batchSize; revision++ {
		if version, there := owner.versions[revision]; there {
			suffix = append(suffix, version)
		}
	}
	owner.sendDownstream(owner.newReplicate(suffix))
}

// Row is one kept revision as the history tells it.
type HistoryEntry struct {
	Position  contract.Position `json:"place"`
	Operation string            `json:"operation"`
	Digest    string            `json:"digest"`
}

func (owner *Replica) History() []HistoryEntry {
	rows := []HistoryEntry{}
	for _, version := range owner.Versions() {
		if version.Position.Revision <= owner.committed {
			rows = append(rows, HistoryEntry{version.Position, version.Operation, version.Digest})
		}
	}
	return rows
}
