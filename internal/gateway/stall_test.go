package gateway

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

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// slowStreams has one streaming route whose callers wait for an event for 3.2 s.
func slowStreams() catalog.Configuration {
	cfg := testConfiguration()
	for i := range cfg.Routes {
		if cfg.Routes[i].Name == "stream" {
			cfg.Routes[i].Timeout, cfg.Routes[i].Objective, cfg.Routes[i].GapObjective = time.Minute, 100*time.Millisecond, 400*time.Millisecond
		}
	}
	cfg.Version = 2
	return cfg
}

const slowEventTimeout = 3200 * time.Millisecond

// streamEvents responds with events that the parts, written at the interval, consist of.
func streamEvents(parts []string, interval time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		respond(w, r, http.StatusOK, "")
		for _, part := range parts {
			if _, err := io.WriteString(w, part); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// Guards against a sound stream that is cut because it is slow: its events come just within
// the time that callers wait for one, in many small pieces.
func TestSlowStreamIsNotCut(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.cat.SetConfiguration(slowStreams(), at(2))
		var parts []string
		for i := range 4 {
			for _, ch := range fmt.Sprintf("id: %d\n\n", i) {
				parts = append(parts, string(ch))
			}
		}
		f.upstream(engineService, streamEvents(parts, slowEventTimeout/8))
		_, body, err := f.send(t.Context(), callerRequest{path: "/stream/x", id: "r1", remaining: time.Minute})
		if want := strings.Join(parts, ""); err != nil || body != want {
			t.Errorf("got %q, %v, want the whole stream", body, err)
		}
	})
}

// Guards against a stalled stream that never ends because its upstream sends a byte now and
// then that completes no event: comments, blank lines, or an event without an end.
func TestStreamWithoutEventsEnds(t *testing.T) {
	for name, part := range map[string]string{"comments": ":\n\n", "blank lines": "\n", "an event without an end": "x"} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fixture) {
				f.cat.SetConfiguration(slowStreams(), at(2))
				parts := []string{"id: 1\n\n"}
				for range 300 {
					parts = append(parts, part)
				}
				started := time.Now()
				var ended atomic.Int64
				serve := streamEvents(parts, 100*time.Millisecond)
				f.upstream(engineService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					serve(w, r)
					ended.Store(int64(time.Since(started)))
				}))
				_, body, err := f.send(t.Context(), callerRequest{path: "/stream/x", id: "r1", remaining: time.Minute})
				if err == nil || !strings.HasPrefix(body, "id: 1\n\n") {
					t.Errorf("got %q, %v, want an incomplete stream", body, err)
				}
				synctest.Wait()
				if took := time.Duration(ended.Load()); took < slowEventTimeout || took > slowEventTimeout+resumeGrace+200*time.Millisecond {
					t.Errorf("the upstream's work ended after %v, want %v", took, slowEventTimeout)
				}
			})
		})
	}
}

// Guards against a sound stream that is cut while its caller reads slowly, and against one
// that is held for ever by a caller that doesn't read at all.
func TestSlowCallerKeepsItsStreamUntilTheDeadline(t *testing.T) {
	const remaining = 20 * time.Second
	read := func(t *testing.T, f *fixture, pause time.Duration) (string, error) {
		c, err := f.net.Dial(t.Context(), "tcp", gatewayAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: host\r\n%s: r1\r\n%s: key\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", testID, testKey, testRemaining, remaining.Milliseconds())
		time.Sleep(pause)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	events := []string{"id: 1\n\n", "id: 2\n\n"}
	withGateway(t, func(t *testing.T, f *fixture) {
		f.cat.SetConfiguration(slowStreams(), at(2))
		f.upstream(engineService, streamEvents(events, 10*time.Millisecond))
		if body, err := read(t, f, remaining/2); err != nil || body != strings.Join(events, "") {
			t.Errorf("got %q, %v, want the whole stream", body, err)
		}
		if body, err := read(t, f, remaining+2*callerWriteGrace); err == nil {
			t.Errorf("a caller that read nothing until after the deadline got %q", body)
		}
		synctest.Wait()
		if n := f.inFlight.Load(); n != 0 {
			t.Errorf("%d requests are in flight", n)
		}
	})
}

// Guards against a stream that is cut because this process was paused: the time-out has
// passed, and the events of the pause are still unread.
func TestPausedProcessReadsEventsBeforeItGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		s := newStallTimer(time.Second, cancel)
		s.begin()
		time.Sleep(time.Second + resumeGrace/2)
		s.end(true)
		time.Sleep(time.Minute)
		if ctx.Err() != nil {
			t.Errorf("the stream was ended: %v", context.Cause(ctx))
		}
		s.begin()
		time.Sleep(time.Second + 2*resumeGrace)
		if context.Cause(ctx) != errNoEvent {
			t.Errorf("the stalled stream goes on: %v", context.Cause(ctx))
		}
	})
}

// Guards against a part of a long error response that looks whole to the caller.
func TestLongErrorResponseIsWholeOrVisiblyIncomplete(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1000)
	for _, broken := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("broken %t, chunked %t", broken, chunked), func(t *testing.T) {
				withGateway(t, func(t *testing.T, f *fixture) {
					f.upstream(plainService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if !chunked {
							w.Header().Set("Content-Length", fmt.Sprint(len(long)))
						}
						if !broken {
							respond(w, r, http.StatusInternalServerError, long)
							return
						}
						respond(w, r, http.StatusInternalServerError, long[:maxBufferedBytes+500])
						_ = http.NewResponseController(w).Flush()
						panic(http.ErrAbortHandler)
					}))
					resp, body, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
					if resp == nil || resp.StatusCode != http.StatusInternalServerError {
						t.Fatalf("got %+v, %v", resp, err)
					}
					if broken && err == nil {
						t.Errorf("%d bytes of %d look whole", len(body), len(long))
					}
					if !broken && (err != nil || body != long) {
						t.Errorf("got %d bytes of %d, %v", len(body), len(long), err)
					}
				})
			})
		}
	}
}

// Guards against an upstream whose responses have no end: it is taken out like one that can't
// be reached, and the request that met it says that it may have run.
func TestUpstreamWithEndlessHeadsIsTakenOut(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		u := f.upstream(plainService, nil)
		stop := f.net.Handle(u.Address, func(c net.Conn) {
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			for {
				if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return
				}
			}
		})
		defer stop()
		resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("got %+v, %v, want 502", resp, err)
		}
		resp, _, err = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r2"})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("the upstream is still in use: %+v, %v", resp, err)
		}
		if logs := f.logs.String(); !strings.Contains(logs, "interimResponses") {
			t.Errorf("the log doesn't name the bound:\n%s", logs)
		}
	})
}

// Guards against a stream that the gateway has read to its end and then cuts: the end came at the
// moment at which the gateway gave up to wait for an event, or during a pause of the process.
func TestStreamThatWasReadToItsEndIsNotCut(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.cat.SetConfiguration(slowStreams(), at(2))
		f.upstream(engineService, streamEvents([]string{"id: 1\n\n"}, slowEventTimeout+resumeGrace))
		for i := range 200 {
			_, _, _ = f.send(t.Context(), callerRequest{path: "/stream/x", id: fmt.Sprint("r", i), remaining: time.Minute})
		}
		for line := range strings.Lines(f.logs.String()) {
			if strings.Contains(line, fmt.Sprintf("%q:%q", "bodyEnd", bodyComplete)) && strings.Contains(line, outcomeBrokenOff) {
				t.Errorf("cut: %s", line)
			}
		}
	})
}
