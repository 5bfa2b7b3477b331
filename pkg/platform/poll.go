package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// pollReply is the outcome of a long poll.
type pollReply struct {
	events  []Event
	version string
	err     error
}

// isResponse reports whether the store replied, with changes or with a status.
func (r pollReply) isResponse() bool {
	var statusErr *StatusError
	return r.err == nil || errors.As(r.err, &statusErr) && !IsAmbiguous(r.err)
}

// SilentConnection describes a connection that delivered nothing more although the store was
// there: a new connection got a response first.
type SilentConnection struct {
	Kind Kind
	// After is the time from the call on the silent connection to the response on the new one.
	After time.Duration
}

// OnSilentConnection calls fn when a long poll finds its connection silent, from the goroutine
// of the poll. It must be called before the first call.
func (c *Client) OnSilentConnection(fn func(SilentConnection)) { c.onSilent = fn }

// poll sends a long poll. One that is overdue by pollOverdue is sent again on a new connection,
// without a wait, and the first response counts. That way a connection that delivers nothing more
// is told apart from a store that is away, on which the second call fails as well.
func (c *Client) poll(ctx context.Context, k call, version string, timeout time.Duration) pollReply {
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, abandon := context.WithCancel(ctx)
	defer abandon()
	second := make(chan pollReply, 1)
	var isResent atomic.Bool
	timer := time.AfterFunc(timeout+pollOverdue, func() {
		isResent.Store(true)
		c.closeIdle()
		reply := c.pollGuarded(ctx, k, version, resumeTimeout)
		second <- reply
		if reply.isResponse() {
			abandon()
		}
	})
	withHead := k
	// A connection on which a reply has begun isn't silent.
	withHead.onHead = func() { timer.Stop() }
	reply := c.pollOnce(first, withHead, version, timeout)
	timer.Stop()
	if !isResent.Load() || reply.isResponse() || ctx.Err() != nil {
		return reply
	}
	resent := <-second
	switch {
	case !resent.isResponse():
		return reply
	case resent.err == nil:
		c.reportSilent(SilentConnection{Kind: k.kind, After: time.Since(started)})
		c.recordSentinel(k.kind, false)
	}
	return resent
}

// pollAgain is poll, which is sent again, without a wait, if the sentinel kind finds out meanwhile
// that it may be lost.
func (c *Client) pollAgain(ctx context.Context, k call, version string, timeout time.Duration) pollReply {
	if c.longPoll(k.kind).Sentinel {
		reply := c.poll(ctx, k, version, timeout)
		// A poll that is ended by the end of an epoch says nothing of the store.
		if ctx.Err() == nil {
			c.recordSentinel(k.kind, isServed(reply.err))
		}
		return reply
	}
	for {
		again := c.sentinel.current()
		pollCtx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(again, cancel)
		reply := c.poll(pollCtx, k, version, timeout)
		stop()
		cancel()
		if reply.err == nil || again.Err() == nil || ctx.Err() != nil {
			return reply
		}
		timeout = resumeTimeout
	}
}

// recordSentinel records the end of a poll or a list, if the kind is a sentinel.
func (c *Client) recordSentinel(kind Kind, isServed bool) {
	if c.longPoll(kind).Sentinel {
		c.sentinel.record(isServed)
	}
}

// waitForSentinel waits until the store responds to the sentinel again, unless the kind is it.
func (c *Client) waitForSentinel(ctx context.Context, kind Kind) {
	if !c.longPoll(kind).Sentinel {
		_, over := c.epochs.newest()
		c.sentinel.wait(ctx, over)
	}
}

func (c *Client) reportSilent(s SilentConnection) {
	c.scope.Tagged(map[string]string{"kind": string(s.Kind)}).Counter("platformSilentConnections").Inc(1)
	if c.onSilent != nil {
		c.onSilent(s)
	}
}

// pollOnce sends one long poll.
func (c *Client) pollOnce(ctx context.Context, k call, version string, timeout time.Duration) (reply pollReply) {
	k.query, k.pollTimeout = c.wire.WatchQuery(version, timeout), timeout
	reply.version = version
	_, reply.err = c.do(ctx, k, func(b []byte) (err error) {
		reply.events, reply.version, err = c.wire.DecodeChanges(k.kind, b)
		return err
	})
	return reply
}

// pollGuarded is pollOnce for a goroutine of its own: a panic is its error.
func (c *Client) pollGuarded(ctx context.Context, k call, version string, timeout time.Duration) (reply pollReply) {
	defer func() {
		if v := recover(); v != nil {
			reply.err = &AmbiguousError{Verb: k.verb, Cause: errors.Errorf("panic: %v", v)}
		}
	}()
	return c.pollOnce(ctx, k, version, timeout)
}

// closeIdle makes the next calls use new connections. Of an idle one, nobody can tell whether it
// still delivers anything.
func (c *Client) closeIdle() { c.hc.CloseIdleConnections() }
