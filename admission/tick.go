package admission

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// tick ends connections whose time is over, and logs from time to time what was ended.
func (state *State) tick(now time.Duration) []contract.Command {
	commands := []contract.Command{}
	for _, id := range slices.Sorted(maps.Keys(state.connections)) {
		conn := state.connections[id]
		if conn.ended != nil {
			continue
		}
		limits, waited := state.limits[conn.class], now-conn.since
		switch {
		case conn.phase == phaseWaiting && exceeds(waited, limits.IdleTime):
			commands = append(commands, state.end(id, conn, 0, ReasonIdle)...)
		case conn.phase == phaseHead && exceeds(waited, limits.HeadTime):
			commands = append(commands, state.end(id, conn, http.StatusRequestTimeout, ReasonHeadTime)...)
		case conn.phase == phaseBody && exceeds(waited, conn.bodyTime):
			commands = append(commands, state.end(id, conn, http.StatusRequestTimeout, ReasonBodyTime)...)
		case conn.phase == phaseStalled && exceeds(waited, limits.AnswerTime):
			commands = append(commands, state.end(id, conn, 0, ReasonAnswerTime)...)
		}
	}
	return append(commands, state.summary(now)...)
}

// exceeds reports whether a time is over its limit; a limit of 0 is none.
func exceeds(waited, limit time.Duration) bool { return limit > 0 && waited > limit }

// summary returns a log line about the connections that were ended since the last one.
func (state *State) summary(now time.Duration) []contract.Command {
	if len(state.unlogged) == 0 || now-state.lastLog < logPeriod {
		return nil
	}
	attributes := []any{"last", state.lastRemote}
	for _, reason := range slices.Sorted(maps.Keys(state.unlogged)) {
		attributes = append(attributes, string(reason), state.unlogged[reason])
	}
	for class := range classCount {
		attributes = append(attributes, class.String()+"Open", state.open[class], class.String()+"HeldBytes", state.held[class])
	}
	state.lastLog, state.unlogged = now, map[Reason]int64{}
	return []contract.Command{contract.Log{Message: "clients ended", Attributes: attributes}}
}
