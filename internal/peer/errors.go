package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// NotSentError says that the other process never saw the call.
type NotSentError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %s was not sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoReplyError says that the call was sent, or may have been, and no reply came.
type NoReplyError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *NoReplyError) Error() string {
	return fmt.Sprintf("no reply from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.Cause }

// RefusedError is the answer of a process that refused the handshake.
type RefusedError struct {
	Status  int
	Message string
}

// Error gives the HTTP status and the message of the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Message)
}

// IsNotSent reports whether the other process certainly never saw the call.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

var errMessageTooLarge = errors.Errorf("message is larger than %d bytes", MaxMessageBytes)
