// Package flood has the tests in which servers answer the real processes of one machine with bytes without end. They check that no process ends,
// that each stays within the memory and the processor time of its settings, and that the calls to other servers are answered whole.
package flood

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/emulator"
	"github.com/cedarreel/cedarreel/rig"
	. "github.com/onsi/gomega"
)

// Limits of the machine's processes, as a site's platform grants them.
const (
	memoryMB       = 284
	openFiles      = 4100
	processorQuota = 0.4
)

// limits are those of each process. One that asks for more memory ends.
var limits = rig.GatewayLimits{MemoryMB: memoryMB, OpenFiles: openFiles, ProcessorQuota: processorQuota, EndsOverMemory: true}

const (
	// floodSpan is how long callers go on while servers are faulty.
	floodSpan = 2 * time.Second
	callers   = 40
	// answerLimit is how long an ordinary call is tried again after a flood, until it is answered.
	answerLimit = 12 * time.Second
	answerPause = 200 * time.Millisecond
	allServers  = 1 << 10
)

// bin is the folder of the programs.
var bin string

func TestMain(m *testing.M) { os.Exit(rig.RunWithPrograms(m.Run, &bin)) }

func startMachine(t *testing.T) *rig.SingleGateway {
	t.Helper()
	machine, err := rig.StartSingleGateway(rig.GatewayPlan{Bin: bin, Folder: t.TempDir(), Seed: 1, Log: func(line string) { t.Log(line) }, Limits: limits})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(machine.Close)
	return machine
}

// programs are those of a machine.
var programs = []string{rig.DataProgram, rig.ControlProgram}

// press lets callers call while servers are faulty, and checks what has to hold. Calls to sound servers must all be answered whole unless all
// servers of a service are faulty.
func press(t *testing.T, machine *rig.SingleGateway, startFault func() (end func()), allFaulty bool) {
	t.Helper()
	expect, usedBefore := NewWithT(t), map[string]time.Duration{}
	for _, program := range programs {
		expect.Expect(rig.ResetPeakMemory(machine.PID(program))).To(Succeed())
		usedBefore[program] = rig.ProcessorTime(machine.PID(program))
	}
	began, endFault := time.Now(), startFault()
	summary := machine.CallFor(floodSpan, callers)
	span := time.Since(began)
	endFault()
	t.Logf("calls answered whole %d, run by a faulty server %d, others %d", summary.Whole, summary.Faulty, len(summary.Failed))
	for _, program := range programs {
		peak := rig.PeakMemoryKB(machine.PID(program))
		quota := float64(rig.ProcessorTime(machine.PID(program))-usedBefore[program]) / float64(span) / processorQuota
		t.Logf("%s: peak %d MB, processor %.2f of its quota, ended %v", program, peak>>10, quota, machine.HasEnded(program))
		expect.Expect(machine.HasEnded(program)).To(BeFalse(), program+" ended")
		expect.Expect(peak).To(BeNumerically("<=", memoryMB<<10), program+": peak of resident memory in KB")
		expect.Expect(quota).To(BeNumerically("<=", 1), program+": processor time as a share of its quota")
	}
	if !allFaulty {
		expect.Expect(summary.Failed).To(BeEmpty(), "calls that no faulty server ran")
	}
	expect.Eventually(machine.Call, answerLimit, answerPause).Should(Succeed(), "an ordinary call after the flood")
}

// allForms plays all forms in the tests that usually play some of them.
var allForms = flag.Bool("all-forms", false, "play all forms of answers without end in each test")

// everyNth returns each nth of the forms, or all of them if these are wanted.
func everyNth(faults []rig.AnswerFault, n int) []rig.AnswerFault {
	if *allForms {
		return faults
	}
	chosen := []rig.AnswerFault{}
	for index := 0; index < len(faults); index += n {
		chosen = append(chosen, faults[index])
	}
	return chosen
}

// testEachFault plays each fault on a machine of its own.
func testEachFault(t *testing.T, faults []rig.AnswerFault, allFaulty bool, startFault func(machine *rig.SingleGateway, fault rig.AnswerFault) (end func())) {
	t.Helper()
	for _, fault := range faults {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			machine := startMachine(t)
			press(t, machine, func() func() { return startFault(machine, fault) }, allFaulty)
		})
	}
}

func TestAModelServerSendsWithoutEnd(t *testing.T) {
	testEachFault(t, rig.AnswerFaults(), false, func(machine *rig.SingleGateway, fault rig.AnswerFault) func() {
		return machine.Flood(fault, rig.ModelService, 1)
	})
}

func TestAPlainServerSendsWithoutEnd(t *testing.T) {
	testEachFault(t, rig.AnswerFaults(), false, func(machine *rig.SingleGateway, fault rig.AnswerFault) func() {
		return machine.Flood(fault, rig.PlainService, 1)
	})
}

func TestAllModelServersSendWithoutEnd(t *testing.T) {
	testEachFault(t, everyNth(rig.AnswerFaults(), 2), true, func(machine *rig.SingleGateway, fault rig.AnswerFault) func() {
		return machine.Flood(fault, rig.ModelService, allServers)
	})
}

func TestTheListOfServersIsSentWithoutEnd(t *testing.T) {
	testEachFault(t, everyNth(rig.AnswerFaults(), 3), false, func(machine *rig.SingleGateway, fault rig.AnswerFault) func() { return machine.FloodList(fault) })
}

// TestWithoutAFault shows that the callers alone keep all bounds.
func TestWithoutAFault(t *testing.T) {
	press(t, startMachine(t), func() func() { return func() {} }, false)
}

const (
	// leftAloneSpan is how long a server is faulty to show whether it stays in the picks.
	leftAloneSpan = 12 * time.Second
	modelServers  = 9
	// leftAloneShare is the part of its usual share of the calls that a server may get which met a bound.
	leftAloneShare = 1.0 / 4
)

func TestAServerThatMeetsABoundIsLeftAlone(t *testing.T) {
	faults := slices.DeleteFunc(rig.AnswerFaults(), func(fault rig.AnswerFault) bool { return !fault.MeetsABound() })
	for _, fault := range everyNth(faults, 3) {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			machine := startMachine(t)
			end := machine.Flood(fault, rig.ModelService, 1)
			summary := machine.CallFor(leftAloneSpan, callers)
			end()
			share := float64(summary.Whole+summary.Faulty) / modelServers
			t.Logf("calls answered whole %d, runs at the faulty server %d, its usual share %.0f", summary.Whole, summary.FaultyRuns, share)
			NewWithT(t).Expect(float64(summary.FaultyRuns)).To(BeNumerically("<=", share*leftAloneShare))
		})
	}
}

// Settings of the soaks: a site's machines under its troubles, while servers and the list of servers send without end.
const (
	soakSpan       = 15 * time.Second
	callsPerSecond = 60
	stayingCallers = 36
)

func TestSoaksOfSitesWhoseServersSendWithoutEnd(t *testing.T) {
	for name, seed := range map[string]uint64{"seri": 1, "brazos": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site, err := emulator.LoadSite("../deploy/emulated/" + name + ".json")
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			clean, err := rig.SoakGateways(rig.GatewayPlan{Bin: bin, Folder: t.TempDir(), Span: soakSpan, CallsPerSecond: callsPerSecond, StayingCallers: stayingCallers, Seed: seed,
				Site: &site, Limits: limits, Floods: true, Log: func(line string) { t.Log(line) }})
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(clean).To(BeTrue(), "the soak reports a breach, a process that ended by itself, or one over its memory or its processor quota")
		})
	}
}
