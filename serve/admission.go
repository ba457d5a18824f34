package serve

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cedarreel/cedarreel/admission"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/link"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// admissionTick is the time between two checks for clients whose time is over.
	admissionTick = 500 * time.Millisecond
	// receiveBuffer bounds the bytes in bytes that the kernel holds for a connection that is not read.
	receiveBuffer = 64 << 10
	// refusalTimeout bounds the writing of an answer to a client whose head was not accepted.
	refusalTimeout = time.Second
	// acceptRetryPause is the time before the next try after accept has failed.
	acceptRetryPause = 10 * time.Millisecond
	// writeStall is how long a client may take nothing of an answer before it counts as stalled.
	writeStall = time.Second
)

// errEnded is the error of reads from a connection that the admission ended.
var errEnded = eris.New("the connection was ended by the admission")

// admitter runs the admission of a process: it tells the state machine what clients do on all ports, and ends what that ends.
type admitter struct {
	lock  sync.Mutex
	state *admission.State
	conns map[admission.ConnID]*admittedConn
	last  admission.ConnID
	loop  *link.Loop
}

func newAdmitter(budget admission.Budget, settings env.Env, loop *link.Loop) *admitter {
	return &admitter{state: admission.New(budget, admission.DefaultLimits(settings)), conns: map[admission.ConnID]*admittedConn{}, loop: loop}
}

// run checks times until stop is closed.
func (admitter *admitter) run(stop <-chan struct{}) {
	ticker := time.NewTicker(admissionTick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			admitter.handle(contract.Tick{})
		}
	}
}

// handle passes an event to the state machine and carries out its commands.
func (admitter *admitter) handle(event contract.Event) {
	admitter.lock.Lock()
	commands := admitter.state.Handle(admitter.loop.Now(), event)
	ended := []*admittedConn{}
	for _, command := range commands {
		if end, ok := command.(admission.End); ok {
			if conn := admitter.conns[end.Conn]; conn != nil && conn.end(end) {
				ended = append(ended, conn)
			}
		}
	}
	admitter.lock.Unlock()
	for _, conn := range ended {
		conn.interrupt()
	}
	for _, command := range commands {
		if _, ok := command.(admission.End); !ok {
			admitter.loop.Execute(command)
		}
	}
}

// listen opens a listening socket whose connections are admitted one by one.
func (admitter *admitter) listen(address string, class admission.Class) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Connections inherit the size. Where it can't be set, the kernel's own bound holds.
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "cannot listen")
	}
	return admitter.wrap(listener, class), nil
}

func (admitter *admitter) wrap(listener net.Listener, class admission.Class) net.Listener {
	return &admittedListener{Listener: listener, admitter: admitter, class: class}
}

// admittedListener accepts connections of one class.
type admittedListener struct {
	net.Listener
	admitter *admitter
	class    admission.Class
}

// Accept returns the next connection that is admitted, and closes those that are not. It fails only once the listener is closed: other errors are
// those of a connection that is gone, or of a machine that lacks a resource for now.
func (listener *admittedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			listener.admitter.loop.Count("accepts_failed", 1)
			time.Sleep(acceptRetryPause)
			continue
		}
		conn := listener.admitter.open(accepted.(*net.TCPConn), listener.class)
		if conn.endedBy() == nil {
			return conn, nil
		}
		_ = conn.Close()
	}
}

func (admitter *admitter) open(accepted *net.TCPConn, class admission.Class) *admittedConn {
	conn := &admittedConn{TCPConn: accepted, admitter: admitter}
	admitter.lock.Lock()
	admitter.last++
	conn.id = admitter.last
	admitter.conns[conn.id] = conn
	admitter.lock.Unlock()
	admitter.handle(admission.Opened{Conn: conn.id, Class: class, Remote: accepted.RemoteAddr().String()})
	return conn
}

// admittedConn is a client's connection whose reads are told to the admission.
type admittedConn struct {
	*net.TCPConn
	admitter *admitter
	id       admission.ConnID
	lock     sync.Mutex
	ended    *admission.End
	// inRequest says that a head was read completely, so that a handler answers.
	inRequest bool
	closed    bool
	// ownWriteDeadline says that a handler has set a deadline for its writes.
	ownWriteDeadline atomic.Bool
}

// end notes that the connection has ended, and reports whether it had not before.
func (conn *admittedConn) end(end admission.End) bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	if conn.ended != nil {
		return false
	}
	conn.ended = &end
	return true
}

// endedBy returns the command that ended the connection, or nil.
func (conn *admittedConn) endedBy() *admission.End {
	if conn == nil {
		return nil
	}
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.ended
}

// interrupt makes pending reads fail, and closes a connection on which no request has begun.
func (conn *admittedConn) interrupt() {
	if conn.endedBy().Status == 0 {
		_ = conn.Close()
		return
	}
	_ = conn.TCPConn.SetReadDeadline(time.Now().Add(-time.Second))
}

