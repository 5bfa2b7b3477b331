package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// idleMargin is added to the configured idle timeout, so that a request sent just before
// the timeout is not cut off.
const idleMargin = time.Second

// IdleConns closes callers' connections that exceed the configured idle timeout. The
// IdleTimeout of http.Server can't be changed while the server runs.
type IdleConns struct {
	limit  func() time.Duration
	logger *log.Logger

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// NewIdleConns returns an empty tracker. A limit of 0 disables the timeout.
func NewIdleConns(limit func() time.Duration, logger *log.Logger) *IdleConns {
	return &IdleConns{limit: limit, logger: logger, since: make(map[net.Conn]time.Time)}
}

// Track is the ConnState callback of the callers' http.Server.
func (i *IdleConns) Track(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[conn] = time.Now()
		return
	}
	delete(i.since, conn)
}

// Sweep closes the connections that exceed the idle timeout.
func (i *IdleConns) Sweep(context.Context) {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	now := time.Now()
	closed := 0
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.since {
		if now.Sub(since) > limit+idleMargin {
			// The server detects the closed connection and cleans up.
			_ = conn.Close()
			delete(i.since, conn)
			closed++
		}
	}
	if closed > 0 {
		i.logger.Info().Int("closed", closed).Int("idle", len(i.since)).Dur("idleTimeout", limit).Msg("idle connections of callers closed")
	}
}
