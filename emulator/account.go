package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Reasons why a call was not served inside its aim.
const (
	reasonEarlier  = "earlier tries"
	reasonNode     = "held at the node"
	reasonDistance = "way to the server"
	reasonBehind   = "behind other prompts"
	reasonReread   = "shared parts unread there"
	reasonOwn      = "its own prompt"
	reasonPause    = "pause between pieces"
	reasonUnserved = "not served: "
)

// waits are the parts of the time until the first piece of a call's last try came.
type waits struct {
	earlier, node, distance, behind, reread, own time.Duration
}

// largest names the longest wait.
func (waits waits) largest() string {
	reason, most := reasonEarlier, waits.earlier
	for _, one := range []struct {
		reason string
		span   time.Duration
	}{{reasonNode, waits.node}, {reasonDistance, waits.distance}, {reasonBehind, waits.behind}, {reasonReread, waits.reread}, {reasonOwn, waits.own}} {
		if one.span > most {
			reason, most = one.reason, one.span
		}
	}
	return reason
}

// explain notes what a call waited for, when its first token is made.
func (batch *batch) explain(job *task) {
	figure := job.request.figure
	if figure == nil {
		return
	}
	engine, arrival, try := batch.engine, job.arrival, job.request.try
	read := func(tokens int64) time.Duration {
		return seconds(float64(tokens) / engine.TokensPerMs * batch.server.speed / 1000)
	}
	reread, own := read(job.state.reread), read(job.state.fresh)
	figure.waits = waits{earlier: try.Sent - job.request.began, node: job.sent - try.Sent, distance: 2 * (arrival.ArrivedAt - job.sent), reread: reread, own: own}
	figure.waits.behind = max(0, batch.server.day.world.Now-arrival.ArrivedAt-reread-own-seconds(engine.FirstMs/1000))
}

// Account counts, by class and reason, the calls that were not served inside their aim.
type Account map[string]map[string]int

func (day *Day) account() Account {
	account := Account{}
	for _, one := range day.figures {
		reason := ""
		switch {
		case one.Outcome == "served":
			continue
		case one.Outcome != "late":
			reason = reasonUnserved + one.Outcome
		case one.Paused:
			reason = reasonPause
		default:
			reason = one.waits.largest()
		}
		if account[one.Class] == nil {
			account[one.Class] = map[string]int{}
		}
		account[one.Class][reason]++
	}
	return account
}

// values gives the counts by class and reason.
func (account Account) values() map[string]float64 {
	values := map[string]float64{}
	for class, reasons := range account {
		for reason, count := range reasons {
			values[class+" lost by "+reason] = float64(count)
		}
	}
	return values
}

func (account Account) text() string {
	text := strings.Builder{}
	for _, class := range slices.Sorted(maps.Keys(account)) {
		for _, reason := range slices.Sorted(maps.Keys(account[class])) {
			fmt.Fprintf(&text, "%s not in aim, %s: %d\n", class, reason, account[class][reason])
		}
	}
	return text.String()
}
