package serve

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/cedarreel/cedarreel/gateway"
)

var errCallerLeft = errors.New("the caller went away")

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// relayEvents relays a stream in complete events, so that what the caller got always ends where another server can resume.
func (call *proxyCall) relayEvents(response *http.Response, dispatch gateway.Dispatch, watchdog *watchdog) error {
	controller := http.NewResponseController(call.writer)
	buffered, buffer := []byte{}, make([]byte, 4096)
	first := true
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			watchdog.noteActivity()
			buffered = append(buffered, buffer[:count]...)
		}
		completeBytes := eventsEnd(buffered)
		if errors.Is(err, io.EOF) {
			completeBytes = len(buffered)
		}
		if completeBytes > 0 || errors.Is(err, io.EOF) && !call.answerStarted {
			if !call.answerStarted {
				call.answerStarted = true
				call.process.running.update(func() { call.description.answerStarted = true })
				call.setReplyHeader(response.Header, -1)
				call.writer.WriteHeader(response.StatusCode)
			}
			if first {
				first = false
				call.process.handle(gateway.StreamStarted{Token: dispatch.Token, Attempt: dispatch.Attempt})
			}
			if last := lastID(buffered[:completeBytes]); last != "" {
				call.lastEventID = last
			}
			if _, writeErr := call.writer.Write(buffered[:completeBytes]); writeErr != nil {
				return errCallerLeft
			}
			if controller.Flush() != nil {
				return errCallerLeft
			}
			buffered = append(buffered[:0], buffered[completeBytes:]...)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if len(buffered) > maxEventBytes {
			return errors.New("an event without an end")
		}
	}
}

// eventsEnd returns the length of the complete events at the start of the content. An empty line ends an event.
func eventsEnd(content []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if index := bytes.LastIndex(content, separator); index >= 0 {
			end = max(end, index+len(separator))
		}
	}
	return end
}

// lastID returns the ID of the last event that has one.
func lastID(content []byte) string {
	last := ""
	for _, line := range bytes.Split(content, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			last = string(bytes.TrimSpace(value))
		}
	}
	return last
}
