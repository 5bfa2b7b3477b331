package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client whose transport uses HTTP/1.1 without proxy,
// redirects or compression and tells calls that were not sent from others. A nil
// dial opens TCP connections.
func NewHTTPClient(cfg Config, dial DialFunc) *http.Client {
	cfg = cfg.withDefaults()
	if dial == nil {
		dial = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	open := &connections{onRestart: cfg.OnRestart}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		CheckRedirect: refuseRedirect,
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				open.opened()
				return &countedConn{Conn: conn, connections: open}, nil
			},
			Protocols:              protocols,
			DisableCompression:     true,
			MaxIdleConns:           cfg.MaxIdleConnections,
			MaxIdleConnsPerHost:    cfg.MaxIdleConnections,
			MaxResponseHeaderBytes: MaxHeaderBytes,
			IdleConnTimeout:        IdleTimeout,
		},
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

var errSealed = errors.New("connection was given up")

// countedConn counts the bytes of its writes before they reach the operating system.
type countedConn struct {
	net.Conn
	connections *connections
	mu          sync.Mutex
	sealed      bool
	written     uint64
	ended       bool
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && isClosedByUpstream(err) {
		c.end(true)
	}
	return n, err
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.end(false)
	return c.Conn.Close()
}

// end reports the end of the connection once.
func (c *countedConn) end(byUpstream bool) {
	c.mu.Lock()
	first := !c.ended
	c.ended = true
	c.mu.Unlock()
	if first {
		c.connections.closed(byUpstream)
	}
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal refuses every later write and returns the bytes written so far. Without
// it, the transport's writer could still send a call that was reported as not sent.
func (c *countedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sendTrace finds out whether a failed call was sent.
type sendTrace struct {
	mu     sync.Mutex
	got    bool
	conn   *countedConn
	before uint64
}

func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.got = true
	if conn, ok := info.Conn.(*countedConn); ok {
		t.conn = conn
		t.before = conn.count()
	}
}

// wasSent must be called only after the round trip failed, because it makes the connection unusable.
func (t *sendTrace) wasSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.got {
		return false
	}
	return t.conn == nil || t.conn.seal() != t.before
}
