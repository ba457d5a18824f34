package site

import "time"

// Speeds of the simulated servers, both in memory and as processes. They do not describe a real model. A server caches CachedPrefixes
// prompt prefixes; the prompt of a call with a cached prefix is read CachedPrefixSpeedup times as fast.
const (
	PrefillTimePerToken = 100 * time.Microsecond
	DecodeTimePerPiece  = 20 * time.Millisecond
	LookupDuration      = 2 * time.Millisecond
	CachedPrefixes      = 4
	CachedPrefixSpeedup = 8
)
