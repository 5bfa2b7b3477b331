package exchange

import (
	"sync/atomic"
	"time"
)

// Freshness records when the store or a peer last confirmed that the process has the
// highest generation known to them. It is safe for concurrent use.
type Freshness struct {
	confirmed atomic.Pointer[time.Time]
}

// NewFreshness returns a Freshness without a confirmation.
func NewFreshness() *Freshness { return &Freshness{} }

// Confirm records a confirmation that was requested or received at the time.
func (f *Freshness) Confirm(at time.Time) {
	for {
		old := f.confirmed.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if f.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}

// IsFresh reports whether the last confirmation is younger than FreshnessTimeout. It
// also checks the wall clock, because the monotonic clock stops while the machine is
// suspended.
func (f *Freshness) IsFresh() bool {
	at := f.confirmed.Load()
	if at == nil {
		return false
	}
	now := time.Now()
	return now.Sub(*at) < FreshnessTimeout && now.Round(0).Sub(at.Round(0)) < FreshnessTimeout
}

// Age returns the time since the last confirmation, or 0 if there is none.
func (f *Freshness) Age() time.Duration {
	if at := f.confirmed.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}
