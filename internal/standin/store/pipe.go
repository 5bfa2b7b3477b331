package store

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
)

// PipeURL is the base URL for the client of Pipe.
const PipeURL = "http://store"

// Pipe serves h over in-memory connections, which work under testing/synctest, and
// returns a client for them and a function that closes both.
func Pipe(h http.Handler) (*http.Client, func()) {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	hs := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = hs.Serve(l) }()
	t := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: l.dial}
	return &http.Client{Transport: t}, func() {
		t.CloseIdleConnections()
		_ = hs.Close()
	}
}

// pipeListener accepts the server ends of net.Pipe connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder address.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }
