package placement

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

type upstream struct {
	member  *catalog.Member
	running int
	// prefill are the prompt tokens of requests without a first byte, and waiting these
	// requests.
	prefill float64
	waiting map[*Choice]struct{}
	cache   *cache
	// delay is the excess of recent times to the first byte, in milliseconds.
	delay    float64
	failed   float64
	failures int
	resting  time.Time
	// trial is set while one request finds out whether a rested upstream answers.
	trial bool
	// coldAt and coldTokens are the bucket of a cold upstream.
	coldAt     time.Time
	coldTokens float64
	// coldUntil is until when the upstream's own answers say that it is cold.
	coldUntil time.Time
}

// isOpen reports whether the upstream may get a request now.
func (u *upstream) isOpen(now time.Time, service *catalog.Service, gateways int) bool {
	if u.failures > 0 && (now.Before(u.resting) || u.trial) {
		return false
	}
	return !u.isCold(now, service) || u.coldLeft(now, service, gateways) >= 1
}

func (u *upstream) isCold(now time.Time, service *catalog.Service) bool {
	return service != nil && service.ColdRate > 0 && (u.member.IsCold(now) || now.Before(u.coldUntil))
}

// coldLeft returns the requests that this gateway may send to the cold upstream. The
// upstream's rate is split evenly, so that all gateways together stay within it.
func (u *upstream) coldLeft(now time.Time, service *catalog.Service, gateways int) float64 {
	rate := service.ColdRate / float64(max(gateways, 1))
	left := u.coldTokens + rate*now.Sub(u.coldAt).Seconds()
	if u.coldAt.IsZero() {
		left = coldBurst
	}
	return min(left, max(coldBurst, rate/4))
}

// cost is the expected time to the first byte in milliseconds, with what else counts.
func (u *upstream) cost(now time.Time, req Request, preferred bool) float64 {
	cost := (u.prefill+readWeight*u.missing(req, preferred))/prefillRate + float64(u.running)*runCost + u.delay + u.failed*failureCost
	if u.member.FailureDomain != req.Domain {
		cost += foreignCost
	}
	for c := range u.waiting {
		if now.Sub(c.started)-time.Duration(c.predict*float64(time.Millisecond)) > silentAfter {
			cost += silentCost
		}
	}
	for domain, bytes := range req.InputBytes {
		if domain != u.member.FailureDomain {
			cost += float64(bytes) / 1e6 * transferCost
		}
	}
	return cost
}

// missing returns the prompt tokens that the upstream would have to read.
func (u *upstream) missing(req Request, preferred bool) float64 {
	tokens, shared := 0, 0
	for i, p := range req.Prompt {
		tokens += p.Tokens
		if i < len(req.Prompt)-1 {
			shared += p.Tokens
		}
	}
	tokens = max(tokens, req.Tokens)
	kept := float64(u.cache.kept(req.Prompt))
	if preferred {
		kept = max(kept, affinityShare*float64(shared))
	}
	return float64(tokens) - kept
}
