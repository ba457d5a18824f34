package serve

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/answers"
	"github.com/cedarreel/cedarreel/call"
	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/data"
	"github.com/cedarreel/cedarreel/env"
	"github.com/cedarreel/cedarreel/link"
	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestServe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "serve")
}

// idleMachine is a state machine that ignores all events.
type idleMachine struct{}

func (idleMachine) Handle(time.Duration, contract.Event) []contract.Command { return nil }

// chunkOfThousand is a chunk of a body.
var chunkOfThousand = "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"

// testProcessors is the processor quota of the processes of these tests.
const testProcessors = 0.4

// runOneAttempt sends one call to a server with this handler, and returns the result and the number of requests that the server got.
func runOneAttempt(handler http.HandlerFunc, until time.Duration) (data.AttemptEnded, int64) {
	var seen atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		seen.Add(1)
		_, _ = io.ReadAll(request.Body)
		handler(writer, request)
	}))
	defer server.Close()
	settings := env.New()
	base := &Process{Settings: settings, Loop: link.NewLoop(idleMachine{}, time.Hour, nil, log.NewNopLogger())}
	process := &dataProcess{Process: base, sessions: map[int64]*session{}, cancels: map[attemptKey]context.CancelFunc{}}
	process.answers = newAnswerLimiter(answers.NewBudget(env.DefaultMemoryBytes, testProcessors), process.Loop)
	process.client = &http.Client{Transport: process.transport(), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	open := &session{process: process, callRequest: callRequest{path: "/v1/chat/completions", body: []byte(`{"messages":[{}]}`)}, pending: newReplyBuffer(&process.bufferedBytes, 1<<20), callerGone: make(chan struct{})}
	command := data.Dispatch{Token: 1, Attempt: 1, AttemptID: "identity", SendBefore: until, Timeout: time.Minute,
		Server: contract.Candidate{Name: "s", Address: strings.TrimPrefix(server.URL, "http://")}}
	result := process.runAttempt(context.Background(), open, command)
	return result, seen.Load()
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = DescribeTable("an attempt at a server", func(handler http.HandlerFunc, until time.Duration, result call.Result, sent int64) {
	ended, seen := runOneAttempt(handler, until)
	Expect(ended.Result).To(Equal(result), ended.Error)
	Expect(seen).To(Equal(sent))
},
	Entry("after its lease lapsed sends nothing", http.HandlerFunc(abort), time.Duration(0), call.NotSent, int64(0)),
	Entry("whose link breaks is sent once and its end is not known", http.HandlerFunc(abort), time.Hour, call.NoReply, int64(1)),
	Entry("that is redirected goes nowhere else", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		http.Redirect(writer, request, "/elsewhere", http.StatusTemporaryRedirect)
	}), time.Hour, call.NoReply, int64(1)),
	Entry("that is refused for this very call did not run", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Cedar-Not-Run", "identity")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}), time.Hour, call.Refused, int64(1)),
	Entry("that is refused for another call is not known", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Cedar-Not-Run", "another")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}), time.Hour, call.NoReply, int64(1)),
	Entry("whose reply is shorter than it said is not whole", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", "500")
		_, _ = io.WriteString(writer, `{"id":"identity","choices":[{"message":{"content":"yes"},"finish_reason":"stop"}]}`)
	}), time.Hour, call.NoReply, int64(1)),
	Entry("whose reply is larger than its bound is not whole", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, strings.Repeat(" ", 2<<20))
	}), time.Hour, call.NoReply, int64(1)),
	Entry("that answers whole is whole", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, `{"id":"identity","choices":[{"message":{"content":"yes"},"finish_reason":"stop"}]}`)
	}), time.Hour, call.CompleteReply, int64(1)),
)

var _ = DescribeTable("an attempt at a server that sends without end ends at a bound, long before its time is over", func(head, unit, bound string) {
	began := time.Now()
	ended, _ := runOneAttempt(func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, head)
		for block := strings.Repeat(unit, 1+(32<<10)/len(unit)); err == nil; {
			_, err = io.WriteString(conn, block)
		}
	}, time.Hour)
	Expect(ended.Result).To(Equal(call.NoReply))
	Expect(ended.Error).To(ContainSubstring(bound))
	Expect(time.Since(began)).To(BeNumerically("<", 20*time.Second))
},
	Entry("a header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x", "head"),
	Entry("header lines", "HTTP/1.1 200 OK\r\n", "X-More: y\r\n", "head_size"),
	Entry("chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "pace"),
	Entry("a body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOfThousand, "reply_size"),
)

var _ = It("a link that was made in time sends nothing when its first byte comes late", func() {
	local, remote := net.Pipe()
	process := &dataProcess{Process: &Process{Settings: env.New(), Loop: link.NewLoop(idleMachine{}, time.Hour, nil, log.NewNopLogger())}}
	late := leasedConn{local, &leaseGuard{process: process, sendBefore: 0}}
	_, err := late.Write([]byte("call"))
	Expect(err).To(HaveOccurred())
	Expect(late.sent.Load()).To(BeFalse())
	Expect(local.Close()).To(Succeed())
	left, _ := io.ReadAll(remote)
	Expect(left).To(BeEmpty())
})

var _ = It("what a server says to a caller that has gone is not held", func() {
	bufferedBytes := atomic.Int64{}
	buffer := newReplyBuffer(&bufferedBytes, 100)
	Expect(buffer.put(replyItem{chunk: "before"})).To(BeTrue())
	buffer.close()
	Expect(buffer.put(replyItem{chunk: "after"})).To(BeTrue())
	Expect(bufferedBytes.Load()).To(BeZero())
})

var _ = It("a caller that reads nothing holds no server, and is cut when too much waits for callers", func() {
	process := &dataProcess{Process: &Process{Settings: env.New(), Loop: link.NewLoop(idleMachine{}, time.Hour, nil, log.NewNopLogger())},
		sessions: map[int64]*session{}, cancels: map[attemptKey]context.CancelFunc{}}
	process.answers = newAnswerLimiter(answers.NewBudget(env.DefaultMemoryBytes, testProcessors), process.Loop)
	process.client = &http.Client{Transport: process.transport()}
	stream := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/event-stream")
		for position := range 500 {
			_, _ = fmt.Fprintf(writer, "data: {\"id\":\"identity\",\"number\":%d,\"choices\":[{\"delta\":{\"content\":\"%s\"},\"finish_reason\":null}]}\n\n", position, strings.Repeat("x", 1000))
		}
		_, _ = io.WriteString(writer, "data: {\"id\":\"identity\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}
	server := httptest.NewServer(http.HandlerFunc(stream))
	defer server.Close()
	unread := func(limit int64) data.AttemptEnded {
		open := &session{process: process, callRequest: callRequest{path: "/", stream: true}, pending: newReplyBuffer(&process.bufferedBytes, limit), callerGone: make(chan struct{})}
		return process.runAttempt(context.Background(), open, data.Dispatch{Token: 1, Attempt: 1, AttemptID: "identity", SendBefore: time.Hour, Timeout: time.Minute,
			Server: contract.Candidate{Address: strings.TrimPrefix(server.URL, "http://")}})
	}
	Expect(unread(1<<20).Result).To(Equal(call.CompleteReply), "the server's end does not wait for the reader")
	Expect(process.bufferedBytes.Load()).To(Equal(int64(500000)))
	Expect(unread(600000).Result).To(Equal(call.BrokenReply), "what waits for all callers together is bounded")
	Expect(process.Loop.Counts()).To(HaveKeyWithValue("readers_cut", BeNumerically(">", 0)))
})
