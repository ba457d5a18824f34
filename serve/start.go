package serve

import (
	"errors"
	"os"
	"time"

	"github.com/go-kit/log"
)

// errStopped is the error of a start that a signal ended before the process served.
var errStopped = errors.New("stopped by a signal before the start was complete")

// startRetryPause is the time between two tries of a step of the start.
const startRetryPause = 50 * time.Millisecond

// retryStart carries out a step of the start, again and again while it fails with an error that retry accepts. It returns errStopped if a signal
// asks the process to stop meanwhile.
func retryStart[Result any](logger log.Logger, step string, retry func(error) bool, try func() (Result, error)) (Result, error) {
	reason := ""
	for {
		result, err := try()
		if err == nil || !retry(err) {
			return result, err
		}
		if err.Error() != reason {
			reason = err.Error()
			_ = logger.Log("what", "start waits", "for", step, "why", reason)
		}
		select {
		case <-stopSignals:
			return result, errStopped
		case <-time.After(startRetryPause):
		}
	}
}

// newLogger returns the logger of a process, which writes to its standard error.
func newLogger(node string) log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "node", node, "time", log.DefaultTimestampUTC)
}
