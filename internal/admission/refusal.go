package admission

import (
	"fmt"
	"time"
)

// Reason says why a request was refused; it is a metric tag and a log field.
type Reason string

// Reasons of refusals.
const (
	// ReasonQueueFull means that the queue holds no request of a lower rank.
	ReasonQueueFull Reason = "queueFull"
	// ReasonDeadline means that the request can no longer end in time.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonNoSlot means that no slot is free and the request need not wait here.
	ReasonNoSlot Reason = "noSlot"
	// ReasonClosed means that the queue takes no more requests.
	ReasonClosed Reason = "closed"
)

// Refusal is the error of a request that got no slot. Its work was not started.
//
//nolint:errname // A refusal is an answer of the queue; callers get it as a *Refusal.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a new try may succeed; 0 when there is no point in one.
	RetryAfter time.Duration
}

// Error gives the reason and the hint.
func (r *Refusal) Error() string {
	if r.RetryAfter > 0 {
		return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
	}
	return "refused: " + string(r.Reason)
}
