package nodecheck

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/virtual"
)

// Options configure a walk: its seed, how long faults are injected in virtual time, and the planted fault.
type Options struct {
	Seed  uint64
	Span  time.Duration
	Fault Fault
}

// Result is the outcome of a walk. Violation is empty if every check passed.
type Result struct {
	Options   Options
	Violation string
	Counts    Counts
}

// String formats the seed, the counts and the violation if there is one.
func (result Result) String() string {
	outcome := "nothing broken"
	if result.Violation != "" {
		outcome = "BROKEN " + result.Violation
	}
	return fmt.Sprintf("seed %d, %v: %+v: %s", result.Options.Seed, result.Options.Span, result.Counts, outcome)
}

const (
	// nonCoreNodes is the number of nodes outside the core, which have no data folder.
	nonCoreNodes  = 2
	firstRevision = int64(1)
	formationTime = 6 * time.Second
	recoveryTime  = 14 * time.Second
	// Faults start minFaultInterval to maxFaultInterval apart and last at most maxFaultDuration.
	minFaultInterval = 300 * time.Millisecond
	maxFaultInterval = 5 * time.Second
	maxFaultDuration = 6 * time.Second
)

// Walk runs one simulation: the core forms, operators and readers work while faults are injected, faults end, and the result is checked.
func Walk(options Options) Result {
	simulation := &simulation{random: rand.New(rand.NewPCG(options.Seed, 21)), blockedLinks: map[[2]string]bool{}, fault: options.Fault}
	simulation.checker = newChecker(simulation)
	for index := range coreSize + nonCoreNodes {
		created := &node{simulation: simulation, name: fmt.Sprintf("n%d", index), address: addressOf(index)}
		if index < coreSize {
			created.disk = virtual.NewDisk(nil, virtual.DiskOptions{LosesUnsynced: true})
		}
		simulation.nodes = append(simulation.nodes, created)
	}
	for index, created := range simulation.nodes {
		created.start(index)
	}
	simulation.run(formationTime)
	simulation.submitInitialConfiguration()
	simulation.run(2 * formationTime)
	for number := range operatorCount {
		(&operator{simulation: simulation, name: fmt.Sprintf("o%d", number)}).orderNext()
	}
	for range readerCount {
		simulation.scheduleRead()
	}
	simulation.scheduleFaults(2*formationTime + options.Span)
	simulation.run(2*formationTime + options.Span + recoveryTime)
	simulation.checkFinalState()
	return Result{Options: options, Violation: simulation.checker.violation, Counts: simulation.counts}
}

// submitInitialConfiguration submits the first configuration.
func (simulation *simulation) submitInitialConfiguration() {
	routes := map[string]any{}
	for number := range initialRoutes {
		name := fmt.Sprintf("r%d", number)
		routes[name] = routeOf(name, "first", 0)
	}
	zones := map[string]any{}
	for number := range coreSize {
		zones[zoneOf(number)] = map[string]any{"region": "region"}
	}
	body, err := json.Marshal(map[string]any{"regions": map[string]any{"region": map[string]any{"shards": 1, "machines": []any{}}}, "zones": zones,
		"gateway": map[string]any{"revision": firstRevision, "routes": routes, "services": map[string]any{"s": map[string]any{}}}})
	if err != nil {
		panic(err)
	}
	simulation.nodes[0].request(contract.OperatorRequest{Verb: contract.VerbReplace, HasBaseRevision: true, Operation: "first", Body: body, ReplyOnCommit: true}, func(answer contract.Response) {
		if answer.Status != statusOK {
			simulation.checker.fail("the first configuration got %d", answer.Status)
		}
	})
}

// scheduleFaults injects random faults one after another until a point of virtual time.
func (simulation *simulation) scheduleFaults(deadline time.Duration) {
	simulation.schedule(simulation.randomDuration(minFaultInterval, maxFaultInterval), func() {
		if simulation.now > deadline {
			return
		}
		simulation.injectFault()
		simulation.scheduleFaults(deadline)
	})
}

// fullyReplicated reports whether every core node runs, reaches the others and is in the newest view's chain, so that one disk may be lost.
func (simulation *simulation) fullyReplicated() bool {
	if len(simulation.blockedLinks) > 0 {
		return false
	}
	for _, node := range simulation.nodes[:coreSize] {
		if !node.isUp() || node.frozenUntil > simulation.now {
			return false
		}
		view := node.controller.Feed.View()
		if view.Number != int64(simulation.counts.Views) || len(view.Chain) < coreSize || view.ChainIndex(node.controller.Identity()) < 0 {
			return false
		}
	}
	return true
}

