// Package pipe is a network of in-memory connections for tests. The connections work
// under testing/synctest, so that timeouts elapse without real waiting.
//
// # Usage
//
//	var n pipe.Network
//	defer n.Serve("10.0.0.1:80", handler)()
//	defer n.Handle("10.0.0.2:80", func(c net.Conn) { ... })()
//	n.BlackHole("10.0.0.3:80")
//	conn, err := n.Dial(ctx, "tcp", "10.0.0.1:80")
package pipe

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Network connects dials with listeners by address. The zero value has no listeners.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	dials     map[string]int
}

// Listen returns a new listener of the address, which replaces an earlier one.
func (n *Network) Listen(address string) *Listener {
	l := NewListener()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners, n.dials = make(map[string]*Listener), make(map[string]int)
	}
	n.listeners[address] = l
	return l
}

// Serve serves HTTP at the address until the returned function is called.
func (n *Network) Serve(address string, h http.Handler) func() {
	return serve(n.Listen(address), h)
}

// Handle runs the handler for each connection to the address until the returned function
// is called. The handler closes the connection.
func (n *Network) Handle(address string, handleConn func(net.Conn)) func() {
	l := n.Listen(address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handleConn(c)
		}
	}()
	return func() { _ = l.Close() }
}

// BlackHole makes dials to the address block until their context ends.
func (n *Network) BlackHole(address string) { n.Listen(address) }

// Dials returns the number of dials to the address.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// Dial connects to the listener of the address.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	if l != nil {
		n.dials[address]++
	}
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	return l.Dial(ctx, network, address)
}

// Listener accepts the server ends of net.Pipe connections.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns a listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Client serves h and returns a client that sends every request to it, and a function
// that closes both.
func Client(h http.Handler) (*http.Client, func()) {
	l := NewListener()
	stop := serve(l, h)
	t := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: l.Dial}
	return &http.Client{Transport: t}, func() {
		t.CloseIdleConnections()
		stop()
	}
}

func serve(l *Listener, h http.Handler) func() {
	hs := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = hs.Serve(l) }()
	return func() { _ = hs.Close() }
}

// Dial returns the client end of a new connection.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	if err := l.Deliver(ctx, server); err != nil {
		return nil, err
	}
	return client, nil
}

// Deliver passes the server end of a connection to Accept.
func (l *Listener) Deliver(ctx context.Context, server net.Conn) error {
	select {
	case l.conns <- server:
		return nil
	case <-l.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder address.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }
