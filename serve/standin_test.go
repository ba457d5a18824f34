package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/gateway"
	"github.com/cedarreel/cedarreel/manifest"
	"github.com/cedarreel/cedarreel/platform"
	"github.com/cedarreel/cedarreel/serve"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// received is one call as a fake server read it.
type received struct {
	server     string
	connection int
	request    *http.Request
	body       string
}

// responder answers one call on its connection. The connection is closed if it returns false.
type responder func(conn net.Conn, call received) bool

// fixture is a gateway on a real socket with fake servers, which share a list of responders for the calls in their order.
type fixture struct {
	lock        sync.Mutex
	responders  []responder
	calls       []received
	connections int
	closed      int
	open        []net.Conn
	proxy       *serve.TestGateway
	frontend    *httptest.Server
}

func (fixture *fixture) received() []received {
	fixture.lock.Lock()
	defer fixture.lock.Unlock()
	return append([]received{}, fixture.calls...)
}

func (fixture *fixture) closedConnections() int {
	fixture.lock.Lock()
	defer fixture.lock.Unlock()
	return fixture.closed
}

func (fixture *fixture) closeAll() {
	fixture.lock.Lock()
	defer fixture.lock.Unlock()
	for _, conn := range fixture.open {
		_ = conn.Close()
	}
}

func (fixture *fixture) serve(name string, conn net.Conn) {
	defer GinkgoRecover()
	fixture.lock.Lock()
	fixture.connections++
	number := fixture.connections
	fixture.lock.Unlock()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		body, _ := io.ReadAll(request.Body)
		call := received{name, number, request, string(body)}
		fixture.lock.Lock()
		fixture.calls = append(fixture.calls, call)
		respond := fixture.responders[min(len(fixture.calls), len(fixture.responders))-1]
		fixture.lock.Unlock()
		if !respond(conn, call) {
			break
		}
	}
	_ = conn.Close()
	fixture.lock.Lock()
	fixture.closed++
	fixture.lock.Unlock()
}

const latencyTarget = 5 * time.Second

func routes(attempts int64) gateway.ConfigurationChanged {
	read := manifest.Manifest{Regions: map[string]manifest.Region{"north": {Shards: 1}}, Zones: map[string]manifest.Zone{"north-1": {Region: "north"}},
		Gateway: manifest.Gateway{Revision: 1, Services: map[string]manifest.Service{"s": {}},
			Limits: manifest.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20}}}
	for _, route := range []manifest.GatewayRoute{{Name: "read", Kind: manifest.KindReadOnly}, {Name: "write", Kind: manifest.KindMutating},
		{Name: "stream", Kind: manifest.KindStreaming}, {Name: "resumed", Kind: manifest.KindStreaming, Resumable: true}} {
		route.Host, route.Prefix, route.Timeout, route.LatencyTarget, route.MaxAttempts = "h.example", "/"+route.Name+"/", 20*time.Second, latencyTarget, attempts
		route.Split = []manifest.WeightedService{{Service: "s", Weight: 1}}
		read.Gateway.Routes = read.Gateway.Routes.With(route)
	}
	return gateway.ConfigurationChanged{Manifest: read}
}

func setUp(servers int, script ...responder) *fixture {
	GinkgoHelper()
	return setUpWithContact(4*time.Second, servers, script...)
}

// setUpWithContact returns a fixture with the given contact time.
func setUpWithContact(contact time.Duration, servers int, script ...responder) *fixture {
	GinkgoHelper()
	return newFixture(contact, servers, func(end func()) { DeferCleanup(end) }, script...)
}

// newFixture returns a fixture that cleanup ends. It can be used outside of a Ginkgo suite.
func newFixture(contact time.Duration, servers int, cleanup func(func()), responders ...responder) *fixture {
	settings := env.New(env.WithName("node"), env.WithZone("north-1"), env.WithRegion("north"))
	settings.Gateway = env.Gateway{RepeatRatio: 0.2, RepeatWindow: 10 * time.Second, RepeatAllowance: 100, Contact: contact, Grace: testGrace, LookupLife: testLookupLife}
	created := &fixture{responders: responders, proxy: serve.NewTestGateway(settings, platform.Adapter{})}
	listed := gateway.ServersListed{Region: "north"}
	for position := range servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		cleanup(func() { _ = listener.Close() })
		name := fmt.Sprint("server", position)
		listed.Servers = append(listed.Servers, contract.Candidate{Name: name, Address: listener.Addr().String(), Zone: "north-1", Pool: "s", Slots: 8})
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				created.lock.Lock()
				created.open = append(created.open, conn)
				created.lock.Unlock()
				go created.serve(name, conn)
			}
		}()
	}
	cleanup(created.closeAll)
	created.proxy.Apply(routes(3))
	created.proxy.Apply(listed)
	created.frontend = httptest.NewServer(created.proxy.Handler())
	cleanup(created.frontend.Close)
	return created
}

const attemptID = "9c41d07be2a35f68"

func (fixture *fixture) request(path, body string, headers ...string) *http.Request {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodPost, fixture.frontend.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", attemptID)
	request.Header.Set("X-Deadline-Ms", "15000")
	for position := 0; position < len(headers); position += 2 {
		request.Header.Set(headers[position], headers[position+1])
	}
	return request
}

// ask sends a call and returns the answer, its body as far as it arrived, and the error that ended it.
func (fixture *fixture) ask(path, body string, headers ...string) (*http.Response, string, error) {
	GinkgoHelper()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(fixture.request(path, body, headers...))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func respondWith(text string, stays bool) responder {
	return func(conn net.Conn, _ received) bool {
		write(conn, text)
		return stays
	}
}

func responseHead(status string, headers ...string) string {
	return "HTTP/1.1 " + status + "\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

var serverHeaders = []string{"X-Attempt-Id: " + attemptID, "X-Server-Seal: 3e1b.07"}

func sizedResponse(status, body string, headers ...string) string {
	return responseHead(status, append(headers, fmt.Sprint("Content-Length: ", len(body)))...) + body
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

func events(first, last int) string {
	text := ""
	for number := first; number <= last; number++ {
		text += event(number)
	}
	return text
}

func streamHead() string {
	return responseHead("200 OK", append(serverHeaders, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")...)
}
