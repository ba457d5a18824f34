package env

import "time"

// Gateway is where opaque calls, readiness checks and look-ups of nodes come in, and the bounds of what all nodes do together.
type Gateway struct {
	Traffic string
	Ready   string
	Lookup  string
	// RepeatRatio of the calls of a RepeatWindow, and RepeatAllowance, may be further tries.
	RepeatRatio     float64
	RepeatWindow    time.Duration
	RepeatAllowance float64
	// WarmOverage times its rate, and WarmAllowance, is what a cold server bears in a second.
	WarmOverage   float64
	WarmAllowance float64
	// Contact is how long a node must be undisturbed before it counts as in touch; Grace is the time between an order to stop and the end.
	Contact time.Duration
	Grace   time.Duration
	// LookupLife is how long callers may keep what a look-up told them.
	LookupLife time.Duration
}
