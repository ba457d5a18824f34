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

// judge checks what operators were told against what they ordered.
type judge struct {
	world     *world
	violation string
	// orders are all orders of a configuration by their operations; contents are what was read under a revision.
	orders   map[string]*order
	contents map[int64]string
	// acked are the acknowledged orders of a configuration by the revision that they build on; refused the refused ones.
	acked   map[int64]*order
	refused map[string]*order
	ended   map[string]bool
	newest  int64
	// drained is what was last acknowledged of a zone, and since when; a zone with orders that are not answered is not judged.
	drained map[string]bool
	settled map[string]time.Duration
	open    map[string]int
	// overlap tells that orders of a zone were under way at the same time, so that nobody knows which came last.
	overlap map[string]bool
	// unclear is when a zone last had an order of which a try may still be under way.
	unclear map[string]time.Duration
	// digests are those of the versions that were in force at some node, by place.
	digests map[contract.Position]string
	// versions are those themselves, for faults that are made of them.
	versions map[contract.Position]contract.Version
	history  []porcupine.Operation
}

func newJudge(world *world) *judge {
	return &judge{world: world, orders: map[string]*order{}, contents: map[int64]string{}, acked: map[int64]*order{}, refused: map[string]*order{}, ended: map[string]bool{},
		drained: map[string]bool{}, settled: map[string]time.Duration{}, open: map[string]int{}, overlap: map[string]bool{}, unclear: map[string]time.Duration{}, digests: map[contract.Position]string{}, versions: map[contract.Position]contract.Version{}}
}

func (judge *judge) fail(format string, details ...any) {
	if judge.violation == "" {
		judge.violation = fmt.Sprintf("at %v: ", judge.world.now) + fmt.Sprintf(format, details...)
	}
}

func (judge *judge) sent(order *order) {
	if order.zone != "" {
		judge.open[order.zone]++
		judge.overlap[order.zone] = judge.overlap[order.zone] || judge.open[order.zone] > 1
		return
	}
	judge.orders[order.ask.Operation] = order
}

// answered takes up a clear answer; status 0 is none.
func (judge *judge) answered(order *order, status int) {
	done := status == statusDone || status == statusPartly
	if order.zone != "" {
		judge.answeredDrain(order, done)
		return
	}
	key := order.ask.Operation
	if order.again {
		if status != 0 && !done {
			judge.fail("order %s was acknowledged and, sent again, refused with %d", key, status)
		}
		return
	}
	judge.ended[key] = true
	switch {
	case status == 0:
		judge.unknown(order)
	case !done:
		judge.refused[key] = order
	default:
		if other, there := judge.acked[order.base]; there {
			judge.fail("orders %s and %s both build on revision %d and are both acknowledged", other.ask.Operation, key, order.base)
		}
		judge.acked[order.base] = order
		judge.newest = max(judge.newest, order.revision)
		judge.history = append(judge.history, porcupine.Operation{ClientId: len(judge.history), Input: input{order: order}, Output: output{}, Call: int64(order.sent), Return: int64(judge.world.now)})
	}
}

// longestUnclear is how long a try of an order may still be carried out after its operator has given it up, as by a node that was frozen.
const longestUnclear = 10 * time.Second

// unknown notes an order of which it is not known whether it was carried out, or will be.
func (judge *judge) unknown(order *order) {
	judge.history = append(judge.history, porcupine.Operation{ClientId: len(judge.history), Input: input{order: order}, Output: output{unknown: true}, Call: int64(order.sent), Return: math.MaxInt64})
}

func (judge *judge) answeredDrain(order *order, done bool) {
	judge.open[order.zone]--
	if !done || order.tries > 1 {
		judge.unclear[order.zone] = judge.world.now
	}
	since, unclear := judge.unclear[order.zone]
	if overlap := judge.overlap[order.zone]; overlap || unclear && judge.world.now-since < longestUnclear {
		judge.overlap[order.zone] = judge.open[order.zone] > 0
		delete(judge.settled, order.zone)
		return
	}
	judge.drained[order.zone], judge.settled[order.zone] = order.ask.Verb == contract.VerbDrain, judge.world.now
}

