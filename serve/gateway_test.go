package serve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/serve"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var completeAnswer = respondWith(sizedResponse("200 OK", "whole", serverHeaders...), true)

var _ = Describe("a whole answer", func() {
	DescribeTable("given a server's own answer, when it is whole, then status, body and headers pass unchanged", func(answer string, status int, body string) {
		fixture := setUp(1, respondWith(answer, true))
		response, content, err := fixture.ask("/write/a%2Fb?c=d&e", "the body")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(status))
		Expect(content).To(Equal(body))
		Expect(response.Header.Get("X-Server-Seal")).To(Equal("3e1b.07"))
		Expect(response.Header.Get("X-Odd")).To(Equal("kept"))
		Expect(response.Header).NotTo(HaveKey("Keep-Alive"))
	},
		Entry("with a length", sizedResponse("200 OK", "whole", append(serverHeaders, "X-Odd: kept", "Keep-Alive: timeout=5")...), 200, "whole"),
		Entry("in chunks", responseHead("200 OK", append(serverHeaders, "X-Odd: kept", "Transfer-Encoding: chunked")...)+chunk("who")+chunk("le")+"0\r\n\r\n", 200, "whole"),
		Entry("that is empty", sizedResponse("204 No Content", "", append(serverHeaders, "X-Odd: kept")...), 204, ""),
		Entry("that is a refusal of the call itself", sizedResponse("404 Not Found", "none", append(serverHeaders, "X-Odd: kept")...), 404, "none"),
		Entry("that is a failure of its own", sizedResponse("500 Internal Server Error", "oh", append(serverHeaders, "X-Odd: kept")...), 500, "oh"),
	)

	It("given a call, when it is sent on, then method, path, query, body and identity are unchanged and the server meant is named", func() {
		fixture := setUp(1, completeAnswer)
		fixture.ask("/write/a%2Fb//c?d=e&f", "the body", "X-Odd", "kept", "Connection", "X-Drop", "X-Drop", "dropped")
		Expect(fixture.received()).To(HaveLen(1))
		request := fixture.received()[0].request
		Expect([]string{request.Method, request.RequestURI, request.Host, fixture.received()[0].body}).To(Equal([]string{"POST", "/write/a%2Fb//c?d=e&f", "h.example", "the body"}))
		Expect(request.Header["X-Attempt-Id"]).To(Equal([]string{attemptID}))
		Expect(request.Header["X-Odd"]).To(Equal([]string{"kept"}))
		Expect(request.Header).NotTo(HaveKey("X-Drop"))
		Expect(request.Header.Get("X-Target-Instance")).To(Equal("server0"))
		left, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 10000), BeNumerically("<=", 15000)))
	})

	It("given a body in chunks or none, when it is sent on, then the server reads the same body, with a length", func() {
		fixture := setUp(1, completeAnswer)
		request := fixture.request("/write/x", "")
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader("in chunks")), -1
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		bare := fixture.request("/read/x", "")
		bare.Method, bare.Body, bare.ContentLength = http.MethodGet, http.NoBody, 0
		response, err = http.DefaultClient.Do(bare)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		calls := fixture.received()
		Expect([]any{calls[0].body, calls[0].request.ContentLength, calls[0].request.TransferEncoding}).To(Equal([]any{"in chunks", int64(9), []string(nil)}))
		Expect([]any{calls[1].request.Method, calls[1].body, calls[1].request.ContentLength}).To(Equal([]any{"GET", "", int64(0)}))
	})

	It("given whole answers, when more calls come, then they use the same connection", func() {
		fixture := setUp(1, completeAnswer)
		for range 3 {
			fixture.ask("/write/x", "b")
		}
		for _, call := range fixture.received() {
			Expect(call.connection).To(Equal(1))
		}
		Expect(fixture.proxy.Idle()).To(Equal(1))
	})

	It("given an answer that closes its connection, when the next call comes, then it has another one", func() {
		fixture := setUp(1, respondWith(sizedResponse("200 OK", "whole", append(serverHeaders, "Connection: close")...), true), completeAnswer)
		for range 2 {
			_, content, _ := fixture.ask("/write/x", "b")
			Expect(content).To(Equal("whole"))
		}
		Expect(fixture.received()[1].connection).To(Equal(2))
	})
})

