package link

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/onsi/gomega"
)

// TestANewNodeIsReachedAfterMoreNodesHaveGoneThanASenderHasQueues guards against a process that, late in its life, sends nothing to new nodes.
func TestANewNodeIsReachedAfterMoreNodesHaveGoneThanASenderHasQueues(t *testing.T) {
	expect, stop := gomega.NewWithT(t), make(chan struct{})
	defer close(stop)
	received := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	faults := &Faults{}
	sender := NewSender(contract.Member{Name: "a", Boot: "b"}, time.Second, faults, stop)
	sender.idleTime = time.Millisecond
	send := func(address string) { sender.Send(contract.Send{To: address, Kind: "hello", Body: 1}) }
	for number := range maxPeers {
		send(fmt.Sprintf("127.1.%d.%d:1", number/200, number%200))
	}
	expect.Eventually(func() int64 {
		send(server.Listener.Addr().String())
		return received.Load()
	}, 20*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">", 0))
}
