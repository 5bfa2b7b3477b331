package roles

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/gateway"
	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// readListener calls afterRead once a connection has read bytes and before the server has them.
type readListener struct {
	net.Listener
	afterRead func()
}

func (l *readListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &readConn{Conn: c, afterRead: l.afterRead}, err
}

type readConn struct {
	net.Conn
	afterRead func()
}

func (c *readConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// serveCallers serves h as an entry does until the test ends.
func serveCallers(t *testing.T, h http.Handler, afterRead func(*instance.Server, *gateway.IdleConns)) *instance.Server {
	t.Helper()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	conns := gateway.NewIdleConns(func() time.Duration { return 0 }, newIntake(1<<30, 0, logger, tally.NoopScope), logger)
	conns.ServeHTTP2()
	track := func(s *http.Server) { s.ConnState = conns.Track }
	s, err := instance.Listen(t.Context(), "127.0.0.1:0", h, instance.WithUnencryptedHTTP2(), track)
	if err != nil {
		t.Fatal(err)
	}
	s.WrapListener(func(l net.Listener) net.Listener {
		return conns.Listener(&readListener{Listener: l, afterRead: func() { afterRead(s, conns) }})
	})
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve() }()
	return s
}

// Guards against a request that an entry has read whole and that gets no answer because the entry
// shuts down: http.Server.Shutdown closes a connection whose request isn't parsed yet, and drops
// the request of one that is.
func TestRequestReadBesideAShutdownIsAnswered(t *testing.T) {
	// A request is read in two parts: as many bytes as the preface of HTTP/2 has, and the rest.
	for shutDownAt := range 4 {
		var reads atomic.Int32
		shutDown := make(chan error, 1)
		s := serveCallers(t, http.NotFoundHandler(), func(s *instance.Server, conns *gateway.IdleConns) {
			if int(reads.Add(1)) != shutDownAt+1 {
				return
			}
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				shutDown <- shutDownCallers(ctx, s, conns)
			}()
			time.Sleep(50 * time.Millisecond)
		})
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		br := bufio.NewReader(conn)
		for int(reads.Load()) <= shutDownAt {
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: host\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Errorf("shutdown at read %d: no answer: %v", shutDownAt+1, err)
				break
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err := <-shutDown; err != nil {
			t.Error(err)
		}
		_ = conn.Close()
	}
}

// Guards against a shutdown that waits for an idle connection of HTTP/2 until its time is over,
// or cuts off a request on one.
func TestShutdownEndsHTTP2Connections(t *testing.T) {
	inProgress := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(inProgress)
			time.Sleep(100 * time.Millisecond)
		}
		w.WriteHeader(http.StatusNoContent)
	}
	var conns atomic.Pointer[gateway.IdleConns]
	s := serveCallers(t, http.HandlerFunc(handler), func(_ *instance.Server, c *gateway.IdleConns) { conns.Store(c) })
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	get := func(path string) error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address()+path, nil)
		if err != nil {
			return err
		}
		resp, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	if err := get("/"); err != nil {
		t.Fatal(err)
	}
	slow := make(chan error, 1)
	go func() { slow <- get("/slow") }()
	<-inProgress
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := shutDownCallers(ctx, s, conns.Load()); err != nil {
		t.Error(err)
	}
	if err := <-slow; err != nil {
		t.Errorf("the request in progress got no answer: %v", err)
	}
}
