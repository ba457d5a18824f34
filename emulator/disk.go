package emulator

import (
	"time"

	"github.com/cedarreel/cedarreel/virtual"
)

// disk is the storage of a core machine. Data counts as synced when a save has ended; a power loss takes the rest. Overlapping
// faults are counted, so that each ends on its own.
type disk struct {
	*virtual.Disk
	full    int
	stalled int
	slow    float64
}

const (
	syncTime           = 500 * time.Microsecond
	syncsPerSave       = 3
	stallRetryInterval = 20 * time.Millisecond
)

func newDisk(world *World) *disk {
	made := &disk{}
	latency := func() time.Duration { return time.Duration(float64(syncTime*syncsPerSave) * max(1, made.slow)) }
	made.Disk = virtual.NewDisk(&world.Scheduler, virtual.DiskOptions{Latency: latency, LosesUnsynced: true, Serial: true, StallRetryInterval: stallRetryInterval})
	return made
}

func (disk *disk) fill(by int) {
	disk.full += by
	disk.Full = disk.full > 0
}

func (disk *disk) stall(by int) {
	disk.stalled += by
	disk.Stalled = disk.stalled > 0
}
