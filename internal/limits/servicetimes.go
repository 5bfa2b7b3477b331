package limits

import (
	"math"
	"slices"
	"time"
)

// serviceTimes compares the latest service times with those before them, per
// unit of work and as a whole. Medians keep single slow calls from mattering.
type serviceTimes struct {
	perUnit spread
	whole   spread
	recent  [recentSize]bool
	seen    int
	// fast holds the latest calls in a row that were much faster than the baseline.
	fast []fastCall
	// drift is a cumulative sum of how much slower than allowed the calls were.
	// It sees a turn that a wide distribution hides from single calls.
	drift float64
}

func (t *serviceTimes) reset() { *t = serviceTimes{} }

// add records a call and reports whether the latest calls have left the baseline.
func (t *serviceTimes) add(o Observation) bool {
	v := perUnit(o)
	if t.perUnit.isSlow(v) {
		return t.accumulate(t.perUnit.excess(v)) || t.mark(true)
	}
	t.restartWhenFaster(v, logSeconds(o.Duration))
	drifted := t.accumulate(t.perUnit.excess(v))
	if t.drift < driftLimit/4 {
		t.perUnit.add(v)
		t.whole.add(logSeconds(o.Duration))
	}
	return t.mark(false) || drifted
}

// fastCall is the logarithm of a service time per unit of work and as a whole.
type fastCall struct{ perUnit, whole float64 }

// restartWhenFaster replaces the baseline when the latest calls were much faster: the
// upstream got warm, and a later cold turn would look usual beside its cold times. The
// fast calls fill the new baseline, so that a turn is seen at once.
func (t *serviceTimes) restartWhenFaster(v, whole float64) {
	if !t.perUnit.isFast(v) {
		t.fast = t.fast[:0]
		return
	}
	if t.fast = append(t.fast, fastCall{v, whole}); len(t.fast) < fastRun {
		return
	}
	fast := t.fast
	t.reset()
	for i := range baselineMinimum {
		t.perUnit.add(fast[i%fastRun].perUnit)
		t.whole.add(fast[i%fastRun].whole)
	}
}

func (t *serviceTimes) isSlowCall(o Observation) bool { return t.perUnit.isSlow(perUnit(o)) }

// perUnit returns the logarithm of the seconds that one unit of work took.
func perUnit(o Observation) float64 {
	if o.Work <= 0 {
		return logSeconds(o.Duration)
	}
	return logSeconds(o.Duration) - math.Log(o.Work)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d.Seconds(), 1e-9)) }

// addAbandoned records a call of unknown work that had not ended after d, and
// reports whether the latest calls have left the baseline. A call given up early
// says nothing, but many given up at more than the usual time do.
func (t *serviceTimes) addAbandoned(d time.Duration) bool {
	drifted := t.accumulate(max(0, t.whole.excess(logSeconds(d))))
	return t.isSlow(d) && t.mark(true) || drifted
}

func (t *serviceTimes) accumulate(excess float64) bool {
	t.drift = max(0, t.drift+min(excess, driftStep))
	return t.drift >= driftLimit
}

// isSlow reports whether a call of unknown work has taken too long after d.
func (t *serviceTimes) isSlow(d time.Duration) bool {
	return t.whole.isSlow(logSeconds(d))
}

// typicalDuration returns the median of the recent durations, or 0.
func (t *serviceTimes) typicalDuration() time.Duration {
	if t.whole.count < baselineMinimum {
		return 0
	}
	return time.Duration(math.Exp(t.whole.median) * float64(time.Second))
}

// slowDuration returns the duration above which a call is slow, if it is known.
func (t *serviceTimes) slowDuration() (time.Duration, bool) {
	if t.whole.count < baselineMinimum {
		return 0, false
	}
	return time.Duration(math.Exp(t.whole.threshold) * float64(time.Second)), true
}

func (t *serviceTimes) mark(slow bool) bool {
	t.recent[t.seen%recentSize] = slow
	t.seen++
	return t.slowCalls() >= slowMinimum
}

func (t *serviceTimes) slowCalls() int {
	n := 0
	for _, slow := range t.recent {
		if slow {
			n++
		}
	}
	return n
}

// spread is the recent distribution of a logarithm.
type spread struct {
	values [baselineSize]float64
	count  int
	median float64
	// deviation is the standard deviation of a normal distribution with the same
	// median absolute deviation.
	deviation float64
	// threshold is the value above which one is slow.
	threshold float64
}

func (s *spread) isSlow(v float64) bool { return s.count >= baselineMinimum && v > s.threshold }

func (s *spread) isFast(v float64) bool {
	return s.count >= baselineMinimum && v < s.median-max(math.Log(fastFactor), fastDeviations*s.deviation)
}

func (s *spread) add(v float64) {
	s.values[s.count%baselineSize] = v
	s.count++
	if s.count%baselineRefresh == 0 {
		s.refresh()
	}
}

func (s *spread) refresh() {
	n := min(s.count, baselineSize)
	sorted := s.values
	slices.Sort(sorted[:n])
	s.median = sorted[n/2]
	for i := range n {
		sorted[i] = math.Abs(sorted[i] - s.median)
	}
	slices.Sort(sorted[:n])
	deviation := sorted[n/2]
	s.deviation = max(deviation*normalDeviations, minDeviation)
	s.threshold = s.median + max(math.Log(slowFactor), slowDeviations*deviation)
}

// excess returns by how many deviations v is above what single calls may be.
func (s *spread) excess(v float64) float64 {
	if s.count < baselineMinimum {
		return 0
	}
	return (v - s.median - max(math.Log(driftFactor), s.deviation)) / s.deviation
}
