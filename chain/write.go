package chain

import (
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
)

// Replicate carries versions from the head down the chain. Committed and LastSynced are the revisions of the head.
type Replicate struct {
	From    contract.CoreNode `json:"from"`
	View    int64             `json:"view"`
	Records []contract.Record `json:"records"`
	// Previous is the position of the version before the first record, or the newest one if there are no records. The receiver's log must
	// have it. The first record is relative to it.
	Previous   contract.Position `json:"previous"`
	Committed  int64             `json:"committed"`
	LastSynced int64             `json:"top"`
}

// CommitNotice is sent by the tail: the whole chain has synced all versions up to a position.
type CommitNotice struct {
	View     int64             `json:"view"`
	Position contract.Position `json:"place"`
	// Synchronized tells that the tail has all versions that its head had when the view began.
	Synchronized bool `json:"settled"`
}

// isOutdated reports whether another node holds a committed version newer than a revision, as after a disk lost synced data. This member then
// neither assigns revisions nor answers reads until it has that version again.
func (replica *Replica) isOutdated(revision int64) bool {
	return replica.membership.NewestVersion.Position.Revision > revision
}

// AcceptsWrites reports whether this node is a head that can assign a revision to a write now: the whole chain is reachable and healthy.
func (replica *Replica) AcceptsWrites() bool {
	if !replica.IsHead() || replica.sealed || !replica.diskHealthy || len(replica.view.Chain) < 2 || len(replica.writeQueue) >= 4*batchSize || replica.isOutdated(replica.lastAssigned) {
		return false
	}
	for _, identity := range replica.view.Chain {
		node, found := replica.view.Node(identity)
		if !found || !replica.reaches(node) || !replica.hasHealthyDisk(node) {
			return false
		}
	}
	return true
}

// Latest returns the version with the highest assigned revision, committed or not, or the zero version of an empty log. It reports false if
// that version is missing.
func (replica *Replica) Latest() (contract.Version, bool) {
	for revision := replica.lastAssigned; revision > 0 && revision > replica.lastAssigned-replica.bounds.History; revision-- {
		if version, found := replica.versions[revision]; found {
			return version, true
		}
	}
	return contract.Version{}, replica.lastAssigned == 0
}

// CommittedVersion returns the committed version of a revision, if it is kept.
func (replica *Replica) CommittedVersion(revision int64) (contract.Version, bool) {
	version, found := replica.versions[revision]
	return version, found && revision <= replica.committed
}

// Submit applies a change to the latest version at the head and assigns the next revision to the result. The write is acknowledged only when
// the Committed command for it follows.
func (replica *Replica) Submit(now time.Duration, operation string, change document.Change) (contract.Version, []contract.Command) {
	replica.commands = nil
	latest, _ := replica.Latest()
	highest := replica.lastAssigned
	for _, member := range replica.membership.Members {
		highest = max(highest, member.Position.Revision)
	}
	version := latest.Next(contract.Position{View: replica.view.Number, Revision: highest + 1}, operation, change)
	replica.lastAssigned = version.Position.Revision
	replica.put(version)
	viewNumber := replica.view.Number
	replica.persist(now, persistJob{versions: []contract.Version{version}, onSynced: func(now time.Duration) {
		if replica.view.Number == viewNumber && !replica.sealed {
			replica.lastSynced = max(replica.lastSynced, version.Position.Revision)
			replica.sendDownstream(replica.newReplicate([]contract.Version{version}))
		}
	}})
	out := replica.commands
	replica.commands = nil
	return version, out
}

// newReplicate returns the message with which the head replicates versions, which may be none.
func (replica *Replica) newReplicate(versions []contract.Version) Replicate {
	replicate := Replicate{View: replica.view.Number, Committed: replica.committed, LastSynced: replica.lastSynced}
	last := replica.lastSynced
	if len(versions) > 0 {
		last = replica.previousRevision(versions[0].Position.Revision)
	}
	previous := replica.versions[last]
	replicate.Previous = previous.Position
	replicate.Records = contract.EncodeRecords(previous, versions, contract.MaxRecordBytes)
	return replicate
}

// sendDownstream sends a message to the successor in the chain, if there is one.
func (replica *Replica) sendDownstream(replicate Replicate) {
	index := replica.chainIndex()
	if index < 0 || index == len(replica.view.Chain)-1 {
		return
	}
	if next, found := replica.view.Node(replica.view.Chain[index+1]); found {
		replicate.From = replica.self
		replica.send(next, MessageReplicate, replicate)
	}
}

// handleReplicate syncs versions from the predecessor and then passes them on. It ignores versions that do not follow its log; the head sends
// them again.
func (replica *Replica) handleReplicate(now time.Duration, replicate Replicate) {
	index := replica.chainIndex()
	if replicate.View != replica.view.Number || replica.sealed || index < 1 || replica.view.Chain[index-1] != replicate.From.Identity() {
		replica.emit(contract.AddCounter{Name: "passes_refused", Delta: 1})
		return
	}
	if !replica.hasPrevious(replicate.Previous) {
		replica.emit(contract.AddCounter{Name: "passes_early", Delta: 1})
		return
	}
	passed, err := contract.DecodeRecords(replicate.Records, replica.lookup)
	if err != nil {
		replica.emit(contract.AddCounter{Name: "versions_unreadable", Delta: 1}, contract.Log{Message: "replicated versions could not be decoded", Attributes: []any{"error", err}})
		return
	}
	added, ok := replica.unknownVersions(passed)
	if !ok {
		return
	}
	viewNumber := replica.view.Number
	onSynced := func(now time.Duration) {
		if replica.view.Number != viewNumber {
			replica.discard(now, added)
			return
		}
		replica.replicated(replicate, passed, added)
	}
	if len(added) == 0 && replica.writing == nil {
		onSynced(now)
		return
	}
	replica.persist(now, persistJob{versions: added, remove: replica.conflictingPositions(added), onSynced: onSynced})
}

// unknownVersions returns the versions that the log lacks. It fails if one of them contradicts a committed version.
func (replica *Replica) unknownVersions(versions []contract.Version) ([]contract.Version, bool) {
	added := []contract.Version{}
	for _, version := range versions {
		existing, found := replica.versions[version.Position.Revision]
		if found && existing.Position == version.Position && version.Position.Revision <= replica.lastSynced {
			continue
		}
		if found && version.Position.Revision <= replica.committed {
			replica.emit(contract.AddCounter{Name: "committed_conflicts", Delta: 1}, contract.Log{Message: "replicated version conflicts with a committed version", Attributes: []any{"revision", version.Position.Revision}})
			return nil, false
		}
		added = append(added, version)
	}
	return added, true
}

// conflictingPositions returns what must be removed from the folder before versions are written: other versions under their revisions and all
// uncommitted versions after those.
func (replica *Replica) conflictingPositions(added []contract.Version) []contract.Position {
	first := int64(0)
	for _, version := range added {
		existing, found := replica.versions[version.Position.Revision]
		if found && existing.Position != version.Position && (first == 0 || version.Position.Revision < first) {
			first = version.Position.Revision
		}
	}
	removed := []contract.Position{}
	for revision, version := range replica.versions {
		if first > 0 && revision >= first && revision > replica.committed {
			removed = append(removed, version.Position)
		}
	}
	return removed
}

// replicated adds synced versions to the log and passes them on, or commits them at the tail. A sealed member keeps them, since it may be the
// only one that has them, but does not pass them on.
func (replica *Replica) replicated(replicate Replicate, passed, added []contract.Version) {
	for _, version := range added {
		replica.install(version)
	}
	if replica.sealed {
		return
	}
	replica.matched = max(replica.matched, replicate.Previous.Revision)
	if count := len(passed); count > 0 {
		replica.matched = max(replica.matched, passed[count-1].Position.Revision)
	}
	replica.commitUpTo(min(replicate.Committed, replica.matched))
	if !replica.IsTail() {
		replica.sendDownstream(replicate)
		return
	}
	replica.commitUpTo(replica.matched)
	replica.synchronized = replica.synchronized || replica.matched >= replicate.LastSynced
	replica.announceCommit()
}

