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

// cacheLoss is one loss of a server's cache, and who noticed it.
type cacheLoss struct {
	server string
	at     time.Duration
	// firstNoticed is when the first node saw that the server's index was reset, noticedByAll when all nodes had.
	firstNoticed, noticedByAll time.Duration
	noticedBy                  map[string]bool
	// detected tells whether the owner of the index recognised the loss.
	detected bool
}

// mismatch is a call that a node sent to a server in the belief that more of the shared prompt was cached there than was.
type mismatch struct {
	server  string
	at      time.Duration
	tokens  int64
	aim     time.Duration
	attempt *rules.Attempt
	anchor  uint64
	// indexed tells whether the prompt is long enough to have an entry in the index.
	indexed bool
	// detected tells whether the owner of the index recognised the mismatch.
	detected bool
}

// cacheObservations compares lost caches with what the product noticed of them.
type cacheObservations struct {
	losses      []*cacheLoss
	mismatches  []mismatch
	resetCounts map[string]int64
	// oracle informs all nodes of each loss at once, which no product can do; oracleResets counts the losses of each server.
	oracle       bool
	oracleResets map[string]int64
	falseResets  int
	resets       int
	// What the index's owner reported: all mismatches, those without a real one, real losses, and losses without a real one.
	detectedMismatches, falseMismatches, detectedLosses, falseLosses int
}

// cacheTroubles are in no site's file, so that the troubles drawn from a site's list don't change.
var cacheTroubles = []Trouble{
	{Kind: "cache_lost", How: "one", AtS: 12, Count: 1, Service: "model"},
	{Kind: "cache_lost", How: "several", AtS: 12, Share: 0.3, Service: "model"},
	{Kind: "cache_lost", How: "again", AtS: 8, ForS: 20, GapS: 4, Share: 0.2, Service: "model"},
	{Kind: "cache_lost", How: "small", AtS: 8, ForS: 20, X: 0.05, Share: 0.2, Service: "model"},
}

// beginCacheLoss empties the caches of servers: once; with "again" once in each interval; with "small" the cache also keeps only a
// share X of its size for a while.
func (day *Day) beginCacheLoss(trouble Trouble) {
	for _, server := range day.pickServers(trouble) {
		if server.batch == nil {
			continue
		}
		switch {
		case strings.Contains(trouble.How, "small"):
			day.recordCacheLoss(server)
			server.batch.cacheLimit = int64(max(0.01, trouble.X) * float64(server.batch.engine.Tokens))
			server.batch.trim()
			day.world.After(trouble.duration(), func() { server.batch.cacheLimit = 0 })
		case strings.Contains(trouble.How, "again"):
			for passed := time.Duration(0); passed < trouble.duration(); passed += trouble.interval() {
				day.world.After(passed, func() { day.emptyCache(server) })
			}
		default:
			day.emptyCache(server)
		}
	}
}

func (day *Day) recordCacheLoss(server *server) {
	if day.caches.oracle {
		day.caches.oracleResets[server.name]++
		day.world.After(0, func() {
			for _, machine := range day.machines {
				if machine.data == nil || !machine.up() {
					continue
				}
				for _, region := range manifest.SortedKeys(machine.data.listed) {
					machine.data.traffic.Handle(machine.data.now(), day.withOracleResets(machine.data.listed[region]))
				}
			}
		})
	}
	day.caches.losses = append(day.caches.losses, &cacheLoss{server: server.name, at: day.world.Now, noticedBy: map[string]bool{}})
}

// emptyCache hides all cached parts from new requests; requests that run keep what they use.
func (day *Day) emptyCache(server *server) {
	if !server.up {
		return
	}
	day.recordCacheLoss(server)
	batch := server.batch
	hidden := func(key string) string {
		if key == "" || strings.HasPrefix(key, "lost ") {
			return key
		}
		return "lost " + twoDigits(len(day.caches.losses)) + " " + key
	}
	parts := map[string]*cachedPart{}
	for key, part := range batch.cached {
		part.parent = hidden(part.parent)
		parts[hidden(key)] = part
	}
	batch.cached, batch.hasHidden = parts, true
	for _, job := range server.running {
		for index, key := range job.progress.cachedKeys {
			job.progress.cachedKeys[index] = hidden(key)
		}
	}
	batch.trim()
}

// hideAfterLost gives the key for a part that follows another one: what follows a lost part is hidden as well.
func hideAfterLost(former, key string) string {
	if !strings.HasPrefix(former, "lost ") {
		return key
	}
	return strings.Join(strings.SplitN(former, " ", 3)[:2], " ") + " " + key
}

