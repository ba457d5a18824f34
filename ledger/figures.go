package ledger

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/manifest"
)

// classStats are the results of one class of calls, such as "short" or "lookup". Results encode the fields under their Go names.
type classStats struct {
	Sent     int
	Outcomes map[string]int
	// First and Took are the times to the first chunk and to the end of completed calls.
	First []time.Duration
	Took  []time.Duration
	// Refused is the longest time until a call was reported as not run.
	Refused time.Duration
}

// Stats are the measurements of a run. Results encode the fields under their Go names.
type Stats struct {
	Classes map[string]*classStats
	// LatePick and LateDrain are the longest times after which a server still got a call when it was marked as leaving, or when the
	// drain of its zone was accepted.
	LatePick  time.Duration
	LateDrain time.Duration
	// Lag is the longest time that a node had an older manifest than one it could have learned.
	Lag time.Duration
	// Return is the longest time that a region took to serve again after it returned.
	Return time.Duration
	// ColdShare is the highest load of a cold server, relative to what its ramp allowed.
	ColdShare float64
	// RepeatPct is the number of retries by the nodes in percent of the calls.
	RepeatPct float64
	// Window is the highest use of the retry budget of a window, 1 being all of it.
	Window float64
	// Hasty counts refusals with status 429 or 503 that gave no Retry-After.
	Hasty int
	// Excuses counts tolerated observations by cause.
	Excuses map[string]int
}

// NewStats makes empty statistics.
func NewStats() Stats {
	return Stats{Classes: map[string]*classStats{}, Excuses: map[string]int{}}
}

// addExcused counts a tolerated observation by its cause.
func (stats *Stats) addExcused(cause string) { stats.Excuses[cause]++ }

// class returns the statistics of a class of calls, which it makes if there are none yet.
func (stats *Stats) class(name string) *classStats {
	class, found := stats.Classes[name]
	if !found {
		class = &classStats{Outcomes: map[string]int{}}
		stats.Classes[name] = class
	}
	return class
}

func (stats *Stats) addSent(class string) { stats.class(class).Sent++ }

func (stats *Stats) addAnswer(className string, reply Reply, duration time.Duration) {
	class := stats.class(className)
	class.Outcomes[reply.Outcome]++
	if reply.Outcome == "not_run" {
		class.Refused = max(class.Refused, duration)
		if (reply.Status == 429 || reply.Status == 503) && reply.RetryAfter == 0 {
			stats.Hasty++
		}
	}
	if reply.Outcome == "done" {
		class.Took = append(class.Took, duration)
		if reply.FirstChunkAfter > 0 {
			class.First = append(class.First, reply.FirstChunkAfter)
		}
	}
}

func (stats *Stats) addLeavingDelay(delay time.Duration) {
	stats.LatePick = max(stats.LatePick, delay)
}
func (stats *Stats) addDrainDelay(delay time.Duration) {
	stats.LateDrain = max(stats.LateDrain, delay)
}
func (stats *Stats) addManifestLag(delay time.Duration) { stats.Lag = max(stats.Lag, delay) }
func (stats *Stats) addRecovery(duration time.Duration) { stats.Return = max(stats.Return, duration) }
func (stats *Stats) addColdLoad(running, allowed int64) {
	stats.ColdShare = max(stats.ColdShare, float64(running)/float64(allowed))
}

// MergeMaxima takes over each maximum of another run that is higher.
func (stats *Stats) MergeMaxima(other Stats) {
	stats.LatePick, stats.LateDrain = max(stats.LatePick, other.LatePick), max(stats.LateDrain, other.LateDrain)
	stats.Lag, stats.Return = max(stats.Lag, other.Lag), max(stats.Return, other.Return)
	stats.ColdShare, stats.RepeatPct = max(stats.ColdShare, other.ColdShare), max(stats.RepeatPct, other.RepeatPct)
	stats.Window = max(stats.Window, other.Window)
}

// Add adds the call statistics of another run, class by class, and merges its maxima.
func (stats *Stats) Add(other Stats) {
	for name, otherClass := range other.Classes {
		class := stats.class(name)
		class.Sent += otherClass.Sent
		class.First, class.Took = append(class.First, otherClass.First...), append(class.Took, otherClass.Took...)
		class.Refused = max(class.Refused, otherClass.Refused)
		for outcome, count := range otherClass.Outcomes {
			class.Outcomes[outcome] += count
		}
	}
	stats.MergeMaxima(other)
}

// quantile returns the duration below which the given share of the durations lies; zero if there are none.
func quantile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, durations...)
	sort.Slice(sorted, func(left, right int) bool { return sorted[left] < sorted[right] })
	return sorted[int(share*float64(len(sorted)-1))]
}

// Summary renders the statistics as lines for the terminal.
func (stats *Stats) Summary() string {
	lines := []string{}
	names := []string{}
	for name := range stats.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		class := stats.Classes[name]
		outcomes := []string{}
		for outcome, count := range class.Outcomes {
			outcomes = append(outcomes, fmt.Sprintf("%s=%d", outcome, count))
		}
		sort.Strings(outcomes)
		lines = append(lines, fmt.Sprintf("%-8s sent=%d %s first-piece p50=%v p99=%v took p50=%v p99=%v", name, class.Sent, strings.Join(outcomes, " "),
			roundToMillis(quantile(class.First, 0.5)), roundToMillis(quantile(class.First, 0.99)), roundToMillis(quantile(class.Took, 0.5)), roundToMillis(quantile(class.Took, 0.99))))
	}
	lines = append(lines, fmt.Sprintf("late pick=%v late drain=%v manifest lag=%v return=%v cold share=%.2f repeats=%.2f%% of a window's allowance=%.2f",
		roundToMillis(stats.LatePick), roundToMillis(stats.LateDrain), roundToMillis(stats.Lag), roundToMillis(stats.Return), stats.ColdShare, stats.RepeatPct, stats.Window))
	for _, cause := range manifest.SortedKeys(stats.Excuses) {
		lines = append(lines, fmt.Sprintf("excused: %d times %s", stats.Excuses[cause], cause))
	}
	return strings.Join(lines, "\n")
}

func roundToMillis(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }
