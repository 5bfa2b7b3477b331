package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/availability"
)

// Estimate is the expected load of a queue, from which the wait of new pieces follows.
type Estimate struct {
	// Calls is the number of calls that the available upstreams complete in the configured
	// time of one, with one call at a time on each: an upstream adds the inverse of its
	// slowdown, at most 2. It is the divisor of the queue's wait.
	Calls float64
	// Ahead is the number of queued pieces that are neither deferred nor background,
	// Yielding the number of deferred ones, and Late the number of background ones. The
	// fields are sent between gateways under these names.
	Ahead    int
	Yielding int
	Late     int
	// Busy is the fraction of upstreams with a call in progress.
	Busy float64
	// ShortOfRoom is set while pieces that aren't in the background wait because upstreams have
	// no room for their results, and are more than shortQueueCalls calls at each upstream.
	ShortOfRoom bool
	// Closed is set if each upstream leaves or wants quiet, and ClosedFor is then the time until
	// the earliest end of a quiet time, or 0 if all leave.
	Closed    bool
	ClosedFor time.Duration
	// Size, CallTime and PieceTime are those of the service.
	Size      int
	CallTime  time.Duration
	PieceTime time.Duration
}

// Estimate returns the estimate for the present queue.
func (b *Batcher) Estimate(now time.Time) Estimate {
	e := Estimate{Busy: b.busy(), Size: max(1, b.batch.Size), CallTime: b.batch.CallTime, PieceTime: b.batch.PieceTime}
	e.Ahead = b.firstOfRank(rankDeferred)
	e.Yielding = b.firstOfRank(rankBackground) - e.Ahead
	e.Late = len(b.queue) - e.Ahead - e.Yielding
	var outlook availability.Outlook
	for _, u := range b.upstreams {
		if u.removed {
			continue
		}
		v := u.record.Check(now)
		outlook.Add(v)
		if v.WorksNow() {
			e.Calls += b.callsOf(u)
		}
	}
	e.ShortOfRoom = now.Before(b.roomShortUntil) && float64(e.Ahead+e.Yielding) > shortQueueCalls*e.Calls*float64(e.Size)
	if outlook.IsClosed() {
		e.Closed, e.ClosedFor = true, outlook.ClosedFor(now)
	}
	return e
}

// callsOf returns the number of calls that the upstream completes in the configured time of one.
func (b *Batcher) callsOf(u *upstream) float64 {
	calls := 1 / max(u.slowdown, 0.5)
	if perSecond, isLimited := u.record.LimitRate(); isLimited {
		return min(calls, perSecond*b.callTime(max(1, b.batch.Size)).Seconds())
	}
	return calls
}

// outlook returns the outlook of the upstreams that may get calls by their registrations.
func (b *Batcher) outlook(now time.Time) availability.Outlook {
	var o availability.Outlook
	for _, u := range b.upstreams {
		if !u.removed {
			o.Add(u.record.Check(now))
		}
	}
	return o
}

// WaitDeferred returns the same as Wait for deferred pieces.
func (e Estimate) WaitDeferred(pieces int) time.Duration {
	e.Ahead += e.Yielding
	return e.Wait(pieces)
}

// WaitBackground returns the same as Wait for background pieces, which run behind all
// queued ones.
func (e Estimate) WaitBackground(pieces int) time.Duration {
	e.Ahead += e.Yielding + e.Late
	return e.Wait(pieces)
}

// UnloadedTime returns how long so many pieces take on a service without other load.
func (e Estimate) UnloadedTime(pieces int) time.Duration {
	return e.CallTime + time.Duration(min(e.Size, pieces))*e.PieceTime
}

// Wait returns the expected time until so many more pieces have their results. It is 0
// for an empty estimate.
func (e Estimate) Wait(pieces int) time.Duration {
	if e.Size == 0 {
		return 0
	}
	if e.Calls == 0 {
		return noUpstreamWait
	}
	ahead := e.Ahead + pieces
	full := e.CallTime + time.Duration(e.Size)*e.PieceTime
	own := e.CallTime + time.Duration(min(e.Size, ahead))*e.PieceTime
	// If all upstreams are busy, half of a call is left on each on average, and one of them
	// becomes free after about that time divided by Calls. Busy reduces this for upstreams
	// that are free now, and the time of the new call stands for that of the calls in
	// progress.
	before := float64(ahead/e.Size)*float64(full)/e.Calls + e.Busy*float64(own)/(2*e.Calls)
	return time.Duration(before) + own
}

// busy returns the fraction of upstreams with a call in progress.
func (b *Batcher) busy() float64 {
	if len(b.upstreams) == 0 {
		return 0
	}
	n := 0
	for _, u := range b.upstreams {
		if u.calls > 0 {
			n++
		}
	}
	return float64(n) / float64(len(b.upstreams))
}
