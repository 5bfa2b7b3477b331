package experiment

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// startEcho listens as the endpoint and echoes what it receives.
func startEcho(t *testing.T, n *Network, e Endpoint) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	n.Register(l.Addr().String(), e)
	return l.Addr().String()
}

func dialFrom(t *testing.T, n *Network, from Endpoint, address string) net.Conn {
	t.Helper()
	conn, err := n.Dialer(from)(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// roundTrip sends a byte, waits for its echo and returns the time that it took.
func roundTrip(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	begin := time.Now()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return time.Since(begin)
}

// Guards against delays that are not added, are added once for both directions, or are
// added within a failure domain.
func TestDelaysAreAdded(t *testing.T) {
	n := NewNetwork(NetworkDelays{Domains: 20 * time.Millisecond, Clients: 40 * time.Millisecond})
	defer n.Close()
	address := startEcho(t, n, Endpoint{Process: "entry-0", FailureDomain: "a"})
	for _, c := range []struct {
		from  Endpoint
		least time.Duration
	}{
		{Endpoint{Process: "sidecar-0", FailureDomain: "b"}, 40 * time.Millisecond},
		{Endpoint{Process: callersEndpoint}, 80 * time.Millisecond},
	} {
		begin := time.Now()
		conn := dialFrom(t, n, c.from, address)
		if d := time.Since(begin); d < c.least {
			t.Errorf("connecting from %+v took %v, want at least %v", c.from, d, c.least)
		}
		if d := roundTrip(t, conn); d < c.least {
			t.Errorf("a round trip from %+v took %v, want at least %v", c.from, d, c.least)
		}
	}
	if p := n.path(Endpoint{Process: "entry-1", FailureDomain: "a"}, address); p.delay != 0 {
		t.Errorf("the delay within a failure domain is %v", p.delay)
	}
	n.Register("192.0.2.1:1", Endpoint{Process: platformEndpoint})
	if p := n.path(Endpoint{Process: "entry-1", FailureDomain: "a"}, "192.0.2.1:1"); p.delay != 20*time.Millisecond {
		t.Errorf("the delay to the object API is %v", p.delay)
	}
}

// Guards against a cut that delivers the close of a connection, which would notify the
// other side that its work is cancelled.
func TestCutDelaysTheCloseOfAConnection(t *testing.T) {
	n := NewNetwork(NetworkDelays{})
	defer n.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn := dialFrom(t, n, Endpoint{Process: "entry-0"}, l.Addr().String())
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	n.SetCut(isolate("entry-0"))
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if err := far.SetReadDeadline(time.Now().Add(30 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("during the cut the other side got %v", err)
	}
	n.SetCut(nil)
	if err := far.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("after the cut the other side got %v", err)
	}
}

// Guards against connections that stay open after their process has ended, and against
// closing those of another process.
func TestCloseProcessClosesConnections(t *testing.T) {
	n := NewNetwork(NetworkDelays{})
	defer n.Close()
	ended := dialFrom(t, n, Endpoint{Process: "entry-0"}, startEcho(t, n, Endpoint{Process: "sidecar-0"}))
	other := dialFrom(t, n, Endpoint{Process: "entry-0"}, startEcho(t, n, Endpoint{Process: "sidecar-1"}))
	roundTrip(t, ended)
	n.CloseProcess("sidecar-0")
	if _, err := ended.Read(make([]byte, 1)); err == nil {
		t.Error("a connection to an ended process is open")
	}
	roundTrip(t, other)
}

// Guards against a cut that resets connections, delivers bytes, or loses bytes that TCP
// would retransmit, and against reads and dials that ignore their deadline during a cut.
func TestCutDeliversNothingUntilItEnds(t *testing.T) {
	n := NewNetwork(NetworkDelays{})
	defer n.Close()
	address := startEcho(t, n, Endpoint{Process: "sidecar-0", FailureDomain: "a"})
	conn := dialFrom(t, n, Endpoint{Process: "entry-0", FailureDomain: "b"}, address)
	roundTrip(t, conn)
	n.SetCut(func(a, b Endpoint) bool { return a.Process == "sidecar-0" || b.Process == "sidecar-0" })
	if _, err := conn.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reading during the cut returned %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	if _, err := n.Dialer(Endpoint{Process: "entry-0"})(ctx, "tcp", address); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("connecting during the cut returned %v", err)
	}
	n.SetCut(nil)
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 1)
	if _, err := io.ReadFull(conn, got); err != nil || got[0] != 'y' {
		t.Errorf("after the cut the connection delivered %q, %v", got, err)
	}
}
