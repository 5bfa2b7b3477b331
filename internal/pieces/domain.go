package pieces

import (
	"time"
)

// freeAt is when the upstream is expected to be free, at the earliest now.
func (b *Batcher) freeAt(w *worker, now time.Time) time.Time {
	at := now
	if w.resting.After(at) {
		at = w.resting
	}
	for c := range b.calls {
		if end := c.started.Add(time.Duration(float64(c.expected) * max(w.pace, 1))); c.worker == w && end.After(at) {
			at = end
		}
	}
	return at
}

// domainWait decides for one call which pieces wait for an upstream in another failure
// domain.
type domainWait struct {
	b   *Batcher
	w   *worker
	now time.Time
	// free is when an upstream of a failure domain with room for so many bytes is free.
	free map[domainRoom]time.Time
}

type domainRoom struct {
	domain string
	bytes  int64
}

func (b *Batcher) domainWait(w *worker, now time.Time) *domainWait {
	return &domainWait{b: b, w: w, now: now, free: make(map[domainRoom]time.Time)}
}

// holds reports whether the piece should wait for an upstream in the failure domain where
// its result is needed: one that will be free early enough.
func (d *domainWait) holds(j *Job) bool {
	b := d.b
	if j.Domain == "" || j.Background || j.Domain == d.w.member.FailureDomain || j.tries > 0 || len(b.queue) > domainQueue*b.batch.Size {
		return false
	}
	need := domainRoom{domain: j.Domain, bytes: j.Bytes}
	at, ok := d.free[need]
	if !ok {
		at = b.firstFree(need, d.w, d.now)
		d.free[need] = at
	}
	return !at.IsZero() && at.Before(j.Due.Add(-b.nextCall()-domainMargin))
}

// firstFree is when the first sound upstream with the room is free, other than w, or zero
// if there is none.
func (b *Batcher) firstFree(need domainRoom, w *worker, now time.Time) time.Time {
	var first time.Time
	for _, v := range b.workers {
		if v == w || v.gone || v.member.FailureDomain != need.domain || v.failures > 0 || v.pace > slowPace {
			continue
		}
		if v.held > 0 && v.room(b.batch, now) < need.bytes {
			continue
		}
		if at := b.freeAt(v, now); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
