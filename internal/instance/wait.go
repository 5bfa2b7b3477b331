package instance

import (
	"context"
	"time"
)

// waitPoll is how often WaitUntil looks at its condition.
const waitPoll = 10 * time.Millisecond

// Pause waits for the time and reports whether it passed before ctx ended.
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

// WaitUntil returns once the condition holds, or with the error of ctx.
func WaitUntil(ctx context.Context, holds func() bool) error {
	for !holds() {
		if err := ctx.Err(); err != nil {
			return err
		}
		Pause(ctx, waitPoll)
	}
	return nil
}
