package serve

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/admission"
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
		part, err := readBodyPart(request, conn, admission.NextBodyPart(request.ContentLength, body.size, limit), len(body.parts) == 0)
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

// readBodyPart reads the next bytes of a body up to a size. io.EOF says that the body is complete.
func readBodyPart(request *http.Request, conn *admittedConn, size int64, isFirst bool) ([]byte, error) {
	if end := conn.wants(admission.BodyPartMemory(size, isFirst)); end != nil {
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
