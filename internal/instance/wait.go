package instance

import (
	"context"
	"time"
)

// waitPoll is how often WaitUntil looks at its condition.
const waitPoll = 10 * time.Millisecond

// Pause returns after the time, or when ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
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
