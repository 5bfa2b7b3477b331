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

// expiredDeadline is a read deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// IdleConns ends callers' connections that exceed the configured idle timeout. The
// IdleTimeout of http.Server can't be changed while the server runs.
//
// A connection counts as idle until the server has parsed the next request, so closing one
// here could cut off a request that was already read. Instead, the wait for the next request
// times out: the server's goroutine then either closes the connection or has a request to serve.
type IdleConns struct {
	limit  func() time.Duration
	logger *log.Logger

	mu sync.Mutex
	// since is when each idle connection became idle.
	since map[net.Conn]time.Time
	// expired holds the idle connections whose wait for a request was made to time out.
	expired map[net.Conn]bool
}

// NewIdleConns returns an empty tracker. A limit of 0 disables the timeout.
func NewIdleConns(limit func() time.Duration, logger *log.Logger) *IdleConns {
	return &IdleConns{limit: limit, logger: logger, since: make(map[net.Conn]time.Time), expired: make(map[net.Conn]bool)}
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
	if !i.expired[conn] {
		return
	}
	delete(i.expired, conn)
	if state == http.StateActive {
		// A request was read before the wait timed out.
		i.setReadDeadline(conn, time.Time{})
	}
}

// Sweep ends the connections that exceed the idle timeout.
func (i *IdleConns) Sweep(context.Context) {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	now := time.Now()
	ended := 0
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.since {
		if now.Sub(since) <= limit+idleMargin {
			continue
		}
		if !i.expired[conn] {
			i.expired[conn] = true
			ended++
		}
		// The server may have set its own deadline since the last sweep.
		i.setReadDeadline(conn, expiredDeadline)
	}
	if ended > 0 {
		i.logger.Info().Int("closed", ended).Int("idle", len(i.since)).Dur("idleTimeout", limit).Msg("idle connections of callers closed")
	}
}

func (i *IdleConns) setReadDeadline(conn net.Conn, deadline time.Time) {
	if err := conn.SetReadDeadline(deadline); err != nil {
		// A connection that was closed meanwhile needs no deadline.
		i.logger.Debug().Err(err).Msg("read deadline of a caller's connection not set")
	}
}