// discard removes versions from the folder that were written for a view that has ended in the meantime.
func (replica *Replica) discard(now time.Duration, versions []contract.Version) {
	removed := []contract.Position{}
	for _, version := range versions {
		if existing, found := replica.versions[version.Position.Revision]; !found || existing.Position != version.Position {
			removed = append(removed, version.Position)
		}
	}
	if len(removed) > 0 {
		replica.persist(now, persistJob{remove: removed})
	}
}

// install adds a synced version to the log. A different version under its revision is removed, with all that follow it.
func (replica *Replica) install(version contract.Version) {
	revision := version.Position.Revision
	if existing, found := replica.versions[revision]; found && existing.Position != version.Position {
		replica.truncate(max(revision-1, replica.committed))
	}
	replica.put(version)
	replica.lastSynced = max(replica.lastSynced, revision)
	replica.lastAssigned = max(replica.lastAssigned, replica.lastSynced)
}

// dropAbandoned removes the versions that a new view leaves behind. A head removes versions that it assigned a revision but never sent: these
// can no longer be committed, and a client that asks for one by its key must not wait for it. A member outside of the chain removes all that
// is not committed.
func (replica *Replica) dropAbandoned() {
	last := max(replica.lastSynced, replica.committed)
	if !replica.isHolder() {
		last = replica.committed
	}
	replica.queueRemoval(replica.truncate(last))
}

// announceCommit tells all members how far the tail has committed.
func (replica *Replica) announceCommit() {
	replica.sendOthers(replica.view.Core, MessageCommitNotice, CommitNotice{View: replica.view.Number, Position: replica.versions[replica.committed].Position, Synchronized: replica.synchronized})
}

func (replica *Replica) handleCommitNotice(now time.Duration, notice CommitNotice) {
	version, found := replica.versions[notice.Position.Revision]
	if notice.View == replica.view.Number && (found && version.Position == notice.Position || notice.Position.Revision == 0) {
		replica.synchronized = replica.synchronized || notice.Synchronized
		replica.commitUpTo(notice.Position.Revision)
		return
	}
	replica.nextCatchUp = now
}

// commitUpTo marks all versions up to a revision as committed and trims the log.
func (replica *Replica) commitUpTo(revision int64) {
	if revision > replica.committed {
		replica.stalledSince = -1
	}
	for next := replica.committed + 1; next <= revision; next++ {
		version, found := replica.versions[next]
		if found {
			replica.emit(Committed{Version: version})
		}
	}
	replica.committed = max(replica.committed, revision)
	if version, found := replica.versions[replica.committed]; found && version.Position != replica.markedCommit {
		replica.markedCommit = version.Position
		replica.writeQueue = append(replica.writeQueue, persistJob{commitMark: &version.Position})
	}
	replica.queueRemoval(replica.trim())
	replica.queuePastOperations()
}

// retransmit sends the head's state and its uncommitted versions again until the tail of this view has confirmed them.
func (replica *Replica) retransmit(now time.Duration) {
	if !replica.IsHead() || replica.sealed || replica.committed >= replica.lastSynced && replica.synchronized {
		replica.stalledSince = -1
		return
	}
	if replica.stalledSince < 0 {
		replica.stalledSince = now
	}
	if now-replica.lastResend < replica.bounds.Round()/2 {
		return
	}
	replica.lastResend = now
	suffix := []contract.Version{}
	for revision := replica.committed + 1; revision <= replica.lastSynced && len(suffix) < batchSize; revision++ {
		if version, found := replica.versions[revision]; found {
			suffix = append(suffix, version)
		}
	}
	replica.sendDownstream(replica.newReplicate(suffix))
}

// HistoryEntry describes a committed version in the history.
type HistoryEntry struct {
	Position  contract.Position `json:"place"`
	Operation string            `json:"operation"`
	Digest    string            `json:"digest"`
}

// History returns the committed versions that are kept, the oldest first.
func (replica *Replica) History() []HistoryEntry {
	rows := []HistoryEntry{}
	for _, version := range replica.Versions() {
		if version.Position.Revision <= replica.committed {
			rows = append(rows, HistoryEntry{version.Position, version.Operation, version.Digest})
		}
	}
	return rows
}
