package link

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"sync"
)

// packFrom is the size in bytes from which a body is packed: configurations shrink to a tenth, the beats of a large fleet to a third,
// a question for a list to three quarters.
const packFrom = 1 << 8

const (
	packed = "gzip"
	// packedHeader is what a packed body costs beside itself.
	packedHeader = "Content-Encoding: " + packed + "\r\n"
)

var packers = sync.Pool{New: func() any {
	writer, failure := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if failure != nil {
		panic(failure)
	}
	return writer
}}

var readers = sync.Pool{New: func() any { return new(gzip.Reader) }}

// lent is a reader that goes back when its body has been read.
type lent struct {
	io.Reader
	reader *gzip.Reader
}

func (lent lent) Close() error {
	readers.Put(lent.reader)
	return nil
}

// pack gives a body as it travels and the name of its encoding, which is empty for a plain one.
func pack(content []byte) ([]byte, string) {
	if len(content) < packFrom {
		return content, ""
	}
	buffer := bytes.NewBuffer(make([]byte, 0, len(content)/4))
	writer := packers.Get().(*gzip.Writer)
	defer packers.Put(writer)
	writer.Reset(buffer)
	if _, failure := writer.Write(content); failure != nil {
		return content, ""
	}
	if failure := writer.Close(); failure != nil {
		return content, ""
	}
	if buffer.Len()+len(packedHeader) >= len(content) {
		return content, ""
	}
	return buffer.Bytes(), packed
}

// unpack reads a body that may be packed, bounded as it unfolds; whoever has read it closes it.
func unpack(request *http.Request) (io.ReadCloser, error) {
	if request.Header.Get("Content-Encoding") != packed {
		return io.NopCloser(io.LimitReader(request.Body, mostBody)), nil
	}
	reader := readers.Get().(*gzip.Reader)
	if failure := reader.Reset(io.LimitReader(request.Body, mostBody)); failure != nil {
		readers.Put(reader)
		return nil, failure
	}
	return lent{io.LimitReader(reader, mostBody), reader}, nil
}
