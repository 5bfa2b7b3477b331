package admission

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Estimator estimates how long the stages of pipelines take from the runs of the
// last 2 s; it is safe for concurrent use.
type Estimator struct {
	probes     tally.Counter
	infeasible tally.Counter

	mu        sync.Mutex
	durations map[stageKey]*durations
	lastProbe map[string]time.Time
}

type stageKey struct {
	pipeline string
	stage    string
}

// NewEstimator returns an estimator without observations, for which every request
// with time remaining is feasible.
func NewEstimator(scope tally.Scope) *Estimator {
	return &Estimator{
		probes:     scope.Counter("estimatorProbes"),
		infeasible: scope.Counter("estimatorInfeasible"),
		durations:  make(map[stageKey]*durations),
		lastProbe:  make(map[string]time.Time),
	}
}

// Observe records the duration of a stage of the pipeline, including the network
// and the sidecar's queue. A stage that timed out is recorded with its timeout.
func (e *Estimator) Observe(pipeline, stage string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := stageKey{pipeline: pipeline, stage: stage}
	h, ok := e.durations[key]
	if !ok {
		h = &durations{}
		e.durations[key] = h
	}
	h.add(time.Now(), d)
}

// ExpectedDuration returns the sum of the median recent durations of the stages. A stage
// with too few recent runs counts as 0.
func (e *Estimator) ExpectedDuration(pipeline string, stages []string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expected(pipeline, stages, time.Now())
}

// Feasible reports whether the remaining stages are likely to end within the
// remaining time. It also returns true for one infeasible request per pipeline every
// 100 ms, so that the estimate recovers when the load decreases.
func (e *Estimator) Feasible(pipeline string, stages []string, remaining time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.expected(pipeline, stages, now) <= remaining {
		return true
	}
	if remaining > 0 && now.Sub(e.lastProbe[pipeline]) >= probeInterval {
		e.lastProbe[pipeline] = now
		e.probes.Inc(1)
		return true
	}
	e.infeasible.Inc(1)
	return false
}

// Retain drops the durations of the pipelines for which keep returns false.
func (e *Estimator) Retain(keep func(pipeline string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.durations {
		if !keep(key.pipeline) {
			delete(e.durations, key)
			delete(e.lastProbe, key.pipeline)
		}
	}
}

func (e *Estimator) expected(pipeline string, stages []string, now time.Time) time.Duration {
	var sum time.Duration
	for _, s := range stages {
		if h, ok := e.durations[stageKey{pipeline: pipeline, stage: s}]; ok {
			sum += h.quantile(now)
		}
	}
	return sum
}

// durations is a histogram of the durations of a stage over the recent
// sub-windows.
type durations struct {
	subWindows [estimatorSubWindows][durationBuckets]uint32
	counts     [estimatorSubWindows]uint64
	// current is the number of the newest sub-window since the Unix epoch.
	current int64
	// cached is the quantile computed at cachedAt.
	cached   time.Duration
	cachedAt time.Time
}

func (h *durations) add(now time.Time, d time.Duration) {
	h.rotate(now)
	i := h.current % estimatorSubWindows
	h.subWindows[i][durationBucket(d)]++
	h.counts[i]++
}

// rotate clears the sub-windows that have expired.
func (h *durations) rotate(now time.Time) {
	n := now.UnixNano() / int64(estimatorSubWindow)
	for steps := min(n-h.current, estimatorSubWindows); steps > 0; steps-- {
		i := (n - steps + 1) % estimatorSubWindows
		h.subWindows[i] = [durationBuckets]uint32{}
		h.counts[i] = 0
	}
	h.current = max(h.current, n)
}

// quantile returns the upper bound of the bucket that holds the quantile, or 0
// when there are too few recent durations. It is recomputed at most every 20 ms.
func (h *durations) quantile(now time.Time) time.Duration {
	if now.Sub(h.cachedAt) < estimatorSubWindow/25 {
		return h.cached
	}
	h.rotate(now)
	h.cachedAt = now
	h.cached = 0
	var total uint64
	for _, n := range h.counts {
		total += n
	}
	if total < estimatorMinSamples {
		return 0
	}
	rank := uint64(math.Ceil(float64(total) * estimatorQuantile))
	var sum uint64
	for b := range durationBuckets {
		for s := range h.subWindows {
			sum += uint64(h.subWindows[s][b])
		}
		if sum >= rank {
			h.cached = bucketBound(b)
			break
		}
	}
	return h.cached
}

func durationBucket(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	b := math.Ceil(math.Log2(float64(d)/float64(firstBucketBound)) * bucketsPerDoubling)
	return min(int(b), durationBuckets-1)
}

func bucketBound(b int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Exp2(float64(b)/bucketsPerDoubling))
}
