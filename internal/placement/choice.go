package placement

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Choice is a chosen upstream. Done must be called once.
type Choice struct {
	table    *Table
	upstream *upstream
	member   *catalog.Member
	started  time.Time
	predict  float64
	prefill  float64
	first    bool
	trial    bool
}

// Member returns the chosen upstream.
func (c *Choice) Member() *catalog.Member { return c.member }

// FirstByte records that the answer has begun.
func (c *Choice) FirstByte(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.first {
		return
	}
	c.first = true
	u := c.upstream
	u.prefill -= c.prefill
	delete(u.waiting, c)
	excess := now.Sub(c.started).Seconds()*1000 - c.predict
	u.delay += delayWeight * (max(excess, 0) - u.delay)
}

// ColdFor records that the upstream said how much longer it is cold.
func (c *Choice) ColdFor(now time.Time, d time.Duration) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.upstream.coldUntil = now.Add(d)
}

// Done ends the request at the upstream.
func (c *Choice) Done(now time.Time, outcome Outcome) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	u := c.upstream
	u.running--
	if !c.first {
		u.prefill -= c.prefill
		delete(u.waiting, c)
	}
	if c.trial {
		u.trial = false
	}
	switch outcome {
	case Answered:
		u.recovered(now)
		u.failed -= failureWeight * u.failed
	case Failed:
		u.recovered(now)
		u.failed += failureWeight * (1 - u.failed)
	case Refused:
		u.delay += 20
	case Unreachable, Interrupted:
		u.failed += failureWeight * (1 - u.failed)
		u.rest(now, c.started)
	case TimedOut:
		u.failed += failureWeight * (1 - u.failed)
	case Cancelled:
		// It says nothing on the upstream.
	}
}

// recovered ends the rest of an upstream that answered.
func (u *upstream) recovered(now time.Time) {
	if u.failures == 0 {
		return
	}
	u.failures = 0
	if until := now.Add(restartDoubt); until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// rest keeps the upstream without requests for a growing time. Failures of requests that
// were sent before the last one failed say nothing new.
func (u *upstream) rest(now, started time.Time) {
	if started.Before(u.resting) && u.failures > 0 {
		return
	}
	u.failures++
	u.resting = now.Add(min(minRest<<min(u.failures-1, 5), maxRest))
	u.cache = newCache()
}
