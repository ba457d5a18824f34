package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

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
	broken := []uint64{}
	for seed := args.Seed; seed < args.Seed+uint64(args.GatewaySoaks+args.StartSoaks); seed++ {
		folder, err := os.MkdirTemp(args.Folder, "cedarrig-gateways-")
		if err != nil {
			return false, err
		}
		fmt.Println("seed", seed, "folder", folder)
		clean, err := rig.SoakGateways(rig.GatewayPlan{Bin: args.Bin, Folder: folder, Machines: machines, Span: time.Duration(args.Seconds) * time.Second, Seed: seed,
			CallsPerSecond: gatewayCallsPerSecond * args.Rate, StayingCallers: stayingPerMachine * machines, Stops: max(1, machines/machinesPerStop), StartTroubles: startTroubles(args, seed),
			Log: func(text string) { fmt.Println(text) }})
		if err != nil {
			return false, fmt.Errorf("seed %d: %w", seed, err)
		}
		if clean {
			_ = os.RemoveAll(folder)
			continue
		}
		broken = append(broken, seed)
	}
	fmt.Printf("gateway soaks: %d seeds from %d, broken: %v\n", args.GatewaySoaks+args.StartSoaks, args.Seed, broken)
	return len(broken) == 0, nil
}

// startTroubles returns what disturbs the starts of a seed's soak, nil without --starts.
func startTroubles(args arguments, seed uint64) *rig.StartTroubles {
	if args.StartSoaks == 0 {
		return nil
	}
	return rig.DrawStartTroubles(seed)
}
