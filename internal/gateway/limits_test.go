package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/intake"
)

// Guards against a caller that fills the memory of a gateway with a head or a body, also while
// the configuration has no limit.
func TestCallersAreBounded(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		upstream := &countingUpstream{}
		f.upstream(plainService, upstream)
		cfg := testConfiguration()
		cfg.Version, cfg.Limits.BodyBytes, cfg.Limits.HeaderBytes = 2, 0, 0
		f.cat.SetConfiguration(cfg, at(2))
		cases := map[string]struct {
			request callerRequest
			status  int
		}{
			"body at the bound": {callerRequest{path: "/unsafe/x", id: "r1", body: strings.Repeat("x", defaultBodyBytes)}, http.StatusOK},
			"body above it":     {callerRequest{path: "/unsafe/x", id: "r2", body: strings.Repeat("x", defaultBodyBytes+1)}, http.StatusRequestEntityTooLarge},
			"head above it":     {callerRequest{path: "/unsafe/x", id: "r3", header: http.Header{"X-Long": {strings.Repeat("x", defaultHeaderBytes)}}}, http.StatusRequestHeaderFieldsTooLarge},
		}
		for name, c := range cases {
			if resp, _, err := f.send(t.Context(), c.request); err != nil || resp.StatusCode != c.status {
				t.Errorf("%s: got %+v, %v, want %d", name, resp, err, c.status)
			}
		}
		if n := upstream.count(); n != 1 {
			t.Errorf("%d requests reached the upstream, want 1", n)
		}
		time.Sleep(time.Second) // until the server has closed the rejected connections
	})
}

// Guards against bodies that are held or read on after they were refused: one that stops before its
// end is refused as not executed at its deadline, one that is announced over the limit at once, and
// both connections are closed.
func TestRefusedBodiesAreNotReadOn(t *testing.T) {
	for name, c := range map[string]struct {
		length int64
		status int
		after  time.Duration
	}{
		"stops":     {10, http.StatusRequestTimeout, time.Second},
		"announced": {16 << 30, http.StatusRequestEntityTooLarge, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fixture) {
				upstream := &countingUpstream{}
				f.upstream(plainService, upstream)
				noLimit := func() time.Duration { return 0 }
				s := serveTracked(t, f.Gateway, noLimit, func(*IdleConns, http.ConnState) {})
				caller := s.connect(t.Context(), t)
				started := time.Now()
				if _, err := fmt.Fprintf(caller.conn, "POST /unsafe/x HTTP/1.1\r\nHost: host\r\n%s: key\r\n%s: r1\r\n%s: 1000\r\nContent-Length: %d\r\n\r\nbody", testKey, testID, testRemaining, c.length); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(caller.br, nil)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = resp.Body.Close() }()
				if took := time.Since(started); resp.StatusCode != c.status || took != c.after || !resp.Close {
					t.Errorf("got status %d after %v, want %d after %v", resp.StatusCode, took, c.status, c.after)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				time.Sleep(time.Second)
				if !caller.isClosed() || upstream.count() != 0 {
					t.Errorf("the connection is open, or one of %d requests reached the upstream", upstream.count())
				}
			})
		})
	}
}

// Guards against callers that take all connections: at the bound, a new caller is served, and the
// connection that waited longest without a request is ended. One in use stays.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
		budget := intake.New(intake.Config{MemoryBytes: 1 << 30, Descriptors: 5}, logger, tally.NoopScope)
		slow := func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) }
		s := newTrackedServer(t, http.HandlerFunc(slow), func() time.Duration { return 0 }, func(*IdleConns, http.ConnState) {})
		s.idle.budget = budget
		go func() { _ = s.Serve(s.idle.Listener(s.listener)) }()
		busy := s.connect(t.Context(), t)
		done := make(chan int)
		go func() { done <- busy.request() }()
		var waiting []*caller
		for range budget.MaxConnections() - 1 {
			time.Sleep(time.Second)
			waiting = append(waiting, s.connect(t.Context(), t))
		}
		time.Sleep(time.Second)
		next := s.connect(t.Context(), t)
		if status := next.request(); status != http.StatusOK {
			t.Errorf("got status %d for a new caller", status)
		}
		if status := <-done; status != http.StatusOK {
			t.Errorf("got status %d on the connection in use", status)
		}
		if first, second := waiting[0].isClosed(), waiting[1].isClosed(); !first || second {
			t.Errorf("the connection that waited longest is closed: %t, and the other: %t", first, second)
		}
	})
}

