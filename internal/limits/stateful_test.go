package limits

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// model is what the test knows of the limiter from outside.
type model struct {
	cfg       Config
	inFlight  int
	coldSince time.Time
	// warmUp is the shortest configured warm-up time since coldSince.
	warmUp time.Duration
	// quiet is set while nothing but successes of normal speed was released.
	quiet bool
}

// Guards against calls above what the upstream bears and against lost or doubled
// slots, over starts, restarts, capacity changes, failures and load reports.
func TestLimiterStateful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure string
		run := func(t *testing.T) {
			defer func() {
				if r := recover(); r != nil {
					failure = fmt.Sprint(r)
				}
			}()
			failure = exercise(rt)
		}
		synctest.Test(t, run)
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func drawConfig(rt *rapid.T) Config {
	capacity := rapid.IntRange(1, 20).Draw(rt, "capacity")
	return Config{
		Capacity:     capacity,
		ColdCapacity: rapid.IntRange(1, capacity).Draw(rt, "cold"),
		WarmUp:       time.Duration(rapid.IntRange(0, 3).Draw(rt, "warmUp")) * time.Second,
	}
}

func exercise(rt *rapid.T) string {
	m := model{cfg: drawConfig(rt), coldSince: time.Now(), quiet: true}
	m.warmUp = m.cfg.WarmUp
	l := newLimiter(m.cfg)
	for range rapid.IntRange(1, 60).Draw(rt, "steps") {
		m.step(rt, l)
		if fault := m.check(l); fault != "" {
			return fault
		}
	}
	for ; m.inFlight > 0; m.inFlight-- {
		l.Cancel()
	}
	if l.InFlight() != 0 || !l.TryAcquire() {
		return fmt.Sprintf("drained limiter has %d in flight or refuses", l.InFlight())
	}
	return ""
}

func (m *model) step(rt *rapid.T, l *Limiter) {
	time.Sleep(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pauseMs")) * time.Millisecond)
	switch op := rapid.IntRange(0, 9).Draw(rt, "op"); {
	case op <= 3:
		for range rapid.IntRange(1, 25).Draw(rt, "acquires") {
			if l.TryAcquire() {
				m.inFlight++
			}
		}
	case op <= 6 && m.inFlight > 0:
		m.inFlight--
		o := Observation{Duration: 100 * time.Millisecond}
		if rapid.IntRange(0, 5).Draw(rt, "fails") == 0 {
			o.Failed, m.quiet = true, false
			o.Unreachable = rapid.Bool().Draw(rt, "unreachable")
		}
		l.Release(o)
	case op == 7:
		l.RestartDetected()
		m.coldSince = time.Now()
		m.warmUp = m.cfg.WarmUp
	case op == 8:
		m.cfg = drawConfig(rt)
		m.warmUp = min(m.warmUp, m.cfg.WarmUp)
		l.SetCapacity(m.cfg)
	case op == 9:
		l.ReportedLoad(rapid.Float64Range(0, 3).Draw(rt, "load"))
		m.quiet = false
	}
}

func (m *model) check(l *Limiter) string {
	s := l.Snapshot()
	switch {
	case s.InFlight != m.inFlight:
		return fmt.Sprintf("%d in flight, want %d", s.InFlight, m.inFlight)
	case s.Limit < 1 || s.Limit > m.cfg.Capacity:
		return fmt.Sprintf("limit %d with capacity %d", s.Limit, m.cfg.Capacity)
	case time.Since(m.coldSince) < m.warmUp && s.Limit > m.cfg.ColdCapacity:
		return fmt.Sprintf("limit %d within the warm-up, cold capacity %d", s.Limit, m.cfg.ColdCapacity)
	case s.State == StateWarm && m.quiet && s.Limit < m.cfg.Capacity:
		return fmt.Sprintf("limit %d of %d without a cause", s.Limit, m.cfg.Capacity)
	case m.inFlight >= s.Limit && l.TryAcquire():
		return fmt.Sprintf("slot %d granted with limit %d", m.inFlight+1, s.Limit)
	}
	return ""
}

// Guards against a warm-up that an idle or failing upstream seems to complete.
func TestNoWarmUpWithoutSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: time.Second})
		for range 10 {
			l.TryAcquire()
			time.Sleep(500 * time.Millisecond)
			l.Release(Observation{Duration: 500 * time.Millisecond, Failed: true})
		}
		if l.Limit() > 2 || l.State() != StateWarming {
			t.Fatalf("limit %d, state %s after failures only", l.Limit(), l.State())
		}
		time.Sleep(time.Hour)
		l.TryAcquire()
		l.Release(Observation{Duration: 10 * time.Millisecond})
		if l.Limit() > 2 {
			t.Fatalf("limit %d after an idle hour", l.Limit())
		}
	})
}

// Guards against upstreams that die without an identity to compare, and against
// one reset connection that is taken for a restart.
func TestUnreachableRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: time.Second})
		run(l, 4*time.Second, 50*time.Millisecond)
		fail := func() {
			l.TryAcquire()
			l.Release(Observation{Duration: time.Millisecond, Failed: true, Unreachable: true})
		}
		fail()
		if l.State() != StateWarm {
			t.Fatal("one unreachable call made the upstream cold")
		}
		fail()
		fail()
		if l.State() != StateWarming || l.Limit() > 2 {
			t.Fatalf("state %s, limit %d after a run of unreachable calls", l.State(), l.Limit())
		}
	})
}

// Guards against a load report that raises the limit, or that never ends.
func TestReportedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2})
		for range 6 {
			l.TryAcquire()
		}
		l.ReportedLoad(1.2)
		if n := l.Limit(); n != 4 {
			t.Fatalf("limit %d after a report of 1.2 with 6 in flight, want 4", n)
		}
		time.Sleep(reportLifetime + time.Millisecond)
		l.ReportedLoad(0.1)
		if n := l.Limit(); n != 10 {
			t.Fatalf("limit %d after the report ended, want 10", n)
		}
	})
}
