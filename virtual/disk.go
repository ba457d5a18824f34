package virtual

import (
	"os"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

// DiskOptions configures a simulated disk. Without LosesUnsynced a disk is more reliable than a real one; without Serial it is used in a way
// that no process of this module uses one.
type DiskOptions struct {
	// Latency returns how long a save takes. It is called when the save begins.
	Latency func() time.Duration
	// LosesUnsynced makes a power loss discard what was written since the folder was synced; otherwise every write is durable at once.
	LosesUnsynced bool
	// Serial starts a save when the one before has ended, like a process with one goroutine for its disk; otherwise saves overlap, and a
	// later one may end first.
	Serial bool
	// StallRetryInterval is the period at which a serial disk checks whether a stall has ended.
	StallRetryInterval time.Duration
}

// Disk simulates a folder on a disk in memory, with the faults of a disk: it may be full, stall, tear a file, or lose saves that it has
// acknowledged.
type Disk struct {
	// Full makes writes fail. Stalled delays saves until it is reset; see Resume.
	Full    bool
	Stalled bool
	// LostSaves is how many acknowledged saves the next power loss undoes.
	LostSaves int
	// TearLastFile makes the next power loss cut the last file, in the order of names, in half.
	TearLastFile bool

	options   DiskOptions
	scheduler *Scheduler
	// files is the current state, synced that of the last sync of the folder, and history that after each acknowledged save since the last
	// power loss.
	files   map[string][]byte
	synced  map[string][]byte
	history []map[string][]byte
	pending []func()
	busy    bool
}

// NewDisk returns an empty disk.
func NewDisk(scheduler *Scheduler, options DiskOptions) *Disk {
	return &Disk{options: options, scheduler: scheduler, files: map[string][]byte{}, synced: map[string][]byte{}}
}

// Save calls work, which writes files, after the latency of the disk, or later if the disk is stalled then.
func (disk *Disk) Save(work func()) {
	if !disk.options.Serial {
		disk.scheduler.After(disk.options.Latency(), func() {
			if disk.Stalled {
				disk.pending = append(disk.pending, work)
				return
			}
			work()
		})
		return
	}
	disk.pending = append(disk.pending, work)
	if !disk.busy {
		disk.busy = true
		disk.runNext()
	}
}

// runNext runs the pending saves of a serial disk one by one.
func (disk *Disk) runNext() {
	if len(disk.pending) == 0 {
		disk.busy = false
		return
	}
	disk.scheduler.After(disk.options.Latency(), func() {
		if disk.Stalled {
			disk.scheduler.After(disk.options.StallRetryInterval, disk.runNext)
			return
		}
		if len(disk.pending) > 0 {
			first := disk.pending[0]
			disk.pending = disk.pending[1:]
			first()
		}
		disk.runNext()
	})
}

// Resume runs the saves that a stall has delayed, unless the disk is still stalled. A serial disk resumes by itself.
func (disk *Disk) Resume() {
	if disk.Stalled || disk.options.Serial {
		return
	}
	stalled := disk.pending
	disk.pending = nil
	for _, work := range stalled {
		work()
	}
}

// Pending returns the number of saves that have not been run.
func (disk *Disk) Pending() int { return len(disk.pending) }

// Abandon discards the pending saves, as the end of their process does.
func (disk *Disk) Abandon() { disk.pending = nil }

// maxHistory bounds the acknowledged saves that a power loss can undo.
const maxHistory = 64

// RecordSave records the state after an acknowledged save, so that a power loss can undo later ones.
func (disk *Disk) RecordSave() {
	disk.history = append(disk.history, cloneFiles(disk.files))
	if len(disk.history) > maxHistory {
		disk.history = disk.history[1:]
	}
}

// LosePower discards what was not synced and applies LostSaves and TearLastFile, which it resets.
func (disk *Disk) LosePower() {
	disk.Abandon()
	if disk.options.LosesUnsynced {
		disk.files = cloneFiles(disk.synced)
	}
	if disk.LostSaves > 0 && len(disk.history) > 0 {
		disk.files = disk.history[max(0, len(disk.history)-1-disk.LostSaves)]
	}
	if names, _ := disk.List(); disk.TearLastFile && len(names) > 0 {
		last := names[len(names)-1]
		disk.files[last] = disk.files[last][:len(disk.files[last])/2]
	}
	disk.synced, disk.history, disk.LostSaves, disk.TearLastFile = cloneFiles(disk.files), nil, 0, false
}

// LosePowerPartially keeps or reverts each file that differs from the last sync of the folder. It calls keeps for each of them, in the order
// of names.
func (disk *Disk) LosePowerPartially(keeps func() bool) {
	disk.Abandon()
	for _, name := range disk.unsyncedNames() {
		if keeps() {
			continue
		}
		if content, found := disk.synced[name]; found {
			disk.files[name] = content
		} else {
			delete(disk.files, name)
		}
	}
	disk.synced, disk.history = cloneFiles(disk.files), nil
}

// unsyncedNames returns the names of files that were created, changed or removed since the last sync of the folder.
func (disk *Disk) unsyncedNames() []string {
	names := map[string]bool{}
	for name, content := range disk.files {
		if former, found := disk.synced[name]; !found || !slices.Equal(former, content) {
			names[name] = true
		}
	}
	for name := range disk.synced {
		if _, found := disk.files[name]; !found {
			names[name] = true
		}
	}
	return manifest.SortedKeys(names)
}

// Wipe empties the folder, like the replacement of the machine by an empty one.
func (disk *Disk) Wipe() {
	disk.Abandon()
	disk.files, disk.synced, disk.history = map[string][]byte{}, map[string][]byte{}, nil
}

func cloneFiles(files map[string][]byte) map[string][]byte {
	clone := make(map[string][]byte, len(files))
	for name, content := range files {
		clone[name] = content
	}
	return clone
}

// WriteTemp writes a temporary file; see Rename.
func (disk *Disk) WriteTemp(name string, content []byte) error {
	if disk.Full {
		return eris.New("no space left")
	}
	disk.files[name] = slices.Clone(content)
	return nil
}

// Rename gives a temporary file its final name, in place of a file with that name.
func (disk *Disk) Rename(temporary, name string) error {
	content, found := disk.files[temporary]
	if !found {
		return os.ErrNotExist
	}
	disk.files[name] = content
	delete(disk.files, temporary)
	return nil
}

// SyncFolder makes the current state durable.
func (disk *Disk) SyncFolder() error {
	disk.synced = cloneFiles(disk.files)
	return nil
}

// Read returns the content of a file, or os.ErrNotExist.
func (disk *Disk) Read(name string) ([]byte, error) {
	content, found := disk.files[name]
	if !found {
		return nil, os.ErrNotExist
	}
	return content, nil
}

// Remove removes a file. A missing one is no error.
func (disk *Disk) Remove(name string) error {
	delete(disk.files, name)
	return nil
}

// List returns the names of all files in ascending order.
func (disk *Disk) List() ([]string, error) { return manifest.SortedKeys(disk.files), nil }
