package placement

import (
	"math"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/engines"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
)

type upstream struct {
	member  *catalog.Member
	record  *availability.Upstream
	engine  *engines.Engine
	running int
	// prefillTokens is the number of uncached prompt tokens of requests without a first
	// byte, and waiting has these requests.
	prefillTokens float64
	waiting       map[*Choice]struct{}
	cache         *cache
	// excessMs is the moving average of how far the time to the first byte exceeds its
	// prediction, in milliseconds. An earlier first byte counts as 0, and each refusal adds
	// 20.
	excessMs float64
	// excessAt is the time of the last change of excessMs, which loses its weight with age.
	excessAt    time.Time
	failureRate float64
	// cold limits the requests while the upstream is cold.
	cold ratelimit.Turns
	// coldUntil is when the upstream ceases to be cold according to its responses or after
	// a back-off.
	coldUntil time.Time
}

// isAvailable reports whether the upstream may get a request now.
func (u *upstream) isAvailable(now time.Time, service *catalog.Service, share ratelimit.Share) bool {
	if !u.record.Check(now).IsOpen() {
		return false
	}
	return !u.isCold(now, service) || u.hasColdTurn(now, service, share)
}

// cost returns the cost of the request on the upstream: a weighted sum in milliseconds of
// the work in progress, the uncached tokens, recent delays and failures, transfers and
// overdue requests.
func (u *upstream) cost(now time.Time, req Request, preferred bool) float64 {
	tokens := u.prefillTokens + uncachedWeight*u.uncachedTokens(req, preferred)
	cost := u.engine.ReadMs(now, tokens) + u.engine.Slowness(now)*float64(u.running)*runningCost + u.excess(now) + u.failureRate*failureCost
	if u.member.FailureDomain != req.Domain {
		cost += crossDomainCost
	}
	for c := range u.waiting {
		if now.Sub(c.started)-time.Duration(c.predictedMs*float64(time.Millisecond)) > overdueMargin {
			cost += overdueCost
		}
	}
	for domain, bytes := range req.InputBytes {
		if domain != u.member.FailureDomain {
			cost += float64(bytes) / 1e6 * transferCost
		}
	}
	return cost
}

// excess returns excessMs by its age: a crowd or a slow spell of an engine passes.
func (u *upstream) excess(now time.Time) float64 {
	return u.excessMs * math.Exp(-max(now.Sub(u.excessAt), 0).Seconds()/excessAge.Seconds())
}

// addExcess moves the excess by the fraction towards the value.
func (u *upstream) addExcess(now time.Time, fraction, ms float64) {
	excess := u.excess(now)
	u.excessMs, u.excessAt = excess+fraction*(ms-excess), now
}

// predictedMs returns the expected time to the first byte, in milliseconds, when the upstream
// has the tokens to read.
func (u *upstream) predictedMs(now time.Time, isEngine bool, tokens float64) float64 {
	ms := float64(u.running) * runningCost
	if isEngine {
		ms += u.engine.FirstEventMs(now, tokens)
	}
	return ms
}

// uncachedTokens returns the number of prompt tokens that the upstream would have to read.
func (u *upstream) uncachedTokens(req Request, preferred bool) float64 {
	tokens, shared := sizeOf(req.Prompt)
	tokens = max(tokens, req.Tokens)
	cachedTokens := float64(u.cache.cachedTokens(req.Prompt))
	if preferred {
		cachedTokens = max(cachedTokens, affinityFraction*float64(shared))
	}
	return float64(tokens) - cachedTokens
}

// sizeOf returns the tokens of the prompt, and those of its shared parts among them.
func sizeOf(prompt []dialect.PromptPart) (tokens, shared int) {
	for i, p := range prompt {
		tokens += p.Tokens
		if i < len(prompt)-1 {
			shared += p.Tokens
		}
	}
	return tokens, shared
}
