package serve

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/link"
)

// statusLine returns a status and its text.
func statusLine(status int) string { return strconv.Itoa(status) + " " + http.StatusText(status) }

// beginRequest tells the admission of a request whose head was read, and returns the command that refuses it, or nil. bodyTime is how long its
// body may take; 0 stands for the class's limit.
func beginRequest(request *http.Request, bodyTime time.Duration) *admission.End {
	conn := admittedConnOf(request)
	if conn == nil {
		return nil
	}
	conn.setInRequest(true)
	lines := int64(1)
	for _, values := range request.Header {
		lines += int64(len(values))
	}
	conn.admitter.handle(admission.RequestBegan{Conn: conn.id, Bytes: headerSize(request), Lines: lines, BodyTime: bodyTime})
	if request.ContentLength == 0 {
		return conn.requestRead()
	}
	return conn.endedBy()
}

// bodyRefused is the error of a body that is not taken, with the status for the caller.
type bodyRefused struct{ status int }

func (refused bodyRefused) Error() string {
	return "the body is refused: " + statusLine(refused.status)
}

// requestRead tells the admission that a request was read completely, and returns the refusal of one that was ended before.
func requestRead(request *http.Request) error {
	if end := admittedConnOf(request).requestRead(); end != nil {
		return bodyRefused{end.Status}
	}
	return nil
}

// refusedRetryAfter is when a client that was refused for want of memory may come back.
const refusedRetryAfter = time.Second

// refuseClient answers a request that the admission refused, and closes its connection. The request has not run.
func refuseClient(writer http.ResponseWriter, status int) {
	writer.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		link.RetryAfter(writer, refusedRetryAfter)
	}
	writer.WriteHeader(status)
}
