package limits

import (
	"math"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// State is the assumed warm-up state of the upstream.
type State string

const (
	// StateWarming is the state after a start or a detected restart.
	StateWarming State = "warming"
	// StateWarm means that only failures and load reports keep the limit below the capacity.
	StateWarm State = "warm"
	// StateCold is the state after a cold transition detected from the service times.
	StateCold State = "cold"
)

// Reason is why the limit or the state changed; it is a log field and a metric tag.
type Reason string

// Reasons of changes.
const (
	ReasonStarted      Reason = "started"
	ReasonRestarted    Reason = "restarted"
	ReasonUnreachable  Reason = "unreachable"
	ReasonServiceTime  Reason = "serviceTime"
	ReasonStalled      Reason = "stalled"
	ReasonWarmed       Reason = "warmed"
	ReasonFailures     Reason = "failures"
	ReasonRecovered    Reason = "recovered"
	ReasonReportedLoad Reason = "reportedLoad"
	ReasonCapacity     Reason = "capacity"
)

// Config describes the load that the upstream can handle.
type Config struct {
	// Capacity is the maximum limit, in calls in flight.
	Capacity int
	// ColdCapacity is the limit after a start and a cold transition, in calls in flight.
	ColdCapacity int
	// WarmUp is the time that a cold upstream needs until it can handle its capacity.
	WarmUp time.Duration
	// Fixed keeps the limit at the capacity. It is the baseline of the measurements.
	Fixed bool
}

// Observation is the result of one call.
type Observation struct {
	// Duration is the service time of the upstream.
	Duration time.Duration
	// Work is the size of the call in any unit that Duration grows with, such as
	// tokens; 0 counts as 1.
	Work float64
	// Failed marks a failure of the upstream itself, not a call that the upstream
	// rejected as invalid.
	Failed bool
	// Abandoned marks a call that was abandoned after Duration, because the caller
	// cancelled it or its deadline passed. It counts as failed only if it had already
	// taken longer than expected from the upstream's other calls.
	Abandoned bool
	// Unreachable marks a failed call whose connection was refused or reset.
	Unreachable bool
}

// Limiter is the concurrency limit of one upstream; it is safe for concurrent use.
type Limiter struct {
	logger *log.Logger
	scope  tally.Scope
	gauge  tally.Gauge

	created time.Time

	mu       sync.Mutex
	cfg      Config
	inFlight int
	// adaptive is the limit that failures decrease and successes increase, between 1 and
	// the capacity.
	adaptive float64
	state    State
	reason   Reason
	// warmed is the time with successful calls in flight since the last cold start.
	warmed time.Duration
	// busySince is the start of the current period with calls in flight, and uncredited
	// the total of earlier such periods since the last success or failure.
	busySince  time.Time
	uncredited time.Duration
	// failureRate is the moving average of failures, between 0 and 1.
	failureRate float64
	// lastDecrease is when failures last lowered the limit; calls that started before it
	// carry no information about the lowered limit.
	lastDecrease           time.Time
	consecutiveUnreachable int
	// reportedLimit is the limit from the last load report, valid until reportedUntil.
	reportedLimit int
	reportedUntil time.Time
	times         serviceTimes
	callStarts    startTimes
	subscribers   []func()
}

// New returns a limiter that begins at the cold capacity. Capacities below 1
// count as 1, and a cold capacity above the capacity as the capacity.
func New(cfg Config, logger *log.Logger, scope tally.Scope) *Limiter {
	l := &Limiter{logger: logger, scope: scope, gauge: scope.Gauge("limit"), created: time.Now(), cfg: normalise(cfg)}
	l.adaptive = float64(l.cfg.Capacity)
	l.resetToCold(StateWarming, ReasonStarted)
	l.logChange(ReasonStarted, l.limit())
	return l
}

func normalise(cfg Config) Config {
	cfg.Capacity = max(cfg.Capacity, 1)
	cfg.ColdCapacity = min(max(cfg.ColdCapacity, 1), cfg.Capacity)
	cfg.WarmUp = max(cfg.WarmUp, 0)
	return cfg
}

// TryAcquire takes a slot if fewer calls than the limit are in flight. It doesn't call
// subscribers, so that a subscriber may call it with its lock held.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	stalled := l.isStalled()
	if stalled {
		l.resetToCold(StateCold, ReasonStalled)
	}
	limit := l.limit()
	ok := l.inFlight < limit
	if ok {
		l.begin()
	}
	l.mu.Unlock()
	if stalled {
		l.logChange(ReasonStalled, limit)
	}
	return ok
}

