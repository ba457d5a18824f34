package rig

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// limitOpenFiles limits the descriptors of a process, zero for no limit of its own.
func limitOpenFiles(pid, count int) error {
	return limitResource(pid, unix.RLIMIT_NOFILE, uint64(count))
}

// limitMemory limits the writable memory of a process, zero for no limit: beyond it, its requests for memory fail and it ends.
func limitMemory(pid, megabytes int) error {
	return limitResource(pid, unix.RLIMIT_DATA, uint64(megabytes)<<20)
}

// limitResource limits a resource of a process that may have ended, zero for no limit.
func limitResource(pid, resource int, most uint64) error {
	if most == 0 {
		return nil
	}
	limit := unix.Rlimit{Cur: most, Max: most}
	if err := unix.Prlimit(pid, resource, &limit, nil); err != nil && err != unix.ESRCH {
		return fmt.Errorf("limit of resource %d: %w", resource, err)
	}
	return nil
}

// processUsage is the highest use that was seen of the processes of a role. processor is the share of one processor over processorWindow.
type processUsage struct {
	residentKB, threads int64
	processor           float64
}

// processorMeter is the processor time that a process had used at the start of a window.
type processorMeter struct {
	since time.Duration
	used  time.Duration
}

// processorWindow is the time over which the processor time of a process is held against its quota.
const processorWindow = 4 * time.Second

const usagePeriod = 500 * time.Millisecond

// sampleUsage samples memory, threads and processor time of all processes until the context ends. A process above the memory of its settings is a
// failure, since the platform kills it; so is one above its processor quota, since it stands still there.
func (fleet *gatewayFleet) sampleUsage(ctx context.Context) {
	highest, reported, meters := map[string]processUsage{}, map[*program]bool{}, map[*program]processorMeter{}
	for ctx.Err() == nil {
		for _, machine := range fleet.present() {
			for _, role := range machine.roles() {
				process := machine.process(role)
				if process == nil || process.hasEnded() {
					continue
				}
				usage := processUsage{PeakMemoryKB(process.pid()), threadCount(process.pid()), fleet.processorShare(process, meters)}
				highest[role] = highest[role].highest(usage)
				if quota := fleet.plan.Limits.ProcessorQuota; quota > 0 && usage.processor > quota {
					fleet.fail(fmt.Errorf("%s of %s uses %.2f of a processor for %v, %.2f are granted", role, machine.name, usage.processor, processorWindow, quota))
				}
				if limit := int64(fleet.plan.Limits.MemoryMB) << 10; limit > 0 && usage.residentKB > limit && !reported[process] {
					reported[process] = true
					fleet.fail(fmt.Errorf("%s of %s uses %d KB of memory, %d KB are allowed", role, machine.name, usage.residentKB, limit))
				}
			}
		}
		time.Sleep(usagePeriod)
	}
	for role, usage := range highest {
		fleet.plan.Log(fmt.Sprintf("  highest use of a %s: %d KB resident, %d threads, %.2f of a processor", role, usage.residentKB, usage.threads, usage.processor))
	}
}

func (usage processUsage) highest(other processUsage) processUsage {
	return processUsage{max(usage.residentKB, other.residentKB), max(usage.threads, other.threads), max(usage.processor, other.processor)}
}

// processorShare returns the share of one processor that a process used in the window that ends now, or 0 before its end.
func (fleet *gatewayFleet) processorShare(process *program, meters map[*program]processorMeter) float64 {
	now, used := fleet.now(), ProcessorTime(process.pid())
	meter, found := meters[process]
	if found && now-meter.since < processorWindow {
		return 0
	}
	meters[process] = processorMeter{now, used}
	if !found {
		return 0
	}
	return float64(used-meter.used) / float64(now-meter.since)
}
