package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/emulator/rules"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/manifest"
)

// cacheLoss is one moment when a server lost what it kept, and who came to know of it.
type cacheLoss struct {
	server string
	at     time.Duration
	// noticed is when the first node had the index of the server thrown away; everywhere is when all nodes had.
	noticed, everywhere time.Duration
	told                map[string]bool
	// suspected tells that the owner of the index found the whole cache lost.
	suspected bool
}

// mismatch is a call that was sent to a server in the belief that it kept more of the shared prompt than it did.
type mismatch struct {
	server string
	at     time.Duration
	tokens int64
	aim    time.Duration
	try    *rules.Attempt
	anchor uint64
	// long tells that the prompt has a place in the index.
	long bool
	// noticed tells that the owner of the index found it.
	noticed bool
}

// caches is what the stand-ins know of lost caches.
type caches struct {
	losses     []*cacheLoss
	mismatches []mismatch
	counts     map[string]int64
	// oracle has all nodes told of each loss at once, as no product can; told counts the losses of each server.
	oracle bool
	told   map[string]int64
	alarms int
	thrown int
	// found and falsely count what the owner of the index took for mismatches, suspected and wrongly what it took for losses of a server's cache.
	found, falsely, suspected, wrongly int
}

// cacheTroubles are no part of any site's file, so that drawn days stay what they were.
var cacheTroubles = []Trouble{
	{Kind: "cache_lost", How: "one", AtS: 12, Count: 1, Service: "model"},
	{Kind: "cache_lost", How: "several", AtS: 12, Share: 0.3, Service: "model"},
	{Kind: "cache_lost", How: "again", AtS: 8, ForS: 20, GapS: 4, Share: 0.2, Service: "model"},
	{Kind: "cache_lost", How: "small", AtS: 8, ForS: 20, X: 0.05, Share: 0.2, Service: "model"},
}

// loseCaches empties the caches of servers, once or with "again" in each gap; with "small" a cache keeps a part of what is told for a while.
func (day *Day) loseCaches(trouble Trouble) {
	for _, server := range day.some(trouble) {
		if server.batch == nil {
			continue
		}
		switch {
		case strings.Contains(trouble.How, "small"):
			day.lost(server)
			server.batch.keeps = int64(max(0.01, trouble.X) * float64(server.batch.engine.Tokens))
			server.batch.trim()
			day.world.After(trouble.span(), func() { server.batch.keeps = 0 })
		case strings.Contains(trouble.How, "again"):
			for passed := time.Duration(0); passed < trouble.span(); passed += trouble.gap() {
				day.world.After(passed, func() { day.empty(server) })
			}
		default:
			day.empty(server)
		}
	}
}

func (day *Day) lost(server *server) {
	if day.caches.oracle {
		day.caches.told[server.name]++
		day.world.After(0, func() {
			for _, machine := range day.machines {
				if machine.data == nil || !machine.up() {
					continue
				}
				for _, region := range manifest.SortedKeys(machine.data.listed) {
					machine.data.traffic.Handle(machine.data.now(), day.foretold(machine.data.listed[region]))
				}
			}
		})
	}
	day.caches.losses = append(day.caches.losses, &cacheLoss{server: server.name, at: day.world.Now, told: map[string]bool{}})
}

// empty takes all kept parts; calls that run go on with what they have read, which nobody finds any more.
func (day *Day) empty(server *server) {
	if !server.up {
		return
	}
	day.lost(server)
	batch := server.batch
	hidden := func(key string) string {
		if key == "" || strings.HasPrefix(key, "lost ") {
			return key
		}
		return "lost " + name(len(day.caches.losses)) + " " + key
	}
	parts := map[string]*keptPart{}
	for key, part := range batch.parts {
		part.after = hidden(part.after)
		parts[hidden(key)] = part
	}
	batch.parts, batch.lost = parts, true
	for _, job := range server.running {
		for index, key := range job.state.parts {
			job.state.parts[index] = hidden(key)
		}
	}
	batch.trim()
}

// besideLost gives the key of a part that is kept after another one: what follows a lost part is found by nobody either.
func besideLost(former, key string) string {
	if !strings.HasPrefix(former, "lost ") {
		return key
	}
	return strings.Join(strings.SplitN(former, " ", 3)[:2], " ") + " " + key
}

