package emulator

import (
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/contract"
)

const (
	// admissionTick is the time between two checks for clients whose time is over.
	admissionTick = 500 * time.Millisecond
	// headLines is the number of lines of a caller's head.
	headLines = 10
	// refusedRetryAfter is when a caller that was refused for want of memory may come back.
	refusedRetryAfter = time.Second
	// notAdmitted is the reason of a call that the admission refused.
	notAdmitted = "not admitted"
)

// admit passes an event of a client's connection to the admission, and ends what that ends.
func (data *dataProcess) admit(event contract.Event) {
	for _, command := range data.admission.Handle(data.now(), event) {
		switch command := command.(type) {
		case admission.End:
			if conn := data.admitted[command.Conn]; conn != nil {
				delete(data.admitted, command.Conn)
				data.endClient(conn)
			}
		case contract.AddCounter:
			data.day.counts[data.kind+" "+command.Name] += command.Delta
		case contract.Log:
			data.day.logEvent(data.machine.name+"-"+data.kind, command.Message, command.Attributes...)
		}
	}
}

// endClient closes a connection that the admission ended, unless a request on it is to be answered. Requests arrive whole, so that the only
// request that can be ended is the one that is arriving; it is refused by its own exchange.
func (data *dataProcess) endClient(conn *conn) {
	if clientLeft, found := data.clientConns[conn]; found && clientLeft == nil && !data.arriving[conn] {
		data.closeClient(conn)
	}
}

// tickAdmission checks times again and again.
func (data *dataProcess) tickAdmission() {
	data.after(admissionTick, func() {
		data.admit(contract.Tick{})
		data.tickAdmission()
	})
}

// admitConn reports whether a new connection is taken.
func (data *dataProcess) admitConn(conn *conn) bool {
	id := admission.ConnID(conn.number)
	data.admitted[id], data.arriving[conn] = conn, true
	defer delete(data.arriving, conn)
	data.admit(admission.Opened{Conn: id, Class: admission.Callers, Remote: conn.ends[dialer].name})
	if data.admitted[id] == nil {
		data.admit(admission.Closed{Conn: id})
		return false
	}
	return true
}

// admitRequest reports whether a request that has arrived whole is taken.
func (data *dataProcess) admitRequest(conn *conn, request *request) bool {
	id := admission.ConnID(conn.number)
	data.arriving[conn] = true
	defer delete(data.arriving, conn)
	data.admit(admission.Received{Conn: id, Bytes: headBytes, Lines: headLines})
	data.admit(admission.RequestBegan{Conn: id, Bytes: headBytes, Lines: headLines, BodyTime: request.timeout})
	data.admitBody(id, request.size)
	data.admit(admission.RequestRead{Conn: id})
	return data.admitted[id] != nil
}

// admitBody asks for the memory of a body part by part, as the product does.
func (data *dataProcess) admitBody(id admission.ConnID, size int64) {
	for read := int64(0); read < size; {
		part := admission.NextBodyPart(size, read, size)
		data.admit(admission.Wanted{Conn: id, Bytes: admission.BodyPartMemory(part, read == 0)})
		data.admit(admission.Received{Conn: id, Bytes: part})
		read += part
	}
}

// closeClient closes a client's connection, forgetClient forgets one that is closed.
func (data *dataProcess) closeClient(conn *conn) {
	data.forgetClient(conn)
	conn.close(acceptor)
}

func (data *dataProcess) forgetClient(conn *conn) {
	delete(data.clientConns, conn)
	delete(data.admitted, admission.ConnID(conn.number))
	data.admit(admission.Closed{Conn: admission.ConnID(conn.number)})
}
