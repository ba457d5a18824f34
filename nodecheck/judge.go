package nodecheck

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/manifest"
)

// checker checks the answers that operators receive against what they ordered.
type checker struct {
	simulation *simulation
	violation  string
	// orders holds all configuration orders by operation; contents maps revisions to what was read under them.
	orders   map[string]*order
	contents map[int64]string
	// acked holds acknowledged configuration orders by base revision; refused and finished are keyed by operation.
	acked       map[int64]*order
	refused     map[string]*order
	finished    map[string]bool
	newestAcked int64
	// drainAcknowledged is the last acknowledged drain state of a zone, settledSince the time of that acknowledgement, and openOrders the
	// number of unanswered orders; a zone with open orders is not checked.
	drainAcknowledged map[string]bool
	settledSince      map[string]time.Duration
	openOrders        map[string]int
	// overlapping marks zones whose orders ran concurrently, so that it is unknown which one was applied last.
	overlapping map[string]bool
	// uncertainSince is when a zone last had an order of which an attempt may still be executed later.
	uncertainSince map[string]time.Duration
	// digests are those of the versions that any node has applied, by position.
	digests map[contract.Position]string
	// versions are the applied versions themselves, from which faults are forged.
	versions map[contract.Position]contract.Version
	history  []porcupine.Operation
}

func newChecker(simulation *simulation) *checker {
	return &checker{simulation: simulation, orders: map[string]*order{}, contents: map[int64]string{}, acked: map[int64]*order{}, refused: map[string]*order{}, finished: map[string]bool{},
		drainAcknowledged: map[string]bool{}, settledSince: map[string]time.Duration{}, openOrders: map[string]int{}, overlapping: map[string]bool{}, uncertainSince: map[string]time.Duration{}, digests: map[contract.Position]string{}, versions: map[contract.Position]contract.Version{}}
}

func (checker *checker) fail(format string, args ...any) {
	if checker.violation == "" {
		checker.violation = fmt.Sprintf("at %v: ", checker.simulation.now) + fmt.Sprintf(format, args...)
	}
}

func (checker *checker) recordSent(order *order) {
	if order.zone != "" {
		checker.openOrders[order.zone]++
		checker.overlapping[order.zone] = checker.overlapping[order.zone] || checker.openOrders[order.zone] > 1
		return
	}
	checker.orders[order.request.Operation] = order
}

// checkAnswer records and checks the final status of an order; 0 means that there was no definite answer.
func (checker *checker) checkAnswer(order *order, status int) {
	done := status == statusOK || status == statusAccepted
	if order.zone != "" {
		checker.recordDrainAnswer(order, done)
		return
	}
	key := order.request.Operation
	if order.resent {
		if status != 0 && !done {
			checker.fail("order %s was acknowledged and, sent again, refused with %d", key, status)
		}
		return
	}
	checker.finished[key] = true
	switch {
	case status == 0:
		checker.recordUnknown(order)
	case !done:
		checker.refused[key] = order
	default:
		if other, found := checker.acked[order.baseRevision]; found {
			checker.fail("orders %s and %s have the same base revision %d and are both acknowledged", other.request.Operation, key, order.baseRevision)
		}
		checker.acked[order.baseRevision] = order
		checker.newestAcked = max(checker.newestAcked, order.revision)
		checker.history = append(checker.history, porcupine.Operation{ClientId: len(checker.history), Input: input{order: order}, Output: output{}, Call: int64(order.sentAt), Return: int64(checker.simulation.now)})
	}
}

// maxUncertainty is how long an attempt may still be executed after its operator has given up, for example by a node that was frozen.
const maxUncertainty = 10 * time.Second

// recordUnknown records an order that may or may not be executed, at any later time.
func (checker *checker) recordUnknown(order *order) {
	checker.history = append(checker.history, porcupine.Operation{ClientId: len(checker.history), Input: input{order: order}, Output: output{unknown: true}, Call: int64(order.sentAt), Return: math.MaxInt64})
}

func (checker *checker) recordDrainAnswer(order *order, done bool) {
	checker.openOrders[order.zone]--
	if !done || order.attempts > 1 {
		checker.uncertainSince[order.zone] = checker.simulation.now
	}
	since, uncertain := checker.uncertainSince[order.zone]
	if overlap := checker.overlapping[order.zone]; overlap || uncertain && checker.simulation.now-since < maxUncertainty {
		checker.overlapping[order.zone] = checker.openOrders[order.zone] > 0
		delete(checker.settledSince, order.zone)
		return
	}
	checker.drainAcknowledged[order.zone], checker.settledSince[order.zone] = order.request.Verb == contract.VerbDrain, checker.simulation.now
}

