// Package starts has the tests in which fleets of real processes start under troubles of their machines that pass. They check that no process
// ends by itself and that the system takes its first configuration.
package starts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
	"github.com/cedarreel/cedarreel/rig"
	. "github.com/onsi/gomega"
)

// bin is the folder of the programs.
var bin string

func TestMain(m *testing.M) { os.Exit(rig.RunWithPrograms(m.Run, &bin)) }

const (
	machines       = 6
	callsPerSecond = 20
	// soakSpan is how long signals and changes go on in the soak.
	soakSpan = 15 * time.Second
	// readersSpan is long enough for each reader to have left and for a line of the log to follow.
	readersSpan = 6 * time.Second
)

// startFleet starts a fleet under troubles and plays it for a span. Without a span it ends when all machines are ready.
func startFleet(t *testing.T, seed uint64, troubles rig.StartTroubles, span time.Duration) {
	t.Helper()
	clean, err := rig.SoakGateways(rig.GatewayPlan{Bin: bin, Folder: t.TempDir(), Machines: machines, Span: span, CallsPerSecond: callsPerSecond, StayingCallers: machines,
		Stops: 2, Seed: seed, StartTroubles: &troubles, Log: func(line string) { t.Log(line) }})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(clean).To(BeTrue(), "the soak reports a breach, a process that ended by itself, or a fleet that is not ready")
}

func TestAnAddressInUseEndsNoProcess(t *testing.T) {
	startFleet(t, 1, rig.StartTroubles{AddressesInUse: 100}, 0)
}

func TestAReaderOfTheOutputThatLeavesEndsNoProcess(t *testing.T) {
	startFleet(t, 3, rig.StartTroubles{LeavingReaders: 100}, readersSpan)
}

func TestSettingsThatAreEmptyAtFirstAreAwaited(t *testing.T) {
	startFleet(t, 2, rig.StartTroubles{LateSettings: 100}, 0)
}

func TestAFounderKilledAtOnceDoesNotKeepTheSystemFromStarting(t *testing.T) {
	startFleet(t, 4, rig.StartTroubles{CoreKills: 1, KillWithin: time.Millisecond}, 0)
}

func TestAFounderKilledInSeriesDoesNotKeepTheSystemFromStarting(t *testing.T) {
	startFleet(t, 5, rig.StartTroubles{CoreKills: 3, KillWithin: time.Second}, 0)
}

func TestAFounderThatLosesItsDiskDoesNotKeepTheSystemFromStarting(t *testing.T) {
	startFleet(t, 6, rig.StartTroubles{CoreKills: 1, LoseDisk: true, KillWithin: time.Second}, 0)
}

func TestSoakOfStarts(t *testing.T) {
	startFleet(t, 7, rig.StartTroubles{AddressesInUse: 20, LateSettings: 10, LeavingReaders: 30, CoreKills: 2, LoseDisk: true, KillWithin: time.Second}, soakSpan)
}

// TestSignalsAreCaughtBeforeLargePackagesAreInitialised guards against programs that a SIGHUP ends in the first milliseconds of their start.
func TestSignalsAreCaughtBeforeLargePackagesAreInitialised(t *testing.T) {
	for _, program := range []string{rig.DataProgram, rig.ControlProgram} {
		command := exec.Command(filepath.Join(bin, program), "--version")
		command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
		output, err := command.CombinedOutput()
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		caught := strings.Index(string(output), "init github.com/cedarreel/cedarreel/signals @")
		NewWithT(t).Expect(caught).To(BeNumerically(">", 0), program+" does not import signals")
		for _, larger := range []string{"init net/http @", "init github.com/prometheus/client_golang/prometheus @"} {
			NewWithT(t).Expect(strings.Index(string(output), larger)).To(BeNumerically(">", caught), larger+" comes first in "+program)
		}
	}
}

const (
	siteFile     = "../deploy/emulated/seri.json"
	siteSpan     = 20 * time.Second
	siteMemoryMB = 284
	siteFiles    = 4100
)

// TestProcessesOfASiteOutliveItsTroubles guards against own ends and systems that do not come back when a site's troubles overlap.
func TestProcessesOfASiteOutliveItsTroubles(t *testing.T) {
	site, err := emulator.LoadSite(siteFile)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	clean, err := rig.SoakGateways(rig.GatewayPlan{Bin: bin, Folder: t.TempDir(), Span: siteSpan, CallsPerSecond: callsPerSecond, StayingCallers: machines, Seed: 2, Site: &site,
		Limits: rig.GatewayLimits{MemoryMB: siteMemoryMB, OpenFiles: siteFiles}, Log: func(line string) { t.Log(line) }})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(clean).To(BeTrue(), "the soak reports a breach, a process that ended by itself, or a fleet that has not recovered")
}

// TestALifeThatOverlapsTheFormerOneLosesNoAcknowledgedConfiguration guards against starts that read their folder while the former life still writes it.
func TestALifeThatOverlapsTheFormerOneLosesNoAcknowledgedConfiguration(t *testing.T) {
	machine, err := rig.StartSingleGateway(rig.GatewayPlan{Bin: bin, Folder: t.TempDir(), Seed: 1, Log: func(line string) { t.Log(line) }})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer machine.Close()
	NewWithT(t).Expect(machine.OverlapLives()).To(Succeed())
}
