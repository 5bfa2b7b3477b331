package pipeline

import (
	"sync"
	"time"
)

const (
	// outputTokenWeight is the size of an output token in prompt tokens: engines process
	// prompts in large chunks, but generate output token by token.
	outputTokenWeight = 10
	// baseValue is the component of a request's value that doesn't grow with its size, from the
	// users' rules, and maxValue is the upper bound of a value.
	baseValue = 0.3
	maxValue  = 4
	// meanWindow is the number of requests over which a route's mean size is averaged.
	meanWindow = 200
	// reserveFraction is the fraction of its slack that the smallest request reserves for
	// others. Below 1, it can still wait for a while.
	reserveFraction = 0.6
	// fullValue is the value from which a request reserves nothing for others.
	fullValue = 1.3
)

// RouteSizes holds the mean request size of each route. It is safe for concurrent use.
type RouteSizes struct {
	mu    sync.Mutex
	means map[string]*runningMean
}

type runningMean struct {
	n    int
	size float64
}

// NewRouteSizes returns a RouteSizes without any routes.
func NewRouteSizes() *RouteSizes { return &RouteSizes{means: make(map[string]*runningMean)} }

// Value records the size of a request of the route and returns its value relative to a
// mean request of the route, which has value 1. Requests without a stated size have value 1.
func (s *RouteSizes) Value(route string, promptTokens, outputTokens int) float64 {
	size := float64(promptTokens + outputTokenWeight*outputTokens)
	if size <= 0 {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.means[route]
	if m == nil {
		m = &runningMean{}
		s.means[route] = m
	}
	m.n = min(m.n+1, meanWindow)
	m.size += (size - m.size) / float64(m.n)
	return min(baseValue+(1-baseValue)*size/m.size, maxValue)
}

// Reserve returns how much earlier than its objective a request of the value must be
// expected to end to count as meeting it, given the slack that it would have on unloaded
// stages. Every request takes the same stage time, whatever its size. In a burst beyond the
// stages' capacity some requests must miss their objective; with the reserve these are the
// small ones, and the wait of the others stays short enough for their objective.
func Reserve(value float64, slack time.Duration) time.Duration {
	shortfall := (fullValue - value) / (fullValue - baseValue)
	return time.Duration(min(max(shortfall, 0), 1) * reserveFraction * float64(max(slack, 0)))
}
