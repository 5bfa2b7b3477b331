package pipeline

import (
	"sync"
	"time"
)

const (
	// outputWeight is how many prompt tokens an output token counts for: engines read
	// prompts in large chunks, but make output token by token.
	outputWeight = 10
	// baseWorth is the part of a request's worth that doesn't grow with its size, from the
	// users' rules, and largestWorth bounds the whole.
	baseWorth    = 0.3
	largestWorth = 4
	// meanOver is the number of requests that a route's mean size is taken over.
	meanOver = 200
	// reserveShare is the part of the time to spare that the smallest request leaves to
	// others, so that it still may wait for a while.
	reserveShare = 0.6
	// fullWorth is the worth from which a request leaves nothing to others.
	fullWorth = 1.3
)

// RouteSizes keeps the mean size of each route's requests. It is safe for concurrent use.
type RouteSizes struct {
	mu    sync.Mutex
	means map[string]*mean
}

type mean struct {
	n    int
	size float64
}

// NewRouteSizes returns sizes without routes.
func NewRouteSizes() *RouteSizes { return &RouteSizes{means: make(map[string]*mean)} }

// Value notes the size of a request of the route and returns what it is worth among the
// others, 1 for a mean one. Requests without stated size are all worth 1.
func (s *RouteSizes) Value(route string, promptTokens, outputTokens int) float64 {
	size := float64(promptTokens + outputWeight*outputTokens)
	if size <= 0 {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.means[route]
	if m == nil {
		m = &mean{}
		s.means[route] = m
	}
	m.n = min(m.n+1, meanOver)
	m.size += (size - m.size) / float64(m.n)
	return min(baseWorth+(1-baseWorth)*size/m.size, largestWorth)
}

// Reserve is how much earlier than its objective a request of the worth must be done to
// be taken for one in time, if it would have so much time to spare alone. Every request
// costs the stages the same, whatever its size. In a burst beyond the stages' capacity
// some must be late; with the reserve these are the small ones, and the wait of the others
// stays short enough for them.
func Reserve(worth float64, spare time.Duration) time.Duration {
	short := (fullWorth - worth) / (fullWorth - baseWorth)
	return time.Duration(min(max(short, 0), 1) * reserveShare * float64(max(spare, 0)))
}