// trim evicts unused parts that are hidden or exceed the cache limit.
func (batch *batch) trim() {
	if batch.cacheLimit == 0 && !batch.hasHidden {
		return
	}
	for {
		unused, sum, oldest := []string{}, int64(0), ""
		for key, part := range batch.cached {
			if part.users > 0 {
				continue
			}
			if strings.HasPrefix(key, "lost ") {
				unused = append(unused, key)
				continue
			}
			sum += part.tokens
			if oldest == "" || batch.lessRecentlyUsed(key, oldest) {
				oldest = key
			}
		}
		if batch.cacheLimit > 0 && sum > batch.cacheLimit {
			unused = append(unused, oldest)
		}
		if len(unused) == 0 {
			return
		}
		for _, key := range unused {
			batch.evict(key)
		}
	}
}

func (batch *batch) lessRecentlyUsed(key, other string) bool {
	part, oldest := batch.cached[key], batch.cached[other]
	return part.lastUse < oldest.lastUse || part.lastUse == oldest.lastUse && key < other
}

func (batch *batch) evict(key string) {
	part := batch.cached[key]
	batch.usedTokens -= part.tokens
	if before := batch.cached[part.parent]; before != nil {
		before.users--
	}
	delete(batch.cached, key)
}

// recordMismatch records a call of which less is cached here than the node presumed, though it was cached here before.
func (batch *batch) recordMismatch(job *task, held int64) {
	prompt, before, sum := job.request.prompt, int64(0), int64(0)
	for index, key := range prefixKeys(job)[:len(prompt.Parts)-1] {
		if sum += prompt.Parts[index].Tokens; !batch.everCached[key] {
			break
		}
		before = sum
	}
	if missing := min(job.presumedTokens, before) - held; missing > 0 {
		day := batch.server.day
		day.caches.mismatches = append(day.caches.mismatches, mismatch{batch.server.name, day.world.Now, missing, seconds(job.request.class.AimMs / 1000), job.request.attempt, prompt.Anchor(), prompt.Shared() >= minIndexedTokens, false})
	}
}

const (
	// maxDetectionDelay is the longest time between a mismatch and its detection.
	maxDetectionDelay = 10 * time.Second
	// minIndexedTokens is the shortest shared prompt that has an entry in the index.
	minIndexedTokens = 1000
)

// recordDetection compares log lines of the index's owner with what the servers really held. It relies on the lines "cache mismatch"
// and "cache loss noticed" and the order of their attributes.
func (day *Day) recordDetection(entry contract.Log) {
	switch entry.Message {
	case "cache mismatch":
		day.caches.detectedMismatches++
		for place := range day.caches.mismatches {
			one := &day.caches.mismatches[place]
			if !one.detected && one.server == entry.Attributes[1] && one.anchor == entry.Attributes[5] && day.world.Now-one.at < maxDetectionDelay {
				one.detected = true
				return
			}
		}
		day.caches.falseMismatches++
	case "cache loss noticed":
		for place := len(day.caches.losses) - 1; place >= 0; place-- {
			if loss := day.caches.losses[place]; loss.server == entry.Attributes[1] {
				if !loss.detected {
					loss.detected = true
					day.caches.detectedLosses++
				}
				return
			}
		}
		day.caches.falseLosses++
	}
}

// WithOracle resets a server's index in every node at the moment of a cache loss, as an upper bound of what detection can achieve.
func WithOracle() Option { return func(day *Day) { day.caches.oracle = true } }

func (day *Day) withOracleResets(listed gateway.ServersListed) gateway.ServersListed {
	listed.Servers = slices.Clone(listed.Servers)
	for index := range listed.Servers {
		listed.Servers[index].CacheResets += day.caches.oracleResets[listed.Servers[index].Name]
	}
	return listed
}

// observeResets records which nodes have learned of reset indexes.
func (day *Day) observeResets(machine *machine, listed gateway.ServersListed) {
	for _, candidate := range listed.Servers {
		if candidate.CacheResets == 0 {
			continue
		}
		known := slices.IndexFunc(day.caches.losses, func(loss *cacheLoss) bool { return loss.server == candidate.Name }) >= 0
		raised := candidate.CacheResets > day.caches.resetCounts[candidate.Name]
		if raised {
			day.caches.resetCounts[candidate.Name] = candidate.CacheResets
			if day.caches.resets++; !known {
				day.caches.falseResets++
			}
		}
		for _, loss := range day.caches.losses {
			if loss.server != candidate.Name {
				continue
			}
			if raised && loss.firstNoticed == 0 {
				loss.firstNoticed = day.world.Now
			}
			if loss.firstNoticed > 0 && !loss.noticedBy[machine.name] {
				if loss.noticedBy[machine.name] = true; loss.noticedByAll == 0 && len(loss.noticedBy) == len(day.machines) {
					loss.noticedByAll = day.world.Now
				}
			}
		}
	}
}

