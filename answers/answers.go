// Package answers decides how much of the answers of servers a process takes in, so that a server that sends without end can exhaust neither its
// memory nor its processor. It is a state machine without I/O: a process tells it what arrives and what it keeps, and pauses or ends the reading of
// an answer when told to.
package answers

import (
	"runtime"
	"time"
)

// ID identifies an answer within a process.
type ID int64

// Reason says which bound an answer met. It is part of a metric's name.
type Reason string

// Bounds of an answer.
const (
	// ReasonHeadSize: the status line and the header lines are too long or too many. ReasonEventSize: an event of a stream is. ReasonReplySize: a body that is
	// kept is.
	ReasonHeadSize  Reason = "head_size"
	ReasonEventSize Reason = "event_size"
	ReasonReplySize Reason = "reply_size"
	// ReasonMemory: all answers together take too much memory, and this one takes the most. ReasonPace: it costs more processor time than there is.
	ReasonMemory Reason = "memory"
	ReasonPace   Reason = "pace"
	// ReasonLateBytes: bytes came after the end of an answer, which belong to no call.
	ReasonLateBytes Reason = "late_bytes"
)

// IsMisconduct reports whether only a server at fault meets the bound.
func (reason Reason) IsMisconduct() bool { return reason != ReasonMemory }

// Error is the error of reading an answer that met a bound.
type Error struct{ Reason Reason }

func (err Error) Error() string { return "the answer met the bound of " + string(err.Reason) }

// Events of an answer.
type (
	// Began says that the head of an answer of a server is read from now on.
	Began struct {
		Answer ID
		Server string
	}
	// Received says what arrived in one read: bytes and lines of the head, and bytes of the body with so many line ends.
	Received struct {
		Answer    ID
		HeadBytes int64
		HeadLines int64
		Bytes     int64
		Lines     int64
	}
	// Held says how many bytes of the body the process keeps from now on.
	Held struct {
		Answer ID
		Bytes  int64
	}
	// Exceeded says that the process found an answer to be over a bound.
	Exceeded struct {
		Answer ID
		Reason Reason
	}
	// Ended says that the answer is read no more.
	Ended struct{ Answer ID }
	// LateBytes says that a server sent bytes on a connection that waited for its next call.
	LateBytes struct{ Server string }
)

// Pause is the command to wait before the next read of an answer.
type Pause struct {
	Answer   ID
	Duration time.Duration
}

// End is the command to read an answer no more and to close its connection.
type End struct {
	Answer ID
	Reason Reason
}

// Budget is what a process may spend on answers of servers: bytes of memory, and shares of one processor.
type Budget struct {
	Memory int64
	// Processor is for all answers together beyond their allowances, Server for those of one server, Answer is the allowance of each.
	Processor, Server, Answer float64
}

const (
	// memoryShare is the share of a process's memory that answers may take. That of clients is admission's.
	memoryShare = 1.0 / 8
	// Shares of the processor that a process is granted.
	processorShare = 1.0 / 4
	serverShare    = 1.0 / 8
	answerShare    = 1.0 / 400
)

// NewBudget returns the budget of a process with so many bytes of memory and a share of one processor; 0 stands for all processors of the machine.
func NewBudget(memory int64, processor float64) Budget {
	if processor <= 0 {
		processor = float64(runtime.NumCPU())
	}
	return Budget{Memory: int64(float64(memory) * memoryShare), Processor: processor * processorShare, Server: processor * serverShare, Answer: processor * answerShare}
}
