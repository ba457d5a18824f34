package serve

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
)

// discardLog returns a logger for HTTP servers that drops their messages, since what they report is counted in metrics.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

func writeJSON(writer http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(content, '\n'))
}
