package modelcheck

import (
	"fmt"

	"github.com/anishathalye/porcupine"
	"github.com/cedarreel/cedarreel/contract"
)

// checker judges what members did and what clients saw.
type checker struct {
	// versions are the committed ones, by revision; views the ones that were taken up, by number.
	versions map[int64]contract.Version
	views    map[int64]string
	// acked are the acknowledged operations with their revisions, newest the highest of these.
	acked     map[string]int64
	newest    int64
	began     map[string]int64
	history   []porcupine.Operation
	violation string
	stuck     bool
}

func newChecker() *checker {
	return &checker{versions: map[int64]contract.Version{}, views: map[int64]string{}, acked: map[string]int64{}, began: map[string]int64{}}
}

func (checker *checker) fail(format string, details ...any) {
	if checker.violation == "" {
		checker.violation = fmt.Sprintf(format, details...)
	}
}

// committed checks that a revision is one version for ever.
func (checker *checker) committed(name string, version contract.Version) {
	former, there := checker.versions[version.Position.Revision]
	if there && former.Position != version.Position {
		checker.fail("%s committed revision %d as %v (%s), which was committed as %v (%s)", name, version.Position.Revision, version.Position, version.Operation, former.Position, former.Operation)
		return
	}
	checker.versions[version.Position.Revision] = version
	for revision, other := range checker.versions {
		earlier, later := other.Position, version.Position
		if revision > version.Position.Revision {
			earlier, later = later, earlier
		}
		if earlier.View > later.View {
			checker.fail("%s committed %v, which was numbered in an older view than %v before it", name, later, earlier)
		}
	}
}

// viewed checks that a number is one view for ever.
func (checker *checker) viewed(name string, view contract.View) {
	text := fmt.Sprintf("%+v", view)
	if former, there := checker.views[view.Number]; there && former != text {
		checker.fail("%s took up view %d as %s, which was decided as %s", name, view.Number, text, former)
		return
	}
	checker.views[view.Number] = text
}

func (checker *checker) submitted(operation string, now int64) { checker.began[operation] = now }

func (checker *checker) acknowledged(version contract.Version, now int64) {
	checker.acked[version.Operation] = version.Position.Revision
	checker.newest = max(checker.newest, version.Position.Revision)
	checker.history = append(checker.history, porcupine.Operation{ClientId: 0, Input: input{write: true}, Output: version.Position.Revision, Call: checker.began[version.Operation], Return: now})
}

// answered checks that a read shows nothing older than what had been acknowledged when it began, and nothing that differs.
func (checker *checker) answered(name string, read read, revision int64, version contract.Version, now int64) {
	if revision < read.floor {
		checker.fail("%s answered a read with revision %d though %d had been acknowledged before", name, revision, read.floor)
	}
	if former, there := checker.versions[revision]; there && version.Position.Revision == revision && former.Position != version.Position {
		checker.fail("%s answered a read with %v instead of %v", name, version.Position, former.Position)
	}
	checker.history = append(checker.history, porcupine.Operation{ClientId: 1, Input: input{}, Output: revision, Call: read.began, Return: now})
}

// input of an operation in a history: a write or a read; its output is a revision.
type input struct{ write bool }

// register is a register whose writes number themselves: a write must come after all lower ones, a read gives the newest or, where a
// write that got no answer took effect, something higher than the newest that was acknowledged.
var register = porcupine.Model{
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

// linearizable checks the whole history of a walk.
func (checker *checker) linearizable() {
	if checker.violation == "" && !porcupine.CheckOperations(register, checker.history) {
		checker.fail("the history of %d reads and writes is not linearizable", len(checker.history))
	}
}

// explainedMost is how many operations a history of the systematic search may have to be checked as a whole: a planted fault can leave
// many that overlap, which have too many orders to try.
const explainedMost = 16

// explained checks the whole history of a trace, if it is short.
func (checker *checker) explained() {
	if len(checker.history) <= explainedMost {
		checker.linearizable()
	}
}
