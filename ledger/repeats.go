package ledger

import (
	"slices"
	"time"
)

// retryWindow is short, so that a long quiet period cannot hide a burst of retries.
const retryWindow = 10 * time.Second

// checkRetries requires that in every window the nodes retry no more than their share of the calls that arrived in it, plus the
// burst that they may have saved up.
func (ledger *Ledger) checkRetries() {
	slices.Sort(ledger.retries)
	slices.Sort(ledger.firstSends)
	if ledger.callCount > 0 {
		ledger.Stats.RepeatPct = 100 * float64(len(ledger.retries)) / float64(ledger.callCount)
	}
	reported := false
	for index, at := range ledger.retries {
		countBefore := func(times []time.Duration, limit time.Duration) int {
			found, _ := slices.BinarySearch(times, limit)
			return found
		}
		retries := index + 1 - countBefore(ledger.retries, at-retryWindow)
		calls := countBefore(ledger.firstSends, at+1) - countBefore(ledger.firstSends, at-retryWindow)
		allowed := float64(ledger.bounds.RetryBurst) + float64(calls)*ledger.bounds.RetryPercent/100
		ledger.Stats.Window = max(ledger.Stats.Window, float64(retries)/allowed)
		if float64(retries) > allowed && !reported {
			reported = true
			ledger.addViolation(at, ExcessRetries, "%d retries for %d calls in %v", retries, calls, retryWindow)
		}
	}
}
