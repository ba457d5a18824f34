package virtual

import (
	"os"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
	"github.com/rotisserie/eris"
)

// DiskOptions are what simulated disks differ in. Without LosesUnsynced and Serial a disk is kinder than a real one, or as no process
// uses one.
type DiskOptions struct {
	// Latency gives how long a save takes, asked as the save begins.
	Latency func() time.Duration
	// LosesUnsynced lets a loss of power take what was written since the folder was synced; otherwise every write is kept at once.
	LosesUnsynced bool
	// Serial lets one save begin when the one before is over, as the one goroutine for a disk does; otherwise saves overlap, and the
	// latest may be over first.
	Serial bool
	// Retry is how long a serial disk waits before it looks again whether it still stalls.
	Retry time.Duration
}

// Disk is a folder in memory, with the troubles of a disk. It may fill up, stall, tear a file, or lie about what it kept.
type Disk struct {
	Full    bool
	Stalled bool
	// Lies is how many acknowledged saves the next loss of power takes back.
	Lies int
	// Torn lets the next loss of power cut the last file in half.
	Torn bool

	options   DiskOptions
	scheduler *Scheduler
	files     map[string][]byte
	synced    map[string][]byte
	history   []map[string][]byte
	waiting   []func()
	busy      bool
}

func NewDisk(scheduler *Scheduler, options DiskOptions) *Disk {
	return &Disk{options: options, scheduler: scheduler, files: map[string][]byte{}, synced: map[string][]byte{}}
}

// Save does a piece of work after the time that the disk takes for it, later if it stalls then.
func (disk *Disk) Save(work func()) {
	if !disk.options.Serial {
		disk.scheduler.After(disk.options.Latency(), func() {
			if disk.Stalled {
				disk.waiting = append(disk.waiting, work)
				return
			}
			work()
		})
		return
	}
	disk.waiting = append(disk.waiting, work)
	if !disk.busy {
		disk.busy = true
		disk.next()
	}
}

func (disk *Disk) next() {
	if len(disk.waiting) == 0 {
		disk.busy = false
		return
	}
	disk.scheduler.After(disk.options.Latency(), func() {
		if disk.Stalled {
			disk.scheduler.After(disk.options.Retry, disk.next)
			return
		}
		if len(disk.waiting) > 0 {
			first := disk.waiting[0]
			disk.waiting = disk.waiting[1:]
			first()
		}
		disk.next()
	})
}

// Resume lets the saves that a stall held up go on, unless it lasts. A serial disk goes on by itself.
func (disk *Disk) Resume() {
	if disk.Stalled || disk.options.Serial {
		return
	}
	held := disk.waiting
	disk.waiting = nil
	for _, work := range held {
		work()
	}
}

// Waiting counts the saves that have not begun.
func (disk *Disk) Waiting() int { return len(disk.waiting) }

// Abandon forgets the saves that wait, as the end of their process does.
func (disk *Disk) Abandon() { disk.waiting = nil }

const historyMost = 64

// Acknowledged remembers the state after a save, so that a disk that lied can go back to it.
func (disk *Disk) Acknowledged() {
	disk.history = append(disk.history, copied(disk.files))
	if len(disk.history) > historyMost {
		disk.history = disk.history[1:]
	}
}

// LosePower takes what was not synced and what the disk only said it kept, the latter once.
func (disk *Disk) LosePower() {
	disk.Abandon()
	if disk.options.LosesUnsynced {
		disk.files = copied(disk.synced)
	}
	if disk.Lies > 0 && len(disk.history) > 0 {
		disk.files = disk.history[max(0, len(disk.history)-1-disk.Lies)]
	}
	if names, _ := disk.List(); disk.Torn && len(names) > 0 {
		last := names[len(names)-1]
		disk.files[last] = disk.files[last][:len(disk.files[last])/2]
	}
	disk.synced, disk.history, disk.Lies, disk.Torn = copied(disk.files), nil, 0, false
}

// LosePowerByName keeps or loses each name that is not as it was at the last sync of the folder, by itself, in the order of the names.
func (disk *Disk) LosePowerByName(keeps func() bool) {
	disk.Abandon()
	for _, name := range disk.unsynced() {
		if keeps() {
			continue
		}
		if content, there := disk.synced[name]; there {
			disk.files[name] = content
		} else {
			delete(disk.files, name)
		}
	}
	disk.synced, disk.history = copied(disk.files), nil
}

// unsynced gives the names that were made, changed or removed since the last sync of the folder.
func (disk *Disk) unsynced() []string {
	names := map[string]bool{}
	for name, content := range disk.files {
		if former, there := disk.synced[name]; !there || !slices.Equal(former, content) {
			names[name] = true
		}
	}
	for name := range disk.synced {
		if _, there := disk.files[name]; !there {
			names[name] = true
		}
	}
	return manifest.SortedKeys(names)
}

// Wipe empties the folder, as a swap for an empty machine does.
func (disk *Disk) Wipe() {
	disk.Abandon()
	disk.files, disk.synced, disk.history = map[string][]byte{}, map[string][]byte{}, nil
}

func copied(files map[string][]byte) map[string][]byte {
	made := make(map[string][]byte, len(files))
	for name, content := range files {
		made[name] = content
	}
	return made
}

func (disk *Disk) WriteTemp(name string, content []byte) error {
	if disk.Full {
		return eris.New("no space left")
	}
	disk.files[name] = slices.Clone(content)
	return nil
}

func (disk *Disk) Rename(aside, name string) error {
	content, there := disk.files[aside]
	if !there {
		return os.ErrNotExist
	}
	disk.files[name] = content
	delete(disk.files, aside)
	return nil
}

func (disk *Disk) SyncFolder() error {
	disk.synced = copied(disk.files)
	return nil
}

func (disk *Disk) Read(name string) ([]byte, error) {
	content, there := disk.files[name]
	if !there {
		return nil, os.ErrNotExist
	}
	return content, nil
}

func (disk *Disk) Remove(name string) error {
	delete(disk.files, name)
	return nil
}

func (disk *Disk) List() ([]string, error) { return manifest.SortedKeys(disk.files), nil }
