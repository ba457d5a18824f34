package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// server takes connections and hands over its own ends of them.
func server() (string, chan net.Conn) {
	GinkgoHelper()
	listener, failure := net.Listen("tcp", "127.0.0.1:0")
	Expect(failure).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	taken := make(chan net.Conn, 16)
	go func() {
		for {
			conn, failure := listener.Accept()
			if failure != nil {
				return
			}
			taken <- conn
		}
	}()
	return listener.Addr().String(), taken
}

var _ = Describe("the pool of connections to servers", func() {
	dialled := func(pool *Pool, address string) *Conn {
		GinkgoHelper()
		conn, failure := pool.Dial(context.Background(), address, time.Second)
		Expect(failure).NotTo(HaveOccurred())
		Expect(conn.Fresh).To(BeTrue())
		return conn
	}

	It("given nothing was kept, when a connection is wanted, then there is none", func() {
		Expect(NewPool(4, time.Minute).Take("127.0.0.1:1", time.Minute)).To(BeNil())
	})

	It("given kept connections, when they are taken, then the newest comes first, each once, and only for its own address", func() {
		pool := NewPool(4, time.Minute)
		address, _ := server()
		first, second := dialled(pool, address), dialled(pool, address)
		pool.Keep(address, first, 0)
		pool.Keep(address, second, 0)
		Expect(pool.Idle()).To(Equal(2))
		Expect(pool.Take("127.0.0.1:1", time.Minute)).To(BeNil())
		Expect(pool.Take(address, time.Minute)).To(BeIdenticalTo(second))
		Expect(second.Fresh).To(BeFalse())
		Expect(pool.Take(address, time.Minute)).To(BeIdenticalTo(first))
		Expect(pool.Take(address, time.Minute)).To(BeNil())
	})

	It("given a connection on which bytes came while it waited, when one is wanted, then it is closed and not given", func() {
		pool := NewPool(4, time.Minute)
		address, taken := server()
		pool.Keep(address, dialled(pool, address), 0)
		there := <-taken
		_, failure := there.Write([]byte("x"))
		Expect(failure).NotTo(HaveOccurred())
		Expect(pool.Take(address, time.Minute)).To(BeNil())
		_, failure = there.Read(make([]byte, 1))
		Expect(failure).To(HaveOccurred())
	})

	It("given a connection that the server closed, when one is wanted, then it is not given", func() {
		pool := NewPool(4, time.Minute)
		address, taken := server()
		pool.Keep(address, dialled(pool, address), 0)
		Expect((<-taken).Close()).To(Succeed())
		Expect(pool.Take(address, time.Minute)).To(BeNil())
	})

	It("given a connection with unread bytes, when it is given back, then it is closed", func() {
		pool := NewPool(4, time.Minute)
		address, taken := server()
		conn := dialled(pool, address)
		_, failure := (<-taken).Write([]byte("xyz"))
		Expect(failure).NotTo(HaveOccurred())
		_, failure = conn.Reader.ReadByte()
		Expect(failure).NotTo(HaveOccurred())
		pool.Keep(address, conn, 0)
		Expect(pool.Idle()).To(BeZero())
	})

	It("given a bound of connections, when more are given back, then the others are closed", func() {
		pool := NewPool(2, time.Minute)
		address, _ := server()
		for range 5 {
			pool.Keep(address, dialled(pool, address), 0)
		}
		Expect(pool.Idle()).To(Equal(2))
	})

	It("given connections that have been idle for too long, when one is wanted or they are swept, then they are closed", func() {
		pool := NewPool(4, time.Minute)
		address, _ := server()
		conn := dialled(pool, address)
		pool.Keep(address, conn, 0)
		conn.used = time.Now().Add(-10 * time.Second)
		Expect(pool.Take(address, 5*time.Second)).To(BeNil(), "a call may want a fresher one")

		conn = dialled(pool, address)
		pool.Keep(address, conn, 4*time.Second)
		conn.used = time.Now().Add(-3 * time.Second)
		Expect(pool.Take(address, time.Minute)).To(BeNil(), "the server keeps it for four seconds")

		stale, kept := dialled(pool, address), dialled(pool, address)
		pool.Keep(address, stale, 0)
		pool.Keep(address, kept, 0)
		stale.used = time.Now().Add(-2 * time.Minute)
		pool.Sweep()
		Expect(pool.Idle()).To(Equal(1))
		Expect(pool.Take(address, time.Minute)).To(BeIdenticalTo(kept))
	})

	It("given a dead port, when it is dialled, then it fails at once", func() {
		_, failure := NewPool(4, time.Minute).Dial(context.Background(), "127.0.0.1:1", time.Second)
		Expect(failure).To(HaveOccurred())
	})
})
