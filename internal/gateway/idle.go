package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/instance"
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

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

// connState is the state of a caller's connection.
type connState struct {
	// waiting is set while no request was read that has no response yet.
	waiting bool
	// idleSince is the time of the last response, or zero before the first one.
	idleSince time.Time
	// expired is set once the wait for a request was made to time out.
	expired bool
}

// NewIdleConns returns an empty tracker. A limit of 0 disables the timeout.
func NewIdleConns(limit func() time.Duration, logger *log.Logger) *IdleConns {
	return &IdleConns{limit: limit, logger: logger, conns: make(map[net.Conn]*connState)}
}

// Track is the ConnState callback of the callers' http.Server.
func (i *IdleConns) Track(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew:
		i.conns[conn] = &connState{waiting: true}
	case http.StateIdle:
		i.conns[conn] = &connState{waiting: true, idleSince: time.Now()}
	case http.StateActive:
		c := i.conns[conn]
		c.waiting = false
		if c.expired {
			// A request was read before the wait timed out.
			c.expired = false
			i.setReadDeadline(conn, time.Time{})
		}
	default:
		delete(i.conns, conn)
	}
}

// Sweep ends the connections that exceed the idle timeout.
func (i *IdleConns) Sweep(context.Context) {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	ended := i.expire(func(c *connState) bool {
		return !c.idleSince.IsZero() && now.Sub(c.idleSince) > limit+idleMargin
	})
	if ended > 0 {
		i.logger.Info().Int("closed", ended).Int("open", len(i.conns)).Dur("idleTimeout", limit).Msg("idle connections of callers closed")
	}
}

// Drain ends the connections without a request and waits until all connections are closed or
// ctx ends. No further connections may be accepted.
func (i *IdleConns) Drain(ctx context.Context) error {
	return instance.WaitUntil(ctx, func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.expire(func(*connState) bool { return true })
		return len(i.conns) == 0
	})
}

// expire ends the waiting connections for which the function returns true, and returns how
// many were not ended before. The caller holds mu.
func (i *IdleConns) expire(isDue func(*connState) bool) int {
	ended := 0
	for conn, c := range i.conns {
		if !c.waiting || !isDue(c) {
			continue
		}
		if !c.expired {
			c.expired = true
			ended++
		}
		// The server may have set its own deadline since the last time.
		i.setReadDeadline(conn, expiredDeadline)
	}
	return ended
}

func (i *IdleConns) setReadDeadline(conn net.Conn, deadline time.Time) {
	if err := conn.SetReadDeadline(deadline); err != nil {
		// A connection that was closed meanwhile needs no deadline.
		i.logger.Debug().Err(err).Msg("read deadline of a caller's connection not set")
	}
}
