package chain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// State is a member's whole state as text, for the model checker: two members with the same text behave alike, but for their random
// draws. Times are told as ages in steps of a unit, since no decision depends on less than that.
func (owner *Replica) State(now, unit time.Duration) string {
	text := &strings.Builder{}
	age := func(at time.Duration) int64 {
		if at < 0 {
			return -1
		}
		return int64(min(now-at, owner.bounds.Return()) / unit)
	}
	fmt.Fprintf(text, "%s view %+v promised %v accepted %+v sealed %v settled %v fit %v\n", owner.self.Identity(), owner.view, owner.promised, owner.accepted, owner.sealed, owner.synchronized, owner.diskHealthy)
	fmt.Fprintf(text, "top %d committed %d assigned %d verified %d oldest %d marked %v\n", owner.lastSynced, owner.committed, owner.lastAssigned, owner.matched, owner.oldest, owner.markedCommit)
	for _, version := range owner.Versions() {
		fmt.Fprintln(text, version.Position, version.Operation, version.Digest)
	}
	fmt.Fprintln(text, "past", owner.sortedPastOperations(), "salvaged", len(owner.salvaged))
	if running := owner.campaign; running != nil {
		fmt.Fprintln(text, "campaign", running.ballot, age(running.started), running.targetCount, sortedKeys(running.promises), running.proposal, sortedKeys(running.votes))
	}
	if running := owner.bootstrapping; running != nil {
		fmt.Fprintln(text, "founding", running.ballot, age(running.started), sortedKeys(running.promises), running.proposal, sortedKeys(running.votes))
	}
	fmt.Fprintln(text, "founded", owner.bootstrapPromised, owner.bootstrapAccepted, owner.bootstrapSynced, sortedKeys(owner.bootstrapVotes), owner.recordedMayBootstrap, owner.mayBootstrap)
	for _, name := range sortedKeys(owner.peers) {
		known := owner.peers[name]
		fmt.Fprintln(text, "contact", name, age(known.lastHeartbeat), known.awaitingFirst, slices.Sorted(slices.Values(known.hears)))
	}
	for _, work := range owner.writeQueue {
		fmt.Fprintln(text, "job", work.describe())
	}
	if owner.writing != nil {
		fmt.Fprintln(text, "writing", owner.writing.describe(), age(owner.writingSince))
	}
	fmt.Fprintln(text, "ages", age(owner.viewChangeNeededSince), age(max(0, now-max(0, owner.retryAt-now))), age(owner.lastResend), age(owner.lastResendRequest), age(owner.lastHeartbeat), age(owner.stalledSince), age(owner.startedAt))
	fmt.Fprintln(text, "doubts", sortedKeys(owner.excludedUntil), "declared", sortedKeys(owner.declaredGone), "checks", len(owner.confirmations), "behind", owner.catchingUp, owner.announced)
	return text.String()
}

func (work persistJob) describe() string {
	places := []contract.Position{}
	for _, version := range work.versions {
		places = append(places, version.Position)
	}
	return fmt.Sprint(places, work.record, work.past, work.remove, work.commitMark != nil, work.onSynced != nil)
}

func sortedKeys[Value any](values map[string]Value) []string { return slices.Sorted(maps.Keys(values)) }
