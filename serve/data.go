package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/env"
	kithttp "github.com/go-kit/kit/transport/http"
)

type attemptKey struct {
	token   int64
	attempt int
}

type dataShell struct {
	*Process
	lock     sync.Mutex
	sessions map[int64]*session
	cancels  map[attemptKey]context.CancelFunc
	held     atomic.Int64
	client   *http.Client
	asks     *http.Client
}

// heldReplies is how many largest replies may wait for slow readers at once.
const heldReplies = 32

// Data runs a cedardp until it is told to stop.
func Data(settings env.Env, faultsPath string) error {
	owner := data.New(settings, boot(), source())
	shell := &dataShell{Process: newProcess(settings, owner.Self(), owner, faultsPath), sessions: map[int64]*session{}, cancels: map[attemptKey]context.CancelFunc{}}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	shell.client = &http.Client{Transport: shell.transport(), CheckRedirect: noRedirects}
	shell.asks = &http.Client{Timeout: settings.Bounds.Round(), CheckRedirect: noRedirects}
	shell.Loop.SetExecutor(shell.act)
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeBad)}
	shell.Mux.Handle("POST /v1/chat/completions", kithttp.NewServer(shell.serve(), shell.decodeCall, encodeCall, options...))
	shell.Mux.Handle("GET /v1/lookups/{route}/{key}", kithttp.NewServer(shell.serve(), shell.decodeLookup, encodeCall, options...))
	shell.Mux.Handle("GET /v1/calls/{key}", kithttp.NewServer(shell.look(), decodeLook, encodeAnswer, options...))
	return shell.run(settings.Data, func() { shell.Loop.Post(data.Shutdown{}) })
}

func (shell *dataShell) act(command contract.Command) bool {
	switch command := command.(type) {
	case data.Dispatch:
		shell.dispatch(command)
	case data.CancelAttempt:
		shell.cancel(attemptKey{command.Token, command.Attempt})
	case data.RecallAttempt:
		go shell.recall(command)
	case contract.Forward:
		go shell.forward.Forward(command)
	default:
		return false
	}
	return true
}

func (shell *dataShell) session(token int64) *session {
	shell.lock.Lock()
	defer shell.lock.Unlock()
	return shell.sessions[token]
}

func (shell *dataShell) keep(key attemptKey, cancel context.CancelFunc) {
	shell.lock.Lock()
	defer shell.lock.Unlock()
	shell.cancels[key] = cancel
}

func (shell *dataShell) cancel(key attemptKey) {
	shell.lock.Lock()
	cancel := shell.cancels[key]
	delete(shell.cancels, key)
	shell.lock.Unlock()
	if cancel != nil {
		cancel()
	}
}
