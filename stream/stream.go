// Package stream checks a model server's streamed reply and numbers its pieces for the caller.
package stream

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

const longestLine = 1 << 18

// finishes are the reasons that mean a whole reply; an aborted run gives another.
var finishes = map[string]bool{"stop": true, "length": true, "tool_calls": true, "content_filter": true}

// Relay takes the server's bytes and gives whole pieces; it is finished only by the server's own finish and terminator.
type Relay struct {
	call     string
	rest     []byte
	data     []string
	size     int64
	most     int64
	pieces   int64
	stopped  bool
	finished bool
	err      error
}

func New(call string, most int64) *Relay { return &Relay{call: call, most: most} }

type chunk struct {
	ID      string `json:"id"`
	Number  *int64 `json:"number"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Feed gives the pieces that became whole with these bytes.
func (relay *Relay) Feed(content []byte) []string {
	pieces := []string{}
	relay.size += int64(len(content))
	if relay.size > relay.most {
		relay.fail("reply is larger than its bound")
	}
	relay.rest = append(relay.rest, content...)
	for relay.err == nil {
		end := bytes.IndexByte(relay.rest, '\n')
		if end < 0 {
			if len(relay.rest) > longestLine {
				relay.fail("a line is longer than its bound")
			}
			break
		}
		text := strings.TrimSuffix(string(relay.rest[:end]), "\r")
		relay.rest = relay.rest[end+1:]
		if text == "" {
			pieces = append(pieces, relay.event()...)
		} else if data, fine := strings.CutPrefix(text, "data:"); fine {
			relay.data = append(relay.data, strings.TrimPrefix(data, " "))
		} else if !strings.HasPrefix(text, ":") && !strings.HasPrefix(text, "event:") && !strings.HasPrefix(text, "id:") && !strings.HasPrefix(text, "retry:") {
			relay.fail("a line is not of an event stream")
		}
	}
	return pieces
}

func (relay *Relay) event() []string {
	data := strings.Join(relay.data, "\n")
	relay.data = nil
	if data == "" {
		return nil
	}
	if relay.finished {
		relay.fail("data after the end")
		return nil
	}
	if data == "[DONE]" {
		if !relay.stopped {
			relay.fail("the end came before the finish")
			return nil
		}
		relay.finished = true
		return nil
	}
	var read chunk
	if json.Unmarshal([]byte(data), &read) != nil || len(read.Choices) != 1 {
		relay.fail("a piece is not a completion chunk")
		return nil
	}
	if read.ID != relay.call {
		relay.fail("a piece is of another call")
		return nil
	}
	if read.Number != nil && *read.Number != relay.pieces {
		relay.fail("a piece is missing or repeated")
		return nil
	}
	if relay.stopped {
		relay.fail("a piece after the finish")
		return nil
	}
	if read.Choices[0].FinishReason != nil {
		if !finishes[*read.Choices[0].FinishReason] {
			relay.fail("not a whole finish: " + *read.Choices[0].FinishReason)
			return nil
		}
		relay.stopped = true
	}
	relay.pieces++
	if relay.stopped && read.Choices[0].Delta.Content == "" {
		return nil
	}
	return []string{read.Choices[0].Delta.Content}
}

func (relay *Relay) fail(text string) {
	if relay.err == nil {
		relay.err = eris.New(text)
	}
}

// Finished tells whether the server's whole reply came.
func (relay *Relay) Finished() bool { return relay.finished && relay.err == nil }

func (relay *Relay) Err() error { return relay.err }

// Whole gives the pieces of a unary reply if it is the whole answer to this call.
func CompleteReply(content []byte, call string) ([]string, error) {
	var read struct {
		ID      string `json:"id"`
		Choices []struct {
			Message struct {
				Content *string `json:"content"`
			} `json:"message"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(content, &read); err != nil {
		return nil, eris.Wrap(err, "reply is not JSON")
	}
	if read.ID != call {
		return nil, eris.New("reply is of another call")
	}
	if len(read.Choices) != 1 || read.Choices[0].Message.Content == nil || !finishes[read.Choices[0].FinishReason] {
		return nil, eris.New("reply has no finished choice")
	}
	return []string{*read.Choices[0].Message.Content}, nil
}
