package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/engine"
)

// visitor is one of the callers of a zone: it looks nodes up, keeps the answer for its life, and keeps connections or opens new ones.
type visitor struct {
	day     *Day
	name    string
	zone    string
	region  string
	key     string
	random  *rand.Rand
	keeps   bool
	hasty   bool
	holds   time.Duration
	known   []string
	until   time.Duration
	asking  bool
	idle    []*kept
	failed  map[string]time.Duration
	waiting []func()
}

type kept struct {
	conn    *conn
	address string
	used    time.Duration
}

const (
	askPatience   = time.Second
	mostAsked     = 3
	longHolders   = 4
	hastyOnes     = 6
	hastyTries    = 3
	longHold      = 3
	failedFor     = 2 * time.Second
	askPause      = 300 * time.Millisecond
	connectTime   = time.Second
	callerIdle    = 3 * time.Second
	idlePerCaller = 16
)

func (visitor *visitor) place() place {
	return place{"callers-" + visitor.zone, visitor.zone, visitor.region, true}
}

// ask looks up nodes: near ones first, each for a second, three at most.
func (visitor *visitor) ask() {
	if visitor.asking {
		return
	}
	visitor.asking = true
	targets := visitor.day.seen()
	visitor.random.Shuffle(len(targets), func(left, right int) { targets[left], targets[right] = targets[right], targets[left] })
	distance := func(machine *machine) int {
		switch {
		case machine.zone == visitor.zone:
			return 0
		case machine.region == visitor.region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(targets, func(left, right *machine) int { return distance(left) - distance(right) })
	visitor.askOne(targets[:min(mostAsked, len(targets))])
}

func (visitor *visitor) askOne(targets []*machine) {
	world := visitor.day.world
	if len(targets) == 0 {
		world.After(askPause, func() {
			visitor.asking = false
			visitor.ask()
		})
		return
	}
	target, given := targets[0], false
	end := func(addresses []string) {
		if given {
			return
		}
		given = true
		if len(addresses) == 0 {
			visitor.askOne(targets[1:])
			return
		}
		visitor.learned(addresses)
	}
	world.After(askPatience, func() { end(nil) })
	world.post(visitor.place(), target.place(), func() {
		if !target.up() {
			world.post(target.place(), visitor.place(), func() { end(nil) })
			return
		}
		target.data.lookup(visitor.region, visitor.zone, func(addresses []string) {
			world.post(target.place(), visitor.place(), func() { end(addresses) })
		})
	})
}

func (visitor *visitor) learned(addresses []string) {
	visitor.asking, visitor.known = false, addresses
	visitor.until = visitor.day.world.Now + visitor.holds
	visitor.idle = slices.DeleteFunc(visitor.idle, func(one *kept) bool {
		if visitor.day.stay || slices.Contains(addresses, one.address) {
			return false
		}
		one.conn.close(near)
		return true
	})
	waiting := visitor.waiting
	visitor.waiting = nil
	for _, then := range waiting {
		then()
	}
}

// addressed waits until nodes are known, and asks anew when the answer has lived its life.
func (visitor *visitor) addressed(then func()) {
	if visitor.day.world.Now >= visitor.until {
		visitor.ask()
	}
	if len(visitor.known) == 0 {
		visitor.waiting = append(visitor.waiting, then)
		return
	}
	then()
}

func (visitor *visitor) choose() string {
	now := visitor.day.world.Now
	open := slices.DeleteFunc(slices.Clone(visitor.known), func(address string) bool { return visitor.failed[address] > now })
	if len(open) == 0 {
		open = visitor.known
	}
	return open[visitor.random.IntN(len(open))]
}

func (visitor *visitor) fail(address string) {
	visitor.failed[address] = visitor.day.world.Now + failedFor
}

// connected gives a kept connection or a new one; there is none when the node doesn't answer.
func (visitor *visitor) connected(fresh bool, then func(opened *conn, address string)) {
	for visitor.keeps && !fresh && len(visitor.idle) > 0 {
		last := visitor.idle[len(visitor.idle)-1]
		visitor.idle = visitor.idle[:len(visitor.idle)-1]
		if last.conn.live[near] && (visitor.day.stay || visitor.day.world.Now-last.used < callerIdle) {
			then(last.conn, last.address)
			return
		}
		last.conn.close(near)
	}
	address := visitor.choose()
	visitor.day.connect(visitor.place(), address, then)
}

// connect opens a connection to the node at an address.
func (day *Day) connect(from place, address string, then func(opened *conn, address string)) {
	machine := day.machineAt(address)
	accept, to := func(*conn) bool { return false }, place{name: address, zone: from.zone, region: from.region}
	if machine != nil {
		to = machine.place()
		accept = func(conn *conn) bool { return machine.data != nil && machine.data.accept(conn) }
	}
	day.world.dial(from, to, connectTime, accept, func(opened *conn) { then(opened, address) })
}

func (visitor *visitor) keep(opened *conn, address string) {
	if !visitor.keeps || len(visitor.idle) >= idlePerCaller || !opened.live[near] {
		opened.close(near)
		return
	}
	opened.closed[near] = nil
	visitor.idle = append(visitor.idle, &kept{opened, address, visitor.day.world.Now})
}

// call is what a visitor wants: one try, and further ones as it is told or allowed.
type call struct {
	*Figure
	day      *Day
	visitor  *visitor
	class    *Class
	route    string
	key      string
	prompt   engine.Prompt
	work     time.Duration
	pieces   int
	began    time.Duration
	ends     time.Duration
	tries    int
	got      int
	last     time.Duration
	straight *machine
}

// traffic lets the callers of each zone come, at a rate that swings; what they ask is drawn apart from all that the product does.
func (day *Day) traffic(from, until time.Duration) {
	for _, source := range day.site.Traffic {
		visitors := []*visitor{}
		for index := range max(1, source.Callers) {
			made := &visitor{day: day, name: source.Zone + name(index), zone: source.Zone, region: day.site.region(source.Zone),
				random: day.world.source("visitor " + source.Zone + name(index)), failed: map[string]time.Duration{}, keeps: index%3 > 0 || day.stay, hasty: index%hastyOnes == 1}
			made.key = day.operator.heldKey(made.random.IntN)
			made.holds = seconds(day.site.Bounds.LookupLifeS) / 5
			if index%longHolders == 0 {
				made.holds *= longHold
			}
			visitors = append(visitors, made)
		}
		day.visitors[source.Zone] = visitors
		day.arrivals(source, from, until)
	}
}

func (day *Day) arrivals(source Source, from, until time.Duration) {
	random := day.world.source("traffic " + source.Zone)
	var next func()
	next = func() {
		if day.world.Now >= until {
			return
		}
		zone := source.Zone
		if share := day.shifts[zone]; share.share > 0 && random.Float64() < share.share {
			zone = share.to
		}
		clump := 1
		for source.Clump > 1 && random.Float64() < 1-1/source.Clump {
			clump++
		}
		for range clump {
			day.visit(random, zone)
		}
		rate := source.PerS / max(1, source.Clump) * day.swing(source, day.world.Now-from) * day.burst()
		day.world.After(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	day.world.At(from+time.Duration(random.ExpFloat64()/source.PerS*float64(time.Second)), next)
}

// visit draws a call and sends it.
func (day *Day) visit(random *rand.Rand, zone string) {
	sum := 0.0
	for index := range day.site.Classes {
		sum += day.weight(&day.site.Classes[index])
	}
	point := random.Float64() * sum
	var class *Class
	for index := range day.site.Classes {
		class = &day.site.Classes[index]
		if point -= day.weight(class); point < 0 {
			break
		}
	}
	visitors := day.visitors[zone]
	day.call(visitors[random.IntN(len(visitors))], class, random).send(false)
}

// call makes one call of a class, with its prompt and its work.
func (day *Day) call(visitor *visitor, class *Class, random *rand.Rand) *call {
	day.calls++
	one := &call{day: day, visitor: visitor, class: class, route: class.Name, key: visitor.key, began: day.world.Now, tries: class.Tries + 1,
		ends: day.world.Now + seconds(class.DeadlineMs/1000), work: seconds(class.WorkMs.draw(random) / 1000)}
	if visitor.hasty {
		one.tries += hastyTries
	}
	one.Figure = &Figure{Class: class.Name}
	day.figures = append(day.figures, one.Figure)
	if class.Pieces.Mean > 0 {
		one.pieces = max(1, int(class.Pieces.draw(random)))
		one.prompt = day.prompt(class, random, one.pieces)
	}
	return one
}

// prompt draws the kind of the last shared part; the parts before it are always the same ones.
func (day *Day) prompt(class *Class, random *rand.Rand, pieces int) engine.Prompt {
	prompt := engine.Prompt{Model: "m"}
	kinds := make([]int, len(class.Parts))
	for level, part := range class.Parts {
		kinds[level] = random.IntN(part.Kinds)
	}
	for level, part := range class.Parts {
		kind := kinds[len(kinds)-1] % part.Kinds
		id := class.Name + "-" + name(level) + "-" + name(kind)
		drawn := day.world.source(id)
		prompt.Parts = append(prompt.Parts, engine.Part{ID: id, Tokens: max(1, int64(part.Tokens.draw(drawn)))})
	}
	prompt.Parts = append(prompt.Parts, engine.Part{ID: "own-" + name(int(day.calls)), Tokens: max(1, int64(class.Tokens.draw(random)))})
	for _, part := range prompt.Parts {
		prompt.Input += part.Tokens
	}
	prompt.Output = int64(pieces * day.site.service(class.Service).Engine.Stride)
	return prompt
}

func (call *call) try() *rules.Attempt {
	class, day := call.class, call.day
	day.tries++
	return &rules.Attempt{Identity: "t" + name(int(day.tries)), Call: "", Class: class.Name, Route: call.route, Service: class.Service, Kind: class.Kind,
		Zone: call.visitor.zone, Region: call.visitor.region, Repeatable: class.Kind == "read_only" || class.Resumable, Resumable: class.Resumable,
		Stream: class.Kind == "streaming", Regions: class.Regions, TotalPieces: call.pieces, Deadline: call.ends, ResumeAfter: call.got, Key: call.key}
}
