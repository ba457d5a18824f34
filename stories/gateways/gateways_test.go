// Package gateways runs a short soak of real gateway processes under signals, restarts and changes; cedarrig --gateways runs longer ones.
package gateways

import (
	"os/exec"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/rig"
)

const (
	machines       = 9
	stayingCallers = 24
	callsPerSecond = 30
	stops          = 3
	span           = 40 * time.Second
	seed           = 1
)

// TestStoppingGatewaysLoseNoRequest guards against requests that a gateway takes on while it stops and cuts when it ends.
func TestStoppingGatewaysLoseNoRequest(t *testing.T) {
	bin := t.TempDir()
	if output, err := exec.Command("go", "build", "-o", bin, "../../cmd/...").CombinedOutput(); err != nil {
		t.Fatal(err, string(output))
	}
	clean, err := rig.SoakGateways(rig.GatewayPlan{Bin: bin, Folder: t.TempDir(), Machines: machines, Span: span, CallsPerSecond: callsPerSecond,
		StayingCallers: stayingCallers, Stops: stops, Seed: seed, Log: func(text string) { t.Log(text) }})
	if err != nil {
		t.Fatal(err)
	}
	if !clean {
		t.Errorf("seed %d broke rules", seed)
	}
}
