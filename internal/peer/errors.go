package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// NotSentError reports that the other process did not receive the call.
type NotSentError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %s was not sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoReplyError reports that the call was sent, or may have been, and that no reply was
// received.
type NoReplyError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *NoReplyError) Error() string {
	return fmt.Sprintf("no reply from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.Cause }

// RefusedError is the response of a process that rejected the handshake or a stream.
type RefusedError struct {
	Status  int
	Message string
}

// Error returns the HTTP status and the message of the response.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Message)
}

// IsNotSent reports whether it is certain that the other process did not receive the call.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

var errMessageTooLarge = errors.Errorf("message is larger than %d bytes", MaxMessageBytes)
