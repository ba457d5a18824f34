package rig

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	wire "github.com/cedarreel/cedarreel/platform"
)

// AnswerFault is a way in which a simulated server sends bytes without end. The answer is its status line, the lines of an answer of this
// server and lines, and then unit again and again until the caller closes the connection.
type AnswerFault struct {
	Name   string
	Status int
	// lines are the rest of the head, up to where the repetition begins.
	lines string
	unit  string
	// statusOnly says that the repetition begins within the status line, or in its place if the status is 0.
	statusOnly bool
	// notRun says that the server claims that it did not run the call.
	notRun bool
	// malformed says that a reader can tell from the form of the answer that it is none, before it meets a bound.
	malformed bool
	// pause is how long the server waits before the repetition, which comes after a whole answer then.
	pause time.Duration
}

const (
	// endlessLimit bounds how long a server sends without end.
	endlessLimit = 20 * time.Second
	// endlessBlock is about how many bytes it writes at once.
	endlessBlock = 32 << 10
	// lateBytesPause is how long after a whole answer its server sends more.
	lateBytesPause = 50 * time.Millisecond
	chunkedHead    = "Transfer-Encoding: chunked\r\n\r\n"
	streamHead     = "Content-Type: text/event-stream\r\n"
)

// AnswerFaults returns all ways to send without end, those that an answer may have with any status once for each of 200 and 500.
func AnswerFaults() []AnswerFault {
	faults := []AnswerFault{
		{Name: "a status line", statusOnly: true, Status: http.StatusOK, unit: "x"},
		{Name: "answers 100", malformed: true, statusOnly: true, unit: "HTTP/1.1 100 Continue\r\n\r\n"},
		{Name: "bytes after a whole answer", Status: http.StatusOK, lines: "Content-Length: 5\r\n\r\nwhole", unit: "x", pause: lateBytesPause},
		{Name: "a header line behind a claim not to have run", Status: http.StatusServiceUnavailable, notRun: true, lines: "X-Long: ", unit: "x"},
		{Name: "a body behind a claim not to have run", malformed: true, Status: http.StatusServiceUnavailable, notRun: true, lines: chunkedHead, unit: chunkOf(strings.Repeat("x", 1<<10))},
	}
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		faults = append(faults,
			AnswerFault{Name: "a header line", Status: status, lines: "X-Long: ", unit: "x"},
			AnswerFault{Name: "header lines", Status: status, unit: "X-More: y\r\n"},
			AnswerFault{Name: "folded header lines", Status: status, lines: "X-Long: y\r\n", unit: " y\r\n"},
			AnswerFault{Name: "junk for the size of a chunk", Status: status, malformed: true, lines: streamHead + chunkedHead, unit: "z"},
			AnswerFault{Name: "a chunk", Status: status, lines: streamHead + chunkedHead + "FFFFFFFFFFFF\r\n", unit: "x"},
			AnswerFault{Name: "chunks of one byte", Status: status, lines: streamHead + chunkedHead, unit: chunkOf("x")},
			AnswerFault{Name: "chunks of a newline", Status: status, lines: streamHead + chunkedHead, unit: chunkOf("\n")},
			AnswerFault{Name: "a huge length", Status: status, lines: streamHead + "Content-Length: 1099511627776\r\n\r\n", unit: "x"},
			AnswerFault{Name: "a body without a length", Status: status, malformed: status == http.StatusOK, lines: "\r\n", unit: "x"},
			AnswerFault{Name: "pieces that complete no event", Status: status, lines: streamHead + chunkedHead, unit: chunkOf("data: piece\n")},
			AnswerFault{Name: "whole events", Status: status, lines: streamHead + chunkedHead, unit: chunkOf("data: piece\n\n")},
			AnswerFault{Name: "whole events behind a length", Status: status, lines: streamHead + "Content-Length: 1099511627776\r\n\r\n", unit: "data: piece\n\n"},
			AnswerFault{Name: "trailers", Status: status, malformed: true, lines: streamHead + chunkedHead + "0\r\n", unit: "X-More: y\r\n"})
	}
	return faults
}

// chunkOf returns a chunk of a body with its size.
func chunkOf(content string) string {
	return strconv.FormatInt(int64(len(content)), 16) + "\r\n" + content + "\r\n"
}

// String names the fault with its status.
func (fault AnswerFault) String() string { return strconv.Itoa(fault.Status) + ", " + fault.Name }

// MeetsABound reports whether the answer goes on in a well-formed way until it meets a bound of the reader.
func (fault AnswerFault) MeetsABound() bool { return !fault.malformed && !fault.beginsWhole() }

// beginsWhole reports whether the first bytes are a whole answer.
func (fault AnswerFault) beginsWhole() bool { return fault.pause > 0 }

// head returns what comes before the repetition.
func (fault AnswerFault) head(attemptID string) string {
	if fault.Status == 0 {
		return ""
	}
	line := "HTTP/1.1 " + strconv.Itoa(fault.Status) + " "
	if fault.statusOnly {
		return line
	}
	header := http.Header{}
	wire.SealAnswer(header, attemptID)
	if fault.notRun {
		wire.MarkNotExecuted(header)
	}
	text := &bytes.Buffer{}
	text.WriteString(line + http.StatusText(fault.Status) + "\r\n")
	_ = header.Write(text)
	return text.String() + fault.lines
}

// answer takes over the connection of a request and sends until the caller closes it. It tells onRequest of each later request on the connection.
func (fault AnswerFault) answer(writer http.ResponseWriter, attemptID string, onRequest func(attemptID string)) {
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	go readRequests(buffered.Reader, onRequest)
	_ = conn.SetDeadline(time.Now().Add(endlessLimit))
	if _, err = io.WriteString(conn, fault.head(attemptID)); err != nil {
		return
	}
	time.Sleep(fault.pause)
	fault.repeat(conn)
}

// readRequests reads the requests on a connection until it fails.
func readRequests(reader *bufio.Reader, onRequest func(attemptID string)) {
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		onRequest(wire.AttemptID(request.Header))
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// repeat writes the unit until the connection fails.
func (fault AnswerFault) repeat(conn net.Conn) {
	block := bytes.Repeat([]byte(fault.unit), 1+endlessBlock/len(fault.unit))
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}
