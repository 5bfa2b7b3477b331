package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// idleMargin is added to the configured idle timeout, so that a request sent just before
// the timeout is not cut off.
const idleMargin = time.Second

// http2Preface is what the server reads first of a connection of HTTP/2 without TLS (RFC 9113,
// section 3.4).
var http2Preface = []byte("PRI * HTTP/2.0")

// expiredDeadline is a read deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// IdleConns ends callers' connections that exceed the configured idle timeout. The
// IdleTimeout of http.Server can't be changed while the server runs.
//
// For http.Server, a connection is idle until the next request is parsed, so closing it could
// cut off a request that was already read. Instead, the wait for the first byte of the next
// request times out, and the server's goroutine closes the connection. Once a byte was read,
// the connection isn't touched any more. A connection of HTTP/2 isn't tracked: http.Server.Shutdown
// ends it without losing a request.
type IdleConns struct {
	limit  func() time.Duration
	logger *log.Logger

	mu    sync.Mutex
	conns map[*callerConn]bool
}

// NewIdleConns returns an empty tracker. A limit of 0 disables the timeout.
func NewIdleConns(limit func() time.Duration, logger *log.Logger) *IdleConns {
	return &IdleConns{limit: limit, logger: logger, conns: make(map[*callerConn]bool)}
}

// Listener returns a listener whose connections are tracked.
func (i *IdleConns) Listener(l net.Listener) net.Listener {
	return &trackingListener{Listener: l, conns: i}
}

type trackingListener struct {
	net.Listener
	conns *IdleConns
}

// Accept returns the next connection, which waits for its first request.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: raw, conns: l.conns, waiting: true, isNew: true}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[c] = true
	return c, nil
}

// callerConn is a tracked connection of a caller.
type callerConn struct {
	net.Conn
	conns *IdleConns

	mu sync.Mutex
	// isNew is set until the first byte is read.
	isNew bool
	// waiting is set until the first byte of the next request is read.
	waiting bool
	// idleSince is the time of the last response, or zero before the first one.
	idleSince time.Time
	// expired is set once the wait for the next request was made to time out.
	expired bool
}

// Read reads from the connection and ends the wait for a request at its first byte.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if c.endWait() && bytes.HasPrefix(b[:n], http2Preface) {
		c.conns.remove(c)
	}
	return n, err
}

// endWait ends the wait for a request at its first byte, and reports whether it is the first byte
// of the connection.
func (c *callerConn) endWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.expired {
		// The request came before the wait timed out. A connection that can't be read any more
		// fails at the next read.
		c.expired = false
		_ = c.SetReadDeadline(time.Time{})
	}
	isNew := c.isNew
	c.isNew = false
	return isNew
}

// SetLinger is SetLinger of a TCP connection.
func (c *callerConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(lingerer); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// CloseWrite is CloseWrite of a TCP connection. The server calls it before it closes a connection
// with unread bytes, whose close resets it.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// expire ends the wait for a request if it is due, and reports whether it was not ended before.
func (c *callerConn) expire(isDue func(idleSince time.Time) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || !isDue(c.idleSince) {
		return false
	}
	first := !c.expired
	c.expired = true
	// The server may have set its own deadline since the last time. A connection that was closed
	// meanwhile needs none.
	_ = c.SetReadDeadline(expiredDeadline)
	return first
}

// Track is the ConnState callback of the callers' http.Server.
func (i *IdleConns) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.waiting, c.idleSince = true, time.Now()
	case http.StateClosed, http.StateHijacked:
		i.remove(c)
	}
}

func (i *IdleConns) remove(c *callerConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}

// Sweep ends the connections that exceed the idle timeout.
func (i *IdleConns) Sweep(context.Context) {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	now := time.Now()
	ended, open := i.expire(func(idleSince time.Time) bool {
		return !idleSince.IsZero() && now.Sub(idleSince) > limit+idleMargin
	})
	if ended > 0 {
		i.logger.Info().Int("closed", ended).Int("open", open).Dur("idleTimeout", limit).Msg("idle connections of callers closed")
	}
}

// Drain ends the connections that wait for a request, and waits until all connections are
// closed or ctx ends. No further connections may be accepted.
func (i *IdleConns) Drain(ctx context.Context) error {
	return instance.WaitUntil(ctx, func() bool {
		_, open := i.expire(func(time.Time) bool { return true })
		return open == 0
	})
}

// expire ends the waits for requests that are due, and returns how many were not ended before
// and how many connections are open.
func (i *IdleConns) expire(isDue func(idleSince time.Time) bool) (ended, open int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if c.expire(isDue) {
			ended++
		}
	}
	return ended, len(i.conns)
}
