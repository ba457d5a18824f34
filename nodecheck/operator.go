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
	statusDone    = 200
	statusPartly  = 202
	operators     = 3
	readers       = 2
	answerWaited  = 1200 * time.Millisecond
	orderWaited   = 6 * time.Second
	shortestPause = 50 * time.Millisecond
	longestPause  = 400 * time.Millisecond
	// lostAnswerOdds and againOdds are how seldom an answer is lost on its way, and how often an order that was acknowledged is sent again.
	lostAnswerOdds = 8
	againOdds      = 4
	routesAtFirst  = 60
	routesMany     = 25
)

// order is one change that an operator wants.
type order struct {
	ask  contract.OperatorRequest
	base int64
	// revision is that of the gateway's configuration, or 0 for a drain or undrain.
	revision int64
	// content is the gateway's configuration that the order makes of the one that it builds on.
	content string
	zone    string
	sent    time.Duration
	again   bool
	tries   int
}

// operator sends one order after the other.
type operator struct {
	world  *world
	name   string
	orders int
}

// next reads the configuration and orders a change of it.
func (operator *operator) next() {
	world := operator.world
	world.after(world.between(shortestPause, longestPause), func() {
		answered := false
		world.after(answerWaited, func() {
			if !answered {
				operator.next()
			}
		})
		world.anyNode().ask(contract.OperatorRequest{Verb: contract.VerbGet}, func(answer contract.Response) {
			version, fine := answer.Body.(contract.Version)
			if answered {
				return
			}
			answered = true
			if answer.Status != statusDone || !fine {
				operator.next()
				return
			}
			operator.send(operator.compose(version.Document()))
		})
	})
}

// compose draws a change of a configuration.
func (operator *operator) compose(content *document.Document) *order {
	operator.orders++
	world, base := operator.world, manifest.GatewayRevision(content)
	made := &order{base: base, sent: world.now}
	made.ask = contract.OperatorRequest{Operation: fmt.Sprintf("%s-%d", operator.name, operator.orders), ReplyOnCommit: true}
	if world.random.IntN(6) == 0 {
		made.zone = zoneOf(world.random.IntN(coreSize))
		made.ask.Subject, made.ask.Verb = made.zone, []string{contract.VerbDrain, contract.VerbUndrain}[world.random.IntN(2)]
		return made
	}
	made.revision = base + 1 + world.random.Int64N(3)
	made.ask.Verb, made.ask.BaseRevision, made.ask.HasBaseRevision = contract.VerbUpdate, base, true
	upsert, count := map[string]any{}, 1
	if world.random.IntN(4) == 0 {
		count = routesMany
	}
	for number := range count {
		name := fmt.Sprintf("r%d", world.random.IntN(2*routesAtFirst))
		if count > 1 {
			name = fmt.Sprintf("r%d", number)
		}
		upsert[name] = routeOf(name, operator.name, operator.orders)
	}
	section := map[string]any{"revision": made.revision, "upsert": map[string]any{"routes": upsert}, "remove": map[string]any{"routes": []any{fmt.Sprintf("r%d", world.random.IntN(2*routesAtFirst))}}}
	made.ask.Body, _ = json.Marshal(map[string]any{"gateway": section})
	tree, failure := manifest.ParseObject(made.ask.Body)
	if failure != nil {
		panic(failure)
	}
	change, failure := manifest.GatewayChange(content, tree, false)
	if failure != nil {
		panic(failure)
	}
	made.content = gatewayOf(content.Apply(change))
	return made
}

func routeOf(name, operator string, number int) map[string]any {
	return map[string]any{"host": name + ".example", "prefix": "/", "service": "s", "timeoutMs": 1000 + number, "more": map[string]any{"by": operator}}
}

// gatewayOf gives the gateway's configuration as text.
func gatewayOf(content *document.Document) string {
	text := []byte{}
	content.VisitPrefix("/gateway", func(pointer, value string) bool {
		text = append(append(append(text, pointer...), '='), value...)
		text = append(text, '\n')
		return false
	})
	return string(text)
}

// send sends an order until it has a clear answer, or until its time is over.
func (operator *operator) send(order *order) {
	world := operator.world
	if !order.again {
		world.counts.Orders++
		world.judge.sent(order)
	} else {
		world.counts.SentAgain++
	}
	operator.try(order, world.now+orderWaited)
}

func (operator *operator) try(order *order, until time.Duration) {
	world, answered := operator.world, false
	order.tries++
	retry := func() {
		if world.now >= until {
			operator.end(order, 0)
			return
		}
		world.after(world.between(shortestPause, longestPause), func() { operator.try(order, until) })
	}
	world.after(answerWaited, func() {
		if !answered {
			answered = true
			retry()
		}
	})
	world.anyNode().ask(order.ask, func(answer contract.Response) {
		if answered || world.random.IntN(lostAnswerOdds) == 0 {
			return
		}
		answered = true
		if answer.Status >= 500 {
			retry()
			return
		}
		operator.end(order, answer.Status)
	})
}

// end takes up a clear answer, or that there was none.
func (operator *operator) end(order *order, status int) {
	world := operator.world
	world.judge.answered(order, status)
	switch {
	case status == 0:
		world.counts.Unknown++
	case status != statusDone && status != statusPartly:
		world.counts.Refused++
	default:
		world.counts.Acknowledged++
		if order.revision > 0 && world.random.IntN(againOdds) == 0 {
			again := *order
			again.again = true
			world.after(world.between(shortestPause, orderWaited/2), func() { operator.send(&again) })
			return
		}
	}
	operator.next()
}

// read asks any node for the configuration, again and again.
func (world *world) read() {
	world.after(world.between(shortestPause, longestPause), func() {
		began, answered := world.now, false
		world.after(answerWaited, func() {
			if !answered {
				answered = true
				world.read()
			}
		})
		world.anyNode().ask(contract.OperatorRequest{Verb: contract.VerbGet}, func(answer contract.Response) {
			if answered {
				return
			}
			answered = true
			version, fine := answer.Body.(contract.Version)
			if answer.Status == statusDone && fine {
				world.counts.Reads++
				world.judge.read(began, version.Document())
			} else {
				world.counts.ReadsRefused++
			}
			world.read()
		})
	})
}
