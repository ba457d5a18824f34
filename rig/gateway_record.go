package rig

import (
	"sync"
	"time"
)

// gatewayRecord holds what callers and servers saw. It is safe for concurrent use.
type gatewayRecord struct {
	lock     sync.Mutex
	attempts []*gatewayAttempt
	runs     map[string][]*gatewayRun
}

// gatewayAttempt is one request as its caller saw it. Times are since the start of the fleet.
type gatewayAttempt struct {
	ID      string
	Kind    string
	Machine *gatewayMachine
	// RequestOfConn is the number of the request on its connection, from 1 on.
	RequestOfConn int
	// Sent is when the last byte was written, Ended when the answer was complete or the connection had ended, GiveUp when the caller leaves.
	Sent   time.Duration
	Ended  time.Duration
	GiveUp time.Duration
	// Status is 0 without an answer. Complete says that the answer has arrived to its end, AnswerID is whose answer it is.
	Status   int
	Complete bool
	AnswerID string
	// Pieces are the numbers of the events that arrived, in order.
	Pieces     []int
	WantPieces int
	Repeatable bool
	RetryAfter time.Duration
	// Error is how the connection ended.
	Error string
	// Connected says that a connection was established and the request could be written.
	Connected bool
}

// gatewayRun is one run of a request at a server. Whole says that the server wrote its whole answer, BrokenOff that it crashed before that.
type gatewayRun struct {
	Server    string
	StartedAt time.Duration
	EndedAt   time.Duration
	Whole     bool
	BrokenOff bool
	// Faulty says that the server sent bytes without end, NotRun that it claimed not to have run the request.
	Faulty bool
	NotRun bool
}

func newGatewayRecord() *gatewayRecord { return &gatewayRecord{runs: map[string][]*gatewayRun{}} }

func (record *gatewayRecord) runStarted(id, server string, at time.Duration) *gatewayRun {
	run := &gatewayRun{Server: server, StartedAt: at}
	record.addRun(id, run)
	return run
}

// addRun keeps a run of a request.
func (record *gatewayRecord) addRun(id string, run *gatewayRun) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.runs[id] = append(record.runs[id], run)
}

func (record *gatewayRecord) runEnded(run *gatewayRun, whole, brokenOff bool, at time.Duration) {
	record.lock.Lock()
	defer record.lock.Unlock()
	run.EndedAt, run.Whole, run.BrokenOff = at, whole, brokenOff
}

// add keeps an attempt that has ended.
func (record *gatewayRecord) add(attempt *gatewayAttempt) {
	record.lock.Lock()
	defer record.lock.Unlock()
	record.attempts = append(record.attempts, attempt)
}
