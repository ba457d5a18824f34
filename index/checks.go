package index

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// Verdict is what the wait for a call's first piece shows about the cache of its prompt's place.
type Verdict byte

const (
	// Unclear is the verdict if the wait shows neither a hit nor a miss.
	Unclear Verdict = 'u'
	// Kept is a cache hit: the first piece came sooner than the prompt could have been read.
	Kept Verdict = 'k'
	// missed is a cache miss: the first piece came later than anything known to the call's node explains. The values up to lastMissed
	// encode which part of the wait could be due to other calls and the call would still be late.
	missed, lastMissed Verdict = 'A', 'Z'
)

// MissVerdict returns the verdict for a call that took longer than expected; slack is how much shorter its wait could be and still be late.
func MissVerdict(took, slack time.Duration) Verdict {
	return missed + Verdict(min(time.Duration(lastMissed-missed), max(0, slack)*time.Duration(lastMissed-missed)/max(1, took)))
}

// MissSlack reports whether the verdict is a miss, and the slack of a call that took so long.
func (verdict Verdict) MissSlack(took time.Duration) (time.Duration, bool) {
	if verdict < missed || verdict > lastMissed {
		return 0, false
	}
	return took * time.Duration(verdict-missed) / time.Duration(lastMissed-missed), true
}

const (
	// ageSteps is how many steps a cooldown has for encoding the age of a use; maxAgeStep is the last step that is sent.
	ageSteps   = 80
	maxAgeStep = 'z' - 'a'
	// settlesPerHalfLife: a miss waits a half-life over settlesPerHalfLife for other nodes' reports, which is two report intervals and the
	// transmission.
	settlesPerHalfLife = 12
	// pathSkewsPerCooldown: network paths to one server may differ by a cooldown over pathSkewsPerCooldown.
	pathSkewsPerCooldown = 32
	// retentionHalfLives is how long an unused prompt is expected to stay cached.
	retentionHalfLives = 16
	// shareSteps is the number of steps in which a server's share of the work is reduced, by the rate of misses in its checks; fewer recent
	// misses than minMisses, with decay by half in a half-life, reduce nothing.
	shareSteps = 4
	minMisses  = 1.5
	// repeatHalfLives is how soon a second miss of a prompt counts as a repetition.
	repeatHalfLives = 2
	// maxCalls bounds the calls that are kept per server to explain misses; each is kept for a half-life over callsPerHalfLife.
	maxCalls         = 32
	callsPerHalfLife = 2
	// falseAlarmRate and missedLossRate are the error rates of the sequential probability ratio test (Wald) for a lost cache. A call whose
	// prompt was read again shows a miss with probability missRateIfLost, another one with missRateIfKept.
	falseAlarmRate = 0.001
	missedLossRate = 0.1
	missRateIfLost = 0.6
	missRateIfKept = 1.0 / 32
)

// Results encodes two characters for each use: its verdict, and how many steps ago its first piece came. It is empty without verdicts.
func Results(now, cooldown time.Duration, uses []Use) string {
	if slices.IndexFunc(uses, func(use Use) bool { return use.Verdict != 0 }) < 0 {
		return ""
	}
	characters := make([]byte, 0, 2*len(uses))
	for _, use := range uses {
		verdict := use.Verdict
		if verdict == 0 {
			verdict = Unclear
		}
		characters = append(characters, byte(verdict), 'a'+byte(min(maxAgeStep, max(0, (now-use.At)*ageSteps/cooldown))))
	}
	return string(characters)
}

// result decodes the verdict and time of one use; without results it is unclear.
func (usage Usage) result(now, cooldown time.Duration, position int) (Verdict, time.Duration) {
	if len(usage.Results) != 2*len(usage.Uses) {
		return Unclear, now
	}
	return Verdict(usage.Results[2*position]), now - cooldown/ageSteps*time.Duration(min(maxAgeStep, max(0, int(usage.Results[2*position+1])-'a')))
}

