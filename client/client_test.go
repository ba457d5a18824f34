package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "client")
}

// node starts a server in place of a node and returns its address. A broken one closes each connection without an answer.
func node(broken bool, seen *atomic.Int64) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		seen.Add(1)
		if broken {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = writer.Write([]byte(request.Method + " " + request.URL.String() + " " + request.Header.Get("Operation-Key")))
	}))
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

var _ = Describe("a client", func() {
	It("reads no answer whose body has no end", func() {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			for block := make([]byte, 1<<20); ; {
				if _, err := writer.Write(block); err != nil {
					return
				}
			}
		}))
		DeferCleanup(server.Close)
		_, err := New([]string{strings.TrimPrefix(server.URL, "http://")}).Drain(context.Background(), "zone a", "key")
		Expect(err).To(MatchError(ContainSubstring("the body is larger than")))
	})

	It("asks the next node with the same operation key when one fails, and returns any answer as it is", func() {
		var broken, healthy atomic.Int64
		client := New([]string{node(true, &broken), node(false, &healthy)})
		response, err := client.Drain(context.Background(), "zone a", "key")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(503))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(string(response.Body)).To(Equal("POST /v1/zones/zone%20a/drain key"))
		Expect(broken.Load()).To(Equal(int64(1)))
	})

	It("never sends a call of a model to a second node after a link was made", func() {
		var broken, healthy atomic.Int64
		client := New([]string{"127.0.0.1:1", node(true, &broken), node(false, &healthy)})
		_, err := client.Complete(context.Background(), "desk", "chats", "k", "", "", "", "", "", []byte("{}"))
		Expect(err).To(HaveOccurred())
		Expect(broken.Load()).To(Equal(int64(1)), "a node that cannot be reached is skipped")
		Expect(healthy.Load()).To(BeZero())
	})
})
