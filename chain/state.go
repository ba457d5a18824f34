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
func (owner *Owner) State(now, unit time.Duration) string {
	text := &strings.Builder{}
	age := func(at time.Duration) int64 {
		if at < 0 {
			return -1
		}
		return int64(min(now-at, owner.bounds.Return()) / unit)
	}
	fmt.Fprintf(text, "%s view %+v promised %v accepted %+v sealed %v settled %v fit %v\n", owner.self.Identity(), owner.view, owner.promised, owner.accepted, owner.sealed, owner.settled, owner.fit)
	fmt.Fprintf(text, "top %d committed %d assigned %d verified %d oldest %d marked %v\n", owner.top, owner.committed, owner.assigned, owner.verified, owner.oldest, owner.marked)
	for _, version := range owner.Versions() {
		fmt.Fprintln(text, version.Position, version.Operation, version.Digest)
	}
	fmt.Fprintln(text, "past", owner.pastOperations(), "salvaged", len(owner.salvaged))
	if running := owner.campaign; running != nil {
		fmt.Fprintln(text, "campaign", running.ballot, age(running.started), running.asked, sortedKeys(running.promises), running.proposal, sortedKeys(running.votes))
	}
	if running := owner.founding; running != nil {
		fmt.Fprintln(text, "founding", running.ballot, age(running.started), sortedKeys(running.tells), running.foundation, sortedKeys(running.votes))
	}
	fmt.Fprintln(text, "founded", owner.foundPromised, owner.foundAccepted, owner.foundSynced, sortedKeys(owner.foundHeld), owner.mayBootstrap, owner.bootstrap)
	for _, name := range sortedKeys(owner.contacts) {
		known := owner.contacts[name]
		fmt.Fprintln(text, "contact", name, age(known.at), known.fresh, slices.Sorted(slices.Values(known.heard)))
	}
	for _, work := range owner.jobs {
		fmt.Fprintln(text, "job", work.describe())
	}
	if owner.writing != nil {
		fmt.Fprintln(text, "writing", owner.writing.describe(), age(owner.writingSince))
	}
	fmt.Fprintln(text, "ages", age(owner.needed), age(max(0, now-max(0, owner.retry-now))), age(owner.resend), age(owner.resumed), age(owner.beaten), age(owner.stuck), age(owner.started))
	fmt.Fprintln(text, "doubts", sortedKeys(owner.doubts), "declared", sortedKeys(owner.declared), "checks", len(owner.checks), "behind", owner.behind, owner.presented)
	return text.String()
}

func (work job) describe() string {
	places := []contract.Position{}
	for _, version := range work.versions {
		places = append(places, version.Position)
	}
	return fmt.Sprint(places, work.record, work.past, work.drop, work.mark != nil, work.after != nil)
}

func sortedKeys[Value any](values map[string]Value) []string { return slices.Sorted(maps.Keys(values)) }