func (l *Limiter) begin() {
	now := time.Now()
	if l.inFlight == 0 {
		l.busySince = now
	}
	l.inFlight++
	l.callStarts.push(now.Sub(l.created))
}

func (l *Limiter) end() {
	l.inFlight--
	l.callStarts.pop()
	if l.inFlight == 0 {
		l.uncredited += time.Since(l.busySince)
	}
}

// isStalled reports whether so many calls in flight are already slow that the upstream must
// have become cold. This detects a cold transition before any of these calls ends.
func (l *Limiter) isStalled() bool {
	if l.cfg.WarmUp == 0 || l.inFlight < l.cfg.ColdCapacity {
		return false
	}
	threshold, ok := l.times.slowThreshold()
	if !ok {
		return false
	}
	needed := max(slowCallsNeeded-l.times.slowCalls(), 1)
	oldest, ok := l.callStarts.at(needed - 1)
	return ok && time.Since(l.created)-oldest > threshold
}

// Release returns the slot of an ended call and records its result.
func (l *Limiter) Release(o Observation) {
	l.change(func() Reason {
		l.end()
		if o.Failed {
			return l.recordFailure(o)
		}
		if o.Abandoned {
			return l.recordAbandoned(o)
		}
		return l.recordSuccess(o)
	})
}

// Cancel returns the slot of a call that never reached the upstream and records no
// result.
func (l *Limiter) Cancel() {
	l.change(func() Reason {
		l.end()
		return ""
	})
}

// Return returns an unused slot without calling subscribers. A queue calls it with its
// own lock held, so that a call back into the queue would deadlock.
func (l *Limiter) Return() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end()
}

// SetConfig applies a changed configuration. Calls in flight above a lowered limit are not
// affected.
func (l *Limiter) SetConfig(cfg Config) {
	l.change(func() Reason {
		old := l.cfg
		l.cfg = normalise(cfg)
		if l.cfg.Capacity >= old.Capacity && l.adaptive >= float64(old.Capacity) {
			l.adaptive = float64(l.cfg.Capacity)
		}
		l.adaptive = min(l.adaptive, float64(l.cfg.Capacity))
		return ReasonCapacity
	})
}

// RestartDetected restarts the slow start. It is called when the identity or the start
// time of the upstream has changed.
func (l *Limiter) RestartDetected() {
	l.change(func() Reason {
		l.resetToCold(StateWarming, ReasonRestarted)
		l.adaptive = float64(l.cfg.Capacity)
		return ReasonRestarted
	})
}

// ReportedLoad records the fraction of its capacity in use that the upstream reports. A
// report can only lower the limit, because it lags, and does so for at most 3 s.
func (l *Limiter) ReportedLoad(fraction float64) {
	if math.IsNaN(fraction) || fraction < 0 {
		return
	}
	l.change(func() Reason {
		if fraction <= reportTarget {
			l.reportedUntil = time.Time{}
			return ReasonReportedLoad
		}
		l.reportedLimit = max(1, int(float64(l.inFlight)*reportTarget/fraction))
		l.reportedUntil = time.Now().Add(reportTTL)
		return ReasonReportedLoad
	})
}

// Subscribe registers a function that is called, without locks held, after each
// change that may have freed a slot.
func (l *Limiter) Subscribe(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers = append(l.subscribers, f)
}

