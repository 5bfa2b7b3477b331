package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleMargin is added to the configured idle time, so that a request which a caller sends
// at the end of it is not cut.
const idleMargin = time.Second

// IdleConns closes callers' connections that are idle for longer than the configuration
// allows. A server's own idle time can't follow the configuration.
type IdleConns struct {
	limit func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// NewIdleConns returns a tracker without connections. A limit of 0 closes none.
func NewIdleConns(limit func() time.Duration) *IdleConns {
	return &IdleConns{limit: limit, since: make(map[net.Conn]time.Time)}
}

// Track is the ConnState function of the callers' server.
func (i *IdleConns) Track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// Sweep closes the connections that are idle for too long.
func (i *IdleConns) Sweep(context.Context) {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit+idleMargin {
			// The server notices the end by itself.
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
