package booking

import (
	"sync/atomic"
	"time"
)

// clock is the runtime's clock without steps back: what has expired once must stay
// expired.
type clock struct {
	latest atomic.Int64
}

func (c *clock) now() time.Time {
	for {
		latest := c.latest.Load()
		n := time.Now().UnixNano()
		if n <= latest {
			return time.Unix(0, latest)
		}
		if c.latest.CompareAndSwap(latest, n) {
			return time.Unix(0, n)
		}
	}
}
