package chain

import (
	"maps"
	"slices"

	"github.com/cedarreel/cedarreel/contract"
)

// log holds a member's versions by revision. All up to committed are committed; those up to top were synced, those up to assigned were
// numbered by this member as the head.
//
// It keeps the newest historyMost revisions, and of these no more than bytesMost bytes of changes. The operations of all of them are
// kept, also of those whose versions are not: an order that is sent again finds what it did for as long.
type log struct {
	maxRevisions int64
	maxBytes     int64

	versions     map[int64]contract.Version
	lastSynced   int64
	committed    int64
	lastAssigned int64
	// oldest is a revision below which no version is kept.
	oldest int64
	// bytes are those of all kept changes.
	bytes int64
	// operations finds what an operation made by its key. It holds the operations of all kept versions and those that are past.
	operations map[string]contract.Position
	// past are the committed operations whose versions are no longer kept, by revision.
	pastOperations map[int64]contract.PastOperation
	// pastChanged tells that the folder has to be told of them.
	pastChanged bool
}

func newLog(historyMost, bytesMost int64) log {
	return log{maxRevisions: historyMost, maxBytes: bytesMost, versions: map[int64]contract.Version{}, operations: map[string]contract.Position{}, pastOperations: map[int64]contract.PastOperation{}}
}

// Operation gives the version that an operation made, whether or not it is committed yet; without its content, where that is no longer kept.
func (log *log) Operation(key string) (contract.Version, bool) {
	place, there := log.operations[key]
	if !there {
		return contract.Version{}, false
	}
	if past, gone := log.pastOperations[place.Revision]; gone && past.Position == place {
		return contract.Version{Position: place, Operation: past.Operation}, true
	}
	return log.lookup(place)
}

// OldestKept gives the oldest version that is kept.
func (log *log) OldestKept() (contract.Version, bool) {
	version, there := log.versions[log.oldest]
	return version, there
}

// Remembers tells whether the operation of a committed revision is still known, so that one which is not found was never taken.
func (log *log) InWindow(revision int64) bool { return revision > log.committed-log.maxRevisions }

// RemembersAll tells whether the operations of all revisions there ever were are still known.
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

// at gives the version of a place, if the log has it.
func (log *log) lookup(place contract.Position) (contract.Version, bool) {
	if version, there := log.versions[place.Revision]; there && version.Position == place {
		return version, true
	}
	return contract.Version{}, false
}

// before gives the newest kept revision before another one, or 0.
func (log *log) previousRevision(revision int64) int64 {
	for previous := revision - 1; previous > 0 && previous > revision-log.maxRevisions; previous-- {
		if _, there := log.versions[previous]; there {
			return previous
		}
	}
	return 0
}

// follows tells whether the log has the version before those that are passed.
func (log *log) hasPrevious(previous contract.Position) bool {
	_, there := log.lookup(previous)
	return previous.Revision == 0 || there && previous.Revision <= log.lastSynced
}

// knows tells whether a revision is kept, or its operation is all that is left of it.
func (log *log) knows(revision int64) bool {
	_, kept := log.versions[revision]
	_, past := log.pastOperations[revision]
	return kept || past
}

// keep puts a version into the log.
func (log *log) put(version contract.Version) {
	revision := version.Position.Revision
	if former, there := log.versions[revision]; there {
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

// forget takes a version out of the log.
func (log *log) remove(version contract.Version) {
	delete(log.versions, version.Position.Revision)
	log.bytes -= version.RetainedBytes()
	log.removeOperation(version.Operation, version.Position)
}

func (log *log) removeOperation(operation string, place contract.Position) {
	if key := contract.OperationKey(operation); log.operations[key] == place {
		delete(log.operations, key)
	}
}

// remember takes up operations whose versions are no longer kept, as the folder or another member has them.
func (log *log) addPastOperations(operations []contract.PastOperation) {
	for _, one := range operations {
		revision := one.Position.Revision
		if log.knows(revision) || !log.InWindow(revision) || revision > log.committed {
			continue
		}
		log.pastOperations[revision] = one
		log.operations[contract.OperationKey(one.Operation)] = one.Position
		log.pastChanged = true
	}
}

// pastOperations gives the operations whose versions are no longer kept, the oldest first.
func (log *log) sortedPastOperations() []contract.PastOperation {
	operations := []contract.PastOperation{}
	for _, revision := range slices.Sorted(maps.Keys(log.pastOperations)) {
		operations = append(operations, log.pastOperations[revision])
	}
	return operations
}

// trim forgets the committed versions that are too old or too many bytes, but never the newest, and gives their places. Revisions may have
// gaps, none larger than the window.
func (log *log) trim() []contract.Position {
	drop := []contract.Position{}
	for ; log.oldest > 0 && log.oldest < log.committed && (!log.InWindow(log.oldest) || log.bytes > log.maxBytes); log.oldest++ {
		version, there := log.versions[log.oldest]
		if !there {
			continue
		}
		drop = append(drop, version.Position)
		log.remove(version)
		if log.InWindow(log.oldest) {
			log.pastOperations[log.oldest] = contract.PastOperation{Position: version.Position, Operation: version.Operation}
			log.operations[contract.OperationKey(version.Operation)] = version.Position
			log.pastChanged = true
		}
	}
	for revision, one := range log.pastOperations {
		if !log.InWindow(revision) {
			delete(log.pastOperations, revision)
			log.removeOperation(one.Operation, one.Position)
		}
	}
	return drop
}

// truncate takes all versions after a revision out of the log and gives their places.
func (log *log) truncate(last int64) []contract.Position {
	drop := []contract.Position{}
	for revision, version := range log.versions {
		if revision > last {
			drop = append(drop, version.Position)
			log.remove(version)
		}
	}
	if log.lastSynced > last {
		log.lastSynced = log.previousRevision(last + 1)
	}
	return drop
}

// Versions gives all kept versions, the oldest first.
func (log *log) Versions() []contract.Version {
	versions := []contract.Version{}
	for _, revision := range slices.Sorted(maps.Keys(log.versions)) {
		versions = append(versions, log.versions[revision])
	}
	return versions
}
