package serve_test

import (
	"bufio"
	"github.com/cedarreel/cedarreel/manifest"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func respondWithEvents(first, last int, rest string, stays bool) responder {
	return respondWith(streamHead()+chunk(events(first, last))+rest, stays)
}

const lastChunk = "0\r\n\r\n"

var _ = Describe("a stream", func() {
	It("given events, when the server makes one, then the caller has it before the next is made", func() {
		next := make(chan bool)
		fixture := setUp(1, func(conn net.Conn, _ received) bool {
			write(conn, streamHead())
			for number := 1; number <= 3; number++ {
				write(conn, chunk(event(number)))
				<-next
			}
			write(conn, lastChunk)
			return true
		})
		response, err := http.DefaultClient.Do(fixture.request("/stream/x", "b"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		reader := bufio.NewReader(response.Body)
		for number := 1; number <= 3; number++ {
			content := make([]byte, len(event(number)))
			_, err = io.ReadFull(reader, content)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(content)).To(Equal(event(number)))
			next <- true
		}
		rest, err := io.ReadAll(reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
		Expect(response.Header.Get("X-Server-Seal")).To(Equal("3e1b.07"))
		Expect(response.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(fixture.proxy.Idle()).To(Equal(1))
	})

	It("given one that may be resumed, when it breaks within an event, then another server goes on after the last whole one", func() {
		second := respondWith(responseHead("200 OK", serverHeaders[0], "X-Server-Seal: second", "Transfer-Encoding: chunked")+chunk(events(3, 5))+lastChunk, true)
		fixture := setUp(2, respondWithEvents(1, 2, chunk("id: 3\ndata: pie"), false), second)
		response, content, err := fixture.ask("/resumed/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal(events(1, 5)))
		Expect(response.Header.Get("X-Server-Seal")).To(Equal("3e1b.07"), "the answer keeps the head of its first server")
		calls := fixture.received()
		Expect(calls).To(HaveLen(2))
		Expect(calls[0].request.Header).NotTo(HaveKey("Last-Event-Id"))
		Expect(calls[1].request.Header.Get("Last-Event-Id")).To(Equal("2"))
		Expect(calls[1].server).NotTo(Equal(calls[0].server))
		Expect(calls[1].body).To(Equal("b"))
	})

	It("given events with returns before their line ends, when it breaks, then it goes on after the last whole one", func() {
		fixture := setUp(2, respondWith(streamHead()+chunk("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n"), false), respondWith(streamHead()+chunk("id: 2\r\ndata: b\r\n\r\n")+lastChunk, true))
		_, content, err := fixture.ask("/resumed/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"))
		Expect(fixture.received()[1].request.Header.Get("Last-Event-Id")).To(Equal("1"))
	})

	It("given a caller that takes a stream up, when it breaks before its first event, then the caller's place is told to the next server", func() {
		fixture := setUp(2, respondWith(streamHead(), false), respondWithEvents(8, 9, lastChunk, true))
		_, content, err := fixture.ask("/resumed/x", "b", "Last-Event-Id", "7")
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal(events(8, 9)))
		for _, call := range fixture.received() {
			Expect(call.request.Header.Get("Last-Event-Id")).To(Equal("7"))
		}
	})

	It("given one that may be resumed, when it breaks twice, then the third server goes on after the second", func() {
		fixture := setUp(3, respondWithEvents(1, 2, "", false), respondWithEvents(3, 3, "", false), respondWithEvents(4, 5, lastChunk, true))
		_, content, err := fixture.ask("/resumed/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal(events(1, 5)))
		Expect(fixture.received()[2].request.Header.Get("Last-Event-Id")).To(Equal("3"))
	})

	It("given one that must not run twice, when it breaks, then the caller sees it break after the whole events, and nothing is sent again", func() {
		fixture := setUp(2, respondWithEvents(1, 2, chunk("id: 3\ndata: pie"), false), respondWithEvents(3, 5, lastChunk, true))
		response, content, err := fixture.ask("/stream/x", "b")
		Expect(response.StatusCode).To(Equal(200))
		Expect(content).To(Equal(events(1, 2)))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(fixture.received()).To(HaveLen(1))
	})

	DescribeTable("given one that broke and may be resumed, when nobody can go on, then the caller sees it break, never a clean end", func(rest ...responder) {
		fixture := setUp(len(rest)+1, append([]responder{respondWithEvents(1, 2, "", false)}, rest...)...)
		response, content, err := fixture.ask("/resumed/x", "b")
		Expect(response.StatusCode).To(Equal(200))
		Expect(content).To(Equal(events(1, 2)))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(fixture.received()).To(HaveLen(len(rest) + 1))
	},
		Entry("as there is no other server"),
		Entry("as the other turns it away", respondWith(sizedResponse("503 Service Unavailable", "full", serverHeaders[0], "X-Not-Executed: 1"), true)),
		Entry("as all others turn it away", respondWith(sizedResponse("503 Service Unavailable", "full", serverHeaders[0], "X-Not-Executed: 1"), true), respondWith(sizedResponse("503 Service Unavailable", "full", serverHeaders[0], "X-Not-Executed: 1"), true)),
		Entry("as the other has moved", respondWith(sizedResponse("421 Misdirected Request", "", serverHeaders[0]), true)),
		Entry("as the other fails", respondWith(sizedResponse("500 Internal Server Error", "oh", serverHeaders...), true)),
		Entry("as the other answers another call", respondWith(responseHead("200 OK", "X-Attempt-Id: other", serverHeaders[1], "Transfer-Encoding: chunked")+chunk(events(3, 4))+lastChunk, true)),
		Entry("as the other bears no mark", respondWith(responseHead("200 OK", serverHeaders[0], "Transfer-Encoding: chunked")+chunk(events(3, 4))+lastChunk, true)),
		Entry("as all others say nothing", respondWith("", false), respondWith("", false)),
	)

	It("given a stream without an event, when it ends whole, then the caller has a whole empty answer", func() {
		response, content, err := setUp(1, respondWith(streamHead()+lastChunk, true)).ask("/stream/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{response.StatusCode, content}).To(Equal([]any{200, ""}))
	})

	It("given a streaming route, when its server answers with a failure, then that is passed on whole", func() {
		response, content, err := setUp(1, respondWith(sizedResponse("400 Bad Request", "no", serverHeaders...), true)).ask("/stream/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{response.StatusCode, content}).To(Equal([]any{400, "no"}))
	})
})

var _ = It("given a server that says nothing, when the call may run again, then another one answers and the first one's connection is closed", func() {
	fixture := setUp(2, func(conn net.Conn, _ received) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	}, completeAnswer)
	impatient := routes(3)
	allRoutes := impatient.Manifest.Gateway.Routes
	allRoutes.All(func(route manifest.GatewayRoute) bool {
		route.LatencyTarget = 0
		impatient.Manifest.Gateway.Routes = impatient.Manifest.Gateway.Routes.With(route)
		return false
	})
	fixture.proxy.Apply(impatient)
	response, content, err := fixture.ask("/read/x", "b")
	Expect(err).NotTo(HaveOccurred())
	Expect([]any{response.StatusCode, content}).To(Equal([]any{200, "whole"}))
	Expect(fixture.received()[0].server).NotTo(Equal(fixture.received()[1].server))
	Eventually(fixture.closedConnections).Should(Equal(1))
})
