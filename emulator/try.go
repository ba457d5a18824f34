package emulator

import (
	"time"

	"github.com/cedarreel/cedarreel/emulator/rules"
)

// attempt is one attempt of a call under way.
type attempt struct {
	*call
	record       *rules.Attempt
	conn         *conn
	address      string
	finished     bool
	lastActivity time.Duration
	retryAfter   time.Duration
}

const (
	minSilence       = 2 * time.Second
	silenceAimFactor = 4
	silenceGapFactor = 8
	minBackoff       = 20 * time.Millisecond
)

// send starts one attempt.
func (call *call) send(fresh bool) {
	call.attemptsLeft--
	attempt := &attempt{call: call}
	begin := func() {
		if call.day.world.Now >= call.deadline {
			call.finish("failed")
			return
		}
		attempt.record = call.newAttempt()
		attempt.record.Sent = call.day.world.Now
		attempt.lastActivity = attempt.record.Sent
		call.day.record.Attempts = append(call.day.record.Attempts, attempt.record)
		write := func(opened *conn, address string) { attempt.send(opened, address) }
		if call.machine != nil {
			call.day.connect(call.client.place(), call.machine.address+":"+trafficPort, write)
			return
		}
		call.client.withConnection(fresh, write)
	}
	if call.machine != nil {
		begin()
		return
	}
	call.client.withAddresses(begin)
}

func (attempt *attempt) send(opened *conn, address string) {
	day, class := attempt.day, attempt.class
	machine := day.machineAt(address)
	if machine != nil {
		attempt.record.Machine = machine.name
	}
	if opened == nil {
		attempt.client.avoid(address)
		attempt.finishAttempt()
		return
	}
	attempt.conn, attempt.address = opened, address
	attempt.record.Sent, attempt.lastActivity = day.world.Now, day.world.Now
	left := attempt.deadline - day.world.Now
	opened.onClose[dialer] = func() {
		if !attempt.finished {
			attempt.client.avoid(address)
			attempt.finishAttempt()
		}
	}
	asked := &request{attempt: attempt.record, class: class, host: day.host(), path: "/" + attempt.route + "/x", prompt: attempt.prompt, timeout: left, work: attempt.work, size: class.Bytes, startedAt: attempt.startedAt, figure: attempt.Figure}
	opened.send(dialer, class.Bytes, func() { machine.data.serve(opened, asked, attempt) })
	day.world.After(left, attempt.giveUp)
	if attempt.record.Repeatable {
		day.world.After(min(time.Second, left/3), func() {
			if attempt.record.ReadAt == 0 {
				attempt.client.avoid(address)
				attempt.giveUp()
			}
		})
	}
	if attempt.record.Stream {
		attempt.watchSilence()
	}
}

// watchSilence abandons a stream after a silence.
func (attempt *attempt) watchSilence() {
	patience := max(minSilence, seconds(attempt.class.AimMs/1000*silenceAimFactor), seconds(attempt.class.GapMs/1000*silenceGapFactor))
	attempt.day.world.At(attempt.lastActivity+patience, func() {
		switch {
		case attempt.finished:
		case attempt.day.world.Now-attempt.lastActivity >= patience:
			attempt.client.avoid(attempt.address)
			attempt.giveUp()
		default:
			attempt.watchSilence()
		}
	})
}

func (attempt *attempt) giveUp() {
	if attempt.finished {
		return
	}
	attempt.record.Abandoned = true
	if attempt.conn != nil {
		attempt.conn.onClose[dialer] = nil
		attempt.conn.close(dialer)
	}
	attempt.finishAttempt()
}

func (attempt *attempt) answered(answer clientAnswer) {
	if attempt.finished {
		return
	}
	attempt.lastActivity = attempt.day.world.Now
	if attempt.record.Status == 0 {
		attempt.record.Status, attempt.record.Sealed, attempt.record.AnswerIdentity = answer.status, answer.sealed, answer.identity
	}
	if !answer.complete {
		return
	}
	attempt.record.Complete, attempt.retryAfter = true, answer.retryAfter
	if !attempt.record.Stream && answer.status/100 == 2 {
		attempt.recordFirstPiece(attempt.day.world.Now)
	}
	if answer.close {
		attempt.conn.onClose[dialer] = nil
		attempt.conn.close(dialer)
	} else {
		attempt.client.release(attempt.conn, attempt.address)
	}
	attempt.finishAttempt()
}

func (attempt *attempt) piece(piece rules.Piece) {
	if attempt.finished {
		return
	}
	now := attempt.day.world.Now
	attempt.lastActivity, piece.ReceivedAt = now, now
	attempt.record.Pieces = append(attempt.record.Pieces, piece)
	attempt.recordFirstPiece(now)
	if gap := seconds(attempt.class.GapMs / 1000); gap > 0 && attempt.call.lastPieceAt > 0 && now-attempt.call.lastPieceAt > gap {
		attempt.Paused = true
	}
	attempt.call.lastPieceAt, attempt.lastPiece = now, piece.Number
}

func (call *call) recordFirstPiece(now time.Duration) {
	if call.First == 0 {
		call.First = now - call.startedAt
	}
}

// finishAttempt decides whether the call is retried. A request that may have run is retried only if it is repeatable.
func (attempt *attempt) finishAttempt() {
	attempt.finished = true
	attempt.record.Ended = attempt.day.world.Now
	status, left := attempt.record.Status, attempt.deadline-attempt.day.world.Now
	if status/100 == 2 && attempt.record.Complete {
		attempt.finish("served")
		return
	}
	promise := status == 429 || status == 503 || status == 408 || status == 421
	final := status == 400 || status == 401 || status == 404 || status == 413 || status == 431
	may := attempt.record.Repeatable || promise || attempt.record.ReadAt == 0 && !attempt.record.Abandoned
	if attempt.call.attemptsLeft <= 0 || final || !may || left <= 0 || attempt.record.Probe {
		if promise {
			attempt.finish("refused")
		} else {
			attempt.finish("failed")
		}
		return
	}
	if !attempt.record.Resumable {
		attempt.lastPiece = 0
	}
	wait := max(minBackoff, min(attempt.retryAfter, left/3))
	if attempt.client.aggressive {
		wait = minBackoff
	}
	attempt.day.world.After(wait, func() { attempt.call.send(true) })
}

// finish records how a call ended.
func (call *call) finish(outcome string) {
	if outcome == "served" && (call.First > seconds(call.class.AimMs/1000) || call.Paused) {
		outcome = "late"
	}
	call.Outcome = outcome
	call.Ended = call.day.world.Now
}
