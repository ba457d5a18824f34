package fleet

import (
	"time"

	"github.com/cedarreel/cedarreel/virtual"
)

// Disk is a core machine's folder, which may also turn slow: docs/notes/emulator.md.
type Disk struct {
	*virtual.Disk
	Slow time.Duration
}

const syncBase = 2 * time.Millisecond

func newDisk(world *World) *Disk {
	made := &Disk{}
	made.Disk = virtual.NewDisk(&world.Scheduler, virtual.DiskOptions{LosesUnsynced: true, Serial: true, StallRetryInterval: syncBase, Latency: func() time.Duration {
		return syncBase + time.Duration(world.Random.Int64N(int64(syncBase))) + made.Slow
	}})
	return made
}
