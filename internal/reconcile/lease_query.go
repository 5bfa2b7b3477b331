package reconcile

import "time"

// Held returns the fencing number and whether this process holds the lease at the
// moment. The wall clock counts too, because the monotonic clock stands still while
// the machine is suspended.
func (l *Lease) Held() (fencing uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencing == 0 {
		return 0, false
	}
	now := time.Now()
	trust := l.duration * heldNumerator / heldDenominator
	if now.Sub(l.renewedAt) >= trust || now.Round(0).Sub(l.renewedAt.Round(0)) >= trust {
		return 0, false
	}
	return l.fencing, true
}
