// Package upstream pools connections to model servers. A connection carries one call at a time and is closed if its state is in any
// doubt, so that a call can never receive another call's answer.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Meter is told of all bytes of an answer before they are used. It may wait, and its error ends the reading.
type Meter interface{ Received(content []byte) error }

// Conn is one connection to a server. Answers are read through Reader, and Meter, if set, is told of them. Fresh is set on a connection that has
// carried no call yet.
type Conn struct {
	net.Conn
	Reader    *bufio.Reader
	Meter     Meter
	Fresh     bool
	idleSince time.Time
	maxIdle   time.Duration
}

// maxReadBytes bounds the bytes of one read, so that a meter can end or delay an answer in time.
const maxReadBytes = 32 << 10

// Read reads bytes of an answer and tells the meter.
func (conn *Conn) Read(content []byte) (int, error) {
	count, err := conn.Conn.Read(content[:min(len(content), maxReadBytes)])
	if conn.Meter == nil || count == 0 {
		return count, err
	}
	if meterErr := conn.Meter.Received(content[:count]); meterErr != nil {
		return 0, meterErr
	}
	return count, err
}

// Pool holds idle connections by the address of their server. It is safe for concurrent use.
type Pool struct {
	lock         sync.Mutex
	idle         map[string][]*Conn
	idleCount    int
	distrusted   map[string]time.Time
	maxPerServer int
	maxIdle      time.Duration
}

// maxIdleConns bounds the idle connections to all servers, since the kernel may hold a full receive buffer of each.
const maxIdleConns = 512

// NewPool returns a pool that keeps at most maxPerServer idle connections to each server, each for at most maxIdle.
func NewPool(maxPerServer int, maxIdle time.Duration) *Pool {
	return &Pool{idle: map[string][]*Conn{}, distrusted: map[string]time.Time{}, maxPerServer: maxPerServer, maxIdle: maxIdle}
}

// Get returns the most recently used connection that has been idle for at most idle and is still open, or nil. It closes those that it passes over.
// lateBytes reports that bytes had arrived on one of them, which belong to no call.
func (pool *Pool) Get(address string, idle time.Duration) (conn *Conn, lateBytes bool) {
	for {
		conn = pool.take(address)
		if conn == nil {
			return nil, lateBytes
		}
		state := conn.state()
		if state == connQuiet && time.Since(conn.idleSince) <= min(idle, conn.maxIdle) {
			conn.Fresh = false
			return conn, lateBytes
		}
		lateBytes = lateBytes || state == connHasBytes
		_ = conn.Close()
	}
}

// take removes the most recently used connection to a server.
func (pool *Pool) take(address string) *Conn {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	conns := pool.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	pool.keep(address, conns[:len(conns)-1])
	return conn
}

// keep sets the idle connections to a server.
func (pool *Pool) keep(address string, conns []*Conn) {
	pool.idleCount += len(conns) - len(pool.idle[address])
	pool.idle[address] = conns
	if len(conns) == 0 {
		delete(pool.idle, address)
	}
}

// Distrust closes the idle connections to a server and keeps none for a time, since it sends bytes that belong to no call.
func (pool *Pool) Distrust(address string) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.distrust(address)
}

// distrust is Distrust for callers that hold the lock.
func (pool *Pool) distrust(address string) {
	pool.distrusted[address] = time.Now().Add(pool.maxIdle)
	for _, conn := range pool.idle[address] {
		_ = conn.Close()
	}
	pool.keep(address, nil)
}

// Dial opens a new connection, which does not belong to the pool until Put. limit bounds the time to connect.
func (pool *Pool) Dial(ctx context.Context, address string, limit time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: limit, KeepAlive: -1, Control: boundReceiveBuffer}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: opened, Fresh: true}
	conn.Reader = bufio.NewReader(conn)
	return conn, nil
}

// receiveBufferBytes bounds what the kernel holds of an answer that is not read.
const receiveBufferBytes = 128 << 10

// boundReceiveBuffer sets the receive buffer of a connection before it is opened. Where it can't be set, the kernel's own bound holds.
func boundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

// Put returns a connection to the pool after a complete answer, or closes it if the pool is full or unread bytes remain. keepAlive is
// how long the server announced that it keeps the connection, or 0; half of it is used, as a margin.
func (pool *Pool) Put(address string, conn *Conn, keepAlive time.Duration) {
	conn.idleSince, conn.maxIdle, conn.Meter = time.Now(), pool.maxIdle, nil
	if keepAlive > 0 {
		conn.maxIdle = min(conn.maxIdle, keepAlive/2)
	}
	_ = conn.SetDeadline(time.Time{})
	pool.lock.Lock()
	defer pool.lock.Unlock()
	conns := pool.idle[address]
	if len(conns) >= pool.maxPerServer || pool.idleCount >= maxIdleConns || conn.Reader.Buffered() > 0 || time.Now().Before(pool.distrusted[address]) {
		_ = conn.Close()
		return
	}
	pool.keep(address, append(conns, conn))
}

// CloseExpired closes connections that have been idle for too long, were closed by their server, or on which bytes arrived. It returns the
// addresses of the servers that sent such bytes, and distrusts them.
func (pool *Pool) CloseExpired() (lateBytes []string) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for address, conns := range pool.idle {
		remaining, late := conns[:0], false
		for _, conn := range conns {
			state := conn.state()
			if state == connQuiet && time.Since(conn.idleSince) <= conn.maxIdle {
				remaining = append(remaining, conn)
				continue
			}
			late = late || state == connHasBytes
			_ = conn.Close()
		}
		pool.keep(address, remaining)
		if late {
			pool.distrust(address)
			lateBytes = append(lateBytes, address)
		}
	}
	for address, until := range pool.distrusted {
		if time.Now().After(until) {
			delete(pool.distrusted, address)
		}
	}
	return lateBytes
}

// Idle returns the number of idle connections.
func (pool *Pool) Idle() int {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	return pool.idleCount
}

// connState is the state of an idle connection.
type connState int

// States of an idle connection: connQuiet is open and nothing arrived on it.
const (
	connQuiet connState = iota
	connClosed
	connHasBytes
)

// state looks at an idle connection without reading from it.
func (conn *Conn) state() connState {
	if conn.Reader.Buffered() > 0 {
		return connHasBytes
	}
	tcpConn, ok := conn.Conn.(*net.TCPConn)
	if !ok {
		return connClosed
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return connClosed
	}
	state, peeked := connClosed, make([]byte, 1)
	err = raw.Read(func(descriptor uintptr) bool {
		count, _, recvErr := unix.Recvfrom(int(descriptor), peeked, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case recvErr == unix.EAGAIN || recvErr == unix.EWOULDBLOCK:
			state = connQuiet
		case recvErr == nil && count > 0:
			state = connHasBytes
		}
		return true
	})
	if err != nil {
		return connClosed
	}
	return state
}
