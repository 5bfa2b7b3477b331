package placement

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
)

// isCold reports whether the upstream takes no more than the cold rate of its service.
func (u *upstream) isCold(now time.Time, service *catalog.Service) bool {
	return service != nil && service.ColdRate > 0 && (u.member.IsCold(now) || now.Before(u.coldUntil))
}

// hasColdTurn reports whether this gateway may send a request to the cold upstream now.
func (u *upstream) hasColdTurn(now time.Time, service *catalog.Service, share ratelimit.Share) bool {
	_, ok := u.cold.Next(now, u.member.ID, service.ColdRate, share)
	return ok
}
