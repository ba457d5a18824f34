package contract

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

// Version is an entry of the replicated log: a manifest, which configures all regions. It is immutable and was created by one operation.
// Versions share the parts of their content that are equal.
type Version struct {
	Position  Position
	Operation string
	// Digest is the hash of the content.
	Digest  string
	Content *document.Document
	// Base is the position of the version that Change was applied to. It is zero where that is not known.
	Base   Position
	Change document.Change
}

// NewVersion returns a version with the given content and no base.
func NewVersion(position Position, operation string, content *document.Document) Version {
	return Version{Position: position, Operation: operation, Digest: content.Digest(), Content: content}
}

// Next returns the version that results from applying a change to this one.
func (version Version) Next(position Position, operation string, change document.Change) Version {
	content := version.Document().Apply(change)
	return Version{Position: position, Operation: operation, Digest: content.Digest(), Content: content, Base: version.Position, Change: change}
}

// RetainedBytes estimates the memory that the version takes beyond the parts that it shares with its base.
func (version Version) RetainedBytes() int64 {
	if version.Base.Revision > 0 {
		return int64(version.Change.Size())
	}
	return int64(version.Document().Size())
}

// Document returns the content. The zero version has an empty one.
func (version Version) Document() *document.Document {
	if version.Content == nil {
		return document.Empty()
	}
	return version.Content
}

// PastOperation is a committed operation whose version has been removed from the log. It keeps retries of the operation idempotent.
type PastOperation struct {
	Position  Position `json:"place"`
	Operation string   `json:"operation"`
}

// Record is the encoded form of a version in messages and on disk: either full, with the whole Manifest, or a delta, with the Change to a
// Base version that the reader must hold.
type Record struct {
	Position  Position         `json:"place"`
	Operation string           `json:"operation"`
	Digest    string           `json:"digest"`
	Base      *Position        `json:"base,omitempty"`
	Change    *document.Change `json:"change,omitempty"`
	Manifest  json.RawMessage  `json:"manifest,omitempty"`
	// content replaces Manifest in a record that was read from a stream.
	content *document.Document
}

// IsFull reports whether the record can be decoded without a base version.
func (record Record) IsFull() bool { return record.Base == nil }

// Size is the approximate encoded size of the record in bytes.
func (record Record) Size() int {
	if record.Change == nil {
		return len(record.Manifest)
	}
	return record.Change.Size()
}

// FullRecord returns the record that holds the whole content of the version.
func (version Version) FullRecord() Record {
	return Record{Position: version.Position, Operation: version.Operation, Digest: version.Digest, Manifest: version.Document().JSON()}
}

// RecordRelativeTo returns the record of the version as a delta to a base. The record is full if the base is the zero version or if the
// delta would not be smaller.
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

// EncodeRecords returns the records of versions in order: the first one relative to base, each other one relative to its predecessor. It
// stops before the records exceed maxBytes, but always returns the first one.
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

// VersionLookup finds a version that the reader of records holds.
type VersionLookup func(Position) (Version, bool)

// DecodeRecords decodes records in order. The base of a record is looked up among the versions decoded before it and then by lookup, which
// may be nil. It fails at the first record whose base is missing or whose content does not have its digest, and returns the versions decoded
// until then beside the error.
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

// Decode decodes the record, whose base may be one of the given versions.
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

// MarshalJSON encodes the version as a full record.
func (version Version) MarshalJSON() ([]byte, error) { return json.Marshal(version.FullRecord()) }

// UnmarshalJSON decodes a version from a full record. It fails on a delta.
func (version *Version) UnmarshalJSON(content []byte) error {
	var record Record
	if err := json.Unmarshal(content, &record); err != nil {
		return err
	}
	decoded, err := record.decode(nil, nil)
	*version = decoded
	return err
}
