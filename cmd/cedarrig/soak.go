package main

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
)

// soakDays emulates long days of overlapping series of troubles, side by side, and prints each one with a broken rule and its replay line.
func soakDays(given arguments) (bool, error) {
	debug.SetGCPercent(sweepGarbage)
	described, failure := emulator.LoadSite(given.Site)
	if failure != nil {
		return false, failure
	}
	given.Play, described.Tenants = given.Soak, given.Tenants
	figures, clean := days(given, described.Scaled(1, time.Duration(given.Span)*time.Second), emulator.Soak, "")
	sumDays(figures)
	fmt.Printf("soak: %d days of %d s on %s from seed %d, broken: %v\n", given.Soak, given.Span, given.Site, given.Seed, !clean)
	return clean, nil
}
