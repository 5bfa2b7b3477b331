package limits

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// model is the state of the limiter as derived from the calls of the test.
type model struct {
	cfg       Config
	inFlight  int
	coldSince time.Time
	// warmUp is the minimum of the configured warm-up times since coldSince.
	warmUp time.Duration
	// onlyNormal is set while no call has failed and no load was reported.
	onlyNormal bool
}

// step is one event. Its values are drawn before the test's clock is faked, because
// rapid ends a case by a panic on its own goroutine.
type step struct {
	op       int
	pause    time.Duration
	acquires int
	// fails is 0 for a call that fails and 1 for one that fails as unreachable.
	fails int
	cfg   Config
	load  float64
}

func drawStep(rt *rapid.T) step {
	return step{
		op:       rapid.IntRange(0, 9).Draw(rt, "op"),
		pause:    time.Duration(rapid.IntRange(0, 400).Draw(rt, "pauseMs")) * time.Millisecond,
		acquires: rapid.IntRange(1, 25).Draw(rt, "acquires"),
		fails:    rapid.IntRange(0, 9).Draw(rt, "fails"),
		cfg:      drawConfig(rt),
		load:     rapid.Float64Range(0, 3).Draw(rt, "load"),
	}
}

func drawConfig(rt *rapid.T) Config {
	capacity := rapid.IntRange(1, 20).Draw(rt, "capacity")
	return Config{
		Capacity:     capacity,
		ColdCapacity: rapid.IntRange(1, capacity).Draw(rt, "cold"),
		WarmUp:       time.Duration(rapid.IntRange(0, 3).Draw(rt, "warmUp")) * time.Second,
	}
}

// Guards against more calls than the upstream can handle and against lost or duplicate
// slots, over starts, restarts, capacity changes, failures and load reports.
func TestLimiterStateful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := drawConfig(rt)
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		var violation string
		synctest.Test(t, func(*testing.T) { violation = exercise(cfg, steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func exercise(cfg Config, steps []step) string {
	m := model{cfg: cfg, warmUp: cfg.WarmUp, coldSince: time.Now(), onlyNormal: true}
	l := newLimiter(cfg)
	for i, s := range steps {
		m.step(s, l)
		if violation := m.check(l); violation != "" {
			return fmt.Sprintf("step %d: %s", i, violation)
		}
	}
	for ; m.inFlight > 0; m.inFlight-- {
		l.Cancel()
	}
	if l.InFlight() != 0 || !l.TryAcquire() {
		return fmt.Sprintf("drained limiter has %d calls in flight or grants no slot", l.InFlight())
	}
	return ""
}

func (m *model) step(s step, l *Limiter) {
	time.Sleep(s.pause)
	switch {
	case s.op <= 3:
		for range s.acquires {
			if l.TryAcquire() {
				m.inFlight++
			}
		}
	case s.op <= 6 && m.inFlight > 0:
		m.inFlight--
		failed := s.fails <= 1
		m.onlyNormal = m.onlyNormal && !failed
		l.Release(Observation{Duration: 100 * time.Millisecond, Failed: failed, Unreachable: s.fails == 1})
	case s.op == 7 && s.fails <= 4:
		l.RestartDetected()
		m.coldSince = time.Now()
		m.warmUp = m.cfg.WarmUp
	case s.op == 7:
		m.becomeCold(l)
	case s.op == 8:
		m.cfg = s.cfg
		m.warmUp = min(m.warmUp, m.cfg.WarmUp)
		l.SetConfig(m.cfg)
	case s.op == 9:
		l.ReportedLoad(s.load)
		m.onlyNormal = false
	}
}

// becomeCold makes a warm upstream respond slowly. Three slow calls after enough
// normal ones must lower the limit.
func (m *model) becomeCold(l *Limiter) {
	if l.State() != StateWarm || m.cfg.WarmUp == 0 {
		return
	}
	calls := func(n int, d time.Duration) {
		for range n {
			if l.TryAcquire() {
				l.Release(Observation{Duration: d})
			}
		}
	}
	if m.inFlight >= l.Limit() {
		return
	}
	calls(baselineSize, 100*time.Millisecond)
	calls(slowCallsNeeded, time.Second)
	m.coldSince = time.Now()
	m.warmUp = m.cfg.WarmUp
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
	case s.State == StateWarm && m.onlyNormal && s.Limit < m.cfg.Capacity:
		return fmt.Sprintf("limit %d of %d without failures or load reports", s.Limit, m.cfg.Capacity)
	case m.inFlight >= s.Limit && l.TryAcquire():
		return fmt.Sprintf("slot %d granted with limit %d", m.inFlight+1, s.Limit)
	}
	return ""
}

// Guards against a warm-up that progresses while the upstream is idle or failing.
func TestNoWarmUpWithoutSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: time.Second})
		for range 10 {
			l.TryAcquire()
			time.Sleep(500 * time.Millisecond)
			l.Release(Observation{Duration: 500 * time.Millisecond, Failed: true})
		}
		if s := l.Snapshot(); s.WarmedMs != 0 || s.State != StateWarming {
			t.Fatalf("warm-up of %d ms, state %s after failures only", s.WarmedMs, s.State)
		}
		time.Sleep(time.Hour)
		l.TryAcquire()
		l.Release(Observation{Duration: 10 * time.Millisecond})
		if s := l.Snapshot(); s.WarmedMs > 500 {
			t.Fatalf("warm-up of %d ms after an idle hour", s.WarmedMs)
		}
	})
}

