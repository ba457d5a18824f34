package link

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"sync"
)

// packFrom is the size in bytes from which a body is packed: configurations shrink to a tenth, beats are not worth it.
const packFrom = 4 << 10

const packed = "gzip"

var packers = sync.Pool{New: func() any {
	writer, failure := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if failure != nil {
		panic(failure)
	}
	return writer
}}

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
	return buffer.Bytes(), packed
}

// unpack reads a body that may be packed, bounded as it unfolds.
func unpack(request *http.Request) (io.Reader, error) {
	if request.Header.Get("Content-Encoding") != packed {
		return io.LimitReader(request.Body, mostBody), nil
	}
	reader, failure := gzip.NewReader(io.LimitReader(request.Body, mostBody))
	if failure != nil {
		return nil, failure
	}
	return io.LimitReader(reader, mostBody), nil
}
