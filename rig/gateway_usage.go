package rig

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// limitOpenFiles limits the descriptors of a process, zero for no limit of its own.
func limitOpenFiles(pid, count int) error {
	if count == 0 {
		return nil
	}
	limit := unix.Rlimit{Cur: uint64(count), Max: uint64(count)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil && err != unix.ESRCH {
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	return nil
}

// processUsage is the highest use that was seen of the processes of a role.
type processUsage struct {
	residentKB, threads int
}

const usagePeriod = 500 * time.Millisecond

// sampleUsage samples memory and threads of all processes until the context ends. A process above the memory of its settings is a failure, since
// the platform kills it.
func (fleet *gatewayFleet) sampleUsage(ctx context.Context) {
	highest, reported := map[string]processUsage{}, map[*program]bool{}
	for ctx.Err() == nil {
		for _, machine := range fleet.present() {
			for _, role := range machine.roles() {
				process := machine.process(role)
				if process == nil || process.hasEnded() {
					continue
				}
				usage := readUsage(process.pid())
				highest[role] = processUsage{max(highest[role].residentKB, usage.residentKB), max(highest[role].threads, usage.threads)}
				if limit := fleet.plan.Limits.MemoryMB << 10; limit > 0 && usage.residentKB > limit && !reported[process] {
					reported[process] = true
					fleet.fail(fmt.Errorf("%s of %s uses %d KB of memory, %d KB are allowed", role, machine.name, usage.residentKB, limit))
				}
			}
		}
		time.Sleep(usagePeriod)
	}
	for role, usage := range highest {
		fleet.plan.Log(fmt.Sprintf("  highest use of a %s: %d KB resident, %d threads", role, usage.residentKB, usage.threads))
	}
}

// readUsage reads the peak of the resident memory and the threads of a process.
func readUsage(pid int) processUsage {
	usage := processUsage{}
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmHWM:":
			usage.residentKB, _ = strconv.Atoi(fields[1])
		case "Threads:":
			usage.threads, _ = strconv.Atoi(fields[1])
		}
	}
	return usage
}
