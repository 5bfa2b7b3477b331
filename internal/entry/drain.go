package entry

import (
	"context"

	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// Drain waits until no request is in progress or ctx ends.
func (e *Entry) Drain(ctx context.Context) error {
	return instance.WaitUntil(ctx, func() bool { return e.InFlight() == 0 })
}
