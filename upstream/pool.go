// Package upstream pools connections to model servers. A connection carries one call at a time and is closed if its state is in any
// doubt, so that a call can never receive another call's answer.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is one connection to a server. Answers are read through Reader. Fresh is set on a connection that has carried no call yet.
type Conn struct {
	net.Conn
	Reader    *bufio.Reader
	Fresh     bool
	idleSince time.Time
	maxIdle   time.Duration
}

// Pool holds idle connections by the address of their server. It is safe for concurrent use.
type Pool struct {
	lock         sync.Mutex
	idle         map[string][]*Conn
	maxPerServer int
	maxIdle      time.Duration
}

// NewPool returns a pool that keeps at most maxPerServer idle connections to each server, each for at most maxIdle.
func NewPool(maxPerServer int, maxIdle time.Duration) *Pool {
	return &Pool{idle: map[string][]*Conn{}, maxPerServer: maxPerServer, maxIdle: maxIdle}
}

// Get returns the most recently used connection that has been idle for at most idle and on which no bytes arrived, or nil. It closes
// those that it passes over.
func (pool *Pool) Get(address string, idle time.Duration) *Conn {
	for {
		pool.lock.Lock()
		conns := pool.idle[address]
		if len(conns) == 0 {
			pool.lock.Unlock()
			return nil
		}
		conn := conns[len(conns)-1]
		pool.idle[address] = conns[:len(conns)-1]
		pool.lock.Unlock()
		if idleFor := time.Since(conn.idleSince); idleFor > min(idle, conn.maxIdle) || !conn.usable() {
			_ = conn.Close()
			continue
		}
		conn.Fresh = false
		return conn
	}
}

// Dial opens a new connection, which does not belong to the pool until Put. limit bounds the time to connect.
func (pool *Pool) Dial(ctx context.Context, address string, limit time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: limit, KeepAlive: -1}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: opened, Reader: bufio.NewReader(opened), Fresh: true}, nil
}

// Put returns a connection to the pool after a complete answer, or closes it if the pool is full or unread bytes remain. keepAlive is
// how long the server announced that it keeps the connection, or 0; half of it is used, as a margin.
func (pool *Pool) Put(address string, conn *Conn, keepAlive time.Duration) {
	conn.idleSince, conn.maxIdle = time.Now(), pool.maxIdle
	if keepAlive > 0 {
		conn.maxIdle = min(conn.maxIdle, keepAlive/2)
	}
	_ = conn.SetDeadline(time.Time{})
	pool.lock.Lock()
	defer pool.lock.Unlock()
	conns := pool.idle[address]
	if len(conns) >= pool.maxPerServer || conn.Reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	pool.idle[address] = append(conns, conn)
}

// CloseExpired closes connections that have been idle for too long.
func (pool *Pool) CloseExpired() {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for address, conns := range pool.idle {
		remaining := conns[:0]
		for _, conn := range conns {
			if time.Since(conn.idleSince) > conn.maxIdle {
				_ = conn.Close()
				continue
			}
			remaining = append(remaining, conn)
		}
		pool.idle[address] = remaining
		if len(remaining) == 0 {
			delete(pool.idle, address)
		}
	}
}

// Idle returns the number of idle connections.
func (pool *Pool) Idle() int {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	count := 0
	for _, conns := range pool.idle {
		count += len(conns)
	}
	return count
}

// usable reports whether the connection is open and no bytes arrived on it while it was idle. Such bytes belong to no call.
func (conn *Conn) usable() bool {
	if conn.Reader.Buffered() > 0 {
		return false
	}
	tcpConn, ok := conn.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return false
	}
	usable, peeked := false, make([]byte, 1)
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, recvErr := unix.Recvfrom(int(descriptor), peeked, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = recvErr == unix.EAGAIN || recvErr == unix.EWOULDBLOCK
		return true
	})
	return err == nil && usable
}
