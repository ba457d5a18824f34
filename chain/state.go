package chain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// State describes the whole state of the member as text for the model checker. Two members with the same text behave alike, except for their
// random numbers. Times are given as ages in multiples of unit, since no decision depends on smaller differences.
func (replica *Replica) State(now, unit time.Duration) string {
	builder := &strings.Builder{}
	age := func(at time.Duration) int64 {
		if at < 0 {
			return -1
		}
		return int64(min(now-at, replica.bounds.Return()) / unit)
	}
	fmt.Fprintf(builder, "%s view %+v promised %v accepted %+v sealed %v settled %v fit %v\n", replica.self.Identity(), replica.view, replica.promised, replica.accepted, replica.sealed, replica.synchronized, replica.diskHealthy)
	fmt.Fprintf(builder, "top %d committed %d assigned %d verified %d oldest %d marked %v\n", replica.lastSynced, replica.committed, replica.lastAssigned, replica.matched, replica.oldest, replica.markedCommit)
	for _, version := range replica.Versions() {
		fmt.Fprintln(builder, version.Position, version.Operation, version.Digest)
	}
	fmt.Fprintln(builder, "past", replica.sortedPastOperations(), "salvaged", len(replica.salvaged))
	if running := replica.campaign; running != nil {
		fmt.Fprintln(builder, "campaign", running.ballot, age(running.started), running.targetCount, sortedKeys(running.promises), running.proposal, sortedKeys(running.votes))
	}
	if running := replica.bootstrapping; running != nil {
		fmt.Fprintln(builder, "founding", running.ballot, age(running.started), sortedKeys(running.promises), running.proposal, sortedKeys(running.votes))
	}
	fmt.Fprintln(builder, "founded", replica.bootstrapPromised, replica.bootstrapAccepted, replica.bootstrapSynced, sortedKeys(replica.bootstrapVotes), replica.recordedMayBootstrap, replica.mayBootstrap)
	for _, name := range sortedKeys(replica.peers) {
		peer := replica.peers[name]
		fmt.Fprintln(builder, "contact", name, age(peer.lastHeartbeat), peer.awaitingFirst, slices.Sorted(slices.Values(peer.hears)))
	}
	for _, job := range replica.writeQueue {
		fmt.Fprintln(builder, "job", job.describe())
	}
	if replica.writing != nil {
		fmt.Fprintln(builder, "writing", replica.writing.describe(), age(replica.writingSince))
	}
	fmt.Fprintln(builder, "ages", age(replica.viewChangeNeededSince), age(max(0, now-max(0, replica.retryAt-now))), age(replica.lastResend), age(replica.lastResendRequest), age(replica.lastHeartbeat), age(replica.stalledSince), age(replica.startedAt))
	fmt.Fprintln(builder, "doubts", sortedKeys(replica.excludedUntil), "declared", sortedKeys(replica.declaredGone), "checks", len(replica.confirmations), "behind", replica.catchingUp, replica.announced)
	return builder.String()
}

func (job persistJob) describe() string {
	places := []contract.Position{}
	for _, version := range job.versions {
		places = append(places, version.Position)
	}
	return fmt.Sprint(places, job.record, job.past, job.remove, job.commitMark != nil, job.onSynced != nil)
}

func sortedKeys[Value any](values map[string]Value) []string { return slices.Sorted(maps.Keys(values)) }
