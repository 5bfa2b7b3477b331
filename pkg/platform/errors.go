package platform

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Reason is the machine-readable reason of a Kubernetes Status.
type Reason string

// Reasons that the client distinguishes.
const (
	ReasonConflict      Reason = "Conflict"
	ReasonAlreadyExists Reason = "AlreadyExists"
	ReasonNotFound      Reason = "NotFound"
	ReasonGone          Reason = "Gone"
	ReasonExpired       Reason = "Expired"
)

// StatusError is a rejection of a call by the platform. The call had no effect, unless
// the error is the cause of an AmbiguousError.
type StatusError struct {
	// Code is the HTTP status.
	Code    int
	Reason  Reason
	Message string
}

// Error returns the status, the reason and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("object API returned status %d %s: %s", e.Code, e.Reason, e.Message)
}

// isBusy reports whether the platform rejected the call because of its own load or state
// rather than the content of the call.
func (e *StatusError) isBusy() bool {
	return e.Code == http.StatusTooManyRequests || e.Code >= http.StatusInternalServerError
}

// NotSentError means that the platform certainly did not receive the call.
type NotSentError struct {
	Share Share
	Cause error
}

// Error returns the share and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call of share %s was not sent to the object API: %v", e.Share, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// AmbiguousError means that the call was sent, or may have been, without a conclusive
// reply. A write may have taken effect, or may still do so later.
type AmbiguousError struct {
	Verb  string
	Cause error
}

// Error returns the verb and the cause.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("no conclusive reply from the object API to %s: %v", e.Verb, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// EpochError means that the store returned to an earlier state: the response to the call is
// older than that, or what the call continues from is.
type EpochError struct {
	// Epoch is the epoch of the response or of the version that the call continues from.
	Epoch uint64
	// Newest is the newest epoch that a response has stated.
	Newest uint64
}

// Error returns both epochs.
func (e *EpochError) Error() string {
	return fmt.Sprintf("epoch %d of the store is over, epoch %d began", e.Epoch, e.Newest)
}

// IsEpochOver reports whether the store returned to an earlier state, so that versions and
// responses of before are void.
func IsEpochOver(err error) bool {
	var e *EpochError
	return errors.As(err, &e)
}

// malformedEventError means that a watch can't go on after an event. The list must be read
// again: a watch from the last version would begin with the same event.
type malformedEventError struct{ Cause error }

// Error returns the cause.
func (e *malformedEventError) Error() string { return "malformed watch event: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *malformedEventError) Unwrap() error { return e.Cause }

// replyTooLargeError means that a reply was cut off at the limit of its call.
type replyTooLargeError struct{ limitBytes int64 }

// Error returns the limit.
func (e *replyTooLargeError) Error() string {
	return fmt.Sprintf("reply exceeds %d bytes", e.limitBytes)
}

// replyTooSlowError means that a reply began and did not arrive to its end in time.
type replyTooSlowError struct{ readBytes int64 }

// Error returns how much had arrived.
func (e *replyTooSlowError) Error() string {
	return fmt.Sprintf("reply did not arrive to its end in time, after %d bytes", e.readBytes)
}

// isReplyUnreadable reports whether a reply was too large or took too long to be read. A repeated
// call would get the same one.
func isReplyUnreadable(err error) bool {
	var tooLarge *replyTooLargeError
	var tooSlow *replyTooSlowError
	return errors.As(err, &tooLarge) || errors.As(err, &tooSlow)
}

// IsConflict reports whether the object's resourceVersion differed from the expected one.
func IsConflict(err error) bool { return hasReason(err, ReasonConflict) }

// IsAlreadyExists reports whether an object that was to be created already exists.
func IsAlreadyExists(err error) bool { return hasReason(err, ReasonAlreadyExists) }

// IsNotFound reports whether the object doesn't exist.
func IsNotFound(err error) bool {
	var e *StatusError
	return errors.As(err, &e) && e.Code == http.StatusNotFound
}

// IsGone reports whether a watch must list again, because its resourceVersion is
// no longer in the platform's event history.
func IsGone(err error) bool {
	var e *StatusError
	return errors.As(err, &e) && e.Code == http.StatusGone
}

// IsNotSent reports whether the platform certainly did not receive the call, because of
// the local rate limit, an ended context, a failed dial or an invalid request.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// IsAmbiguous reports whether the call may have taken effect, now or later.
func IsAmbiguous(err error) bool {
	var e *AmbiguousError
	return errors.As(err, &e)
}

func hasReason(err error, reason Reason) bool {
	var e *StatusError
	return errors.As(err, &e) && e.Reason == reason
}
