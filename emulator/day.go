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

// Day is one day of a site, determined by its seed.
type Day struct {
	world             *World
	site              Site
	record            *rules.Record
	machines          []*machine
	byName            map[string]*machine
	servers           map[string]*server
	byAddress         map[string]*server
	serversInOrder    []*server
	started           map[string]int
	freeAddresses     []string
	addresses         int
	list              *serverList
	operator          *operator
	clients           map[string][]*client
	clientShifts      map[string]clientShift
	surges            []*surge
	changes           []Change
	figures           []*Figure
	counts            map[string]int64
	sharedSeen        map[string]bool
	chance            *rand.Rand
	log               func(string)
	eventFilter       func(*machine, *contract.Event) bool
	plan              []string
	callCount         int64
	attemptCount      int64
	executions        int64
	reportCount       int64
	connectionsOpened int64
	readTokens        int64
	rereadTokens      int64
	preemptions       int64
	caches            cacheObservations
	keepsConnections  bool
	// relayLoss is the share of relayed messages that is lost at present.
	relayLoss float64
}

type clientShift struct {
	share float64
	to    string
}

// surge multiplies the rate of all calls, or of one class, for a while.
type surge struct {
	class  string
	factor float64
}

// Option sets an option of a new day.
type Option func(*Day)

// WithLog passes each log line of a process, and each trouble that begins, to a function.
func WithLog(tell func(string)) Option { return func(day *Day) { day.log = tell } }

// WithChanges runs the product with other settings.
func WithChanges(changes ...Change) Option { return func(day *Day) { day.changes = changes } }

// withEventFilter plants a fault: events for the routers pass a filter, which may change or drop them.
func withEventFilter(filter func(*machine, *contract.Event) bool) Option {
	return func(day *Day) { day.eventFilter = filter }
}

// New makes a day that has not started.
func New(site Site, seed uint64, options ...Option) *Day {
	bounds := site.Bounds
	day := &Day{world: newWorld(seed, site.Net), site: site, byName: map[string]*machine{}, servers: map[string]*server{}, byAddress: map[string]*server{},
		started: map[string]int{}, clients: map[string][]*client{}, clientShifts: map[string]clientShift{}, counts: map[string]int64{}, sharedSeen: map[string]bool{}, caches: cacheObservations{resetCounts: map[string]int64{}, oracleResets: map[string]int64{}}}
	for _, option := range options {
		option(day)
	}
	day.chance = day.world.randomSource("troubles")
	day.record = &rules.Record{CoreSize: 2*bounds.ToleratedMachines + 1, Services: map[string]rules.Service{}, Bounds: rules.Bounds{Contact: milliseconds(bounds.ContactMs), Ack: milliseconds(bounds.AckMs),
		Drain: milliseconds(bounds.DrainMs), Grace: seconds(bounds.GraceS), Loss: milliseconds(bounds.LossMs), Propagate: milliseconds(bounds.PropagateMs),
		Revert: milliseconds(bounds.RevertMs), Evacuate: milliseconds(bounds.EvacuateMs), Recover: seconds(bounds.RecoverS), RetryRatio: bounds.RetryRatio,
		RetryWindow: seconds(bounds.RetryWindowS), RetryAllowance: bounds.RetryAllowance, WarmupOverage: bounds.WarmupOverage, WarmupAllowance: bounds.WarmupAllowance}}
	day.list = &serverList{day: day}
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
	created := &machine{day: day, name: "node-" + twoDigits(number), zone: zone, region: day.site.region(zone), core: core, number: number,
		address: fmt.Sprintf("10.1.%d.%d", number/200, number%200+1)}
	if core {
		created.disk = newDisk(day.world)
	}
	created.record = &rules.Machine{Name: created.name, Region: created.region, Core: core}
	day.record.Machines = append(day.record.Machines, created.record)
	day.machines = append(day.machines, created)
	day.byName[created.name] = created
	return created
}

func twoDigits(number int) string { return fmt.Sprintf("%02d", number) }

// seeds are the control addresses of up to three core machines, as they stood when the machine started.
func (day *Day) seeds(machine *machine) []string {
	seeds := []string{}
	for _, other := range day.machines {
		if other.core && !other.removed && len(seeds) < 3 {
			seeds = append(seeds, other.address+":"+controlPort)
		}
	}
	return seeds
}

