package reconcile

import "time"

// Held returns the fencing token and whether this process holds the lease now. It
// checks the wall clock too, because the monotonic clock stops while the machine is
// suspended.
func (l *Lease) Held() (fencing uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencing == 0 {
		return 0, false
	}
	now := time.Now()
	validity := l.duration * holdNumerator / holdDenominator
	if now.Sub(l.renewedAt) >= validity || now.Round(0).Sub(l.renewedAt.Round(0)) >= validity {
		return 0, false
	}
	return l.fencing, true
}
