package serve

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cedarreel/cedarreel/contract"
)

// operate takes one call of an operator in a face's manner.
func (shell *controlShell) operate(order Order) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		content, failure := io.ReadAll(http.MaxBytesReader(writer, request.Body, shell.Settings.Bounds.BodyBytes))
		if failure != nil {
			status := http.StatusBadRequest
			var large *http.MaxBytesError
			if errors.As(failure, &large) {
				status = http.StatusRequestEntityTooLarge
			}
			writeJSON(writer, status, contract.ErrorBody{Error: "the body could not be read"})
			return
		}
		ask, failure := order.Read(shell.Settings, request, content)
		if failure != nil {
			writeJSON(writer, http.StatusBadRequest, contract.ErrorBody{Error: failure.Error()})
			return
		}
		began := time.Now()
		code, after, body := shell.forward.Ask(request.Context(), ask)
		answered := time.Now()
		status, answer := order.Write(code, body)
		if shell.face != nil && after > 0 {
			shell.face.After(writer.Header(), after)
		}
		writeJSON(writer, status, answer)
		shell.noteSlow(ask, status, len(body), answered.Sub(began), time.Since(answered))
	}
}

// noteSlow says how long an operator's call took where that was longer than a round: waiting for the core's answer, and turning it into
// the face's manner and sending it.
func (shell *controlShell) noteSlow(ask contract.OperatorRequest, status, size int, waited, wrote time.Duration) {
	if waited+wrote <= shell.Settings.Bounds.Round() {
		return
	}
	shell.Loop.Count("orders_slow", 1)
	_ = shell.Logger.Log("what", "operator answered slowly", "verb", ask.Verb, "status", status, "bytes", size, "waitedMs", waited.Milliseconds(), "wroteMs", wrote.Milliseconds())
}
