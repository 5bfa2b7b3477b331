package booking

import (
	"context"
	"time"
)

// flushInterval is the time between two looks at the changes that wait.
const flushInterval = 20 * time.Millisecond

// Flush waits until no change waits for the store, or ctx ends with IsUnresolved. A
// graceful shutdown calls it after the last request and before it ends Run: what is
// then not in the store is unknown to retries for ever.
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
