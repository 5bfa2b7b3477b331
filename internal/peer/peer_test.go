package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

type echoService struct{ release chan struct{} }

func (s *echoService) Echo(r *RunRequest, reply *RunReply) error {
	reply.Attempt = r.Attempt
	reply.Output = r.Input
	return nil
}

func (s *echoService) Hold(r *RunRequest, reply *RunReply) error {
	<-s.release
	reply.Attempt = r.Attempt
	return nil
}

func startServer(t *testing.T, secret string) (string, *echoService) {
	t.Helper()
	address, _, service := startServerWith(t, secret)
	return address, service
}

func startServerWith(t *testing.T, secret string) (string, *Server, *echoService) {
	t.Helper()
	server := NewServer(secret)
	service := &echoService{release: make(chan struct{})}
	if err := server.Register("Echo", service); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hs := &http.Server{Handler: server}
	go func() { _ = hs.Serve(l) }()
	t.Cleanup(func() { _ = hs.Close() })
	return l.Addr().String(), server, service
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against delivering the reply to a timed-out call to a later call.
func TestLateReplyReachesNoOtherCall(t *testing.T) {
	address, service := startServer(t, "s")
	c := NewClient("s", nil)
	defer c.Close("")
	var late RunReply
	err := c.Call(within(t, 50*time.Millisecond), address, "Echo.Hold", &RunRequest{Attempt: "late"}, &late)
	var lost *NoReplyError
	if !errors.As(err, &lost) {
		t.Fatalf("got %v, want a NoReplyError", err)
	}
	close(service.release)
	for range 2 * ConnectionsPerPeer {
		var reply RunReply
		if err := c.Call(within(t, 5*time.Second), address, "Echo.Echo", &RunRequest{Attempt: "next"}, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Attempt != "next" {
			t.Fatalf("got the reply of attempt %q", reply.Attempt)
		}
	}
}

// Guards against serving clients without the shared secret.
func TestWrongSecretIsRefused(t *testing.T) {
	address, _ := startServer(t, "right")
	c := NewClient("wrong", nil)
	err := c.Call(within(t, 5*time.Second), address, "Echo.Echo", &RunRequest{}, &RunReply{})
	var refused *RefusedError
	if !IsNotSent(err) || !errors.As(err, &refused) || refused.Status != http.StatusUnauthorized {
		t.Fatalf("got %v, want a NotSentError with status 401", err)
	}
}

// Guards against processes of different protocol versions that misinterpret each other's
// messages.
func TestOtherVersionIsRefused(t *testing.T) {
	address, _ := startServer(t, "s")
	r, err := http.NewRequest(http.MethodPost, "http://"+address+StreamPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	Authorize(r, "s")
	r.Header.Set(versionHeader, "999")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusUpgradeRequired || !strings.Contains(string(text), "999") {
		t.Fatalf("got status %d: %s", resp.StatusCode, text)
	}
}

// Guards against memory exhaustion by a message without a size limit.
func TestLargeMessageIsRefused(t *testing.T) {
	address, _ := startServer(t, "s")
	c := NewClient("s", nil)
	defer c.Close("")
	large := &RunRequest{Input: []byte(strings.Repeat("x", MaxMessageBytes+1))}
	if err := c.Call(within(t, 5*time.Second), address, "Echo.Echo", large, &RunReply{}); err == nil {
		t.Fatal("a message over the limit was served")
	}
	if err := c.Call(within(t, 5*time.Second), address, "Echo.Echo", &RunRequest{}, &RunReply{}); err != nil {
		t.Fatalf("the next call failed: %v", err)
	}
}

// Guards against treating a call to an unreachable address as one that may have run.
func TestDialFailureIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	err = NewClient("s", nil).Call(within(t, 5*time.Second), address, "Echo.Echo", &RunRequest{}, &RunReply{})
	if !IsNotSent(err) {
		t.Fatalf("got %v, want a NotSentError", err)
	}
}

func BenchmarkCall(b *testing.B) {
	server := NewServer("s")
	if err := server.Register("Echo", &echoService{}); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	hs := &http.Server{Handler: server}
	go func() { _ = hs.Serve(l) }()
	defer func() { _ = hs.Close() }()
	c := NewClient("s", nil)
	input := []byte(strings.Repeat("x", 1024))
	for b.Loop() {
		var reply RunReply
		if err := c.Call(context.Background(), l.Addr().String(), "Echo.Echo", &RunRequest{Attempt: "a", Input: input}, &reply); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against keeping a connection open to each process that was ever called, and
// against closing one that has a call in progress.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("s", nil)
		server := NewServer("s")
		service := &echoService{release: make(chan struct{})}
		if err := server.Register("Echo", service); err != nil {
			t.Fatal(err)
		}
		l := newPipeListener()
		hs := &http.Server{Handler: server}
		go func() { _ = hs.Serve(l) }()
		defer func() { _ = hs.Close() }()
		c.dial = l.dial
		defer c.Close("")
		echo := func(address string) {
			if err := c.Call(t.Context(), address, "Echo.Echo", &RunRequest{}, &RunReply{}); err != nil {
				t.Fatal(err)
			}
		}
		echo("idle")
		blocked := make(chan error, 1)
		go func() { blocked <- c.Call(t.Context(), "busy", "Echo.Hold", &RunRequest{}, &RunReply{}) }()
		time.Sleep(IdleConnectionTimeout + idleCheckPeriod + time.Second)
		echo("other")
		if c.hasConnection("idle") || !c.hasConnection("busy") {
			t.Fatalf("connection to the idle process: %v, to the busy one: %v", c.hasConnection("idle"), c.hasConnection("busy"))
		}
		close(service.release)
		if err := <-blocked; err != nil {
			t.Fatal(err)
		}
	})
}

func (c *Client) hasConnection(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.conns {
		if key.address == address {
			return true
		}
	}
	return false
}

// pipeListener accepts the in-memory connections that dial opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	l.conns <- remote
	return local, nil
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process at another gateway's address that answers the handshake with bytes
// without end.
func TestEndlessHandshakeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := make(chan int, 1)
		c := NewClient("s", func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				go func() { _, _ = io.Copy(io.Discard, server) }()
				n := 0
				for n < 32<<20 {
					k, err := io.WriteString(server, "HTTP/1.1 200 "+strings.Repeat("x", 1000))
					n += k
					if err != nil {
						break
					}
				}
				sent <- n
			}()
			return client, nil
		})
		defer c.Close("")
		var notSent *NotSentError
		if err := c.Call(t.Context(), "10.0.0.1:1", "Echo.Echo", &RunRequest{}, &RunReply{}); !errors.As(err, &notSent) {
			t.Errorf("got %v", err)
		}
		if n := <-sent; n > 2*maxHandshakeBytes {
			t.Errorf("%d bytes were read", n)
		}
	})
}

