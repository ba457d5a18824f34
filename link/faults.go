package link

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Faults injects faults for the test rig, read from a file: cut links, lost messages and disk trouble. Without a file it does nothing.
type Faults struct {
	path  string
	lock  sync.Mutex
	state faultState
}

type faultState struct {
	Cut  []string `json:"cut"`  // addresses to which nothing is sent
	Disk string   `json:"disk"` // empty, full, slow or stalled
	Loss int      `json:"loss"` // percentage of bundles that are dropped
}

const faultPollInterval = 50 * time.Millisecond // between two reads of the file

// NewFaults reads the faults from the file at path until stop is closed; an empty path means none.
func NewFaults(path string, stop <-chan struct{}) *Faults {
	faults := &Faults{path: path}
	if path != "" {
		go faults.reloadLoop(stop)
	}
	return faults
}

func (faults *Faults) reloadLoop(stop <-chan struct{}) {
	ticker := time.NewTicker(faultPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		var state faultState
		if content, err := os.ReadFile(faults.path); err == nil && json.Unmarshal(content, &state) != nil {
			continue
		}
		faults.lock.Lock()
		faults.state = state
		faults.lock.Unlock()
	}
}

// Cut reports whether the link to an address is cut.
func (faults *Faults) Cut(address string) bool {
	faults.lock.Lock()
	defer faults.lock.Unlock()
	for _, other := range faults.state.Cut {
		if other == address {
			return true
		}
	}
	return false
}

// DropMessage reports, at random with the configured loss, whether the next bundle is to be dropped.
func (faults *Faults) DropMessage() bool {
	faults.lock.Lock()
	defer faults.lock.Unlock()
	return faults.state.Loss > 0 && rand.IntN(100) < faults.state.Loss
}

// Disk returns the present fault of the disk: empty, full, slow or stalled.
func (faults *Faults) Disk() string {
	faults.lock.Lock()
	defer faults.lock.Unlock()
	return faults.state.Disk
}