// Guards against requests that are refused before their body is read and hold their connections for as
// long as they say: at the bound, nothing ends them, and sound callers find no room.
func TestRefusedRequestsDontHoldConnections(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		logger := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
		budget := intake.New(intake.Config{MemoryBytes: 1 << 30, Descriptors: 5}, logger, tally.NoopScope)
		s := newTrackedServer(t, f.Gateway, func() time.Duration { return 0 }, func(*IdleConns, http.ConnState) {})
		s.idle.budget = budget
		go func() { _ = s.Serve(s.idle.Listener(s.listener)) }()
		started := time.Now()
		var refused []*caller
		for range budget.MaxConnections() {
			c := s.connect(t.Context(), t)
			if _, err := fmt.Fprintf(c.conn, "POST /unknown HTTP/1.1\r\nHost: host\r\n%s: 3600000\r\nContent-Length: 100000\r\n\r\nbody", testRemaining); err != nil {
				t.Fatal(err)
			}
			refused = append(refused, c)
		}
		for _, c := range refused {
			resp, err := http.ReadResponse(c.br, nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusNotFound || !resp.Close {
				t.Errorf("got status %d, close %t", resp.StatusCode, resp.Close)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Error(err)
			}
			_ = resp.Body.Close()
		}
		time.Sleep(time.Second) // until the server has closed the connections
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("the connections were held for %v", took)
		}
		if status := s.connect(t.Context(), t).request(); status != http.StatusNotFound {
			t.Errorf("got status %d for a new caller", status)
		}
	})
}

// Guards against callers that send requests which are refused and never read the responses: their
// connections stay open for ever.
func TestUnreadRefusalsEnd(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		s := serveTracked(t, f.Gateway, func() time.Duration { return 0 }, func(*IdleConns, http.ConnState) {})
		c := s.connect(t.Context(), t)
		request := "GET /unknown HTTP/1.1\r\nHost: host\r\n\r\n"
		go func() {
			for {
				if _, err := io.WriteString(c.conn, request); err != nil {
					return
				}
			}
		}()
		time.Sleep(5 * time.Second)
		if _, open := s.idle.expire(func(time.Time) bool { return false }); open != 0 {
			t.Error("the connection is open")
		}
	})
}

// Guards against an answer that is cut while its caller reads it, because others wait for memory.
func TestAnswerThatIsReadSlowlyIsWhole(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		cfg := testConfiguration()
		cfg.Version, cfg.Routes[0].Timeout = 2, 10*time.Second
		f.cat.SetConfiguration(cfg, at(2))
		answer := strings.Repeat("x", 200<<10)
		f.upstream(plainService, &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
			respond(w, r, http.StatusOK, answer)
		}})
		s := serveTracked(t, f.Gateway, func() time.Duration { return 0 }, func(*IdleConns, http.ConnState) {})
		c := s.connect(t.Context(), t)
		if _, err := fmt.Fprintf(c.conn, "GET /unsafe/x HTTP/1.1\r\nHost: host\r\n%s: key\r\n%s: r1\r\n%s: 10000\r\n\r\n", testKey, testID, testRemaining); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		time.AfterFunc(1200*time.Millisecond, func() {
			state := f.intake.State()
			var all, next intake.Share
			defer all.Release()
			defer next.Release()
			all.Open(f.intake)
			next.Open(f.intake)
			if !all.TryTake(state.BulkLimitBytes - state.BulkHeldBytes) {
				t.Error("the memory is not free")
			}
			// The error is that of memory which is spent.
			_ = next.Take(t.Context(), 1<<20)
		})
		read, buf := 0, make([]byte, 4<<10)
		for err == nil {
			var n int
			n, err = resp.Body.Read(buf)
			read += n
			time.Sleep(50 * time.Millisecond)
		}
		if err != io.EOF || read != len(answer) {
			t.Errorf("got %d of %d bytes, %v", read, len(answer), err)
		}
	})
}
