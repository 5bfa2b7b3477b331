package routing

import (
	"math"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/peer"
)

// State is what the table holds an upstream for.
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

// Reasons of changes of the state.
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
	// incarnation, limit, warming and leaving are as last reported.
	incarnation string
	limit       int
	// others counts the calls of other processes as reported at reportedAt.
	others     int
	reportedAt time.Time
	warming    bool
	// warmingReason is why the sidecar gives it the cold capacity.
	warmingReason string
	// coldService is the mean service time while it warms, in seconds, or 0.
	coldService float64
	leaving     bool
	// sparedSince is when a call first passed it by for lack of time, since the last
	// call that it got.
	sparedSince time.Time
	// service is the mean service time in seconds, or 0.
	service   float64
	serviceAt time.Time
	// failures is the failure rate at failedAt.
	failures float64
	failedAt time.Time
	failRun  int
	busyAt   time.Time
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

// score is the load relative to the limit, plus penalties.
func (u *upstream) score(now time.Time, typical float64, local string) float64 {
	score := u.load(now)
	if typical > 0 && u.service > typical && !u.warming {
		age := now.Sub(u.serviceAt).Seconds() / latencyHalfLife.Seconds()
		ratio := 1 + (u.service/typical-1)*math.Exp2(-age)
		score *= min(ratio, maxLatencyRatio)
	}
	score += failureWeight * u.failureRate(now)
	if now.Sub(u.busyAt) < failureHalfLife/4 {
		score += busyPenalty
	}
	if local != "" && u.domain != local && !u.warming {
		score += remotePenalty
	}
	if u.candidate.IsRemote {
		score += regionPenalty
	}
	return score
}

// load is the load with the new call relative to the limit.
func (u *upstream) load(now time.Time) float64 {
	limit := float64(max(min(u.limit, u.candidate.Capacity), 1))
	own := ownShare
	if u.warming {
		own = 0
	}
	return (float64(u.inFlight) + u.otherLoad(now) + own) / limit
}

// isFastEnough reports whether a call with the slack is likely to end in time on the
// upstream while it warms up. Until a service time is known, a multiple of the typical
// one stands for it.
func (u *upstream) isFastEnough(slack time.Duration, typical float64, now time.Time) bool {
	service := u.coldService
	if service == 0 {
		service = coldFactor * typical
	}
	margin := coldMargin
	if !u.sparedSince.IsZero() {
		spared := now.Sub(u.sparedSince).Seconds() / coldMarginHalfLife.Seconds()
		margin = leastColdMargin + (coldMargin-leastColdMargin)*math.Exp2(-spared)
	}
	return slack <= 0 || slack.Seconds() >= margin*service
}

// otherLoad fades the calls of other processes, because they end unseen.
func (u *upstream) otherLoad(now time.Time) float64 {
	if u.others == 0 {
		return 0
	}
	return float64(u.others) * math.Exp2(-now.Sub(u.reportedAt).Seconds()/otherHalfLife.Seconds())
}

func (u *upstream) failureRate(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	return u.failures * math.Exp2(-now.Sub(u.failedAt).Seconds()/failureHalfLife.Seconds())
}

// learn takes the result of a call.
func (s *stage) learn(u *upstream, r Result, now time.Time) {
	if r.Load != nil {
		u.report(r.Load, now)
	}
	switch r.Outcome {
	case Succeeded:
		s.succeeded(u, r, now)
	case Failed:
		s.failed(u, now)
	case Refused:
		u.busyAt = now
	case Cancelled:
	}
}

func (u *upstream) report(load *peer.Load, now time.Time) {
	u.incarnation = load.Incarnation
	u.limit = max(load.Limit, 1)
	u.warming = load.Warming
	u.warmingReason = load.WarmingReason
	u.coldService = load.ColdService.Seconds()
	u.leaving = load.Leaving
	u.others = max(load.InFlight+load.Queued-u.inFlight, 0)
	u.reportedAt = now
}

func (s *stage) succeeded(u *upstream, r Result, now time.Time) {
	seconds := r.Duration.Seconds()
	if u.service == 0 {
		u.service = seconds
	}
	u.service += latencyStep * (seconds - u.service)
	u.serviceAt = now
	u.failRun = 0
	s.failRuns[u.domain] = 0
	u.failures = u.failureRate(now) * (1 - failureStep)
	u.failedAt = now
	if u.failures < leastFailures {
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

func (s *stage) failed(u *upstream, now time.Time) {
	rate := u.failureRate(now)
	u.failures = rate + failureStep*(1-rate)
	u.failedAt = now
	u.failRun++
	s.failRuns[u.domain]++
	if u.state == StateEjected {
		return
	}
	if s.isDomainSick(u.domain, now) {
		s.ejectDomain(u.domain, now)
		return
	}
	if u.state == StateProbing || u.failRun >= ejectRun && s.mayEject(u) {
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
		if u.domain == domain && u.state != StateEjected && u.isOffered() && !u.leaving {
			s.eject(u, reasonFailureDomain, now)
		}
	}
}

// mayEject reports whether the failure domain has fewer ejected upstreams than its cap.
func (s *stage) mayEject(u *upstream) bool {
	total, ejected := 0, 0
	for _, v := range s.subset {
		if v.domain != u.domain || !v.isOffered() || v.leaving {
			continue
		}
		total++
		if v.state != StateActive {
			ejected++
		}
	}
	return ejected+1 <= max(1, int(ejectFraction*float64(total)))
}

// isDomainSick reports whether the calls to a failure domain fail without a
// success between them, at most of its upstreams, while most others are well. An
// entry that sends few calls would otherwise learn of each upstream by itself.
func (s *stage) isDomainSick(domain string, now time.Time) bool {
	if s.failRuns[domain] < domainRun {
		return false
	}
	total, failing, others, well := 0, 0, 0, 0
	for _, v := range s.subset {
		if !v.isOffered() || v.leaving {
			continue
		}
		isWell := v.state == StateActive && v.failureRate(now) < sickRate
		switch {
		case v.domain == domain:
			total++
			if v.failRun > 0 {
				failing++
			}
		case isWell:
			well++
			others++
		default:
			others++
		}
	}
	return total > 1 && float64(failing) >= domainFraction*float64(total) && float64(well) > ejectFraction*float64(others)
}
