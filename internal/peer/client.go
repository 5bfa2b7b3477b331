package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Client calls other processes and keeps connections to them.
type Client struct {
	secret string
	dial   func(ctx context.Context, address string) (net.Conn, error)
	http   *http.Client
	next   atomic.Uint64

	mu      sync.Mutex
	links   map[linkKey]*link
	sweptAt time.Time
}

type linkKey struct {
	address string
	slot    uint64
}

// link is one connection to another process, or the memory of a failed dial.
type link struct {
	// calls is the number of calls in progress, and usedAt when the last one ended.
	// Client.mu guards both.
	calls  int
	usedAt time.Time

	mu       sync.Mutex
	client   *rpc.Client
	conn     *timedConn
	failure  error
	failedAt time.Time
	dialing  chan struct{}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that shows the secret on each connection. A nil dial
// opens TCP connections.
func NewClient(secret string, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: DialTimeout, KeepAlive: KeepAlive}).DialContext
	}
	return &Client{
		secret: secret,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idleStreamConnections,
			IdleConnTimeout:     idleStreamTimeout,
		}},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		},
		links: make(map[linkKey]*link),
	}
}

// Call runs the method at the address and waits for its reply until ctx ends.
// The error is a *NotSentError when the other process never saw the call, an
// rpc.ServerError when the method returned an error, and a *NoReplyError otherwise.
// The caller must not reuse reply after a *NoReplyError, because it may still be written.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return &NotSentError{Address: address, Cause: err}
	}
	l := c.link(address)
	defer c.release(l)
	client, conn, err := l.connect(ctx, c, address)
	if err != nil {
		return &NotSentError{Address: address, Cause: err}
	}
	started := time.Now()
	body := &trackedArgs{args: args}
	call := client.Go(method, body, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return l.finish(call.Error, client, address, body.written.Load())
	case <-ctx.Done():
		if time.Since(started) >= UnresponsiveTimeout && conn.silentSince().Before(started) {
			l.drop(client)
		}
		return &NoReplyError{Address: address, Cause: ctx.Err()}
	}
}

// Close closes the connections to the address, or all when address is empty.
func (c *Client) Close(address string) {
	c.mu.Lock()
	var closing []*link
	for key, l := range c.links {
		if address == "" || key.address == address {
			closing = append(closing, l)
			delete(c.links, key)
		}
	}
	c.mu.Unlock()
	for _, l := range closing {
		l.drop(nil)
	}
	if address == "" {
		c.http.CloseIdleConnections()
	}
}

// link returns the next connection to the address for one call, which ends with release.
func (c *Client) link(address string) *link {
	key := linkKey{address: address, slot: c.next.Add(1) % ConnectionsPerPeer}
	c.mu.Lock()
	l, ok := c.links[key]
	if !ok {
		l = &link{}
		c.links[key] = l
	}
	l.calls++
	idle := c.takeIdle()
	c.mu.Unlock()
	for _, l := range idle {
		l.drop(nil)
	}
	return l
}

func (c *Client) release(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.calls--
	l.usedAt = time.Now()
}

// takeIdle removes the links without calls, once each sweepPeriod. The caller holds mu.
func (c *Client) takeIdle() []*link {
	if time.Since(c.sweptAt) < sweepPeriod {
		return nil
	}
	c.sweptAt = time.Now()
	var idle []*link
	for key, l := range c.links {
		if l.calls == 0 && time.Since(l.usedAt) > IdleConnectionTimeout {
			idle = append(idle, l)
			delete(c.links, key)
		}
	}
	return idle
}

// connect returns the open connection, or dials one. One caller dials while the
// others wait for it within their own time.
func (l *link) connect(ctx context.Context, c *Client, address string) (*rpc.Client, *timedConn, error) {
	for {
		l.mu.Lock()
		switch {
		case l.client != nil:
			defer l.mu.Unlock()
			return l.client, l.conn, nil
		case l.failure != nil && time.Since(l.failedAt) < RedialDelay:
			defer l.mu.Unlock()
			return nil, nil, l.failure
		case l.dialing == nil:
			l.dialing = make(chan struct{})
			go l.open(c, address, l.dialing)
		}
		dialing := l.dialing
		l.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

func (l *link) open(c *Client, address string, dialing chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	client, conn, err := c.open(ctx, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.client, l.conn, l.failure, l.failedAt = client, conn, err, time.Now()
	l.dialing = nil
	close(dialing)
}

func (c *Client) open(ctx context.Context, address string) (*rpc.Client, *timedConn, error) {
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	deadline, _ := ctx.Deadline()
	if err := raw.SetDeadline(deadline); err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	conn := newTimedConn(raw)
	in, err := c.handshake(ctx, conn, address)
	if err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	codec := &clientCodec{gobStream: newGobStream(conn, in)}
	return rpc.NewClientWithCodec(codec), conn, nil
}

func (c *Client) handshake(ctx context.Context, conn net.Conn, address string) (*bufio.Reader, error) {
	r := (&http.Request{
		Method: http.MethodConnect,
		URL:    &url.URL{Path: rpcPath},
		Host:   address,
		Header: make(http.Header),
	}).WithContext(ctx)
	Authorize(r, c.secret)
	if err := r.Write(conn); err != nil {
		return nil, err
	}
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
		_ = resp.Body.Close()
		return nil, &RefusedError{Status: resp.StatusCode, Message: strings.TrimSpace(string(text))}
	}
	return in, nil
}

// finish types the error of a call that ended and drops a connection that broke.
func (l *link) finish(err error, client *rpc.Client, address string, written bool) error {
	if err == nil {
		return nil
	}
	var served rpc.ServerError
	if errors.As(err, &served) {
		return err
	}
	l.drop(client)
	if !written {
		return &NotSentError{Address: address, Cause: err}
	}
	return &NoReplyError{Address: address, Cause: err}
}

// drop closes the connection if it is still the one of client, or any when client is nil.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil || (client != nil && l.client != client) {
		return
	}
	_ = l.client.Close()
	l.client, l.conn = nil, nil
}
