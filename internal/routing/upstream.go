package routing

import (
	"math"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/peer"
)

// State is the routing state of an upstream.
type State string

// States of an upstream.
const (
	StateActive       State = "active"
	StateWarming      State = "warming"
	StateEjected      State = "ejected"
	StateProbing      State = "probing"
	StateLeaving      State = "leaving"
	StateOutOfService State = "outOfService"
)

// Reasons of state changes.
const (
	reasonNew           = "new"
	reasonProbing       = "probing"
	reasonRecovered     = "recovered"
	reasonFailures      = "consecutiveFailures"
	reasonFailureDomain = "failureDomain"
)

// upstream is the routing state of one candidate. The stage's lock guards it.
type upstream struct {
	name      string
	domain    string
	hash      uint64
	candidate Candidate
	// state is StateActive, StateEjected or StateProbing.
	state    State
	inFlight int
	// incarnation, limit, warming and leaving are from the last load report.
	incarnation string
	limit       int
	// otherCalls is the number of calls of other processes, as reported at reportedAt.
	otherCalls int
	reportedAt time.Time
	warming    bool
	// warmingReason is why the sidecar limits the upstream to its cold capacity.
	warmingReason string
	// coldServiceTime is the mean service time while the upstream is warming up, in seconds,
	// or 0 if unknown.
	coldServiceTime float64
	leaving         bool
	// skippedSince is when a call was first kept from the upstream for lack of slack since
	// the last call that it got.
	skippedSince time.Time
	// serviceTime is the moving average of the service time, in seconds, or 0 if unknown.
	serviceTime   float64
	serviceTimeAt time.Time
	// failures is the failure rate at failedAt.
	failures            float64
	failedAt            time.Time
	consecutiveFailures int
	refusedAt           time.Time
	// ejectedUntil and ejections belong to the current or the last ejection.
	ejectedUntil time.Time
	ejections    int
	successes    int
	reason       string
}

func newUpstream(c Candidate) *upstream {
	return &upstream{
		name:        c.Name,
		domain:      c.FailureDomain,
		hash:        hash(c.Name),
		candidate:   c,
		state:       StateActive,
		incarnation: c.Incarnation,
		limit:       max(c.ColdCapacity, 1),
		warming:     true,

		warmingReason: reasonNew,
		reason:        reasonNew,
	}
}

func (u *upstream) isReplacedBy(c Candidate) bool {
	if u.candidate.Address != c.Address || u.domain != c.FailureDomain {
		return true
	}
	return c.Incarnation != "" && u.incarnation != "" && c.Incarnation != u.incarnation
}

func (u *upstream) isUsable(now time.Time, ignoreEjection bool) bool {
	if !u.candidate.InService || u.candidate.Leaving || u.leaving {
		return false
	}
	switch {
	case ignoreEjection:
		return true
	case u.state == StateEjected:
		return !now.Before(u.ejectedUntil)
	case u.state == StateProbing:
		return u.inFlight == 0
	}
	return true
}

// score returns the load relative to the limit, scaled up for a service time above the
// median, plus penalties. Lower is better.
func (u *upstream) score(now time.Time, median float64, local string) float64 {
	score := u.load(now)
	if median > 0 && u.serviceTime > median && !u.warming {
		age := now.Sub(u.serviceTimeAt).Seconds() / latencyHalfLife.Seconds()
		ratio := 1 + (u.serviceTime/median-1)*math.Exp2(-age)
		score *= min(ratio, maxLatencyRatio)
	}
	score += failurePenalty * u.failureRate(now)
	if now.Sub(u.refusedAt) < failureHalfLife/4 {
		score += refusedPenalty
	}
	if local != "" && u.domain != local && !u.warming {
		score += remotePenalty
	}
	if u.candidate.IsRemote {
		score += regionPenalty
	}
	return score
}

// load returns the load including the new call, relative to the limit.
func (u *upstream) load(now time.Time) float64 {
	limit := float64(max(min(u.limit, u.candidate.Capacity), 1))
	newCall := newCallLoad
	if u.warming {
		newCall = 0
	}
	return (float64(u.inFlight) + u.otherLoad(now) + newCall) / limit
}

// isFastEnough reports whether a call with the slack is likely to meet its deadline on the
// upstream while it warms up. Until its service time is known, a multiple of the median of
// the subset is used.
func (u *upstream) isFastEnough(slack time.Duration, median float64, now time.Time) bool {
	service := u.coldServiceTime
	if service == 0 {
		service = coldSlowdown * median
	}
	margin := coldMargin
	if !u.skippedSince.IsZero() {
		skipped := now.Sub(u.skippedSince).Seconds() / coldMarginHalfLife.Seconds()
		margin = minColdMargin + (coldMargin-minColdMargin)*math.Exp2(-skipped)
	}
	return slack <= 0 || slack.Seconds() >= margin*service
}