// read checks a configuration that was read; began is when the question was put.
func (judge *judge) read(began time.Duration, content *document.Document) {
	revision, text := manifest.GatewayRevision(content), gatewayOf(content)
	if former, there := judge.contents[revision]; there && former != text {
		judge.fail("revision %d was read with another content than before", revision)
	}
	if _, there := judge.contents[revision]; !there {
		judge.belongs(revision, text)
	}
	judge.contents[revision] = text
	judge.history = append(judge.history, porcupine.Operation{ClientId: len(judge.history), Input: input{}, Output: output{revision: revision}, Call: int64(began), Return: int64(judge.world.now)})
	for zone, since := range judge.settled {
		if judge.open[zone] > 0 || since > began {
			continue
		}
		if value, _ := content.Part(document.Pointer("zones", zone, "drained")); (value == "true") != judge.drained[zone] {
			judge.fail("zone %s: drained %v was acknowledged and %q read", zone, judge.drained[zone], value)
		}
	}
}

// belongs wants a content to be what one order of its revision makes, and that order not to have been refused.
func (judge *judge) belongs(revision int64, text string) {
	if revision <= firstRevision {
		return
	}
	for key, order := range judge.orders {
		if order.revision != revision || order.content != text {
			continue
		}
		if _, refused := judge.refused[key]; !refused {
			return
		}
	}
	judge.fail("revision %d is in force as no order made it, or as a refused one did", revision)
}

// inForce checks that a place is one version for ever, at every node.
func (judge *judge) inForce(node string, version contract.Version) {
	if former, there := judge.digests[version.Position]; there && former != version.Digest || version.Content.Digest() != version.Digest {
		judge.fail("%s has %v in force as another version than others", node, version.Position)
	}
	judge.digests[version.Position], judge.versions[version.Position] = version.Digest, version
}

// kept checks that what was in force anywhere is what the core keeps under its revision, as far back as it keeps versions.
func (judge *judge) kept(node *node) {
	newest := node.owner.Feed.Version().Position.Revision
	oldest := newest
	for revision := newest; revision > newest-historyKept; revision-- {
		if _, there := node.owner.CommittedVersion(revision); there {
			oldest = revision
		}
	}
	for place, digest := range judge.digests {
		version, _ := node.owner.CommittedVersion(place.Revision)
		if place.Revision >= oldest && place.Revision <= newest && (version.Position != place || version.Digest != digest) {
			judge.fail("%v was in force at some node and %s keeps %v under that revision", place, node.name, version.Position)
		}
	}
}

// input of an operation in the history: an order, or a read.
type input struct{ order *order }

// output of one: the revision that was read, or that the order's end is not known.
type output struct {
	revision int64
	unknown  bool
}

// configuration is a register whose writes succeed on their base alone; one whose end is not known may have been carried out or not.
var configuration = porcupine.NondeterministicModel{
	Init: func() []any { return []any{firstRevision} },
	Step: func(state, in, out any) []any {
		current, asked, given := state.(int64), in.(input), out.(output)
		switch {
		case asked.order == nil && given.revision == current:
			return []any{current}
		case asked.order == nil:
			return nil
		case asked.order.base == current && given.unknown:
			return []any{current, asked.order.revision}
		case asked.order.base == current:
			return []any{asked.order.revision}
		case given.unknown:
			return []any{current}
		}
		return nil
	},
	Equal: func(left, right any) bool { return left == right },
}

// checkTime bounds the search for an order of operations that explains a history.
const checkTime = time.Minute

// linearizable checks the whole history; orders that are still under way may have been carried out or not.
func (judge *judge) linearizable() {
	for key, order := range judge.orders {
		if !judge.ended[key] {
			judge.unknown(order)
		}
	}
	if judge.violation == "" && porcupine.CheckOperationsTimeout(configuration.ToModel(), judge.history, checkTime) == porcupine.Illegal {
		judge.fail("the history of %d orders and reads is not linearizable", len(judge.history))
	}
}
