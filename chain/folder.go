package chain

import (
	"slices"

	"github.com/cedarreel/cedarreel/contract"
)

const (
	// changesMost is how many changes in a row lie in the data folder before a version is written whole again.
	maxDeltaChain = 256
	// changesLeast is how many bytes of changes in a row are always written before a version is written whole again; else they may be as
	// large as the version.
	minDeltaChainBytes = 64 << 10
)

// folder knows how the versions lie in the data folder: whole, or as the change of an earlier one, which then has to stay as long as they
// do. What it knows is what was synced.
type storedVersions struct {
	files map[contract.Position]storedFile
	// released are the files that nobody wants but others are changes of.
	released map[contract.Position]bool
}

// file is one version in the data folder.
type storedFile struct {
	// base is the version that it is a change of, without a revision where it is whole.
	base contract.Position
	size int
}

func newStoredVersions(stored []StoredVersion) storedVersions {
	made := storedVersions{files: map[contract.Position]storedFile{}, released: map[contract.Position]bool{}}
	for _, one := range stored {
		made.files[one.Position] = storedFile{base: one.Base, size: one.Size}
	}
	return made
}

// plan says how versions are written and which files are removed, so that all that stays can be put together again.
func (folder storedVersions) plan(versions []contract.Version, drop []contract.Position) ([]Write, []contract.Position) {
	next := folder.copy()
	for _, place := range drop {
		next.released[place] = true
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

func (folder storedVersions) copy() storedVersions {
	copied := newStoredVersions(nil)
	for place, one := range folder.files {
		copied.files[place] = one
	}
	for place := range folder.released {
		copied.released[place] = true
	}
	return copied
}

func writeSize(write Write) int {
	if write.Base.Position.Revision > 0 {
		return write.Version.Change.Size()
	}
	return write.Version.Document().Size()
}

// fitsChange tells whether a version is written as the change of its base.
func (folder storedVersions) canWriteDelta(version contract.Version) bool {
	_, there := folder.files[version.Base]
	if !there || folder.released[version.Base] || version.Base.Revision >= version.Position.Revision {
		return false
	}
	size := version.Change.Size()
	if size >= version.Document().Size() {
		return false
	}
	count := 1
	for place := version.Base; folder.files[place].base.Revision > 0; place = folder.files[place].base {
		size += folder.files[place].size
		count++
	}
	return count < maxDeltaChain && size <= max(minDeltaChainBytes, version.Document().Size())
}

// unneeded gives the released files that no other one is a change of, those included that the folder never had.
func (folder storedVersions) removable() []contract.Position {
	needed := map[contract.Position]bool{}
	for place := range folder.files {
		if folder.released[place] {
			continue
		}
		for base := folder.files[place].base; base.Revision > 0 && !needed[base]; base = folder.files[base].base {
			needed[base] = true
		}
	}
	removed := []contract.Position{}
	for place := range folder.released {
		if !needed[place] {
			removed = append(removed, place)
		}
	}
	slices.SortFunc(removed, contract.Position.Compare)
	return removed
}

// done takes up that a write was synced.
func (folder storedVersions) apply(writes []Write, drop, removed []contract.Position) {
	for _, place := range drop {
		folder.released[place] = true
	}
	for _, write := range writes {
		folder.files[write.Version.Position] = storedFile{base: write.Base.Position, size: writeSize(write)}
		delete(folder.released, write.Version.Position)
	}
	for _, place := range removed {
		delete(folder.files, place)
		delete(folder.released, place)
	}
}