var lineEnd = []byte{'\n'}

// Read reads bytes of the client and tells the admission.
func (conn *admittedConn) Read(content []byte) (int, error) {
	if conn.endedBy() != nil {
		return 0, conn.refuse()
	}
	count, err := conn.TCPConn.Read(content)
	if count > 0 {
		conn.admitter.handle(admission.Received{Conn: conn.id, Bytes: int64(count), Lines: int64(bytes.Count(content[:count], lineEnd))})
	}
	if conn.endedBy() != nil {
		return 0, conn.refuse()
	}
	return count, err
}

// refuse answers a request whose head was not read completely, and returns the error of the read. Later requests are answered by their handlers.
func (conn *admittedConn) refuse() error {
	conn.lock.Lock()
	status, answers := conn.ended.Status, !conn.inRequest && conn.ended.Status != 0
	conn.lock.Unlock()
	if answers {
		_ = conn.TCPConn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = conn.TCPConn.Write([]byte("HTTP/1.1 " + statusLine(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}
	// net/http answers other errors of a read by itself.
	return &net.OpError{Op: "read", Net: "tcp", Err: errEnded}
}

// Close closes the connection and tells the admission.
func (conn *admittedConn) Close() error {
	conn.lock.Lock()
	first := !conn.closed
	conn.closed = true
	conn.lock.Unlock()
	if first {
		conn.admitter.lock.Lock()
		delete(conn.admitter.conns, conn.id)
		conn.admitter.lock.Unlock()
		conn.admitter.handle(admission.Closed{Conn: conn.id})
	}
	return conn.TCPConn.Close()
}

// SetWriteDeadline sets the deadline of writes, in place of the admission's own check for clients that take nothing.
func (conn *admittedConn) SetWriteDeadline(deadline time.Time) error {
	conn.ownWriteDeadline.Store(!deadline.IsZero())
	return conn.TCPConn.SetWriteDeadline(deadline)
}

// Write writes to the client, and tells the admission while the client takes nothing.
func (conn *admittedConn) Write(content []byte) (int, error) {
	if conn.ownWriteDeadline.Load() {
		return conn.TCPConn.Write(content)
	}
	written, stalled := 0, false
	for {
		_ = conn.TCPConn.SetWriteDeadline(time.Now().Add(writeStall))
		count, err := conn.TCPConn.Write(content[written:])
		written += count
		if stalled && (count > 0 || err == nil) {
			stalled = false
			conn.admitter.handle(admission.AnswerTaken{Conn: conn.id})
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || conn.endedBy() != nil {
			return written, err
		}
		if !stalled {
			stalled = true
			conn.admitter.handle(admission.AnswerStalled{Conn: conn.id})
		}
	}
}

// setInRequest notes whether a head was read completely.
func (conn *admittedConn) setInRequest(inRequest bool) {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.inRequest = inRequest
}

// wants asks for memory for the connection's request, and returns the command that ended the connection, or nil if the memory is granted.
func (conn *admittedConn) wants(bytes int64) *admission.End {
	if conn == nil || bytes <= 0 {
		return nil
	}
	conn.admitter.handle(admission.Wanted{Conn: conn.id, Bytes: bytes})
	return conn.endedBy()
}

// requestRead says that the request was read completely.
func (conn *admittedConn) requestRead() *admission.End {
	if conn == nil {
		return nil
	}
	conn.admitter.handle(admission.RequestRead{Conn: conn.id})
	return conn.endedBy()
}

// admittedConnKey is the context key of a request's admittedConn.
type admittedConnKey struct{}

// withAdmittedConn gives the requests of a connection access to it.
func withAdmittedConn(ctx context.Context, conn net.Conn) context.Context {
	admitted, _ := conn.(*admittedConn)
	return context.WithValue(ctx, admittedConnKey{}, admitted)
}

// admittedConnOf returns the connection of a request, or nil if it did not come through an admittedListener.
func admittedConnOf(request *http.Request) *admittedConn {
	conn, _ := request.Context().Value(admittedConnKey{}).(*admittedConn)
	return conn
}

// connStateChanged is the http.Server's ConnState hook: it tells the admission when a connection waits for its next request.
func connStateChanged(conn net.Conn, state http.ConnState) {
	if admitted, ok := conn.(*admittedConn); ok && state == http.StateIdle {
		admitted.setInRequest(false)
		admitted.admitter.handle(admission.RequestEnded{Conn: admitted.id})
	}
}

// setUpServer lets an HTTP server tell the admission of the requests of its connections.
func setUpServer(server *http.Server) *http.Server {
	server.ConnContext, server.ConnState, server.ErrorLog = withAdmittedConn, connStateChanged, discardLog()
	return server
}
