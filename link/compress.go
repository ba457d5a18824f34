package link

import (
	"io"
	"net/http"

	"github.com/cedarreel/cedarreel/compression"
)

const (
	// compressFrom is the size in bytes from which a body is compressed: configurations shrink to a tenth, the beats of a large fleet to
	// a third, a question for a list and a version that its keeper compressed (base64 in JSON) to three quarters.
	compressFrom = 1 << 8
	// encodingHeader is what a compressed body costs beside itself.
	encodingHeader = "Content-Encoding: " + compression.Encoding + "\r\n"
)

// compress gives a body as it travels and the name of its encoding, which is empty for a plain one.
func compress(content []byte) ([]byte, string) {
	if len(content) < compressFrom {
		return content, ""
	}
	if compressed := compression.Compress(content); len(compressed)+len(encodingHeader) < len(content) {
		return compressed, compression.Encoding
	}
	return content, ""
}

// decompress reads a body that may be compressed, bounded as it unfolds; whoever has read it closes it.
func decompress(request *http.Request) (io.ReadCloser, error) {
	body := io.LimitReader(request.Body, mostBody)
	if request.Header.Get("Content-Encoding") != compression.Encoding {
		return io.NopCloser(body), nil
	}
	return compression.Decompress(body, mostBody)
}
