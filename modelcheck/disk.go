package modelcheck

import (
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
)

// errCrashed ends a write half way.
var errCrashed = errors.New("the process ended in the middle of a write")

// disk is a folder with the promises of the platform's pages and no others: the content of a file lasts once the file is synced, and a
// name that was made, renamed or removed lasts once the folder is synced. At a loss of power each name that was not synced is kept or
// lost by itself. It implements image.Files.
type disk struct {
	names   map[string][]byte
	durable map[string][]byte
	// budget is how many operations may still be carried out before a crash; a negative one is no limit.
	budget int
	// keepsRemoved and answersUnwritten plant faults.
	keepsRemoved bool
}

func newDisk() *disk {
	return &disk{names: map[string][]byte{}, durable: map[string][]byte{}, budget: -1}
}

func (disk *disk) spend() error {
	if disk.budget == 0 {
		return errCrashed
	}
	if disk.budget > 0 {
		disk.budget--
	}
	return nil
}

func (disk *disk) WriteAside(name string, content []byte) error {
	if failure := disk.spend(); failure != nil {
		disk.names[name] = slices.Clone(content[:len(content)/2])
		return failure
	}
	disk.names[name] = slices.Clone(content)
	return nil
}

func (disk *disk) Settle(aside, name string) error {
	if failure := disk.spend(); failure != nil {
		return failure
	}
	content, there := disk.names[aside]
	if !there {
		return os.ErrNotExist
	}
	delete(disk.names, aside)
	disk.names[name] = content
	return nil
}

func (disk *disk) SyncFolder() error {
	if failure := disk.spend(); failure != nil {
		return failure
	}
	disk.durable = clone(disk.names)
	return nil
}

func (disk *disk) Read(name string) ([]byte, error) {
	content, there := disk.names[name]
	if !there {
		return nil, os.ErrNotExist
	}
	return content, nil
}

func (disk *disk) List() ([]string, error) {
	names := []string{}
	for name := range disk.names {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

func (disk *disk) Remove(name string) error {
	if failure := disk.spend(); failure != nil {
		return failure
	}
	if !disk.keepsRemoved {
		delete(disk.names, name)
	}
	return nil
}

// losePower keeps or loses each name that is not as it was at the last sync of the folder, by itself.
func (disk *disk) losePower(random *rand.Rand) {
	for _, name := range changed(disk.names, disk.durable) {
		if random.IntN(2) == 0 {
			continue
		}
		if content, there := disk.durable[name]; there {
			disk.names[name] = content
		} else {
			delete(disk.names, name)
		}
	}
	disk.durable = clone(disk.names)
}

func (disk *disk) wipe() {
	disk.names, disk.durable = map[string][]byte{}, map[string][]byte{}
}

func changed(now, then map[string][]byte) []string {
	names := []string{}
	for name, content := range now {
		if former, there := then[name]; !there || !slices.Equal(former, content) {
			names = append(names, name)
		}
	}
	for name := range then {
		if _, there := now[name]; !there {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func clone(files map[string][]byte) map[string][]byte {
	made := make(map[string][]byte, len(files))
	for name, content := range files {
		made[name] = content
	}
	return made
}
