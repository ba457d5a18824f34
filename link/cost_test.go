package link_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/link"
)

type counted struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (listener counted) Accept() (net.Conn, error) {
	conn, failure := listener.Listener.Accept()
	return countedConn{conn, listener.bytes}, failure
}

func (conn countedConn) Read(content []byte) (int, error) {
	count, failure := conn.Conn.Read(content)
	conn.bytes.Add(int64(count))
	return count, failure
}

func (conn countedConn) Write(content []byte) (int, error) {
	conn.bytes.Add(int64(len(content)))
	return conn.Conn.Write(content)
}

// BenchmarkPost counts the bytes of one bundle with one letter on a kept connection, both ways, the frame of HTTP with them.
func BenchmarkPost(b *testing.B) {
	for _, size := range []int{2, 2000} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			stop, arrived, bytes := make(chan struct{}), make(chan struct{}, 1), &atomic.Int64{}
			defer close(stop)
			listener, failure := net.Listen("tcp", "127.0.0.1:0")
			if failure != nil {
				b.Fatal(failure)
			}
			defer listener.Close()
			server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set("Content-Type", "application/json; charset=utf-8")
				_, _ = writer.Write([]byte("{}\n"))
				arrived <- struct{}{}
			})}
			go func() { _ = server.Serve(counted{listener, bytes}) }()
			defer server.Close()
			sender := link.NewSender(contract.Member{Name: "node-00001-data", Boot: "b1"}, 5*time.Second, &link.Faults{}, stop)
			body := strings.Repeat("x", size-2)
			for range b.N {
				sender.Send(contract.Send{To: listener.Addr().String(), Kind: "licence-ask", Body: body})
				<-arrived
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/letter")
		})
	}
}
