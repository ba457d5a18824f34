package rig

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/ledger"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	// readBackNewest is how many of the newest accepted revisions are read back; the oldest of a long soak are no longer kept.
	readBackNewest = 100
	// mostMemory bounds the memory of one process at its peak, in KB: what the users' machines give a control process.
	mostMemory = 128 << 10
)

// settled wants a fleet that is whole again after a soak: it serves, reads back what it accepted, and its programs are sound.
func (soaked *soaking) settled() error {
	rig := soaked.rig
	failures := soaked.failures
	failures = append(failures, rig.Await("serving again", 2*rig.bounds.Return(), func() bool {
		failures = append(failures, soaked.watch())
		return rig.serves()
	}), soaked.readBack(), rig.sound())
	for _, lost := range soaked.lostAtStops() {
		failures = append(failures, fmt.Errorf("call %s ran and got no answer while %s stopped as planned, sent at %v, ended at %v", lost.Call, lost.Node, lost.SentAt, lost.EndedAt))
	}
	soaked.plan.Say(fmt.Sprint(rig.Taken()))
	for _, what := range manifest.SortedKeys(soaked.counts) {
		soaked.plan.Say(fmt.Sprintf("  %-28s %d", what, soaked.counts[what]))
	}
	return errors.Join(failures...)
}

func (soaked *soaking) readBack() error {
	rig := soaked.rig
	accepted := rig.Ledger.AcceptedRevisions()
	for place, revision := range accepted[max(0, len(accepted)-readBackNewest):] {
		if failure := rig.readRevision(place, revision); failure != nil {
			return failure
		}
	}
	return nil
}

// lostAtStops gives the calls that a server ran and that were cut while their machine stopped as planned and had no other trouble.
func (soaked *soaking) lostAtStops() []ledger.LostRun {
	lost := []ledger.LostRun{}
	for _, cut := range soaked.rig.Ledger.LostRuns() {
		if during(soaked.stops, cut, 0) && !during(soaked.troubles, cut, soaked.rig.bounds.Withdraw()) {
			lost = append(lost, cut)
		}
	}
	return lost
}

// during tells whether a call was under way while something was done to its machine, or so long after.
func during(spans []span, cut ledger.LostRun, after time.Duration) bool {
	for _, span := range spans {
		if span.node == cut.Node && span.from <= cut.EndedAt && cut.SentAt <= span.until+after {
			return true
		}
	}
	return false
}

// sound looks at the programs' own lines and at what the processes took; it says the largest of each.
func (rig *Rig) sound() error {
	failures := []error{}
	for _, node := range rig.Nodes {
		for _, program := range programNames {
			content, failure := os.ReadFile(filepath.Join(node.folder, program+".log"))
			failures = append(failures, failure)
			for _, word := range []string{"panic:", "fatal error:", "DATA RACE"} {
				if bytes.Contains(content, []byte(word)) {
					failures = append(failures, fmt.Errorf("%s of %s wrote %q", program, node.Machine.Name, word))
				}
			}
		}
		node.each(func(program *program) {
			if taken := peakMemory(program.pid()); taken > mostMemory {
				failures = append(failures, fmt.Errorf("a process of %s took %d KB", node.Machine.Name, taken))
			}
		})
	}
	return errors.Join(failures...)
}

// peakMemory gives the most memory that a process has had, in KB, or 0 if it is not there.
func peakMemory(pid int) int64 { return statusFigure(pid, "VmHWM:") }

func statusFigure(pid int, name string) int64 {
	content, failure := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if failure != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if text, fine := strings.CutPrefix(line, name); fine {
			figure, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
			return figure
		}
	}
	return 0
}

// Taken is what all processes of a fleet take together.
type Taken struct {
	Processes int
	MemoryMB  int64
	MostMB    int64
	MostFiles int
}

func (taken Taken) String() string {
	return fmt.Sprintf("%d processes, %d MB in all, %d MB and %d descriptors at most in one", taken.Processes, taken.MemoryMB, taken.MostMB, taken.MostFiles)
}

// Taken sums what the processes take now.
func (rig *Rig) Taken() Taken {
	taken, lock := Taken{}, sync.Mutex{}
	for _, node := range rig.Nodes {
		node.each(func(program *program) {
			lock.Lock()
			defer lock.Unlock()
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", program.pid()))
			taken.Processes++
			taken.MemoryMB += statusFigure(program.pid(), "VmRSS:") >> 10
			taken.MostMB = max(taken.MostMB, peakMemory(program.pid())>>10)
			taken.MostFiles = max(taken.MostFiles, len(files))
		})
	}
	return taken
}
