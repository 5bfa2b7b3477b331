package gateway

import (
	"context"
	"net"
	"net/http"

	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// lingerer is a connection whose close can reset it, such as *net.TCPConn.
type lingerer interface{ SetLinger(sec int) error }

type connKey struct{}

// WithConn is the ConnContext of the server for callers: it gives requests access to their
// connection.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if l, ok := c.(lingerer); ok {
		return context.WithValue(ctx, connKey{}, l)
	}
	return ctx
}

// TrustConn ends the tracking of the request's connection: its client has proved that it belongs to the
// system, and may stay.
func TrustConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.untrack()
		c.conns.remove(c)
	}
}

// conn returns the caller's connection, or nil if it isn't tracked.
func (q *request) conn() *callerConn {
	c, _ := q.r.Context().Value(connKey{}).(*callerConn)
	return c
}

// Values of SetLinger: a close resets the connection at once, or sends what is left first.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// setResetOnClose decides whether a close of the caller's connection, also that by the end of
// this process, resets it.
func (q *request) setResetOnClose(reset bool) {
	c, ok := q.r.Context().Value(connKey{}).(lingerer)
	if !ok {
		return
	}
	linger := lingerDefault
	if reset {
		linger = lingerReset
	}
	if err := c.SetLinger(linger); err != nil {
		q.g.logger.Debug().Err(err).Str(instance.KeyRequest, instance.LogText(q.attrs.ID)).Msg("linger of the caller's connection not set")
		return
	}
	q.resetOnClose = reset
}

// isEndedByClose reports whether the response being written has neither a length nor chunks, so
// that its caller takes the close of the connection for its end.
func (q *request) isEndedByClose() bool {
	return !q.r.ProtoAtLeast(1, 1) && q.w.Header().Get("Content-Length") == ""
}
