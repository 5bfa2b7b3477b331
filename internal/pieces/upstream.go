package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// upstream is the state of one upstream of the service.
type upstream struct {
	member *catalog.Member
	record *availability.Upstream
	calls  int
	// slowdown is the actual call time divided by the configured one, as a moving average. An
	// overdue call raises it at once, and a call that times out doubles it.
	slowdown float64
	// heldBytes is the size of the results that the upstream holds or is producing for
	// this queue.
	heldBytes int64
	// untrackedBytes estimates the results of other gateways' queues on an upstream that
	// reported a lack of capacity. It is valid until untrackedUntil.
	untrackedBytes int64
	untrackedUntil time.Time
	removed        bool
}

// freeBytes returns the free capacity for results.
func (u *upstream) freeBytes(batch catalog.Batch, now time.Time) int64 {
	left := batch.ResultCapacityBytes - u.heldBytes
	if now.Before(u.untrackedUntil) {
		left -= u.untrackedBytes
	}
	return left
}

// isSlow reports whether calls take long on the upstream, by its calls or by the load that it
// stated of late.
func (u *upstream) isSlow(now time.Time) bool {
	return u.slowdown > slowThreshold || u.record.StatedWorkTime(now) > slowThreshold
}

func (u *upstream) betterThan(now time.Time, other *upstream) bool {
	if stale, otherStale := u.record.IsLimitStale(now), other.record.IsLimitStale(now); stale != otherStale {
		return stale
	}
	if slow, otherSlow := u.isSlow(now), other.isSlow(now); slow != otherSlow {
		return otherSlow
	}
	if failures, otherFailures := u.record.Failures(), other.record.Failures(); failures != otherFailures {
		return failures < otherFailures
	}
	if u.heldBytes != other.heldBytes {
		return u.heldBytes < other.heldBytes
	}
	return u.member.ID < other.member.ID
}
