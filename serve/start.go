package serve

import (
	"errors"
	"os"
	"time"

	"github.com/go-kit/log"
)

// errStopped is the error of a start that a signal ended before the process served.
var errStopped = errors.New("stopped by a signal before the start was complete")

// retryPause is the time between two tries of a step.
const retryPause = 50 * time.Millisecond

// retryStart carries out a step of the start, again and again while it fails with an error that retry accepts. It returns errStopped if a signal
// asks the process to stop meanwhile.
func retryStart[Result any](logger log.Logger, step string, retry func(error) bool, try func() (Result, error)) (Result, error) {
	defer starting.goesOn(logger)
	return retryUntil(stopSignals, retry, try, func(err error) { starting.waits(logger, step, err) })
}

// retryUntil tries again while it fails with an error that retry accepts, and tells each such error. It returns errStopped once stopped delivers.
func retryUntil[Result, Stop any](stopped <-chan Stop, retry func(error) bool, try func() (Result, error), tell func(error)) (Result, error) {
	for {
		result, err := try()
		if err == nil || !retry(err) {
			return result, err
		}
		tell(err)
		select {
		case <-stopped:
			return result, errStopped
		case <-time.After(retryPause):
		}
	}
}

// always accepts any error.
func always(error) bool { return true }

// newLogger returns the logger of a process, which writes to its standard error.
func newLogger(node string) log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "node", node, "time", log.DefaultTimestampUTC)
}