// trim drops unused parts: those that were lost, and those that are more than the server keeps.
func (batch *batch) trim() {
	if batch.keeps == 0 && !batch.lost {
		return
	}
	for {
		unused, sum, oldest := []string{}, int64(0), ""
		for key, part := range batch.parts {
			if part.users > 0 {
				continue
			}
			if strings.HasPrefix(key, "lost ") {
				unused = append(unused, key)
				continue
			}
			sum += part.tokens
			if oldest == "" || batch.older(key, oldest) {
				oldest = key
			}
		}
		if batch.keeps > 0 && sum > batch.keeps {
			unused = append(unused, oldest)
		}
		if len(unused) == 0 {
			return
		}
		for _, key := range unused {
			batch.drop(key)
		}
	}
}

func (batch *batch) older(key, other string) bool {
	part, oldest := batch.parts[key], batch.parts[other]
	return part.used < oldest.used || part.used == oldest.used && key < other
}

func (batch *batch) drop(key string) {
	part := batch.parts[key]
	batch.used -= part.tokens
	if before := batch.parts[part.after]; before != nil {
		before.users--
	}
	delete(batch.parts, key)
}

// compare notes a call of which less is kept here than was presumed, though it was kept here before.
func (batch *batch) compare(job *task, held int64) {
	prompt, before, sum := job.request.prompt, int64(0), int64(0)
	for index, key := range keys(job)[:len(prompt.Parts)-1] {
		if sum += prompt.Parts[index].Tokens; !batch.had[key] {
			break
		}
		before = sum
	}
	if missing := min(job.presumed, before) - held; missing > 0 {
		day := batch.server.day
		day.caches.mismatches = append(day.caches.mismatches, mismatch{batch.server.name, day.world.Now, missing, seconds(job.request.class.AimMs / 1000), job.request.try, prompt.Anchor(), prompt.Shared() >= leastShared, false})
	}
}

const (
	// mostWait is the longest that a mismatch may have been before it was found.
	mostWait = 10 * time.Second
	// leastShared is the least shared part of a prompt that has a place.
	leastShared = 1000
)

// noticed compares what the owner of the index finds with what the servers truly held.
func (day *Day) noticed(said contract.Log) {
	switch said.Message {
	case "cache mismatch":
		day.caches.found++
		for place := range day.caches.mismatches {
			one := &day.caches.mismatches[place]
			if !one.noticed && one.server == said.Attributes[1] && one.anchor == said.Attributes[5] && day.world.Now-one.at < mostWait {
				one.noticed = true
				return
			}
		}
		day.caches.falsely++
	case "cache loss noticed":
		for place := len(day.caches.losses) - 1; place >= 0; place-- {
			if loss := day.caches.losses[place]; loss.server == said.Attributes[1] {
				if !loss.suspected {
					loss.suspected = true
					day.caches.suspected++
				}
				return
			}
		}
		day.caches.wrongly++
	}
}

// WithOracle has every node throw a server's index away at the moment of a loss: what noticing could bring at the most.
func WithOracle() Option { return func(day *Day) { day.caches.oracle = true } }

func (day *Day) foretold(listed gateway.ServersListed) gateway.ServersListed {
	listed.Servers = slices.Clone(listed.Servers)
	for index := range listed.Servers {
		listed.Servers[index].CacheResets += day.caches.told[listed.Servers[index].Name]
	}
	return listed
}

// told follows the counts of thrown indexes as they come to the nodes.
func (day *Day) told(machine *machine, listed gateway.ServersListed) {
	for _, candidate := range listed.Servers {
		if candidate.CacheResets == 0 {
			continue
		}
		known := slices.IndexFunc(day.caches.losses, func(loss *cacheLoss) bool { return loss.server == candidate.Name }) >= 0
		raised := candidate.CacheResets > day.caches.counts[candidate.Name]
		if raised {
			day.caches.counts[candidate.Name] = candidate.CacheResets
			if day.caches.thrown++; !known {
				day.caches.alarms++
			}
		}
		for _, loss := range day.caches.losses {
			if loss.server != candidate.Name {
				continue
			}
			if raised && loss.noticed == 0 {
				loss.noticed = day.world.Now
			}
			if loss.noticed > 0 && !loss.told[machine.name] {
				if loss.told[machine.name] = true; loss.everywhere == 0 && len(loss.told) == len(day.machines) {
					loss.everywhere = day.world.Now
				}
			}
		}
	}
}

