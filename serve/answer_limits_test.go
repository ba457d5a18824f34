package serve_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cedarreel/cedarreel/serve"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// endlessLimit bounds what a fake server sends without end.
	endlessLimit = 64 << 20
	// inFlightBytes is what may be on its way when an answer is ended: both ends' socket buffers.
	inFlightBytes = 8 << 20
)

// endless answers with a text and then with a unit without end, and counts the bytes that could be sent.
func endless(text, unit string, sent *atomic.Int64) responder {
	block := strings.Repeat(unit, 1+(32<<10)/len(unit))
	return func(conn net.Conn, _ received) bool {
		write(conn, text)
		for sent.Load() < endlessLimit {
			count, err := io.WriteString(conn, block)
			sent.Add(int64(count))
			if err != nil {
				return false
			}
		}
		return false
	}
}

var chunkedHead = responseHead("200 OK", append(serverHeaders, "Transfer-Encoding: chunked")...)

var _ = DescribeTable("given an answer without end, when a call gets it, then it is ended at its bound, its connection is closed and the bound is counted",
	func(path, text, unit, bound string, most int64) {
		sent := &atomic.Int64{}
		fixture := setUp(1, endless(text, unit, sent), completeAnswer)
		began := time.Now()
		response, _, err := fixture.ask(path, "b")
		Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second), "well before the call's time is over")
		if err == nil {
			Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		}
		Eventually(fixture.closedConnections).Should(Equal(1))
		Expect(fixture.proxy.Idle()).To(BeZero())
		Expect(sent.Load()).To(BeNumerically("<=", most+inFlightBytes))
		Expect(fixture.proxy.Counts()).To(HaveKeyWithValue("server_answers_ended_"+bound, int64(1)))
	},
	Entry("a status line", "/write/x", "HTTP/1.1 200 ", "x", "head_size", int64(32<<10)),
	Entry("a header line", "/write/x", "HTTP/1.1 200 OK\r\nX-Long: ", "x", "head_size", int64(32<<10)),
	Entry("a header line of a failure", "/write/x", "HTTP/1.1 500 Oh\r\nX-Long: ", "x", "head_size", int64(32<<10)),
	Entry("a header line of a refusal", "/write/x", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Long: ", "x", "head_size", int64(32<<10)),
	Entry("header lines", "/write/x", "HTTP/1.1 200 OK\r\n", "X-More: y\r\n", "head_size", int64(32<<10)),
	Entry("a huge length", "/write/x", responseHead("200 OK", append(serverHeaders, "Content-Length: 1099511627776")...), "x", "reply_size", int64(0)),
	Entry("a body", "/write/x", chunkedHead, chunk(strings.Repeat("x", 1000)), "reply_size", int64(16<<20)),
	Entry("an event", "/stream/x", chunkedHead, chunk(strings.Repeat("x", 1000)), "event_size", int64(256<<10)),
)

var _ = Describe("an answer of the largest size", func() {
	It("given a reply of the largest size, when it comes, then it is passed on whole", func() {
		body := strings.Repeat("0123456789abcdef", serve.MaxReplyBytes/16)
		fixture := setUp(1, respondWith(sizedResponse("200 OK", body, serverHeaders...), true))
		_, content, err := fixture.ask("/write/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(content == body).To(BeTrue())
	})

	It("given events of the largest size, when they come, then they are passed on whole", func() {
		event := "id: 1\ndata: " + strings.Repeat("x", serve.MaxEventBytes-100) + "\n\n"
		fixture := setUp(1, respondWith(streamHead()+chunk(event)+chunk(event)+lastChunk, true))
		_, content, err := fixture.ask("/stream/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(content == event+event).To(BeTrue())
	})

	It("given a body of many short lines, when it comes at once with its head, then it is passed on whole", func() {
		body := strings.Repeat("\n", 8<<10)
		fixture := setUp(1, respondWith(sizedResponse("200 OK", body, serverHeaders...), true))
		_, content, err := fixture.ask("/write/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal(body))
	})

	It("given a head of nearly the largest size, when it comes, then the answer is passed on whole", func() {
		fixture := setUp(1, respondWith(sizedResponse("200 OK", "whole", append(serverHeaders, "X-Long: "+strings.Repeat("x", 30<<10))...), true))
		response, content, err := fixture.ask("/write/x", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal("whole"))
		Expect(response.Header.Get("X-Long")).To(HaveLen(30 << 10))
	})
})

var _ = Describe("bytes after a whole answer", func() {
	It("given they come while the connection waits, when the next call comes, then it uses another connection, and none is kept for a time", func() {
		late := make(chan bool)
		fixture := setUp(1, func(conn net.Conn, _ received) bool {
			write(conn, sizedResponse("200 OK", "whole", serverHeaders...))
			go func() {
				defer GinkgoRecover()
				<-late
				write(conn, "HTTP/1.1 200 OK\r\nContent-Le")
				late <- true
			}()
			return true
		}, completeAnswer)
		fixture.ask("/write/x", "b")
		Expect(fixture.proxy.Idle()).To(Equal(1))
		late <- true
		<-late
		for range 2 {
			_, content, err := fixture.ask("/write/x", "b")
			Expect(err).NotTo(HaveOccurred())
			Expect(content).To(Equal("whole"))
			Expect(fixture.proxy.Idle()).To(BeZero())
		}
		calls := fixture.received()
		Expect([]int{calls[0].connection, calls[1].connection, calls[2].connection}).To(Equal([]int{1, 2, 3}))
		Expect(fixture.proxy.Counts()).To(HaveKeyWithValue("server_answers_ended_late_bytes", int64(1)))
	})

	It("given a refusal with a long body, when the next call comes, then its rest is not taken for an answer", func() {
		const discarded = 64 << 10
		refusal := sizedResponse("503 Service Unavailable", strings.Repeat("x", discarded)+"HTTP/1.1 200 OK\r\n", serverHeaders[0], "X-Not-Executed: 1")
		fixture := setUp(1, respondWith(refusal, true), completeAnswer)
		fixture.ask("/write/x", "b")
		Expect(fixture.proxy.Idle()).To(BeZero())
	})
})
