package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

// trackedServer serves callers over in-memory connections whose idle times are tracked.
type trackedServer struct {
	*http.Server
	idle     *IdleConns
	listener *pipe.Listener
}

// newTrackedServer returns a server of h that the test serves. It calls before with each new state that
// the tracker is about to get.
func newTrackedServer(t *testing.T, h http.Handler, limit func() time.Duration, before func(*IdleConns, http.ConnState)) *trackedServer {
	t.Helper()
	idle := NewIdleConns(limit, newTestIntake(), &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	s := &trackedServer{idle: idle, listener: pipe.NewListener()}
	s.Server = &http.Server{Handler: idle.Handler(h), ConnContext: WithConn, ErrorLog: stdlog.New(io.Discard, "", 0), ConnState: func(conn net.Conn, state http.ConnState) {
		before(idle, state)
		idle.Track(conn, state)
	}}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// serveTracked is newTrackedServer that serves until the test ends.
func serveTracked(t *testing.T, h http.Handler, limit func() time.Duration, before func(*IdleConns, http.ConnState)) *trackedServer {
	t.Helper()
	s := newTrackedServer(t, h, limit, before)
	go func() { _ = s.Serve(s.idle.Listener(s.listener)) }()
	return s
}

// caller is one connection to a trackedServer.
type caller struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

func (s *trackedServer) connect(ctx context.Context, t *testing.T) *caller {
	t.Helper()
	conn, err := s.listener.Dial(ctx, "", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, conn: conn, br: bufio.NewReader(conn)}
}

// request sends a request and returns the status of its response.
func (c *caller) request() int {
	c.t.Helper()
	r, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://host/", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		c.t.Fatal(err)
	}
	// The request arrives in two parts.
	for _, part := range [][]byte{b.Next(10), b.Bytes()} {
		if _, err := c.conn.Write(part); err != nil {
			c.t.Fatalf("request not sent: %v", err)
		}
		time.Sleep(time.Millisecond)
	}
	resp, err := http.ReadResponse(c.br, r)
	if err != nil {
		c.t.Fatalf("request without a response: %v", err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if closeErr := resp.Body.Close(); err != nil || closeErr != nil {
		c.t.Fatalf("incomplete response: %v, %v", err, closeErr)
	}
	return resp.StatusCode
}

// isClosed reports whether the server has closed the connection.
func (c *caller) isClosed() bool {
	c.t.Helper()
	synctest.Wait()
	if err := c.conn.SetReadDeadline(time.Now().Add(time.Nanosecond)); err != nil {
		// The deadline of a pipe can't be set once its other end is closed.
		return true
	}
	_, err := c.br.ReadByte()
	_ = c.conn.SetReadDeadline(time.Time{})
	return err == io.EOF
}

// Guards against connections that are closed within the idle timeout or during a request, and
// against connections that are never closed.
func TestIdleConnectionsAreClosedAfterTheConfiguredTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 10 * time.Second
		handler := func(w http.ResponseWriter, _ *http.Request) { time.Sleep(5 * time.Second) }
		s := serveTracked(t, http.HandlerFunc(handler), func() time.Duration { return limit }, func(*IdleConns, http.ConnState) {})
		sleepAndSweep := func(d time.Duration) {
			time.Sleep(d)
			s.idle.Sweep(t.Context())
		}
		c := s.connect(t.Context(), t)
		c.request()
		sleepAndSweep(9 * time.Second)
		time.AfterFunc(4*time.Second, func() { s.idle.Sweep(t.Context()) })
		c.request()
		sleepAndSweep(10 * time.Second)
		if c.isClosed() {
			t.Fatal("closed within the idle timeout or during a request")
		}
		limit = 0
		sleepAndSweep(time.Minute)
		if c.isClosed() {
			t.Fatal("closed without a limit")
		}
		limit = 10 * time.Second
		sleepAndSweep(0)
		if !c.isClosed() {
			t.Error("not closed after the idle timeout")
		}
	})
}

// Guards against a request that was read whole and gets no answer: its connection counts as
// idle until the server has parsed the request, and after a change of the configuration that
// lowers the idle timeout the connection was closed meanwhile.
func TestRequestBesideLowerIdleTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 15 * time.Second
		requests := 0
		s := serveTracked(t, http.NotFoundHandler(), func() time.Duration { return limit }, func(idle *IdleConns, state http.ConnState) {
			if state == http.StateActive {
				if requests++; requests == 2 {
					idle.Sweep(t.Context())
				}
			}
		})
		c := s.connect(t.Context(), t)
		c.request()
		time.Sleep(5 * time.Second)
		limit = time.Second
		if status := c.request(); status != http.StatusNotFound {
			t.Errorf("got status %d", status)
		}
		// The connection is sound: a request that comes slowly is served as well.
		time.Sleep(500 * time.Millisecond)
		c.request()
	})
}

