package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/serve"
)

// Times of the gateways that are stopped in these tests.
const (
	testGrace      = 2 * time.Second
	testLookupLife = 100 * time.Millisecond
	testLimit      = 10 * time.Second
)

// gate holds back reads and writes of the connections of a listener. Held reads have taken their bytes from the socket already.
type gate struct {
	net.Listener
	lock sync.Mutex
	// holdRead and holdWrite say which content is held back, nil for none; held is signalled for each, and released ends it.
	holdRead, holdWrite func(content []byte) bool
	held                chan bool
	released            chan bool
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func newGate(t *testing.T) *gate {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &gate{Listener: listener, held: make(chan bool, 1), released: make(chan bool)}
}

func (gate *gate) Accept() (net.Conn, error) {
	conn, err := gate.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn, gate}, nil
}

func (gate *gate) hold(read, write func([]byte) bool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.holdRead, gate.holdWrite = read, write
}

func (gate *gate) pass(holds func([]byte) bool, content []byte) {
	if holds != nil && holds(content) {
		gate.held <- true
		<-gate.released
	}
}

func (conn gatedConn) Read(content []byte) (int, error) {
	count, err := conn.Conn.Read(content)
	conn.gate.lock.Lock()
	holds := conn.gate.holdRead
	conn.gate.lock.Unlock()
	conn.gate.pass(holds, content[:count])
	return count, err
}

func (conn gatedConn) Write(content []byte) (int, error) {
	conn.gate.lock.Lock()
	holds := conn.gate.holdWrite
	conn.gate.lock.Unlock()
	conn.gate.pass(holds, content)
	return conn.Conn.Write(content)
}

// stoppable is a gateway that serves at a gate, with one server that answers calls by a script.
type stoppable struct {
	*fixture
	t    *testing.T
	gate *gate
	// stop stops the gateway as a signal does and returns when it has ended its work; end ends it as the end of its process does.
	stop func()
	end  func()
}

func newStoppable(t *testing.T, script ...responder) *stoppable {
	created := &stoppable{t: t, gate: newGate(t), fixture: newFixture(4*time.Second, 1, func(end func()) { t.Cleanup(end) }, script...)}
	created.stop, created.end = created.proxy.Serve(created.gate)
	t.Cleanup(created.end)
	return created
}

// caller is a caller's connection to the gateway.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (stoppable *stoppable) connect() *caller {
	conn, err := net.Dial("tcp", stoppable.gate.Addr().String())
	if err != nil {
		stoppable.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testLimit))
	return &caller{conn, bufio.NewReader(conn)}
}

func (caller *caller) send(path string) error {
	_, err := fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\nbody", path, attemptID)
	return err
}

// read reads an answer and reports its status, 0 without one, and whether it is whole.
func (caller *caller) read() (status int, whole, closes bool) {
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		return 0, false, true
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil, response.Close
}

func (stoppable *stoppable) expectWhole(caller *caller) {
	stoppable.t.Helper()
	if status, whole, _ := caller.read(); status != 200 || !whole {
		stoppable.t.Fatalf("status %d, whole %v", status, whole)
	}
}

// inBackground starts a function and returns a channel that is closed when it has returned.
func inBackground(work func()) <-chan bool {
	done := make(chan bool)
	go func() {
		defer close(done)
		work()
	}()
	return done
}

// TestStopPassesOnNothingThatItClosesOn guards against a stop that closes a connection whose next request has just been read, and passes that on.
func TestStopPassesOnNothingThatItClosesOn(t *testing.T) {
	for name, afterTheStop := range map[string]bool{"read at the signal": false, "read as connections are closed": true} {
		t.Run(name, func(t *testing.T) {
			stoppable := newStoppable(t, completeAnswer)
			caller := stoppable.connect()
			_ = caller.send("/write/first")
			stoppable.expectWhole(caller)
			stoppable.gate.hold(func(content []byte) bool { return strings.Contains(string(content), "/write/second") }, nil)
			_ = caller.send("/write/second")
			<-stoppable.gate.held
			stopped := inBackground(stoppable.stop)
			release := func() { close(stoppable.gate.released) }
			if afterTheStop {
				go func() {
					<-stopped
					release()
				}()
			} else {
				time.AfterFunc(testLookupLife/2, release)
			}
			status, whole, _ := caller.read()
			<-stopped
			<-stoppable.gate.released
			if stoppable.wasAsked("/write/second") && (status != 200 || !whole) {
				t.Fatalf("passed on, and the caller got status %d, whole %v", status, whole)
			}
		})
	}
}

