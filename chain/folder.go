package chain

import (
	"slices"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// maxDeltaChain is the maximum number of successive deltas in the data folder. After these a full record is written.
	maxDeltaChain = 256
	// minDeltaChainBytes is the total size that successive deltas may have in any case, in bytes. Beyond it they may be as large as the version
	// before a full record is written.
	minDeltaChainBytes = 64 << 10
)

// storedVersions tracks how versions are stored in the data folder: as full records, or as deltas to an earlier version, which has to stay as
// long as its deltas. It reflects what was synced.
type storedVersions struct {
	files map[contract.Position]storedFile
	// released are the versions that are no longer wanted but that deltas may depend on.
	released map[contract.Position]bool
}

// storedFile is one version in the data folder.
type storedFile struct {
	// base is the position that the delta is relative to, or zero for a full record.
	base contract.Position
	size int
}

func newStoredVersions(stored []StoredVersion) storedVersions {
	result := storedVersions{files: map[contract.Position]storedFile{}, released: map[contract.Position]bool{}}
	for _, version := range stored {
		result.files[version.Position] = storedFile{base: version.Base, size: version.Size}
	}
	return result
}

// plan returns how versions are written and which files can be removed, given unwanted versions, so that all that stays can be decoded.
func (stored storedVersions) plan(versions []contract.Version, unwanted []contract.Position) ([]Write, []contract.Position) {
	next := stored.copy()
	for _, position := range unwanted {
		next.released[position] = true
	}
	for _, version := range versions {
		delete(next.released, version.Position)
	}
	writes := []Write{}
	for _, version := range versions {
		write := Write{Version: version}
		if next.canWriteDelta(version) {
			write.Base = contract.Version{Position: version.Base}
		}
		next.files[version.Position] = storedFile{base: write.Base.Position, size: writeSize(write)}
		writes = append(writes, write)
	}
	return writes, next.removable()
}

func (stored storedVersions) copy() storedVersions {
	copied := newStoredVersions(nil)
	for position, file := range stored.files {
		copied.files[position] = file
	}
	for position := range stored.released {
		copied.released[position] = true
	}
	return copied
}

func writeSize(write Write) int {
	if write.Base.Position.Revision > 0 {
		return write.Version.Change.Size()
	}
	return write.Version.Document().Size()
}

// canWriteDelta reports whether a version is written as a delta to its base.
func (stored storedVersions) canWriteDelta(version contract.Version) bool {
	_, found := stored.files[version.Base]
	if !found || stored.released[version.Base] || version.Base.Revision >= version.Position.Revision {
		return false
	}
	size := version.Change.Size()
	if size >= version.Document().Size() {
		return false
	}
	count := 1
	for position := version.Base; stored.files[position].base.Revision > 0; position = stored.files[position].base {
		size += stored.files[position].size
		count++
	}
	return count < maxDeltaChain && size <= max(minDeltaChainBytes, version.Document().Size())
}

// removable returns the released versions that no delta depends on, including those that the folder never had.
func (stored storedVersions) removable() []contract.Position {
	needed := map[contract.Position]bool{}
	for position := range stored.files {
		if stored.released[position] {
			continue
		}
		for base := stored.files[position].base; base.Revision > 0 && !needed[base]; base = stored.files[base].base {
			needed[base] = true
		}
	}
	removed := []contract.Position{}
	for position := range stored.released {
		if !needed[position] {
			removed = append(removed, position)
		}
	}
	slices.SortFunc(removed, contract.Position.Compare)
	return removed
}

// apply records that the writes and removals of a plan were synced.
func (stored storedVersions) apply(writes []Write, unwanted, removed []contract.Position) {
	for _, position := range unwanted {
		stored.released[position] = true
	}
	for _, write := range writes {
		stored.files[write.Version.Position] = storedFile{base: write.Base.Position, size: writeSize(write)}
		delete(stored.released, write.Version.Position)
	}
	for _, position := range removed {
		delete(stored.files, position)
		delete(stored.released, position)
	}
}
