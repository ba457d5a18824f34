// Package compression compresses and decompresses gzip with pooled writers and readers.
package compression

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
)

// Encoding is the value of the HTTP header Content-Encoding.
const Encoding = "gzip"

// writers and readers are pooled because each of them allocates large buffers.
var writers = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err)
	}
	return writer
}}

var readers = sync.Pool{New: func() any { return new(gzip.Reader) }}

// Compress returns the compressed content, at the level that favours speed.
func Compress(content []byte) []byte {
	buffer := bytes.NewBuffer(make([]byte, 0, len(content)/4))
	writer := writers.Get().(*gzip.Writer)
	defer writers.Put(writer)
	writer.Reset(buffer)
	if _, err := writer.Write(content); err != nil {
		panic(err)
	}
	if err := writer.Close(); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// pooledReader returns its gzip reader to the pool when it is closed.
type pooledReader struct {
	io.Reader
	reader *gzip.Reader
}

func (pooledReader pooledReader) Close() error {
	readers.Put(pooledReader.reader)
	return nil
}

// Decompress returns a reader of the decompressed content, which ends after at most limit bytes. The caller must close it exactly once.
func Decompress(content io.Reader, limit int64) (io.ReadCloser, error) {
	reader := readers.Get().(*gzip.Reader)
	if err := reader.Reset(content); err != nil {
		readers.Put(reader)
		return nil, err
	}
	return pooledReader{io.LimitReader(reader, limit), reader}, nil
}
