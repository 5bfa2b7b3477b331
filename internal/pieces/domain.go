package pieces

import (
	"time"
)

// freeAt returns when the upstream is expected to be free, at the earliest now.
func (b *Batcher) freeAt(u *upstream, now time.Time) time.Time {
	at := now
	if until := u.record.Check(now).Until; until.After(at) {
		at = until
	}
	for c := range b.calls {
		if end := c.started.Add(time.Duration(float64(c.configuredTime) * max(u.slowdown, 1))); c.upstream == u && end.After(at) {
			at = end
		}
	}
	return at
}

// domainWait decides for one call which pieces stay queued for an upstream in another
// failure domain.
type domainWait struct {
	b   *Batcher
	u   *upstream
	now time.Time
	// freeTimes caches when an upstream that meets a requirement is free.
	freeTimes map[domainRequirement]time.Time
}

// domainRequirement is a failure domain and the free capacity for results that a piece
// needs there.
type domainRequirement struct {
	domain string
	bytes  int64
}

func (b *Batcher) domainWait(u *upstream, now time.Time) *domainWait {
	return &domainWait{b: b, u: u, now: now, freeTimes: make(map[domainRequirement]time.Time)}
}

// shouldWait reports whether the piece should stay queued for an upstream in the failure
// domain where its result is needed: one that will be free early enough before it is due.
func (d *domainWait) shouldWait(j *Job) bool {
	b := d.b
	if j.Domain == "" || j.Background || j.Domain == d.u.member.FailureDomain || j.tries > 0 || len(b.queue) > domainQueueCalls*b.batch.Size {
		return false
	}
	need := domainRequirement{domain: j.Domain, bytes: j.Bytes}
	at, ok := d.freeTimes[need]
	if !ok {
		at = b.earliestFree(need, d.u, d.now)
		d.freeTimes[need] = at
	}
	return !at.IsZero() && at.Before(j.Due.Add(-b.nextCallTime()-domainMargin))
}

// earliestFree returns when the first healthy upstream that meets the requirement, other
// than u, is free, or zero if there is none.
func (b *Batcher) earliestFree(need domainRequirement, u *upstream, now time.Time) time.Time {
	var first time.Time
	for _, v := range b.upstreams {
		if v == u || v.removed || v.member.FailureDomain != need.domain || v.record.Failures() > 0 || v.slowdown > slowThreshold || v.record.Check(now).IsIndefinite() {
			continue
		}
		if v.heldBytes > 0 && v.freeBytes(b.batch, now) < need.bytes {
			continue
		}
		if at := b.freeAt(v, now); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}
