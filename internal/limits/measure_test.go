package limits

import (
	"flag"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// withBaselines adds the rows of the fixed limit to the measurements.
var withBaselines = flag.Bool("baselines", false, "measure the baselines too")

func measured(t *testing.T, cfg Config, scenario func(t *testing.T, name string, l *Limiter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { scenario(t, "limiter", newLimiter(cfg)) })
	if *withBaselines {
		cfg.Fixed = true
		synctest.Test(t, func(t *testing.T) { scenario(t, "fixed limit", newLimiter(cfg)) })
	}
}

// saturate keeps the limiter fully used for the total time with calls of about 100 ms.
// A call fails after failAfter if fails returns true for the number of calls in flight. It
// returns the successful calls per second and the mean limit.
func saturate(l *Limiter, random *rand.Rand, total, failAfter time.Duration, fails func(inFlight int) bool) (rate, limit float64) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	good, inFlight, steps := 0, 0, 0
	call := func(d time.Duration, failed bool) {
		start := time.Now()
		time.Sleep(d)
		l.Release(Observation{Duration: time.Since(start), Failed: failed})
		mu.Lock()
		defer mu.Unlock()
		inFlight--
		if !failed {
			good++
		}
	}
	for end := time.Now().Add(total); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for l.TryAcquire() {
			mu.Lock()
			inFlight++
			failed := fails(inFlight)
			mu.Unlock()
			d := time.Duration(1e8 * math.Exp(0.3*random.NormFloat64()))
			if failed {
				d = failAfter
			}
			calls.Go(func() { call(d, failed) })
		}
		limit += float64(l.Limit())
		steps++
	}
	calls.Wait()
	return float64(good) / total.Seconds(), limit / float64(steps)
}

// check reports a violation by the limiter. The fixed limit doesn't have to pass.
func check(t *testing.T, l *Limiter, ok bool, violation string) {
	t.Helper()
	if !l.cfg.Fixed && !ok {
		t.Error(violation)
	}
}

// Guards against a limit that single failures keep low, that a short fault keeps low for a
// long time, or that stays above what the upstream can handle.
func TestMeasureFailures(t *testing.T) {
	measured(t, Config{Capacity: 64, ColdCapacity: 12}, func(t *testing.T, name string, l *Limiter) {
		random := rand.New(rand.NewPCG(1, 1))
		rate, limit := saturate(l, random, 20*time.Second, 100*time.Millisecond, func(int) bool { return random.IntN(100) < 2 })
		check(t, l, rate > 500, "single failures lower the limit")
		t.Logf("%-12s 2 %% random failures:     %4.0f successes/s, mean limit %4.1f", name, rate, limit)
		saturate(l, random, 100*time.Millisecond, time.Millisecond, func(int) bool { return true })
		after := l.Limit()
		rate, limit = saturate(l, random, 2*time.Second, time.Millisecond, func(int) bool { return false })
		check(t, l, rate > 500, "a short fault keeps the limit low")
		t.Logf("%-12s 2 s after 100 ms of faults: %4.0f successes/s, mean limit %4.1f, first %d", name, rate, limit, after)
		rate, limit = saturate(l, random, 20*time.Second, 10*time.Millisecond, func(n int) bool { return n > 32 })
		check(t, l, rate > 200 && limit < 40, "the limit stays above what the upstream can handle")
		t.Logf("%-12s handles 32 of 64:       %4.0f successes/s, mean limit %4.1f", name, rate, limit)
	})
}

// Guards against cold transitions that are detected late or not at all, and against steady
// upstreams that are treated as cold. Calls are sequential; the service time per unit of
// work is log-normal, and the work varies between 1 and 100 units.
func TestMeasureColdTransition(t *testing.T) {
	for _, sigma := range []float64{0.3, 0.6, 1} {
		for _, factor := range []float64{1, 2, 5, 10} {
			random := rand.New(rand.NewPCG(1, 1))
			next := func(factor float64) Observation {
				work := 1 + random.Float64()*99
				d := factor * work * math.Exp(sigma*random.NormFloat64())
				return Observation{Duration: time.Duration(d * float64(time.Millisecond)), Work: work}
			}
			const steady = 2000
			transitions, falseAlarms, missed, calls := 10, 0, 0, 0
			if *withBaselines {
				transitions = 200
			}
			for range transitions {
				var times serviceTimes
				for range steady {
					if times.add(next(1)) {
						falseAlarms++
						times.reset()
					}
				}
				n := 1
				for n < 200 && !times.add(next(factor)) {
					n++
				}
				calls += n
				if n == 200 {
					missed++
				}
			}
			t.Logf("sigma %.1f, %4.1f times slower: %5.1f calls until detected, %3d of %d missed in 200 calls, %d false in %d steady calls",
				sigma, factor, float64(calls)/float64(transitions), missed, transitions, falseAlarms, transitions*steady)
			if factor >= 5 && sigma <= 0.6 && (missed > 0 || falseAlarms > 0) {
				t.Errorf("%d missed, %d false cold transitions", missed, falseAlarms)
			}
		}
	}
}
