package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/onsi/gomega"
)

const (
	// endlessHeadBytes bounds what a fake peer sends without end, inFlightBytes what may be on its way when the reader gives up.
	endlessHeadBytes = 64 << 20
	inFlightBytes    = 8 << 20
)

// listenEndlessly starts a peer that answers each request with a head without end, and counts the bytes that it could send.
func listenEndlessly(t *testing.T, sent *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Long: ")
				for block := strings.Repeat("x", 32<<10); sent.Load() < endlessHeadBytes; {
					count, err := io.WriteString(conn, block)
					sent.Add(int64(count))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestAnAnswerWhoseHeadHasNoEndIsNotRead(t *testing.T) {
	sender := NewSender(contract.Member{Name: "a", Boot: "b"}, 10*time.Second, &Faults{}, nil)
	for name, ask := range map[string]func(address string) error{
		"by a client of the usual transport": func(address string) error {
			_, err := (&http.Client{Transport: NewTransport()}).Get("http://" + address)
			return err
		},
		"by the sender of messages": func(address string) error {
			_, err := sender.endpoint(address)(context.Background(), Bundle{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			sent := atomic.Int64{}
			err := ask(listenEndlessly(t, &sent))
			gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("header")))
			gomega.NewWithT(t).Expect(sent.Load()).To(gomega.BeNumerically("<=", MaxAnswerHeadBytes+inFlightBytes))
		})
	}
}
