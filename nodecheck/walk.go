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

// Options of a walk: its seed, how long it is in virtual time, and a planted fault.
type Options struct {
	Seed  uint64
	Span  time.Duration
	Fault Fault
}

// Result of a walk. Violation is empty where everything held.
type Result struct {
	Options   Options
	Violation string
	Counts    Counts
}

func (result Result) String() string {
	outcome := "nothing broken"
	if result.Violation != "" {
		outcome = "BROKEN " + result.Violation
	}
	return fmt.Sprintf("seed %d, %v: %+v: %s", result.Options.Seed, result.Options.Span, result.Counts, outcome)
}

const (
	// followers are the nodes without a folder.
	followers     = 2
	firstRevision = int64(1)
	founding      = 6 * time.Second
	calmAtEnd     = 14 * time.Second
	// shortestCalm and longestCalm lie between two troubles; a trouble lasts as long at most as longestTrouble.
	shortestCalm   = 300 * time.Millisecond
	longestCalm    = 5 * time.Second
	longestTrouble = 6 * time.Second
)

// Walk plays one day and judges it.
func Walk(options Options) Result {
	world := &world{random: rand.New(rand.NewPCG(options.Seed, 21)), cut: map[[2]string]bool{}, fault: options.Fault}
	world.judge = newJudge(world)
	for place := range coreSize + followers {
		made := &node{world: world, name: fmt.Sprintf("n%d", place), address: addressOf(place)}
		if place < coreSize {
			made.disk = virtual.NewDisk(nil, virtual.DiskOptions{LosesUnsynced: true})
		}
		world.nodes = append(world.nodes, made)
	}
	for place, made := range world.nodes {
		made.start(place)
	}
	world.run(founding)
	world.first()
	world.run(2 * founding)
	for number := range operators {
		(&operator{world: world, name: fmt.Sprintf("o%d", number)}).next()
	}
	for range readers {
		world.read()
	}
	world.trouble(2*founding + options.Span)
	world.run(2*founding + options.Span + calmAtEnd)
	world.end()
	return Result{Options: options, Violation: world.judge.violation, Counts: world.counts}
}

// first brings the first configuration.
func (world *world) first() {
	routes := map[string]any{}
	for number := range routesAtFirst {
		name := fmt.Sprintf("r%d", number)
		routes[name] = routeOf(name, "first", 0)
	}
	zones := map[string]any{}
	for number := range coreSize {
		zones[zoneOf(number)] = map[string]any{"region": "region"}
	}
	body, failure := json.Marshal(map[string]any{"regions": map[string]any{"region": map[string]any{"shards": 1, "machines": []any{}}}, "zones": zones,
		"gateway": map[string]any{"revision": firstRevision, "routes": routes, "services": map[string]any{"s": map[string]any{}}}})
	if failure != nil {
		panic(failure)
	}
	world.nodes[0].ask(contract.OperatorRequest{Verb: contract.VerbReplace, HasBaseRevision: true, Operation: "first", Body: body, ReplyOnCommit: true}, func(answer contract.Response) {
		if answer.Status != statusDone {
			world.judge.fail("the first configuration got %d", answer.Status)
		}
	})
}

// trouble draws one trouble after the other until a moment.
func (world *world) trouble(until time.Duration) {
	world.after(world.between(shortestCalm, longestCalm), func() {
		if world.now > until {
			return
		}
		world.strike()
		world.trouble(until)
	})
}

// whole tells whether every core node runs, reaches the others and is in the newest view's chain, so that one may be lost.
func (world *world) whole() bool {
	if len(world.cut) > 0 {
		return false
	}
	for _, node := range world.nodes[:coreSize] {
		if !node.up() || node.frozen > world.now {
			return false
		}
		view := node.owner.Feed.View()
		if view.Number != int64(world.counts.Views) || len(view.Chain) < coreSize || view.ChainIndex(node.owner.Identity()) < 0 {
			return false
		}
	}
	return true
}

func (world *world) strike() {
	place := world.random.IntN(len(world.nodes))
	struck := world.nodes[place]
	span := world.between(shortestPause, longestTrouble)
	comeBack := func() {
		world.after(span, func() {
			if !struck.up() {
				struck.start(place)
			}
		})
	}
	switch world.random.IntN(6) {
	case 0, 1:
		if struck.up() {
			world.counts.Kills++
			struck.kill(false)
			comeBack()
		}
	case 2:
		if struck.up() {
			world.counts.PowerLosses++
			struck.kill(true)
			comeBack()
		}
	case 3:
		if struck.core() && world.whole() {
			world.counts.Wipes++
			struck.kill(false)
			struck.disk.Wipe()
			comeBack()
		}
	case 4:
		if struck.core() && len(world.cut) == 0 {
			world.counts.Cuts++
			world.isolate(struck, world.random.IntN(2) == 0)
			world.after(span, func() { world.cut = map[[2]string]bool{} })
		}
	case 5:
		world.counts.Freezes++
		struck.frozen = world.now + span
	}
}

// end judges what is left when all trouble is over.
func (world *world) end() {
	for _, node := range world.nodes[:coreSize] {
		if node.up() {
			world.judge.kept(node)
		}
	}
	if world.counts.Acknowledged == 0 || world.counts.Reads == 0 {
		world.judge.fail("nothing was acknowledged or read")
	}
	world.judge.linearizable()
}

// Summary of walks. Broken is the first one that broke something, or nothing.
type Summary struct {
	Walks  int
	Counts Counts
	Took   time.Duration
	Broken *Result
}

func (summary Summary) String() string {
	outcome := "nothing broken"
	if summary.Broken != nil {
		outcome = summary.Broken.String()
	}
	return fmt.Sprintf("%d walks, %+v, %v: %s", summary.Walks, summary.Counts, summary.Took.Round(time.Millisecond), outcome)
}

// Explore plays walks with rising seeds on all processors until one breaks something, or all are played.
func Explore(options Options, walks int, within time.Duration) Summary {
	summary, began, next := Summary{}, time.Now(), atomic.Uint64{}
	group, lock, stop := sync.WaitGroup{}, sync.Mutex{}, atomic.Bool{}
	for range runtime.GOMAXPROCS(0) {
		group.Add(1)
		go func() {
			defer group.Done()
			for !stop.Load() && time.Since(began) < within {
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
	summary.Took = time.Since(began)
	return summary
}

func (summary *Summary) add(result Result) {
	summary.Walks++
	total, one := &summary.Counts, result.Counts
	total.Orders += one.Orders
	total.Acknowledged += one.Acknowledged
	total.Refused += one.Refused
	total.Unknown += one.Unknown
	total.SentAgain += one.SentAgain
	total.Reads += one.Reads
	total.ReadsRefused += one.ReadsRefused
	total.Kills += one.Kills
	total.PowerLosses += one.PowerLosses
	total.Wipes += one.Wipes
	total.Cuts += one.Cuts
	total.Freezes += one.Freezes
	total.Views += one.Views
	if result.Violation != "" && (summary.Broken == nil || result.Options.Seed < summary.Broken.Options.Seed) {
		summary.Broken = &result
	}
}
