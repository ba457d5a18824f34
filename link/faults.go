package link

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Faults is the seam by which the test rig cuts links and breaks disks; without a file it does nothing.
type Faults struct {
	path  string
	lock  sync.Mutex
	state faultState
}

type faultState struct {
	Cut  []string `json:"cut"`
	Disk string   `json:"disk"`
	Loss int      `json:"loss"`
}

const faultPeriod = 50 * time.Millisecond

func NewFaults(path string, stop <-chan struct{}) *Faults {
	faults := &Faults{path: path}
	if path != "" {
		go faults.follow(stop)
	}
	return faults
}

func (faults *Faults) follow(stop <-chan struct{}) {
	ticker := time.NewTicker(faultPeriod)
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

// Lost tells, for a part of all that is sent, that it is to be lost.
func (faults *Faults) Lost() bool {
	faults.lock.Lock()
	defer faults.lock.Unlock()
	return faults.state.Loss > 0 && rand.IntN(100) < faults.state.Loss
}

func (faults *Faults) Disk() string {
	faults.lock.Lock()
	defer faults.lock.Unlock()
	return faults.state.Disk
}
