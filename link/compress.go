package link

import (
	"context"
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

// bodyMeterKey is the context key of a request's body meter.
type bodyMeterKey struct{}

// WithBodyMeter makes the handler of compressed bodies call a meter with each expanded part; an error of the meter ends the reading.
func WithBodyMeter(ctx context.Context, meter func(expanded []byte) error) context.Context {
	return context.WithValue(ctx, bodyMeterKey{}, meter)
}

// meteredBody is an expanded body whose parts are shown to a meter.
type meteredBody struct {
	io.ReadCloser
	meter func(expanded []byte) error
}

// Read reads a part of the body, unless the meter refuses it.
func (body meteredBody) Read(content []byte) (int, error) {
	count, err := body.ReadCloser.Read(content)
	if meterErr := body.meter(content[:count]); meterErr != nil {
		return 0, meterErr
	}
	return count, err
}

// decompress returns a reader of a body that may be compressed. The expanded size is bounded; the caller closes the reader.
func decompress(request *http.Request) (io.ReadCloser, error) {
	body := io.LimitReader(request.Body, maxBodySize)
	if request.Header.Get("Content-Encoding") != compression.Encoding {
		return io.NopCloser(body), nil
	}
	expanded, err := compression.Decompress(body, maxBodySize)
	if meter, found := request.Context().Value(bodyMeterKey{}).(func([]byte) error); found && err == nil {
		return meteredBody{expanded, meter}, nil
	}
	return expanded, err
}
