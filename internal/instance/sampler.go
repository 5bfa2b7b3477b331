package instance

import (
	"sync"
	"time"
)

// MaxLinesPerSecond is the maximum number of log lines of one kind that a Sampler allows
// per second.
const MaxLinesPerSecond = 5

// Sampler limits the rate of log lines that are written per request, such as under
// overload. It is safe for concurrent use.
type Sampler[K comparable] struct {
	mu    sync.Mutex
	kinds map[K]*sampleWindow
}

// sampleWindow is the state of one kind of line.
type sampleWindow struct {
	start   time.Time
	lines   int
	dropped int
}

// NewSampler returns a sampler. The kinds must be from a small fixed set.
func NewSampler[K comparable]() *Sampler[K] { return &Sampler[K]{kinds: make(map[K]*sampleWindow)} }

// Allow reports whether a line of the kind may be written, and how many were dropped
// since the last one that was allowed.
func (s *Sampler[K]) Allow(kind K) (dropped int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		k = &sampleWindow{}
		s.kinds[kind] = k
	}
	if now := time.Now(); now.Sub(k.start) >= time.Second {
		k.start, k.lines = now, 0
	}
	if k.lines >= MaxLinesPerSecond {
		k.dropped++
		return 0, false
	}
	k.lines++
	dropped, k.dropped = k.dropped, 0
	return dropped, true
}
