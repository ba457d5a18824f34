package serve

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/cedarreel/cedarreel/gateway"
)

var errCaller = errors.New("the caller went away")

const mostEvent = 1 << 20

// relay passes a stream on event by event, so that what was passed always ends where another server can go on.
func (one *exchange) relay(response *http.Response, dispatch gateway.Dispatch, watch *watch) error {
	control := http.NewResponseController(one.writer)
	waiting, chunk := []byte{}, make([]byte, 4096)
	first := true
	for {
		count, failure := response.Body.Read(chunk)
		if count > 0 {
			watch.touch()
			waiting = append(waiting, chunk[:count]...)
		}
		whole := eventsEnd(waiting)
		if errors.Is(failure, io.EOF) {
			whole = len(waiting)
		}
		if whole > 0 || errors.Is(failure, io.EOF) && !one.begun {
			if !one.begun {
				one.begun = true
				one.answerHeader(response.Header, -1)
				one.writer.WriteHeader(response.StatusCode)
			}
			if first {
				first = false
				one.shell.handle(gateway.StreamStarted{Token: dispatch.Token, Attempt: dispatch.Attempt})
			}
			if last := lastID(waiting[:whole]); last != "" {
				one.after = last
			}
			if _, trouble := one.writer.Write(waiting[:whole]); trouble != nil {
				return errCaller
			}
			if control.Flush() != nil {
				return errCaller
			}
			waiting = append(waiting[:0], waiting[whole:]...)
		}
		if errors.Is(failure, io.EOF) {
			return nil
		}
		if failure != nil {
			return failure
		}
		if len(waiting) > mostEvent {
			return errors.New("an event without an end")
		}
	}
}

// eventsEnd gives where the last whole event ends: an empty line ends one.
func eventsEnd(content []byte) int {
	end := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if place := bytes.LastIndex(content, mark); place >= 0 {
			end = max(end, place+len(mark))
		}
	}
	return end
}

// lastID gives the identity of the last event that has one.
func lastID(content []byte) string {
	last := ""
	for _, row := range bytes.Split(content, []byte("\n")) {
		if value, found := bytes.CutPrefix(row, []byte("id:")); found {
			last = string(bytes.TrimSpace(value))
		}
	}
	return last
}
