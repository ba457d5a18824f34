// Package compression writes and reads gzip with writers and readers that are used again.
package compression

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
)

// Encoding is the name that HTTP has for it.
const Encoding = "gzip"

var writers = sync.Pool{New: func() any {
	writer, failure := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if failure != nil {
		panic(failure)
	}
	return writer
}}

var readers = sync.Pool{New: func() any { return new(gzip.Reader) }}

func Compress(content []byte) []byte {
	buffer := bytes.NewBuffer(make([]byte, 0, len(content)/4))
	writer := writers.Get().(*gzip.Writer)
	defer writers.Put(writer)
	writer.Reset(buffer)
	if _, failure := writer.Write(content); failure != nil {
		panic(failure)
	}
	if failure := writer.Close(); failure != nil {
		panic(failure)
	}
	return buffer.Bytes()
}

// lent is a reader that goes back when its content has been read.
type lent struct {
	io.Reader
	reader *gzip.Reader
}

func (lent lent) Close() error {
	readers.Put(lent.reader)
	return nil
}

// Decompress gives at most so many bytes of what the content unfolds to; whoever has read it closes it, once.
func Decompress(content io.Reader, most int64) (io.ReadCloser, error) {
	reader := readers.Get().(*gzip.Reader)
	if failure := reader.Reset(content); failure != nil {
		readers.Put(reader)
		return nil, failure
	}
	return lent{io.LimitReader(reader, most), reader}, nil
}
