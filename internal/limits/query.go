package limits

import (
	"math"
	"time"
)

// Snapshot is the state of a limiter for the status and dump commands.
type Snapshot struct {
	State State `json:"state"`
	// Reason is why the limiter last returned to the cold capacity.
	Reason Reason `json:"reason"`
	// Limit, InFlight and Capacity are numbers of calls.
	Limit    int `json:"limit"`
	InFlight int `json:"inFlight"`
	Capacity int `json:"capacity"`
	// AdaptiveLimit is the limit that failures allow, in calls.
	AdaptiveLimit float64 `json:"adaptiveLimit"`
	// ReportedLimit is the limit from the upstream's load report, in calls, or 0 without a
	// valid one.
	ReportedLimit int `json:"reportedLimit,omitempty"`
	// WarmedMs is the time that counts towards the warm-up, in milliseconds.
	WarmedMs int64 `json:"warmedMs"`
}

// Limit returns the current limit on calls in flight.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit()
}

// InFlight returns the number of calls in flight.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// State returns the assumed warm-up state of the upstream.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Snapshot returns the state of the limiter.
func (l *Limiter) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Snapshot{
		State:         l.state,
		Reason:        l.reason,
		Limit:         l.limit(),
		InFlight:      l.inFlight,
		Capacity:      l.cfg.Capacity,
		AdaptiveLimit: l.adaptive,
		WarmedMs:      l.warmed.Milliseconds(),
	}
	if time.Now().Before(l.reportedUntil) {
		s.ReportedLimit = l.reportedLimit
	}
	return s
}

func (l *Limiter) limit() int {
	if l.cfg.Fixed {
		return l.cfg.Capacity
	}
	n := min(l.slowStartLimit(), int(l.adaptive))
	if !l.reportedUntil.IsZero() && time.Now().Before(l.reportedUntil) {
		n = min(n, l.reportedLimit)
	}
	return max(n, 1)
}

// slowStartLimit returns the cold capacity for the hold time, because an upstream may not
// handle more until its warm-up has ended, and then a limit that rises to the capacity.
func (l *Limiter) slowStartLimit() int {
	if l.state == StateWarm || l.cfg.WarmUp == 0 {
		return l.cfg.Capacity
	}
	ramp := float64(l.warmed-l.holdTime()) / (float64(l.cfg.WarmUp) * rampFraction)
	ramp = min(max(ramp, 0), 1)
	return l.cfg.ColdCapacity + int(math.Floor(ramp*float64(l.cfg.Capacity-l.cfg.ColdCapacity)))
}
