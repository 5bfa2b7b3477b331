package engines

import (
	"math"
	"time"
)

const (
	// minSlowness and maxSlowness bound the ratio of an engine's times to the usual ones.
	minSlowness, maxSlowness = 0.5, 6.0
	// slownessWeight is the weight of the newest answer in the slowness.
	slownessWeight = 0.6
	// slownessAge is the time after which the difference of a slowness from 1 has fallen to
	// 1/e: an engine that is avoided for it is tried again.
	slownessAge = 20 * time.Second
	// measurementAge is the age up to which gateways tell each other of a slowness.
	measurementAge = 6 * time.Second
	// usualRange is the ratio of times up to which engines count as equally fast, so that
	// gateways that measured different ones agree on an engine.
	usualRange = 1.3
)

// Engine is what is known of one start of an engine.
type Engine struct {
	service *Service
	// slowness is the ratio of the engine's times to the usual ones at the time of the last
	// answer, and recorded that time.
	slowness float64
	recorded time.Time
	// adopted is set if another gateway got that answer.
	adopted bool
}

// Measurement is the slowness of an engine as one gateway measured it. Gateways send it to
// each other.
type Measurement struct {
	// ID and Born identify the start of the engine.
	ID   string
	Born int64
	// Slowness is the ratio of its times to the usual ones, and AgeMs the time since the last
	// answer.
	Slowness float64
	AgeMs    int64
}

// Slowness returns the ratio of the engine's times to the usual ones of its service. It is 1 up
// to usualRange: if gateways told engines of about the same speed apart, all of them would send
// what comes at one moment to the same engine.
func (e *Engine) Slowness(now time.Time) float64 {
	if e.slowness <= usualRange {
		return 1
	}
	if slowness := e.measured(now); slowness > usualRange {
		return slowness
	}
	return 1
}

// measured returns the measured slowness, which returns to 1 with its age.
func (e *Engine) measured(now time.Time) float64 {
	if e.recorded.IsZero() {
		return 1
	}
	confidence := math.Exp(-max(now.Sub(e.recorded), 0).Seconds() / slownessAge.Seconds())
	return 1 + (e.slowness-1)*confidence
}

// Weight returns the weight of the engine among those of its service, from 0 to 1, by the
// square of its speed. It is 1 for all that are about as fast as usual.
func (e *Engine) Weight(now time.Time) float64 {
	slowness := e.Slowness(now)
	return 1 / (slowness * slowness)
}

// Measurement returns the slowness by a recent answer to this gateway that came after the time,
// without the identity of the engine.
func (e *Engine) Measurement(now, after time.Time) (Measurement, bool) {
	age := now.Sub(e.recorded)
	if e.adopted || age > measurementAge || !e.recorded.After(after) {
		return Measurement{}, false
	}
	return Measurement{Slowness: e.slowness, AgeMs: max(age, 0).Milliseconds()}, true
}

// Adopt takes over the measurement of another gateway if it is newer than the last answer.
func (e *Engine) Adopt(now time.Time, m Measurement) {
	if m.AgeMs < 0 || m.AgeMs > measurementAge.Milliseconds() || math.IsNaN(m.Slowness) {
		return
	}
	recorded := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	if !recorded.After(e.recorded) {
		return
	}
	e.slowness, e.recorded, e.adopted = min(max(m.Slowness, minSlowness), maxSlowness), recorded, true
}

// ReadMs returns the time in which the engine reads the tokens, in milliseconds.
func (e *Engine) ReadMs(now time.Time, tokens float64) float64 {
	return e.Slowness(now) * e.service.ReadMs(tokens)
}

// FirstEventMs returns the expected time to the first event, in milliseconds, when the engine
// has the tokens to read.
func (e *Engine) FirstEventMs(now time.Time, tokens float64) float64 {
	return e.Slowness(now) * e.service.FirstEventMs(tokens)
}

// RecordFirstEvent records the time to the first event of a request with which the engine had
// the tokens to read.
func (e *Engine) RecordFirstEvent(now time.Time, tokens, ms float64) {
	if ms > 0 {
		e.service.recordFirstEvent(tokens, ms/e.Slowness(now))
	}
}

// RecordPace records the usual time between the events of a stream.
func (e *Engine) RecordPace(now time.Time, ms float64) {
	if ms <= 0 {
		return
	}
	e.service.recordPace(ms)
	measured := min(max(ms/e.service.paceMs, minSlowness), maxSlowness)
	e.slowness = e.measured(now) + slownessWeight*(measured-e.measured(now))
	e.recorded, e.adopted = now, false
}
