package emulator

import (
	"os"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

// disk is a core machine's folder in memory. What is written counts as synced when the save is over; a loss of power takes the rest.
type disk struct {
	files   map[string][]byte
	synced  map[string][]byte
	full    int
	slow    float64
	stalled int
	busy    bool
	work    []func()
}

func newDisk() *disk { return &disk{files: map[string][]byte{}, synced: map[string][]byte{}} }

const (
	syncTime     = 500 * time.Microsecond
	syncsPerSave = 3
	diskPause    = 20 * time.Millisecond
)

// save does one piece of work after the other, each in the time that the disk takes.
func (disk *disk) save(world *World, work func()) {
	disk.work = append(disk.work, work)
	if !disk.busy {
		disk.busy = true
		disk.next(world)
	}
}

func (disk *disk) next(world *World) {
	if len(disk.work) == 0 {
		disk.busy = false
		return
	}
	span := time.Duration(float64(syncTime*syncsPerSave) * max(1, disk.slow))
	world.After(span, func() {
		if disk.stalled > 0 {
			world.After(diskPause, func() { disk.next(world) })
			return
		}
		if len(disk.work) > 0 {
			first := disk.work[0]
			disk.work = disk.work[1:]
			first()
		}
		disk.next(world)
	})
}

func (disk *disk) powerLost() {
	disk.files, disk.work = copied(disk.synced), nil
}

func (disk *disk) wipe() {
	disk.files, disk.synced, disk.work = map[string][]byte{}, map[string][]byte{}, nil
}

func copied(files map[string][]byte) map[string][]byte {
	made := make(map[string][]byte, len(files))
	for name, content := range files {
		made[name] = content
	}
	return made
}

func (disk *disk) WriteAside(name string, content []byte) error {
	if disk.full > 0 {
		return eris.New("no space left")
	}
	disk.files[name] = slices.Clone(content)
	return nil
}

func (disk *disk) Settle(aside, name string) error {
	content, there := disk.files[aside]
	if !there {
		return os.ErrNotExist
	}
	disk.files[name] = content
	delete(disk.files, aside)
	return nil
}

func (disk *disk) SyncFolder() error {
	disk.synced = copied(disk.files)
	return nil
}

func (disk *disk) Read(name string) ([]byte, error) {
	content, there := disk.files[name]
	if !there {
		return nil, os.ErrNotExist
	}
	return content, nil
}

func (disk *disk) Remove(name string) error {
	delete(disk.files, name)
	return nil
}

func (disk *disk) List() ([]string, error) { return manifest.SortedKeys(disk.files), nil }