// CacheFigures sum the losses of caches, and calls by class that were sent on a mismatch.
type CacheFigures struct {
	Losses, Noticed, Thrown, Alarms int
	// Notice and Everywhere are medians from a loss until one node, and all, had thrown the index away; Settled until the last call that
	// was sent on a mismatch and missed its aim.
	Notice, Everywhere, Settled time.Duration
	Mismatched, Late            map[string]int
	Tokens                      int64
	// Missed are the mismatches of prompts with a place by the servers' truth, Found what the owner of the index took for such, Falsely those of them that were none.
	// Suspected are losses that its test found, Wrongly findings at servers that had lost nothing.
	Missed, Found, Falsely, Suspected, Wrongly int
	// Checked are the calls that showed whether their prompt was kept, Left the places that left a server which missed theirs again.
	Checked, Left int64
}

func (day *Day) cacheFigures() CacheFigures {
	sum := CacheFigures{Losses: len(day.caches.losses), Thrown: day.caches.thrown, Alarms: day.caches.alarms, Mismatched: map[string]int{}, Late: map[string]int{}}
	sum.Missed, sum.Found, sum.Falsely, sum.Suspected, sum.Wrongly = 0, day.caches.found, day.caches.falsely, day.caches.suspected, day.caches.wrongly
	sum.Checked, sum.Left = day.counts["control index_checked"], day.counts["control index_places_left"]
	noticed, everywhere, settled := []time.Duration{}, []time.Duration{}, []time.Duration{}
	for index, loss := range day.caches.losses {
		next := slices.IndexFunc(day.caches.losses[index+1:], func(other *cacheLoss) bool { return other.server == loss.server })
		last := loss.at
		for _, one := range day.caches.mismatches {
			over := next >= 0 && one.at >= day.caches.losses[index+1+next].at
			if one.server == loss.server && one.at >= loss.at && !over && one.late() {
				last = one.at
			}
		}
		settled = append(settled, last-loss.at)
		if loss.noticed > 0 {
			noticed = append(noticed, loss.noticed-loss.at)
		}
		if loss.everywhere > 0 {
			everywhere = append(everywhere, loss.everywhere-loss.at)
		}
	}
	for _, one := range day.caches.mismatches {
		sum.Mismatched[one.try.Class]++
		if one.long {
			sum.Missed++
		}
		sum.Tokens += one.tokens
		if one.late() {
			sum.Late[one.try.Class]++
		}
	}
	sum.Noticed, sum.Notice, sum.Everywhere, sum.Settled = len(noticed), median(noticed), median(everywhere), median(settled)
	return sum
}

func (one mismatch) late() bool {
	return len(one.try.Pieces) == 0 || one.try.Pieces[0].ReceivedAt-one.try.Sent > one.aim
}

func median(spans []time.Duration) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	slices.Sort(spans)
	return spans[len(spans)/2]
}

// values gives every figure by name, times in milliseconds.
func (figures CacheFigures) values() map[string]float64 {
	values := map[string]float64{"cache losses": float64(figures.Losses), "cache losses noticed": float64(figures.Noticed), "cache indexes thrown": float64(figures.Thrown),
		"cache false alarms": float64(figures.Alarms), "cache tokens missed": float64(figures.Tokens),
		"cache mismatches": float64(figures.Missed), "cache mismatches found": float64(figures.Found), "cache mismatches found falsely": float64(figures.Falsely),
		"cache losses tested": float64(figures.Suspected), "cache losses tested falsely": float64(figures.Wrongly),
		"cache checks": float64(figures.Checked), "cache places left": float64(figures.Left)}
	for class, count := range figures.Mismatched {
		values[class+" sent on a mismatch"] = float64(count)
	}
	for class, count := range figures.Late {
		values[class+" late on a mismatch"] = float64(count)
	}
	if figures.Noticed > 0 {
		values["cache noticed after ms"], values["cache known by all after ms"] = figures.Notice.Seconds()*1000, figures.Everywhere.Seconds()*1000
	}
	if figures.Losses > 0 {
		values["cache last late mismatch after ms"] = figures.Settled.Seconds() * 1000
	}
	return values
}

func (figures CacheFigures) text() string {
	return fmt.Sprintf("mismatches %d, found %d, falsely %d, losses by the test %d, falsely %d\n", figures.Missed, figures.Found, figures.Falsely, figures.Suspected, figures.Wrongly) +
		fmt.Sprintf("caches lost %d, noticed %d after %v, known by all after %v, last late mismatch after %v, indexes thrown %d, falsely %d, sent on a mismatch %v, late on it %v, tokens missed %d\n",
			figures.Losses, figures.Noticed, figures.Notice.Round(time.Millisecond), figures.Everywhere.Round(time.Millisecond), figures.Settled.Round(time.Millisecond),
			figures.Thrown, figures.Alarms, figures.Mismatched, figures.Late, figures.Tokens)
}
