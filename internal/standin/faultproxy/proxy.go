package faultproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of the proxy.
const (
	// DialTimeout bounds connecting to the target.
	DialTimeout = 5 * time.Second
	// chunkBytes and queuedChunks bound the bytes that a direction buffers.
	chunkBytes   = 16 << 10
	queuedChunks = 64
)

// Config sets the target of a proxy.
type Config struct {
	// Target is the address to which connections are forwarded.
	Target string
	// Seed makes the selection of connections and the jitter reproducible.
	Seed uint64
	// Dial opens connections to the target; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// State is the state that the proxy reports.
type State struct {
	Target string `json:"target"`
	Faults Faults `json:"faults"`
	// Open is the number of open connections.
	Open     int    `json:"open"`
	Accepted uint64 `json:"accepted"`
	Refused  uint64 `json:"refused"`
	// Cuts counts connections that were cut by a fault or by Cut.
	Cuts uint64 `json:"cuts"`
}

// Proxy forwards TCP connections to a target and injects faults.
type Proxy struct {
	cfg Config

	mu        sync.Mutex
	rng       *rand.Rand
	faults    Faults
	epoch     uint64
	changed   chan struct{}
	conns     map[*proxiedConn]struct{}
	listeners []net.Listener
	closed    bool
	accepted  uint64
	refused   uint64
	cuts      uint64
}

// New returns a proxy without faults.
func New(cfg Config) *Proxy {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: DialTimeout}).DialContext
	}
	return &Proxy{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		changed: make(chan struct{}),
		conns:   make(map[*proxiedConn]struct{}),
	}
}

// Serve accepts connections until the listener or the proxy is closed.
func (p *Proxy) Serve(l net.Listener) error {
	if !p.add(l) {
		return net.ErrClosed
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return errors.Wrap(err, "accepting")
		}
		go p.handle(conn)
	}
}

func (p *Proxy) add(l net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = l.Close()
		return false
	}
	p.listeners = append(p.listeners, l)
	return true
}

// SetFaults replaces the faults, for open connections too.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.epoch++
	close(p.changed)
	p.changed = make(chan struct{})
}

// Cut cuts all open connections.
func (p *Proxy) Cut() {
	for _, c := range p.openConns() {
		c.cut()
	}
}

// Silence makes all open connections deliver nothing more, not even their end, and returns their
// number. New connections work.
func (p *Proxy) Silence() int {
	conns := p.openConns()
	for _, c := range conns {
		c.silent.Store(true)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
	return len(conns)
}

// Close closes the listeners and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	listeners := p.listeners
	p.listeners = nil
	p.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range p.openConns() {
		c.close()
	}
}

// State returns the current state of the proxy.
func (p *Proxy) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{
		Target:   p.cfg.Target,
		Faults:   p.faults,
		Open:     len(p.conns),
		Accepted: p.accepted,
		Refused:  p.refused,
		Cuts:     p.cuts,
	}
}

func (p *Proxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*proxiedConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

func (p *Proxy) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// current returns the faults, the number of their changes, and a channel that is closed by the next change.
func (p *Proxy) current() (Faults, uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.epoch, p.changed
}

func (p *Proxy) handle(client net.Conn) {
	c := newProxiedConn(p, client)
	f, _, _ := p.current()
	p.mu.Lock()
	refuse := p.closed || (f.Refuse && f.affects(c.draw))
	p.accepted++
	if refuse {
		p.refused++
	} else {
		p.conns[c] = struct{}{}
	}
	p.mu.Unlock()
	if refuse {
		resetOnClose(client)
		_ = client.Close()
		return
	}
	c.run()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}
