package chain

import (
	"maps"
	"slices"

	"github.com/cedarreel/cedarreel/contract"
)

// log holds the versions of a member by revision. Those up to committed are committed, those up to lastSynced are synced here, and those up to
// lastAssigned were assigned their revision by this member as the head.
//
// It keeps the newest maxRevisions revisions, and of these at most maxBytes of changes. The operations of all revisions in that window are
// kept, even where the version is not, so that a write that is retried finds its result for as long.
type log struct {
	maxRevisions int64
	maxBytes     int64

	versions     map[int64]contract.Version
	lastSynced   int64
	committed    int64
	lastAssigned int64
	// oldest is the revision below which no version is kept.
	oldest int64
	// bytes is the total size of the kept changes.
	bytes int64
	// operations maps the key of an operation to the position of its version, for all kept versions and past operations.
	operations map[string]contract.Position
	// pastOperations are the committed operations whose versions are no longer kept, by revision.
	pastOperations map[int64]contract.PastOperation
	// pastChanged tells that pastOperations has to be written to the folder.
	pastChanged bool
}

func newLog(historyMost, bytesMost int64) log {
	return log{maxRevisions: historyMost, maxBytes: bytesMost, versions: map[int64]contract.Version{}, operations: map[string]contract.Position{}, pastOperations: map[int64]contract.PastOperation{}}
}

// Operation returns the version that the operation with the given key created, whether or not it is committed yet. The version has no content
// if it is no longer kept.
func (log *log) Operation(key string) (contract.Version, bool) {
	position, found := log.operations[key]
	if !found {
		return contract.Version{}, false
	}
	if past, gone := log.pastOperations[position.Revision]; gone && past.Position == position {
		return contract.Version{Position: position, Operation: past.Operation}, true
	}
	return log.lookup(position)
}

// OldestKept returns the oldest version that is kept.
func (log *log) OldestKept() (contract.Version, bool) {
	version, found := log.versions[log.oldest]
	return version, found
}

// InWindow reports whether a revision is recent enough that the operations of the log are kept for it.
func (log *log) InWindow(revision int64) bool { return revision > log.committed-log.maxRevisions }

// RemembersAllOperations reports whether the operations of all revisions that ever existed are known, so that an operation that is not found
// was never executed.
func (log *log) RemembersAllOperations() bool {
	if !log.InWindow(1) {
		return false
	}
	for revision := int64(1); revision < log.oldest; revision++ {
		if !log.knows(revision) {
			return false
		}
	}
	return true
}

// lookup returns the version at a position, if the log has it.
func (log *log) lookup(position contract.Position) (contract.Version, bool) {
	if version, found := log.versions[position.Revision]; found && version.Position == position {
		return version, true
	}
	return contract.Version{}, false
}

// previousRevision returns the newest kept revision before another one, or 0.
func (log *log) previousRevision(revision int64) int64 {
	for previous := revision - 1; previous > 0 && previous > revision-log.maxRevisions; previous-- {
		if _, found := log.versions[previous]; found {
			return previous
		}
	}
	return 0
}

// hasPrevious reports whether the log has synced the predecessor of versions that are to be appended. The zero position stands for none.
func (log *log) hasPrevious(previous contract.Position) bool {
	_, found := log.lookup(previous)
	return previous.Revision == 0 || found && previous.Revision <= log.lastSynced
}

// knows reports whether the log has the version of a revision or at least its operation.
func (log *log) knows(revision int64) bool {
	_, kept := log.versions[revision]
	_, past := log.pastOperations[revision]
	return kept || past
}

// put adds a version to the log, in place of another one under its revision.
func (log *log) put(version contract.Version) {
	revision := version.Position.Revision
	if former, found := log.versions[revision]; found {
		log.remove(former)
	}
	delete(log.pastOperations, revision)
	log.versions[revision] = version
	log.bytes += version.RetainedBytes()
	log.operations[contract.OperationKey(version.Operation)] = version.Position
	if log.oldest == 0 || revision < log.oldest {
		log.oldest = revision
	}
}

// remove removes a version from the log.
func (log *log) remove(version contract.Version) {
	delete(log.versions, version.Position.Revision)
	log.bytes -= version.RetainedBytes()
	log.removeOperation(version.Operation, version.Position)
}

func (log *log) removeOperation(operation string, position contract.Position) {
	if key := contract.OperationKey(operation); log.operations[key] == position {
		delete(log.operations, key)
	}
}

// addPastOperations adds operations from the folder or from another member whose versions are no longer kept there.
func (log *log) addPastOperations(operations []contract.PastOperation) {
	for _, operation := range operations {
		revision := operation.Position.Revision
		if log.knows(revision) || !log.InWindow(revision) || revision > log.committed {
			continue
		}
		log.pastOperations[revision] = operation
		log.operations[contract.OperationKey(operation.Operation)] = operation.Position
		log.pastChanged = true
	}
}

// sortedPastOperations returns the operations whose versions are no longer kept, the oldest first.
func (log *log) sortedPastOperations() []contract.PastOperation {
	operations := []contract.PastOperation{}
	for _, revision := range slices.Sorted(maps.Keys(log.pastOperations)) {
		operations = append(operations, log.pastOperations[revision])
	}
	return operations
}

// trim removes committed versions that are older than the window or exceed the byte limit, but never the newest one, and returns their
// positions. Revisions may have gaps, none larger than the window.
func (log *log) trim() []contract.Position {
	removed := []contract.Position{}
	for ; log.oldest > 0 && log.oldest < log.committed && (!log.InWindow(log.oldest) || log.bytes > log.maxBytes); log.oldest++ {
		version, found := log.versions[log.oldest]
		if !found {
			continue
		}
		removed = append(removed, version.Position)
		log.remove(version)
		if log.InWindow(log.oldest) {
			log.pastOperations[log.oldest] = contract.PastOperation{Position: version.Position, Operation: version.Operation}
			log.operations[contract.OperationKey(version.Operation)] = version.Position
			log.pastChanged = true
		}
	}
	for revision, operation := range log.pastOperations {
		if !log.InWindow(revision) {
			delete(log.pastOperations, revision)
			log.removeOperation(operation.Operation, operation.Position)
		}
	}
	return removed
}

// truncate removes all versions after a revision from the log and returns their positions.
func (log *log) truncate(last int64) []contract.Position {
	removed := []contract.Position{}
	for revision, version := range log.versions {
		if revision > last {
			removed = append(removed, version.Position)
			log.remove(version)
		}
	}
	if log.lastSynced > last {
		log.lastSynced = log.previousRevision(last + 1)
	}
	return removed
}

// Versions returns all kept versions, the oldest first.
func (log *log) Versions() []contract.Version {
	versions := []contract.Version{}
	for _, revision := range slices.Sorted(maps.Keys(log.versions)) {
		versions = append(versions, log.versions[revision])
	}
	return versions
}