// reportedCall is one reported use of a place. A possible miss is decided when other nodes had time to report; previousUse is the use before it.
type reportedCall struct {
	key                       Key
	began, ended, previousUse time.Duration
	slack                     time.Duration
	missed                    bool
}

// cacheChecks is what first pieces showed of one server's cache. The recent counts decay by half in each half-life.
type cacheChecks struct {
	service                     string
	calls                       []reportedCall
	used                        time.Duration
	kept, missed                int64
	recentChecked, recentMissed float64
	updatedAt                   time.Duration
	reduced                     int // steps by which its share of the work is reduced
	suspect                     lossTest
	doubtedSince, doubtedUntil  time.Duration // the time in which its cache is believed to be lost
}

// pendingCheck is a server with a possible miss that is decided at dueAt.
type pendingCheck struct {
	server string
	dueAt  time.Duration
}

// lossTest is a sequential test for the loss of a server's whole cache.
type lossTest struct {
	since    time.Duration
	evidence float64
	keys     map[Key]bool
}

func (key Key) service() string {
	service, _, _ := strings.Cut(key.Scope, "\x00")
	return service
}

func (cacheIndex *CacheIndex) checksOf(key Key, server string) *cacheChecks {
	stats, found := cacheIndex.checks.Get(server)
	if !found {
		stats = &cacheChecks{}
		cacheIndex.checks.Add(server, stats)
	}
	stats.service = key.service()
	return stats
}

// recordUse adds a use to the checks of its server and returns the updated place.
func (cacheIndex *CacheIndex) recordUse(now time.Duration, place placeEntry, use Use) placeEntry {
	began := use.At - time.Duration(max(0, use.Took))*time.Millisecond
	stats := cacheIndex.checksOf(use.Key, use.Server)
	slack, late := use.Verdict.MissSlack(use.At - began)
	late = late && place.read > 0 && place.read < began && began-place.used < cacheIndex.halfLife*retentionHalfLives
	stats.calls = slices.DeleteFunc(stats.calls, func(current reportedCall) bool {
		return !current.missed && current.ended < now-cacheIndex.halfLife/callsPerHalfLife
	})
	if len(stats.calls) >= maxCalls {
		stats.calls = stats.calls[1:]
	}
	stats.calls, stats.used = append(stats.calls, reportedCall{use.Key, began, use.At, place.used, slack, late}), now
	if late {
		cacheIndex.pendingChecks = append(cacheIndex.pendingChecks, pendingCheck{use.Server, now + cacheIndex.halfLife/settlesPerHalfLife})
	}
	if use.Verdict == Kept {
		cacheIndex.recordCheck(now, stats, true)
		stats.suspect.clear(began, place.used)
		if place.used > 0 && place.used < stats.doubtedSince && began > stats.doubtedSince {
			stats.doubtedUntil = 0
		}
	}
	if place.read == 0 {
		place.read = use.At
	}
	place.used = max(place.used, use.At)
	return place
}

// recordCheck counts one check of a server, and reduces its share of the work by a step or restores a step.
func (cacheIndex *CacheIndex) recordCheck(now time.Duration, stats *cacheChecks, kept bool) {
	decay := math.Exp2(-float64(now-stats.updatedAt) / float64(cacheIndex.halfLife))
	stats.recentChecked, stats.recentMissed, stats.updatedAt = stats.recentChecked*decay+1, stats.recentMissed*decay, now
	if kept {
		stats.kept++
	} else {
		stats.missed++
		stats.recentMissed++
	}
	wanted := 0
	if stats.recentMissed >= minMisses {
		wanted = min(shareSteps-1, int(stats.recentMissed/stats.recentChecked*shareSteps))
	}
	switch {
	case wanted < stats.reduced:
		stats.reduced--
	case wanted > stats.reduced && (stats.reduced > 0 || cacheIndex.mayReduce(now, stats.service)):
		stats.reduced++
	}
}