// injectFault draws a node and a fault and injects it; a fault that is not applicable now is skipped.
func (simulation *simulation) injectFault() {
	index := simulation.random.IntN(len(simulation.nodes))
	target := simulation.nodes[index]
	duration := simulation.randomDuration(minPause, maxFaultDuration)
	restartLater := func() {
		simulation.schedule(duration, func() {
			if !target.isUp() {
				target.start(index)
			}
		})
	}
	switch simulation.random.IntN(6) {
	case 0, 1:
		if target.isUp() {
			simulation.counts.Kills++
			target.kill(false)
			restartLater()
		}
	case 2:
		if target.isUp() {
			simulation.counts.PowerLosses++
			target.kill(true)
			restartLater()
		}
	case 3:
		if target.isCore() && simulation.fullyReplicated() {
			simulation.counts.Wipes++
			target.kill(false)
			target.disk.Wipe()
			restartLater()
		}
	case 4:
		if target.isCore() && len(simulation.blockedLinks) == 0 {
			simulation.counts.Cuts++
			simulation.isolate(target, simulation.random.IntN(2) == 0)
			simulation.schedule(duration, func() { simulation.blockedLinks = map[[2]string]bool{} })
		}
	case 5:
		simulation.counts.Freezes++
		target.frozenUntil = simulation.now + duration
	}
}

// checkFinalState checks the final state after all faults have ended.
func (simulation *simulation) checkFinalState() {
	for _, node := range simulation.nodes[:coreSize] {
		if node.isUp() {
			simulation.checker.checkRetained(node)
		}
	}
	if simulation.counts.Acknowledged == 0 || simulation.counts.Reads == 0 {
		simulation.checker.fail("nothing was acknowledged or read")
	}
	simulation.checker.checkLinearizable()
}

// Summary is the outcome of Explore, with totals over all walks. Broken is the failing walk with the lowest seed, or nil.
type Summary struct {
	Walks  int
	Counts Counts
	Took   time.Duration
	Broken *Result
}

// String formats the totals, and the failing walk if there is one.
func (summary Summary) String() string {
	outcome := "nothing broken"
	if summary.Broken != nil {
		outcome = summary.Broken.String()
	}
	return fmt.Sprintf("%d walks, %+v, %v: %s", summary.Walks, summary.Counts, summary.Took.Round(time.Millisecond), outcome)
}

// Explore runs walks with increasing seeds in parallel on all processors, until one fails, all are done or the time limit has passed.
func Explore(options Options, walks int, timeLimit time.Duration) Summary {
	summary, startedAt, next := Summary{}, time.Now(), atomic.Uint64{}
	group, lock, stop := sync.WaitGroup{}, sync.Mutex{}, atomic.Bool{}
	for range runtime.GOMAXPROCS(0) {
		group.Add(1)
		go func() {
			defer group.Done()
			for !stop.Load() && time.Since(startedAt) < timeLimit {
				number := next.Add(1) - 1
				if number >= uint64(walks) {
					return
				}
				result := Walk(Options{Seed: options.Seed + number, Span: options.Span, Fault: options.Fault})
				lock.Lock()
				summary.add(result)
				lock.Unlock()
				if result.Violation != "" {
					stop.Store(true)
				}
			}
		}()
	}
	group.Wait()
	summary.Took = time.Since(startedAt)
	return summary
}

func (summary *Summary) add(result Result) {
	summary.Walks++
	total, walk := &summary.Counts, result.Counts
	total.Orders += walk.Orders
	total.Acknowledged += walk.Acknowledged
	total.Refused += walk.Refused
	total.Unknown += walk.Unknown
	total.SentAgain += walk.SentAgain
	total.Reads += walk.Reads
	total.ReadsRefused += walk.ReadsRefused
	total.Kills += walk.Kills
	total.PowerLosses += walk.PowerLosses
	total.Wipes += walk.Wipes
	total.Cuts += walk.Cuts
	total.Freezes += walk.Freezes
	total.Views += walk.Views
	if result.Violation != "" && (summary.Broken == nil || result.Options.Seed < summary.Broken.Options.Seed) {
		summary.Broken = &result
	}
}
