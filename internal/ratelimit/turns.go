package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// minGrantTime is the least time for which a gateway may use a slot, so that requests don't have to
// arrive at the very moment of one.
const minGrantTime = 250 * time.Millisecond

// Share is the part of the gateways' common limits that belongs to this one.
type Share struct {
	// Index is the position of this gateway among Count ones, from 0. Gateways that agree on
	// Count have different positions.
	Index, Count int
}

// Turns limits the requests of all gateways to an upstream without an exchange between them. The
// rate of the upstream divides the time of day into slots of one request, which belong to the
// gateways in turn. A slot that a gateway doesn't use within the time of a grant expires: if each
// gateway could save one, a large fleet would send them all at once.
type Turns struct {
	// used is the start of the latest slot that was used.
	used time.Time
}

// Next returns the start of the earliest slot that this gateway may use, and whether that is now.
// Slots of upstreams with different keys belong to different gateways at one time.
func (s *Turns) Next(now time.Time, key string, rate float64, share Share) (time.Time, bool) {
	slot := time.Duration(float64(time.Second) / rate)
	count := max(share.Count, 1)
	period := time.Duration(count) * slot
	offset := slot * time.Duration((uint64(share.Index)+xxhash.Sum64String(key))%uint64(count))
	after := now.Add(-max(minGrantTime, slot))
	// A change of the rate or of the number of gateways deals the slots anew, which must not bring a
	// gateway its next one at once. After the time of day was set back, the slots that were used lie
	// in the future.
	if spaced := s.used.Add(period / 2); spaced.After(after) && !s.used.After(now) {
		after = spaced
	}
	// The first slot of this gateway that starts after the time.
	sinceOffset := after.UnixNano() - int64(offset)
	start := time.Unix(0, (sinceOffset/int64(period)+1)*int64(period)+int64(offset))
	return start, !start.After(now)
}

// Take uses the slot that Next returns, if that is now, and reports whether it is.
func (s *Turns) Take(now time.Time, key string, rate float64, share Share) bool {
	start, ok := s.Next(now, key, rate, share)
	if ok {
		s.used = start
	}
	return ok
}
