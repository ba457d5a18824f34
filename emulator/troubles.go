package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/manifest"
)

// kind is one sort of trouble. Planned ones are work that is done on purpose.
type kind struct {
	planned bool
	begin   func(*Day, Trouble)
}

var kinds map[string]kind

func init() {
	kinds = map[string]kind{
		"burst":          {false, (*Day).rush},
		"shift":          {false, (*Day).move},
		"srv_crash":      {false, (*Day).crashServers},
		"garble":         {false, (*Day).garble},
		"answer_lost":    {false, (*Day).loseAnswers},
		"cache_lost":     {false, (*Day).loseCaches},
		"release":        {true, (*Day).release},
		"scale_in":       {true, (*Day).scaleIn},
		"cold_return":    {false, (*Day).coldReturn},
		"node_kill":      {false, (*Day).killNodes},
		"node_freeze":    {false, (*Day).freezeNodes},
		"node_cut":       {false, (*Day).cutNodes},
		"roll_term":      {true, (*Day).roll},
		"herd_kill":      {false, (*Day).killHerd},
		"disk_slow":      {false, (*Day).slowDisks},
		"disk_full":      {false, (*Day).fillDisks},
		"disk_stall":     {false, (*Day).stallDisks},
		"core_cut":       {false, (*Day).cutCore},
		"relay_loss":     {false, (*Day).loseRelayed},
		"replace_core":   {false, (*Day).replaceCore},
		"after_ack_kill": {false, (*Day).killAfterAck},
		"after_ack_wipe": {false, (*Day).wipeAfterAck},
		"clock_step":     {false, (*Day).stepClocks},
		"config_change":  {true, (*Day).change},
		"config_race":    {true, (*Day).race},
		"config_storm":   {true, (*Day).storm},
		"bad_config":     {true, (*Day).bad},
		"evacuate":       {true, (*Day).evacuate},
		"tenant":         {true, (*Day).keys},
		"revoke":         {true, (*Day).keys},
	}
}

// Kinds names the troubles.
func Kinds() []string { return manifest.SortedKeys(kinds) }

const (
	usualSpan   = 4.0
	kindsAtOnce = 3
	earliest    = 2.0
)

// draw takes so many troubles out of the site's list: any moment, one to three at once, the same more than once. Every third day ends
// with a closing fault.
func (day *Day) draw(count int) ([]Trouble, string) {
	troubles := []Trouble{}
	span := day.site.DayS - earliest
	for len(troubles) < count {
		moment := earliest + day.chance.Float64()*span*3/4
		for range min(count-len(troubles), 1+day.chance.IntN(kindsAtOnce)) {
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

func (trouble Trouble) String() string {
	text := fmt.Sprintf("%.2f:%s", trouble.AtS, trouble.Kind)
	if trouble.How != "" {
		text += "(" + trouble.How + ")"
	}
	return text
}

func (trouble Trouble) span() time.Duration {
	if trouble.ForS > 0 {
		return seconds(trouble.ForS)
	}
	return seconds(usualSpan)
}

func (trouble Trouble) gap() time.Duration {
	if trouble.GapS > 0 {
		return seconds(trouble.GapS)
	}
	return time.Second
}

func (trouble Trouble) times() float64 {
	if trouble.X > 0 {
		return trouble.X
	}
	return 2
}

// schedule lets a trouble begin at its moment, counted from the start of traffic.
func (day *Day) schedule(trouble Trouble) {
	kind, there := kinds[trouble.Kind]
	if !there {
		panic("no such trouble: " + trouble.Kind)
	}
	day.plan = append(day.plan, trouble.String())
	day.world.At(seconds(day.site.LeadS+trouble.AtS), func() {
		day.say("trouble", trouble.String())
		if !kind.planned {
			day.record.Unplanned = append(day.record.Unplanned, rules.Span{From: day.world.Now, Until: day.world.Now + trouble.span()})
		}
		kind.begin(day, trouble)
	})
}

// some picks servers of a service, or of any, that serve now.
func (day *Day) some(trouble Trouble) []*server {
	picked := []*server{}
	for _, server := range day.order {
		fits := server.up && !server.leaving && !server.dark && (trouble.Service == "" || server.service.Name == trouble.Service) && (trouble.Zone == "" || server.zone == trouble.Zone)
		if fits {
			picked = append(picked, server)
		}
	}
	day.chance.Shuffle(len(picked), func(left, right int) { picked[left], picked[right] = picked[right], picked[left] })
	return picked[:trouble.count(len(picked))]
}

// count gives how many of all are meant: one at least.
func (trouble Trouble) count(all int) int {
	count := trouble.Count
	if trouble.Share > 0 {
		count = int(trouble.Share*float64(all) + 0.5)
	}
	return min(all, max(1, count))
}

// leader is the machine that heads the chain, as the first one up knows it.
func (day *Day) leader() *machine {
	best := (*machine)(nil)
	for _, machine := range day.machines {
		if !machine.up() || machine.data.Frozen {
			continue
		}
		if head := machine.head(); head != "" && day.byName[head] != nil && day.byName[head].up() {
			best = day.byName[head]
			break
		}
	}
	return best
}

// nodes picks machines that run: of the core, its leader, or any. No more of the core are taken than may be lost at once.
func (day *Day) nodes(trouble Trouble) []*machine {
	running := slices.DeleteFunc(slices.Clone(day.machines), func(machine *machine) bool {
		return !machine.up() || machine.freezes > 0 || trouble.Core && !machine.core || trouble.Zone != "" && trouble.Zone != machine.zone
	})
	day.chance.Shuffle(len(running), func(left, right int) { running[left], running[right] = running[right], running[left] })
	if leader := day.leader(); trouble.leads() && leader != nil {
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

// spareCore is how many more machines of the core may be lost now; one that came back counts as lost for a while.
func (day *Day) spareCore() int {
	size, well := 0, 0
	for _, group := range day.site.Machines {
		if group.Core {
			size += group.Count
		}
	}
	for _, machine := range day.machines {
		if machine.core && !machine.gone && machine.up() && !within(machine.record.Troubles, day.world.Now-returnTime, day.world.Now) {
			well++
		}
	}
	return max(0, day.site.Bounds.ToleratedMachines-(size-well))
}

// returnTime is how long a machine that is back still counts as lost.
const returnTime = 4 * time.Second

func within(spans []rules.Span, from, until time.Duration) bool {
	return slices.ContainsFunc(spans, func(span rules.Span) bool { return span.From > 0 && span.From <= until && from <= span.Until })
}
