package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// NotSentError reports that the call was certainly not run: it was not sent, or the other
// process refused the handshake or the stream.
type NotSentError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %s was not run: %v", e.Address, e.Cause)
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

// IsNotSent reports whether err contains a NotSentError, so that the call was certainly
// not run.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

var errMessageTooLarge = errors.Errorf("message is larger than %d bytes", MaxMessageBytes)
