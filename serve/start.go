package serve

import (
	"errors"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/go-kit/log"
)

// errStopped is the error of a start that a signal ended before the process served.
var errStopped = errors.New("stopped by a signal before the start was complete")

// startRetryPause is the time between two tries of a step of the start.
const startRetryPause = 50 * time.Millisecond

// passingErrors are errors of the machine that pass without a change of the settings.
var passingErrors = []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EAGAIN, syscall.EINTR, syscall.EIO, syscall.ENOSPC, syscall.EDQUOT, syscall.EBUSY, syscall.ETIMEDOUT, syscall.ESTALE}

// isPassing reports whether an error of the machine may pass by itself.
func isPassing(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(passingErrors, errno)
}

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
