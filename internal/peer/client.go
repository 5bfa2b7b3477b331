package peer

import (
	"bufio"
	"context"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/rpc"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Client calls other processes over pooled connections.
type Client struct {
	secrets *secrets
	dial    func(ctx context.Context, address string) (net.Conn, error)
	http    *http.Client
	next    atomic.Uint64

	mu            sync.Mutex
	conns         map[connKey]*connection
	idleCheckedAt time.Time
	// retired are the connections that no further call uses, with the timers that close them.
	retired map[*rpc.Client]*time.Timer
}

type connKey struct {
	address string
	index   uint64
}

// connection is a pooled connection to another process, or the error of its last dial.
type connection struct {
	// calls is the number of calls in progress; usedAt is when the last one ended.
	// Both are guarded by Client.mu.
	calls  int
	usedAt time.Time

	mu     sync.Mutex
	client *rpc.Client
	conn   *timedConn
	// unansweredSince is when the first call was sent that timed out with nothing received since;
	// zero if there is none.
	unansweredSince time.Time
	dialErr         error
	dialFailedAt    time.Time
	dialing         chan struct{}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that authenticates each connection with the secret. A
// nil dial opens TCP connections.
func NewClient(secret string, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: DialTimeout, KeepAlive: KeepAlive}).DialContext
	}
	return &Client{
		secrets: newSecrets(secret),
		http: &http.Client{Transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    idleStreamConnections,
			IdleConnTimeout:        idleStreamTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		},
		conns:   make(map[connKey]*connection),
		retired: make(map[*rpc.Client]*time.Timer),
	}
}

// AddSecret makes new connections authenticate with the secret. Processes that don't accept it
// are called with the earlier ones. Streams use only the newest one.
func (c *Client) AddSecret(secret string) { c.secrets.add(secret) }

// Call runs the method at the address and waits for its reply until ctx ends.
// The error is a *NotSentError when the call was certainly not run, an rpc.ServerError
// when the method returned an error, and a *NoReplyError otherwise.
// The caller must not reuse reply after a *NoReplyError, because it may still be written.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return &NotSentError{Address: address, Cause: err}
	}
	pc := c.connection(address)
	defer c.release(pc)
	client, conn, err := pc.connect(ctx, c, address)
	if err != nil {
		return &NotSentError{Address: address, Cause: err}
	}
	started := time.Now()
	body := &trackedArgs{args: args}
	call := client.Go(method, body, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return pc.finish(call.Error, client, address, body.writeStarted.Load())
	case <-ctx.Done():
		if time.Since(started) >= UnresponsiveTimeout && conn.lastReadAt().Before(started) {
			pc.drop(client)
		} else if pc.isUnresponsive(conn, started, time.Now()) {
			c.retire(pc, client)
		}
		return &NoReplyError{Address: address, Cause: ctx.Err()}
	}
}

// Close closes the connections to the address, or all when address is empty.
func (c *Client) Close(address string) {
	for _, pc := range c.remove(address) {
		pc.drop(nil)
	}
	if address == "" {
		for _, client := range c.allRetired() {
			c.closeRetired(client)
		}
		c.http.CloseIdleConnections()
	}
}

// remove removes and returns the connections to the address, or all when address is empty.
func (c *Client) remove(address string) []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []*connection
	for key, pc := range c.conns {
		if address == "" || key.address == address {
			removed = append(removed, pc)
			delete(c.conns, key)
		}
	}
	return removed
}

// connection returns the next pooled connection to the address, in turn, for one call.
// The caller must release it after the call.
func (c *Client) connection(address string) *connection {
	pc, idle := c.take(connKey{address: address, index: c.next.Add(1) % ConnectionsPerPeer})
	for _, pc := range idle {
		pc.drop(nil)
	}
	return pc
}

// take returns the connection for one call, and the idle ones that it removed.
func (c *Client) take(key connKey) (pc *connection, idle []*connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc, ok := c.conns[key]
	if !ok {
		pc = &connection{}
		c.conns[key] = pc
	}
	pc.calls++
	return pc, c.removeIdle()
}

func (c *Client) release(pc *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc.calls--
	pc.usedAt = time.Now()
}

// removeIdle removes and returns the idle connections, at most once per idleCheckPeriod.
// The caller holds mu.
func (c *Client) removeIdle() []*connection {
	if time.Since(c.idleCheckedAt) < idleCheckPeriod {
		return nil
	}
	c.idleCheckedAt = time.Now()
	var idle []*connection
	for key, pc := range c.conns {
		if pc.calls == 0 && time.Since(pc.usedAt) > IdleConnectionTimeout {
			idle = append(idle, pc)
			delete(c.conns, key)
		}
	}
	return idle
}

