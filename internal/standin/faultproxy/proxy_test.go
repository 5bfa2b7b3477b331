package faultproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// start runs a proxy to a server that echoes the body of each request.
func start(t *testing.T, f Faults) (*Proxy, string, *atomic.Int32) {
	t.Helper()
	var served atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		served.Add(1)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := New(Config{Target: server.Listener.Addr().String(), Seed: 1})
	p.SetFaults(f)
	go func() { _ = p.Serve(l) }()
	t.Cleanup(p.Close)
	return p, "http://" + l.Addr().String(), &served
}

func post(ctx context.Context, hc *http.Client, url, body string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.GetBody = nil
	resp, err := hc.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	return string(text), err
}

func client(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against faults that have no effect, or the effect of another fault.
func TestFaults(t *testing.T) {
	body := strings.Repeat("x", 100_000)
	cases := []struct {
		name   string
		faults Faults
		fails  bool
		served int32
	}{
		{"none", Faults{}, false, 1},
		{"delay", Faults{DelayMs: 5, JitterMs: 5}, false, 1},
		{"refuse", Faults{Refuse: true}, true, 0},
		{"black hole", Faults{BlackHole: true}, true, 0},
		{"requests blocked", Faults{HoldRequests: true}, true, 0},
		{"replies blocked", Faults{HoldReplies: true}, true, 1},
		{"replies dropped", Faults{DropReplies: true}, true, 1},
		{"replies truncated", Faults{TruncateReplies: 5000}, true, 1},
		{"requests truncated", Faults{TruncateRequests: 5000, Reset: true}, true, 0},
		{"half-closed to the client", Faults{HalfCloseClient: true}, true, 1},
		{"half-closed to the target", Faults{HalfCloseTarget: true}, true, 0},
		{"no connection affected", Faults{Ratio: 1e-9, BlackHole: true}, false, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, url, served := start(t, tc.faults)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if !tc.fails {
				ctx = context.Background()
			}
			defer cancel()
			got, err := post(ctx, client(t), url, body)
			if (err != nil) != tc.fails || (!tc.fails && got != body) {
				t.Fatalf("got %d bytes and %v", len(got), err)
			}
			if n := served.Load(); n != tc.served {
				t.Fatalf("the target served %d requests, want %d", n, tc.served)
			}
		})
	}
}

// Guards against a blocked stream that loses bytes or stays blocked after the fault.
func TestBlockedBytesArriveLater(t *testing.T) {
	p, url, served := start(t, Faults{})
	hc := client(t)
	if _, err := post(context.Background(), hc, url, "warm"); err != nil {
		t.Fatal(err)
	}
	p.SetFaults(Faults{BlackHole: true})
	time.AfterFunc(100*time.Millisecond, func() { p.SetFaults(Faults{}) })
	got, err := post(context.Background(), hc, url, strings.Repeat("y", 3*chunkBytes))
	if err != nil || len(got) != 3*chunkBytes || served.Load() != 2 {
		t.Fatalf("got %d bytes, %v, %d served", len(got), err, served.Load())
	}
	if s := p.State(); s.Accepted != 1 {
		t.Fatalf("the connection was not reused: %+v", s)
	}
}

// Guards against connections that survive a cut or remain in the list of open connections.
func TestCutEndsConnections(t *testing.T) {
	p, url, _ := start(t, Faults{HoldReplies: true})
	time.AfterFunc(50*time.Millisecond, p.Cut)
	if _, err := post(context.Background(), client(t), url, "x"); err == nil {
		t.Fatal("the call survived the cut")
	}
	for range 500 {
		if p.State().Open == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if s := p.State(); s.Open != 0 || s.Cuts == 0 {
		t.Fatalf("got %+v", s)
	}
}

// Guards against an admin path that accepts an unknown fault and sets none.
func TestAdmin(t *testing.T) {
	p := New(Config{Target: "127.0.0.1:1"})
	put := func(body string) int {
		w := httptest.NewRecorder()
		p.Admin().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/admin/faults", strings.NewReader(body)))
		return w.Code
	}
	if code := put(`{"dropReplies":true}`); code != http.StatusOK || !p.State().Faults.DropReplies {
		t.Fatalf("got status %d and %+v", code, p.State())
	}
	if code := put(`{"dropReply":true}`); code != http.StatusBadRequest {
		t.Fatalf("got status %d", code)
	}
}
