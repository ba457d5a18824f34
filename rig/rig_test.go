package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/site"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rig")
}

const patience = time.Minute

var (
	played *Rig
	bin    string
)

var _ = BeforeSuite(func() {
	bin = GinkgoT().TempDir()
	output, err := exec.Command("go", "build", "-o", bin, "../cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	described, err := site.Load("../deploy/seri")
	Expect(err).NotTo(HaveOccurred())
	played, err = New(described, bin, GinkgoT().TempDir(), 1)
	Expect(err).NotTo(HaveOccurred())
	Expect(played.Start()).To(Succeed())
	DeferCleanup(func() { played.Close() })
	Expect(played.Adopt(patience)).To(Succeed())
	Expect(played.Await("serving", patience, played.serves)).To(Succeed())
})

func headers(change map[string]string) map[string]string {
	given := map[string]string{"Cedar-Caller": "test", "Cedar-Route": "chats", "Idempotency-Key": "k", "Cedar-Home": "klang"}
	for name, value := range change {
		given[name] = value
	}
	return given
}

func sendBody(node *Node, method, path, body string, given map[string]string) (int, string, http.Header) {
	GinkgoHelper()
	request, err := http.NewRequest(method, "http://"+node.Settings.Data+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range given {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := played.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(content), response.Header
}

func chat(key string, pieces int, streamed bool) string {
	return fmt.Sprintf(`{"stream":%v,"messages":[{"role":"user","content":"call %s pieces %d"}]}`, streamed, key, pieces)
}

const completions = "/v1/chat/completions"

var _ = DescribeTable("a bad call is refused with the right status and did not run", func(status int, method, path, body string, change map[string]string) {
	got, content, _ := sendBody(played.Nodes[0], method, path, body, headers(change))
	Expect(got).To(Equal(status), content)
	Expect(content).To(ContainSubstring(`"not_run"`))
},
	Entry("no caller", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Caller": ""}),
	Entry("no key", 400, "POST", completions, chat("x", 1, true), map[string]string{"Idempotency-Key": ""}),
	Entry("no route", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Route": ""}),
	Entry("unknown route", 404, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Route": "nowhere"}),
	Entry("deadline that is none", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Deadline-Ms": "soon"}),
	Entry("deadline that is past", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Deadline-Ms": "-5"}),
	Entry("attempt that is none", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Attempt": "0"}),
	Entry("body that is no JSON", 400, "POST", completions, `{"messages":`, nil),
	Entry("body with a key twice", 400, "POST", completions, `{"stream":true,"stream":true,"messages":[{}]}`, nil),
	Entry("body without messages", 400, "POST", completions, `{"stream":true}`, nil),
	Entry("stream that is no truth", 400, "POST", completions, `{"stream":"yes","messages":[{}]}`, nil),
	Entry("oversized body", 413, "POST", completions, strings.Repeat(" ", 1<<20+1), nil),
	Entry("a hop that loops", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Home": "penang", "Cedar-Hop": "1"}),
	Entry("a hop without a home", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Home": "", "Cedar-Hop": "1"}),
	Entry("a hop that is forged", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Home": "penang", "Cedar-Hop": "2"}),
	Entry("a home that is no region", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Home": "moon"}),
	Entry("unknown lookup", 404, "GET", "/v1/lookups/nowhere/key", "", nil),
)

var _ = Describe("real processes", func() {
	It("stream a chat whole, meet its repeat anywhere, refuse its key with another body, and tell why", func() {
		status, content, _ := sendBody(played.Nodes[0], "POST", completions, chat("one", 5, true), headers(map[string]string{"Idempotency-Key": "one"}))
		Expect(status).To(Equal(200))
		Expect(strings.Count(content, `"number":`)).To(Equal(6))
		Expect(content).To(HaveSuffix("data: [DONE]\n\n"))
		again := map[string]string{"Idempotency-Key": "one", "Cedar-Attempt": "2"}
		status, repeat, _ := sendBody(played.Nodes[5], "POST", completions, chat("one", 5, true), headers(again))
		Expect(status).To(Equal(200))
		Expect(repeat).To(Equal(content))
		status, _, _ = sendBody(played.Nodes[5], "POST", completions, chat("two", 5, true), headers(again))
		Expect(status).To(Equal(422))
		status, told, _ := sendBody(played.Nodes[11], "GET", "/v1/why/one", "", nil)
		Expect(status).To(Equal(200))
		Expect(told).To(ContainSubstring("chosen: "))
		status, told, _ = sendBody(played.Nodes[3], "GET", "/v1/calls/one", "", map[string]string{"Cedar-Caller": "test"})
		Expect(status).To(Equal(200))
		Expect(told).To(ContainSubstring(`"done"`))
	})

	It("pass a call on to its home, whole, and meet its repeat and its key there; a home out of reach is a refusal at once", func() {
		away := map[string]string{"Idempotency-Key": "away", "Cedar-Home": "penang"}
		status, content, _ := sendBody(played.Nodes[0], "POST", completions, chat("away", 5, true), headers(away))
		Expect(status).To(Equal(200), content)
		Expect(content).To(HaveSuffix("data: [DONE]\n\n"))
		status, repeat, _ := sendBody(played.Nodes[10], "POST", completions, chat("away", 5, true), headers(away))
		Expect(status).To(Equal(200))
		Expect(repeat).To(Equal(content))
		status, told, _ := sendBody(played.Nodes[1], "GET", "/v1/calls/away", "", map[string]string{"Cedar-Caller": "test", "Cedar-Home": "penang"})
		Expect(status).To(Equal(200))
		Expect(told).To(ContainSubstring(`"done"`))
		status, told, _ = sendBody(played.Nodes[1], "GET", "/v1/lookups/refunds/some", "", headers(map[string]string{"Cedar-Home": "penang"}))
		Expect(status).To(Equal(200))
		Expect(told).To(ContainSubstring(`"free"`))
		status, told, _ = sendBody(played.Nodes[11], "GET", "/v1/why/away", "", nil)
		Expect(status).To(Equal(200))
		Expect(told).To(ContainSubstring("passed on"))
		home := played.where(func(node *Node) bool { return node.Machine.Region == "penang" })
		played.Cut(played.Nodes[:1], home)
		Expect(played.Await("a refusal", patience, func() bool {
			var header http.Header
			status, told, header = sendBody(played.Nodes[0], "POST", completions, chat("off", 5, true), headers(map[string]string{"Idempotency-Key": "off", "Cedar-Home": "penang"}))
			return status == 503 && header.Get("Retry-After") != ""
		})).To(Succeed())
		Expect(told).To(ContainSubstring(`"not_run"`))
		played.Heal()
	})

	It("answer a unary call and a lookup", func() {
		status, content, _ := sendBody(played.Nodes[1], "POST", completions, chat("unary", 3, false), headers(map[string]string{"Idempotency-Key": "unary"}))
		Expect(status).To(Equal(200))
		Expect(content).To(ContainSubstring(`"finish_reason":"stop"`))
		status, content, _ = sendBody(played.Nodes[1], "GET", "/v1/lookups/refunds/some", "", headers(nil))
		Expect(status).To(Equal(200))
		Expect(content).To(ContainSubstring(`"free"`))
	})

	It("never make a success of a server's broken, foreign or truncated reply", func() {
		for _, mode := range []string{"cut", "wrong"} {
			for _, server := range played.servers {
				server.Mode(mode)
			}
			status, content, _ := sendBody(played.Nodes[2], "POST", completions, chat("bad", 4, false), headers(map[string]string{"Idempotency-Key": "bad-" + mode}))
			Expect(status).To(Equal(502), content)
			Expect(content).To(ContainSubstring(`"unknown"`))
		}
		for _, server := range played.servers {
			server.Mode("")
		}
	})

	It("give operators the same answer at every node, and refuse bad input without a change", func() {
		answers := map[string]bool{}
		for _, node := range played.Nodes {
			for _, address := range []string{node.Settings.Control, node.Settings.Data} {
				status, content, err := played.Operate(address, "GET", "/v1/manifest", "", nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(status).To(Equal(200))
				answers[string(content)] = true
			}
		}
		Expect(answers).To(HaveLen(1))
		for body, part := range map[string]string{`{"zones":{"x":{"region":"moon"}},"nane":1}`: "nane", `{"homes":{"a":"klang","a":"klang"}}`: "twice", `{} {}`: "after the end"} {
			status, content, _ := played.Operate(played.Nodes[4].Settings.Data, "PATCH", "/v1/manifest", "bad", []byte(body))
			Expect(status).To(Equal(400), string(content))
			Expect(string(content)).To(ContainSubstring(part))
		}
		status, _, _ := played.Operate(played.Nodes[4].Settings.Data, "PUT", "/v1/manifest?base=0", "stale", played.Site.Manifest)
		Expect(status).To(Equal(409))
		status, _, _ = played.Operate(played.Nodes[4].Settings.Control, "PATCH", "/v1/manifest", "large", bytes.Repeat([]byte(" "), 1<<20+1))
		Expect(status).To(Equal(413))
		status, _, _ = played.Operate(played.Nodes[4].Settings.Control, "PATCH", "/v1/manifest", "", []byte(`{}`))
		Expect(status).To(Equal(400))
		status, _, _ = played.Operate(played.Nodes[4].Settings.Control, "GET", "/v1/manifest?revision=99", "", nil)
		Expect(status).To(Equal(404))
	})

	It("end with the exit codes that are promised", func() {
		bad := filepath.Join(GinkgoT().TempDir(), "env.json")
		Expect(os.WriteFile(bad, []byte(`{"name":"m","seeds":[],"control":"nowhere"}`), 0o600)).To(Succeed())
		for _, program := range []string{"cedarcp", "cedardp"} {
			output, err := exec.Command(filepath.Join(bin, program), "--env", bad, "--check").CombinedOutput()
			Expect(err).To(MatchError("exit status 2"))
			for _, part := range []string{"zone:", "region:", "control:", "seeds:", "platform:"} {
				Expect(string(output)).To(ContainSubstring(part))
			}
			output, err = exec.Command(filepath.Join(bin, program), "--version").CombinedOutput()
			Expect(err).NotTo(HaveOccurred())
			Expect(string(output)).To(HavePrefix(program))
		}
		control := func(words ...string) (string, error) {
			output, err := exec.Command(filepath.Join(bin, "cedarctl"), append([]string{"--node", played.Nodes[8].Settings.Data}, words...)...).CombinedOutput()
			return string(output), err
		}
		told, err := control("--json", "get")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Valid([]byte(told))).To(BeTrue())
		_, err = control("drain")
		Expect(err).To(MatchError("exit status 2"))
		_, err = control("drain", "nowhere")
		Expect(err).To(MatchError("exit status 3"))
		told, err = control("members")
		Expect(err).NotTo(HaveOccurred())
		Expect(told).To(ContainSubstring("m12-control"))
	})

	It("finish what streams when they are told to stop, and end with 0", func() {
		node, ended := played.Nodes[3], make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, content, _ := sendBody(node, "POST", completions, chat("last", 60, true), headers(map[string]string{"Idempotency-Key": "last"}))
			ended <- content
		}()
		Expect(played.Await("the stream", patience, func() bool {
			running, _ := played.Gauge(node.Settings.Data, "calls_now")
			return running > 0
		})).To(Succeed())
		Expect(node.Stop()).To(BeTrue())
		Expect(<-ended).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(node.Start()).To(Succeed())
	})
})

var _ = Describe("signals that come while a program starts", func() {
	// starting runs a program that has come to its first line and waits for its settings, which it reads from a pipe.
	starting := func(name string) (*exec.Cmd, *os.File) {
		GinkgoHelper()
		pipe := filepath.Join(GinkgoT().TempDir(), "env.json")
		Expect(syscall.Mkfifo(pipe, 0o600)).To(Succeed())
		command := exec.Command(filepath.Join(bin, name), "--env", pipe)
		Expect(command.Start()).To(Succeed())
		DeferCleanup(func() { _ = command.Process.Kill() })
		settings, failure := os.OpenFile(pipe, os.O_WRONLY, 0)
		Expect(failure).NotTo(HaveOccurred())
		return command, settings
	}

	for _, name := range programNames {
		It("given "+name+", when SIGHUP and then SIGTERM come before it has its settings, then it starts, stops as ordered, and ends with 0", func() {
			fresh, failure := played.newNode(site.Machine{Name: "m99", Zone: "klang-a", Region: "klang"})
			Expect(failure).NotTo(HaveOccurred())
			fresh.Settings.Seeds = played.seeds()
			command, settings := starting(name)
			Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
			Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
			_, failure = settings.Write(fresh.Settings.JSON())
			Expect(failure).NotTo(HaveOccurred())
			Expect(settings.Close()).To(Succeed())
			Expect(command.Wait()).To(Succeed())
		})
	}
})

var _ = It("a model server that is away keeps an address that the kernel gives to no link", func() {
	described, failure := site.Load("../deploy/seri")
	Expect(failure).NotTo(HaveOccurred())
	played, failure := New(described, bin, GinkgoT().TempDir(), 1)
	Expect(failure).NotTo(HaveOccurred())
	for _, server := range played.Platform.servers {
		_, port, failure := net.SplitHostPort(server.Address)
		Expect(failure).NotTo(HaveOccurred())
		number, failure := strconv.Atoi(port)
		Expect(failure).NotTo(HaveOccurred())
		Expect(number).To(And(BeNumerically(">=", firstPort), BeNumerically("<", firstPort+portRanges*portCount)), server.Row.Name)
		server.Crash()
	}
})

// What was seen: a soak on a busy machine ended with "address already in use" as a server was replaced. Cause: a process that is being started
// holds copies of the rig's sockets until it runs its own program, so that a closed listener is still there when the server listens again.
// Evidence: beside processes that start all the time 12,192 of 15,484 such tries failed, without them none of 3,588.
var _ = It("a model server that is replaced listens again while processes start beside it", func() {
	described, failure := site.Load("../deploy/seri")
	Expect(failure).NotTo(HaveOccurred())
	played, failure := New(described, bin, GinkgoT().TempDir(), 1)
	Expect(failure).NotTo(HaveOccurred())
	stop, group := make(chan struct{}), sync.WaitGroup{}
	for range 4 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command(filepath.Join(bin, "cedarctl"), "--help").Run()
				}
			}
		})
	}
	server := played.Platform.servers[0]
	for range 200 {
		Expect(played.Platform.Replace(server)).To(Succeed())
	}
	close(stop)
	group.Wait()
	for _, server := range played.Platform.servers {
		server.Crash()
	}
})

var _ = It("a fleet bears a soak: signals, restarts, changes, departures and cuts in overlapping series", func() {
	described, failure := site.Load("../deploy/seri")
	Expect(failure).NotTo(HaveOccurred())
	clean, failure := Play(Plan{Site: described, Bin: bin, Folder: GinkgoT().TempDir(), Span: 30 * time.Second, Rate: 0.5, Seed: 1, Story: "soak",
		Say: func(text string) { GinkgoWriter.Println(text) }})
	Expect(failure).NotTo(HaveOccurred())
	Expect(clean).To(BeTrue())
})
