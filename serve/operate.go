package serve

import (
	"errors"
	"io"
	"net/http"

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
			writeJSON(writer, status, contract.Trouble{Error: "the body could not be read"})
			return
		}
		ask, failure := order.Read(shell.Settings, request, content)
		if failure != nil {
			writeJSON(writer, http.StatusBadRequest, contract.Trouble{Error: failure.Error()})
			return
		}
		code, after, body := shell.forward.Ask(request.Context(), ask)
		status, answer := order.Write(code, body)
		if shell.face != nil && after > 0 {
			shell.face.After(writer.Header(), after)
		}
		writeJSON(writer, status, answer)
	}
}
