package availability

import (
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Upstream is the record of one start of an upstream. It is safe for concurrent use.
type Upstream struct {
	start catalog.Start

	mu      sync.Mutex
	service string
	// registration is the state of the registration, and unregisteredAt is since when it is
	// Unregistered.
	registration   catalog.Registration
	unregisteredAt time.Time
	leaving        signal
}

// signal is what a response said.
type signal struct {
	// at is when it was read, or zero if there was none.
	at time.Time
	// request is the id of the attempt that the response belongs to; empty if it has none.
	request string
	// opened is when the connection of the response was opened.
	opened time.Time
}

// Check judges whether the upstream may get a request now.
func (u *Upstream) Check(now time.Time) Verdict {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.check(now)
}

func (u *Upstream) check(time.Time) Verdict {
	switch u.registration {
	case catalog.Unregistered:
		return Verdict{Reason: Unregistered}
	case catalog.Draining:
		return Verdict{Reason: Draining}
	case catalog.OutOfService:
		return Verdict{Reason: OutOfService}
	}
	return u.checkSignals()
}

func (u *Upstream) checkSignals() Verdict {
	if !u.leaving.at.IsZero() {
		return Verdict{Reason: Leaving}
	}
	return Verdict{}
}

// Admit returns a *ClosedError if a request that was placed earlier must not be written now.
func (u *Upstream) Admit(now time.Time) error {
	if v := u.Check(now); !v.IsOpen() {
		return &ClosedError{ID: u.start.ID, Verdict: v}
	}
	return nil
}

// CheckSignals judges by the upstream's own words only. It is for calls that free what the
// upstream holds, which it takes as long as it runs.
func (u *Upstream) CheckSignals(now time.Time) Verdict {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.checkSignals()
}
