package serve

import (
	"errors"
	"io"
	"net/http"

	"github.com/cedarreel/cedarreel/answers"
	"github.com/cedarreel/cedarreel/gateway"
)

var errCallerLeft = errors.New("the caller went away")

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// relayEvents relays a stream in complete events, so that what the caller got always ends where another server can resume.
func (call *proxyCall) relayEvents(response *http.Response, answer *serverAnswer, dispatch gateway.Dispatch, watchdog *watchdog) error {
	controller := http.NewResponseController(call.writer)
	events := newEventBuffer()
	defer events.release()
	first := true
	for {
		count, err := response.Body.Read(events.part[:])
		if count > 0 {
			watchdog.noteActivity()
			events.add(events.part[:count])
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
			return answer.exceeded(answers.ReasonEventSize)
		}
		if err = answer.hold(int64(events.capacity())); err != nil {
			return err
		}
	}
}
