package emulator

import (
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
)

// attempt is one try of a call under way.
type attempt struct {
	*call
	try     *rules.Attempt
	conn    *conn
	address string
	over    bool
	touched time.Duration
	after   time.Duration
}

const (
	silenceLeast = 2 * time.Second
	silenceAims  = 4
	silenceGaps  = 8
	backOff      = 20 * time.Millisecond
)

// send makes one try.
func (call *call) send(fresh bool) {
	call.tries--
	one := &attempt{call: call}
	begin := func() {
		if call.day.world.Now >= call.ends {
			call.settle("failed")
			return
		}
		one.try = call.try()
		one.try.Sent = call.day.world.Now
		one.touched = one.try.Sent
		call.day.record.Attempts = append(call.day.record.Attempts, one.try)
		write := func(opened *conn, address string) { one.write(opened, address) }
		if call.straight != nil {
			call.day.connect(call.visitor.place(), call.straight.address+":"+trafficPort, write)
			return
		}
		call.visitor.connected(fresh, write)
	}
	if call.straight != nil {
		begin()
		return
	}
	call.visitor.addressed(begin)
}

func (one *attempt) write(opened *conn, address string) {
	day, class := one.day, one.class
	machine := day.machineAt(address)
	if machine != nil {
		one.try.Machine = machine.name
	}
	if opened == nil {
		one.visitor.fail(address)
		one.end()
		return
	}
	one.conn, one.address = opened, address
	one.try.Sent, one.touched = day.world.Now, day.world.Now
	left := one.ends - day.world.Now
	opened.closed[near] = func() {
		if !one.over {
			one.visitor.fail(address)
			one.end()
		}
	}
	asked := &request{try: one.try, class: class, host: day.host(), path: "/" + one.route + "/x", prompt: one.prompt, left: left, work: one.work, size: class.Bytes, began: one.began, figure: one.Figure}
	opened.send(near, class.Bytes, func() { machine.data.serve(opened, asked, one) })
	day.world.After(left, one.giveUp)
	if one.try.Repeatable {
		day.world.After(min(time.Second, left/3), func() {
			if one.try.ReadAt == 0 {
				one.visitor.fail(address)
				one.giveUp()
			}
		})
	}
	if one.try.Stream {
		one.listen()
	}
}

// listen gives a stream up after a silence.
func (one *attempt) listen() {
	patience := max(silenceLeast, seconds(one.class.AimMs/1000*silenceAims), seconds(one.class.GapMs/1000*silenceGaps))
	one.day.world.At(one.touched+patience, func() {
		switch {
		case one.over:
		case one.day.world.Now-one.touched >= patience:
			one.visitor.fail(one.address)
			one.giveUp()
		default:
			one.listen()
		}
	})
}

func (one *attempt) giveUp() {
	if one.over {
		return
	}
	one.try.Abandoned = true
	if one.conn != nil {
		one.conn.closed[near] = nil
		one.conn.close(near)
	}
	one.end()
}

func (one *attempt) answered(answer answer) {
	if one.over {
		return
	}
	one.touched = one.day.world.Now
	if one.try.Status == 0 {
		one.try.Status, one.try.Sealed, one.try.AnswerIdentity = answer.status, answer.sealed, answer.of
	}
	if !answer.whole {
		return
	}
	one.try.Complete, one.after = true, answer.after
	if !one.try.Stream && answer.status/100 == 2 {
		one.first(one.day.world.Now)
	}
	if answer.close {
		one.conn.closed[near] = nil
		one.conn.close(near)
	} else {
		one.visitor.keep(one.conn, one.address)
	}
	one.end()
}

func (one *attempt) piece(piece rules.Piece) {
	if one.over {
		return
	}
	now := one.day.world.Now
	one.touched, piece.ReceivedAt = now, now
	one.try.Pieces = append(one.try.Pieces, piece)
	one.first(now)
	if gap := seconds(one.class.GapMs / 1000); gap > 0 && one.call.last > 0 && now-one.call.last > gap {
		one.Paused = true
	}
	one.call.last, one.got = now, piece.Number
}

func (call *call) first(now time.Duration) {
	if call.First == 0 {
		call.First = now - call.began
	}
}

// end decides whether there is a further try.
func (one *attempt) end() {
	one.over = true
	one.try.Ended = one.day.world.Now
	status, left := one.try.Status, one.ends-one.day.world.Now
	if status/100 == 2 && one.try.Complete {
		one.settle("served")
		return
	}
	promise := status == 429 || status == 503 || status == 408 || status == 421
	final := status == 400 || status == 401 || status == 404 || status == 413 || status == 431
	may := one.try.Repeatable || promise || one.try.ReadAt == 0 && !one.try.Abandoned
	if one.call.tries <= 0 || final || !may || left <= 0 || one.try.Probe {
		if promise {
			one.settle("refused")
		} else {
			one.settle("failed")
		}
		return
	}
	if !one.try.Resumable {
		one.got = 0
	}
	wait := max(backOff, min(one.after, left/3))
	if one.visitor.hasty {
		wait = backOff
	}
	one.day.world.After(wait, func() { one.call.send(true) })
}

// settle notes how a call ended.
func (call *call) settle(outcome string) {
	if outcome == "served" && (call.First > seconds(call.class.AimMs/1000) || call.Paused) {
		outcome = "late"
	}
	call.Outcome = outcome
	call.Ended = call.day.world.Now
}
