package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/manifest"
)

// troubleKind is a kind of trouble. Planned ones are deliberate work and excuse less than faults do.
type troubleKind struct {
	planned bool
	begin   func(*Day, Trouble)
}

var troubleKinds map[string]troubleKind

func init() {
	troubleKinds = map[string]troubleKind{
		"burst":          {false, (*Day).beginBurst},
		"shift":          {false, (*Day).shiftClients},
		"srv_crash":      {false, (*Day).crashServers},
		"garble":         {false, (*Day).garble},
		"answer_lost":    {false, (*Day).loseAnswers},
		"cache_lost":     {false, (*Day).beginCacheLoss},
		"release":        {true, (*Day).release},
		"scale_in":       {true, (*Day).scaleIn},
		"cold_return":    {false, (*Day).coldReturn},
		"node_kill":      {false, (*Day).killNodes},
		"node_freeze":    {false, (*Day).freezeNodes},
		"node_cut":       {false, (*Day).cutNodes},
		"roll_term":      {true, (*Day).rollingRestart},
		"herd_kill":      {false, (*Day).killTogether},
		"disk_slow":      {false, (*Day).slowDisks},
		"disk_full":      {false, (*Day).fillDisks},
		"disk_stall":     {false, (*Day).stallDisks},
		"core_cut":       {false, (*Day).cutCore},
		"relay_loss":     {false, (*Day).loseRelayed},
		"replace_core":   {false, (*Day).replaceCore},
		"after_ack_kill": {false, (*Day).killAfterAck},
		"after_ack_wipe": {false, (*Day).wipeAfterAck},
		"clock_step":     {false, (*Day).stepClocks},
		"config_change":  {true, (*Day).changeConfiguration},
		"config_race":    {true, (*Day).raceConfigurations},
		"config_storm":   {true, (*Day).stormConfigurations},
		"bad_config":     {true, (*Day).sendInvalidConfigurations},
		"evacuate":       {true, (*Day).drainZone},
		"crowd":          {true, (*Day).beginCrowd},
		"tenant":         {true, (*Day).changeTenantKeys},
		"revoke":         {true, (*Day).changeTenantKeys},
	}
}

// Kinds names all kinds of trouble in alphabetical order.
func Kinds() []string { return manifest.SortedKeys(troubleKinds) }

const (
	defaultTroubleSeconds   = 4.0
	maxSimultaneousTroubles = 3
	firstTroubleSeconds     = 2.0
)

// drawTroubles draws from the site's list: at random times, one to three at once, possibly the same more than once. One day in three
// ends with a final fault.
func (day *Day) drawTroubles(count int) ([]Trouble, string) {
	troubles := []Trouble{}
	span := day.site.DayS - firstTroubleSeconds
	for len(troubles) < count {
		moment := firstTroubleSeconds + day.chance.Float64()*span*3/4
		for range min(count-len(troubles), 1+day.chance.IntN(maxSimultaneousTroubles)) {
			one := day.site.Troubles[day.chance.IntN(len(day.site.Troubles))]
			one.AtS = moment + day.chance.Float64()
			if one.ForS > 0 {
				one.ForS *= 0.7 + 0.6*day.chance.Float64()
			}
			if one.Zone != "" {
				one.Zone = day.site.Zones[day.chance.IntN(len(day.site.Zones))].Name
			}
			troubles = append(troubles, one)
		}
	}
	slices.SortFunc(troubles, func(left, right Trouble) int { return int((left.AtS - right.AtS) * 1000) })
	closing := ""
	if day.chance.IntN(3) == 0 {
		all := []string{"kill_all", "power_off_all", "wipe_after_ack"}
		closing = all[day.chance.IntN(len(all))]
	}
	return troubles, closing
}

// String gives start, kind and variant, as "2.50:node_kill(power)".
func (trouble Trouble) String() string {
	text := fmt.Sprintf("%.2f:%s", trouble.AtS, trouble.Kind)
	if trouble.How != "" {
		text += "(" + trouble.How + ")"
	}
	return text
}

func (trouble Trouble) duration() time.Duration {
	if trouble.ForS > 0 {
		return seconds(trouble.ForS)
	}
	return seconds(defaultTroubleSeconds)
}

