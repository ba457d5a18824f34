package serve

import "bytes"

// eventBuffer collects the parts of a stream of events. Each byte is searched once for the end of an event.
type eventBuffer struct {
	content []byte
	// completeBytes is the length of the complete events at the start of content.
	completeBytes int
}

// Separators of events: an empty line ends an event.
var eventSeparators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// separatorOverlap is how many bytes of a separator may have arrived before its last one.
const separatorOverlap = 3

// add appends a part of the stream.
func (buffer *eventBuffer) add(part []byte) {
	from := max(0, len(buffer.content)-separatorOverlap)
	buffer.content = append(buffer.content, part...)
	for _, separator := range eventSeparators {
		if index := bytes.LastIndex(buffer.content[from:], separator); index >= 0 {
			buffer.completeBytes = max(buffer.completeBytes, from+index+len(separator))
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

var (
	idField = []byte("id:")
	newline = []byte("\n")
)

// lastID returns the ID of the last event that has one.
func lastID(content []byte) string {
	for len(content) > 0 {
		start := bytes.LastIndex(content[:len(content)-1], newline) + 1
		if value, found := bytes.CutPrefix(content[start:], idField); found {
			return string(bytes.TrimSpace(value))
		}
		content = content[:start]
	}
	return ""
}
