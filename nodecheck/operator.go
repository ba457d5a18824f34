package nodecheck

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/document"
	"github.com/cedarreel/cedarreel/manifest"
)

const (
	statusOK       = 200
	statusAccepted = 202
	operatorCount  = 3
	readerCount    = 2
	answerTimeout  = 1200 * time.Millisecond
	orderTimeout   = 6 * time.Second
	minPause       = 50 * time.Millisecond
	maxPause       = 400 * time.Millisecond
	// One in answerLossOneIn answers is lost; one in resendOneIn acknowledged orders is sent again.
	answerLossOneIn = 8
	resendOneIn     = 4
	initialRoutes   = 60
	bulkRoutes      = 25
)

// order is one change that an operator requests: of the configuration, or of the drain state of a zone.
type order struct {
	request      contract.OperatorRequest
	baseRevision int64
	// revision is the new revision of the gateway's configuration, or 0 for a drain or undrain.
	revision int64
	// content is the gateway's configuration after the order is applied to its base.
	content  string
	zone     string
	sentAt   time.Duration
	resent   bool
	attempts int
}

// operator sends one order after another.
type operator struct {
	simulation *simulation
	name       string
	orders     int
}

// orderNext reads the configuration after a pause and sends an order to change it.
func (operator *operator) orderNext() {
	simulation := operator.simulation
	simulation.schedule(simulation.randomDuration(minPause, maxPause), func() {
		answered := false
		simulation.schedule(answerTimeout, func() {
			if !answered {
				operator.orderNext()
			}
		})
		simulation.randomNode().request(contract.OperatorRequest{Verb: contract.VerbGet}, func(answer contract.Response) {
			version, isVersion := answer.Body.(contract.Version)
			if answered {
				return
			}
			answered = true
			if answer.Status != statusOK || !isVersion {
				operator.orderNext()
				return
			}
			operator.send(operator.composeOrder(version.Document()))
		})
	})
}

// composeOrder draws a random change of a configuration.
func (operator *operator) composeOrder(content *document.Document) *order {
	operator.orders++
	simulation, base := operator.simulation, manifest.GatewayRevision(content)
	composed := &order{baseRevision: base, sentAt: simulation.now}
	composed.request = contract.OperatorRequest{Operation: fmt.Sprintf("%s-%d", operator.name, operator.orders), ReplyOnCommit: true}
	if simulation.random.IntN(6) == 0 {
		composed.zone = zoneOf(simulation.random.IntN(coreSize))
		composed.request.Subject, composed.request.Verb = composed.zone, []string{contract.VerbDrain, contract.VerbUndrain}[simulation.random.IntN(2)]
		return composed
	}
	composed.revision = base + 1 + simulation.random.Int64N(3)
	composed.request.Verb, composed.request.BaseRevision, composed.request.HasBaseRevision = contract.VerbUpdate, base, true
	upsert, count := map[string]any{}, 1
	if simulation.random.IntN(4) == 0 {
		count = bulkRoutes
	}
	for index := range count {
		name := fmt.Sprintf("r%d", simulation.random.IntN(2*initialRoutes))
		if count > 1 {
			name = fmt.Sprintf("r%d", index)
		}
		upsert[name] = routeOf(name, operator.name, operator.orders)
	}
	section := map[string]any{"revision": composed.revision, "upsert": map[string]any{"routes": upsert}, "remove": map[string]any{"routes": []any{fmt.Sprintf("r%d", simulation.random.IntN(2*initialRoutes))}}}
	composed.request.Body, _ = json.Marshal(map[string]any{"gateway": section})
	tree, err := manifest.ParseObject(composed.request.Body)
	if err != nil {
		panic(err)
	}
	change, err := manifest.GatewayChange(content, tree, false)
	if err != nil {
		panic(err)
	}
	composed.content = gatewayOf(content.Apply(change))
	return composed
}

func routeOf(name, operator string, number int) map[string]any {
	return map[string]any{"host": name + ".example", "prefix": "/", "service": "s", "timeoutMs": 1000 + number, "more": map[string]any{"by": operator}}
}

// gatewayOf returns the gateway's part of a configuration as text.
func gatewayOf(content *document.Document) string {
	text := []byte{}
	content.VisitPrefix("/gateway", func(pointer, value string) bool {
		text = append(append(append(text, pointer...), '='), value...)
		text = append(text, '\n')
		return false
	})
	return string(text)
}

// send sends an order, with retries, until it has a definite answer or orderTimeout has passed.
func (operator *operator) send(order *order) {
	simulation := operator.simulation
	if !order.resent {
		simulation.counts.Orders++
		simulation.checker.recordSent(order)
	} else {
		simulation.counts.SentAgain++
	}
	operator.attempt(order, simulation.now+orderTimeout)
}

func (operator *operator) attempt(order *order, deadline time.Duration) {
	simulation, answered := operator.simulation, false
	order.attempts++
	retry := func() {
		if simulation.now >= deadline {
			operator.finish(order, 0)
			return
		}
		simulation.schedule(simulation.randomDuration(minPause, maxPause), func() { operator.attempt(order, deadline) })
	}
	simulation.schedule(answerTimeout, func() {
		if !answered {
			answered = true
			retry()
		}
	})
	simulation.randomNode().request(order.request, func(answer contract.Response) {
		if answered || simulation.random.IntN(answerLossOneIn) == 0 {
			return
		}
		answered = true
		if answer.Status >= 500 {
			retry()
			return
		}
		operator.finish(order, answer.Status)
	})
}

// finish records the final status of an order (0 if there was no definite answer) and goes on with a resend or the next order.
func (operator *operator) finish(order *order, status int) {
	simulation := operator.simulation
	simulation.checker.checkAnswer(order, status)
	switch {
	case status == 0:
		simulation.counts.Unknown++
	case status != statusOK && status != statusAccepted:
		simulation.counts.Refused++
	default:
		simulation.counts.Acknowledged++
		if order.revision > 0 && simulation.random.IntN(resendOneIn) == 0 {
			resend := *order
			resend.resent = true
			simulation.schedule(simulation.randomDuration(minPause, orderTimeout/2), func() { operator.send(&resend) })
			return
		}
	}
	operator.orderNext()
}

// scheduleRead reads the configuration from a random node after a pause, and repeats forever.
func (simulation *simulation) scheduleRead() {
	simulation.schedule(simulation.randomDuration(minPause, maxPause), func() {
		startedAt, answered := simulation.now, false
		simulation.schedule(answerTimeout, func() {
			if !answered {
				answered = true
				simulation.scheduleRead()
			}
		})
		simulation.randomNode().request(contract.OperatorRequest{Verb: contract.VerbGet}, func(answer contract.Response) {
			if answered {
				return
			}
			answered = true
			version, isVersion := answer.Body.(contract.Version)
			if answer.Status == statusOK && isVersion {
				simulation.counts.Reads++
				simulation.checker.checkRead(startedAt, version.Document())
			} else {
				simulation.counts.ReadsRefused++
			}
			simulation.scheduleRead()
		})
	})
}
