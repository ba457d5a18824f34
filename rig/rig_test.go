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

const waitLimit = time.Minute

var (
	fleet *Rig
	bin   string
)

var _ = BeforeSuite(func() {
	bin = GinkgoT().TempDir()
	output, err := exec.Command("go", "build", "-o", bin, "../cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	description, err := site.Load("../deploy/seri")
	Expect(err).NotTo(HaveOccurred())
	fleet, err = New(description, bin, GinkgoT().TempDir(), 1)
	Expect(err).NotTo(HaveOccurred())
	Expect(fleet.Start()).To(Succeed())
	DeferCleanup(func() { fleet.Close() })
	Expect(fleet.InstallManifest(waitLimit)).To(Succeed())
	Expect(fleet.Await("serving", waitLimit, fleet.isServing)).To(Succeed())
})

// headers returns the headers of a valid call with some of them changed; an empty value removes a header.
func headers(change map[string]string) map[string]string {
	values := map[string]string{"Cedar-Caller": "test", "Cedar-Route": "chats", "Idempotency-Key": "k", "Cedar-Home": "klang"}
	for name, value := range change {
		values[name] = value
	}
	return values
}

// sendBody sends a request to a node's data address and returns the status, body and headers of the answer.
func sendBody(node *Node, method, path, body string, values map[string]string) (int, string, http.Header) {
	GinkgoHelper()
	request, err := http.NewRequest(method, "http://"+node.Settings.Data+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range values {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := fleet.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(content), response.Header
}

// chat returns the body of a chat completion whose reply has so many pieces.
func chat(key string, pieces int, streamed bool) string {
	return fmt.Sprintf(`{"stream":%v,"messages":[{"role":"user","content":"call %s pieces %d"}]}`, streamed, key, pieces)
}

const completions = "/v1/chat/completions"

var _ = DescribeTable("a bad call is refused with the right status and does not run", func(status int, method, path, body string, change map[string]string) {
	got, content, _ := sendBody(fleet.Nodes[0], method, path, body, headers(change))
	Expect(got).To(Equal(status), content)
	Expect(content).To(ContainSubstring(`"not_run"`))
},
	Entry("no caller", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Caller": ""}),
	Entry("no key", 400, "POST", completions, chat("x", 1, true), map[string]string{"Idempotency-Key": ""}),
	Entry("no route", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Route": ""}),
	Entry("unknown route", 404, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Route": "nowhere"}),
	Entry("malformed deadline", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Deadline-Ms": "soon"}),
	Entry("negative deadline", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Deadline-Ms": "-5"}),
	Entry("attempt number zero", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Attempt": "0"}),
	Entry("malformed JSON", 400, "POST", completions, `{"messages":`, nil),
	Entry("duplicate key in the body", 400, "POST", completions, `{"stream":true,"stream":true,"messages":[{}]}`, nil),
	Entry("body without messages", 400, "POST", completions, `{"stream":true}`, nil),
	Entry("stream that is not a boolean", 400, "POST", completions, `{"stream":"yes","messages":[{}]}`, nil),
	Entry("oversized body", 413, "POST", completions, strings.Repeat(" ", 1<<20+1), nil),
	Entry("a forwarded call away from its home", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Home": "penang", "Cedar-Hop": "1"}),
	Entry("a forwarded call without a home", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Home": "", "Cedar-Hop": "1"}),
	Entry("an invalid hop count", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Home": "penang", "Cedar-Hop": "2"}),
	Entry("a home that is not a region", 400, "POST", completions, chat("x", 1, true), map[string]string{"Cedar-Home": "moon"}),
	Entry("unknown lookup", 404, "GET", "/v1/lookups/nowhere/key", "", nil),
)

var _ = Describe("real processes", func() {
	It("stream a complete chat, replay it to a repeat at any node, refuse its key with another body, and explain the choice of server", func() {
		status, content, _ := sendBody(fleet.Nodes[0], "POST", completions, chat("one", 5, true), headers(map[string]string{"Idempotency-Key": "one"}))
		Expect(status).To(Equal(200))
		Expect(strings.Count(content, `"number":`)).To(Equal(6))
		Expect(content).To(HaveSuffix("data: [DONE]\n\n"))
		again := map[string]string{"Idempotency-Key": "one", "Cedar-Attempt": "2"}
		status, repeat, _ := sendBody(fleet.Nodes[5], "POST", completions, chat("one", 5, true), headers(again))
		Expect(status).To(Equal(200))
		Expect(repeat).To(Equal(content))
		status, _, _ = sendBody(fleet.Nodes[5], "POST", completions, chat("two", 5, true), headers(again))
		Expect(status).To(Equal(422))
		status, answer, _ := sendBody(fleet.Nodes[11], "GET", "/v1/why/one", "", nil)
		Expect(status).To(Equal(200))
		Expect(answer).To(ContainSubstring("chosen: "))
		status, answer, _ = sendBody(fleet.Nodes[3], "GET", "/v1/calls/one", "", map[string]string{"Cedar-Caller": "test"})
		Expect(status).To(Equal(200))
		Expect(answer).To(ContainSubstring(`"done"`))
	})

	It("forward a call and its repeats to its home region, and refuse the call at once if that region is unreachable", func() {
		away := map[string]string{"Idempotency-Key": "away", "Cedar-Home": "penang"}
		status, content, _ := sendBody(fleet.Nodes[0], "POST", completions, chat("away", 5, true), headers(away))
		Expect(status).To(Equal(200), content)
		Expect(content).To(HaveSuffix("data: [DONE]\n\n"))
		status, repeat, _ := sendBody(fleet.Nodes[10], "POST", completions, chat("away", 5, true), headers(away))
		Expect(status).To(Equal(200))
		Expect(repeat).To(Equal(content))
		status, told, _ := sendBody(fleet.Nodes[1], "GET", "/v1/calls/away", "", map[string]string{"Cedar-Caller": "test", "Cedar-Home": "penang"})
		Expect(status).To(Equal(200))
		Expect(told).To(ContainSubstring(`"done"`))
		status, told, _ = sendBody(fleet.Nodes[1], "GET", "/v1/lookups/refunds/some", "", headers(map[string]string{"Cedar-Home": "penang"}))
		Expect(status).To(Equal(200))
		Expect(told).To(ContainSubstring(`"free"`))
		status, told, _ = sendBody(fleet.Nodes[11], "GET", "/v1/why/away", "", nil)
		Expect(status).To(Equal(200))
		Expect(told).To(ContainSubstring("passed on"))
		home := fleet.nodesWhere(func(node *Node) bool { return node.Machine.Region == "penang" })
		fleet.Cut(fleet.Nodes[:1], home)
		Expect(fleet.Await("a refusal", waitLimit, func() bool {
			var header http.Header
			status, told, header = sendBody(fleet.Nodes[0], "POST", completions, chat("off", 5, true), headers(map[string]string{"Idempotency-Key": "off", "Cedar-Home": "penang"}))
			return status == 503 && header.Get("Retry-After") != ""
		})).To(Succeed())
		Expect(told).To(ContainSubstring(`"not_run"`))
		fleet.Heal()
	})

	It("answer a unary call and a lookup", func() {
		status, content, _ := sendBody(fleet.Nodes[1], "POST", completions, chat("unary", 3, false), headers(map[string]string{"Idempotency-Key": "unary"}))
		Expect(status).To(Equal(200))
		Expect(content).To(ContainSubstring(`"finish_reason":"stop"`))
		status, content, _ = sendBody(fleet.Nodes[1], "GET", "/v1/lookups/refunds/some", "", headers(nil))
		Expect(status).To(Equal(200))
		Expect(content).To(ContainSubstring(`"free"`))
	})

	It("never report success for a truncated reply or one to another call", func() {
		for _, mode := range []string{"cut", "wrong"} {
			for _, server := range fleet.servers {
				server.SetMode(mode)
			}
			status, content, _ := sendBody(fleet.Nodes[2], "POST", completions, chat("bad", 4, false), headers(map[string]string{"Idempotency-Key": "bad-" + mode}))
			Expect(status).To(Equal(502), content)
			Expect(content).To(ContainSubstring(`"unknown"`))
		}
		for _, server := range fleet.servers {
			server.SetMode("")
		}
	})

	It("give operators the same answer at every node, and refuse bad input", func() {
		answers := map[string]bool{}
		for _, node := range fleet.Nodes {
			for _, address := range []string{node.Settings.Control, node.Settings.Data} {
				status, content, err := fleet.Operate(address, "GET", "/v1/manifest", "", nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(status).To(Equal(200))
				answers[string(content)] = true
			}
		}
		Expect(answers).To(HaveLen(1))
		for body, part := range map[string]string{`{"zones":{"x":{"region":"moon"}},"nane":1}`: "nane", `{"homes":{"a":"klang","a":"klang"}}`: "twice", `{} {}`: "after the end"} {
			status, content, _ := fleet.Operate(fleet.Nodes[4].Settings.Data, "PATCH", "/v1/manifest", "bad", []byte(body))
			Expect(status).To(Equal(400), string(content))
			Expect(string(content)).To(ContainSubstring(part))
		}
		status, _, _ := fleet.Operate(fleet.Nodes[4].Settings.Data, "PUT", "/v1/manifest?base=0", "stale", fleet.Site.Manifest)
		Expect(status).To(Equal(409))
		status, _, _ = fleet.Operate(fleet.Nodes[4].Settings.Control, "PATCH", "/v1/manifest", "large", bytes.Repeat([]byte(" "), 1<<20+1))
		Expect(status).To(Equal(413))
		status, _, _ = fleet.Operate(fleet.Nodes[4].Settings.Control, "PATCH", "/v1/manifest", "", []byte(`{}`))
		Expect(status).To(Equal(400))
		status, _, _ = fleet.Operate(fleet.Nodes[4].Settings.Control, "GET", "/v1/manifest?revision=99", "", nil)
		Expect(status).To(Equal(404))
	})

	It("end with the documented exit codes", func() {
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
			output, err := exec.Command(filepath.Join(bin, "cedarctl"), append([]string{"--node", fleet.Nodes[8].Settings.Data}, words...)...).CombinedOutput()
			return string(output), err
		}
		output, err := control("--json", "get")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Valid([]byte(output))).To(BeTrue())
		_, err = control("drain")
		Expect(err).To(MatchError("exit status 2"))
		_, err = control("drain", "nowhere")
		Expect(err).To(MatchError("exit status 3"))
		output, err = control("members")
		Expect(err).NotTo(HaveOccurred())
		Expect(output).To(ContainSubstring("m12-control"))
	})

	It("complete running streams on SIGTERM and exit with code 0", func() {
		node, ended := fleet.Nodes[3], make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, content, _ := sendBody(node, "POST", completions, chat("last", 60, true), headers(map[string]string{"Idempotency-Key": "last"}))
			ended <- content
		}()
		Expect(fleet.Await("the stream", waitLimit, func() bool {
			running, _ := fleet.Metric(node.Settings.Data, "calls_now")
			return running > 0
		})).To(Succeed())
		Expect(node.Stop()).To(BeTrue())
		Expect(<-ended).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(node.Start()).To(Succeed())
	})
})

var _ = Describe("signals that come while a program starts", func() {
	// starting starts a program that runs its first lines and then waits for its settings, which it reads from a pipe.
	starting := func(name string) (*exec.Cmd, *os.File) {
		GinkgoHelper()
		pipe := filepath.Join(GinkgoT().TempDir(), "env.json")
		Expect(syscall.Mkfifo(pipe, 0o600)).To(Succeed())
		command := exec.Command(filepath.Join(bin, name), "--env", pipe)
		Expect(command.Start()).To(Succeed())
		DeferCleanup(func() { _ = command.Process.Kill() })
		settings, err := os.OpenFile(pipe, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		return command, settings
	}

	for _, name := range programNames {
		It("given "+name+", when SIGHUP and SIGTERM arrive before it has read its settings, then it starts, stops gracefully and exits with code 0", func() {
			fresh, err := fleet.newNode(site.Machine{Name: "m99", Zone: "klang-a", Region: "klang"})
			Expect(err).NotTo(HaveOccurred())
			fresh.Settings.Seeds = fleet.seedAddresses()
			command, settings := starting(name)
			Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
			Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
			_, err = settings.Write(fresh.Settings.JSON())
			Expect(err).NotTo(HaveOccurred())
			Expect(settings.Close()).To(Succeed())
			Expect(command.Wait()).To(Succeed())
		})
	}
})

var _ = It("a model server that is down keeps an address that the kernel assigns to no connection", func() {
	description, err := site.Load("../deploy/seri")
	Expect(err).NotTo(HaveOccurred())
	fleet, err := New(description, bin, GinkgoT().TempDir(), 1)
	Expect(err).NotTo(HaveOccurred())
	for _, server := range fleet.Platform.servers {
		_, port, err := net.SplitHostPort(server.Address)
		Expect(err).NotTo(HaveOccurred())
		number, err := strconv.Atoi(port)
		Expect(err).NotTo(HaveOccurred())
		Expect(number).To(And(BeNumerically(">=", firstPort), BeNumerically("<", firstPort+portCount)), server.Spec.Name)
		server.Crash()
	}
})

// Guards against "address already in use" when a server is replaced on a busy machine: until a child process executes its program, it holds
// copies of the rig's sockets, so a closed listener can still exist when the server listens again. While processes started all the time, 12,192
// of 15,484 attempts without retries failed; otherwise none of 3,588.
var _ = It("a model server that is replaced can listen again while other processes start", func() {
	description, err := site.Load("../deploy/seri")
	Expect(err).NotTo(HaveOccurred())
	fleet, err := New(description, bin, GinkgoT().TempDir(), 1)
	Expect(err).NotTo(HaveOccurred())
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
	server := fleet.Platform.servers[0]
	for range 200 {
		Expect(fleet.Platform.Replace(server)).To(Succeed())
	}
	close(stop)
	group.Wait()
	for _, server := range fleet.Platform.servers {
		server.Crash()
	}
})

var _ = It("a fleet passes a soak of overlapping signals, restarts, manifest writes, departures and cuts", func() {
	description, err := site.Load("../deploy/seri")
	Expect(err).NotTo(HaveOccurred())
	clean, err := Play(Plan{Site: description, Bin: bin, Folder: GinkgoT().TempDir(), Span: 30 * time.Second, Rate: 0.5, Seed: 1, Story: "soak",
		Log: func(text string) { GinkgoWriter.Println(text) }})
	Expect(err).NotTo(HaveOccurred())
	Expect(clean).To(BeTrue())
})
