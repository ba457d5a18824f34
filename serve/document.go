package serve

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/cedarreel/cedarreel/link"
)

const (
	// documentByteCost is the memory that a byte of a document takes while it is read and parsed, documentTokenCost that of each of its values.
	documentByteCost  = 3
	documentTokenCost = 64
)

// tokenStarts are the characters of a JSON document before a value.
var tokenStarts = [][]byte{{','}, {':'}, {'['}, {'{'}}

// documentCost returns the memory that a part of a JSON document takes while it is read and parsed.
func documentCost(content []byte) int64 {
	cost := int64(len(content)) * documentByteCost
	for _, start := range tokenStarts {
		cost += int64(bytes.Count(content, start)) * documentTokenCost
	}
	return cost
}

// admitDocuments admits the requests of a handler that reads JSON documents. A request that is refused while its body is read gets the
// status of the refusal, whatever the handler answers.
func admitDocuments(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn := admittedConnOf(request)
		if conn == nil {
			next.ServeHTTP(writer, request)
			return
		}
		if end := beginRequest(request, 0); end != nil {
			refuseClient(writer, end.Status)
			return
		}
		request.Body = &documentBody{ReadCloser: request.Body, conn: conn}
		meter := func(expanded []byte) error { return conn.admitDocument(expanded) }
		next.ServeHTTP(&refusalWriter{ResponseWriter: writer, conn: conn}, request.WithContext(link.WithBodyMeter(request.Context(), meter)))
	})
}

// admitDocument asks for the memory of a part of a document.
func (conn *admittedConn) admitDocument(content []byte) error {
	if conn.wants(documentCost(content)) != nil {
		return errEnded
	}
	return nil
}

// documentBody asks for the memory of a JSON document as its bytes arrive.
type documentBody struct {
	io.ReadCloser
	conn *admittedConn
}

// Read reads a part of the document.
func (body *documentBody) Read(content []byte) (int, error) {
	count, err := body.ReadCloser.Read(content)
	if admitErr := body.conn.admitDocument(content[:count]); admitErr != nil {
		return 0, admitErr
	}
	if errors.Is(err, io.EOF) && body.conn.requestRead() != nil {
		return 0, errEnded
	}
	return count, err
}

// refusalWriter answers with the refusal of the admission in place of the handler's answer, if there is one.
type refusalWriter struct {
	http.ResponseWriter
	conn    *admittedConn
	written bool
	refused bool
}

// Unwrap gives http.ResponseController access to the writer.
func (writer *refusalWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// WriteHeader writes the status, or that of the refusal.
func (writer *refusalWriter) WriteHeader(status int) {
	end := writer.conn.endedBy()
	if writer.written || end == nil {
		writer.written = true
		writer.ResponseWriter.WriteHeader(status)
		return
	}
	writer.written, writer.refused = true, true
	writer.Header().Del("Content-Type")
	writer.Header().Del("Content-Length")
	refuseClient(writer.ResponseWriter, end.Status)
}

// Write writes a part of the answer; that of a refused request has no body.
func (writer *refusalWriter) Write(content []byte) (int, error) {
	if !writer.written {
		writer.WriteHeader(http.StatusOK)
	}
	if writer.refused {
		return len(content), nil
	}
	return writer.ResponseWriter.Write(content)
}
