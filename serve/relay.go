package serve

import (
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
	events, buffer := eventBuffer{}, make([]byte, 4096)
	first := true
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			watchdog.noteActivity()
			events.add(buffer[:count])
		}
		if errors.Is(err, io.EOF) {
			events.completeAll()
		}
		if len(events.complete()) > 0 || errors.Is(err, io.EOF) && !call.answerStarted {
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
			if last := lastID(events.complete()); last != "" {
				call.lastEventID = last
			}
			if _, writeErr := call.writer.Write(events.complete()); writeErr != nil {
				return errCallerLeft
			}
			if controller.Flush() != nil {
				return errCallerLeft
			}
			events.drop()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if events.size() > maxEventBytes {
			return errors.New("an event without an end")
		}
	}
}