// TestStopTakesOnNoCallAfterItsWait guards against calls that are passed on between the end of a stop's wait and the end of the process.
func TestStopTakesOnNoCallAfterItsWait(t *testing.T) {
	stoppable := newStoppable(t, completeAnswer)
	stoppable.stop()
	if conn, err := net.Dial("tcp", stoppable.gate.Addr().String()); err == nil {
		late := &caller{conn, bufio.NewReader(conn)}
		_ = late.send("/write/late")
		_, _, _ = late.read()
	}
	if asked := len(stoppable.received()); asked > 0 {
		t.Fatalf("%d calls were passed on after the stop", asked)
	}
}

// TestStopWaitsForTheEndOfAnswers guards against a process that ends while the last bytes of an answer are still to be written.
func TestStopWaitsForTheEndOfAnswers(t *testing.T) {
	stoppable := newStoppable(t, respondWith(streamHead()+chunk(events(1, 2))+"0\r\n\r\n", true))
	stoppable.gate.hold(nil, func(content []byte) bool { return strings.HasSuffix(string(content), "0\r\n\r\n") })
	caller := stoppable.connect()
	_ = caller.send("/stream/x")
	<-stoppable.gate.held
	stopped := inBackground(stoppable.stop)
	select {
	case <-stopped:
		t.Fatal("the stop ended before the answer")
	case <-time.After(testGrace / 2):
	}
	close(stoppable.gate.released)
	<-stopped
	stoppable.expectWhole(caller)
}

// TestStopCutsNoCallThatCameLate guards against calls that a stopping gateway takes on and cannot finish before its process ends.
func TestStopCutsNoCallThatCameLate(t *testing.T) {
	slow := func(conn net.Conn, _ received) bool {
		write(conn, streamHead())
		for number := 1; number <= 4; number++ {
			time.Sleep(testGrace / 40)
			write(conn, chunk(event(number)))
		}
		write(conn, "0\r\n\r\n")
		return true
	}
	stoppable := newStoppable(t, slow)
	signalled := time.Now()
	stopped := inBackground(func() {
		stoppable.stop()
		stoppable.end()
	})
	group, late := sync.WaitGroup{}, [4][]lateCall{}
	for index := range late {
		group.Go(func() { late[index] = stoppable.callUntil(stopped, signalled) })
	}
	group.Wait()
	all := slices.Concat(late[:]...)
	for _, call := range all {
		if call.asked && !call.answered {
			t.Errorf("sent %v after the signal, passed on, and not answered whole", call.sentAfter)
		}
	}
	if len(all) == 0 {
		t.Fatal("no call came late")
	}
}

// lateCall is a call that was sent late in a stop. asked says that a server got it, answered that its caller got the whole answer.
type lateCall struct {
	sentAfter       time.Duration
	asked, answered bool
}

// callUntil sends one call after the other on new connections until the gateway has ended. It returns those that were sent late in the stop.
func (stoppable *stoppable) callUntil(ended <-chan bool, signalled time.Time) (late []lateCall) {
	for {
		select {
		case <-ended:
			return late
		default:
		}
		conn, err := net.Dial("tcp", stoppable.gate.Addr().String())
		if err != nil {
			continue
		}
		caller, sentAfter := &caller{conn, bufio.NewReader(conn)}, time.Since(signalled)
		_ = caller.send(fmt.Sprintf("/stream/%d", sentAfter))
		status, whole, _ := caller.read()
		_ = conn.Close()
		if sentAfter > testGrace*3/8 {
			late = append(late, lateCall{sentAfter, stoppable.wasAsked(fmt.Sprintf("/stream/%d", sentAfter)), status == 200 && whole})
		}
	}
}

// wasAsked reports whether the server got a call with this path.
func (stoppable *stoppable) wasAsked(path string) bool {
	for _, call := range stoppable.received() {
		if call.request.URL.Path == path {
			return true
		}
	}
	return false
}

// TestStopOutlastsTheLongestCall guards against a stop of a node with the built-in protocol that ends while calls are left which it has taken.
func TestStopOutlastsTheLongestCall(t *testing.T) {
	settings := env.New()
	if limit := serve.StopLimit(settings); limit < settings.Bounds.Deadline() {
		t.Errorf("the stop ends after %v, a call may last %v", limit, settings.Bounds.Deadline())
	}
	settings.Gateway.Grace = testGrace
	if limit := serve.StopLimit(settings); limit >= testGrace {
		t.Errorf("the stop ends after %v of %v", limit, testGrace)
	}
}
