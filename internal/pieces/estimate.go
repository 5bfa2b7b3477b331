package pieces

import (
	"time"
)

// Estimate is what a queue expects of pieces that are added to it.
type Estimate struct {
	// Calls is the number of upstreams that work, each counted by its pace.
	Calls float64
	// Ahead is the number of pieces that wait and can be done when they are due, Yielding
	// that of those among them that let others go first, and Late that of the others.
	Ahead    int
	Yielding int
	Late     int
	// Busy is the share of upstreams with a call in progress.
	Busy float64
	// Size, CallTime and PieceTime are those of the service.
	Size      int
	CallTime  time.Duration
	PieceTime time.Duration
}

// Estimate returns what the queue expects now.
func (b *Batcher) Estimate(now time.Time) Estimate {
	e := Estimate{Busy: b.busy(), Size: max(1, b.batch.Size), CallTime: b.batch.CallTime, PieceTime: b.batch.PieceTime}
	e.Ahead = b.first(rankYields)
	e.Yielding = b.first(rankLate) - e.Ahead
	e.Late = len(b.queue) - e.Ahead - e.Yielding
	for _, w := range b.workers {
		if !w.gone && !now.Before(w.resting) {
			e.Calls += 1 / max(w.pace, 0.5)
		}
	}
	return e
}

// WaitDeferred returns the same as Wait for pieces that let others go first.
func (e Estimate) WaitDeferred(pieces int) time.Duration {
	e.Ahead += e.Yielding
	return e.Wait(pieces)
}

// WaitLate returns the same as Wait for pieces behind all that wait.
func (e Estimate) WaitLate(pieces int) time.Duration {
	e.Ahead += e.Yielding + e.Late
	return e.Wait(pieces)
}

// UnloadedTime returns how long so many pieces take when nothing else is there.
func (e Estimate) UnloadedTime(pieces int) time.Duration {
	return e.CallTime + time.Duration(min(e.Size, pieces))*e.PieceTime
}

// Wait returns how long so many more pieces are expected to take until their results. An
// empty estimate expects nothing.
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
	// On average half of a call is still to run at the upstream that is free next.
	before := float64(ahead/e.Size)*float64(full)/e.Calls + e.Busy*float64(own)/(2*e.Calls)
	return time.Duration(before) + own
}

// busy returns the share of upstreams with a call in progress.
func (b *Batcher) busy() float64 {
	if len(b.workers) == 0 {
		return 0
	}
	n := 0
	for _, w := range b.workers {
		if w.calls > 0 {
			n++
		}
	}
	return float64(n) / float64(len(b.workers))
}
