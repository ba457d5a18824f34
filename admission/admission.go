// Package admission decides which connections and requests of clients a process takes on, so that clients which misbehave can't exhaust its
// memory or its descriptors. It is a state machine without I/O: a process tells it what arrives, and closes what it ends.
package admission

import "time"

// Class is a kind of listening port. Each class has its own share of the memory and the descriptors, so that a crowd at one port takes
// nothing from the others.
type Class int

// Classes of ports. Peers are other nodes and operators.
const (
	Callers Class = iota
	Directory
	Readiness
	Peers
	classCount
)

// String returns the name of a class for logs.
func (class Class) String() string {
	return [classCount]string{"callers", "directory", "readiness", "peers"}[class]
}

// Reason says why a connection or request was ended. It is part of a metric's name.
type Reason string

// Reasons to end a connection or a request.
const (
	ReasonConnections Reason = "connections"
	ReasonMemory      Reason = "memory"
	ReasonTooLarge    Reason = "too_large"
	ReasonHeadSize    Reason = "head_size"
	ReasonHeadTime    Reason = "head_time"
	ReasonBodyTime    Reason = "body_time"
	ReasonAnswerTime  Reason = "answer_time"
	ReasonIdle        Reason = "idle"
)

// ConnID identifies a connection within a process.
type ConnID int64

// Events of a connection.
type (
	// Opened says that a client opened a connection from the address Remote.
	Opened struct {
		Conn   ConnID
		Class  Class
		Remote string
	}
	// Received says that bytes with so many line ends arrived.
	Received struct {
		Conn  ConnID
		Bytes int64
		Lines int64
	}
	// RequestBegan says that a head with so many bytes and lines was read, and that its body may take BodyTime; 0 stands for the limit.
	RequestBegan struct {
		Conn     ConnID
		Bytes    int64
		Lines    int64
		BodyTime time.Duration
	}
	// Wanted asks for memory for the request.
	Wanted struct {
		Conn  ConnID
		Bytes int64
	}
	// RequestRead says that the body was read completely, so that the request runs from now on.
	RequestRead struct{ Conn ConnID }
	// AnswerStalled says that the client does not take the answer, AnswerTaken that it goes on.
	AnswerStalled struct{ Conn ConnID }
	AnswerTaken   struct{ Conn ConnID }
	// RequestEnded says that the answer was written. The connection waits for the next request.
	RequestEnded struct{ Conn ConnID }
	// Closed says that the connection was closed.
	Closed struct{ Conn ConnID }
	// LimitsChanged changes the limits of a class.
	LimitsChanged struct {
		Class  Class
		Limits Limits
	}
)

// End is the command to end a connection. Status is what a request that has begun is answered with; 0 closes the connection without an
// answer. An event whose commands lack an End of its own connection is admitted. A request that runs is ended only if
// its client does not take the answer, or if it sends on meanwhile and there is no memory for that.
type End struct {
	Conn   ConnID
	Class  Class
	Status int
	Reason Reason
}
