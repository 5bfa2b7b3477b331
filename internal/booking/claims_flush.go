package booking

import (
	"context"
	"time"
)

// flushInterval is the polling interval of Flush.
const flushInterval = 20 * time.Millisecond

// Flush waits until no change waits for the store; it returns IsUnresolved when ctx ends
// first. A graceful shutdown calls it after the last request and before it ends Run.
// Outcomes that are not in the store by then stay unknown to all retries.
func (c *Claims) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for c.State().Unwritten > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &UnresolvedError{Cause: ctx.Err()}
		}
	}
	return nil
}