// Guards against processes that refuse each other while they learn of another shared secret one
// after the other.
func TestCallsGoOnWhileTheSecretChanges(t *testing.T) {
	address, server, _ := startServerWith(t, "before")
	call := func(secrets ...string) error {
		c := NewClient(secrets[0], nil)
		for _, s := range secrets[1:] {
			c.AddSecret(s)
		}
		return c.Call(within(t, 5*time.Second), address, "Echo.Echo", &RunRequest{}, &RunReply{})
	}
	if err := call("before", "after"); err != nil {
		t.Errorf("the client knows the next secret already: %v", err)
	}
	server.AddSecret("after")
	for _, secrets := range [][]string{{"before"}, {"after"}, {"before", "after"}} {
		if err := call(secrets...); err != nil {
			t.Errorf("the server knows both, the client %v: %v", secrets, err)
		}
	}
	if err := call("other", "wrong"); err == nil {
		t.Error("a wrong secret is accepted")
	}
}

// silentConn is a connection that can become silent: what is written to it then is lost, as on a
// link that is cut for so long that nothing is sent again.
type silentConn struct {
	net.Conn
	isSilent *atomic.Bool
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.isSilent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against calls that go on failing on a connection that has become silent, because each
// of them ends before a single one could tell.
func TestShortCallsReplaceASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer("s")
		if err := server.Register("Echo", &echoService{}); err != nil {
			t.Fatal(err)
		}
		l := newPipeListener()
		hs := &http.Server{Handler: server}
		go func() { _ = hs.Serve(l) }()
		defer func() { _ = hs.Close() }()
		isSilent := &atomic.Bool{}
		c := NewClient("s", func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := l.dial(ctx, address)
			return &silentConn{Conn: conn, isSilent: isSilent}, err
		})
		defer c.Close("")
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
			defer cancel()
			return c.Call(ctx, "10.0.0.1:1", "Echo.Echo", &RunRequest{}, &RunReply{})
		}
		for range ConnectionsPerPeer {
			if err := call(); err != nil {
				t.Fatal(err)
			}
		}
		isSilent.Store(true)
		isSilent = &atomic.Bool{}
		// Each connection may fail for UnresponsiveTimeout and one more call.
		for end := time.Now().Add(ConnectionsPerPeer * 2 * UnresponsiveTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			_ = call()
		}
		for range ConnectionsPerPeer {
			if err := call(); err != nil {
				t.Errorf("a connection that has been silent for %v is still used: %v", ConnectionsPerPeer*2*UnresponsiveTimeout, err)
			}
		}
	})
}

// Guards against a call in progress that is lost because short calls beside it time out while the
// other process is slow.
func TestShortCallsDoNotEndACallInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer("s")
		service := &echoService{release: make(chan struct{})}
		if err := server.Register("Echo", service); err != nil {
			t.Fatal(err)
		}
		l := newPipeListener()
		hs := &http.Server{Handler: server}
		go func() { _ = hs.Serve(l) }()
		defer func() { _ = hs.Close() }()
		c := NewClient("s", func(ctx context.Context, _, address string) (net.Conn, error) { return l.dial(ctx, address) })
		defer c.Close("")
		held := make(chan error, 1)
		go func() { held <- c.Call(t.Context(), "10.0.0.1:1", "Echo.Hold", &RunRequest{}, &RunReply{}) }()
		for range 8 {
			ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
			_ = c.Call(ctx, "10.0.0.1:1", "Echo.Hold", &RunRequest{}, &RunReply{})
			cancel()
		}
		close(service.release)
		if err := <-held; err != nil {
			t.Errorf("the call in progress ended with %v", err)
		}
		time.Sleep(retiredTime + time.Second)
	})
}
