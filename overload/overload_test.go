// Package overload has the tests in which crowds of clients that misbehave press on the real processes of one machine. They check that no
// process ends, that each stays within the memory and the descriptors of its settings, and that ordinary requests are answered afterwards.
package overload

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/rig"
	. "github.com/onsi/gomega"
)

// Limits of the machine's processes. They are lower than a real machine's so that a small crowd reaches them.
const (
	memoryMB  = 96
	openFiles = 600
	// reservedFiles are the descriptors of openFiles that a platform keeps for files outside the data folder.
	reservedFiles = 200
	bodyBytes     = 1 << 20
	// documentBytes is the size of a document just below the bound of the operators' and the nodes' ports.
	documentBytes = 32<<20 - 1024
	// smallReceiveBuffer lets answers that are not read block their writer soon, in bytes.
	smallReceiveBuffer = 4 << 10
)

const (
	// answerLimit is how long an ordinary client asks again until it is served.
	answerLimit  = 30 * time.Second
	answerPause  = 200 * time.Millisecond
	samplePeriod = 50 * time.Millisecond
)

// bin is the folder of the programs.
var bin string

func TestMain(m *testing.M) { os.Exit(rig.RunWithPrograms(m.Run, &bin)) }

// group is a part of a crowd: so many clients that send the same to one port. receiveBuffer is the size of their receive buffers in bytes, 0 for
// the usual one.
type group struct {
	port          rig.Port
	clients       int
	send          script
	receiveBuffer int
}

// testCrowd presses on a machine and checks what has to hold, while the crowd's connections are still open and after they were closed.
func testCrowd(t *testing.T, groups ...group) {
	t.Helper()
	expect := NewWithT(t)
	machine := startMachine(t)
	usage := startSampler(machine)
	defer usage.stop()
	crowd := press(machine, groups)
	expectServed(expect, machine, "while the crowd's connections are open")
	crowd.leave()
	expectServed(expect, machine, "after the crowd has left")
	usage.stop()
	for _, program := range []string{rig.DataProgram, rig.ControlProgram} {
		peak := usage.peakOf(program)
		t.Logf("%s: peak %d KB resident, %d KB with unread bytes, %d descriptors, ended %v", program, peak.residentKB, peak.totalKB, peak.descriptors, machine.HasEnded(program))
		expect.Expect(machine.HasEnded(program)).To(BeFalse(), program+" ended")
		expect.Expect(peak.residentKB).To(BeNumerically("<=", memoryMB<<10), program+": peak of resident memory in KB")
		expect.Expect(peak.totalKB).To(BeNumerically("<=", memoryMB<<10), program+": peak of resident memory and unread bytes in KB")
		expect.Expect(peak.descriptors).To(BeNumerically("<=", openFiles-reservedFiles), program+": peak of open descriptors")
	}
}

// TestLargestRequestsAreServed checks that requests that just keep the limits are answered on a calm machine.
func TestLargestRequestsAreServed(t *testing.T) {
	for name, send := range map[string]func(net.Conn) bool{"a body with a length": largestBody, "a body in chunks": largestChunks, "a body in chunks of one byte": largestSmallChunks, "a head": largestHead} {
		t.Run(name, func(t *testing.T) {
			expect, machine := NewWithT(t), startMachine(t)
			for range 3 {
				conn, err := net.DialTimeout("tcp", machine.Address(rig.CallerPort), dialLimit)
				expect.Expect(err).NotTo(HaveOccurred())
				_ = conn.SetDeadline(time.Now().Add(answerLimit))
				expect.Expect(send(conn)).To(BeTrue())
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				expect.Expect(err).NotTo(HaveOccurred())
				expect.Expect(response.StatusCode).To(Equal(http.StatusOK))
				_ = conn.Close()
			}
		})
	}
}

// The clients of a day, at least as many and with bodies at least as large as days of the bench bring to one process at once, and the limits of
// the machines there.
const (
	dayClients   = 200
	dayBodyBytes = 128 << 10
	dayMemoryMB  = 284
	dayOpenFiles = 4100
)

// TestClientsOfADayAreAdmitted checks that ordinary clients meet none of the limits, as many at once as a day brings.
func TestClientsOfADayAreAdmitted(t *testing.T) {
	expect, machine := NewWithT(t), startMachineWith(t, rig.GatewayLimits{MemoryMB: dayMemoryMB, OpenFiles: dayOpenFiles})
	crowd := press(machine, []group{{port: rig.CallerPort, clients: dayClients, send: wholeCall(dayBodyBytes)}})
	defer crowd.leave()
	expect.Expect(crowd.conns).To(HaveLen(dayClients))
	for _, conn := range crowd.conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		expect.Expect(err).NotTo(HaveOccurred())
		expect.Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	metrics, err := machine.DataMetrics()
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(metrics).NotTo(ContainSubstring("clients_ended"))
}

// startMachine starts a machine with the limits of the tests.
func startMachine(t *testing.T) *rig.SingleGateway {
	t.Helper()
	return startMachineWith(t, rig.GatewayLimits{MemoryMB: memoryMB, OpenFiles: openFiles, BodyBytes: bodyBytes})
}

