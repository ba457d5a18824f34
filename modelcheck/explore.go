package modelcheck

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Plan configures a series of walks with increasing seeds over clusters of several sizes. It ends at the first violation, once MaxStates
// actions were applied, or after TimeLimit.
type Plan struct {
	Seed      uint64
	Steps     int
	Sizes     []int
	Fault     Fault
	MaxStates int64
	TimeLimit time.Duration
}

// Summary is the outcome of Explore, with totals over all walks. Broken is the failing walk with the lowest seed, shrunk, or nil.
type Summary struct {
	Plan   Plan
	Walks  int64
	States int64
	Acked  int64
	Reads  int64
	Views  int64
	Took   time.Duration
	Broken *Result
}

// String formats the totals, and the replay of the failing walk if there is one.
func (summary Summary) String() string {
	outcome := "nothing broken"
	if summary.Broken != nil {
		outcome = "BROKEN: " + summary.Broken.String()
	}
	return fmt.Sprintf("seed %d, members %v: %d walks, %d states, %d writes acknowledged, %d reads answered, %d views, %v: %s", summary.Plan.Seed, summary.Plan.Sizes,
		summary.Walks, summary.States, summary.Acked, summary.Reads, summary.Views, summary.Took.Round(time.Millisecond), outcome)
}

// Explore runs the walks of a plan in parallel on all processors.
func Explore(plan Plan) Summary {
	summary, startedAt, next := Summary{Plan: plan}, time.Now(), atomic.Uint64{}
	group, lock, stop := sync.WaitGroup{}, sync.Mutex{}, atomic.Bool{}
	for range runtime.GOMAXPROCS(0) {
		group.Add(1)
		go func() {
			defer group.Done()
			for !stop.Load() && time.Since(startedAt) < plan.TimeLimit {
				number := next.Add(1) - 1
				result := Walk(Options{Seed: plan.Seed + number, Members: plan.Sizes[int(number)%len(plan.Sizes)], Steps: plan.Steps, Fault: plan.Fault})
				lock.Lock()
				summary.add(result)
				if result.Violation != "" || summary.States >= plan.MaxStates {
					stop.Store(true)
				}
				lock.Unlock()
			}
		}()
	}
	group.Wait()
	if summary.Broken != nil {
		shrunk := Shrink(*summary.Broken)
		summary.Broken = &shrunk
	}
	summary.Took = time.Since(startedAt)
	return summary
}

func (summary *Summary) add(result Result) {
	summary.Walks++
	summary.States += int64(result.Steps)
	summary.Acked += int64(result.Acked)
	summary.Reads += int64(result.Reads)
	summary.Views += int64(result.Views)
	if result.Violation != "" && (summary.Broken == nil || result.Options.Seed < summary.Broken.Options.Seed) {
		summary.Broken = &result
	}
}
