package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
)

// Day is one seeded day of a site.
type Day struct {
	world     *World
	site      Site
	record    *rules.Record
	machines  []*machine
	byName    map[string]*machine
	servers   map[string]*server
	byAddress map[string]*server
	order     []*server
	started   map[string]int
	free      []string
	addresses int
	list      *list
	operator  *operator
	visitors  map[string][]*visitor
	shifts    map[string]shift
	bursts    []*surge
	changes   []Change
	figures   []*Figure
	counts    map[string]int64
	shared    map[string]bool
	chance    *rand.Rand
	tell      func(string)
	sieve     func(*machine, *contract.Event) bool
	plan      []string
	calls     int64
	tries     int64
	runs      int64
	reports   int64
	opened    int64
	read      int64
	again     int64
	putBacks  int64
	caches    caches
	stay      bool
	// relayLoss is the share of the messages that members carry for others that is lost now.
	relayLoss float64
}

type shift struct {
	share float64
	to    string
}

// surge raises the rate of all calls, or of one class, for a while.
type surge struct {
	class string
	times float64
}

type Option func(*Day)

// WithTell gives every change of state that a process tells of.
func WithTell(tell func(string)) Option { return func(day *Day) { day.tell = tell } }

// WithChanges plays with other settings of the product.
func WithChanges(changes ...Change) Option { return func(day *Day) { day.changes = changes } }

// withSieve puts a fault into every node: what its calls learn goes through a sieve.
func withSieve(sieve func(*machine, *contract.Event) bool) Option {
	return func(day *Day) { day.sieve = sieve }
}

// New makes a day that has not begun.
func New(site Site, seed uint64, options ...Option) *Day {
	bounds := site.Bounds
	day := &Day{world: newWorld(seed, site.Net), site: site, byName: map[string]*machine{}, servers: map[string]*server{}, byAddress: map[string]*server{},
		started: map[string]int{}, visitors: map[string][]*visitor{}, shifts: map[string]shift{}, counts: map[string]int64{}, shared: map[string]bool{}, caches: caches{counts: map[string]int64{}, told: map[string]int64{}}}
	for _, option := range options {
		option(day)
	}
	day.chance = day.world.source("troubles")
	day.record = &rules.Record{CoreSize: 2*bounds.ToleratedMachines + 1, Services: map[string]rules.Service{}, Bounds: rules.Bounds{Contact: milliseconds(bounds.ContactMs), Ack: milliseconds(bounds.AckMs),
		Drain: milliseconds(bounds.DrainMs), Grace: seconds(bounds.GraceS), Loss: milliseconds(bounds.LossMs), Propagate: milliseconds(bounds.PropagateMs),
		Revert: milliseconds(bounds.RevertMs), Evacuate: milliseconds(bounds.EvacuateMs), Recover: seconds(bounds.RecoverS), RetryRatio: bounds.RetryRatio,
		RetryWindow: seconds(bounds.RetryWindowS), RetryAllowance: bounds.RetryAllowance, WarmupOverage: bounds.WarmupOverage, WarmupAllowance: bounds.WarmupAllowance}}
	day.list = &list{day: day}
	for _, service := range site.Services {
		day.record.Services[service.Name] = rules.Service{ColdPerS: service.ColdPerS}
		for _, group := range service.Servers {
			for range group.Count {
				day.addServer(service, group.Zone)
			}
		}
	}
	for _, group := range site.Machines {
		for range group.Count {
			day.addMachine(group.Zone, group.Core)
		}
	}
	day.operator = newOperator(day)
	return day
}

func (day *Day) addMachine(zone string, core bool) *machine {
	number := len(day.machines) + 1
	made := &machine{day: day, name: "node-" + name(number), zone: zone, region: day.site.region(zone), core: core, number: number,
		address: fmt.Sprintf("10.1.%d.%d", number/200, number%200+1)}
	if core {
		made.disk = newDisk(day.world)
	}
	made.record = &rules.Machine{Name: made.name, Region: made.region, Core: core}
	day.record.Machines = append(day.record.Machines, made.record)
	day.machines = append(day.machines, made)
	day.byName[made.name] = made
	return made
}

func name(number int) string { return fmt.Sprintf("%02d", number) }

// seeds are the control addresses of three core machines, as they stood when the machine's settings were written.
func (day *Day) seeds(machine *machine) []string {
	seeds := []string{}
	for _, other := range day.machines {
		if other.core && !other.gone && len(seeds) < 3 {
			seeds = append(seeds, other.address+":"+controlPort)
		}
	}
	return seeds
}

func (day *Day) listening(address string) *process {
	host, port, failure := net.SplitHostPort(address)
	machine := day.machineAt(host + ":")
	if failure != nil || machine == nil || machine.data == nil || port == controlPort && machine.control == nil {
		return nil
	}
	if port == controlPort {
		return machine.control.process
	}
	return machine.data.process
}

