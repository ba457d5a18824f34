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
	reasonEarlierAttempts = "earlier tries"
	reasonNodeQueue       = "held at the node"
	reasonNetwork         = "way to the server"
	reasonOtherPrompts    = "behind other prompts"
	reasonUncachedShared  = "shared parts unread there"
	reasonOwnPrompt       = "its own prompt"
	reasonPause           = "pause between pieces"
	reasonUnserved        = "not served: "
)

// latencyBreakdown splits the time until the first piece of a call's last attempt.
type latencyBreakdown struct {
	earlierAttempts, nodeQueue, network, otherPrompts, uncachedShared, ownPrompt time.Duration
}

// largest names the longest part.
func (waits latencyBreakdown) largest() string {
	reason, most := reasonEarlierAttempts, waits.earlierAttempts
	for _, one := range []struct {
		reason string
		span   time.Duration
	}{{reasonNodeQueue, waits.nodeQueue}, {reasonNetwork, waits.network}, {reasonOtherPrompts, waits.otherPrompts}, {reasonUncachedShared, waits.uncachedShared}, {reasonOwnPrompt, waits.ownPrompt}} {
		if one.span > most {
			reason, most = one.reason, one.span
		}
	}
	return reason
}

// recordLatency records where the time of a call went, when its first token is generated. Probes have no figures.
func (batch *batch) recordLatency(job *task) {
	figure := job.request.figure
	if figure == nil {
		return
	}
	engine, arrival, try := batch.engine, job.arrival, job.request.attempt
	read := func(tokens int64) time.Duration {
		return seconds(float64(tokens) / engine.TokensPerMs * batch.server.speed / 1000)
	}
	reread, own := read(job.progress.rereadTokens), read(job.progress.freshTokens)
	figure.latency = latencyBreakdown{earlierAttempts: try.Sent - job.request.startedAt, nodeQueue: job.sent - try.Sent, network: 2 * (arrival.ArrivedAt - job.sent), uncachedShared: reread, ownPrompt: own}
	figure.latency.otherPrompts = max(0, batch.server.day.world.Now-arrival.ArrivedAt-reread-own-seconds(engine.FirstMs/1000))
}

// MissReasons counts the calls that missed their latency target, by class and reason.
type MissReasons map[string]map[string]int

func (day *Day) missReasons() MissReasons {
	account := MissReasons{}
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
			reason = one.latency.largest()
		}
		if account[one.Class] == nil {
			account[one.Class] = map[string]int{}
		}
		account[one.Class][reason]++
	}
	return account
}

// values gives the counts by class and reason.
func (account MissReasons) values() map[string]float64 {
	values := map[string]float64{}
	for class, reasons := range account {
		for reason, count := range reasons {
			values[class+" lost by "+reason] = float64(count)
		}
	}
	return values
}

func (account MissReasons) text() string {
	text := strings.Builder{}
	for _, class := range slices.Sorted(maps.Keys(account)) {
		for _, reason := range slices.Sorted(maps.Keys(account[class])) {
			fmt.Fprintf(&text, "%s not in aim, %s: %d\n", class, reason, account[class][reason])
		}
	}
	return text.String()
}
