// Package image stores the durable state of a core member in a data folder: one file per manifest version, the member record, the past
// operations and the committed position, and snapshots of the cache index. A file is written under a temporary name, synced and renamed, and
// then the folder is synced. Each file carries a digest of its content.
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
	"github.com/cedarreel/cedarreel/oserr"
	"github.com/rotisserie/eris"
)

// Files is the interface to the data folder on a disk. WriteTemp writes and syncs a file, Rename replaces one file by another, and SyncFolder
// makes renames and removals durable.
type Files interface {
	WriteTemp(name string, content []byte) error
	Rename(aside, name string) error
	SyncFolder() error
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Remove(name string) error
}

// Names of files in the data folder.
const (
	versionPrefix      = "manifest-"
	memberFileName     = "member.json"
	committedFileName  = "committed.json"
	operationsFileName = "operations.json"
	tempSuffix         = ".aside"
	damagedSuffix      = ".damaged"
)

// envelope is the content of a file with the digest of its body.
type envelope struct {
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body"`
}

// versionFileName returns the file name of a version. Names sort by revision, then by view.
func versionFileName(position contract.Position) string {
	return fmt.Sprintf("%s%016d-%010d.json", versionPrefix, position.Revision, position.View)
}

func encodeEnvelope(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "image cannot be written as JSON")
	}
	return json.Marshal(envelope{Digest: contract.Digest(body), Body: body})
}

func decodeEnvelope(content []byte, value any) error {
	var wrapped envelope
	if err := json.Unmarshal(content, &wrapped); err != nil {
		return eris.Wrap(err, "image is not JSON")
	}
	if contract.Digest(wrapped.Body) != wrapped.Digest {
		return eris.New("image does not match its digest")
	}
	return json.Unmarshal(wrapped.Body, value)
}

// replaceFile writes a value under a temporary name and renames it. The folder is not synced.
func replaceFile(files Files, name string, value any) error {
	content, err := encodeEnvelope(value)
	if err == nil {
		err = files.WriteTemp(name+tempSuffix, content)
	}
	if err == nil {
		err = files.Rename(name+tempSuffix, name)
	}
	if err != nil {
		_ = files.Remove(name + tempSuffix)
	}
	return err
}

// Save carries out an update of the data folder. Removals are synced before anything else is written, since an abandoned version must never
// be found next to the record of a newer view.
func Save(files Files, work chain.Persist) error {
	if err := removeVersions(files, work.Remove); err != nil {
		return err
	}
	names := []string{}
	write := func(name string, value any) error {
		content, err := encodeEnvelope(value)
		if err == nil {
			err = files.WriteTemp(name+tempSuffix, content)
		}
		names = append(names, name)
		return err
	}
	for _, entry := range work.Writes {
		if err := write(versionFileName(entry.Version.Position), entry.Record()); err != nil {
			return eris.Wrap(err, "version not written")
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if work.Member != nil {
		if err := write(memberFileName, *work.Member); err != nil {
			return eris.Wrap(err, "member record not written")
		}
	}
	if work.PastOperations != nil {
		if err := write(operationsFileName, *work.PastOperations); err != nil {
			return eris.Wrap(err, "past operations not written")
		}
	}
	if work.Committed != nil {
		if err := write(committedFileName, *work.Committed); err != nil {
			return eris.Wrap(err, "commit mark not written")
		}
	}
	for _, name := range names {
		if err := files.Rename(name+tempSuffix, name); err != nil {
			return eris.Wrap(err, "file not renamed")
		}
	}
	return eris.Wrap(files.SyncFolder(), "folder not synced")
}

func removeVersions(files Files, positions []contract.Position) error {
	if len(positions) == 0 {
		return nil
	}
	for _, position := range positions {
		if err := files.Remove(versionFileName(position)); err != nil && !os.IsNotExist(err) {
			return eris.Wrap(err, "old version not removed")
		}
	}
	return eris.Wrap(files.SyncFolder(), "folder not synced")
}

// Load reads the content of a data folder. A file that does not match its digest or name, or is a delta to a version that is missing, is set
// aside under another name and listed in Recovered.Damaged with the reason. One that the machine can't read for now is an error. The folder is
// synced before its content is relied on, since a process that was killed may have renamed files without syncing the folder.
func Load(files Files) (chain.Recovered, error) {
	recovered := chain.Recovered{}
	names, err := files.List()
	if err != nil {
		return recovered, eris.Wrap(err, "folder not read")
	}
	// Names of versions sort by revision, so that a version is decoded after the base of its delta.
	sort.Strings(names)
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			_ = files.Remove(name)
			continue
		}
		err := loadFile(files, name, &recovered)
		if oserr.IsPassing(err) {
			return chain.Recovered{}, eris.Wrap(err, "file not read")
		}
		if err != nil {
			recovered.Damaged = append(recovered.Damaged, name+": "+err.Error())
			_ = files.Rename(name, name+damagedSuffix)
		}
	}
	if err := files.SyncFolder(); err != nil {
		recovered.Damaged = append(recovered.Damaged, "folder not synced at the start: "+err.Error())
	}
	return recovered, nil
}

