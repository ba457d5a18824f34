package rig

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	// readBackCount is how many of the newest accepted revisions are read back; the oldest of a long soak are no longer stored.
	readBackCount = 100
	// maxProcessMemoryKB bounds the peak memory of one process: what a deployment gives to a control process.
	maxProcessMemoryKB = 128 << 10
)

// checkOutcome checks the fleet after a soak: it serves again, returns the revisions that it accepted, its programs are sound, and no call was
// lost to a graceful stop.
func (run *soakRun) checkOutcome() error {
	rig := run.rig
	failures := run.failures
	serving := rig.Await("serving again", 2*rig.bounds.Return(), func() bool {
		failures = append(failures, run.restartEndedPrograms())
		return rig.isServing()
	})
	failures = append(failures, serving, run.readBackNewestRevisions(), rig.checkProcesses())
	for _, lost := range run.lostDuringStops() {
		failures = append(failures, fmt.Errorf("call %s ran and got no answer while %s stopped as planned, sent at %v, ended at %v", lost.Call, lost.Node, lost.SentAt, lost.EndedAt))
	}
	run.plan.Log(fmt.Sprint(rig.ResourceUsage()))
	for _, event := range manifest.SortedKeys(run.counts) {
		run.plan.Log(fmt.Sprintf("  %-28s %d", event, run.counts[event]))
	}
	return errors.Join(failures...)
}

// readBackNewestRevisions reads the newest accepted revisions.
func (run *soakRun) readBackNewestRevisions() error {
	rig := run.rig
	accepted := rig.Ledger.AcceptedRevisions()
	for index, revision := range accepted[max(0, len(accepted)-readBackCount):] {
		if err := rig.awaitRevision(index, revision); err != nil {
			return err
		}
	}
	return nil
}

// lostDuringStops returns the calls that a server ran and that were broken off while their machine stopped gracefully without being killed or
// frozen around that time.
func (run *soakRun) lostDuringStops() []ledger.LostRun {
	lost := []ledger.LostRun{}
	for _, cut := range run.rig.Ledger.LostRuns() {
		if overlapsAny(run.stops, cut, 0) && !overlapsAny(run.faults, cut, run.rig.bounds.Withdraw()) {
			lost = append(lost, cut)
		}
	}
	return lost
}

// overlapsAny reports whether a call was in progress during one of the spans of its machine, or within margin after it.
func overlapsAny(spans []timeSpan, cut ledger.LostRun, margin time.Duration) bool {
	for _, span := range spans {
		if span.node == cut.Node && span.from <= cut.EndedAt && cut.SentAt <= span.until+margin {
			return true
		}
	}
	return false
}

// checkProcesses checks the programs' logs for crashes and data races, and their peak memory against its bound.
func (rig *Rig) checkProcesses() error {
	failures := []error{}
	for _, node := range rig.Nodes {
		for _, program := range programNames {
			content, err := os.ReadFile(filepath.Join(node.folder, program+".log"))
			failures = append(failures, err)
			for _, word := range []string{"panic:", "fatal error:", "DATA RACE"} {
				if bytes.Contains(content, []byte(word)) {
					failures = append(failures, fmt.Errorf("%s of %s wrote %q", program, node.Machine.Name, word))
				}
			}
		}
		node.forEachProgram(func(program *program) {
			if memory := PeakMemoryKB(program.pid()); memory > maxProcessMemoryKB {
				failures = append(failures, fmt.Errorf("a process of %s used %d KB at its peak", node.Machine.Name, memory))
			}
		})
	}
	return errors.Join(failures...)
}

// ResourceUsage is what all processes of a fleet use together.
type ResourceUsage struct {
	// Processes is the number of processes, MemoryMB their resident memory together.
	Processes int
	MemoryMB  int64
	// MaxMemoryMB is the largest peak memory and MaxFiles the largest number of open files of one process.
	MaxMemoryMB int64
	MaxFiles    int
}

// String formats the usage on one line.
func (usage ResourceUsage) String() string {
	return fmt.Sprintf("%d processes, %d MB in all, %d MB and %d descriptors at most in one", usage.Processes, usage.MemoryMB, usage.MaxMemoryMB, usage.MaxFiles)
}

// ResourceUsage sums up what the processes use now.
func (rig *Rig) ResourceUsage() ResourceUsage {
	usage, lock := ResourceUsage{}, sync.Mutex{}
	for _, node := range rig.Nodes {
		node.forEachProgram(func(program *program) {
			lock.Lock()
			defer lock.Unlock()
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", program.pid()))
			usage.Processes++
			usage.MemoryMB += MemoryKB(program.pid()) >> 10
			usage.MaxMemoryMB = max(usage.MaxMemoryMB, PeakMemoryKB(program.pid())>>10)
			usage.MaxFiles = max(usage.MaxFiles, len(files))
		})
	}
	return usage
}
