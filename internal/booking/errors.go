package booking

import (
	"fmt"

	"github.com/pkg/errors"
)

// NotSentError says that the claim certainly was not and will not be written.
type NotSentError struct{ Cause error }

// Error gives the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("claim was not written: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnresolvedError says that the time ran out while a write was unresolved. A claim
// is then abandoned and will be released; a record or release goes on.
type UnresolvedError struct{ Cause error }

// Error gives the cause.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("write of the claim is unresolved: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

var (
	errDigestLength   = errors.New("a claim has a key digest of the wrong length")
	errKeyExpired     = errors.New("the key is older than the retention of claims")
	errNotHeld        = errors.New("this entry holds no such claim")
	errFull           = errors.New("the claim objects of the key are full")
	errBusy           = errors.New("this entry holds too many claims")
	errTooLate        = errors.New("the claim waited longer than any deadline")
	errClosed         = errors.New("this entry takes no claims any more")
	errInvalidTicket  = errors.New("the ticket is invalid")
	errInvalidAttempt = errors.New("the attempt id is invalid")
)

// IsKeyExpired reports whether a key was refused because its claim may have been
// removed. Whether the request ran is unknown.
func IsKeyExpired(err error) bool { return errors.Is(err, errKeyExpired) }

// IsNotOwner reports whether the entry holds no claim for the key.
func IsNotOwner(err error) bool { return errors.Is(err, errNotHeld) }

// IsFull reports whether a new key was refused because its claim object is full.
func IsFull(err error) bool { return errors.Is(err, errFull) }

// IsNotSent reports whether the claim certainly was not and will not be written.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// IsUnresolved reports whether the time ran out while a write was unresolved.
func IsUnresolved(err error) bool {
	var e *UnresolvedError
	return errors.As(err, &e)
}

// IsInvalidTicket reports whether a ticket was not issued by the system.
func IsInvalidTicket(err error) bool { return errors.Is(err, errInvalidTicket) }
