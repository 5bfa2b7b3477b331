package instance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout limits how long a client may take to send the request header, so that
	// incomplete requests don't keep connections open indefinitely.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 2 * time.Minute
	// keepAlive is the idle time after which TCP probes a connection. With Go's default
	// of 15 s, probes would be a large part of the traffic of rarely used connections.
	keepAlive = time.Minute
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 16 << 10
)

// Server is one HTTP listener of a process.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// ServerOption changes the HTTP server before it serves.
type ServerOption func(*http.Server)

// What one connection of HTTP/2 may hold of a server: requests in progress, and bytes of their bodies that
// no handler has read yet.
const (
	http2Streams      = 32
	http2BufferBytes  = 64 << 10
	http2MaxFrameSize = 16 << 10
)

// WithUnencryptedHTTP2 also serves HTTP/2 without TLS.
func WithUnencryptedHTTP2() ServerOption {
	return func(s *http.Server) {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		s.Protocols = protocols
		s.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams: http2Streams, MaxReceiveBufferPerConnection: http2BufferBytes,
			MaxReceiveBufferPerStream: http2BufferBytes, MaxReadFrameSize: http2MaxFrameSize,
		}
	}
}

// Listen opens a listener on the address, which is an IP address and port.
func Listen(ctx context.Context, address string, h http.Handler, options ...ServerOption) (*Server, error) {
	return ListenWith(ctx, net.ListenConfig{KeepAlive: keepAlive}, address, h, options...)
}

// ListenWith is Listen with the connection settings of lc.
func ListenWith(ctx context.Context, lc net.ListenConfig, address string, h http.Handler, options ...ServerOption) (*Server, error) {
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	for _, option := range options {
		option(s)
	}
	return &Server{listener: l, http: s}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Apply changes the HTTP server. It must be called before Serve.
func (s *Server) Apply(options ...ServerOption) {
	for _, option := range options {
		option(s.http)
	}
}

// WrapListener replaces the listener by one that wraps it. It must be called before Serve.
func (s *Server) WrapListener(wrap func(net.Listener) net.Listener) { s.listener = wrap(s.listener) }

// Serve serves until Shutdown or Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serving on %s", s.Address())
	}
	return nil
}

// StopAccepting closes the listener and leaves the connections open. Serve returns an error.
func (s *Server) StopAccepting() error {
	return errors.Wrap(s.listener.Close(), "closing the listener")
}

// Shutdown closes the listener, unless it is closed, and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "shutting down")
	}
	return nil
}

// Close closes the listener and every connection.
func (s *Server) Close() error { return errors.Wrap(s.http.Close(), "closing") }