// mayReduce reports whether one more server of a service may get a smaller share: at most half of those used lately, so never the only one.
func (cacheIndex *CacheIndex) mayReduce(now time.Duration, service string) bool {
	reduced, used := 1, 0
	for _, stats := range cacheIndex.checks.Values() {
		if stats.service != service || now-stats.used > cacheIndex.halfLife*repeatHalfLives {
			continue
		}
		used++
		if stats.reduced > 0 {
			reduced++
		}
	}
	return reduced*2 <= used
}

// workShare is the factor on a server's share of the work, 1 if it is not reduced.
func (cacheIndex *CacheIndex) workShare(server string) float64 {
	stats, found := cacheIndex.checks.Peek(server)
	if !found {
		return 1
	}
	return 1 - float64(stats.reduced)/shareSteps
}

// settleMisses decides the possible misses that other nodes had time to explain.
func (cacheIndex *CacheIndex) settleMisses(now time.Duration) []contract.Command {
	commands := []contract.Command{}
	for ; len(cacheIndex.pendingChecks) > 0 && now >= cacheIndex.pendingChecks[0].dueAt; cacheIndex.pendingChecks = cacheIndex.pendingChecks[1:] {
		server := cacheIndex.pendingChecks[0].server
		stats, found := cacheIndex.checks.Peek(server)
		for position := 0; found && position < len(stats.calls); position++ {
			current := &stats.calls[position]
			if !current.missed || now-current.ended < cacheIndex.halfLife/settlesPerHalfLife {
				continue
			}
			if current.missed = false; !cacheIndex.otherCallDelayed(stats.calls, position) {
				commands = append(commands, cacheIndex.recordMismatch(now, server, stats, *current)...)
			}
		}
	}
	return commands
}

// otherCallDelayed reports whether another call that arrived first, within the skew of network paths, delayed a call by more than its slack.
func (cacheIndex *CacheIndex) otherCallDelayed(calls []reportedCall, position int) bool {
	current := calls[position]
	for index, other := range calls {
		if index != position && other.began <= current.began+cacheIndex.cooldown/pathSkewsPerCooldown && other.ended > current.began+current.slack {
			return true
		}
	}
	return false
}

// recordMismatch records a cache miss. The server has just read the prompt, so the place is right again, unless the server misses the
// prompt repeatedly: then the prompt's next call is placed elsewhere.
func (cacheIndex *CacheIndex) recordMismatch(now time.Duration, server string, stats *cacheChecks, current reportedCall) []contract.Command {
	cacheIndex.recordCheck(now, stats, false)
	commands := []contract.Command{contract.AddCounter{Name: "index_checked", Delta: 1}, contract.AddCounter{Name: "index_mismatches", Delta: 1},
		contract.Log{Message: "cache mismatch", Attributes: []any{"server", server, "scope", current.key.Scope, "anchor", current.key.Anchor, "agoMs", (now - current.ended).Milliseconds()}}}
	if stats.suspect.addMiss(current, cacheIndex.halfLife) {
		stats.doubtedSince, stats.doubtedUntil = stats.suspect.since, now+cacheIndex.halfLife
		stats.suspect = lossTest{}
		commands = append(commands, contract.AddCounter{Name: "index_losses_noticed", Delta: 1}, contract.Log{Message: "cache loss noticed", Attributes: []any{"server", server}})
	}
	place, found := cacheIndex.places.Peek(current.key)
	if !found || place.server != server {
		return commands
	}
	repeated := place.missed > 0 && current.ended-place.missed < cacheIndex.halfLife*repeatHalfLives
	place.missed = current.ended
	if repeated && stats.reduced > 0 && !place.leaving && now >= place.moved+cacheIndex.cooldown {
		place.leaving = true
		cacheIndex.changed.Add(current.key, struct{}{})
		cacheIndex.dirty = true
		commands = append(commands, contract.AddCounter{Name: "index_places_left", Delta: 1})
	}
	cacheIndex.places.Add(current.key, place)
	return commands
}

// addMiss adds a miss and reports whether the evidence suffices. Each prompt counts once, and only if it was not used since the loss.
func (suspect *lossTest) addMiss(current reportedCall, halfLife time.Duration) bool {
	if suspect.keys == nil || current.began-suspect.since > halfLife {
		*suspect = lossTest{since: current.began, keys: map[Key]bool{}}
	}
	if !suspect.keys[current.key] && (len(suspect.keys) == 0 || current.previousUse < suspect.since) {
		suspect.keys[current.key] = true
		suspect.evidence += math.Log(missRateIfLost / missRateIfKept)
	}
	return suspect.evidence >= math.Log((1-missedLossRate)/falseAlarmRate)
}

// clear resets the test by a prompt that was last used before it and is still cached.
func (suspect *lossTest) clear(began, previousUse time.Duration) {
	if suspect.keys != nil && previousUse > 0 && previousUse < suspect.since && began > suspect.since {
		*suspect = lossTest{}
	}
}

// CacheStatus is what operators see of one server's cache: the prompts placed there, the checks since this index started, the factor on
// its share of the work, and for how many milliseconds its cache has been believed lost.
type CacheStatus struct {
	Server    string  `json:"server"`
	Service   string  `json:"service"`
	Placed    int64   `json:"placed"`
	Checked   int64   `json:"checked"`
	Kept      int64   `json:"kept"`
	Missed    int64   `json:"missed"`
	Share     float64 `json:"part"`
	DoubtedMs int64   `json:"doubtedMs,omitempty"`
}

// Status returns the status of all servers that have places or were checked, by name.
func (cacheIndex *CacheIndex) Status(now time.Duration) []CacheStatus {
	views := map[string]CacheStatus{}
	for _, key := range cacheIndex.places.Keys() {
		place, _ := cacheIndex.places.Peek(key)
		status := views[place.server]
		status.Service = key.service()
		status.Placed++
		views[place.server] = status
	}
	for _, server := range cacheIndex.checks.Keys() {
		stats, _ := cacheIndex.checks.Peek(server)
		status := views[server]
		status.Service, status.Kept, status.Missed, status.Checked = stats.service, stats.kept, stats.missed, stats.kept+stats.missed
		if now < stats.doubtedUntil {
			status.DoubtedMs = (now - stats.doubtedSince).Milliseconds()
		}
		views[server] = status
	}
	all := make([]CacheStatus, 0, len(views))
	for server, status := range views {
		status.Server, status.Share = server, cacheIndex.workShare(server)
		all = append(all, status)
	}
	return MergeStatus(all)
}

// MergeStatus combines the views of several control nodes by server. Checks add up, since each node counts its own reports; places do not,
// since most nodes know the same ones.
func MergeStatus(views []CacheStatus) []CacheStatus {
	sums := map[string]CacheStatus{}
	for _, status := range views {
		if status.Server == "" {
			continue
		}
		sum, found := sums[status.Server]
		if !found {
			sum = CacheStatus{Server: status.Server, Share: 1}
		}
		sum.Service = max(sum.Service, status.Service)
		sum.Placed, sum.DoubtedMs, sum.Share = max(sum.Placed, status.Placed), max(sum.DoubtedMs, status.DoubtedMs), min(sum.Share, status.Share)
		sum.Checked, sum.Kept, sum.Missed = sum.Checked+status.Checked, sum.Kept+status.Kept, sum.Missed+status.Missed
		sums[status.Server] = sum
	}
	merged := make([]CacheStatus, 0, len(sums))
	for _, sum := range sums {
		merged = append(merged, sum)
	}
	slices.SortFunc(merged, func(left, right CacheStatus) int { return strings.Compare(left.Server, right.Server) })
	return merged
}
