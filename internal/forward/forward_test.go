package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

var target = Target{ID: "u", Address: "10.0.0.1:80"}

func readResponseInfo(h http.Header) dialect.ResponseInfo {
	return dialect.ResponseInfo{ID: h.Get("Id"), Signed: true, NotExecuted: h.Get("Not-Run") != ""}
}

func request(id, body string) *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: func() http.Header { return http.Header{"Id": {id}} }, Body: [][]byte{[]byte(body)}, ID: id, MaxIdle: time.Minute}
}

func stateOf(err error) string {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.State.String()
	}
	return fmt.Sprint(err)
}

// withPool runs a test with a pool and an upstream that handles raw connections.
func withPool(t *testing.T, handle func(c net.Conn, br *bufio.Reader), test func(t *testing.T, p *Pool, n *pipe.Network)) {
	synctest.Test(t, func(t *testing.T) {
		var n pipe.Network
		stop := n.Handle(target.Address, func(c net.Conn) {
			defer func() { _ = c.Close() }()
			handle(c, bufio.NewReader(c))
		})
		defer stop()
		p := New(Config{ReadResponseInfo: readResponseInfo}, n.Dial)
		defer p.CloseAll()
		test(t, p, &n)
	})
}

// readRequest reads a complete request and returns its id, or empty at the end of the
// connection.
func readRequest(br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return ""
	}
	return r.Header.Get("Id")
}

func respond(w io.Writer, id, extra string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 2\r\n\r\nok", id, extra)
}

func exchange(t *testing.T, p *Pool, id string) error {
	t.Helper()
	resp, err := p.Do(t.Context(), target, request(id, "body"))
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = io.ReadAll(resp)
	return err
}

// Guards against a new connection for each request, and against the reuse of one that the
// upstream is about to close as idle.
func TestConnectionsAreReusedUntilTheyExpire(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for id := readRequest(br); id != ""; id = readRequest(br) {
			respond(c, id, "Keep-Alive: timeout=5\r\n")
		}
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		for i, pause := range []time.Duration{0, time.Second, 3 * time.Second, 4500 * time.Millisecond} {
			time.Sleep(pause)
			if err := exchange(t, p, fmt.Sprint("r", i)); err != nil {
				t.Fatal(err)
			}
		}
		if dials := n.Dials(target.Address); dials != 2 {
			t.Errorf("%d connections for three requests within the idle time and one after it, want 2", dials)
		}
		shortIdle := request("r9", "")
		shortIdle.MaxIdle = 100 * time.Millisecond
		time.Sleep(time.Second)
		resp, err := p.Do(t.Context(), target, shortIdle)
		if err != nil {
			t.Fatal(err)
		}
		resp.Close()
		if dials := n.Dials(target.Address); dials != 3 {
			t.Errorf("a request with a MaxIdle of 0.1 s used a connection that was idle for 1 s")
		}
	})
}

// Guards against a state of a failed exchange that claims more than is certain.
func TestFailedExchangesReportTheirState(t *testing.T) {
	cases := []struct {
		name   string
		handle func(c net.Conn, br *bufio.Reader)
		state  string
	}{
		{"closed before the response", func(_ net.Conn, br *bufio.Reader) { readRequest(br) }, "unknown"},
		{"not HTTP", func(c net.Conn, br *bufio.Reader) { readRequest(br); _, _ = io.WriteString(c, "garbage\r\n\r\n") }, "unknown"},
		{"not executed", func(c net.Conn, br *bufio.Reader) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", readRequest(br))
		}, "notExecuted"},
		{"another upstream", func(c net.Conn, br *bufio.Reader) {
			readRequest(br)
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		}, "notExecuted"},
		{"only late responses", func(c net.Conn, br *bufio.Reader) {
			readRequest(br)
			for range 3 {
				respond(c, "earlier", "")
			}
		}, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withPool(t, c.handle, func(t *testing.T, p *Pool, _ *pipe.Network) {
				if got := stateOf(exchange(t, p, "r1")); got != c.state {
					t.Errorf("state %s, want %s", got, c.state)
				}
			})
		})
	}
	var n pipe.Network
	p := New(Config{ReadResponseInfo: readResponseInfo}, n.Dial)
	if got := stateOf(exchange(t, p, "r1")); got != "notSent" {
		t.Errorf("without a listener: state %s", got)
	}
}