func startMachineWith(t *testing.T, limits rig.GatewayLimits) *rig.SingleGateway {
	t.Helper()
	machine, err := rig.StartSingleGateway(rig.GatewayPlan{Bin: bin, Folder: t.TempDir(), Seed: 1, Log: func(line string) { t.Log(line) }, Limits: limits})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(machine.Close)
	return machine
}

// expectServed checks that an ordinary call and a question at every other port are answered.
func expectServed(expect *WithT, machine *rig.SingleGateway, when string) {
	expect.Eventually(machine.Call, answerLimit, answerPause).Should(Succeed(), "an ordinary call "+when)
	expect.Eventually(machine.Check, answerLimit, answerPause).Should(Succeed(), "the other ports "+when)
}

// ports are the listening ports of a machine.
var ports = map[string]rig.Port{"callers": rig.CallerPort, "readiness": rig.ReadinessPort, "directory": rig.DirectoryPort, "peers": rig.PeerPort, "control": rig.ControlPort}

func testEachPort(t *testing.T, clients int, send script) {
	for name, port := range ports {
		t.Run(name, func(t *testing.T) { testCrowd(t, group{port: port, clients: clients, send: send}) })
	}
}

func TestHeadsOfShortLinesWithoutEnd(t *testing.T) { testEachPort(t, 60, endlessHead(shortLine)) }
func TestHeadsOfOneLineWithoutEnd(t *testing.T)    { testEachPort(t, 150, endlessHead(noLineEnd)) }
func TestConnectionsThatSendNothing(t *testing.T)  { testEachPort(t, 700, sendNothing) }

func TestEmptyLinesBeforeARequest(t *testing.T) {
	testCrowd(t, group{port: rig.CallerPort, clients: 150, send: emptyLines})
}

func TestFullHeadsWithoutBodies(t *testing.T) {
	testCrowd(t, group{port: rig.CallerPort, clients: 300, send: fullHeadWithoutBody})
}

func TestBodiesThatStopBeforeTheirEnd(t *testing.T) {
	t.Run("large chunks", func(t *testing.T) {
		testCrowd(t, group{port: rig.CallerPort, clients: 100, send: unfinishedChunks(bodyBytes-1, 64<<10-16)})
	})
	t.Run("chunks of one byte", func(t *testing.T) {
		testCrowd(t, group{port: rig.CallerPort, clients: 80, send: unfinishedChunks(bodyBytes-1, 1)})
	})
	t.Run("with a length", func(t *testing.T) {
		testCrowd(t, group{port: rig.CallerPort, clients: 120, send: unfinishedBody("/check/x", bodyBytes)})
	})
}

func TestBodiesFarOverTheLimit(t *testing.T) {
	t.Run("announced", func(t *testing.T) {
		testCrowd(t, group{port: rig.CallerPort, clients: 120, send: announcedBody(4<<30, 8<<20)})
	})
	t.Run("in chunks", func(t *testing.T) {
		testCrowd(t, group{port: rig.CallerPort, clients: 120, send: unfinishedChunks(8<<20, 64<<10)})
	})
}

func TestAnswersThatAreNotRead(t *testing.T) {
	for name, port := range ports {
		t.Run(name, func(t *testing.T) {
			testCrowd(t, group{port: port, clients: 400, send: unreadAnswers, receiveBuffer: smallReceiveBuffer})
		})
	}
}

func TestSeveralCrowdsAtOnce(t *testing.T) {
	testCrowd(t, group{port: rig.CallerPort, clients: 40, send: unfinishedChunks(bodyBytes-1, 64<<10-16)}, group{port: rig.CallerPort, clients: 40, send: unfinishedBody("/check/x", bodyBytes)},
		group{port: rig.CallerPort, clients: 30, send: endlessHead(shortLine)}, group{port: rig.DirectoryPort, clients: 100, send: sendNothing}, group{port: rig.PeerPort, clients: 20, send: endlessHead(shortLine)})
}

func TestDocumentsThatStopBeforeTheirEnd(t *testing.T) {
	t.Run("orders", func(t *testing.T) {
		testCrowd(t, group{port: rig.ControlPort, clients: 6, send: unfinishedBody("/configuration/replace", documentBytes)})
	})
	for _, name := range []string{"peers", "control"} {
		t.Run("messages to "+name, func(t *testing.T) {
			testCrowd(t, group{port: ports[name], clients: 6, send: unfinishedBody("/link", documentBytes)})
		})
	}
}

func TestDocumentsThatExpand(t *testing.T) {
	t.Run("orders of many values", func(t *testing.T) {
		testCrowd(t, group{port: rig.ControlPort, clients: 2, send: wholeBody("/configuration/replace", orderOfNumbers, "")})
	})
	for _, name := range []string{"peers", "control"} {
		t.Run(fmt.Sprintf("compressed messages to %s", name), func(t *testing.T) {
			testCrowd(t, group{port: ports[name], clients: 8, send: wholeBody("/link", expandingMessage, "gzip")})
		})
	}
}
