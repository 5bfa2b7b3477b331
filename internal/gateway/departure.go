package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// lastSendMargin is how long before a leaving gateway's end it stops to send requests to
	// upstreams: an engine that isn't loaded responds within it.
	lastSendMargin = time.Second
	// lastAnswerMargin is how long before its end it answers the requests that have no
	// response yet, so that callers get the answer.
	lastAnswerMargin = 300 * time.Millisecond
)

// errLeaving is the cause of a request or of its stages that ended because the gateway shuts
// down.
var errLeaving = errors.New("the gateway is shutting down")

// departure is the schedule of a gateway that shuts down. A request is admitted only if it is
// expected to be sent to its upstream before lastSend. One that was not sent by then is refused
// as not executed, and one without a response at lastAnswer gets an answer that says whether it
// may have run. No request is left without an answer.
type departure struct {
	// lastSend and lastAnswer are written before begun is set, and read only after it is.
	lastSend, lastAnswer time.Time
	// closed is set when new streams and requests with stages are refused.
	closed atomic.Bool
	// ended is set when all new requests are refused.
	ended atomic.Bool
	begun atomic.Bool
	// noSends ends at lastSend and noWaits at lastAnswer, both with the cause errLeaving.
	noSends, noWaits       context.Context
	stopSends, stopWaiting context.CancelCauseFunc
}

func newDeparture() *departure {
	d := &departure{}
	d.noSends, d.stopSends = context.WithCancelCause(context.Background())
	d.noWaits, d.stopWaiting = context.WithCancelCause(context.Background())
	return d
}

// begin starts the departure, which ends at the given time.
func (d *departure) begin(now, end time.Time) {
	d.lastSend, d.lastAnswer = end.Add(-lastSendMargin), end.Add(-lastAnswerMargin)
	d.begun.Store(true)
	time.AfterFunc(d.lastSend.Sub(now), func() { d.stopSends(errLeaving) })
	time.AfterFunc(d.lastAnswer.Sub(now), func() { d.stopWaiting(errLeaving) })
}

// isLeaving reports whether the departure has begun.
func (d *departure) isLeaving() bool { return d.begun.Load() }

// refusesNew reports whether further streams and requests with stages are refused.
func (d *departure) refusesNew() bool { return d.closed.Load() }

// refuseNew makes further streams and requests with stages be refused.
func (d *departure) refuseNew() { d.closed.Store(true) }

// refusesAll reports whether all further requests are refused.
func (d *departure) refusesAll() bool { return d.ended.Load() }

// refuseAll makes all further requests be refused.
func (d *departure) refuseAll() { d.ended.Store(true) }

// admits reports whether a request that takes so long until it can be sent to its upstream
// can still be sent.
func (d *departure) admits(now time.Time, untilSend time.Duration) bool {
	return !d.isLeaving() || now.Add(untilSend).Before(d.lastSend)
}
