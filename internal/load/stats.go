package load

import (
	"cmp"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Range of the latency histograms, in microseconds, and their precision.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 600_000_000
	significantFigures = 3
)

type groupKey struct {
	pipeline string
	priority fleet.Priority
}

// group counts the requests of one pipeline and priority.
type group struct {
	counts     Counts
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

func newGroup() *group {
	return &group{latency: newHistogram(), firstToken: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantFigures)
}

// record adds a duration, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (g *group) add(r Result) {
	g.counts.add(r)
	if r.Outcome == Completed {
		record(g.latency, r.Latency)
		if r.FirstToken > 0 {
			record(g.firstToken, r.FirstToken)
		}
	}
}

// stats collects the results of a run.
type stats struct {
	mu      sync.Mutex
	groups  map[groupKey]*group
	seconds []Counts
	lags    *hdrhistogram.Histogram
	reasons map[string]int
}

func newStats() *stats {
	return &stats{groups: make(map[groupKey]*group), lags: newHistogram(), reasons: make(map[string]int)}
}

func (s *stats) add(r Result, due time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(r.Pipeline, r.Priority).add(r)
	s.second(due).add(r)
	if r.Outcome != Completed {
		s.countReason(r.Priority.String() + ", " + string(r.Outcome) + ": " + r.Reason)
	}
}

// addUnsent counts an arrival that was dropped because MaxInFlight requests were in flight.
func (s *stats) addUnsent(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(a.class.Pipeline, a.class.Priority).counts.Unsent++
	s.second(a.due).Unsent++
}

func (s *stats) addLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.lags, d)
}

func (s *stats) group(pipeline string, priority fleet.Priority) *group {
	key := groupKey{pipeline: pipeline, priority: priority}
	g, ok := s.groups[key]
	if !ok {
		g = newGroup()
		s.groups[key] = g
	}
	return g
}

func (s *stats) second(due time.Duration) *Counts {
	n := int(due / time.Second)
	for len(s.seconds) <= n {
		s.seconds = append(s.seconds, Counts{})
	}
	return &s.seconds[n]
}

// countReason counts a failure reason. Numbers in it, such as ports and durations, are masked so that
// similar reasons count as one, and the number of distinct reasons is bounded.
func (s *stats) countReason(reason string) {
	reason = numbers.ReplaceAllString(reason, "#")
	if _, ok := s.reasons[reason]; !ok && len(s.reasons) >= maxReasons {
		reason = "other"
	}
	s.reasons[reason]++
}

const maxReasons = 40

// numbers matches numbers, IP addresses with ports, durations and hexadecimal ids of at least 8 digits.
// Of a duration with several units only the last one is masked: "1m2s" becomes "1m#".
var numbers = regexp.MustCompile(`[0-9]+(\.[0-9]+)*(:[0-9]+)?(ms|µs|s|m|h)?\b|\b[0-9a-f]{8,}\b`)

func (s *stats) report(cfg Config, start time.Time) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Report{
		Seed:      cfg.Seed,
		StartedAt: start,
		Phases:    cfg.Phases,
		Lag:       quantiles(s.lags),
		Seconds:   s.seconds,
		Reasons:   s.reasons,
	}
	total := newGroup()
	for key, g := range s.groups {
		r.Groups = append(r.Groups, g.report(key.pipeline, key.priority.String()))
		total.counts.merge(g.counts)
		total.latency.Merge(g.latency)
		total.firstToken.Merge(g.firstToken)
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Priority, b.Priority))
	})
	r.Total = total.report("all", "all")
	return r
}

func (g *group) report(pipeline, priority string) Group {
	return Group{
		Pipeline:   pipeline,
		Priority:   priority,
		Counts:     g.counts,
		Attainment: g.counts.Attainment(),
		Latency:    quantiles(g.latency),
		FirstToken: quantiles(g.firstToken),
	}
}
