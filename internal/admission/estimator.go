package admission

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Estimator learns what the stages of pipelines cost; it is safe for concurrent
// use. Costs older than 2 s are forgotten.
type Estimator struct {
	probes     tally.Counter
	infeasible tally.Counter

	mu        sync.Mutex
	costs     map[stageKey]*costs
	lastProbe map[string]time.Time
}

type stageKey struct {
	pipeline string
	stage    string
}

// NewEstimator returns an estimator that knows nothing and so refuses nothing.
func NewEstimator(scope tally.Scope) *Estimator {
	return &Estimator{
		probes:     scope.Counter("estimatorProbes"),
		infeasible: scope.Counter("estimatorInfeasible"),
		costs:      make(map[stageKey]*costs),
		lastProbe:  make(map[string]time.Time),
	}
}

// Observe records the time that a stage took for the pipeline, including the
// network and the sidecar's queue. A stage that ran out of time is recorded
// with the time it was given.
func (e *Estimator) Observe(pipeline, stage string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := stageKey{pipeline: pipeline, stage: stage}
	c, ok := e.costs[key]
	if !ok {
		c = &costs{}
		e.costs[key] = c
	}
	c.add(time.Now(), d)
}

// ExpectedDuration returns the time that the stages together take at the median of the
// recent costs. A stage without recent costs counts as 0.
func (e *Estimator) ExpectedDuration(pipeline string, stages []string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expected(pipeline, stages, time.Now())
}

// Feasible reports whether the remaining stages are likely to end within the
// remaining time. One infeasible request per pipeline is let through every 100 ms,
// so that the estimate recovers when the load falls.
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

// Retain drops what is known of pipelines that keep returns false for.
func (e *Estimator) Retain(keep func(pipeline string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.costs {
		if !keep(key.pipeline) {
			delete(e.costs, key)
			delete(e.lastProbe, key.pipeline)
		}
	}
}

func (e *Estimator) expected(pipeline string, stages []string, now time.Time) time.Duration {
	var sum time.Duration
	for _, s := range stages {
		if c, ok := e.costs[stageKey{pipeline: pipeline, stage: s}]; ok {
			sum += c.quantile(now)
		}
	}
	return sum
}

// costs is a histogram over the recent sub-windows.
type costs struct {
	spans  [estimatorSpans][costBuckets]uint32
	counts [estimatorSpans]uint64
	// current is the number of the newest sub-window since the zero time of now.
	current int64
	// cached is the quantile computed at cachedAt.
	cached   time.Duration
	cachedAt time.Time
}

func (c *costs) add(now time.Time, d time.Duration) {
	c.rotate(now)
	i := c.current % estimatorSpans
	c.spans[i][costBucket(d)]++
	c.counts[i]++
}

// rotate clears the sub-windows that have passed.
func (c *costs) rotate(now time.Time) {
	n := now.UnixNano() / int64(estimatorSpan)
	for steps := min(n-c.current, estimatorSpans); steps > 0; steps-- {
		i := (n - steps + 1) % estimatorSpans
		c.spans[i] = [costBuckets]uint32{}
		c.counts[i] = 0
	}
	c.current = max(c.current, n)
}

// quantile returns the upper bound of the bucket that holds the quantile, or 0
// when there are too few recent costs. It is computed at most every 20 ms.
func (c *costs) quantile(now time.Time) time.Duration {
	if now.Sub(c.cachedAt) < estimatorSpan/25 {
		return c.cached
	}
	c.rotate(now)
	c.cachedAt = now
	c.cached = 0
	var total uint64
	for _, n := range c.counts {
		total += n
	}
	if total < estimatorMinimum {
		return 0
	}
	rank := uint64(math.Ceil(float64(total) * estimatorQuantile))
	var sum uint64
	for b := range costBuckets {
		for s := range c.spans {
			sum += uint64(c.spans[s][b])
		}
		if sum >= rank {
			c.cached = bucketCost(b)
			break
		}
	}
	return c.cached
}

func costBucket(d time.Duration) int {
	if d <= smallestCost {
		return 0
	}
	b := math.Ceil(math.Log2(float64(d)/float64(smallestCost)) * bucketsPerDoubling)
	return min(int(b), costBuckets-1)
}

func bucketCost(b int) time.Duration {
	return time.Duration(float64(smallestCost) * math.Exp2(float64(b)/bucketsPerDoubling))
}
