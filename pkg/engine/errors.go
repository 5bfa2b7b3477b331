package engine

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// NotSentError means that no byte of the call was sent.
type NotSentError struct {
	Cause error
}

// Error returns the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call was not sent to the upstream: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RejectedError means that the upstream certainly did not run the call.
type RejectedError struct {
	// Status is the HTTP status.
	Status  int
	Message string
	// RetryAfter is the time in the response's Retry-After header, or 0.
	RetryAfter time.Duration
}

// Error returns the status and the upstream's message.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("upstream rejected the call with status %d: %s", e.Status, e.Message)
}

// IsRetryableElsewhere reports whether another upstream may accept the same call, which
// is the case for status 429 and for every 5xx status.
func (e *RejectedError) IsRetryableElsewhere() bool {
	return e.Status == http.StatusTooManyRequests || e.Status >= http.StatusInternalServerError
}

// UnknownError means that the upstream may have run the call.
type UnknownError struct {
	// Status is the HTTP status, or 0 if no complete response header was received.
	Status  int
	Message string
	Cause   error
}

// Error returns the status, the message and the cause, as far as they are known.
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

// TruncatedError is the cause of an UnknownError whose response is incomplete.
type TruncatedError struct {
	// Reason describes what is missing.
	Reason string
	// ConnectionLost is set if the connection of a stream ended before the engine
	// reported the end of the response or an error.
	ConnectionLost bool
}

// Error returns the reason.
func (e *TruncatedError) Error() string { return "response was truncated: " + e.Reason }

// InvalidReplyError is the cause of an UnknownError whose response violates the protocol.
type InvalidReplyError struct {
	Reason string
}

// Error returns the reason.
func (e *InvalidReplyError) Error() string { return "response is invalid: " + e.Reason }

// SinkError is the cause of an UnknownError whose stream was stopped by an error of the sink.
type SinkError struct {
	Cause error
}

// Error returns the cause.
func (e *SinkError) Error() string { return "stream was stopped by its sink: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }

// StaleFencingError means that the engine rejected an order because it had seen a higher
// fencing token. The order did not take effect.
type StaleFencingError struct {
	// Sent is the fencing token of the order.
	Sent uint64
	// Highest is the highest token that the engine has seen, or 0 if it doesn't report it.
	Highest uint64
}

// Error returns both tokens.
func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("order with fencing token %d was rejected, the engine has seen %d", e.Sent, e.Highest)
}

// ErrReplyTooLarge is the cause of an UnknownError whose response exceeds MaxReplyBytes or MaxEventBytes.
var ErrReplyTooLarge = errors.New("response is too large")

// ExecutionOf returns the execution of a call from the error of Run or Stream: Completed
// for nil, NotStarted if the upstream certainly did not run the call, and Unknown for
// every other error.
func ExecutionOf(err error) fleet.Execution {
	if err == nil {
		return fleet.Completed
	}
	var notSent *NotSentError
	var rejected *RejectedError
	var stale *StaleFencingError
	if errors.As(err, &notSent) || errors.As(err, &rejected) || errors.As(err, &stale) {
		return fleet.NotStarted
	}
	return fleet.Unknown
}

// IsCancelled reports whether the call failed because its context ended.
func IsCancelled(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
