// Package stream parses and checks the replies of model servers: streams of completion chunks as server-sent events, and unary replies.
package stream

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds one line of the event stream.
const maxLineBytes = 1 << 18

// completeFinishReasons are the finish reasons of a complete reply; an aborted generation has another one.
var completeFinishReasons = map[string]bool{"stop": true, "length": true, "tool_calls": true, "content_filter": true}

// Parser turns the bytes of one streamed reply into the contents of its chunks. The reply is complete only after a chunk with a finish
// reason and the final [DONE] event. The first violation of the format ends parsing with an error.
type Parser struct {
	callID string
	// unread are bytes without a whole line, of which searched ones hold no line end.
	unread   []byte
	searched int
	// data are the data lines of the event that has begun, with dataBytes in all.
	data             []string
	dataBytes        int
	received         int64
	limit            int64
	chunks           int64
	finishReasonSeen bool
	finished         bool
	err              error
}

// NewParser returns a parser for the reply to the call with this ID at the server. limit bounds the reply in bytes.
func NewParser(callID string, limit int64) *Parser { return &Parser{callID: callID, limit: limit} }

// chunk is one completion chunk. Number, which servers may leave out, counts the chunks of a reply from 0.
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

// Feed parses further bytes of the reply and returns the contents of the chunks that they complete. Bytes may be split anywhere.
func (parser *Parser) Feed(content []byte) []string {
	chunks := []string{}
	parser.received += int64(len(content))
	if parser.received > parser.limit {
		parser.fail("reply is larger than its bound")
	}
	parser.unread = append(parser.unread, content...)
	for parser.err == nil {
		lineEnd := bytes.IndexByte(parser.unread[parser.searched:], '\n')
		if lineEnd < 0 {
			parser.searched = len(parser.unread)
			if len(parser.unread) > maxLineBytes {
				parser.fail("a line is longer than its bound")
			}
			break
		}
		lineEnd += parser.searched
		parser.searched = 0
		line := strings.TrimSuffix(string(parser.unread[:lineEnd]), "\r")
		parser.unread = parser.unread[lineEnd+1:]
		if line == "" {
			chunks = append(chunks, parser.event()...)
		} else if data, ok := strings.CutPrefix(line, "data:"); ok {
			data = strings.TrimPrefix(data, " ")
			parser.data = append(parser.data, data)
			parser.dataBytes += len(data)
		} else if !strings.HasPrefix(line, ":") && !strings.HasPrefix(line, "event:") && !strings.HasPrefix(line, "id:") && !strings.HasPrefix(line, "retry:") {
			parser.fail("a line is not of an event stream")
		}
	}
	return chunks
}

// Unread returns how many bytes of lines and events that are not complete the parser holds.
func (parser *Parser) Unread() int { return len(parser.unread) + parser.dataBytes }

// event handles the event whose data lines have been read, and returns the content of its chunk, if any.
func (parser *Parser) event() []string {
	data := strings.Join(parser.data, "\n")
	parser.data, parser.dataBytes = nil, 0
	if data == "" {
		return nil
	}
	if parser.finished {
		parser.fail("data after the end")
		return nil
	}
	if data == "[DONE]" {
		if !parser.finishReasonSeen {
			parser.fail("the end came before the finish")
			return nil
		}
		parser.finished = true
		return nil
	}
	var received chunk
	if json.Unmarshal([]byte(data), &received) != nil || len(received.Choices) != 1 {
		parser.fail("a piece is not a completion chunk")
		return nil
	}
	if received.ID != parser.callID {
		parser.fail("a piece is of another call")
		return nil
	}
	if received.Number != nil && *received.Number != parser.chunks {
		parser.fail("a piece is missing or repeated")
		return nil
	}
	if parser.finishReasonSeen {
		parser.fail("a piece after the finish")
		return nil
	}
	if received.Choices[0].FinishReason != nil {
		if !completeFinishReasons[*received.Choices[0].FinishReason] {
			parser.fail("not a whole finish: " + *received.Choices[0].FinishReason)
			return nil
		}
		parser.finishReasonSeen = true
	}
	parser.chunks++
	if parser.finishReasonSeen && received.Choices[0].Delta.Content == "" {
		return nil
	}
	return []string{received.Choices[0].Delta.Content}
}

// fail records the first error.
func (parser *Parser) fail(message string) {
	if parser.err == nil {
		parser.err = eris.New(message)
	}
}

// Finished reports whether the server's complete reply was parsed without an error.
func (parser *Parser) Finished() bool { return parser.finished && parser.err == nil }

// Err returns the error that ended parsing, or nil. A stream that merely ended early has none.
func (parser *Parser) Err() error { return parser.err }

// CompleteReply returns the content of a unary reply, as a single chunk, if it is the complete reply to the call with this ID.
func CompleteReply(content []byte, callID string) ([]string, error) {
	var received struct {
		ID      string `json:"id"`
		Choices []struct {
			Message struct {
				Content *string `json:"content"`
			} `json:"message"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(content, &received); err != nil {
		return nil, eris.Wrap(err, "reply is not JSON")
	}
	if received.ID != callID {
		return nil, eris.New("reply is of another call")
	}
	if len(received.Choices) != 1 || received.Choices[0].Message.Content == nil || !completeFinishReasons[received.Choices[0].FinishReason] {
		return nil, eris.New("reply has no finished choice")
	}
	return []string{*received.Choices[0].Message.Content}, nil
}
