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

// took is one call as a stand-in server read it.
type took struct {
	server     string
	connection int
	request    *http.Request
	body       string
}

// play answers one call on its connection; the connection is closed when it gives false.
type play func(conn net.Conn, call took) bool

// stage is a gateway shell on a real socket with stand-in servers that follow one script, call by call.
type stage struct {
	lock        sync.Mutex
	script      []play
	calls       []took
	connections int
	closed      int
	open        []net.Conn
	shell       *serve.TestGateway
	front       *httptest.Server
}

func (stage *stage) took() []took {
	stage.lock.Lock()
	defer stage.lock.Unlock()
	return append([]took{}, stage.calls...)
}

func (stage *stage) left() int {
	stage.lock.Lock()
	defer stage.lock.Unlock()
	return stage.closed
}

func (stage *stage) end() {
	stage.lock.Lock()
	defer stage.lock.Unlock()
	for _, conn := range stage.open {
		_ = conn.Close()
	}
}

func (stage *stage) serve(name string, conn net.Conn) {
	defer GinkgoRecover()
	stage.lock.Lock()
	stage.connections++
	number := stage.connections
	stage.lock.Unlock()
	reader := bufio.NewReader(conn)
	for {
		request, failure := http.ReadRequest(reader)
		if failure != nil {
			break
		}
		body, _ := io.ReadAll(request.Body)
		call := took{name, number, request, string(body)}
		stage.lock.Lock()
		stage.calls = append(stage.calls, call)
		played := stage.script[min(len(stage.calls), len(stage.script))-1]
		stage.lock.Unlock()
		if !played(conn, call) {
			break
		}
	}
	_ = conn.Close()
	stage.lock.Lock()
	stage.closed++
	stage.lock.Unlock()
}

const aim = 5 * time.Second

func routes(attempts int64) gateway.ConfigurationChanged {
	read := manifest.Manifest{Regions: map[string]manifest.Region{"north": {Shards: 1}}, Zones: map[string]manifest.Zone{"north-1": {Region: "north"}},
		Gateway: manifest.Gateway{Revision: 1, Services: map[string]manifest.Service{"s": {}},
			Limits: manifest.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20}}}
	for _, route := range []manifest.GatewayRoute{{Name: "read", Kind: manifest.KindReadOnly}, {Name: "write", Kind: manifest.KindMutating},
		{Name: "stream", Kind: manifest.KindStreaming}, {Name: "resumed", Kind: manifest.KindStreaming, Resumable: true}} {
		route.Host, route.Prefix, route.Timeout, route.Aim, route.Attempts = "h.example", "/"+route.Name+"/", 20*time.Second, aim, attempts
		route.Split = []manifest.Share{{Service: "s", Weight: 1}}
		read.Gateway.Routes = read.Gateway.Routes.With(route)
	}
	return gateway.ConfigurationChanged{Manifest: read}
}

func staged(servers int, script ...play) *stage {
	GinkgoHelper()
	return stagedFor(4*time.Second, servers, script...)
}

// stagedFor is a stage with a contact time of its own.
func stagedFor(contact time.Duration, servers int, script ...play) *stage {
	GinkgoHelper()
	return newStage(contact, servers, func(end func()) { DeferCleanup(end) }, script...)
}

// newStage is a stage that cleanup ends; it needs no suite around it.
func newStage(contact time.Duration, servers int, cleanup func(func()), script ...play) *stage {
	settings := env.New(env.WithName("node"), env.WithZone("north-1"), env.WithRegion("north"))
	settings.Gateway = env.Gateway{RepeatRatio: 0.2, RepeatWindow: 10 * time.Second, RepeatAllowance: 100, Contact: contact}
	made := &stage{script: script, shell: serve.NewTestGateway(settings, platform.Face{})}
	listed := gateway.ServersListed{Region: "north"}
	for place := range servers {
		listener, failure := net.Listen("tcp", "127.0.0.1:0")
		if failure != nil {
			panic(failure)
		}
		cleanup(func() { _ = listener.Close() })
		name := fmt.Sprint("server", place)
		listed.Servers = append(listed.Servers, contract.Candidate{Name: name, Address: listener.Addr().String(), Zone: "north-1", Pool: "s", Slots: 8})
		go func() {
			for {
				conn, failure := listener.Accept()
				if failure != nil {
					return
				}
				made.lock.Lock()
				made.open = append(made.open, conn)
				made.lock.Unlock()
				go made.serve(name, conn)
			}
		}()
	}
	cleanup(made.end)
	made.shell.Learn(routes(3))
	made.shell.Learn(listed)
	made.front = httptest.NewServer(made.shell.Handler())
	cleanup(made.front.Close)
	return made
}

const identity = "9c41d07be2a35f68"

func (stage *stage) request(path, body string, headers ...string) *http.Request {
	GinkgoHelper()
	request, failure := http.NewRequest(http.MethodPost, stage.front.URL+path, strings.NewReader(body))
	Expect(failure).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", identity)
	request.Header.Set("X-Deadline-Ms", "15000")
	for place := 0; place < len(headers); place += 2 {
		request.Header.Set(headers[place], headers[place+1])
	}
	return request
}

// ask gives the answer, its body as far as it came, and why it ended.
func (stage *stage) ask(path, body string, headers ...string) (*http.Response, string, error) {
	GinkgoHelper()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, failure := client.Do(stage.request(path, body, headers...))
	Expect(failure).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, failure := io.ReadAll(response.Body)
	return response, string(content), failure
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func says(text string, stays bool) play {
	return func(conn net.Conn, _ took) bool {
		write(conn, text)
		return stays
	}
}

func headOf(status string, headers ...string) string {
	return "HTTP/1.1 " + status + "\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

var marked = []string{"X-Attempt-Id: " + identity, "X-Server-Seal: 3e1b.07"}

func sized(status, body string, headers ...string) string {
	return headOf(status, append(headers, fmt.Sprint("Content-Length: ", len(body)))...) + body
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
	return headOf("200 OK", append(marked, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")...)
}
