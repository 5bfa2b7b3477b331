package instance

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxTagged is the number of values that the metrics of one name are kept for.
const maxTagged = 4096

// tagged keeps the metrics of one name by the values of their tags. A scope looks up
// its tags by a map that it sorts and joins on each call. The values must be from
// small fixed sets; past maxTagged, others are looked up each time.
type tagged[K comparable, M any] struct {
	lookUp func(K) M

	mu      sync.RWMutex
	metrics map[K]M
}

func (t *tagged[K, M]) get(values K) M {
	t.mu.RLock()
	m, ok := t.metrics[values]
	t.mu.RUnlock()
	if ok {
		return m
	}
	m = t.lookUp(values)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.metrics) < maxTagged {
		t.metrics[values] = m
	}
	return m
}

// CounterVec is a counter with tags. It is safe for concurrent use.
type CounterVec[K comparable] struct {
	tagged tagged[K, tally.Counter]
}

// NewCounterVec returns the counter of the name. tags are those of the values.
func NewCounterVec[K comparable](scope tally.Scope, name string, tags func(K) map[string]string) *CounterVec[K] {
	lookUp := func(values K) tally.Counter { return scope.Tagged(tags(values)).Counter(name) }
	return &CounterVec[K]{tagged: tagged[K, tally.Counter]{lookUp: lookUp, metrics: make(map[K]tally.Counter)}}
}

// Inc adds one to the counter of the values.
func (c *CounterVec[K]) Inc(values K) { c.tagged.get(values).Inc(1) }

// TimerVec is a timer with tags. It is safe for concurrent use.
type TimerVec[K comparable] struct {
	tagged tagged[K, tally.Timer]
}

// NewTimerVec returns the timer of the name. tags are those of the values.
func NewTimerVec[K comparable](scope tally.Scope, name string, tags func(K) map[string]string) *TimerVec[K] {
	lookUp := func(values K) tally.Timer { return scope.Tagged(tags(values)).Timer(name) }
	return &TimerVec[K]{tagged: tagged[K, tally.Timer]{lookUp: lookUp, metrics: make(map[K]tally.Timer)}}
}

// Record adds a time to the timer of the values.
func (t *TimerVec[K]) Record(values K, d time.Duration) { t.tagged.get(values).Record(d) }

// LatencyBuckets are the bounds of the histograms of times, from a fast lookup to the
// longest deadline of a stream.
var LatencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// HistogramVec is a histogram of times with tags. It is safe for concurrent use.
type HistogramVec[K comparable] struct {
	tagged tagged[K, tally.Histogram]
}

// NewHistogramVec returns the histogram of the name, with LatencyBuckets. tags are those of
// the values.
func NewHistogramVec[K comparable](scope tally.Scope, name string, tags func(K) map[string]string) *HistogramVec[K] {
	lookUp := func(values K) tally.Histogram { return scope.Tagged(tags(values)).Histogram(name, LatencyBuckets) }
	return &HistogramVec[K]{tagged: tagged[K, tally.Histogram]{lookUp: lookUp, metrics: make(map[K]tally.Histogram)}}
}

// Record adds a time to the histogram of the values.
func (h *HistogramVec[K]) Record(values K, d time.Duration) { h.tagged.get(values).RecordDuration(d) }
