package site

import "time"

// The speeds of the stand-in servers, the same in memory and as processes. They are ours and tell of no real model.
const (
	PrefillPerToken = 100 * time.Microsecond
	DecodePerPiece  = 20 * time.Millisecond
	LookupTime      = 2 * time.Millisecond
	HeldPrefixes    = 4
	PrefixGain      = 8
)
