package booking

import (
	"sync/atomic"
	"time"
)

// clock returns wall-clock time that never goes backwards, so that what has
// expired stays expired.
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
