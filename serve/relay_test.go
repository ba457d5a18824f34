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

func streams(first, last int, rest string, stays bool) play {
	return says(streamHead()+chunk(events(first, last))+rest, stays)
}

const over = "0\r\n\r\n"

var _ = Describe("a stream", func() {
	It("given events, when the server makes one, then the caller has it before the next is made", func() {
		next := make(chan bool)
		stage := staged(1, func(conn net.Conn, _ took) bool {
			write(conn, streamHead())
			for number := 1; number <= 3; number++ {
				write(conn, chunk(event(number)))
				<-next
			}
			write(conn, over)
			return true
		})
		response, failure := http.DefaultClient.Do(stage.request("/stream/x", "b"))
		Expect(failure).NotTo(HaveOccurred())
		defer response.Body.Close()
		reader := bufio.NewReader(response.Body)
		for number := 1; number <= 3; number++ {
			content := make([]byte, len(event(number)))
			_, failure = io.ReadFull(reader, content)
			Expect(failure).NotTo(HaveOccurred())
			Expect(string(content)).To(Equal(event(number)))
			next <- true
		}
		rest, failure := io.ReadAll(reader)
		Expect(failure).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
		Expect(response.Header.Get("X-Server-Seal")).To(Equal("3e1b.07"))
		Expect(response.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(stage.shell.Idle()).To(Equal(1))
	})

	It("given one that may be resumed, when it breaks within an event, then another server goes on after the last whole one", func() {
		second := says(headOf("200 OK", marked[0], "X-Server-Seal: second", "Transfer-Encoding: chunked")+chunk(events(3, 5))+over, true)
		stage := staged(2, streams(1, 2, chunk("id: 3\ndata: pie"), false), second)
		response, content, failure := stage.ask("/resumed/x", "b")
		Expect(failure).NotTo(HaveOccurred())
		Expect(content).To(Equal(events(1, 5)))
		Expect(response.Header.Get("X-Server-Seal")).To(Equal("3e1b.07"), "the answer keeps the head of its first server")
		calls := stage.took()
		Expect(calls).To(HaveLen(2))
		Expect(calls[0].request.Header).NotTo(HaveKey("Last-Event-Id"))
		Expect(calls[1].request.Header.Get("Last-Event-Id")).To(Equal("2"))
		Expect(calls[1].server).NotTo(Equal(calls[0].server))
		Expect(calls[1].body).To(Equal("b"))
	})

	It("given events with returns before their line ends, when it breaks, then it goes on after the last whole one", func() {
		stage := staged(2, says(streamHead()+chunk("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n"), false), says(streamHead()+chunk("id: 2\r\ndata: b\r\n\r\n")+over, true))
		_, content, failure := stage.ask("/resumed/x", "b")
		Expect(failure).NotTo(HaveOccurred())
		Expect(content).To(Equal("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"))
		Expect(stage.took()[1].request.Header.Get("Last-Event-Id")).To(Equal("1"))
	})

	It("given a caller that takes a stream up, when it breaks before its first event, then the caller's place is told to the next server", func() {
		stage := staged(2, says(streamHead(), false), streams(8, 9, over, true))
		_, content, failure := stage.ask("/resumed/x", "b", "Last-Event-Id", "7")
		Expect(failure).NotTo(HaveOccurred())
		Expect(content).To(Equal(events(8, 9)))
		for _, call := range stage.took() {
			Expect(call.request.Header.Get("Last-Event-Id")).To(Equal("7"))
		}
	})

	It("given one that may be resumed, when it breaks twice, then the third server goes on after the second", func() {
		stage := staged(3, streams(1, 2, "", false), streams(3, 3, "", false), streams(4, 5, over, true))
		_, content, failure := stage.ask("/resumed/x", "b")
		Expect(failure).NotTo(HaveOccurred())
		Expect(content).To(Equal(events(1, 5)))
		Expect(stage.took()[2].request.Header.Get("Last-Event-Id")).To(Equal("3"))
	})

	It("given one that must not run twice, when it breaks, then the caller sees it break after the whole events, and nothing is sent again", func() {
		stage := staged(2, streams(1, 2, chunk("id: 3\ndata: pie"), false), streams(3, 5, over, true))
		response, content, failure := stage.ask("/stream/x", "b")
		Expect(response.StatusCode).To(Equal(200))
		Expect(content).To(Equal(events(1, 2)))
		Expect(failure).To(MatchError(io.ErrUnexpectedEOF))
		Expect(stage.took()).To(HaveLen(1))
	})

	DescribeTable("given one that broke and may be resumed, when nobody can go on, then the caller sees it break, never a clean end", func(rest ...play) {
		stage := staged(len(rest)+1, append([]play{streams(1, 2, "", false)}, rest...)...)
		response, content, failure := stage.ask("/resumed/x", "b")
		Expect(response.StatusCode).To(Equal(200))
		Expect(content).To(Equal(events(1, 2)))
		Expect(failure).To(MatchError(io.ErrUnexpectedEOF))
		Expect(stage.took()).To(HaveLen(len(rest) + 1))
	},
		Entry("as there is no other server"),
		Entry("as the other turns it away", says(sized("503 Service Unavailable", "full", marked[0], "X-Not-Executed: 1"), true)),
		Entry("as all others turn it away", says(sized("503 Service Unavailable", "full", marked[0], "X-Not-Executed: 1"), true), says(sized("503 Service Unavailable", "full", marked[0], "X-Not-Executed: 1"), true)),
		Entry("as the other has moved", says(sized("421 Misdirected Request", "", marked[0]), true)),
		Entry("as the other fails", says(sized("500 Internal Server Error", "oh", marked...), true)),
		Entry("as the other answers another call", says(headOf("200 OK", "X-Attempt-Id: other", marked[1], "Transfer-Encoding: chunked")+chunk(events(3, 4))+over, true)),
		Entry("as the other bears no mark", says(headOf("200 OK", marked[0], "Transfer-Encoding: chunked")+chunk(events(3, 4))+over, true)),
		Entry("as all others say nothing", says("", false), says("", false)),
	)

	It("given a stream without an event, when it ends whole, then the caller has a whole empty answer", func() {
		response, content, failure := staged(1, says(streamHead()+over, true)).ask("/stream/x", "b")
		Expect(failure).NotTo(HaveOccurred())
		Expect([]any{response.StatusCode, content}).To(Equal([]any{200, ""}))
	})

	It("given a streaming route, when its server answers with a failure, then that is passed on whole", func() {
		response, content, failure := staged(1, says(sized("400 Bad Request", "no", marked...), true)).ask("/stream/x", "b")
		Expect(failure).NotTo(HaveOccurred())
		Expect([]any{response.StatusCode, content}).To(Equal([]any{400, "no"}))
	})
})

var _ = It("given a server that says nothing, when the call may run again, then another one answers and the first one's connection is closed", func() {
	stage := staged(2, func(conn net.Conn, _ took) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	}, fine)
	impatient := routes(3)
	patient := impatient.Manifest.Gateway.Routes
	patient.All(func(route manifest.GatewayRoute) bool {
		route.LatencyTarget = 0
		impatient.Manifest.Gateway.Routes = impatient.Manifest.Gateway.Routes.With(route)
		return false
	})
	stage.shell.Learn(impatient)
	response, content, failure := stage.ask("/read/x", "b")
	Expect(failure).NotTo(HaveOccurred())
	Expect([]any{response.StatusCode, content}).To(Equal([]any{200, "whole"}))
	Expect(stage.took()[0].server).NotTo(Equal(stage.took()[1].server))
	Eventually(stage.left).Should(Equal(1))
})
