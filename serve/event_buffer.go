package serve

import (
	"bytes"
	"sync"
)

// readPartBytes is the size of the parts in which a stream is read.
const readPartBytes = 4 << 10

// eventBuffer collects the parts of a stream of events. Each byte is searched once for the end of an event.
type eventBuffer struct {
	part    [readPartBytes]byte
	content []byte
	// completeBytes is the length of the complete events at the start of content.
	completeBytes int
}

// eventBuffers are buffers of streams that have ended.
var eventBuffers = sync.Pool{New: func() any { return new(eventBuffer) }}

// newEventBuffer returns an empty buffer, which the caller releases.
func newEventBuffer() *eventBuffer { return eventBuffers.Get().(*eventBuffer) }

// release gives the buffer's memory back.
func (buffer *eventBuffer) release() {
	buffer.content, buffer.completeBytes = buffer.content[:0], 0
	eventBuffers.Put(buffer)
}

// add appends a part of the stream. An empty line ends an event; lines end with a newline or a return and a newline.
func (buffer *eventBuffer) add(part []byte) {
	at := len(buffer.content)
	buffer.content = append(buffer.content, part...)
	for {
		next := bytes.IndexByte(buffer.content[at:], newline)
		if next < 0 {
			return
		}
		at += next + 1
		if read := buffer.content[:at]; bytes.HasSuffix(read, emptyLine) || bytes.HasSuffix(read, emptyLineWithReturn) {
			buffer.completeBytes = at
		}
	}
}

// completeAll takes the rest for complete, at the end of the stream.
func (buffer *eventBuffer) completeAll() { buffer.completeBytes = len(buffer.content) }

// complete returns the complete events.
func (buffer *eventBuffer) complete() []byte { return buffer.content[:buffer.completeBytes] }

// drop removes the complete events.
func (buffer *eventBuffer) drop() {
	buffer.content = append(buffer.content[:0], buffer.content[buffer.completeBytes:]...)
	buffer.completeBytes = 0
}

// size returns the bytes that are collected, capacity those that the buffer takes.
func (buffer *eventBuffer) size() int     { return len(buffer.content) }
func (buffer *eventBuffer) capacity() int { return cap(buffer.content) }

const newline = '\n'

var (
	emptyLine           = []byte("\n\n")
	emptyLineWithReturn = []byte("\r\n\r\n")
	idField             = []byte("id:")
)

// lastID returns the ID of the last event that has one.
func lastID(content []byte) string {
	for len(content) > 0 {
		start := bytes.LastIndexByte(content[:len(content)-1], newline) + 1
		if value, found := bytes.CutPrefix(content[start:], idField); found {
			return string(bytes.TrimSpace(value))
		}
		content = content[:start]
	}
	return ""
}
