package limits

import (
	"math"
	"slices"
	"time"
)

// serviceTimes compares the latest service times with a baseline of earlier ones, per
// unit of work and as a whole. Medians make the baseline robust against single slow calls.
type serviceTimes struct {
	perUnit       distribution
	whole         distribution
	recent        [recentSize]bool
	recordedCount int
	// fast holds the latest consecutive calls that were much faster than the baseline.
	fast []fastCall
	// cusum is the cumulative sum of how much slower than allowed the calls were. It
	// detects a cold transition that a wide distribution hides in single calls.
	cusum float64
}

func (t *serviceTimes) reset() { *t = serviceTimes{} }

// add records a call and reports whether the latest calls deviate from the baseline.
func (t *serviceTimes) add(o Observation) bool {
	v := perUnit(o)
	if t.perUnit.isSlow(v) {
		return t.addToCUSUM(t.perUnit.excess(v)) || t.recordRecent(true)
	}
	t.restartBaselineIfFast(v, logSeconds(o.Duration))
	drifted := t.addToCUSUM(t.perUnit.excess(v))
	if t.cusum < driftLimit/4 {
		t.perUnit.add(v)
		t.whole.add(logSeconds(o.Duration))
	}
	return t.recordRecent(false) || drifted
}

// fastCall is the logarithm of a service time per unit of work and as a whole.
type fastCall struct{ perUnit, whole float64 }

// restartBaselineIfFast replaces the baseline when the latest calls were much faster: the
// upstream has become warm, and compared with its cold service times a later cold transition
// would look normal. The fast calls fill the new baseline, so that a transition is detected
// at once.
func (t *serviceTimes) restartBaselineIfFast(v, whole float64) {
	if !t.perUnit.isFast(v) {
		t.fast = t.fast[:0]
		return
	}
	if t.fast = append(t.fast, fastCall{v, whole}); len(t.fast) < fastCallsNeeded {
		return
	}
	fast := t.fast
	t.reset()
	for i := range baselineMinSamples {
		t.perUnit.add(fast[i%fastCallsNeeded].perUnit)
		t.whole.add(fast[i%fastCallsNeeded].whole)
	}
}

func (t *serviceTimes) isSlowCall(o Observation) bool { return t.perUnit.isSlow(perUnit(o)) }

// perUnit returns the logarithm of the service time of one unit of work, in seconds.
func perUnit(o Observation) float64 {
	if o.Work <= 0 {
		return logSeconds(o.Duration)
	}
	return logSeconds(o.Duration) - math.Log(o.Work)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d.Seconds(), 1e-9)) }

// addAbandoned records a call of unknown work that had not ended after d, and
// reports whether the latest calls deviate from the baseline. A call abandoned early
// carries no information, but many calls abandoned after more than the usual time do.
func (t *serviceTimes) addAbandoned(d time.Duration) bool {
	drifted := t.addToCUSUM(max(0, t.whole.excess(logSeconds(d))))
	return t.isSlow(d) && t.recordRecent(true) || drifted
}

func (t *serviceTimes) addToCUSUM(excess float64) bool {
	t.cusum = max(0, t.cusum+min(excess, driftStep))
	return t.cusum >= driftLimit
}

// isSlow reports whether d is slow for a call of unknown work.
func (t *serviceTimes) isSlow(d time.Duration) bool {
	return t.whole.isSlow(logSeconds(d))
}

// medianDuration returns the median of the recent durations, or 0 if there are too few.
func (t *serviceTimes) medianDuration() time.Duration {
	if t.whole.count < baselineMinSamples {
		return 0
	}
	return time.Duration(math.Exp(t.whole.median) * float64(time.Second))
}

// slowThreshold returns the duration above which a call is slow, and false if it is not
// known.
func (t *serviceTimes) slowThreshold() (time.Duration, bool) {
	if t.whole.count < baselineMinSamples {
		return 0, false
	}
	return time.Duration(math.Exp(t.whole.threshold) * float64(time.Second)), true
}

func (t *serviceTimes) recordRecent(slow bool) bool {
	t.recent[t.recordedCount%recentSize] = slow
	t.recordedCount++
	return t.slowCalls() >= slowCallsNeeded
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

// distribution holds the latest values of a logarithm and their robust statistics.
type distribution struct {
	values [baselineSize]float64
	count  int
	median float64
	// deviation is the standard deviation of a normal distribution with the same
	// median absolute deviation.
	deviation float64
	// threshold is the value above which a call is slow.
	threshold float64
}

func (s *distribution) isSlow(v float64) bool {
	return s.count >= baselineMinSamples && v > s.threshold
}

func (s *distribution) isFast(v float64) bool {
	return s.count >= baselineMinSamples && v < s.median-max(math.Log(fastFactor), fastDeviations*s.deviation)
}

func (s *distribution) add(v float64) {
	s.values[s.count%baselineSize] = v
	s.count++
	if s.count%baselineRefresh == 0 {
		s.refresh()
	}
}

func (s *distribution) refresh() {
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

// excess returns by how many deviations v exceeds the range of a normal call.
func (s *distribution) excess(v float64) float64 {
	if s.count < baselineMinSamples {
		return 0
	}
	return (v - s.median - max(math.Log(driftAllowance), s.deviation)) / s.deviation
}
