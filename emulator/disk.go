package emulator

import (
	"time"

	"github.com/cedarreel/cedarreel/virtual"
)

// disk is a core machine's folder. What is written counts as synced when the save is over; a loss of power takes the rest. Troubles that
// overlap add up.
type disk struct {
	*virtual.Disk
	full    int
	stalled int
	slow    float64
}

const (
	syncTime     = 500 * time.Microsecond
	syncsPerSave = 3
	diskPause    = 20 * time.Millisecond
)

func newDisk(world *World) *disk {
	made := &disk{}
	latency := func() time.Duration { return time.Duration(float64(syncTime*syncsPerSave) * max(1, made.slow)) }
	made.Disk = virtual.NewDisk(&world.Scheduler, virtual.DiskOptions{Latency: latency, LosesUnsynced: true, Serial: true, StallRetryInterval: diskPause})
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
