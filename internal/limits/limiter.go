package limits

import (
	"math"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// State says how much of its capacity the upstream is taken to bear.
type State string

const (
	// StateWarming follows a start or a detected restart.
	StateWarming State = "warming"
	// StateWarm means that only failures and load reports hold the limit below the capacity.
	StateWarm State = "warm"
	// StateCold follows a cold turn that showed in the service times.
	StateCold State = "cold"
)

// Reason says why the limit or the state changed; it is a log field and a metric tag.
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

// Config states what the upstream can bear.
type Config struct {
	// Capacity is the largest limit, in calls in flight.
	Capacity int
	// ColdCapacity is the limit after a start and a cold turn, in calls in flight.
	ColdCapacity int
	// WarmUp is the time that a cold upstream needs to bear its capacity.
	WarmUp time.Duration
	// Fixed holds the limit at the capacity; it is the baseline of the measurements.
	Fixed bool
}

// Observation is the end of one call.
type Observation struct {
	// Duration is the time that the upstream took.
	Duration time.Duration
	// Work is the size of the call in any unit that Duration grows with, such as
	// tokens; 0 counts as 1.
	Work float64
	// Failed marks failures of the upstream itself; a call that the upstream
	// rejected as invalid has not failed.
	Failed bool
	// Abandoned marks a call that was given up after Duration, because the caller
	// went away or its deadline passed. It counts as failed only when it had
	// already taken longer than the upstream's other calls let expect.
	Abandoned bool
	// Unreachable marks a failed call whose connection was refused or reset.
	Unreachable bool
}

// Limiter is the concurrency limit of one upstream; it is safe for concurrent use.
type Limiter struct {
	logger *log.Logger
	scope  tally.Scope
	gauge  tally.Gauge

	born time.Time

	mu       sync.Mutex
	cfg      Config
	inFlight int
	// adaptive is the limit that failures lower, between 1 and the capacity.
	adaptive float64
	state    State
	reason   Reason
	// warmed is the time of successful work since the last cold start.
	warmed time.Duration
	// busySince is when the current time with calls in flight began, and unproven
	// the time with calls in flight since the last success or failure before that.
	busySince time.Time
	unproven  time.Duration
	// failRate is the recent part of failed calls.
	failRate float64
	// lastDecrease is when failures lowered the limit last; calls that started
	// before it say nothing of the lowered limit.
	lastDecrease time.Time
	unreachable  int
	// reported is the limit that the upstream's own report allows until reportedUntil.
	reported      int
	reportedUntil time.Time
	times         serviceTimes
	started       startTimes
	subscribers   []func()
}

// New returns a limiter that starts at the cold capacity. Capacities below 1
// count as 1, and a cold capacity above the capacity as the capacity.
func New(cfg Config, logger *log.Logger, scope tally.Scope) *Limiter {
	l := &Limiter{logger: logger, scope: scope, gauge: scope.Gauge("limit"), born: time.Now(), cfg: normalise(cfg)}
	l.adaptive = float64(l.cfg.Capacity)
	l.chill(StateWarming, ReasonStarted)
	l.logChange(ReasonStarted, l.limit())
	return l
}

func normalise(cfg Config) Config {
	cfg.Capacity = max(cfg.Capacity, 1)
	cfg.ColdCapacity = min(max(cfg.ColdCapacity, 1), cfg.Capacity)
	cfg.WarmUp = max(cfg.WarmUp, 0)
	return cfg
}

// TryAcquire takes a slot if fewer calls than the limit are in flight. It calls
// no subscriber, so that it may be used with the subscriber's lock held.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	turned := l.isStalled()
	if turned {
		l.chill(StateCold, ReasonStalled)
	}
	limit := l.limit()
	ok := l.inFlight < limit
	if ok {
		l.begin()
	}
	l.mu.Unlock()
	if turned {
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
	l.started.push(now.Sub(l.born))
}

func (l *Limiter) end() {
	l.inFlight--
	l.started.pop()
	if l.inFlight == 0 {
		l.unproven += time.Since(l.busySince)
	}
}

// isStalled reports whether so many calls in flight are slow that the upstream
// has turned cold, before any of them has ended.
func (l *Limiter) isStalled() bool {
	if l.cfg.WarmUp == 0 || l.inFlight < l.cfg.ColdCapacity {
		return false
	}
	threshold, ok := l.times.slowDuration()
	if !ok {
		return false
	}
	needed := max(slowMinimum-l.times.slowCalls(), 1)
	oldest, ok := l.started.at(needed - 1)
	return ok && time.Since(l.born)-oldest > threshold
}

// Release gives back a slot and learns from its call.
func (l *Limiter) Release(o Observation) {
	l.change(func() Reason {
		l.end()
		if o.Failed {
			return l.failed(o)
		}
		if o.Abandoned {
			return l.abandoned(o)
		}
		return l.succeeded(o)
	})
}

// Cancel gives back a slot whose call never reached the upstream, from which
// nothing is learned.
func (l *Limiter) Cancel() {
	l.change(func() Reason {
		l.end()
		return ""
	})
}

// Return gives back a slot that was not used and calls no subscriber. A queue calls
// it with its own lock held, so a call back into the queue would deadlock.
func (l *Limiter) Return() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end()
}

