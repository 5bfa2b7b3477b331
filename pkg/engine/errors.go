package engine

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// NotContactedError says that no byte of the call was sent.
type NotContactedError struct {
	Cause error
}

// Error gives the cause.
func (e *NotContactedError) Error() string {
	return fmt.Sprintf("upstream was not contacted: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotContactedError) Unwrap() error { return e.Cause }

// RejectedError says that the upstream certainly did not run the call.
type RejectedError struct {
	// Status is the HTTP status.
	Status  int
	Message string
	// RetryAfter is the wait that the upstream asked for, or 0.
	RetryAfter time.Duration
}

// Error gives the status and the upstream's message.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("upstream rejected the call with status %d: %s", e.Status, e.Message)
}

// IsOverload reports whether another upstream may accept the same call.
func (e *RejectedError) IsOverload() bool {
	return e.Status == http.StatusTooManyRequests || e.Status >= http.StatusInternalServerError
}

// UnknownError says that the upstream may have run the call.
type UnknownError struct {
	// Status is the HTTP status, or 0 when no whole reply header came.
	Status  int
	Message string
	Cause   error
}

// Error gives the status, the message and the cause, as far as they are known.
func (e *UnknownError) Error() string {
	text := "upstream may have run the call"
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Message != "" {
		text += ": " + e.Message
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// TruncatedError is the cause of an UnknownError whose reply began and was cut.
type TruncatedError struct {
	// Reason says what is missing.
	Reason string
	// ConnectionLost is set when the connection of a stream ended before the engine
	// had said anything of the end of the answer.
	ConnectionLost bool
}

// Error gives the reason.
func (e *TruncatedError) Error() string { return "reply was cut: " + e.Reason }

// InvalidReplyError is the cause of an UnknownError whose reply breaks the protocol.
type InvalidReplyError struct {
	Reason string
}

// Error gives the reason.
func (e *InvalidReplyError) Error() string { return "reply is invalid: " + e.Reason }

// SinkError is the cause of an UnknownError whose stream was stopped by the sink.
type SinkError struct {
	Cause error
}

// Error gives the cause.
func (e *SinkError) Error() string { return "stream was stopped by its reader: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }

// StaleFencingError says that the engine refused an order because it had seen a
// higher fencing number. The order did not take effect.
type StaleFencingError struct {
	// Sent is the number of the order.
	Sent uint64
	// Highest is the number that the engine holds, or 0 when it doesn't say.
	Highest uint64
}

// Error gives both numbers.
func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("order with fencing number %d was refused, the engine holds %d", e.Sent, e.Highest)
}

// ErrReplyTooLarge is the cause of an UnknownError whose reply exceeds MaxReplyBytes or MaxEventBytes.
var ErrReplyTooLarge = errors.New("reply is too large")

// ExecutionOf returns what the error of Run or Stream says about the call:
// Completed for nil, NotStarted when the upstream certainly did not run it, and
// Unknown for every other error.
func ExecutionOf(err error) fleet.Execution {
	if err == nil {
		return fleet.Completed
	}
	var notContacted *NotContactedError
	var rejected *RejectedError
	var stale *StaleFencingError
	if errors.As(err, &notContacted) || errors.As(err, &rejected) || errors.As(err, &stale) {
		return fleet.NotStarted
	}
	return fleet.Unknown
}

// IsCancelled reports whether the call failed because its context ended.
func IsCancelled(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
