package serve

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// waitReportPeriod is the time between two lines of the log that tell of the same wait.
	waitReportPeriod = 5 * time.Second
	// statusPortDelay is how long a start has waited when it begins to tell that at a port.
	statusPortDelay = time.Second
)

// startStatus tells what the start of a process waits for, and for how long: in the log, and at a port of its own until the process serves.
type startStatus struct {
	lock sync.Mutex
	now  func() time.Time
	// node is the process's name, addresses those of which the first free one takes the status port.
	node      string
	addresses []string
	// step and reason are what the start waits for now, empty while it does not wait. since is when that wait began, reportedAt when the log
	// told of it last, waited the sum of all waits before it.
	step, reason      string
	since, reportedAt time.Time
	waited            time.Duration
	listener          net.Listener
}

// starting is the start of this process.
var starting = &startStatus{now: time.Now}

// StartReport is the answer of a status port, and of a node that serves, about a start.
type StartReport struct {
	Node string `json:"node"`
	// WaitsFor and Reason are empty unless the start waits. WaitedMs is how long it waits, or how long it has waited in all.
	WaitsFor string `json:"waitsFor"`
	Reason   string `json:"reason"`
	WaitedMs int64  `json:"waitedMs"`
}

// identify names the process and the addresses for its status port.
func (status *startStatus) identify(node string, addresses []string) {
	status.lock.Lock()
	defer status.lock.Unlock()
	status.node, status.addresses = node, addresses
}

// waits notes that a step has failed with an error that may pass. It logs a new reason at once, and the same one again after a time.
func (status *startStatus) waits(logger log.Logger, step string, err error) {
	status.lock.Lock()
	defer status.lock.Unlock()
	now := status.now()
	if status.step != step {
		status.step, status.since = step, now
	}
	if now.Sub(status.since) >= statusPortDelay {
		status.openPort()
	}
	if status.reason == err.Error() && now.Sub(status.reportedAt) < waitReportPeriod {
		return
	}
	status.reason, status.reportedAt = err.Error(), now
	_ = logger.Log("what", "start waits", "for", step, "why", status.reason, "waitedMs", now.Sub(status.since).Milliseconds(), "status", status.address())
}

// goesOn notes that a step has succeeded or was given up.
func (status *startStatus) goesOn(logger log.Logger) {
	status.lock.Lock()
	defer status.lock.Unlock()
	if status.step == "" {
		return
	}
	took := status.now().Sub(status.since)
	_ = logger.Log("what", "start goes on", "after", status.step, "waitedMs", took.Milliseconds())
	status.waited += took
	status.step, status.reason = "", ""
	if status.listener != nil {
		_ = status.listener.Close()
		status.listener = nil
	}
}

// report returns what is to be told of the start.
func (status *startStatus) report() StartReport {
	status.lock.Lock()
	defer status.lock.Unlock()
	report := StartReport{Node: status.node, WaitsFor: status.step, Reason: status.reason, WaitedMs: status.waited.Milliseconds()}
	if status.step != "" {
		report.WaitedMs = status.now().Sub(status.since).Milliseconds()
	}
	return report
}

// address returns the status port, empty without one.
func (status *startStatus) address() string {
	if status.listener == nil {
		return ""
	}
	return status.listener.Addr().String()
}

// openPort opens the status port at the first address that is free. The lock has to be held.
func (status *startStatus) openPort() {
	if status.listener != nil {
		return
	}
	for _, address := range status.addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		status.listener = listener
		server := setUpServer(&http.Server{Handler: status.handler()})
		go func() { _ = server.Serve(listener) }()
		return
	}
}

// handler serves the report and, as a metric, the time that the start has waited.
func (status *startStatus) handler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "cedarreel", Name: "start_waiting_seconds", Help: "how long the start of this process waits for a step"},
		func() float64 { return (time.Duration(status.report().WaitedMs) * time.Millisecond).Seconds() }))
	mux := http.NewServeMux()
	mux.HandleFunc(startPath, status.serveReport)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}

func (status *startStatus) serveReport(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, status.report())
}
