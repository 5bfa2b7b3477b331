package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// Bounds of connections.
const (
	// DialTimeout is the longest wait for a new connection. An instance without power
	// doesn't respond; a live one takes a few milliseconds.
	DialTimeout = 300 * time.Millisecond
	// tcpKeepAliveIdle, tcpKeepAliveInterval and tcpKeepAliveCount are the TCP keep-alive
	// that closes a connection within 4 s after its other end has disappeared.
	tcpKeepAliveIdle     = 2 * time.Second
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveCount    = 2
	// defaultIdle is how long a connection is kept if the upstream states no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from a stated timeout, since a request takes time to arrive.
	idleMargin = time.Second
	// readBuffer is the size of the read buffer in bytes. It holds the header of a response
	// and most unstreamed responses.
	readBuffer = 4 << 10
	// sweepPeriod is the minimum time between two sweeps of expired connections.
	sweepPeriod = time.Second
)

// Config defines how responses are read.
type Config struct {
	// ReadResponseInfo reads the protocol metadata of a response.
	ReadResponseInfo func(http.Header) dialect.ResponseInfo
	// Observe is called with the head of each response of the target as soon as it is read,
	// also of late responses; nil for none.
	Observe func(Observation)
}

// Observation is the head of a response as a statement of the upstream about itself.
type Observation struct {
	// Target is the upstream that the connection was opened to. A connection lives within one
	// start of an upstream.
	Target Target
	// Opened is when the connection was opened.
	Opened time.Time
	// Sent is when the request was written that the response belongs to; zero for a late response
	// to an earlier one.
	Sent time.Time
	// Request is the id of the attempt that the response belongs to or, if it states none, of the
	// one that it was read for.
	Request string
	Status  int
	Info    dialect.ResponseInfo
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns the function that opens connections to upstreams.
func Dial() DialFunc {
	d := net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveCount,
		},
	}
	return d.DialContext
}

// Target is an upstream to send to.
type Target struct {
	ID      string
	Address string
	// Born is the start time of the upstream by its registration, in Unix milliseconds.
	Born int64
	// MaxConnections bounds the connections of this process; 0 leaves them unbounded.
	MaxConnections int
}

// endpoint identifies the connections of an upstream. It has no MaxConnections and no Born,
// since these may change from one request to the next.
type endpoint struct {
	id      string
	address string
}

func (t Target) endpoint() endpoint { return endpoint{id: t.ID, address: t.Address} }

// errBusy means that all connections that may be open to an upstream are in use.
var errBusy = errors.New("all connections to the upstream are in use")

// Pool keeps the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	dial DialFunc

	mu      sync.Mutex
	idle    map[endpoint][]*conn
	open    map[endpoint]int
	sweptAt time.Time
}

// New returns a pool without connections.
func New(cfg Config, dial DialFunc) *Pool {
	return &Pool{cfg: cfg, dial: dial, idle: make(map[endpoint][]*conn), open: make(map[endpoint]int)}
}

// connect returns an idle connection that was used within the request's MaxIdle, or a new one. A
// connection on which the same attempt was refused isn't used for it again: a refusal on it could
// be a copy of the earlier one.
func (p *Pool) connect(ctx context.Context, t Target, req *Request) (*conn, error) {
	for {
		c := p.take(t, req.MaxIdle)
		if c == nil {
			break
		}
		if !c.hasRefused(req.ID) && c.isReusable() {
			return c, nil
		}
		p.discard(t, c)
	}
	if !p.reserve(t) {
		return nil, errBusy
	}
	raw, err := p.dial(ctx, "tcp", t.Address)
	if err != nil {
		p.unreserve(t)
		return nil, err
	}
	return newConn(raw, t), nil
}

// Probe opens a connection to the address and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// take removes and returns the most recently used idle connection, or nil. That one is the
// least likely to be closed by the upstream at this moment.
func (p *Pool) take(t Target, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	conns := p.idle[t.endpoint()]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	if now.Sub(c.idleSince) > maxIdle || now.After(c.expires) {
		return nil
	}
	p.idle[t.endpoint()] = conns[:len(conns)-1]
	return c
}

func (p *Pool) reserve(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := t.endpoint()
	if t.MaxConnections > 0 && p.open[at] >= t.MaxConnections {
		// An idle connection that is too old for this request is replaced by a new one.
		conns := p.idle[at]
		if len(conns) == 0 {
			return false
		}
		_ = conns[0].Close()
		p.idle[at] = conns[1:]
		p.open[at]--
	}
	p.open[at]++
	return true
}

func (p *Pool) unreserve(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeOpen(t.endpoint(), 1)
}

// removeOpen removes n connections from the count. The caller holds mu.
func (p *Pool) removeOpen(at endpoint, n int) {
	p.open[at] -= n
	if p.open[at] <= 0 {
		delete(p.open, at)
	}
}

func (p *Pool) discard(t Target, c *conn) {
	_ = c.Close()
	p.unreserve(t)
}

// put keeps an idle connection for the next exchange.
func (p *Pool) put(t Target, c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince, c.reused = time.Now(), true
	c.expires = c.idleSince.Add(idle)
	p.idle[t.endpoint()] = append(p.idle[t.endpoint()], c)
}

// giveBack returns a connection that was taken for a request and not used.
func (p *Pool) giveBack(t Target, c *conn) {
	if !c.reused {
		p.discard(t, c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[t.endpoint()] = append(p.idle[t.endpoint()], c)
}

// sweep closes expired connections. The caller holds mu.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepPeriod {
		return
	}
	p.sweptAt = now
	for at, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.removeOpen(at, 1)
		}
		if len(kept) == 0 {
			delete(p.idle, at)
			continue
		}
		p.idle[at] = kept
	}
}

// CloseAll closes all idle connections.
func (p *Pool) CloseAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
		p.removeOpen(at, len(conns))
		delete(p.idle, at)
	}
}