// otherLoad returns the reported calls of other processes, decayed by the age of the report,
// because this process doesn't see them end.
func (u *upstream) otherLoad(now time.Time) float64 {
	if u.otherCalls == 0 {
		return 0
	}
	return float64(u.otherCalls) * math.Exp2(-now.Sub(u.reportedAt).Seconds()/otherCallsHalfLife.Seconds())
}

func (u *upstream) failureRate(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	return u.failures * math.Exp2(-now.Sub(u.failedAt).Seconds()/failureHalfLife.Seconds())
}

// recordResult updates the state of the upstream with the result of a call.
func (s *stage) recordResult(u *upstream, r Result, now time.Time) {
	if r.Load != nil {
		u.recordLoad(r.Load, now)
	}
	switch r.Outcome {
	case Succeeded:
		s.recordSuccess(u, r, now)
	case Failed:
		s.recordFailure(u, now)
	case Refused:
		u.refusedAt = now
	case Cancelled:
	}
}

func (u *upstream) recordLoad(load *peer.Load, now time.Time) {
	u.incarnation = load.Incarnation
	u.limit = max(load.Limit, 1)
	u.warming = load.Warming
	u.warmingReason = load.WarmingReason
	u.coldServiceTime = load.ColdService.Seconds()
	u.leaving = load.Leaving
	u.otherCalls = max(load.InFlight+load.Queued-u.inFlight, 0)
	u.reportedAt = now
}

func (s *stage) recordSuccess(u *upstream, r Result, now time.Time) {
	seconds := r.Duration.Seconds()
	if u.serviceTime == 0 {
		u.serviceTime = seconds
	}
	u.serviceTime += latencySmoothing * (seconds - u.serviceTime)
	u.serviceTimeAt = now
	u.consecutiveFailures = 0
	s.domainFailures[u.domain] = 0
	u.failures = u.failureRate(now) * (1 - failureSmoothing)
	u.failedAt = now
	if u.failures < minFailureRate {
		u.failures = 0
	}
	if u.state == StateActive {
		return
	}
	if u.successes++; u.successes >= probeSuccesses {
		u.state = StateActive
		u.ejections = 0
		u.reason = reasonRecovered
		s.log(u, u.reason)
	}
}

func (s *stage) recordFailure(u *upstream, now time.Time) {
	rate := u.failureRate(now)
	u.failures = rate + failureSmoothing*(1-rate)
	u.failedAt = now
	u.consecutiveFailures++
	s.domainFailures[u.domain]++
	if u.state == StateEjected {
		return
	}
	if s.isDomainUnhealthy(u.domain, now) {
		s.ejectDomain(u.domain, now)
		return
	}
	if u.state == StateProbing || u.consecutiveFailures >= ejectFailures && s.mayEject(u) {
		s.eject(u, reasonFailures, now)
	}
}

func (s *stage) eject(u *upstream, reason string, now time.Time) {
	u.state = StateEjected
	u.ejectedUntil = now.Add(min(ejectBase<<min(u.ejections, 10), ejectMax))
	u.ejections++
	u.successes = 0
	u.reason = reason
	s.log(u, reason)
}

func (s *stage) ejectDomain(domain string, now time.Time) {
	for _, u := range s.subset {
		if u.domain == domain && u.state != StateEjected && u.isAvailable() && !u.leaving {
			s.eject(u, reasonFailureDomain, now)
		}
	}
}

// mayEject reports whether one more upstream of the failure domain may be ejected.
func (s *stage) mayEject(u *upstream) bool {
	total, ejected := 0, 0
	for _, v := range s.subset {
		if v.domain != u.domain || !v.isAvailable() || v.leaving {
			continue
		}
		total++
		if v.state != StateActive {
			ejected++
		}
	}
	return ejected+1 <= max(1, int(maxEjectedFraction*float64(total)))
}

// isDomainUnhealthy reports whether calls to a failure domain fail without a success
// between them, on most of its upstreams, while most upstreams of other domains are
// healthy. Without this check, an entry that sends few calls would have to detect the
// failure of each upstream separately.
func (s *stage) isDomainUnhealthy(domain string, now time.Time) bool {
	if s.domainFailures[domain] < ejectDomainFailures {
		return false
	}
	total, failing, others, healthy := 0, 0, 0, 0
	for _, v := range s.subset {
		if !v.isAvailable() || v.leaving {
			continue
		}
		isHealthy := v.state == StateActive && v.failureRate(now) < unhealthyRate
		switch {
		case v.domain == domain:
			total++
			if v.consecutiveFailures > 0 {
				failing++
			}
		case isHealthy:
			healthy++
			others++
		default:
			others++
		}
	}
	return total > 1 && float64(failing) >= ejectDomainFraction*float64(total) && float64(healthy) > maxEjectedFraction*float64(others)
}
