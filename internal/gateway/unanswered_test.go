package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Guards against a request that a leaving gateway passes on and cuts off at its end: its header
// was incomplete when the gateway found no request in progress, and there is only a moment left
// to answer it.
func TestRequestReadAfterTheLastOneOfADepartureIsRefused(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		const closeTime = 100 * time.Millisecond
		defer time.Sleep(2 * time.Second) // until the upstream's handler has ended
		up := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			respond(w, r, http.StatusOK, "done")
		}}
		f.upstream(plainService, up)
		noLimit := func() time.Duration { return 0 }
		s := serveTracked(t, f.Gateway, noLimit, func(*IdleConns, http.ConnState) {})
		c := s.connect(t.Context(), t)
		header := fmt.Sprintf("GET /unsafe/x HTTP/1.1\r\nHost: host\r\n%s: key\r\n%s: r1\r\n\r\n", testKey, testID)
		send := func(part string) {
			if _, err := io.WriteString(c.conn, part); err != nil {
				t.Error(err)
			}
		}
		send(header[:20])
		f.Leave(time.Now().Add(departureTime))
		f.RefuseNew()
		if err := f.WaitIdle(t.Context()); err != nil {
			t.Fatal(err)
		}
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), closeTime)
			defer cancel()
			_ = s.idle.Drain(ctx)
			_ = s.Close() // the process ends
		}()
		time.Sleep(closeTime / 2)
		send(header[20:])
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			t.Fatalf("no answer: %v; sent to %d upstreams", err, up.count())
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusServiceUnavailable || up.count() != 0 {
			t.Errorf("got status %d, sent to %d upstreams", resp.StatusCode, up.count())
		}
	})
}

// Guards against a refusal that looks cut off: the server resets the connection of a header that
// it hasn't read to its end, and must end its response before.
func TestRefusalOfAnOversizedHeaderIsComplete(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newTrackedServer(t, http.NotFoundHandler(), func() time.Duration { return 0 }, func(*IdleConns, http.ConnState) {})
	s.MaxHeaderBytes = 1 << 10
	go func() { _ = s.Serve(s.idle.Listener(l)) }()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: host\r\nLong: %s\r\n\r\n", strings.Repeat("x", 100<<10)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got status %d, %v", resp.StatusCode, err)
	}
}

// pausingWriter is a writer whose process is paused after it has set a read deadline.
type pausingWriter struct {
	http.ResponseWriter
	pause time.Duration
}

func (w *pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *pausingWriter) SetReadDeadline(deadline time.Time) error {
	defer time.Sleep(w.pause)
	return http.NewResponseController(w.ResponseWriter).SetReadDeadline(deadline)
}

// Guards against a request without a body that is cut off, because its deadline passes before
// the gateway has found that there is no body: the server already reads on by then, and takes a
// failed read for a caller that has disconnected.
func TestRequestWithoutBodyIsRefusedAtItsDeadline(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(plainService, &countingUpstream{})
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.ServeHTTP(&pausingWriter{ResponseWriter: w, pause: 10 * time.Millisecond}, r)
		})
		defer f.net.Serve(gatewayAddress, h)()
		for _, body := range []string{"", "body"} {
			resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1", remaining: time.Millisecond, body: body})
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("with body %q: got %+v, %v", body, resp, err)
			}
		}
	})
}

// Guards against a request without an answer because its upstream's response has a status that
// no server can write: net/http panics for one below 100.
func TestResponseWithAnInvalidStatusIsAnswered(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		u := catalog.Upstream{ID: "raw", Service: plainService, Address: "10.2.0.1:80", FailureDomain: "a"}
		f.cleanups = append(f.cleanups, f.net.Handle(u.Address, func(c net.Conn) {
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 099 Odd\r\n%s: r1\r\n%s: seal\r\nContent-Length: 0\r\n\r\n", testID, testSignature)
		}))
		f.cat.SetUpstream(u, at(2))
		resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusBadGateway || strings.Contains(f.logs.String(), "panic") {
			t.Errorf("got %+v, %v", resp, err)
		}
	})
}

// Guards against a stream that the gateway breaks off itself: its upstream begins to respond at
// the moment at which the gateway gives up to wait for that.
func TestStreamThatBeginsAtTheResponseTimeoutIsComplete(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		wait := time.Duration(responseTimeoutFraction * float64(time.Second)) // of the route's objective
		stream := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(wait)
			respond(w, r, http.StatusOK, "id: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, "id: 2\n\n")
		}
		f.upstream(engineService, &countingUpstream{handler: stream})
		f.upstream(engineService, &countingUpstream{handler: stream})
		for i := range 500 {
			if resp, body, err := f.send(t.Context(), callerRequest{path: "/resume/x", id: fmt.Sprint("r", i)}); err != nil {
				t.Errorf("request %d got %+v, %q, %v", i, resp, body, err)
			}
		}
		time.Sleep(time.Second) // until the upstreams' handlers have ended
	})
}

// Guards against a refusal that waits without end for the rest of the body: the server discards
// the body before it writes a response.
func TestRefusalDoesNotWaitForAStalledBody(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		for _, remaining := range []time.Duration{0, time.Second} {
			conn, err := f.net.Dial(t.Context(), "tcp", gatewayAddress)
			if err != nil {
				t.Fatal(err)
			}
			started := time.Now()
			_ = conn.SetDeadline(started.Add(time.Minute))
			if _, err := fmt.Fprintf(conn, "POST /removed/x HTTP/1.1\r\nHost: host\r\n%s: %d\r\nContent-Length: 100\r\n\r\nhalf", testRemaining, remaining.Milliseconds()); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			_ = resp.Body.Close()
			_ = conn.Close()
			latest := defaultTimeout
			if remaining > 0 {
				latest = remaining
			}
			if took := time.Since(started); resp.StatusCode != http.StatusNotFound || took > latest {
				t.Errorf("got status %d after %v", resp.StatusCode, took)
			}
		}
	})
}
