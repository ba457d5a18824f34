//go:build !linux

package hollow

import "time"

var began = time.Now()

// worked is wall time where a thread's processor time cannot be had.
func worked() time.Duration { return time.Since(began) }
