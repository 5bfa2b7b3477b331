package platform

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Reason is the machine-readable reason of a Kubernetes Status.
type Reason string

// Reasons that the client tells apart.
const (
	ReasonConflict      Reason = "Conflict"
	ReasonAlreadyExists Reason = "AlreadyExists"
	ReasonNotFound      Reason = "NotFound"
	ReasonGone          Reason = "Gone"
	ReasonExpired       Reason = "Expired"
)

// StatusError is the platform's refusal of a call. The call had no effect.
type StatusError struct {
	// Code is the HTTP status.
	Code    int
	Reason  Reason
	Message string
}

// Error gives status, reason and message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("object API answered %d %s: %s", e.Code, e.Reason, e.Message)
}

// isBusy reports whether the platform refused the call for its load or its state, which
// says nothing on what was asked.
func (e *StatusError) isBusy() bool {
	return e.Code == http.StatusTooManyRequests || e.Code >= http.StatusInternalServerError
}

// NotSentError says that the platform certainly never saw the call.
type NotSentError struct {
	Share Share
	Cause error
}

// Error names the share and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call of share %s was not sent to the object API: %v", e.Share, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// AmbiguousError says that the call was sent, or may have been, and brought no
// conclusive reply. A write may have taken effect, or may still do so later.
type AmbiguousError struct {
	Verb  string
	Cause error
}

// Error names the verb and the cause.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("no conclusive reply of the object API to %s: %v", e.Verb, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// IsConflict reports whether the object's resourceVersion was another one.
func IsConflict(err error) bool { return hasReason(err, ReasonConflict) }

// IsAlreadyExists reports whether an object to create exists.
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

// IsNotSent reports whether the platform certainly never saw the call: the local
// rate limit, an ended context or a failed dial stopped it.
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