// Guards against a late response that is treated as that of the next request, and against
// an exchange that fails although its response follows a late one.
func TestLateResponseIsSkipped(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for id := readRequest(br); id != ""; id = readRequest(br) {
			respond(c, "earlier", "")
			respond(c, id, "")
		}
	}
	withPool(t, serve, func(t *testing.T, p *Pool, _ *pipe.Network) {
		if err := exchange(t, p, "r1"); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a partial response that is read without an error, in each framing.
func TestPartialResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":                            "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 10\r\n\r\npart",
		"chunks":                            "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"events, closed connection":         "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\nid: 2\n",
		"events, chunks":                    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n0\r\n\r\n",
		"events, length":                    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nContent-Length: 6\r\n\r\nid: 1\n",
		"no events, closed connection":      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n",
		"a comment only, closed connection": "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n: begin\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			serve := func(c net.Conn, br *bufio.Reader) { readRequest(br); _, _ = io.WriteString(c, text) }
			withPool(t, serve, func(t *testing.T, p *Pool, _ *pipe.Network) {
				if err := exchange(t, p, "r1"); err == nil {
					t.Error("the partial response is read without an error")
				}
			})
		})
	}
}

// Guards against a connection that is reused although the upstream responded before it had
// read the whole request: the rest of the body would be parsed as the next request.
func TestEarlyResponseClosesItsConnection(t *testing.T) {
	var second atomic.Bool
	serve := func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		respond(c, r.Header.Get("Id"), "")
		time.Sleep(time.Second)
		if _, err := io.ReadAll(r.Body); err == nil {
			second.Store(readRequest(br) != "")
		}
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		resp, err := p.Do(t.Context(), target, request("r1", strings.Repeat("x", 100<<10)))
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(resp); err != nil || string(b) != "ok" {
			t.Errorf("got %q, %v", b, err)
		}
		resp.Close()
		if err := exchange(t, p, "r2"); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		if second.Load() || n.Dials(target.Address) != 2 {
			t.Errorf("%d connections; the first one was reused: %v", n.Dials(target.Address), second.Load())
		}
	})
}

// Guards against an upstream that isn't notified when the context of its request ends.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	serve := func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		_, _ = io.ReadAll(c)
		closed <- time.Now()
	}
	withPool(t, serve, func(t *testing.T, p *Pool, _ *pipe.Network) {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		started := time.Now()
		if _, err := p.Do(ctx, target, request("r1", "")); stateOf(err) != "unknown" {
			t.Errorf("got %v", err)
		}
		if took := (<-closed).Sub(started); took != 200*time.Millisecond {
			t.Errorf("closed after %v", took)
		}
	})
}

// Guards against more connections than an upstream accepts: further requests must fail as
// busy.
func TestConnectionsAreBounded(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		id := readRequest(br)
		time.Sleep(time.Second)
		respond(c, id, "")
	}
	withPool(t, serve, func(t *testing.T, p *Pool, _ *pipe.Network) {
		bounded := target
		bounded.MaxConnections = 2
		done := make(chan error, 3)
		for i := range 3 {
			go func() {
				resp, err := p.Do(t.Context(), bounded, request(fmt.Sprint("r", i), ""))
				if err == nil {
					resp.Close()
				}
				done <- err
			}()
		}
		refused := 0
		for range 3 {
			if err := <-done; err != nil {
				refused++
				var failed *Error
				if !errors.As(err, &failed) || failed.State != NotSent || !failed.Busy {
					t.Errorf("got %v", err)
				}
			}
		}
		if refused != 1 {
			t.Errorf("%d of 3 requests found no connection, want 1", refused)
		}
	})
}

// Guards against the reuse of a connection that is closed or has bytes to read. It needs
// real sockets, since connections in memory can't be peeked.
func TestOnlyReusableConnectionsAreUsed(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for name, act := range map[string]func(net.Conn){
		"idle":   func(net.Conn) {},
		"bytes":  func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") },
		"closed": func(c net.Conn) { _ = c.Close() },
	} {
		raw, err := Dial()(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		other, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := &conn{Conn: raw, br: bufio.NewReader(raw)}
		act(other)
		want := name == "idle"
		end := time.Now().Add(2 * time.Second)
		for c.isReusable() != want && time.Now().Before(end) {
			time.Sleep(time.Millisecond)
		}
		if c.isReusable() != want {
			t.Errorf("%s: reusable is %v", name, !want)
		}
		_, _ = raw.Close(), other.Close()
	}
}
