package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against an undetected restart of an upstream without an identity: the cold
// upstream would receive the load of a warm one.
func TestClosingAllConnectionsReportsRestart(t *testing.T) {
	const calls = 3
	var arrived sync.WaitGroup
	arrived.Add(calls)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Done()
		arrived.Wait()
		_, _ = w.Write([]byte(`1`))
	}))
	defer server.Close()
	restarted := make(chan struct{}, calls)
	c := New(Config{BaseURL: server.URL, OnRestart: func() { restarted <- struct{}{} }}, nil)
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			if _, err := c.Run(context.Background(), Call{Protocol: fleet.ProtocolJSON, Path: "/", Input: json.RawMessage(`1`)}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	select {
	case <-restarted:
		t.Fatal("a restart was reported while the upstream was running")
	default:
	}
	server.CloseClientConnections()
	<-restarted
}

// Guards against treating connections that are closed one by one as a restart.
func TestConnectionsClosedOneByOneAreNoRestart(t *testing.T) {
	now := time.Now()
	c := &connectionTracker{open: 3}
	if c.recordClosed(false, now) || c.recordClosed(true, now) || c.recordClosed(true, now.Add(2*restartWindow)) {
		t.Fatal("connections closed at different times were reported as a restart")
	}
	if !isClosedByUpstream(&net.OpError{Op: "read", Err: context.Canceled}) || isClosedByUpstream(net.ErrClosed) {
		t.Fatal("the side that closed the connection was not recognised")
	}
}
