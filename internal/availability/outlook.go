package availability

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Outlook summarises the verdicts on the upstreams of a service.
type Outlook struct {
	// Upstreams is the number of upstreams, and Leaving, Quiet, Returning and Limited are those of
	// them with that verdict.
	Upstreams, Leaving, Quiet, Returning, Limited int
	// Earliest is the earliest end of a quiet time, step of a return or turn at a limited upstream,
	// or zero.
	Earliest time.Time
}

// Add adds the verdict on one more upstream.
func (o *Outlook) Add(v Verdict) {
	if v.Reason == OtherVersion {
		return
	}
	o.Upstreams++
	switch v.Reason {
	case Leaving:
		o.Leaving++
		return
	case Quiet:
		o.Quiet++
	case Returning:
		o.Returning++
	case Limited:
		o.Limited++
	default:
		return
	}
	if o.Earliest.IsZero() || v.Until.Before(o.Earliest) {
		o.Earliest = v.Until
	}
}

// IsClosed reports whether each of the upstreams leaves or wants quiet.
func (o *Outlook) IsClosed() bool { return o.Upstreams > 0 && o.Leaving+o.Quiet == o.Upstreams }

// IsHeldBack reports whether no upstream may be sent to because of what they said: each leaves,
// wants quiet, returns from a quiet time or has got what it takes by its limit.
func (o *Outlook) IsHeldBack() bool {
	return o.Upstreams > 0 && o.Leaving+o.Quiet+o.Returning+o.Limited == o.Upstreams
}

// ClosedFor returns the time until the earliest end, or 0 if none is known.
func (o *Outlook) ClosedFor(now time.Time) time.Duration {
	if o.Earliest.IsZero() {
		return 0
	}
	return max(0, o.Earliest.Sub(now))
}

// Outlook returns the outlook of the upstreams.
func (j *Judge) Outlook(now time.Time, members []*catalog.Member) Outlook {
	var o Outlook
	for _, m := range members {
		o.Add(j.Upstream(m).Check(now))
	}
	return o
}

// IsHeldBack is Outlook.IsHeldBack of the upstreams. It ends at the first one that may be sent to.
func (j *Judge) IsHeldBack(now time.Time, members []*catalog.Member) bool {
	isHeldBack := false
	for _, m := range members {
		switch j.Upstream(m).Check(now).Reason {
		case Leaving, Quiet, Returning, Limited:
			isHeldBack = true
		case OtherVersion:
		default:
			return false
		}
	}
	return isHeldBack
}
