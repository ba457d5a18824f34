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
	prefix   = "manifest-"
	viewName = "view.json"
	markName = "committed.json"
	aside    = ".aside"
	damaged  = ".damaged"
)

type sealed struct {
	Digest string          `json:"digest"`
	Body   json.RawMessage `json:"body"`
}

func nameOf(place contract.Place) string {
	return fmt.Sprintf("%s%016d-%010d.json", prefix, place.Revision, place.View)
}

func wrap(value any) ([]byte, error) {
	body, mishap := json.Marshal(value)
	if mishap != nil {
		return nil, eris.Wrap(mishap, "image cannot be written as JSON")
	}
	return json.Marshal(sealed{Digest: contract.Digest(body), Body: body})
}

func unwrap(content []byte, value any) error {
	var wrapped sealed
	if mishap := json.Unmarshal(content, &wrapped); mishap != nil {
		return eris.Wrap(mishap, "image is not JSON")
	}
	if contract.Digest(wrapped.Body) != wrapped.Digest {
		return eris.New("image does not match its digest")
	}
	return json.Unmarshal(wrapped.Body, value)
}

func Save(files Files, work chain.Persist) error {
	names := []string{}
	write := func(name string, value any) error {
		content, mishap := wrap(value)
		if mishap == nil {
			mishap = files.WriteAside(name+aside, content)
		}
		names = append(names, name)
		return mishap
	}
	for _, version := range work.Versions {
		if mishap := write(nameOf(version.Place), version); mishap != nil {
			return eris.Wrap(mishap, "version not written")
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if work.View != nil {
		if mishap := write(viewName, *work.View); mishap != nil {
			return eris.Wrap(mishap, "view not written")
		}
	}
	if work.Committed != nil {
		if mishap := write(markName, *work.Committed); mishap != nil {
			return eris.Wrap(mishap, "mark not written")
		}
	}
	for _, name := range names {
		if mishap := files.Settle(name+aside, name); mishap != nil {
			return eris.Wrap(mishap, "image not renamed")
		}
	}
	for _, place := range work.Drop {
		if mishap := files.Remove(nameOf(place)); mishap != nil && !os.IsNotExist(mishap) {
			return eris.Wrap(mishap, "old version not removed")
		}
	}
	return eris.Wrap(files.SyncFolder(), "folder not synced")
}

// Load reads what a folder holds; what does not match its digest is put aside and told.
func Load(files Files) (chain.Shelf, error) {
	shelf := chain.Shelf{}
	names, mishap := files.List()
	if mishap != nil {
		return shelf, eris.Wrap(mishap, "folder not read")
	}
	sort.Strings(names)
	for _, name := range names {
		if strings.HasSuffix(name, aside) {
			_ = files.Remove(name)
			continue
		}
		version := contract.Version{}
		isVersion := strings.HasPrefix(name, prefix) && strings.HasSuffix(name, ".json")
		if !isVersion && name != viewName && name != markName {
			continue
		}
		content, mishap := files.Read(name)
		if mishap == nil && isVersion {
			mishap = unwrap(content, &version)
		} else if mishap == nil && name == markName {
			mishap = unwrap(content, &shelf.Committed)
		} else if mishap == nil {
			mishap = unwrap(content, &shelf.View)
		}
		if mishap == nil && isVersion && (contract.Digest(version.Manifest) != version.Digest || nameOf(version.Place) != name) {
			mishap = eris.New("version does not match its name or digest")
		}
		if mishap != nil {
			shelf.Mishaps = append(shelf.Mishaps, name+": "+mishap.Error())
			_ = files.Settle(name, name+damaged)
			continue
		}
		if isVersion {
			shelf.Versions = append(shelf.Versions, version)
		}
	}
	return shelf, nil
}

// Folder is a real folder on a disk.
type Folder struct{ Path string }

func Open(path string) (Folder, error) {
	return Folder{path}, eris.Wrap(os.MkdirAll(path, 0o700), "data folder")
}

func (folder Folder) WriteAside(name string, content []byte) error {
	file, mishap := os.OpenFile(filepath.Join(folder.Path, name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if mishap != nil {
		return mishap
	}
	_, mishap = file.Write(content)
	if synced := file.Sync(); mishap == nil {
		mishap = synced
	}
	if closed := file.Close(); mishap == nil {
		mishap = closed
	}
	return mishap
}

func (folder Folder) Settle(from, name string) error {
	return os.Rename(filepath.Join(folder.Path, from), filepath.Join(folder.Path, name))
}

func (folder Folder) SyncFolder() error {
	file, mishap := os.Open(folder.Path)
	if mishap != nil {
		return mishap
	}
	mishap = file.Sync()
	if closed := file.Close(); mishap == nil {
		mishap = closed
	}
	return mishap
}

func (folder Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(folder.Path, name))
}

func (folder Folder) Remove(name string) error { return os.Remove(filepath.Join(folder.Path, name)) }

func (folder Folder) List() ([]string, error) {
	entries, mishap := os.ReadDir(folder.Path)
	names := []string{}
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, mishap
}
