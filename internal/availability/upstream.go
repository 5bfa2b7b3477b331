package availability

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
)

const (
	// returnStep and returnSteps define the return from a quiet time: one request in the first
	// step, and twice as many in all by the end of each further one.
	returnStep  = 200 * time.Millisecond
	returnSteps = 5
	// returnSpread is the largest random delay after a quiet time, so that gateways, which were
	// told of it together, don't return together.
	returnSpread = 300 * time.Millisecond
	// maxQuiet bounds a quiet time. An upstream that states a longer one is asked again then.
	maxQuiet = time.Minute
	// minReportedExtension is by how much a quiet time must be extended to be logged again.
	minReportedExtension = time.Second
)

// Upstream is the record of one start of an upstream. It is safe for concurrent use.
type Upstream struct {
	start catalog.Start
	// isLimited is set while limit is in force. Placement and the queues look at each upstream for
	// each request, which is cheap without a lock.
	isLimited atomic.Bool
	// invalid has the last values that couldn't be read. It is guarded by mu of the judge.
	invalid string

	mu      sync.Mutex
	service string
	version string
	// closure is set by a roll-out.
	closure Closure
	// registration is the state of the registration, and unregisteredAt is since when it is
	// Unregistered.
	registration   catalog.Registration
	unregisteredAt time.Time
	leaving        signal
	quiet          quietTime
	backoff        backoff
	// limit is what the upstream takes from all gateways, and limitSaid the answer that stated it
	// last; zero if another gateway read it.
	limit     ratelimit.Limit
	limitSaid signal
	// shareOf returns the part of the limit that belongs to this gateway.
	shareOf func(service, id string) (share ratelimit.Share, isKnown bool)
	// load is the last load that the upstream stated, at loadAt.
	load   dialect.Load
	loadAt time.Time
}

// loadAge is the time constant with which a stated load loses its weight: it changes many times
// per second.
const loadAge = 300 * time.Millisecond

// StatedWorkTime returns the time that work takes relative to the usual time as the upstream
// stated it last. It returns to 1 with the age of that figure.
func (u *Upstream) StatedWorkTime(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.loadAt.IsZero() {
		return 1
	}
	return 1 + (u.load.WorkTime-1)*math.Exp(-max(now.Sub(u.loadAt), 0).Seconds()/loadAge.Seconds())
}

// signal is what a response said.
type signal struct {
	// at is when it was read, or zero if there was none.
	at time.Time
	// request is the id of the attempt that the response belongs to; empty if it has none.
	request string
	// opened is when the connection of the response was opened, and requested when the request was written
	// that it responds to, or zero if that isn't known.
	opened, requested time.Time
	// isShortened is set for a quiet time that was stated longer than maxQuiet.
	isShortened bool
}

// begun returns the latest known time at which the upstream that said it was reached.
func (s signal) begun() time.Time {
	if s.requested.After(s.opened) {
		return s.requested
	}
	return s.opened
}

// quietTime is a time in which an upstream wants no requests.
type quietTime struct {
	signal
	// end is when it ends as the upstream stated, and until when the upstream gets requests
	// again.
	end   time.Time
	until time.Time
	// reported is the end that was logged last.
	reported time.Time
	// sent counts the requests since until.
	sent int
}

// Check judges whether the upstream may get a request now.
func (u *Upstream) Check(now time.Time) Verdict {
	u.mu.Lock()
	defer u.mu.Unlock()
	if v := u.checkClosed(now); !v.IsOpen() {
		return v
	}
	if u.closure != NotClosed {
		return Verdict{Reason: OtherVersion}
	}
	if v := u.backoff.check(now); !v.IsOpen() {
		return v
	}
	if v := u.quiet.checkReturn(now); !v.IsOpen() {
		return v
	}
	return u.checkLimit(now)
}

// Begin counts a request that was placed on the upstream. If it probes the upstream after a
// back-off, EndProbe must be called at its end.
func (u *Upstream) Begin(now time.Time) Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Before(u.quiet.until.Add(returnSteps * returnStep)) {
		u.quiet.sent++
	}
	u.backoff.probing = u.backoff.failures > 0
	return Grant{isProbe: u.backoff.probing, turn: u.reserveTurn(now)}
}

// EndProbe records the end of a request that probed the upstream.
func (u *Upstream) EndProbe() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.backoff.probing = false
}

// Admit returns a *ClosedError if a request that was placed earlier must not be written now. Each
// request must be admitted once, right before it is written.
func (u *Upstream) Admit(now time.Time, g *Grant) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := u.checkClosed(now)
	if v.IsOpen() {
		v = u.takeTurn(now, g)
	}
	if !v.IsOpen() {
		return &ClosedError{ID: u.start.ID, Verdict: v}
	}
	return nil
}

// CheckSignals judges by whether the upstream said that it leaves or wants quiet.
func (u *Upstream) CheckSignals(now time.Time) Verdict {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.checkSignals(now)
}

// CheckRelease judges by the upstream's own words only, its limit included. It is for calls that
// free what the upstream holds, which it takes as long as it runs.
func (u *Upstream) CheckRelease(now time.Time) Verdict {
	u.mu.Lock()
	defer u.mu.Unlock()
	if v := u.checkSignals(now); !v.IsOpen() {
		return v
	}
	return u.checkLimit(now)
}

// AdmitRelease is Admit for such a call, which was not placed.
func (u *Upstream) AdmitRelease(now time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := u.checkSignals(now)
	if v.IsOpen() {
		v = u.takeTurn(now, &Grant{})
	}
	if !v.IsOpen() {
		return &ClosedError{ID: u.start.ID, Verdict: v}
	}
	return nil
}

// checkClosed judges by the registration and the upstream's own words.
func (u *Upstream) checkClosed(now time.Time) Verdict {
	switch u.registration {
	case catalog.Unregistered:
		return Verdict{Reason: Unregistered}
	case catalog.Draining:
		return Verdict{Reason: Draining}
	case catalog.OutOfService:
		return Verdict{Reason: OutOfService}
	}
	if u.closure == Closed {
		return Verdict{Reason: OtherVersion}
	}
	return u.checkSignals(now)
}

func (u *Upstream) checkSignals(now time.Time) Verdict {
	switch {
	case !u.leaving.at.IsZero():
		return Verdict{Reason: Leaving}
	case now.Before(u.quiet.until):
		return Verdict{Reason: Quiet, Until: u.quiet.until}
	}
	return Verdict{}
}

// checkReturn judges whether an upstream whose quiet time has ended may get one more request.
func (q *quietTime) checkReturn(now time.Time) Verdict {
	step := int(now.Sub(q.until) / returnStep)
	if q.until.IsZero() || step >= returnSteps || q.sent < 1<<step {
		return Verdict{}
	}
	return Verdict{Reason: Returning, Until: q.until.Add(time.Duration(step+1) * returnStep)}
}

// extend makes the quiet time last until the stated end, plus the delay, and reports whether
// that is to be logged. An earlier end changes nothing.
func (q *quietTime) extend(s signal, end time.Time, delay time.Duration) (report bool) {
	if !end.After(q.end) {
		return false
	}
	if s.at.After(q.until) {
		q.reported = time.Time{}
	}
	q.signal, q.end, q.sent = s, end, 0
	if until := end.Add(delay); until.After(q.until) {
		q.until = until
	}
	if end.Sub(q.reported) < minReportedExtension {
		return false
	}
	q.reported = end
	return true
}
