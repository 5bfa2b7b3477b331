package availability

import "time"

// maxDoublings bounds the exponent of a back-off.
const maxDoublings = 5

// Backoff bounds the times of an exponential back-off.
type Backoff struct {
	Min time.Duration
	Max time.Duration
}

// after returns the time after so many failures in a row.
func (b Backoff) after(failures int) time.Duration {
	return min(b.Min<<min(failures-1, maxDoublings), b.Max)
}

// backoff is the state of an upstream after failed exchanges.
type backoff struct {
	// failures counts the back-offs in a row, without a response between them.
	failures int
	until    time.Time
	// probing is set while one request probes the upstream after a back-off.
	probing bool
}

func (b *backoff) check(now time.Time) Verdict {
	switch {
	case now.Before(b.until):
		return Verdict{Reason: BackOff, Until: b.until}
	case b.failures > 0 && b.probing:
		return Verdict{Reason: Probing}
	}
	return Verdict{}
}

// BackOff puts the upstream in exponential back-off after the failure of a request, and
// reports whether it did. Failures of requests that were sent before the present back-off ends
// add no information and don't lengthen it.
func (u *Upstream) BackOff(now, started time.Time, bounds Backoff) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.backoff.failures > 0 && started.Before(u.backoff.until) {
		return false
	}
	u.backoff.failures++
	u.backoff.until = now.Add(bounds.after(u.backoff.failures))
	return true
}

// Rest keeps new requests from the upstream for the time, without a failure.
func (u *Upstream) Rest(now time.Time, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if until := now.Add(d); until.After(u.backoff.until) {
		u.backoff.until = until
	}
}

// Recover ends the back-off of an upstream that responded, and reports whether it had failed.
func (u *Upstream) Recover() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.backoff.failures == 0 {
		return false
	}
	u.backoff.failures, u.backoff.until = 0, time.Time{}
	return true
}

// Failures returns the number of back-offs in a row.
func (u *Upstream) Failures() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.backoff.failures
}
