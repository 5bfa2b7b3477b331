package instance

import (
	"sync"
	"time"
)

// MaxLinesPerSecond is the number of log lines of one kind that a Sampler lets through
// in a second.
const MaxLinesPerSecond = 5

// Sampler bounds log lines that an overload repeats for each request. It is safe for
// concurrent use.
type Sampler[K comparable] struct {
	mu    sync.Mutex
	kinds map[K]*sampled
}

// sampled is what a Sampler knows of one kind of line.
type sampled struct {
	since  time.Time
	lines  int
	missed int
}

// NewSampler returns a sampler. The kinds must be from a small fixed set.
func NewSampler[K comparable]() *Sampler[K] { return &Sampler[K]{kinds: make(map[K]*sampled)} }

// Allow reports whether a line of the kind is to be written, and how many were left out
// since the last one that was.
func (s *Sampler[K]) Allow(kind K) (missed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		k = &sampled{}
		s.kinds[kind] = k
	}
	if now := time.Now(); now.Sub(k.since) >= time.Second {
		k.since, k.lines = now, 0
	}
	if k.lines >= MaxLinesPerSecond {
		k.missed++
		return 0, false
	}
	k.lines++
	missed, k.missed = k.missed, 0
	return missed, true
}
