package routing

import (
	"container/heap"
	"time"
)

// Choice is one call that was routed to an upstream.
type Choice struct {
	stage    *stage
	upstream *upstream
	address  string
	expires  time.Time
	probe    bool
	// elsewhere is set when a warm upstream had room.
	elsewhere bool
	// index is the place in the heap of choices, or -1 once ended or expired.
	index int
}

// Stage returns the name of the stage.
func (c *Choice) Stage() string { return c.stage.name }

// Name returns the name of the upstream.
func (c *Choice) Name() string { return c.upstream.name }

// Address returns the IP address and port of the sidecar's peer listener.
func (c *Choice) Address() string { return c.address }

// FailureDomain returns the failure domain of the upstream.
func (c *Choice) FailureDomain() string { return c.upstream.domain }

// IsProbe reports whether the call tests an ejected upstream. A failed probe may
// be retried outside the retry budget, because the ejections bound their number.
func (c *Choice) IsProbe() bool { return c.probe }

// HasWarmAlternative reports whether the call could go to a warm upstream, so that it need
// not wait for one that warms up.
func (c *Choice) HasWarmAlternative() bool { return c.elsewhere }

// Done ends the call and learns from its result; calls after the first have no effect.
func (c *Choice) Done(r Result) {
	s := c.stage
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.index < 0 {
		return
	}
	heap.Remove(&s.choices, c.index)
	c.upstream.inFlight--
	s.learn(c.upstream, r, time.Now())
}

// choiceHeap has the choice that expires first at its top.
type choiceHeap []*Choice

func (h choiceHeap) Len() int           { return len(h) }
func (h choiceHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h choiceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a choice for container/heap.
func (h *choiceHeap) Push(x any) {
	c := x.(*Choice)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop removes the last choice for container/heap.
func (h *choiceHeap) Pop() any {
	n := len(*h) - 1
	c := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	c.index = -1
	return c
}
