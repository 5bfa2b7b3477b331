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

// waitsForDomain reports whether the piece should wait for an upstream in the failure
// domain where its result is needed: one that will be free early enough.
func (b *Batcher) waitsForDomain(j *Job, w *worker, now time.Time) bool {
	if j.Domain == "" || j.Background || j.Domain == w.member.FailureDomain || j.tries > 0 || len(b.queue) > domainQueue*b.batch.Size {
		return false
	}
	latest := j.Due.Add(-b.nextCall() - domainMargin)
	for _, v := range b.workers {
		if v == w || v.gone || v.member.FailureDomain != j.Domain || v.failures > 0 || v.pace > slowPace {
			continue
		}
		if v.held > 0 && v.room(b.batch, now) < j.Bytes {
			continue
		}
		if b.freeAt(v, now).Before(latest) {
			return true
		}
	}
	return false
}