var _ = DescribeTable("given an answer that cannot be trusted, when a call that must not run twice gets it, then it is no success, is not sent again, and its connection is not used again",
	func(bad responder) {
		fixture := setUp(2, bad, completeAnswer)
		response, content, _ := fixture.ask("/write/x", "b")
		Expect(response.StatusCode).To(Equal(502))
		Expect(content).NotTo(ContainSubstring("whole"))
		Expect(fixture.received()).To(HaveLen(1))
		Expect(fixture.proxy.Idle()).To(BeZero())
		Eventually(fixture.closedConnections).Should(Equal(1), "the connection is closed")
		response, content, _ = fixture.ask("/write/y", "b")
		Expect(response.StatusCode).To(Equal(200))
		Expect(content).To(Equal("whole"))
		Expect(fixture.received()[1].connection).NotTo(Equal(fixture.received()[0].connection))
	},
	Entry("without the mark", respondWith(sizedResponse("200 OK", "whole", serverHeaders[0]), true)),
	Entry("without an identity", respondWith(sizedResponse("200 OK", "whole", serverHeaders[1]), true)),
	Entry("with another identity", respondWith(sizedResponse("200 OK", "whole", "X-Attempt-Id: other", serverHeaders[1]), true)),
	Entry("a failure with another identity", respondWith(sizedResponse("500 Internal Server Error", "whole", "X-Attempt-Id: other", serverHeaders[1]), true)),
	Entry("a refusal with another identity", respondWith(sizedResponse("503 Service Unavailable", "whole", "X-Attempt-Id: other", "X-Not-Executed: 1"), true)),
	Entry("cut short of its length", respondWith(responseHead("200 OK", append(serverHeaders, "Content-Length: 50")...)+"whole", false)),
	Entry("cut between chunks", respondWith(responseHead("200 OK", append(serverHeaders, "Transfer-Encoding: chunked")...)+chunk("whole"), false)),
	Entry("cut before its last chunk's end", respondWith(responseHead("200 OK", append(serverHeaders, "Transfer-Encoding: chunked")...)+chunk("whole")+"0\r\n", false)),
	Entry("cut within its head", respondWith("HTTP/1.1 200 OK\r\nX-Server-Seal: 3e", false)),
	Entry("bytes that are no answer", respondWith("\x00\x01 whole \r\n\r\n", true)),
	Entry("a chunk that is none", respondWith(responseHead("200 OK", append(serverHeaders, "Transfer-Encoding: chunked")...)+"zz\r\nwhole\r\n0\r\n\r\n", true)),
	Entry("nothing at all", respondWith("", false)),
	Entry("an answer that only informs", respondWith(responseHead("103 Early Hints", serverHeaders...)+"whole", true)),
	Entry("a switch of protocols", respondWith(responseHead("101 Switching Protocols", append(serverHeaders, "Upgrade: x", "Connection: Upgrade")...)+"whole", true)),
	Entry("larger than what is kept", respondWith(sizedResponse("200 OK", strings.Repeat("x", serve.MaxReplyBytes)+"whole", serverHeaders...), true)),
)

var _ = Describe("bytes that belong to no call", func() {
	late := sizedResponse("200 OK", "stolen", serverHeaders...)

	for name, extra := range map[string]string{"garbage": "garbage", "another answer": late} {
		It("given "+name+" after a whole answer, when the next call comes, then neither caller sees it and the connection is not used again", func() {
			fixture := setUp(1, respondWith(sizedResponse("200 OK", "whole", serverHeaders...)+extra, true), completeAnswer)
			for position := range 2 {
				response, content, err := fixture.ask("/write/x", "b")
				Expect(err).NotTo(HaveOccurred())
				Expect([]any{response.StatusCode, content, response.Header.Get("Content-Length")}).To(Equal([]any{200, "whole", "5"}))
				Expect(fixture.received()[position].connection).To(Equal(position + 1))
			}
		})

		It("given "+name+" that comes while the connection waits, when the next call comes, then it has another connection", func() {
			conns := make(chan net.Conn, 1)
			fixture := setUp(1, func(conn net.Conn, _ received) bool {
				write(conn, sizedResponse("200 OK", "whole", serverHeaders...))
				conns <- conn
				return true
			}, completeAnswer)
			fixture.ask("/write/x", "b")
			Expect(fixture.proxy.Idle()).To(Equal(1))
			write(<-conns, extra)
			_, content, _ := fixture.ask("/write/x", "b")
			Expect(content).To(Equal("whole"))
			Expect(fixture.received()[1].connection).To(Equal(2))
		})
	}

	It("given a late answer of another call in the place of the next one, when it comes, then the caller does not get it", func() {
		fixture := setUp(1, completeAnswer, respondWith(sizedResponse("200 OK", "stolen", "X-Attempt-Id: former", serverHeaders[1]), true), completeAnswer)
		fixture.ask("/write/x", "b")
		response, content, _ := fixture.ask("/write/y", "b")
		Expect(response.StatusCode).To(Equal(502))
		Expect(content).NotTo(ContainSubstring("stolen"))
		fixture.ask("/write/z", "b")
		Expect(fixture.received()[2].connection).To(Equal(2))
	})

	It("given an answer that cannot be trusted, when the call may run again, then another server's whole answer is passed", func() {
		fixture := setUp(2, respondWith(sizedResponse("200 OK", "stolen", serverHeaders[0]), true), completeAnswer)
		response, content, _ := fixture.ask("/read/x", "b")
		Expect([]any{response.StatusCode, content}).To(Equal([]any{200, "whole"}))
		Expect(fixture.received()[0].server).NotTo(Equal(fixture.received()[1].server))
	})
})

