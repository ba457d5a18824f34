package modelcheck

import (
	"fmt"

	"github.com/anishathalye/porcupine"
	"github.com/cedarreel/cedarreel/contract"
)

// checker checks safety: what members commit and install, and what clients see.
type checker struct {
	// committedVersions is keyed by revision, installedViews by view number (values are the views as text).
	committedVersions map[int64]contract.Version
	installedViews    map[int64]string
	// acked maps acknowledged operations to their revisions; newestAcked is the highest of these.
	acked       map[string]int64
	newestAcked int64
	submittedAt map[string]int64
	history     []porcupine.Operation
	violation   string
	stuck       bool
}

func newChecker() *checker {
	return &checker{committedVersions: map[int64]contract.Version{}, installedViews: map[int64]string{}, acked: map[string]int64{}, submittedAt: map[string]int64{}}
}

func (checker *checker) fail(format string, args ...any) {
	if checker.violation == "" {
		checker.violation = fmt.Sprintf(format, args...)
	}
}

// checkCommitted checks that a revision is never committed as two different versions, and that view numbers never decrease as revisions
// grow.
func (checker *checker) checkCommitted(name string, version contract.Version) {
	previous, found := checker.committedVersions[version.Position.Revision]
	if found && previous.Position != version.Position {
		checker.fail("%s committed revision %d as %v (%s), which was committed as %v (%s)", name, version.Position.Revision, version.Position, version.Operation, previous.Position, previous.Operation)
		return
	}
	checker.committedVersions[version.Position.Revision] = version
	for revision, other := range checker.committedVersions {
		earlier, later := other.Position, version.Position
		if revision > version.Position.Revision {
			earlier, later = later, earlier
		}
		if earlier.View > later.View {
			checker.fail("%s committed %v, which has an older view than the preceding %v", name, later, earlier)
		}
	}
}

// checkView checks that a view number is never decided as two different views.
func (checker *checker) checkView(name string, view contract.View) {
	text := fmt.Sprintf("%+v", view)
	if previous, found := checker.installedViews[view.Number]; found && previous != text {
		checker.fail("%s installed view %d as %s, which was decided as %s", name, view.Number, text, previous)
		return
	}
	checker.installedViews[view.Number] = text
}

func (checker *checker) recordSubmitted(operation string, now int64) {
	checker.submittedAt[operation] = now
}

func (checker *checker) recordAcknowledged(version contract.Version, now int64) {
	checker.acked[version.Operation] = version.Position.Revision
	checker.newestAcked = max(checker.newestAcked, version.Position.Revision)
	checker.history = append(checker.history, porcupine.Operation{ClientId: 0, Input: input{write: true}, Output: version.Position.Revision, Call: checker.submittedAt[version.Operation], Return: now})
}

// checkRead checks that a read returns nothing older than what was acknowledged before it began, and that its version is the one
// committed under that revision.
func (checker *checker) checkRead(name string, read pendingRead, revision int64, version contract.Version, now int64) {
	if revision < read.minRevision {
		checker.fail("%s answered a read with revision %d though %d had been acknowledged before", name, revision, read.minRevision)
	}
	if previous, found := checker.committedVersions[revision]; found && version.Position.Revision == revision && previous.Position != version.Position {
		checker.fail("%s answered a read with %v instead of %v", name, version.Position, previous.Position)
	}
	checker.history = append(checker.history, porcupine.Operation{ClientId: 1, Input: input{}, Output: revision, Call: read.startedAt, Return: now})
}

// input describes an operation of the history: a write or a read. The output of both is a revision.
type input struct{ write bool }

// registerModel is the linearizability model: a register whose writes return their revision. A write must have a higher revision than all
// writes before it. A read returns the newest revision, or a higher one if an unacknowledged write took effect.
var registerModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, in, out any) (bool, any) {
		newest, revision := state.(int64), out.(int64)
		if in.(input).write {
			return revision > newest, revision
		}
		return revision >= newest, revision
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in.(input).write, " ", out) },
}

// checkLinearizable checks the whole history of a walk.
func (checker *checker) checkLinearizable() {
	if checker.violation == "" && !porcupine.CheckOperations(registerModel, checker.history) {
		checker.fail("the history of %d reads and writes is not linearizable", len(checker.history))
	}
}

// maxCheckedHistory is the longest history, in operations, that the systematic search checks for linearizability. A planted fault can leave
// many overlapping operations, which have too many orders to try.
const maxCheckedHistory = 16

// checkShortHistory checks the history of a trace for linearizability unless it exceeds maxCheckedHistory.
func (checker *checker) checkShortHistory() {
	if len(checker.history) <= maxCheckedHistory {
		checker.checkLinearizable()
	}
}
