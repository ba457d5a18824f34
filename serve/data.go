package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/answers"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/link"
	kithttp "github.com/go-kit/kit/transport/http"
)

// attemptKey identifies one attempt of a call of this node.
type attemptKey struct {
	token   int64
	attempt int
}

// dataProcess runs the state machine of a data-plane node with the built-in protocol: it serves callers and sends calls to model
// servers. bufferedBytes is the size of all reply chunks that wait for slow callers. recallClient has a short timeout.
type dataProcess struct {
	*Process
	lock          sync.Mutex
	sessions      map[int64]*session
	cancels       map[attemptKey]context.CancelFunc
	bufferedBytes atomic.Int64
	answers       *answerLimiter
	client        *http.Client
	recallClient  *http.Client
}

// maxBufferedReplies is how many replies of the largest allowed size may wait for slow callers together.
const maxBufferedReplies = 32

// Data runs a data-plane node (cedardp) with the built-in protocol until a signal stops it. faultsPath names a file of faults for tests,
// or is empty.
func Data(settings env.Env, faultsPath string) error {
	router := data.New(settings, newBootID(), newRandom())
	process := &dataProcess{Process: newProcess(settings, router.Self(), router, admission.SinglePortBudget(settings.MemoryBytes, settings.OpenFiles), faultsPath), sessions: map[int64]*session{}, cancels: map[attemptKey]context.CancelFunc{}}
	process.answers = newAnswerLimiter(answers.NewBudget(settings.MemoryBytes, settings.ProcessorQuota), process.Loop)
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	process.client = &http.Client{Transport: process.transport(), CheckRedirect: noRedirects}
	process.recallClient = &http.Client{Transport: link.NewTransport(), Timeout: settings.Bounds.Round(), CheckRedirect: noRedirects}
	process.Loop.SetExecutor(process.execute)
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	process.Mux.Handle("POST /v1/chat/completions", kithttp.NewServer(process.serveCall(), process.decodeCall, encodeCall, options...))
	process.Mux.Handle("GET /v1/lookups/{route}/{key}", kithttp.NewServer(process.serveCall(), process.decodeLookup, encodeCall, options...))
	process.Mux.Handle("GET /v1/calls/{key}", kithttp.NewServer(process.query(), decodeOutcomeQuery, encodeAnswer, options...))
	return process.listenAndRun(settings.Data, func() { process.Loop.Post(data.Shutdown{}) })
}

// execute carries out a command of the state machine. It reports whether it knows the command.
func (process *dataProcess) execute(command contract.Command) bool {
	switch command := command.(type) {
	case data.Dispatch:
		process.dispatch(command)
	case data.CancelAttempt:
		process.cancel(attemptKey{command.Token, command.Attempt})
	case data.RecallAttempt:
		go process.recall(command)
	case contract.Forward:
		go process.operators.Forward(command)
	default:
		return false
	}
	return true
}

// session returns the caller's session with this token, or nil if it has ended.
func (process *dataProcess) session(token int64) *session {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.sessions[token]
}

func (process *dataProcess) registerCancel(key attemptKey, cancel context.CancelFunc) {
	process.lock.Lock()
	defer process.lock.Unlock()
	process.cancels[key] = cancel
}

// cancel aborts an attempt, if it still runs, and forgets it.
func (process *dataProcess) cancel(key attemptKey) {
	process.lock.Lock()
	cancel := process.cancels[key]
	delete(process.cancels, key)
	process.lock.Unlock()
	if cancel != nil {
		cancel()
	}
}
