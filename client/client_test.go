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

// node stands in for a node; a broken one ends each link without an answer.
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
	It("asks the next node when one breaks, under the same operation key, and gives any answer as it is", func() {
		var broken, fine atomic.Int64
		client := New([]string{node(true, &broken), node(false, &fine)})
		given, err := client.Drain(context.Background(), "zone a", "key")
		Expect(err).NotTo(HaveOccurred())
		Expect(given.Status).To(Equal(503))
		Expect(given.Header.Get("Retry-After")).To(Equal("1"))
		Expect(string(given.Body)).To(Equal("POST /v1/zones/zone%20a/drain key"))
		Expect(broken.Load()).To(Equal(int64(1)))
	})

	It("never sends a call of a model to a second node after a link was made", func() {
		var broken, fine atomic.Int64
		client := New([]string{"127.0.0.1:1", node(true, &broken), node(false, &fine)})
		_, err := client.Complete(context.Background(), "desk", "chats", "k", "", "", "", "", "", []byte("{}"))
		Expect(err).To(HaveOccurred())
		Expect(broken.Load()).To(Equal(int64(1)), "a node that cannot be reached is passed over")
		Expect(fine.Load()).To(BeZero())
	})
})
