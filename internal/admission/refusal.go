package admission

import (
	"fmt"
	"time"
)

// Reason is why a request was refused; it is a metric tag and a log field.
type Reason string

// Reasons of refusals.
const (
	// ReasonQueueFull means that the queue is full and has no request to evict for this one.
	ReasonQueueFull Reason = "queueFull"
	// ReasonDeadline means that the request can no longer meet its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller cancelled the request.
	ReasonCancelled Reason = "cancelled"
	// ReasonNoSlot means that no slot is free and the request doesn't have to wait, because
	// it is immediate or can run on another upstream.
	ReasonNoSlot Reason = "noSlot"
	// ReasonClosed means that the queue accepts no more requests.
	ReasonClosed Reason = "closed"
)

// Refusal is the error of a request that was not granted a slot and was not started.
//
//nolint:errname // A refusal is a result of the queue; callers get it as a *Refusal.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed, or 0 if a retry is pointless.
	RetryAfter time.Duration
}

// Error returns the reason and the retry-after hint.
func (r *Refusal) Error() string {
	if r.RetryAfter > 0 {
		return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
	}
	return "refused: " + string(r.Reason)
}
