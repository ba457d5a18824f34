package modelcheck

import (
	"errors"
	"fmt"

	"github.com/cedarreel/cedarreel/virtual"
	"github.com/cespare/xxhash/v2"
)

// errCrashed ends a write half way.
var errCrashed = errors.New("the process ended in the middle of a write")

// disk is a simulated folder whose process may end at each of its operations. It implements image.Files.
type disk struct {
	*virtual.Disk
	// budget is how many operations may still be carried out before a crash; a negative one is no limit.
	budget int
	// keepsRemoved plants a fault.
	keepsRemoved bool
}

func newDisk() *disk {
	return &disk{Disk: virtual.NewDisk(nil, virtual.DiskOptions{LosesUnsynced: true}), budget: -1}
}

// listing gives the names of the files and what is in them.
func (disk *disk) listing() string {
	names, _ := disk.List()
	text := ""
	for _, name := range names {
		content, _ := disk.Read(name)
		text += fmt.Sprintln("file", name, xxhash.Sum64(content))
	}
	return text
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

// WriteAside leaves half of the file where the process ends in it.
func (disk *disk) WriteTemp(name string, content []byte) error {
	if failure := disk.spend(); failure != nil {
		_ = disk.Disk.WriteTemp(name, content[:len(content)/2])
		return failure
	}
	return disk.Disk.WriteTemp(name, content)
}

// Settle renames a file, unless the process has ended.
func (disk *disk) Rename(aside, name string) error {
	if failure := disk.spend(); failure != nil {
		return failure
	}
	return disk.Disk.Rename(aside, name)
}

// SyncFolder makes the names last, unless the process has ended.
func (disk *disk) SyncFolder() error {
	if failure := disk.spend(); failure != nil {
		return failure
	}
	return disk.Disk.SyncFolder()
}

// Remove takes a name away, unless the process has ended.
func (disk *disk) Remove(name string) error {
	if failure := disk.spend(); failure != nil || disk.keepsRemoved {
		return failure
	}
	return disk.Disk.Remove(name)
}