// CacheFigures summarise the losses of caches, and the calls by class that were sent on a mismatch. FalseResets are index resets
// without a loss.
type CacheFigures struct {
	Losses, Noticed, Resets, FalseResets int
	// NoticeDelay and AllNoticeDelay are medians of the time from a loss until one node, and all nodes, had reset the index;
	// LastLateDelay until the last call that was sent on a mismatch and missed its target.
	NoticeDelay, AllNoticeDelay, LastLateDelay time.Duration
	Mismatched, Late                           map[string]int
	MissedTokens                               int64
	// IndexedMismatches are the real mismatches of indexed prompts, DetectedMismatches those that the index's owner reported,
	// FalseMismatches reports without a real one. DetectedLosses and FalseLosses are the same for losses of whole caches.
	IndexedMismatches, DetectedMismatches, FalseMismatches, DetectedLosses, FalseLosses int
	// Checks are the calls that showed whether their prompt was cached, PlacesRemoved the index entries that were removed after
	// repeated misses.
	Checks, PlacesRemoved int64
}

func (day *Day) cacheFigures() CacheFigures {
	sum := CacheFigures{Losses: len(day.caches.losses), Resets: day.caches.resets, FalseResets: day.caches.falseResets, Mismatched: map[string]int{}, Late: map[string]int{}}
	sum.IndexedMismatches, sum.DetectedMismatches, sum.FalseMismatches, sum.DetectedLosses, sum.FalseLosses = 0, day.caches.detectedMismatches, day.caches.falseMismatches, day.caches.detectedLosses, day.caches.falseLosses
	sum.Checks, sum.PlacesRemoved = day.counts["control index_checked"], day.counts["control index_places_left"]
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
		if loss.firstNoticed > 0 {
			noticed = append(noticed, loss.firstNoticed-loss.at)
		}
		if loss.noticedByAll > 0 {
			everywhere = append(everywhere, loss.noticedByAll-loss.at)
		}
	}
	for _, one := range day.caches.mismatches {
		sum.Mismatched[one.attempt.Class]++
		if one.indexed {
			sum.IndexedMismatches++
		}
		sum.MissedTokens += one.tokens
		if one.late() {
			sum.Late[one.attempt.Class]++
		}
	}
	sum.Noticed, sum.NoticeDelay, sum.AllNoticeDelay, sum.LastLateDelay = len(noticed), median(noticed), median(everywhere), median(settled)
	return sum
}

func (one mismatch) late() bool {
	return len(one.attempt.Pieces) == 0 || one.attempt.Pieces[0].ReceivedAt-one.attempt.Sent > one.aim
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
	values := map[string]float64{"cache losses": float64(figures.Losses), "cache losses noticed": float64(figures.Noticed), "cache indexes thrown": float64(figures.Resets),
		"cache false alarms": float64(figures.FalseResets), "cache tokens missed": float64(figures.MissedTokens),
		"cache mismatches": float64(figures.IndexedMismatches), "cache mismatches found": float64(figures.DetectedMismatches), "cache mismatches found falsely": float64(figures.FalseMismatches),
		"cache losses tested": float64(figures.DetectedLosses), "cache losses tested falsely": float64(figures.FalseLosses),
		"cache checks": float64(figures.Checks), "cache places left": float64(figures.PlacesRemoved)}
	for class, count := range figures.Mismatched {
		values[class+" sent on a mismatch"] = float64(count)
	}
	for class, count := range figures.Late {
		values[class+" late on a mismatch"] = float64(count)
	}
	if figures.Noticed > 0 {
		values["cache noticed after ms"], values["cache known by all after ms"] = figures.NoticeDelay.Seconds()*1000, figures.AllNoticeDelay.Seconds()*1000
	}
	if figures.Losses > 0 {
		values["cache last late mismatch after ms"] = figures.LastLateDelay.Seconds() * 1000
	}
	return values
}

func (figures CacheFigures) text() string {
	return fmt.Sprintf("mismatches %d, found %d, falsely %d, losses by the test %d, falsely %d\n", figures.IndexedMismatches, figures.DetectedMismatches, figures.FalseMismatches, figures.DetectedLosses, figures.FalseLosses) +
		fmt.Sprintf("caches lost %d, noticed %d after %v, known by all after %v, last late mismatch after %v, indexes thrown %d, falsely %d, sent on a mismatch %v, late on it %v, tokens missed %d\n",
			figures.Losses, figures.Noticed, figures.NoticeDelay.Round(time.Millisecond), figures.AllNoticeDelay.Round(time.Millisecond), figures.LastLateDelay.Round(time.Millisecond),
			figures.Resets, figures.FalseResets, figures.Mismatched, figures.Late, figures.MissedTokens)
}