func loadFile(files Files, name string, recovered *chain.Recovered) error {
	isVersion := strings.HasPrefix(name, versionPrefix) && strings.HasSuffix(name, ".json")
	if !isVersion && name != memberFileName && name != committedFileName && name != operationsFileName {
		return nil
	}
	content, err := files.Read(name)
	if err != nil {
		return err
	}
	switch name {
	case memberFileName:
		record := chain.MemberRecord{}
		if err = decodeEnvelope(content, &record); err == nil {
			recovered.Member = record
		}
		return err
	case operationsFileName:
		return decodeEnvelope(content, &recovered.PastOperations)
	case committedFileName:
		return decodeEnvelope(content, &recovered.Committed)
	}
	return loadVersion(name, content, recovered)
}

func loadVersion(name string, content []byte, recovered *chain.Recovered) error {
	record := contract.Record{}
	if err := decodeEnvelope(content, &record); err != nil {
		return err
	}
	if versionFileName(record.Position) != name {
		return eris.New("version does not match its name")
	}
	if record.IsFull() && contract.Digest(record.Manifest) == record.Digest {
		record = upgradeRecord(record)
	}
	version, err := record.Decode(recovered.Versions)
	if err != nil {
		return err
	}
	stored := chain.StoredVersion{Position: record.Position, Size: record.Size()}
	if record.Base != nil {
		stored.Base = *record.Base
	}
	recovered.Versions, recovered.Stored = append(recovered.Versions, version), append(recovered.Stored, stored)
	return nil
}

// upgradeRecord converts a record of an earlier release, whose digest was that of the JSON text, to the digest of the content.
func upgradeRecord(record contract.Record) contract.Record {
	if content, err := document.Parse(record.Manifest); err == nil {
		record.Digest = content.Digest()
	}
	return record
}

// Folder is a data folder in the file system. It implements Files.
type Folder struct{ Path string }

// Open returns the folder at a path and creates it if it does not exist.
func Open(path string) (Folder, error) {
	return Folder{path}, eris.Wrap(os.MkdirAll(path, 0o700), "data folder")
}

// WriteTemp writes a file and syncs it.
func (folder Folder) WriteTemp(name string, content []byte) error {
	file, err := os.OpenFile(filepath.Join(folder.Path, name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if synced := file.Sync(); err == nil {
		err = synced
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	return err
}

// Rename renames a file and replaces an existing one under the new name.
func (folder Folder) Rename(from, name string) error {
	return os.Rename(filepath.Join(folder.Path, from), filepath.Join(folder.Path, name))
}

// SyncFolder makes the renames and removals of files durable.
func (folder Folder) SyncFolder() error {
	file, err := os.Open(folder.Path)
	if err != nil {
		return err
	}
	err = file.Sync()
	if closed := file.Close(); err == nil {
		err = closed
	}
	return err
}

// Read returns the content of a file.
func (folder Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(folder.Path, name))
}

// Remove removes a file.
func (folder Folder) Remove(name string) error { return os.Remove(filepath.Join(folder.Path, name)) }

// List returns the names of all files, those of temporary files included.
func (folder Folder) List() ([]string, error) {
	entries, err := os.ReadDir(folder.Path)
	names := []string{}
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}
