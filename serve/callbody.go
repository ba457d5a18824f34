package serve

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/answers"
)

// bodyParts is a body in parts, so that no copy is needed while it grows.
type bodyParts struct {
	parts [][]byte
	size  int64
}

// first returns the first part, rest the others.
func (body bodyParts) first() []byte {
	if len(body.parts) == 0 {
		return nil
	}
	return body.parts[0]
}

func (body bodyParts) rest() [][]byte {
	if len(body.parts) == 0 {
		return nil
	}
	return body.parts[1:]
}

// fullParts are parts of the largest size that are used again, since what is held counts when it is released and the garbage collector frees it later.
var fullParts = sync.Pool{New: func() any { return new([admission.MaxBodyPart]byte) }}

// newPart returns a part of a size.
func newPart(size int64) []byte {
	if size == admission.MaxBodyPart {
		return fullParts.Get().(*[admission.MaxBodyPart]byte)[:]
	}
	return make([]byte, size)
}

// release gives the memory of the parts back. The body must not be used any more.
func (body *bodyParts) release() {
	for _, part := range body.parts {
		if cap(part) == admission.MaxBodyPart {
			fullParts.Put((*[admission.MaxBodyPart]byte)(part[:admission.MaxBodyPart]))
		}
	}
	*body = bodyParts{}
}

// errBodyTooLarge is the error of a body that is larger than its limit.
var errBodyTooLarge = errors.New("the body is too large")

// readParts reads a body of at most limit bytes, whose announced length is less than 0 if it is unknown. grant is asked before the memory of each
// part is taken.
func readParts(source io.Reader, announced, limit int64, grant func(size int64, isFirst bool) error) (bodyParts, error) {
	body := bodyParts{}
	if announced > limit {
		return body, errBodyTooLarge
	}
	if announced == 0 {
		return body, nil
	}
	for {
		size := admission.NextBodyPart(announced, body.size, limit)
		if err := grant(size, len(body.parts) == 0); err != nil {
			return body, err
		}
		part, err := readPart(source, size)
		body.size += int64(len(part))
		if len(part) > 0 {
			body.parts = append(body.parts, part)
		}
		if body.size > limit {
			return body, errBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// readPart reads the next bytes of a body up to a size. io.EOF says that the body is complete.
func readPart(source io.Reader, size int64) ([]byte, error) {
	part, filled := newPart(size), 0
	for filled < len(part) {
		count, err := source.Read(part[filled:])
		filled += count
		if err != nil {
			return part[:filled], err
		}
	}
	return part, nil
}

// readCallBody reads a request body of at most limit bytes.
func readCallBody(request *http.Request, limit int64) (bodyParts, error) {
	conn := admittedConnOf(request)
	body, err := readParts(request.Body, request.ContentLength, limit, func(size int64, isFirst bool) error {
		if end := conn.wants(admission.BodyPartMemory(size, isFirst)); end != nil {
			return bodyRefused{end.Status}
		}
		return nil
	})
	if end := conn.endedBy(); end != nil {
		return body, bodyRefused{end.Status}
	}
	if errors.Is(err, errBodyTooLarge) {
		return body, bodyRefused{http.StatusRequestEntityTooLarge}
	}
	return body, err
}

// maxReplyBytes bounds replies that are not streamed.
const maxReplyBytes = 16 << 20

// readReply reads the body of a server's answer that is kept until it is complete, of at most limit bytes.
func readReply(response *http.Response, answer *serverAnswer, limit int64) (bodyParts, error) {
	held := int64(0)
	body, err := readParts(response.Body, response.ContentLength, limit, func(size int64, _ bool) error {
		held += size
		return answer.hold(held)
	})
	if err != nil {
		body.release()
	}
	if errors.Is(err, errBodyTooLarge) {
		return body, answer.exceeded(answers.ReasonReplySize)
	}
	return body, err
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
