package entry

import (
	"context"
	"time"
)

// drainPoll is how often Drain looks for requests in progress.
const drainPoll = 10 * time.Millisecond

// Drain waits until no request is in progress or ctx ends.
func (e *Entry) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for e.InFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