func (day *Day) listening(address string) *process {
	host, port, err := net.SplitHostPort(address)
	machine := day.machineAt(host + ":")
	if err != nil || machine == nil || machine.data == nil || port == controlPort && machine.control == nil {
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

// listedMachines is the list of nodes that callers and the operator have, which lags behind.
func (day *Day) listedMachines() []*machine {
	return slices.DeleteFunc(slices.Clone(day.machines), func(machine *machine) bool {
		return machine.boots == 0 || machine.listedAt > day.world.Now || machine.removed && machine.removedAt+day.listDelay() <= day.world.Now
	})
}

// operatorTargets are the listed machines that run a control process.
func (day *Day) operatorTargets() []*machine {
	return slices.DeleteFunc(day.listedMachines(), func(machine *machine) bool { return !machine.runsControl() })
}

// listDelay is the lag of the list of nodes; machines that start with the day are listed at once.
func (day *Day) listDelay() time.Duration {
	if day.world.Now == 0 {
		return 0
	}
	return seconds(day.site.Bounds.SeedDelayS)
}

func (day *Day) serverAt(address string) *server {
	server := day.byAddress[address]
	if server == nil || !server.up {
		return nil
	}
	return server
}

// address reuses the address of a server that ended long enough ago, or gives a new one.
func (day *Day) address(service string) string {
	if len(day.freeAddresses) > 0 {
		first := day.freeAddresses[0]
		day.freeAddresses = day.freeAddresses[1:]
		return first
	}
	day.addresses++
	return fmt.Sprintf("10.128.%d.%d:8080", day.addresses/200, day.addresses%200+1)
}

func (day *Day) host() string { return day.site.Name + ".example" }

func (day *Day) logEvent(who, what string, detail ...any) {
	if day.log != nil {
		day.log(fmt.Sprintln(day.world.Now.Round(time.Millisecond), who, what, detail))
	}
}

func (day *Day) weight(class *Class) float64 {
	weight := class.Weight
	for _, surge := range day.surges {
		if surge.class == class.Name {
			weight *= surge.factor
		}
	}
	return weight
}

// trafficFactor is the factor on the rate of all calls that results from the current surges.
func (day *Day) trafficFactor() float64 {
	plain, now := 0.0, 0.0
	for index := range day.site.Classes {
		class := &day.site.Classes[index]
		plain, now = plain+class.Weight, now+day.weight(class)
	}
	times := now / plain
	for _, surge := range day.surges {
		if surge.class == "" {
			times *= surge.factor
		}
	}
	return times
}

func (day *Day) swingFactor(source Source, passed time.Duration) float64 {
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

// Play runs a whole day and checks it. Troubles are drawn from the site's list if plan.DrawCount is above 0, otherwise taken from
// the plan.
func Play(site Site, seed uint64, plan Plan, options ...Option) Result {
	day := New(site, seed, options...)
	lead, length := seconds(site.LeadS), seconds(site.DayS)
	for _, machine := range day.machines {
		machine.start()
		machine.recordTrouble(0, 0)
	}
	day.operator.begin()
	troubles, closing := plan.Troubles, plan.FinalFault
	if plan.DrawCount > 0 {
		troubles, closing = day.drawTroubles(plan.DrawCount)
	}
	until := lead + length
	if closing != "" {
		until += seconds(site.Bounds.RecoverS) + finalFaultTail
	}
	day.record.Traffic = rules.Span{From: lead, Until: until}
	day.keepsConnections = plan.KeepsConnections
	day.startTraffic(lead, until)
	for _, trouble := range troubles {
		day.schedule(trouble)
	}
	if closing != "" {
		day.world.At(lead+length, func() { day.beginFinalFault(closing) })
	}
	last := until + quietEnd
	day.world.RunUntil(last - day.record.Bounds.Contact)
	day.operator.readBack(last + time.Second)
	day.world.RunUntil(last + 2*time.Second)
	day.record.End = day.world.Now
	return day.result(seed)
}

const (
	finalFaultTail = 6 * time.Second
	quietEnd       = 9 * time.Second
)

// Plan is what happens in a day: DrawCount troubles that are drawn, or given ones and a final fault. With KeepsConnections clients
// use a connection until the other end closes it, whatever a look-up says.
type Plan struct {
	DrawCount        int
	Troubles         []Trouble
	FinalFault       string
	KeepsConnections bool
}

// Result is the outcome of a day: its troubles, rule violations, figures and counters.
type Result struct {
	Seed       uint64
	Troubles   []string
	Violations []rules.Violation
	Figures    Figures
	Record     *rules.Record
	Counts     map[string]int64
}

func (day *Day) result(seed uint64) Result {
	return Result{Seed: seed, Troubles: day.plan, Violations: rules.Check(day.record), Figures: day.summary(), Record: day.record, Counts: day.counts}
}
