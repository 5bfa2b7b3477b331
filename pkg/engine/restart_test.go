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

// Guards against a restart of an upstream without an identity that nobody notices, so
// that the cold upstream gets the load of the warm one.
func TestRestartClosesAllConnections(t *testing.T) {
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
		t.Fatal("a restart was reported while the upstream was there")
	default:
	}
	server.CloseClientConnections()
	<-restarted
}

// Guards against connections that end one by one and are taken for a restart.
func TestSingleEndsAreNoRestart(t *testing.T) {
	now := time.Now()
	c := &connections{open: 3}
	if c.note(false, now) || c.note(true, now) || c.note(true, now.Add(2*restartWindow)) {
		t.Fatal("ends apart in time were taken for a restart")
	}
	if !isClosedByUpstream(&net.OpError{Op: "read", Err: context.Canceled}) || isClosedByUpstream(net.ErrClosed) {
		t.Fatal("the closing end was mistaken")
	}
}
