package env

import "time"

// Gateway holds the settings of the transparent proxy: its addresses and the limits that all nodes keep together.
type Gateway struct {
	// Traffic, Ready and Lookup are the addresses that serve callers, readiness checks, and lookups of nodes by callers.
	Traffic string
	Ready   string
	Lookup  string
	// Within a RepeatWindow, RepeatRatio times the number of calls plus RepeatAllowance may be retries.
	RepeatRatio     float64
	RepeatWindow    time.Duration
	RepeatAllowance float64
	// A server that warms up takes at most WarmOverage times its warmup rate plus WarmAllowance calls in a second.
	WarmOverage   float64
	WarmAllowance float64
	// Contact is how long a node must have been free of faults before it counts as in contact with the fleet. Grace is how long a process
	// has to stop after it was told to.
	Contact time.Duration
	Grace   time.Duration
	// LookupLife is how long callers may cache the answer to a lookup.
	LookupLife time.Duration
}
