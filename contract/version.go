package contract

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

// Version is one configuration of all regions: numbered, immutable, and made by one operation. Versions share the parts that they have in
// common.
type Version struct {
	Position  Position
	Operation string
	// Digest is that of the content.
	Digest  string
	Content *document.Document
	// Base is the version that Change made this one out of; it is zero where that is not known.
	Base   Position
	Change document.Change
}

// FirstVersion is a version whose content was not made out of another one's.
func NewVersion(position Position, operation string, content *document.Document) Version {
	return Version{Position: position, Operation: operation, Digest: content.Digest(), Content: content}
}

// Next is the version that a change makes of this one.
func (version Version) Next(position Position, operation string, change document.Change) Version {
	content := version.Document().Apply(change)
	return Version{Position: position, Operation: operation, Digest: content.Digest(), Content: content, Base: version.Position, Change: change}
}

// Weight is what a version adds to those that it shares its parts with, in bytes.
func (version Version) RetainedBytes() int64 {
	if version.Base.Revision > 0 {
		return int64(version.Change.Size())
	}
	return int64(version.Document().Size())
}

// Document gives the content, which is empty where there is no version.
func (version Version) Document() *document.Document {
	if version.Content == nil {
		return document.Empty()
	}
	return version.Content
}

// PastOperation is a committed operation whose version is no longer kept.
type PastOperation struct {
	Position  Position `json:"place"`
	Operation string   `json:"operation"`
}

// Record is a version as it travels between nodes and lies on disk: whole, or as the change of a version that the reader must hold.
type Record struct {
	Position  Position         `json:"place"`
	Operation string           `json:"operation"`
	Digest    string           `json:"digest"`
	Base      *Position        `json:"base,omitempty"`
	Change    *document.Change `json:"change,omitempty"`
	Manifest  json.RawMessage  `json:"manifest,omitempty"`
	// content stands for the manifest where it was read from a stream.
	content *document.Document
}

// Whole tells whether a record can be opened by itself.
func (record Record) IsFull() bool { return record.Base == nil }

// Size is about how many bytes a record takes.
func (record Record) Size() int {
	if record.Change == nil {
		return len(record.Manifest)
	}
	return record.Change.Size()
}

// WholeRecord gives the record of a version with all of its content.
func (version Version) FullRecord() Record {
	return Record{Position: version.Position, Operation: version.Operation, Digest: version.Digest, Manifest: version.Document().JSON()}
}

// RecordFrom gives the record of a version as the change of a base, or whole where there is no base or that is no larger.
func (version Version) RecordRelativeTo(base Version) Record {
	if base.Position.Revision <= 0 {
		return version.FullRecord()
	}
	change := version.Change
	if version.Base != base.Position {
		change = document.Diff(base.Document(), version.Document())
	}
	if change.Size() >= version.Document().Size() {
		return version.FullRecord()
	}
	position := base.Position
	return Record{Position: version.Position, Operation: version.Operation, Digest: version.Digest, Base: &position, Change: &change}
}

// Records gives the records of versions in order, the first one as the change of a base and each other one as that of the one before it,
// as many as fit into so many bytes, but at least one.
func EncodeRecords(base Version, versions []Version, maxBytes int) []Record {
	records, size := []Record{}, 0
	for _, version := range versions {
		record := version.RecordRelativeTo(base)
		if size += record.Size(); size > maxBytes && len(records) > 0 {
			break
		}
		records, base = append(records, record), version
	}
	return records
}

// Held finds a version that the reader of records holds.
type VersionLookup func(Position) (Version, bool)

// OpenRecords reads versions in order; each record may be the change of one before it or of one that is held. It ends with an error at the
// first one that can't be put together or does not have its digest; the versions before that are given all the same.
func DecodeRecords(records []Record, lookup VersionLookup) ([]Version, error) {
	versions := []Version{}
	for _, record := range records {
		version, err := record.decode(versions, lookup)
		if err != nil {
			return versions, err
		}
		versions = append(versions, version)
	}
	return versions, nil
}

// Open reads a version; the record may be the change of one of some others.
func (record Record) Decode(before []Version) (Version, error) { return record.decode(before, nil) }

func (record Record) decode(before []Version, lookup VersionLookup) (Version, error) {
	version := Version{Position: record.Position, Operation: record.Operation, Digest: record.Digest}
	switch {
	case record.IsFull():
		content, err := record.content, error(nil)
		if content == nil {
			content, err = document.Parse(record.Manifest)
		}
		if err != nil {
			return version, eris.Wrapf(err, "version %d", record.Position.Revision)
		}
		if len(before) > 0 {
			content = content.Rebase(before[len(before)-1].Document())
		}
		version.Content = content
	case record.Change == nil:
		return version, eris.Errorf("version %d has neither a change nor a manifest", record.Position.Revision)
	default:
		base, found := findVersion(*record.Base, before, lookup)
		if !found {
			return version, eris.Errorf("version %d: its base %v is not held", record.Position.Revision, *record.Base)
		}
		version.Base, version.Change = base.Position, *record.Change
		version.Content = base.Document().Apply(version.Change)
	}
	if version.Content.Digest() != record.Digest {
		return version, eris.Errorf("version %d does not have its digest", record.Position.Revision)
	}
	return version, nil
}

func findVersion(position Position, before []Version, lookup VersionLookup) (Version, bool) {
	for index := len(before) - 1; index >= 0; index-- {
		if before[index].Position == position {
			return before[index], true
		}
	}
	if lookup == nil {
		return Version{}, false
	}
	return lookup(position)
}

// MarshalJSON writes a version whole.
func (version Version) MarshalJSON() ([]byte, error) { return json.Marshal(version.FullRecord()) }

// UnmarshalJSON reads a version that was written whole.
func (version *Version) UnmarshalJSON(content []byte) error {
	var record Record
	if err := json.Unmarshal(content, &record); err != nil {
		return err
	}
	decoded, err := record.decode(nil, nil)
	*version = decoded
	return err
}
