// Package serve runs the owners as processes: it meets callers, servers, the platform, disks and the clock.
package serve

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	random "math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/neighbour"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
)

const Version = "0.1.0"

// Process is what both programs share: a loop, its links, and a face for operators and other processes.
type Process struct {
	Settings env.Env
	Loop     *link.Loop
	Logger   log.Logger
	Faults   *link.Faults
	Mux      *http.ServeMux
	Reread   func() (env.Env, error)
	stop     chan struct{}
	server   *http.Server
	forward  *link.OperatorAPI
}

func boot() string {
	content := make([]byte, 6)
	if _, err := rand.Read(content); err != nil {
		panic(err)
	}
	return hex.EncodeToString(content)
}

func source() *random.Rand {
	content := [32]byte{}
	if _, err := rand.Read(content[:]); err != nil {
		panic(err)
	}
	return random.New(random.NewChaCha8(content))
}

func newProcess(settings env.Env, self contract.Member, owner contract.StateMachine, faultsPath string) *Process {
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "node", self.Name, "time", log.DefaultTimestampUTC)
	process := &Process{Settings: settings, Logger: logger, stop: make(chan struct{}), Mux: http.NewServeMux()}
	process.Faults = link.NewFaults(faultsPath, process.stop)
	sender := link.NewSender(self, settings.Bounds.Round(), process.Faults, process.stop)
	process.Loop = link.NewLoop(owner, settings.Bounds.Tick(), sender, logger)
	sender.SetCounter(process.Loop.Count)
	sender.SetLogger(func(line contract.Log) { process.Loop.Do(line) })
	process.forward = link.NewOperatorAPI(process.Loop, settings.Bounds.BodyBytes, settings.Bounds.Deliver()*2, process.Faults)
	process.forward.Register(process.Mux)
	process.Mux.Handle("POST "+link.Path, link.Receive(process.Loop))
	process.Mux.Handle("GET /metrics", link.Metrics(process.Loop))
	return process
}

// run serves until a signal comes; farewell then has its time to end what runs.
func (process *Process) run(address string, farewell func()) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "cannot listen")
	}
	process.server = &http.Server{Handler: boundedReading(process.Mux, process.Settings.Bounds.Return()), ReadHeaderTimeout: process.Settings.Bounds.Deliver(),
		IdleTimeout: process.Settings.Bounds.Deadline(), MaxHeaderBytes: 1 << 16}
	catchSignals()
	go process.reread(hangups)
	ended := make(chan error, 1)
	go func() { ended <- process.server.Serve(listener) }()
	go process.Loop.Run(process.stop)
	_ = process.Logger.Log("what", "started", "address", address, "version", Version)
	select {
	case err = <-ended:
	case <-stops:
		_ = process.Logger.Log("what", "stopping")
		farewell()
		patience, cancel := context.WithTimeout(context.Background(), process.Settings.Bounds.Deadline()/2)
		defer cancel()
		err = process.server.Shutdown(patience)
	}
	close(process.stop)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	_ = process.Logger.Log("what", "stopped")
	return err
}

// reread takes up the seeds of a settings file that changed; all else of it is for the next start.
func (process *Process) reread(hangups <-chan os.Signal) {
	for {
		select {
		case <-process.stop:
			return
		case <-hangups:
			if process.Reread == nil {
				continue
			}
			settings, failure := process.Reread()
			if failure != nil {
				_ = process.Logger.Log("what", "settings not taken up", "why", failure.Error())
				continue
			}
			process.Loop.Post(neighbour.Seeds{Addresses: settings.Seeds})
			_ = process.Logger.Log("what", "settings taken up", "seeds", len(settings.Seeds))
		}
	}
}

// boundedReading gives a slow body a bounded time, which ends when the whole body has come.
func boundedReading(inner http.Handler, patience time.Duration) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Body != nil && request.Body != http.NoBody {
			control := http.NewResponseController(writer)
			_ = control.SetReadDeadline(time.Now().Add(patience))
			request.Body = slowBody{request.Body, control}
		}
		inner.ServeHTTP(writer, request)
	})
}

type slowBody struct {
	io.ReadCloser
	control *http.ResponseController
}

func (body slowBody) Read(content []byte) (int, error) {
	count, err := body.ReadCloser.Read(content)
	if errors.Is(err, io.EOF) {
		_ = body.control.SetReadDeadline(time.Time{})
	}
	return count, err
}

func settle(span time.Duration) { time.Sleep(span) }
