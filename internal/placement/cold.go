package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// minGrantTime is the least time for which a gateway may use a grant, so that requests don't
// have to arrive at the very moment of one.
const minGrantTime = 250 * time.Millisecond

// Share is the part of the gateways' common limits that belongs to this one.
type Share struct {
	// Index is the position of this gateway among Count ones, from 0. Gateways that agree on
	// Count have different positions.
	Index, Count int
}

// coldSchedule limits the requests of all gateways to a cold upstream without an exchange
// between them. The rate of the upstream divides the time of day into slots of one request,
// which belong to the gateways in turn. A slot that a gateway doesn't use within the time of a
// grant expires: if each gateway could save one, a large fleet would send them all at once.
type coldSchedule struct {
	// used is the start of the latest slot that was used.
	used time.Time
}

// next returns the start of the earliest slot that this gateway may use now.
func (s *coldSchedule) next(now time.Time, id string, rate float64, share Share) (time.Time, bool) {
	slot := time.Duration(float64(time.Second) / rate)
	count := max(share.Count, 1)
	period := time.Duration(count) * slot
	// Slots of different upstreams belong to different gateways at one time.
	offset := slot * time.Duration((uint64(share.Index)+xxhash.Sum64String(id))%uint64(count))
	after := now.Add(-max(minGrantTime, slot))
	// After the time of day was set back, the slots that were used lie in the future.
	if s.used.After(after) && !s.used.After(now) {
		after = s.used
	}
	// The first slot of this gateway that starts after the time.
	sinceOffset := after.UnixNano() - int64(offset)
	start := time.Unix(0, (sinceOffset/int64(period)+1)*int64(period)+int64(offset))
	return start, !start.After(now)
}

// isCold reports whether the upstream takes no more than the cold rate of its service.
func (u *upstream) isCold(now time.Time, service *catalog.Service) bool {
	return service != nil && service.ColdRate > 0 && (u.member.IsCold(now) || now.Before(u.coldUntil))
}

// hasColdGrant reports whether this gateway may send a request to the cold upstream now.
func (u *upstream) hasColdGrant(now time.Time, service *catalog.Service, share Share) bool {
	_, ok := u.cold.next(now, u.member.ID, service.ColdRate, share)
	return ok
}

// useColdGrant records a request to the cold upstream.
func (u *upstream) useColdGrant(now time.Time, service *catalog.Service, share Share) {
	if start, ok := u.cold.next(now, u.member.ID, service.ColdRate, share); ok {
		u.cold.used = start
	}
}
