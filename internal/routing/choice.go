package routing

import (
	"container/heap"
	"time"
)

// Choice is the upstream picked for one call.
type Choice struct {
	stage    *stage
	upstream *upstream
	address  string
	expires  time.Time
	probe    bool
	// warmAlternative is set when a warm upstream had free slots at the time of the pick.
	warmAlternative bool
	// index is the index in the heap of choices, or -1 once the choice has ended or expired.
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

// IsProbe reports whether the call probes an ejected upstream. A failed probe may be
// retried without using the retry budget, because the ejections limit the number of probes.
func (c *Choice) IsProbe() bool { return c.probe }

// HasWarmAlternative reports whether a warm upstream had free slots, so that the call
// doesn't have to wait for one that is warming up.
func (c *Choice) HasWarmAlternative() bool { return c.warmAlternative }

// Done ends the call and records its result; calls after the first have no effect.
func (c *Choice) Done(r Result) {
	s := c.stage
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.index < 0 {
		return
	}
	heap.Remove(&s.choices, c.index)
	c.upstream.inFlight--
	s.recordResult(c.upstream, r, time.Now())
}

// choiceHeap is a min-heap of choices by expiry.
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
