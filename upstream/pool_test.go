package upstream

import (
	"context"
	"errors"
	"io"
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

// startServer listens on a local port and sends the server's end of each accepted connection on the channel.
func startServer() (string, chan net.Conn) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return listener.Addr().String(), accepted
}

var errMetered = errors.New("metered")

// countingMeter ends the reading after more than limit bytes.
type countingMeter struct{ sum, largest, limit int }

func (meter *countingMeter) Received(content []byte) error {
	meter.sum += len(content)
	meter.largest = max(meter.largest, len(content))
	if meter.sum > meter.limit {
		return errMetered
	}
	return nil
}

// first returns the connection of a Get.
func first(conn *Conn, _ bool) *Conn { return conn }

var _ = Describe("the pool of connections to servers", func() {
	dialled := func(pool *Pool, address string) *Conn {
		GinkgoHelper()
		conn, err := pool.Dial(context.Background(), address, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Fresh).To(BeTrue())
		return conn
	}

	It("given nothing was kept, when a connection is wanted, then there is none", func() {
		Expect(first(NewPool(4, time.Minute).Get("127.0.0.1:1", time.Minute))).To(BeNil())
	})

	It("given kept connections, when they are taken, then the newest comes first, each once, and only for its own address", func() {
		pool := NewPool(4, time.Minute)
		address, _ := startServer()
		older, second := dialled(pool, address), dialled(pool, address)
		pool.Put(address, older, 0)
		pool.Put(address, second, 0)
		Expect(pool.Idle()).To(Equal(2))
		Expect(first(pool.Get("127.0.0.1:1", time.Minute))).To(BeNil())
		Expect(first(pool.Get(address, time.Minute))).To(BeIdenticalTo(second))
		Expect(second.Fresh).To(BeFalse())
		Expect(first(pool.Get(address, time.Minute))).To(BeIdenticalTo(older))
		Expect(first(pool.Get(address, time.Minute))).To(BeNil())
	})

	It("given a connection on which bytes came while it waited, when one is wanted, then it is closed and not given", func() {
		pool := NewPool(4, time.Minute)
		address, accepted := startServer()
		pool.Put(address, dialled(pool, address), 0)
		serverSide := <-accepted
		_, err := serverSide.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(first(pool.Get(address, time.Minute))).To(BeNil())
		_, err = serverSide.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})

	It("given a connection that the server closed, when one is wanted, then it is not given", func() {
		pool := NewPool(4, time.Minute)
		address, accepted := startServer()
		pool.Put(address, dialled(pool, address), 0)
		Expect((<-accepted).Close()).To(Succeed())
		Expect(first(pool.Get(address, time.Minute))).To(BeNil())
	})

	It("given a connection with unread bytes, when it is given back, then it is closed", func() {
		pool := NewPool(4, time.Minute)
		address, accepted := startServer()
		conn := dialled(pool, address)
		_, err := (<-accepted).Write([]byte("xyz"))
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Reader.ReadByte()
		Expect(err).NotTo(HaveOccurred())
		pool.Put(address, conn, 0)
		Expect(pool.Idle()).To(BeZero())
	})

	It("given a bound of connections, when more are given back, then the others are closed", func() {
		pool := NewPool(2, time.Minute)
		address, _ := startServer()
		for range 5 {
			pool.Put(address, dialled(pool, address), 0)
		}
		Expect(pool.Idle()).To(Equal(2))
	})

	It("given connections that have been idle for too long, when one is wanted or they are swept, then they are closed", func() {
		pool := NewPool(4, time.Minute)
		address, _ := startServer()
		conn := dialled(pool, address)
		pool.Put(address, conn, 0)
		conn.idleSince = time.Now().Add(-10 * time.Second)
		Expect(first(pool.Get(address, 5*time.Second))).To(BeNil(), "a call may want a fresher one")

		conn = dialled(pool, address)
		pool.Put(address, conn, 4*time.Second)
		conn.idleSince = time.Now().Add(-3 * time.Second)
		Expect(first(pool.Get(address, time.Minute))).To(BeNil(), "the server keeps it for four seconds")

		stale, kept := dialled(pool, address), dialled(pool, address)
		pool.Put(address, stale, 0)
		pool.Put(address, kept, 0)
		stale.idleSince = time.Now().Add(-2 * time.Minute)
		pool.CloseExpired()
		Expect(pool.Idle()).To(Equal(1))
		Expect(first(pool.Get(address, time.Minute))).To(BeIdenticalTo(kept))
	})

	It("given bytes after an answer, when the connection waits, then it is found, and no connection to its server is kept for a time", func() {
		pool := NewPool(4, time.Minute)
		address, accepted := startServer()
		quiet, loud := dialled(pool, address), dialled(pool, address)
		<-accepted
		loudServer := <-accepted
		pool.Put(address, quiet, 0)
		pool.Put(address, loud, 0)
		Expect(pool.CloseExpired()).To(BeEmpty())
		_, err := loudServer.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(pool.CloseExpired).Should(Equal([]string{address}))
		Expect(pool.Idle()).To(BeZero(), "the quiet one is not trusted either")
		pool.Put(address, dialled(pool, address), 0)
		Expect(pool.Idle()).To(BeZero())
	})

	It("given a meter, when an answer is read, then it is told of all bytes, a part at a time, and its error ends the reading", func() {
		address, accepted := startServer()
		conn := dialled(NewPool(4, time.Minute), address)
		const sent = 4 * maxReadBytes
		go func() { _, _ = (<-accepted).Write(make([]byte, sent)) }()
		meter := &countingMeter{limit: sent / 2}
		conn.Meter = meter
		_, err := io.ReadFull(conn.Reader, make([]byte, sent))
		Expect(err).To(MatchError(errMetered))
		Expect(meter.largest).To(BeNumerically("<=", maxReadBytes))
		Expect(meter.sum).To(BeNumerically("<=", sent/2+maxReadBytes))
	})

	It("given a dead port, when it is dialled, then it fails at once", func() {
		_, err := NewPool(4, time.Minute).Dial(context.Background(), "127.0.0.1:1", time.Second)
		Expect(err).To(HaveOccurred())
	})
})
