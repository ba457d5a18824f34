// Package image keeps manifest versions as files: one a version, written aside, synced, renamed, the folder synced.
package image

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"github.com/cedarreel/cedarreel/chain"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/rotisserie/eris"
)

// Files is the seam to a disk.
type Files interface {
	WriteAside(name string, content []byte) error
	Settle(aside, name string) error
	SyncFolder() error
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Remove(name string) error
}

const (
	prefix     = "manifest-"
	memberName = "member.json"
	markName   = "committed.json"
	pastName   = "operations.json"
	aside      = ".aside"
	damaged    = ".damaged"
)

type sealed struct {
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body"`
}

func nameOf(place contract.Position) string {
	return fmt.Sprintf("%s%016d-%010d.json", prefix, place.Revision, place.View)
}

func wrap(value any) ([]byte, error) {
	body, failure := json.Marshal(value)
	if failure != nil {
		return nil, eris.Wrap(failure, "image cannot be written as JSON")
	}
	return json.Marshal(sealed{Digest: contract.Digest(body), Body: body})
}

func unwrap(content []byte, value any) error {
	var wrapped sealed
	if failure := json.Unmarshal(content, &wrapped); failure != nil {
		return eris.Wrap(failure, "image is not JSON")
	}
	if contract.Digest(wrapped.Body) != wrapped.Digest {
		return eris.New("image does not match its digest")
	}
	return json.Unmarshal(wrapped.Body, value)
}

// Save carries a change out. What is dropped is gone for good before anything else is written: a version that was left behind must never
// be found beside the record of a newer view.
func Save(files Files, work chain.Persist) error {
	if failure := drop(files, work.Remove); failure != nil {
		return failure
	}
	names := []string{}
	write := func(name string, value any) error {
		content, failure := wrap(value)
		if failure == nil {
			failure = files.WriteAside(name+aside, content)
		}
		names = append(names, name)
		return failure
	}
	for _, one := range work.Writes {
		if failure := write(nameOf(one.Version.Position), one.Record()); failure != nil {
			return eris.Wrap(failure, "version not written")
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if work.Member != nil {
		if failure := write(memberName, *work.Member); failure != nil {
			return eris.Wrap(failure, "member record not written")
		}
	}
	if work.PastOperations != nil {
		if failure := write(pastName, *work.PastOperations); failure != nil {
			return eris.Wrap(failure, "past operations not written")
		}
	}
	if work.Committed != nil {
		if failure := write(markName, *work.Committed); failure != nil {
			return eris.Wrap(failure, "commit mark not written")
		}
	}
	for _, name := range names {
		if failure := files.Settle(name+aside, name); failure != nil {
			return eris.Wrap(failure, "file not renamed")
		}
	}
	return eris.Wrap(files.SyncFolder(), "folder not synced")
}

func drop(files Files, places []contract.Position) error {
	if len(places) == 0 {
		return nil
	}
	for _, place := range places {
		if failure := files.Remove(nameOf(place)); failure != nil && !os.IsNotExist(failure) {
			return eris.Wrap(failure, "old version not removed")
		}
	}
	return eris.Wrap(files.SyncFolder(), "folder not synced")
}

// Load reads what a folder holds. A file that doesn't match its digest or its name, or is the change of a version that isn't there, is put
// aside and named with the reason. The folder is synced before anything in it is relied on: a process that was killed may have renamed
// files without syncing that.
func Load(files Files) (chain.Recovered, error) {
	recovered := chain.Recovered{}
	names, failure := files.List()
	if failure != nil {
		return recovered, eris.Wrap(failure, "folder not read")
	}
	// Names of versions are in the order of their revisions, so that a version comes after the one that it is a change of.
	sort.Strings(names)
	for _, name := range names {
		if strings.HasSuffix(name, aside) {
			_ = files.Remove(name)
			continue
		}
		if failure := loadFile(files, name, &recovered); failure != nil {
			recovered.Damaged = append(recovered.Damaged, name+": "+failure.Error())
			_ = files.Settle(name, name+damaged)
		}
	}
	if failure := files.SyncFolder(); failure != nil {
		recovered.Damaged = append(recovered.Damaged, "folder not synced at the start: "+failure.Error())
	}
	return recovered, nil
}

func loadFile(files Files, name string, recovered *chain.Recovered) error {
	isVersion := strings.HasPrefix(name, prefix) && strings.HasSuffix(name, ".json")
	if !isVersion && name != memberName && name != markName && name != pastName {
		return nil
	}
	content, failure := files.Read(name)
	if failure != nil {
		return failure
	}
	switch name {
	case memberName:
		record := chain.MemberRecord{}
		if failure = unwrap(content, &record); failure == nil {
			recovered.Member = record
		}
		return failure
	case pastName:
		return unwrap(content, &recovered.PastOperations)
	case markName:
		return unwrap(content, &recovered.Committed)
	}
	return loadVersion(name, content, recovered)
}

func loadVersion(name string, content []byte, recovered *chain.Recovered) error {
	record := contract.Record{}
	if failure := unwrap(content, &record); failure != nil {
		return failure
	}
	if nameOf(record.Position) != name {
		return eris.New("version does not match its name")
	}
	if record.IsFull() && contract.Digest(record.Manifest) == record.Digest {
		record = formerRecord(record)
	}
	version, failure := record.Decode(recovered.Versions)
	if failure != nil {
		return failure
	}
	stored := chain.StoredVersion{Position: record.Position, Size: record.Size()}
	if record.Base != nil {
		stored.Base = *record.Base
	}
	recovered.Versions, recovered.Stored = append(recovered.Versions, version), append(recovered.Stored, stored)
	return nil
}

// formerRecord gives a record of earlier releases, whose digest was that of the text, the digest of the content.
func formerRecord(record contract.Record) contract.Record {
	if content, failure := document.Parse(record.Manifest); failure == nil {
		record.Digest = content.Digest()
	}
	return record
}

// Folder is a real folder on a disk.
type Folder struct{ Path string }

func Open(path string) (Folder, error) {
	return Folder{path}, eris.Wrap(os.MkdirAll(path, 0o700), "data folder")
}

func (folder Folder) WriteAside(name string, content []byte) error {
	file, failure := os.OpenFile(filepath.Join(folder.Path, name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if failure != nil {
		return failure
	}
	_, failure = file.Write(content)
	if synced := file.Sync(); failure == nil {
		failure = synced
	}
	if closed := file.Close(); failure == nil {
		failure = closed
	}
	return failure
}

func (folder Folder) Settle(from, name string) error {
	return os.Rename(filepath.Join(folder.Path, from), filepath.Join(folder.Path, name))
}

func (folder Folder) SyncFolder() error {
	file, failure := os.Open(folder.Path)
	if failure != nil {
		return failure
	}
	failure = file.Sync()
	if closed := file.Close(); failure == nil {
		failure = closed
	}
	return failure
}

func (folder Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(folder.Path, name))
}

func (folder Folder) Remove(name string) error { return os.Remove(filepath.Join(folder.Path, name)) }

func (folder Folder) List() ([]string, error) {
	entries, failure := os.ReadDir(folder.Path)
	names := []string{}
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, failure
}
