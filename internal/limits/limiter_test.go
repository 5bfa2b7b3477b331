package limits

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

func newLimiter(cfg Config) *Limiter {
	return New(cfg, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
}

// run keeps the limiter fully used by calls of duration d for the total time.
func run(l *Limiter, total, d time.Duration) {
	for end := time.Now().Add(total); time.Now().Before(end); {
		n := 0
		for l.TryAcquire() {
			n++
		}
		time.Sleep(d)
		for range n {
			l.Release(Observation{Duration: d})
		}
	}
}

// Guards against a limit above the cold capacity during the warm-up, and against a
// slow start that takes more than twice the warm-up time.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: 5 * time.Second})
		for range 49 {
			run(l, 100*time.Millisecond, 100*time.Millisecond)
			if n := l.Limit(); n != 2 {
				t.Fatalf("limit during the warm-up is %d, want 2", n)
			}
		}
		run(l, 5*time.Second, 100*time.Millisecond)
		if l.Limit() != 10 || l.State() != StateWarm {
			t.Fatalf("after twice the warm-up: limit %d, state %s", l.Limit(), l.State())
		}
	})
}

// Guards against a second overload collapse of an upstream that collapsed during its
// warm-up: it is cold again, so the warm-up time before the failures must not raise the
// limit.
func TestFailuresWhileWarmingRestartSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: 5 * time.Second})
		run(l, 5*time.Second, 100*time.Millisecond)
		for range 20 {
			l.TryAcquire()
			time.Sleep(10 * time.Millisecond)
			l.Release(Observation{Duration: 10 * time.Millisecond, Failed: true})
		}
		for range 60 {
			run(l, 100*time.Millisecond, 100*time.Millisecond)
			if n := l.Limit(); n > 2 {
				t.Fatalf("limit after the failures is %d, want 2 at most", n)
			}
		}
	})
}

// Guards against a start at full capacity when the limiter is created before its
// configuration is known, as in the sidecar.
func TestSlowStartAfterLateConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 1, ColdCapacity: 1})
		cfg := Config{Capacity: 10, ColdCapacity: 2, WarmUp: 5 * time.Second}
		l.SetConfig(cfg)
		if n := l.Limit(); n != 2 || l.State() != StateWarming {
			t.Fatalf("limit %d, state %s after the first configuration", n, l.State())
		}
		run(l, 10*time.Second, 100*time.Millisecond)
		l.SetConfig(Config{Capacity: 20, ColdCapacity: 2, WarmUp: 9 * time.Second})
		if n := l.Limit(); n != 20 || l.State() != StateWarm {
			t.Fatalf("limit %d, state %s after a change of a warm upstream", n, l.State())
		}
	})
}

// Guards against a single slow call that is treated as a cold transition, and against a
// cold transition that is not detected.
func TestColdTransition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: time.Second})
		run(l, 4*time.Second, 50*time.Millisecond)
		l.TryAcquire()
		l.Release(Observation{Duration: 5 * time.Second})
		if l.State() != StateWarm || l.Limit() != 10 {
			t.Fatalf("after one slow call: %s, limit %d", l.State(), l.Limit())
		}
		for range 3 {
			l.TryAcquire()
			l.Release(Observation{Duration: 500 * time.Millisecond})
		}
		if l.State() != StateCold || l.Limit() != 2 {
			t.Fatalf("after a cold transition: %s, limit %d", l.State(), l.Limit())
		}
	})
}

// Guards against a limit that keeps rising when the upstream becomes cold during the
// warm-up, before or while the limit rises, and against a cold transition that is not
// detected because the baseline still holds service times of the cold upstream.
func TestColdTransitionWhileWarming(t *testing.T) {
	for _, tt := range []struct {
		name string
		cold time.Duration
		warm time.Duration
	}{
		{"during the hold", 0, 2 * time.Second},
		{"as the limit rises", 0, 2600 * time.Millisecond},
		{"after cold service times", 2 * time.Second, 700 * time.Millisecond},
		{"soon after cold service times", 2 * time.Second, 60 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLimiter(Config{Capacity: 16, ColdCapacity: 3, WarmUp: 2 * time.Second})
				run(l, tt.cold, 80*time.Millisecond)
				run(l, tt.warm, 20*time.Millisecond)
				before := l.Limit()
				run(l, 160*time.Millisecond, 80*time.Millisecond)
				if l.State() != StateCold || l.Limit() != 3 {
					t.Fatalf("state %s, limit %d, before the transition %d", l.State(), l.Limit(), before)
				}
			})
		})
	}
}

// Guards against a cold transition that is not detected because every slow call is
// abandoned, as with hedges, before it counts as slow by itself.
func TestColdTransitionInAbandonedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: time.Second})
		run(l, 4*time.Second, 50*time.Millisecond)
		for range 20 {
			l.TryAcquire()
			l.Release(Observation{Duration: 10 * time.Millisecond, Abandoned: true})
		}
		if l.State() != StateWarm {
			t.Fatal("calls abandoned early made the state cold")
		}
		for range 10 {
			l.TryAcquire()
			l.Release(Observation{Duration: 145 * time.Millisecond, Abandoned: true})
		}
		if l.State() != StateCold {
			t.Fatalf("state %s after calls abandoned at 2.9 times the usual time", l.State())
		}
	})
}

// Guards against a restarted upstream that keeps the limit from before the restart.
func TestRestartStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 2, WarmUp: time.Second})
		run(l, 4*time.Second, 50*time.Millisecond)
		if l.Limit() != 10 {
			t.Fatalf("limit %d before the restart", l.Limit())
		}
		l.RestartDetected()
		if l.Limit() != 2 || l.State() != StateWarming {
			t.Fatalf("limit %d, state %s after the restart", l.Limit(), l.State())
		}
	})
}

// Guards against warm-up time that is lost when a call in it is abandoned.
func TestAbandonedTimeCountsWithNextSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(Config{Capacity: 10, ColdCapacity: 1, WarmUp: 10 * time.Second})
		for _, abandoned := range []bool{true, false} {
			l.TryAcquire()
			time.Sleep(time.Second)
			l.Release(Observation{Duration: time.Second, Abandoned: abandoned})
			time.Sleep(time.Minute)
		}
		if ms := l.Snapshot().WarmedMs; ms != 2000 {
			t.Fatalf("%d ms of warm-up, want 2000", ms)
		}
	})
}
