package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
	"github.com/cedarreel/cedarreel/rig"
)

const (
	// Settings of a gateway soak with the usual number of machines.
	usualGateways         = 12
	gatewayCallsPerSecond = 60
	stayingPerMachine     = 3
	// machinesPerStop is how many machines there are for each stop that overlaps others.
	machinesPerStop = 3
)

// soakGateways runs soaks of real processes that play the platform's gateway, one seed after the other, and prints the seeds that broke a rule.
func soakGateways(args arguments) (bool, error) {
	machines := args.Machines
	if machines == 0 {
		machines = usualGateways
	}
	if args.Bin == "" {
		executable, err := os.Executable()
		if err != nil {
			return false, err
		}
		args.Bin = filepath.Dir(executable)
	}
	plan, err := gatewayPlan(args, machines)
	if err != nil {
		return false, err
	}
	broken, seeds := []uint64{}, args.GatewaySoaks+args.StartSoaks+args.SiteSoaks
	for seed := args.Seed; seed < args.Seed+uint64(seeds); seed++ {
		folder, err := os.MkdirTemp(args.Folder, "cedarrig-gateways-")
		if err != nil {
			return false, err
		}
		fmt.Println("seed", seed, "folder", folder)
		plan.Folder, plan.Seed, plan.StartTroubles = folder, seed, startTroubles(args, seed)
		clean, err := rig.SoakGateways(plan)
		if err != nil {
			return false, fmt.Errorf("seed %d: %w", seed, err)
		}
		if clean {
			_ = os.RemoveAll(folder)
			continue
		}
		broken = append(broken, seed)
	}
	fmt.Printf("gateway soaks: %d seeds from %d, broken: %v\n", seeds, args.Seed, broken)
	return len(broken) == 0, nil
}

// Limits of a process in soaks of a site, as its platform grants them.
const (
	siteMemoryMB  = 284
	siteOpenFiles = 4100
	// siteProcessorQuota is that of a machine without a disk.
	siteProcessorQuota = 0.4
)

// gatewayPlan returns what the soaks of all seeds have in common.
func gatewayPlan(args arguments, machines int) (rig.GatewayPlan, error) {
	plan := rig.GatewayPlan{Bin: args.Bin, OtherBin: args.OtherBin, Floods: args.Floods, Machines: machines, Span: time.Duration(args.Seconds) * time.Second, CallsPerSecond: gatewayCallsPerSecond * args.Rate,
		StayingCallers: stayingPerMachine * machines, Stops: max(1, machines/machinesPerStop), Log: func(text string) { fmt.Println(text) }}
	if args.SiteSoaks == 0 {
		return plan, nil
	}
	site, err := emulator.LoadSite(args.Site)
	if err != nil {
		return plan, err
	}
	plan.Site, plan.Limits = &site, rig.GatewayLimits{MemoryMB: siteMemoryMB, OpenFiles: siteOpenFiles, ProcessorQuota: siteProcessorQuota, EndsOverMemory: true}
	played, left := rig.PlayedTroubles(site)
	fmt.Println("troubles that are played:", played, "left out:", left)
	return plan, nil
}

// startTroubles returns what disturbs the starts of a seed's soak: with --starts on each seed, with --processes on odd ones.
func startTroubles(args arguments, seed uint64) *rig.StartTroubles {
	if args.StartSoaks == 0 && (args.SiteSoaks == 0 || seed%2 == 0) {
		return nil
	}
	return rig.DrawStartTroubles(seed)
}