// change applies f, logs a changed limit or state and calls the subscribers.
func (l *Limiter) change(f func() Reason) {
	l.mu.Lock()
	limit, state := l.limit(), l.state
	reason := f()
	now, subscribers := l.limit(), l.subscribers
	changed := now != limit || l.state != state
	l.mu.Unlock()
	if changed {
		l.logChange(reason, now)
	}
	for _, s := range subscribers {
		s()
	}
}

func (l *Limiter) logChange(reason Reason, limit int) {
	l.gauge.Update(float64(limit))
	l.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("limitChanges").Inc(1)
	l.logger.Info().Str("reason", string(reason)).Int("limit", limit).Str("state", string(l.State())).Msg("concurrency limit changed")
}

// resetToCold returns to the cold capacity and discards the service times, because
// those of a restarted upstream may differ.
func (l *Limiter) resetToCold(state State, reason Reason) {
	l.state = state
	l.reason = reason
	l.warmed = 0
	l.busySince = time.Now()
	l.uncredited = 0
	l.consecutiveUnreachable = 0
	l.times.reset()
}

func (l *Limiter) recordFailure(o Observation) Reason {
	now := time.Now()
	l.discardBusyTime()
	if !o.Unreachable {
		l.consecutiveUnreachable = 0
	} else if l.consecutiveUnreachable++; l.consecutiveUnreachable == unreachableCalls {
		l.resetToCold(StateWarming, ReasonUnreachable)
		return ReasonUnreachable
	}
	l.failureRate += (1 - l.failureRate) * failureSmoothing
	if l.failureRate < failureTolerance || now.Sub(l.lastDecrease) < max(o.Duration, l.times.medianDuration()) {
		return ReasonFailures
	}
	l.lastDecrease = now
	l.failureRate = failureTolerance / 2
	// An upstream that failed under load may be as cold as after a start.
	l.warmed = 0
	l.adaptive = max(1, min(l.adaptive, float64(l.limit()))*decreaseFactor)
	return ReasonFailures
}

func (l *Limiter) recordAbandoned(o Observation) Reason {
	slow := l.times.isSlow(o.Duration)
	if l.times.addAbandoned(o.Duration) {
		l.resetToCold(StateCold, ReasonServiceTime)
		return ReasonServiceTime
	}
	if !slow {
		return ""
	}
	return l.recordFailure(Observation{Duration: o.Duration, Failed: true})
}

func (l *Limiter) recordSuccess(o Observation) Reason {
	l.consecutiveUnreachable = 0
	slow := l.times.isSlowCall(o)
	if l.times.add(o) {
		l.resetToCold(StateCold, ReasonServiceTime)
		return ReasonServiceTime
	}
	l.failureRate -= l.failureRate * failureSmoothing
	l.adaptive = min(l.adaptive+max(1/l.adaptive, increaseFraction), float64(l.cfg.Capacity))
	if l.state == StateWarm {
		return ReasonRecovered
	}
	if slow {
		l.discardBusyTime()
		return ReasonWarmed
	}
	l.creditWarmUp()
	if l.warmed >= l.slowStartDuration() {
		l.state = StateWarm
	}
	return ReasonWarmed
}

// creditWarmUp adds the time with calls in flight since the last success to the warm-up,
// because an idle upstream doesn't necessarily become warmer. The time of abandoned calls
// is added with the next success.
func (l *Limiter) creditWarmUp() {
	now := time.Now()
	l.warmed += l.uncredited
	if l.inFlight > 0 {
		l.warmed += now.Sub(l.busySince)
	}
	l.discardBusyTime()
}

// discardBusyTime excludes the time since the last success from the warm-up. A slow call may
// be the first sign of a cold transition, so its time must not raise the limit.
func (l *Limiter) discardBusyTime() {
	l.busySince = time.Now()
	l.uncredited = 0
}

// holdTime returns the time with successful calls for which the limit stays at the cold
// capacity.
func (l *Limiter) holdTime() time.Duration {
	return time.Duration(float64(l.cfg.WarmUp) * holdFraction)
}

func (l *Limiter) slowStartDuration() time.Duration {
	return time.Duration(float64(l.cfg.WarmUp) * (holdFraction + rampFraction))
}