func (trouble Trouble) interval() time.Duration {
	if trouble.GapS > 0 {
		return seconds(trouble.GapS)
	}
	return time.Second
}

func (trouble Trouble) factorOrDefault() float64 {
	if trouble.X > 0 {
		return trouble.X
	}
	return 2
}

// schedule begins a trouble at its time, counted from the start of traffic.
func (day *Day) schedule(trouble Trouble) {
	kind, there := troubleKinds[trouble.Kind]
	if !there {
		panic("no such trouble: " + trouble.Kind)
	}
	day.plan = append(day.plan, trouble.String())
	day.world.At(seconds(day.site.LeadS+trouble.AtS), func() {
		day.logEvent("trouble", trouble.String())
		if !kind.planned {
			day.record.Unplanned = append(day.record.Unplanned, rules.Span{From: day.world.Now, Until: day.world.Now + trouble.duration()})
		}
		kind.begin(day, trouble)
	})
}

// pickServers picks running servers at random, of the trouble's service and zone if they are given.
func (day *Day) pickServers(trouble Trouble) []*server {
	picked := []*server{}
	for _, server := range day.serversInOrder {
		fits := server.up && !server.leaving && !server.silent && (trouble.Service == "" || server.service.Name == trouble.Service) && (trouble.Zone == "" || server.zone == trouble.Zone)
		if fits {
			picked = append(picked, server)
		}
	}
	day.chance.Shuffle(len(picked), func(left, right int) { picked[left], picked[right] = picked[right], picked[left] })
	return picked[:trouble.count(len(picked))]
}

// count gives how many of all are affected, at least one.
func (trouble Trouble) count(all int) int {
	count := trouble.Count
	if trouble.Share > 0 {
		count = int(trouble.Share*float64(all) + 0.5)
	}
	return min(all, max(1, count))
}

// leader is the running machine that heads the chain, nil without one.
func (day *Day) leader() *machine {
	best := (*machine)(nil)
	for _, machine := range day.machines {
		if !machine.up() || machine.data.Frozen {
			continue
		}
		if head := machine.chainHead(); head != "" && day.byName[head] != nil && day.byName[head].up() {
			best = day.byName[head]
			break
		}
	}
	return best
}

// pickMachines picks running machines: of the core, its leader, or any. It takes no more core machines than the site tolerates
// losing.
func (day *Day) pickMachines(trouble Trouble) []*machine {
	running := slices.DeleteFunc(slices.Clone(day.machines), func(machine *machine) bool {
		return !machine.up() || machine.freezeCount > 0 || trouble.Core && !machine.core || trouble.Zone != "" && trouble.Zone != machine.zone
	})
	day.chance.Shuffle(len(running), func(left, right int) { running[left], running[right] = running[right], running[left] })
	if leader := day.leader(); trouble.targetsLeader() && leader != nil {
		running = append([]*machine{leader}, slices.DeleteFunc(running, func(machine *machine) bool { return machine == leader })...)
	}
	picked, free := []*machine{}, day.spareCore()
	for _, machine := range running {
		if len(picked) == trouble.count(len(running)) {
			break
		}
		if machine.core {
			if free == 0 {
				continue
			}
			free--
		}
		picked = append(picked, machine)
	}
	return picked
}

// spareCore is how many more core machines may fail now; a machine that returned counts as failed for recoveryTime.
func (day *Day) spareCore() int {
	size, well := 0, 0
	for _, group := range day.site.Machines {
		if group.Core {
			size += group.Count
		}
	}
	for _, machine := range day.machines {
		if machine.core && !machine.removed && machine.up() && !overlapsAny(machine.record.Troubles, day.world.Now-recoveryTime, day.world.Now) {
			well++
		}
	}
	return max(0, day.site.Bounds.ToleratedMachines-(size-well))
}

// recoveryTime is how long a machine that is back still counts as failed.
const recoveryTime = 4 * time.Second

func overlapsAny(spans []rules.Span, from, until time.Duration) bool {
	return slices.ContainsFunc(spans, func(span rules.Span) bool { return span.From > 0 && span.From <= until && from <= span.Until })
}
