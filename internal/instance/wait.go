package instance

import (
	"context"
	"time"
)

// waitPollInterval is the interval at which WaitUntil checks its condition.
const waitPollInterval = 10 * time.Millisecond

// Pause sleeps for d or until ctx ends, and reports whether the full time passed.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WaitUntil waits until the condition is true, or returns the error of ctx.
func WaitUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := ctx.Err(); err != nil {
			return err
		}
		Pause(ctx, waitPollInterval)
	}
	return nil
}
