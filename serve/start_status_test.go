package serve

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
)

func TestAStartThatWaitsSaysSoAgainAndForHowLong(t *testing.T) {
	expect, lines, now := NewWithT(t), &strings.Builder{}, time.Unix(0, 0)
	status := &startStatus{now: func() time.Time { return now }}
	for range 300 {
		status.waits(log.NewLogfmtLogger(lines), "address a", syscall.EADDRINUSE)
		now = now.Add(retryPause)
	}
	written := strings.Split(strings.TrimSpace(lines.String()), "\n")
	expect.Expect(written).To(HaveLen(3))
	expect.Expect(written[2]).To(And(ContainSubstring("waitedMs=10000"), ContainSubstring(`for="address a"`), ContainSubstring("address already in use")))
}

func TestTheStatusPortTellsWhatAStartWaitsForUntilItGoesOn(t *testing.T) {
	expect, now := NewWithT(t), time.Unix(0, 0)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	status := &startStatus{now: func() time.Time { return now }}
	status.identify("a-data", []string{taken.Addr().String(), "127.0.0.1:0"})
	status.waits(log.NewNopLogger(), "address b", syscall.EADDRINUSE)
	expect.Expect(status.address()).To(BeEmpty(), "a short wait opens no port")
	now = now.Add(statusPortDelay)
	status.waits(log.NewNopLogger(), "address b", syscall.EADDRINUSE)
	address := status.address()
	response, err := http.Get("http://" + address + "/v1/start")
	expect.Expect(err).NotTo(HaveOccurred())
	var report StartReport
	expect.Expect(json.NewDecoder(response.Body).Decode(&report)).To(Succeed())
	expect.Expect(report).To(Equal(StartReport{Node: "a-data", WaitsFor: "address b", Reason: syscall.EADDRINUSE.Error(), WaitedMs: 1000}))
	response, err = http.Get("http://" + address + "/metrics")
	expect.Expect(err).NotTo(HaveOccurred())
	content, _ := io.ReadAll(response.Body)
	expect.Expect(string(content)).To(ContainSubstring("cedarreel_start_waiting_seconds 1"))
	status.goesOn(log.NewNopLogger())
	_, err = net.DialTimeout("tcp", address, time.Second)
	expect.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	expect.Expect(status.report().WaitedMs).To(Equal(int64(1000)))
}
