package sidecar

import (
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/limits"
)

// coldTimeWeight is the weight of one call in the moving average of service times. It
// makes the average follow within a few calls when the upstream gets warm.
const coldTimeWeight = 0.3

// coldTimes holds the moving average of the service time of an upstream that is not warm.
type coldTimes struct {
	mu      sync.Mutex
	average time.Duration
}

// record adds a completed call that began in the given state. A call on a warm upstream
// resets the average: the average ends close to the warm service times, and a later cold
// transition starts over.
func (c *coldTimes) record(state limits.State, service time.Duration) {
	if state == limits.StateWarm {
		c.reset()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.average == 0 {
		c.average = service
	}
	c.average += time.Duration(coldTimeWeight * float64(service-c.average))
}

func (c *coldTimes) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.average = 0
}

// mean returns the average service time, or 0 when it is not known or the upstream is
// warm.
func (c *coldTimes) mean(state limits.State) time.Duration {
	if state == limits.StateWarm {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.average
}
