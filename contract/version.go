package contract

import (
	"encoding/json"

	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

// Version is one configuration of all regions: numbered, immutable, and made by one operation. Versions share the parts that they have in
// common.
type Version struct {
	Place     Place
	Operation string
	// Digest is that of the content.
	Digest  string
	Content *document.Document
	// Base is the version that Change made this one out of; it is zero where that is not known.
	Base   Place
	Change document.Change
}

// FirstVersion is a version whose content was not made out of another one's.
func FirstVersion(place Place, operation string, content *document.Document) Version {
	return Version{Place: place, Operation: operation, Digest: content.Digest(), Content: content}
}

// Next is the version that a change makes of this one.
func (version Version) Next(place Place, operation string, change document.Change) Version {
	content := version.Document().Apply(change)
	return Version{Place: place, Operation: operation, Digest: content.Digest(), Content: content, Base: version.Place, Change: change}
}

// Weight is what a version adds to those that it shares its parts with, in bytes.
func (version Version) Weight() int64 {
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
	Place     Place  `json:"place"`
	Operation string `json:"operation"`
}

// Record is a version as it travels between nodes and lies on disk: whole, or as the change of a version that the reader must hold.
type Record struct {
	Place     Place            `json:"place"`
	Operation string           `json:"operation"`
	Digest    string           `json:"digest"`
	Base      *Place           `json:"base,omitempty"`
	Change    *document.Change `json:"change,omitempty"`
	Manifest  json.RawMessage  `json:"manifest,omitempty"`
	// content stands for the manifest where it was read from a stream.
	content *document.Document
}

// Whole tells whether a record can be opened by itself.
func (record Record) Whole() bool { return record.Base == nil }

// Size is about how many bytes a record takes.
func (record Record) Size() int {
	if record.Change == nil {
		return len(record.Manifest)
	}
	return record.Change.Size()
}

// WholeRecord gives the record of a version with all of its content.
func (version Version) WholeRecord() Record {
	return Record{Place: version.Place, Operation: version.Operation, Digest: version.Digest, Manifest: version.Document().JSON()}
}

// RecordFrom gives the record of a version as the change of a base, or whole where there is no base or that is no larger.
func (version Version) RecordFrom(base Version) Record {
	if base.Place.Revision <= 0 {
		return version.WholeRecord()
	}
	change := version.Change
	if version.Base != base.Place {
		change = document.Diff(base.Document(), version.Document())
	}
	if change.Size() >= version.Document().Size() {
		return version.WholeRecord()
	}
	place := base.Place
	return Record{Place: version.Place, Operation: version.Operation, Digest: version.Digest, Base: &place, Change: &change}
}

// Records gives the records of versions in order, the first one as the change of a base and each other one as that of the one before it,
// as many as fit into so many bytes, but at least one.
func Records(base Version, versions []Version, most int) []Record {
	records, size := []Record{}, 0
	for _, version := range versions {
		record := version.RecordFrom(base)
		if size += record.Size(); size > most && len(records) > 0 {
			break
		}
		records, base = append(records, record), version
	}
	return records
}

// Held finds a version that the reader of records holds.
type Held func(Place) (Version, bool)

// OpenRecords reads versions in order; each record may be the change of one before it or of one that is held. It ends with an error at the
// first one that can't be put together or does not have its digest; the versions before that are given all the same.
func OpenRecords(records []Record, held Held) ([]Version, error) {
	versions := []Version{}
	for _, record := range records {
		version, failure := record.open(versions, held)
		if failure != nil {
			return versions, failure
		}
		versions = append(versions, version)
	}
	return versions, nil
}

// Open reads a version; the record may be the change of one of some others.
func (record Record) Open(before []Version) (Version, error) { return record.open(before, nil) }

func (record Record) open(before []Version, held Held) (Version, error) {
	version := Version{Place: record.Place, Operation: record.Operation, Digest: record.Digest}
	switch {
	case record.Whole():
		content, failure := record.content, error(nil)
		if content == nil {
			content, failure = document.Parse(record.Manifest)
		}
		if failure != nil {
			return version, eris.Wrapf(failure, "version %d", record.Place.Revision)
		}
		if len(before) > 0 {
			content = content.Rebase(before[len(before)-1].Document())
		}
		version.Content = content
	case record.Change == nil:
		return version, eris.Errorf("version %d has neither a change nor a manifest", record.Place.Revision)
	default:
		base, there := findVersion(*record.Base, before, held)
		if !there {
			return version, eris.Errorf("version %d: its base %v is not held", record.Place.Revision, *record.Base)
		}
		version.Base, version.Change = base.Place, *record.Change
		version.Content = base.Document().Apply(version.Change)
	}
	if version.Content.Digest() != record.Digest {
		return version, eris.Errorf("version %d does not have its digest", record.Place.Revision)
	}
	return version, nil
}

func findVersion(place Place, before []Version, held Held) (Version, bool) {
	for index := len(before) - 1; index >= 0; index-- {
		if before[index].Place == place {
			return before[index], true
		}
	}
	if held == nil {
		return Version{}, false
	}
	return held(place)
}

// MarshalJSON writes a version whole.
func (version Version) MarshalJSON() ([]byte, error) { return json.Marshal(version.WholeRecord()) }

// UnmarshalJSON reads a version that was written whole.
func (version *Version) UnmarshalJSON(content []byte) error {
	var record Record
	if failure := json.Unmarshal(content, &record); failure != nil {
		return failure
	}
	opened, failure := record.open(nil, nil)
	*version = opened
	return failure
}
