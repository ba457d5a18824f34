package modelcheck

import (
	"errors"
	"fmt"

	"github.com/cedarreel/cedarreel/virtual"
	"github.com/cespare/xxhash/v2"
)

// errCrashed is returned by disk operations once the simulated process has crashed.
var errCrashed = errors.New("the process crashed during a write")

// disk is a simulated data folder whose process can crash at any operation. It implements image.Files.
type disk struct {
	*virtual.Disk
	// remainingOperations is the number of operations before the crash; negative means no crash.
	remainingOperations int
	// ignoresRemove makes Remove do nothing (FaultStaleVersionKept).
	ignoresRemove bool
}

func newDisk() *disk {
	return &disk{Disk: virtual.NewDisk(nil, virtual.DiskOptions{LosesUnsynced: true}), remainingOperations: -1}
}

// contentSummary lists the files with hashes of their contents.
func (disk *disk) contentSummary() string {
	names, _ := disk.List()
	text := ""
	for _, name := range names {
		content, _ := disk.Read(name)
		text += fmt.Sprintln("file", name, xxhash.Sum64(content))
	}
	return text
}

func (disk *disk) consumeOperation() error {
	if disk.remainingOperations == 0 {
		return errCrashed
	}
	if disk.remainingOperations > 0 {
		disk.remainingOperations--
	}
	return nil
}

// WriteTemp writes a temporary file; a crash leaves half of it.
func (disk *disk) WriteTemp(name string, content []byte) error {
	if err := disk.consumeOperation(); err != nil {
		_ = disk.Disk.WriteTemp(name, content[:len(content)/2])
		return err
	}
	return disk.Disk.WriteTemp(name, content)
}

// Rename moves a temporary file to its final name, unless the process has crashed.
func (disk *disk) Rename(tempName, name string) error {
	if err := disk.consumeOperation(); err != nil {
		return err
	}
	return disk.Disk.Rename(tempName, name)
}

// SyncFolder makes renames and removals durable, unless the process has crashed.
func (disk *disk) SyncFolder() error {
	if err := disk.consumeOperation(); err != nil {
		return err
	}
	return disk.Disk.SyncFolder()
}

// Remove deletes a file, unless the process has crashed or the planted fault ignores removals.
func (disk *disk) Remove(name string) error {
	if err := disk.consumeOperation(); err != nil || disk.ignoresRemove {
		return err
	}
	return disk.Disk.Remove(name)
}
