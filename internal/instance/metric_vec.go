package instance

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxCachedMetrics is the maximum number of cached metrics of one name.
const maxCachedMetrics = 4096

// metricVec caches the metrics of one name by their tag values, because a scope sorts and
// joins the map of tags on each call. The tag values must be from small fixed sets;
// beyond maxCachedMetrics, metrics are looked up in the scope each time.
type metricVec[K comparable, M any] struct {
	lookup func(K) M

	mu      sync.RWMutex
	metrics map[K]M
}

func (t *metricVec[K, M]) get(tagValues K) M {
	t.mu.RLock()
	m, ok := t.metrics[tagValues]
	t.mu.RUnlock()
	if ok {
		return m
	}
	m = t.lookup(tagValues)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.metrics) < maxCachedMetrics {
		t.metrics[tagValues] = m
	}
	return m
}

// CounterVec is a set of counters with one name and different tag values. It is safe for
// concurrent use.
type CounterVec[K comparable] struct {
	metricVec metricVec[K, tally.Counter]
}

// NewCounterVec returns the counters with the name. tags converts tag values to tags.
func NewCounterVec[K comparable](scope tally.Scope, name string, tags func(K) map[string]string) *CounterVec[K] {
	lookup := func(tagValues K) tally.Counter { return scope.Tagged(tags(tagValues)).Counter(name) }
	return &CounterVec[K]{metricVec: metricVec[K, tally.Counter]{lookup: lookup, metrics: make(map[K]tally.Counter)}}
}

// Inc increments the counter with the tag values.
func (c *CounterVec[K]) Inc(tagValues K) { c.metricVec.get(tagValues).Inc(1) }

// TimerVec is a set of timers with one name and different tag values. It is safe for
// concurrent use.
type TimerVec[K comparable] struct {
	metricVec metricVec[K, tally.Timer]
}

// NewTimerVec returns the timers with the name. tags converts tag values to tags.
func NewTimerVec[K comparable](scope tally.Scope, name string, tags func(K) map[string]string) *TimerVec[K] {
	lookup := func(tagValues K) tally.Timer { return scope.Tagged(tags(tagValues)).Timer(name) }
	return &TimerVec[K]{metricVec: metricVec[K, tally.Timer]{lookup: lookup, metrics: make(map[K]tally.Timer)}}
}

// Record records a duration in the timer with the tag values.
func (t *TimerVec[K]) Record(tagValues K, d time.Duration) { t.metricVec.get(tagValues).Record(d) }

// LatencyBuckets are the bucket bounds of duration histograms, from 5 ms for a fast lookup
// to 10 s. Longer durations, such as those of long streams, are counted above the last
// bound.
var LatencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// HistogramVec is a set of duration histograms with one name and different tag values. It
// is safe for concurrent use.
type HistogramVec[K comparable] struct {
	metricVec metricVec[K, tally.Histogram]
}

// NewHistogramVec returns the histograms with the name and LatencyBuckets. tags converts
// tag values to tags.
func NewHistogramVec[K comparable](scope tally.Scope, name string, tags func(K) map[string]string) *HistogramVec[K] {
	lookup := func(tagValues K) tally.Histogram {
		return scope.Tagged(tags(tagValues)).Histogram(name, LatencyBuckets)
	}
	return &HistogramVec[K]{metricVec: metricVec[K, tally.Histogram]{lookup: lookup, metrics: make(map[K]tally.Histogram)}}
}

// Record records a duration in the histogram with the tag values.
func (h *HistogramVec[K]) Record(tagValues K, d time.Duration) {
	h.metricVec.get(tagValues).RecordDuration(d)
}
