package admission

import (
	"cmp"
	"time"

	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/manifest"
)

// Limits bound what a client of a class may send, and how long it may take. BodyTime is for bodies whose request names no time, AnswerTime
// for a client that takes nothing of its answer.
type Limits struct {
	HeadBytes  int64
	HeadTime   time.Duration
	IdleTime   time.Duration
	BodyTime   time.Duration
	AnswerTime time.Duration
}

// maxHeadBytes bounds heads where the configuration does not.
const maxHeadBytes = 64 << 10

// DefaultLimits returns the limits of clients that the configuration says nothing about.
func DefaultLimits(settings env.Env) Limits {
	return Limits{HeadBytes: maxHeadBytes, HeadTime: settings.Bounds.Return(), IdleTime: settings.Bounds.Deadline(), BodyTime: settings.Bounds.Return(),
		AnswerTime: settings.Bounds.Deadline()}
}

// CallerLimits returns the limits of callers: those of the configuration, and the defaults for what it does not say.
func CallerLimits(settings env.Env, configured manifest.Limits) Limits {
	limits := DefaultLimits(settings)
	limits.BodyTime = settings.Bounds.Deadline()
	limits.HeadBytes = cmp.Or(configured.HeaderBytes, limits.HeadBytes)
	limits.HeadTime = cmp.Or(configured.HeaderTimeout, limits.HeadTime)
	limits.IdleTime = cmp.Or(configured.IdleTimeout, limits.IdleTime)
	return limits
}
