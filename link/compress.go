package link

import (
	"io"
	"net/http"

	"github.com/cedarreel/cedarreel/compression"
)

const (
	// minCompressSize is the size in bytes from which a body is compressed: configurations shrink to a tenth, the heartbeats of a large
	// fleet to a third, a lease request and an already compressed version (base64 in JSON) to three quarters.
	minCompressSize = 1 << 8
	// encodingHeader is the extra header that a compressed body costs.
	encodingHeader = "Content-Encoding: " + compression.Encoding + "\r\n"
)

// compress returns a body as it is sent and the name of its encoding, empty for a plain one.
func compress(content []byte) ([]byte, string) {
	if len(content) < minCompressSize {
		return content, ""
	}
	if compressed := compression.Compress(content); len(compressed)+len(encodingHeader) < len(content) {
		return compressed, compression.Encoding
	}
	return content, ""
}

// decompress returns a reader of a body that may be compressed. The expanded size is bounded; the caller closes the reader.
func decompress(request *http.Request) (io.ReadCloser, error) {
	body := io.LimitReader(request.Body, maxBodySize)
	if request.Header.Get("Content-Encoding") != compression.Encoding {
		return io.NopCloser(body), nil
	}
	return compression.Decompress(body, maxBodySize)
}
