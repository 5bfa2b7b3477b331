package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client whose transport uses HTTP/1.1 without proxy, redirects or
// compression and distinguishes calls that were not sent from others. A nil dial opens TCP
// connections.
func NewHTTPClient(cfg Config, dial DialFunc) *http.Client {
	cfg = cfg.withDefaults()
	if dial == nil {
		dial = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	tracker := &connectionTracker{onRestart: cfg.OnRestart}
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
				tracker.opened()
				return &countingConn{Conn: conn, connectionTracker: tracker}, nil
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

var errWritesDisabled = errors.New("writes are disabled: the call was reported as failed")

// countingConn counts the bytes of its writes before they are passed to the operating system.
type countingConn struct {
	net.Conn
	connectionTracker *connectionTracker
	mu                sync.Mutex
	writesDisabled    bool
	// retired is set after a refusal. No further call is sent on the connection: a refusal that
	// came on it then could be a copy of the earlier one, since upstreams need not echo the
	// attempt.
	retired       bool
	written       uint64
	closeReported bool
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && isClosedByUpstream(err) {
		c.reportClosed(true)
	}
	return n, err
}

// Close closes the connection.
func (c *countingConn) Close() error {
	c.reportClosed(false)
	return c.Conn.Close()
}

// reportClosed reports the closed connection to the tracker, at most once.
func (c *countingConn) reportClosed(byUpstream bool) {
	c.mu.Lock()
	first := !c.closeReported
	c.closeReported = true
	c.mu.Unlock()
	if first {
		c.connectionTracker.closed(byUpstream)
	}
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesDisabled || c.retired {
		c.mu.Unlock()
		return 0, errWritesDisabled
	}
	c.written += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) bytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// disableWrites makes every later write fail and returns the bytes written so far.
// Otherwise the transport's write loop could still send a call that was reported as not sent.
func (c *countingConn) disableWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.written
}

// retire makes every later write fail and reports whether the connection was in use until now.
func (c *countingConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.retired
	c.retired = true
	return first
}

func (c *countingConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// sendTrace determines whether a failed call was sent.
type sendTrace struct {
	mu            sync.Mutex
	gotConnection bool
	conn          *countingConn
	writtenBefore uint64
}

func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gotConnection = true
	if conn, ok := info.Conn.(*countingConn); ok {
		t.conn = conn
		t.writtenBefore = conn.bytesWritten()
	}
}

// wasSent reports whether any byte of the call may have been sent. It must be called only
// after the round trip failed, because it makes the connection unusable.
func (t *sendTrace) wasSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.gotConnection {
		return false
	}
	return t.conn == nil || t.conn.disableWrites() != t.writtenBefore
}

// retire retires the connection of a call that was refused, and reports whether that proves that
// the refusal is of this call: there was no earlier one on the connection.
func (t *sendTrace) retire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn == nil || t.conn.retire()
}

// isRetired reports whether the call was not sent because its connection had been retired.
func (t *sendTrace) isRetired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.isRetired()
}