// checkRead checks a configuration that was read; startedAt is when the request was sent.
func (checker *checker) checkRead(startedAt time.Duration, content *document.Document) {
	revision, text := manifest.GatewayRevision(content), gatewayOf(content)
	if previous, found := checker.contents[revision]; found && previous != text {
		checker.fail("revision %d was read with another content than before", revision)
	}
	if _, found := checker.contents[revision]; !found {
		checker.checkContent(revision, text)
	}
	checker.contents[revision] = text
	checker.history = append(checker.history, porcupine.Operation{ClientId: len(checker.history), Input: input{}, Output: output{revision: revision}, Call: int64(startedAt), Return: int64(checker.simulation.now)})
	for zone, since := range checker.settledSince {
		if checker.openOrders[zone] > 0 || since > startedAt {
			continue
		}
		if value, _ := content.Part(document.Pointer("zones", zone, "drained")); (value == "true") != checker.drainAcknowledged[zone] {
			checker.fail("zone %s: drained %v was acknowledged and %q read", zone, checker.drainAcknowledged[zone], value)
		}
	}
}

// checkContent checks that a content is the result of an order of that revision which was not refused.
func (checker *checker) checkContent(revision int64, text string) {
	if revision <= firstRevision {
		return
	}
	for key, order := range checker.orders {
		if order.revision != revision || order.content != text {
			continue
		}
		if _, refused := checker.refused[key]; !refused {
			return
		}
	}
	checker.fail("revision %d was read with a content that no order produces, or only a refused one", revision)
}

// checkApplied checks that all nodes apply the same version at a position.
func (checker *checker) checkApplied(node string, version contract.Version) {
	if previous, found := checker.digests[version.Position]; found && previous != version.Digest || version.Content.Digest() != version.Digest {
		checker.fail("%s applied %v as another version than other nodes", node, version.Position)
	}
	checker.digests[version.Position], checker.versions[version.Position] = version.Digest, version
}

// checkRetained checks that every version that any node applied is the one that the core node retains under that revision, as far back as
// it retains versions.
func (checker *checker) checkRetained(node *node) {
	newest := node.controller.Feed.Version().Position.Revision
	oldest := newest
	for revision := newest; revision > newest-historyLength; revision-- {
		if _, found := node.controller.CommittedVersion(revision); found {
			oldest = revision
		}
	}
	for index, digest := range checker.digests {
		version, _ := node.controller.CommittedVersion(index.Revision)
		if index.Revision >= oldest && index.Revision <= newest && (version.Position != index || version.Digest != digest) {
			checker.fail("%v was applied by some node and %s retains %v under that revision", index, node.name, version.Position)
		}
	}
}

// input describes an operation in the history: an order, or a read if order is nil.
type input struct{ order *order }

// output is the revision that was read, or that the outcome of an order is unknown.
type output struct {
	revision int64
	unknown  bool
}

// configurationModel is the linearizability model: a compare-and-set register whose writes succeed only on their base revision. A write with
// an unknown outcome may have been applied or not.
var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{firstRevision} },
	Step: func(state, in, out any) []any {
		current, operation, answer := state.(int64), in.(input), out.(output)
		switch {
		case operation.order == nil && answer.revision == current:
			return []any{current}
		case operation.order == nil:
			return nil
		case operation.order.baseRevision == current && answer.unknown:
			return []any{current, operation.order.revision}
		case operation.order.baseRevision == current:
			return []any{operation.order.revision}
		case answer.unknown:
			return []any{current}
		}
		return nil
	},
	Equal: func(left, right any) bool { return left == right },
}

// linearizabilityTimeout bounds the search for a linearization of a history; a timeout counts as a pass.
const linearizabilityTimeout = time.Minute

// checkLinearizable checks the whole history; orders without an answer may have been applied or not.
func (checker *checker) checkLinearizable() {
	for key, order := range checker.orders {
		if !checker.finished[key] {
			checker.recordUnknown(order)
		}
	}
	if checker.violation == "" && porcupine.CheckOperationsTimeout(configurationModel.ToModel(), checker.history, linearizabilityTimeout) == porcupine.Illegal {
		checker.fail("the history of %d orders and reads is not linearizable", len(checker.history))
	}
}