// Guards against a request that was read whole and gets no answer, because the gateway closes
// its connections at the end of its departure: http.Server.Shutdown closes a connection whose
// request isn't parsed yet, and drops the request of one that is.
func TestRequestAtTheEndOfADepartureIsAnswered(t *testing.T) {
	for _, requestsBefore := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			drained := make(chan error, 1)
			noLimit := func() time.Duration { return 0 }
			handler := func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(time.Second):
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				}
			}
			s := newTrackedServer(t, http.HandlerFunc(handler), noLimit, func(*IdleConns, http.ConnState) {})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			reads := 0
			go func() {
				_ = s.Serve(s.idle.Listener(&readLog{Listener: s.listener, afterRead: func() {
					if reads++; reads == 2*requestsBefore+1 {
						go func() { drained <- s.idle.Drain(ctx) }()
						time.Sleep(time.Second)
					}
				}}))
			}()
			others := []*caller{s.connect(t.Context(), t), s.connect(t.Context(), t)}
			c := s.connect(t.Context(), t)
			for range requestsBefore {
				c.request()
			}
			c.request()
			if err := <-drained; err != nil {
				t.Error(err)
			}
			for _, other := range append(others, c) {
				if !other.isClosed() {
					t.Error("a connection is open after the departure")
				}
			}
		})
	}
}

// Guards against a refusal that is not written, because the write deadline of an earlier request
// on the connection has passed: the route or the key was removed meanwhile.
func TestRefusalAfterAnEarlierDeadlineIsWritten(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(plainService, &countingUpstream{})
		if resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1", remaining: 100 * time.Millisecond}); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %+v, %v", resp, err)
		}
		time.Sleep(10 * time.Second)
		for path, want := range map[string]int{"/removed/x": http.StatusNotFound, "/stream/x": http.StatusServiceUnavailable} {
			if resp, _, err := f.send(t.Context(), callerRequest{path: path, id: "r2"}); err != nil || resp.StatusCode != want {
				t.Errorf("%s got %+v, %v, want %d", path, resp, err, want)
			}
		}
		if n := f.net.Dials(gatewayAddress); n != 1 {
			t.Errorf("%d connections, want one that is kept", n)
		}
	})
}

// Guards against a flood that closes kept connections of sound callers for new ones which are refused
// all the same.
func TestRefusedConnectionsEndNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
		budget := intake.New(intake.Config{MemoryBytes: 1 << 30, Descriptors: 64}, logger, tally.NoopScope)
		idle := NewIdleConns(func() time.Duration { return 0 }, budget, logger)
		bound := budget.MaxConnections()
		admit := func() *callerConn {
			conn, other := net.Pipe()
			t.Cleanup(func() { _, _ = conn.Close(), other.Close() })
			return idle.admit(conn, time.Now())
		}
		for range bound {
			admit()
		}
		time.Sleep(time.Second)
		admitted := 0
		for range 2 * bound {
			if admit() != nil {
				admitted++
			}
		}
		ended := 0
		for c := range idle.conns {
			if c.ended {
				ended++
			}
		}
		if want := bound/connOvershootDivisor + 1; admitted != want || ended != want {
			t.Errorf("%d connections were ended for %d new ones, want %d", ended, admitted, want)
		}
	})
}

// Guards against a request whose head has just begun on a kept connection and is ended first, as the
// connection had waited for longer than stalled heads.
func TestHeadThatHasJustBegunIsNotEndedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		noLimit := func() time.Duration { return 0 }
		idle := NewIdleConns(noLimit, newTestIntake(), &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		var conns []*callerConn
		for range 2 {
			conn, other := net.Pipe()
			t.Cleanup(func() { _, _ = conn.Close(), other.Close() })
			conns = append(conns, idle.admit(conn, time.Now()))
			time.Sleep(time.Second)
		}
		kept, stalled := conns[0], conns[1]
		stalled.beginHead([]byte("P"))
		time.Sleep(3 * time.Second)
		kept.beginHead([]byte("P"))
		if !idle.endOldest(time.Now()) || kept.ended || !stalled.ended {
			t.Errorf("the head that has just begun is ended: %t, and the stalled one: %t", kept.ended, stalled.ended)
		}
		if idle.endOldest(time.Now()) {
			t.Error("a head that has just begun is ended")
		}
		time.Sleep(minWaitBeforeEnd)
		if !idle.endOldest(time.Now()) {
			t.Error("a stalled head isn't ended")
		}
	})
}

// Guards against connections that leave the bound of connections by the first bytes of HTTP/2, which
// a gateway doesn't serve.
func TestPrefaceOfHTTP2StaysTracked(t *testing.T) {
	idle := NewIdleConns(func() time.Duration { return 0 }, newTestIntake(), &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	conn, other := net.Pipe()
	defer func() { _, _ = conn.Close(), other.Close() }()
	c := idle.admit(conn, time.Now())
	go func() { _, _ = other.Write([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")) }()
	if _, err := c.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if len(idle.conns) != 1 {
		t.Errorf("%d connections are tracked", len(idle.conns))
	}
}

// Guards against lines of a body that are counted as fields of its head, and against those of a head
// that aren't because it arrives in parts.
func TestHeadIsCountedToItsEnd(t *testing.T) {
	const head = "POST / HTTP/1.1\r\na: 1\nb: 2\r\n\r\n"
	for _, size := range []int{1, 3, 100} {
		var s headSize
		for rest := []byte(head + "x\n\ny\n"); len(rest) > 0; rest = rest[min(size, len(rest)):] {
			s.add(rest[:min(size, len(rest))])
		}
		if s.bytes != len(head) || s.lines != 4 || !s.isComplete {
			t.Errorf("in parts of %d: %d bytes, %d lines, want %d and 4", size, s.bytes, s.lines, len(head))
		}
	}
}
