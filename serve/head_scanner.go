package serve

import "bytes"

// headScanner finds the end of the head of an answer, an empty line, in parts as they arrive.
type headScanner struct {
	done bool
	// lineLength is the length of the line that has begun, lastByte its last byte.
	lineLength int
	lastByte   byte
}

// scan returns how many bytes and lines of a part belong to the head.
func (scanner *headScanner) scan(part []byte) (headBytes, headLines int64) {
	at := 0
	for !scanner.done {
		next := bytes.IndexByte(part[at:], newline)
		if next < 0 {
			scanner.extend(part[at:])
			return int64(len(part)), headLines
		}
		scanner.extend(part[at : at+next])
		scanner.done = scanner.lineLength == 0 || scanner.lineLength == 1 && scanner.lastByte == '\r'
		scanner.lineLength = 0
		at += next + 1
		headLines++
	}
	return int64(at), headLines
}

// extend adds bytes to the line that has begun.
func (scanner *headScanner) extend(line []byte) {
	if len(line) > 0 {
		scanner.lineLength += len(line)
		scanner.lastByte = line[len(line)-1]
	}
}
