package link_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/link"
	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type countedListener struct {
	net.Listener
	count *atomic.Int64
}

type countedConn struct {
	net.Conn
	count *atomic.Int64
}

func (listener countedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return countedConn{conn, listener.count}, err
}

func (conn countedConn) Read(content []byte) (int, error) {
	size, err := conn.Conn.Read(content)
	conn.count.Add(int64(size))
	return size, err
}

func (conn countedConn) Write(content []byte) (int, error) {
	conn.count.Add(int64(len(content)))
	return conn.Conn.Write(content)
}

type idleOwner struct{}

func (idleOwner) Handle(time.Duration, contract.Event) []contract.Command { return nil }

// receiver accepts bundles on a real socket. For each post it yields the bytes on the wire in both directions since the one before.
type receiver struct {
	address string
	wire    chan int64
	body    chan []byte
}

func receive(stop <-chan struct{}) receiver {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	loop := link.NewLoop(idleOwner{}, time.Hour, nil, log.NewNopLogger())
	go loop.Run(stop)
	receiver := receiver{listener.Addr().String(), make(chan int64, 1), make(chan []byte, 1)}
	count, previous, handler := &atomic.Int64{}, int64(0), link.Receive(loop)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		total := count.Load()
		request.Body = io.NopCloser(bytes.NewReader(body))
		receiver.wire <- total - previous
		receiver.body <- body
		previous = total
		handler.ServeHTTP(writer, request)
	})}
	go func() { _ = server.Serve(countedListener{listener, count}) }()
	go func() {
		<-stop
		_ = server.Close()
	}()
	return receiver
}

func sampleRequest() contract.LeaseRequest {
	return contract.LeaseRequest{Node: "machine-of-zone-1-17-data", Address: "10.1.2.3:7500", Region: "east", SentAt: 7 * time.Hour,
		HighestEpoch: contract.Epoch{Number: 4, Node: "machine-of-zone-1-02-control", Incarnation: "9b1e7c20dd"}, Number: 17, ShardCount: 1, OmitUnchanged: true}
}

var _ = Describe("messages on the wire", func() {
	It("given a kept connection, when a node sends a lease request, then HTTP and the compressed bundle, both ways, take less than 9/8 of the plain bundle", func() {
		stop := make(chan struct{})
		defer close(stop)
		receiver := receive(stop)
		self := contract.Member{Name: "machine-of-zone-1-17-data", Boot: "5f0c83d1a4"}
		sender := link.NewSender(self, 5*time.Second, &link.Faults{}, stop)
		body, _ := json.Marshal(sampleRequest())
		plain, _ := json.Marshal(link.Bundle{Messages: []contract.Message{{Kind: "lease-request", From: self.Name, Boot: self.Boot, Body: body}}})
		for round := range 4 {
			sender.Send(contract.Send{To: receiver.address, Kind: "lease-request", Body: sampleRequest()})
			wire, body := <-receiver.wire, <-receiver.body
			if round > 0 {
				AddReportEntry("bytes", fmt.Sprintf("%d on the wire, %d of them the bundle, which is %d plain", wire, len(body), len(plain)))
				Expect(wire * 8).To(BeNumerically("<", len(plain)*9))
			}
		}
	})

	answer := func(agent string) *httptest.ResponseRecorder {
		content, err := json.Marshal(link.Bundle{Messages: []contract.Message{{Kind: "lease-request", From: "a", Boot: "b1", Body: json.RawMessage("{}")}}})
		Expect(err).NotTo(HaveOccurred())
		request := httptest.NewRequest(http.MethodPost, link.Path, bytes.NewReader(content))
		if agent != "" {
			request.Header.Set("User-Agent", agent)
		}
		recorder := httptest.NewRecorder()
		link.Receive(link.NewLoop(idleOwner{}, time.Hour, nil, log.NewNopLogger())).ServeHTTP(recorder, request)
		return recorder
	}

	It("given a sender of this version, when it posts, then the answer has no content", func() {
		recorder := answer("")
		Expect(recorder.Code).To(Equal(http.StatusNoContent))
		Expect(recorder.Body.Len()).To(BeZero())
	})

	It("given an older sender, which accepts only 200, when it posts, then it gets a 200", func() {
		Expect(answer("Go-http-client/1.1").Code).To(Equal(http.StatusOK))
	})

	DescribeTable("given an answer, when a post has got it, then its message is counted as lost or not",
		func(status int, lost bool) {
			stop, posts, losses := make(chan struct{}), make(chan struct{}), make(chan string, 2)
			defer close(stop)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(status)
				posts <- struct{}{}
			}))
			defer server.Close()
			sender := link.NewSender(contract.Member{Name: "a", Boot: "b1"}, 5*time.Second, &link.Faults{}, stop)
			sender.SetCounter(func(name string, _ int64) { losses <- name })
			for range 2 {
				sender.Send(contract.Send{To: server.Listener.Addr().String(), Kind: "bye", Body: "x"})
				<-posts
			}
			Expect(len(losses) > 0).To(Equal(lost))
		},
		Entry("of a receiver of this version", http.StatusNoContent, false), Entry("of an older receiver", http.StatusOK, false), Entry("a refusal", http.StatusBadRequest, true))
})

// BenchmarkPost counts the bytes, in both directions and including HTTP, of a bundle with one message on a kept connection.
func BenchmarkPost(b *testing.B) {
	for _, size := range []int{2, 2000} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			stop, total := make(chan struct{}), int64(0)
			defer close(stop)
			receiver := receive(stop)
			sender := link.NewSender(contract.Member{Name: "node-00001-data", Boot: "b1"}, 5*time.Second, &link.Faults{}, stop)
			body := strings.Repeat("x", size-2)
			for range b.N {
				sender.Send(contract.Send{To: receiver.address, Kind: "lease-request", Body: body})
				total += <-receiver.wire
				<-receiver.body
			}
			b.ReportMetric(float64(total)/float64(b.N), "bytes/message")
		})
	}
}