func (day *Day) machineAt(address string) *machine {
	host, _, _ := net.SplitHostPort(address)
	for _, machine := range day.machines {
		if machine.address == host {
			return machine
		}
	}
	return nil
}

// seen is the list of nodes that callers and the operator have, as it was a while ago.
func (day *Day) seen() []*machine {
	return slices.DeleteFunc(slices.Clone(day.machines), func(machine *machine) bool {
		return machine.boots == 0 || machine.listed > day.world.Now || machine.gone && machine.removed+day.listDelay() <= day.world.Now
	})
}

// operable gives those of the list that operators may call: where a control process runs.
func (day *Day) operable() []*machine {
	return slices.DeleteFunc(day.seen(), func(machine *machine) bool { return !machine.controls() })
}

// listDelay is how late the list of nodes is; those that are there from the start are on it.
func (day *Day) listDelay() time.Duration {
	if day.world.Now == 0 {
		return 0
	}
	return seconds(day.site.Bounds.SeedDelayS)
}

func (day *Day) at(address string) *server {
	server := day.byAddress[address]
	if server == nil || !server.up {
		return nil
	}
	return server
}

// address gives a new server one that was free for long enough, or a fresh one.
func (day *Day) address(service string) string {
	if len(day.free) > 0 {
		first := day.free[0]
		day.free = day.free[1:]
		return first
	}
	day.addresses++
	return fmt.Sprintf("10.128.%d.%d:8080", day.addresses/200, day.addresses%200+1)
}

func (day *Day) host() string { return day.site.Name + ".example" }

func (day *Day) say(who, what string, detail ...any) {
	if day.tell != nil {
		day.tell(fmt.Sprintln(day.world.Now.Round(time.Millisecond), who, what, detail))
	}
}

func (day *Day) weight(class *Class) float64 {
	weight := class.Weight
	for _, surge := range day.bursts {
		if surge.class == class.Name {
			weight *= surge.times
		}
	}
	return weight
}

// burst is what the rate of all calls together grows by.
func (day *Day) burst() float64 {
	plain, now := 0.0, 0.0
	for index := range day.site.Classes {
		class := &day.site.Classes[index]
		plain, now = plain+class.Weight, now+day.weight(class)
	}
	times := now / plain
	for _, surge := range day.bursts {
		if surge.class == "" {
			times *= surge.times
		}
	}
	return times
}

func (day *Day) swing(source Source, passed time.Duration) float64 {
	if source.PeriodS == 0 {
		return 1
	}
	return 1 + source.Swing*math.Sin(2*math.Pi*(passed.Seconds()/source.PeriodS+source.Phase))
}

func (spread Spread) draw(random *rand.Rand) float64 {
	value := spread.Mean
	if spread.Spread > 0 {
		sigma := math.Sqrt(math.Log(1 + spread.Spread*spread.Spread))
		value = spread.Mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	}
	if spread.Most > 0 {
		value = min(value, spread.Most)
	}
	return value
}

// Play plays a whole day: its troubles are drawn unless they are given.
func Play(site Site, seed uint64, plan Plan, options ...Option) Result {
	day := New(site, seed, options...)
	lead, length := seconds(site.LeadS), seconds(site.DayS)
	for _, machine := range day.machines {
		machine.start()
		machine.ill(0, 0)
	}
	day.operator.begin()
	troubles, closing := plan.Troubles, plan.Closing
	if plan.Drawn > 0 {
		troubles, closing = day.draw(plan.Drawn)
	}
	until := lead + length
	if closing != "" {
		until += seconds(site.Bounds.RecoverS) + closingTail
	}
	day.record.Traffic = rules.Span{From: lead, Until: until}
	day.stay = plan.Stay
	day.traffic(lead, until)
	for _, trouble := range troubles {
		day.schedule(trouble)
	}
	if closing != "" {
		day.world.At(lead+length, func() { day.close(closing) })
	}
	last := until + settleTime
	day.world.RunUntil(last - day.record.Bounds.Contact)
	day.operator.readBack(last + time.Second)
	day.world.RunUntil(last + 2*time.Second)
	day.record.End = day.world.Now
	return day.result(seed)
}

const (
	closingTail = 6 * time.Second
	settleTime  = 9 * time.Second
)

// Plan is what happens in a day: so many drawn troubles, or given ones and a closing fault. With Stay callers use connections that are
// open until the other end closes them, wherever a look-up sends them.
type Plan struct {
	Drawn    int
	Troubles []Trouble
	Closing  string
	Stay     bool
}

// Result is a day as it was judged.
type Result struct {
	Seed     uint64
	Troubles []string
	Breaches []rules.Violation
	Figures  Figures
	Record   *rules.Record
	Counts   map[string]int64
}

func (day *Day) result(seed uint64) Result {
	return Result{Seed: seed, Troubles: day.plan, Breaches: rules.Check(day.record), Figures: day.sum(), Record: day.record, Counts: day.counts}
}