// connect returns the open connection, or dials one. Concurrent callers share one
// dial, each waiting for it until its own ctx ends.
func (pc *connection) connect(ctx context.Context, c *Client, address string) (*rpc.Client, *timedConn, error) {
	for {
		client, conn, dialing, err := pc.currentOrDial(c, address)
		if dialing == nil {
			return client, conn, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// currentOrDial returns the open connection, the error of a recent dial, or a channel that is
// closed when the dial in progress has ended.
func (pc *connection) currentOrDial(c *Client, address string) (*rpc.Client, *timedConn, chan struct{}, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	switch {
	case pc.client != nil:
		return pc.client, pc.conn, nil, nil
	case pc.dialErr != nil && time.Since(pc.dialFailedAt) < RedialDelay:
		return nil, nil, nil, pc.dialErr
	case pc.dialing == nil:
		pc.dialing = make(chan struct{})
		go pc.open(c, address, pc.dialing)
	}
	return nil, nil, pc.dialing, nil
}

func (pc *connection) open(c *Client, address string, dialing chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	client, conn, err := c.open(ctx, address)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.client, pc.conn, pc.dialErr, pc.dialFailedAt = client, conn, err, time.Now()
	pc.unansweredSince = time.Time{}
	pc.dialing = nil
	close(dialing)
}

// open opens a connection with the newest secret that the other process accepts.
func (c *Client) open(ctx context.Context, address string) (client *rpc.Client, conn *timedConn, err error) {
	for _, secret := range c.secrets.all() {
		client, conn, err = c.openWith(ctx, address, secret)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Status != http.StatusUnauthorized {
			break
		}
	}
	return client, conn, err
}

func (c *Client) openWith(ctx context.Context, address, secret string) (*rpc.Client, *timedConn, error) {
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
	in, err := c.handshake(ctx, conn, address, secret)
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

func (c *Client) handshake(ctx context.Context, conn net.Conn, address, secret string) (*bufio.Reader, error) {
	r := (&http.Request{
		Method: http.MethodConnect,
		URL:    &url.URL{Path: rpcPath},
		Host:   address,
		Header: make(http.Header),
	}).WithContext(ctx)
	Authorize(r, secret)
	if err := r.Write(conn); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxHandshakeBytes}
	in := bufio.NewReader(limited)
	resp, err := http.ReadResponse(in, r)
	if err != nil {
		return nil, err
	}
	// From here on, each message has its own limit.
	limited.N = math.MaxInt64
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		_ = resp.Body.Close()
		return nil, &RefusedError{Status: resp.StatusCode, Message: strings.TrimSpace(string(text))}
	}
	return in, nil
}

// isUnresponsive records a call that timed out, and reports whether nothing was received on the
// connection for UnresponsiveTimeout of calls. Calls with shorter time-outs prove it together.
func (pc *connection) isUnresponsive(conn *timedConn, started, now time.Time) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != conn {
		return false
	}
	switch received := conn.lastReadAt(); {
	case received.After(started):
		pc.unansweredSince = time.Time{}
		return false
	case pc.unansweredSince.IsZero() || received.After(pc.unansweredSince):
		pc.unansweredSince = started
	}
	return now.Sub(pc.unansweredSince) >= UnresponsiveTimeout
}

// finish converts the error of a completed call to a type that Call documents, and
// closes the connection if it failed.
func (pc *connection) finish(err error, client *rpc.Client, address string, writeStarted bool) error {
	if err == nil {
		return nil
	}
	var served rpc.ServerError
	if errors.As(err, &served) {
		return err
	}
	pc.drop(client)
	if !writeStarted {
		return &NotSentError{Address: address, Cause: err}
	}
	return &NoReplyError{Address: address, Cause: err}
}

// retire makes further calls open a new connection. Calls in progress may still be answered on the
// present one, if the other process is only slow; it is closed later.
func (c *Client) retire(pc *connection, client *rpc.Client) {
	if !pc.detach(client) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired[client] = time.AfterFunc(retiredTime, func() { c.closeRetired(client) })
}

// detach makes further calls open a new connection, and reports whether the present one belongs to
// client.
func (pc *connection) detach(client *rpc.Client) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.client != client {
		return false
	}
	pc.client, pc.conn = nil, nil
	return true
}

func (c *Client) closeRetired(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.retired[client]; timer != nil {
		timer.Stop()
		delete(c.retired, client)
		_ = client.Close()
	}
}

// allRetired returns the connections that are retired and not closed yet.
func (c *Client) allRetired() []*rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.retired))
}

// drop closes the connection if it still belongs to client; a nil client matches any.
func (pc *connection) drop(client *rpc.Client) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.client == nil || (client != nil && pc.client != client) {
		return
	}
	_ = pc.client.Close()
	pc.client, pc.conn = nil, nil
}
