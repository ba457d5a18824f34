package serve

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
)

// quietLog keeps the web server's own lines out of the logs: what they tell is counted.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }

func writeJSON(writer http.ResponseWriter, status int, body any) {
	content, failure := json.Marshal(body)
	if failure != nil {
		panic(failure)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(content, '\n'))
}
