package main

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
)

// emulateSoaks emulates soaks of overlapping series of faults in parallel and prints each one that broke a rule with its replay line.
func emulateSoaks(args arguments) (bool, error) {
	debug.SetGCPercent(gcPercent)
	model, err := emulator.LoadSite(args.Site)
	if err != nil {
		return false, err
	}
	args.EmulatedDays, model.Tenants = args.SoakDays, args.Tenants
	figures, clean := runDays(args, model.Scaled(1, time.Duration(args.SpanSeconds)*time.Second), emulator.Soak, "")
	printSpreads(figures)
	fmt.Printf("soak: %d days of %d s on %s from seed %d, broken: %v\n", args.SoakDays, args.SpanSeconds, args.Site, args.Seed, !clean)
	return clean, nil
}
