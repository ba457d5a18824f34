package fleet

import (
	"time"

	"github.com/cedarreel/cedarreel/virtual"
)

// Disk is the data folder of a core machine. ExtraLatency slows each sync down.
type Disk struct {
	*virtual.Disk
	ExtraLatency time.Duration
}

// syncLatency is the shortest time of a sync; the longest is twice as long.
const syncLatency = 2 * time.Millisecond

func newDisk(world *World) *Disk {
	made := &Disk{}
	made.Disk = virtual.NewDisk(&world.Scheduler, virtual.DiskOptions{LosesUnsynced: true, Serial: true, StallRetryInterval: syncLatency, Latency: func() time.Duration {
		return syncLatency + time.Duration(world.Random.Int64N(int64(syncLatency))) + made.ExtraLatency
	}})
	return made
}