var _ = Describe("a caller", func() {
	It("given no server, when it is refused, then it is told to come back after about its aim, not always the same", func() {
		fixture := setUp(0, completeAnswer)
		told := map[float64]bool{}
		for range 20 {
			response, _, _ := fixture.ask("/write/x", "b")
			Expect(response.StatusCode).To(Equal(503))
			after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(And(BeNumerically(">=", latencyTarget.Seconds()*3/4), BeNumerically("<=", latencyTarget.Seconds()*5/4)))
			told[after] = true
		}
		Expect(len(told)).To(BeNumerically(">", 10))
	})

	It("given servers that turn calls away, when all have, then it is told when to come back", func() {
		fixture := setUp(2, respondWith(sizedResponse("503 Service Unavailable", "full", serverHeaders[0], "X-Not-Executed: 1"), true))
		response, _, _ := fixture.ask("/write/x", "b")
		Expect(response.StatusCode).To(Equal(503))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(fixture.received()).To(HaveLen(2))
	})

	It("given no route, when it asks, then it gets 404 and is not told to come back", func() {
		fixture := setUp(1, completeAnswer)
		response, _, _ := fixture.ask("/none/x", "b")
		Expect(response.StatusCode).To(Equal(404))
		Expect(response.Header).NotTo(HaveKey("Retry-After"))
	})

	It("given a bound on bodies and headers, when it sends more, then nothing reaches a server", func() {
		fixture := setUp(1, completeAnswer)
		response, _, _ := fixture.ask("/write/x", strings.Repeat("b", 1<<20+1))
		Expect(response.StatusCode).To(Equal(413))
		response, _, _ = fixture.ask("/write/x", "b", "X-Large", strings.Repeat("b", 16384))
		Expect(response.StatusCode).To(Equal(431))
		Expect(fixture.received()).To(BeEmpty())
	})

	It("given a server that says nothing, when the caller's time is over, then it gets a time-out and the server's connection is closed", func() {
		fixture := setUp(1, func(conn net.Conn, _ received) bool {
			_, _ = conn.Read(make([]byte, 1))
			return false
		})
		response, _, _ := fixture.ask("/write/x", "b", "X-Deadline-Ms", "150")
		Expect(response.StatusCode).To(Equal(504))
		Eventually(fixture.closedConnections).Should(Equal(1))
	})

	for _, path := range []string{"/write/x", "/read/x", "/stream/x", "/resumed/x"} {
		It("given a call to "+path+", when its caller leaves, then the server's connection is closed and nothing is sent again", func() {
			ctx, leave := context.WithCancel(context.Background())
			fixture := setUp(2, func(conn net.Conn, _ received) bool {
				if strings.HasPrefix(path, "/stream") {
					write(conn, streamHead()+chunk(event(1)))
				}
				leave()
				_, _ = conn.Read(make([]byte, 1))
				return false
			})
			response, err := http.DefaultClient.Do(fixture.request(path, "b").WithContext(ctx))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			Expect(err).To(HaveOccurred())
			Eventually(fixture.closedConnections, 5*time.Second).Should(Equal(1))
			Expect(fixture.received()).To(HaveLen(1))
			Expect(fixture.proxy.Idle()).To(BeZero())
		})
	}
})
