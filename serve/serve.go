// Package serve runs the state machines of the nodes as processes. It does their I/O: HTTP for callers, operators and model servers, the
// platform's API, disks, signals and clocks.
package serve

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	random "math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/neighbour"
	"github.com/cedarreel/cedarreel/oserr"
	"github.com/go-kit/log"
)

// Version is the version of all programs.
const Version = "0.1.0"

// startPath is where a process tells about its start.
const startPath = "GET /v1/start"

// Process is what all programs share: the event loop, the links to other nodes, and an HTTP server for them and for operators.
// ReloadSettings, if set, reads the settings again after a SIGHUP. Faults injects faults in tests.
type Process struct {
	Settings       env.Env
	Loop           *link.Loop
	Logger         log.Logger
	Faults         *link.Faults
	Mux            *http.ServeMux
	ReloadSettings func() (env.Env, error)
	stop           chan struct{}
	server         *http.Server
	admitter       *admitter
	operators      *link.OperatorAPI
	// life records how this life of the process ends; nil without a data folder.
	life *lifeRecorder
}

// newBootID returns a random identifier of this process start.
func newBootID() string {
	content := make([]byte, 6)
	if _, err := rand.Read(content); err != nil {
		panic(err)
	}
	return hex.EncodeToString(content)
}

// newRandom returns a securely seeded random generator.
func newRandom() *random.Rand {
	content := [32]byte{}
	if _, err := rand.Read(content[:]); err != nil {
		panic(err)
	}
	return random.New(random.NewChaCha8(content))
}

// newProcess sets up the loop, the links and the HTTP handlers of a node.
func newProcess(settings env.Env, self contract.Member, stateMachine contract.StateMachine, budget admission.Budget, faultsPath string) *Process {
	limitMemory(settings.MemoryBytes)
	logger := newLogger(self.Name)
	process := &Process{Settings: settings, Logger: logger, stop: make(chan struct{}), Mux: http.NewServeMux()}
	process.Faults = link.NewFaults(faultsPath, process.stop)
	sender := link.NewSender(self, settings.Bounds.Round(), process.Faults, process.stop)
	process.Loop = link.NewLoop(stateMachine, settings.Bounds.Tick(), sender, logger)
	sender.SetCounter(process.Loop.Count)
	sender.SetLogger(func(line contract.Log) { process.Loop.Execute(line) })
	process.admitter = newAdmitter(budget, settings, process.Loop)
	process.operators = link.NewOperatorAPI(process.Loop, settings.Bounds.BodyBytes, settings.Bounds.Deliver()*2, process.Faults)
	process.operators.Register(process.Mux)
	process.Mux.Handle("POST "+link.Path, link.Receive(process.Loop))
	process.Mux.Handle("GET /metrics", link.Metrics(process.Loop))
	process.Mux.HandleFunc(startPath, starting.serveReport)
	return process
}

// listen opens a listening socket. It waits while the address is in use or not there yet.
func (process *Process) listen(address string, class admission.Class) (net.Listener, error) {
	return retryStart(process.Logger, "address "+address, oserr.IsPassing, func() (net.Listener, error) { return process.admitter.listen(address, class) })
}

// listenAndRun opens the listening socket of the peers' port and runs the process.
func (process *Process) listenAndRun(address string, beforeShutdown func()) error {
	listener, err := process.listen(address, admission.Peers)
	if err != nil {
		return err
	}
	return process.run(listener, beforeShutdown)
}

// run serves until a signal comes. It then calls beforeShutdown and shuts the HTTP server down.
func (process *Process) run(listener net.Listener, beforeShutdown func()) error {
	var err error
	process.server = setUpServer(&http.Server{Handler: admitDocuments(process.Mux)})
	go process.admitter.run(process.stop)
	go process.reloadSeeds(reloadSignals)
	serveErr := make(chan error, 1)
	go func() { serveErr <- process.server.Serve(listener) }()
	go process.Loop.Run(process.stop)
	process.Loop.Count("start_waited_ms", starting.report().WaitedMs)
	_ = process.Logger.Log("what", "started", "address", listener.Addr(), "version", Version)
	select {
	case err = <-serveErr:
		awaitSaved(process.endLife("serving failed: " + err.Error()))
	case signal := <-stopSignals:
		stopBy := time.Now().Add(process.stopLimit())
		_ = process.Logger.Log("what", "stopping", "signal", signal)
		process.endLife("signal: " + signal.String())
		beforeShutdown()
		shutdownCtx, cancel := context.WithDeadline(context.Background(), stopBy)
		defer cancel()
		err = process.server.Shutdown(shutdownCtx)
	}
	close(process.stop)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	_ = process.Logger.Log("what", "stopped")
	return err
}

// stopShare is the share of a platform's grace period that a process uses at most to stop.
const stopShare = 31.0 / 32

// stopLimit returns how long after the signal the process ends at the latest, even if requests are still running. Without a grace period that
// is after the longest call.
func (process *Process) stopLimit() time.Duration {
	if grace := process.Settings.Gateway.Grace; grace > 0 {
		return time.Duration(float64(grace) * stopShare)
	}
	return process.Settings.Bounds.Deadline() + process.Settings.Bounds.Round()
}

// reloadSeeds applies the seed addresses of changed settings after a SIGHUP. All other settings need a restart.
func (process *Process) reloadSeeds(reloadSignals <-chan os.Signal) {
	for {
		select {
		case <-process.stop:
			return
		case <-reloadSignals:
			if process.ReloadSettings == nil {
				continue
			}
			settings, err := process.reloadSettings()
			if err != nil {
				return
			}
			process.Loop.Post(neighbour.Seeds{Addresses: settings.Seeds})
			_ = process.Logger.Log("what", "settings reloaded", "seeds", len(settings.Seeds))
		}
	}
}

func sleep(duration time.Duration) { time.Sleep(duration) }
