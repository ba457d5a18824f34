package serve

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// maxBodyPart bounds one part of a body in bytes. A body up to this size is one part, and goes to a server in one write with its head.
	maxBodyPart = 64 << 10
	// firstBodyPart is the size of the first part of a body of unknown length.
	firstBodyPart = 4 << 10
)

// callBody is the body of a call in parts, so that no copy is needed while it grows.
type callBody struct {
	parts [][]byte
	size  int64
}

// first returns the first part, rest the others.
func (body callBody) first() []byte {
	if len(body.parts) == 0 {
		return nil
	}
	return body.parts[0]
}

func (body callBody) rest() [][]byte {
	if len(body.parts) == 0 {
		return nil
	}
	return body.parts[1:]
}

// discardTimeout is how long the rest of a refused body is read.
const discardTimeout = time.Second

// discardBody reads a part of a refused body, so that the client gets the answer and not a reset of its connection.
func discardBody(writer http.ResponseWriter, request *http.Request, limit int64) {
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, request.Body, limit)
}

// readCallBody reads a request body of at most limit bytes. The memory of each part is asked for before the part is read.
func readCallBody(request *http.Request, limit int64) (callBody, error) {
	conn, body := admittedConnOf(request), callBody{}
	if request.ContentLength > limit {
		return body, bodyRefused{http.StatusRequestEntityTooLarge}
	}
	if request.ContentLength == 0 {
		return body, nil
	}
	for {
		part, err := readBodyPart(request, conn, nextPartSize(request, body, limit), len(body.parts) == 0)
		body.size += int64(len(part))
		if body.size > limit {
			return body, bodyRefused{http.StatusRequestEntityTooLarge}
		}
		if len(part) > 0 {
			body.parts = append(body.parts, part)
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// nextPartSize returns the size of the next part. A body of unknown length may turn out to be one byte over the limit.
func nextPartSize(request *http.Request, body callBody, limit int64) int64 {
	if request.ContentLength > 0 {
		return max(1, min(request.ContentLength-body.size, maxBodyPart))
	}
	return min(max(firstBodyPart, body.size), maxBodyPart, limit-body.size+1)
}

// readBodyPart reads the next bytes of a body up to a size. io.EOF says that the body is complete.
func readBodyPart(request *http.Request, conn *admittedConn, size int64, isFirst bool) ([]byte, error) {
	memory := size
	if isFirst {
		// The first part is copied behind the head when the call is sent.
		memory *= 2
	}
	if end := conn.wants(memory); end != nil {
		return nil, bodyRefused{end.Status}
	}
	part, filled := make([]byte, size), 0
	for filled < len(part) {
		count, err := request.Body.Read(part[filled:])
		filled += count
		if end := conn.endedBy(); end != nil {
			return nil, bodyRefused{end.Status}
		}
		if err != nil {
			return part[:filled], err
		}
	}
	return part, nil
}
