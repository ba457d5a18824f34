// Package upstream keeps connections to servers: one call at a time on each, given up whenever anything is unclear.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is one connection to a server.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Fresh  bool
	used   time.Time
	life   time.Duration
}

// Pool holds connections that wait for their next call, newest first.
type Pool struct {
	lock sync.Mutex
	idle map[string][]*Conn
	most int
	life time.Duration
}

// NewPool keeps at most so many idle connections a server, each for at most life.
func NewPool(most int, life time.Duration) *Pool {
	return &Pool{idle: map[string][]*Conn{}, most: most, life: life}
}

// Take gives a kept connection that has not been idle for longer than idle and on which nothing has come, or nothing.
func (pool *Pool) Take(address string, idle time.Duration) *Conn {
	for {
		pool.lock.Lock()
		kept := pool.idle[address]
		if len(kept) == 0 {
			pool.lock.Unlock()
			return nil
		}
		conn := kept[len(kept)-1]
		pool.idle[address] = kept[:len(kept)-1]
		pool.lock.Unlock()
		if rest := time.Since(conn.used); rest > min(idle, conn.life) || !conn.quiet() {
			_ = conn.Close()
			continue
		}
		conn.Fresh = false
		return conn
	}
}

// Dial opens a new connection.
func (pool *Pool) Dial(ctx context.Context, address string, limit time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: limit, KeepAlive: -1}
	opened, failure := dialer.DialContext(ctx, "tcp", address)
	if failure != nil {
		return nil, failure
	}
	return &Conn{Conn: opened, Reader: bufio.NewReader(opened), Fresh: true}, nil
}

// Keep takes a connection back after a whole answer; told is how long the server said that it keeps it, or nothing.
func (pool *Pool) Keep(address string, conn *Conn, told time.Duration) {
	conn.used, conn.life = time.Now(), pool.life
	if told > 0 {
		conn.life = min(conn.life, told/2)
	}
	_ = conn.SetDeadline(time.Time{})
	pool.lock.Lock()
	defer pool.lock.Unlock()
	kept := pool.idle[address]
	if len(kept) >= pool.most || conn.Reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	pool.idle[address] = append(kept, conn)
}

// Sweep closes what has been idle for too long.
func (pool *Pool) Sweep() {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for address, kept := range pool.idle {
		left := kept[:0]
		for _, conn := range kept {
			if time.Since(conn.used) > conn.life {
				_ = conn.Close()
				continue
			}
			left = append(left, conn)
		}
		pool.idle[address] = left
		if len(left) == 0 {
			delete(pool.idle, address)
		}
	}
}

// Idle counts the connections that wait.
func (pool *Pool) Idle() int {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	count := 0
	for _, kept := range pool.idle {
		count += len(kept)
	}
	return count
}

// quiet tells whether the connection stands and nothing has come on it: bytes that no call waits for belong to none.
func (conn *Conn) quiet() bool {
	if conn.Reader.Buffered() > 0 {
		return false
	}
	plain, fine := conn.Conn.(*net.TCPConn)
	if !fine {
		return false
	}
	raw, failure := plain.SyscallConn()
	if failure != nil {
		return false
	}
	quiet, peeked := false, make([]byte, 1)
	failure = raw.Read(func(descriptor uintptr) bool {
		_, _, trouble := unix.Recvfrom(int(descriptor), peeked, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = trouble == unix.EAGAIN || trouble == unix.EWOULDBLOCK
		return true
	})
	return failure == nil && quiet
}
