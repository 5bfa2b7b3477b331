package sidecar

import (
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/limits"
)

// coldTimeStep is the part by which one call moves the mean service time. It lets the
// mean follow within a few calls when the upstream gets warm.
const coldTimeStep = 0.3

// coldTimes holds the mean service time of an upstream that is not warm.
type coldTimes struct {
	mu     sync.Mutex
	recent time.Duration
}

// note learns from a completed call that began in the state. A warm upstream forgets
// the mean, because it ends near the warm times and a later cold turn starts anew.
func (c *coldTimes) note(state limits.State, service time.Duration) {
	if state == limits.StateWarm {
		c.forget()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recent == 0 {
		c.recent = service
	}
	c.recent += time.Duration(coldTimeStep * float64(service-c.recent))
}

// forget drops the mean.
func (c *coldTimes) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = 0
}

// mean returns the mean service time, or 0 when it is not known or the upstream is warm.
func (c *coldTimes) mean(state limits.State) time.Duration {
	if state == limits.StateWarm {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent
}
