package hollow

import (
	"time"

	"golang.org/x/sys/unix"
)

// worked is the processor time that this thread has used.
func worked() time.Duration {
	var spec unix.Timespec
	if failure := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spec); failure != nil {
		panic(failure)
	}
	return time.Duration(spec.Nano())
}
