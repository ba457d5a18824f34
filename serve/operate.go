package serve

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// operatorHandler serves one of the adapter's endpoints for operators.
func (process *controlProcess) operatorHandler(endpoint OperatorEndpoint) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		content, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, process.Settings.Bounds.BodyBytes))
		if err != nil {
			status := http.StatusBadRequest
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				status = http.StatusRequestEntityTooLarge
			}
			writeJSON(writer, status, contract.ErrorBody{Error: "the body could not be read"})
			return
		}
		operatorRequest, err := endpoint.ParseRequest(process.Settings, request, content)
		if err != nil {
			writeJSON(writer, http.StatusBadRequest, contract.ErrorBody{Error: err.Error()})
			return
		}
		began := time.Now()
		code, after, body := process.operators.Ask(request.Context(), operatorRequest)
		answered := time.Now()
		status, answer := endpoint.FormatAnswer(code, body)
		if process.adapter != nil && after > 0 {
			process.adapter.SetRetryAfter(writer.Header(), after)
		}
		writeJSON(writer, status, answer)
		process.logSlow(operatorRequest, status, len(body), answered.Sub(began), time.Since(answered))
	}
}

// logSlow counts and logs a request of an operator that took longer than a round trip: waited for the control plane's answer, wrote to
// format and send it.
func (process *controlProcess) logSlow(operatorRequest contract.OperatorRequest, status, size int, waited, wrote time.Duration) {
	if waited+wrote <= process.Settings.Bounds.Round() {
		return
	}
	process.Loop.Count("orders_slow", 1)
	_ = process.Logger.Log("what", "operator answered slowly", "verb", operatorRequest.Verb, "status", status, "bytes", size, "waitedMs", waited.Milliseconds(), "wroteMs", wrote.Milliseconds())
}
