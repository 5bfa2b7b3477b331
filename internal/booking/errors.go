package booking

import (
	"fmt"

	"github.com/pkg/errors"
)

// NotSentError reports that the claim definitely was not and will not be written.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("claim was not written: %v", e.Cause) }

func (e *NotSentError) Unwrap() error { return e.Cause }

// UnresolvedError reports that ctx ended before the result of a write was known. A claim
// is then abandoned and will be released; a Record or Release continues in the background.
type UnresolvedError struct{ Cause error }

func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("result of writing the claim is unknown: %v", e.Cause)
}

func (e *UnresolvedError) Unwrap() error { return e.Cause }

var (
	errDigestLength   = errors.New("key digest of a claim does not have 16 bytes")
	errKeyExpired     = errors.New("key is older than the retention of claims")
	errNotOwner       = errors.New("this entry does not own the claim")
	errObjectsFull    = errors.New("claim objects of the key are full")
	errTooManyClaims  = errors.New("this entry has reached its limit of claims")
	errClaimTooOld    = errors.New("claim waited longer than MaxClaimWait")
	errClosed         = errors.New("this entry accepts no more claims")
	errInvalidTicket  = errors.New("ticket is invalid")
	errInvalidAttempt = errors.New("attempt id is invalid")
)

// IsKeyExpired reports whether a key was refused because its claim may already have been
// removed. Whether the request ran is unknown.
func IsKeyExpired(err error) bool { return errors.Is(err, errKeyExpired) }

// IsNotOwner reports whether the entry does not own a claim of the key.
func IsNotOwner(err error) bool { return errors.Is(err, errNotOwner) }

// IsFull reports whether a new key was refused because its claim object is full.
func IsFull(err error) bool { return errors.Is(err, errObjectsFull) }

// IsNotSent reports whether the claim definitely was not and will not be written.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// IsUnresolved reports whether ctx ended before the result of a write was known.
func IsUnresolved(err error) bool {
	var e *UnresolvedError
	return errors.As(err, &e)
}

// IsInvalidTicket reports whether a ticket was not issued by this system.
func IsInvalidTicket(err error) bool { return errors.Is(err, errInvalidTicket) }