// Guards against a restart that is not detected because the upstream has no identity to
// compare, and against one reset connection that is treated as a restart.
func TestConsecutiveUnreachableCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: time.Second})
		run(l, 4*time.Second, 50*time.Millisecond)
		fail := func() {
			l.TryAcquire()
			l.Release(Observation{Duration: time.Millisecond, Failed: true, Unreachable: true})
		}
		fail()
		if l.State() != StateWarm {
			t.Fatal("one unreachable call restarted the slow start")
		}
		fail()
		fail()
		if l.State() != StateWarming || l.Limit() > 2 {
			t.Fatalf("state %s, limit %d after consecutive unreachable calls", l.State(), l.Limit())
		}
	})
}

// Guards against a load report that raises the limit or never expires.
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
		time.Sleep(reportTTL + time.Millisecond)
		if n := l.Limit(); n != 10 {
			t.Fatalf("limit %d after the report expired, want 10", n)
		}
		l.ReportedLoad(1.2)
		l.ReportedLoad(0.1)
		if n := l.Limit(); n != 10 {
			t.Fatalf("limit %d after a report of little load, want 10", n)
		}
	})
}

// Guards against a cold transition that is not detected while no call ends, and against one
// stuck call that is treated as a cold transition.
func TestStalledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 30, ColdCapacity: 2, WarmUp: time.Second})
		run(l, 4*time.Second, 50*time.Millisecond)
		l.TryAcquire()
		time.Sleep(time.Second)
		for range 10 {
			l.TryAcquire()
		}
		if l.State() != StateWarm || l.InFlight() != 11 {
			t.Fatalf("one stuck call: state %s, %d in flight", l.State(), l.InFlight())
		}
		time.Sleep(200 * time.Millisecond)
		if l.TryAcquire() || l.State() != StateCold {
			t.Fatalf("11 stuck calls: state %s, %d in flight", l.State(), l.InFlight())
		}
	})
}

// Guards against start times in the wrong order after the queue has grown.
func TestStartTimesKeepOrder(t *testing.T) {
	var s startTimes
	next, oldest := time.Duration(0), time.Duration(0)
	for i := range 200 {
		s.push(next)
		next++
		if i%3 == 0 {
			s.pop()
			oldest++
		}
		for k := range s.n {
			if at, ok := s.at(k); !ok || at != oldest+time.Duration(k) {
				t.Fatalf("start %d is %d, want %d", k, at, oldest+time.Duration(k))
			}
		}
	}
}