// SetConfig takes a changed configuration into force. Calls in flight above a
// lowered limit finish.
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

// RestartDetected starts slow start again, because the identity or the start
// time of the upstream changed.
func (l *Limiter) RestartDetected() {
	l.change(func() Reason {
		l.chill(StateWarming, ReasonRestarted)
		l.adaptive = float64(l.cfg.Capacity)
		return ReasonRestarted
	})
}

// ReportedLoad takes the upstream's own report of the fraction of its capacity
// in use. A report only lowers the limit, because it lags, and for 3 s at most.
func (l *Limiter) ReportedLoad(fraction float64) {
	if math.IsNaN(fraction) || fraction < 0 {
		return
	}
	l.change(func() Reason {
		if fraction <= reportTarget {
			l.reportedUntil = time.Time{}
			return ReasonReportedLoad
		}
		l.reported = max(1, int(float64(l.inFlight)*reportTarget/fraction))
		l.reportedUntil = time.Now().Add(reportLifetime)
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

// change applies f, reports a changed limit or state and calls the subscribers.
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

// chill returns to the cold capacity and forgets the service times, because
// those of a restarted upstream may differ.
func (l *Limiter) chill(state State, reason Reason) {
	l.state = state
	l.reason = reason
	l.warmed = 0
	l.busySince = time.Now()
	l.unproven = 0
	l.unreachable = 0
	l.times.reset()
}

func (l *Limiter) failed(o Observation) Reason {
	now := time.Now()
	l.forfeit()
	if !o.Unreachable {
		l.unreachable = 0
	} else if l.unreachable++; l.unreachable == unreachableRun {
		l.chill(StateWarming, ReasonUnreachable)
		return ReasonUnreachable
	}
	l.failRate += (1 - l.failRate) * failStep
	if l.failRate < failTolerance || now.Sub(l.lastDecrease) < max(o.Duration, l.times.typicalDuration()) {
		return ReasonFailures
	}
	l.lastDecrease = now
	l.failRate = failTolerance / 2
	// An upstream that failed under its load may be as cold as after a start.
	l.warmed = 0
	l.adaptive = max(1, min(l.adaptive, float64(l.limit()))*decreaseFactor)
	return ReasonFailures
}

func (l *Limiter) abandoned(o Observation) Reason {
	slow := l.times.isSlow(o.Duration)
	if l.times.addAbandoned(o.Duration) {
		l.chill(StateCold, ReasonServiceTime)
		return ReasonServiceTime
	}
	if !slow {
		return ""
	}
	return l.failed(Observation{Duration: o.Duration, Failed: true})
}

func (l *Limiter) succeeded(o Observation) Reason {
	l.unreachable = 0
	slow := l.times.isSlowCall(o)
	if l.times.add(o) {
		l.chill(StateCold, ReasonServiceTime)
		return ReasonServiceTime
	}
	l.failRate -= l.failRate * failStep
	l.adaptive = min(l.adaptive+max(1/l.adaptive, increaseFraction), float64(l.cfg.Capacity))
	if l.state == StateWarm {
		return ReasonRecovered
	}
	if slow {
		l.forfeit()
		return ReasonWarmed
	}
	l.credit()
	if l.warmed >= l.fullAfter() {
		l.state = StateWarm
	}
	return ReasonWarmed
}

// credit counts the time with calls in flight since the last success as warm-up,
// because an upstream without work need not get warmer. The time of abandoned
// calls counts with the next success.
func (l *Limiter) credit() {
	now := time.Now()
	l.warmed += l.unproven
	if l.inFlight > 0 {
		l.warmed += now.Sub(l.busySince)
	}
	l.forfeit()
}

// forfeit leaves the time since the last success out of the warm-up. The time of a
// slow call may be the first sign of a cold turn, and must not raise the limit.
func (l *Limiter) forfeit() {
	l.busySince = time.Now()
	l.unproven = 0
}

// holdTime is the warm-up time for which the limit stays at the cold capacity.
func (l *Limiter) holdTime() time.Duration {
	return time.Duration(float64(l.cfg.WarmUp) * holdFraction)
}

func (l *Limiter) fullAfter() time.Duration {
	return time.Duration(float64(l.cfg.WarmUp) * (holdFraction + rampFraction))
}
