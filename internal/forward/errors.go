package forward

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// State reports whether a request whose exchange failed may have run.
type State int

// States of a failed exchange.
const (
	// NotSent requests never left this process.
	NotSent State = iota
	// NotExecuted requests have not run and never will, as the upstream reported.
	NotExecuted
	// Unknown requests were sent, wholly or in part, and may have run.
	Unknown
)

var stateNames = [...]string{"notSent", "notExecuted", "unknown"}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// Error is a failed exchange.
type Error struct {
	State State
	// Misdirected is set if another upstream responded at the address.
	Misdirected bool
	// InputMissing is set if the upstream reported that an input of the request no longer
	// exists.
	InputMissing bool
	// Busy is set if all connections that may be open to the upstream are in use.
	Busy bool
	// Closed is set if Request.Admit turned the request back.
	Closed bool
	// RetryAfter is the Retry-After time of the upstream, or 0.
	RetryAfter time.Duration
	Cause      error
}

// Error returns a text with the state and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange with the upstream, %s: %v", e.State, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Bounds of a response, by which a BoundError names the one that was exceeded.
const (
	boundHead    = "headBytes"
	boundInterim = "interimResponses"
)

// BoundError is the cause of an exchange that ended because the upstream exceeded a bound of
// its response.
type BoundError struct {
	// Bound is the name of the bound, and Limit its value in the unit of the name.
	Bound string
	Limit int
}

// Error returns a text with the bound.
func (e *BoundError) Error() string {
	return fmt.Sprintf("the response exceeds the bound %s of %d", e.Bound, e.Limit)
}

// Errors of a body that ended by its framing and is incomplete.
var (
	errInsideEvent = errors.New("the stream ended inside an event")
	errBroken      = errors.New("the connection broke while the request was written")
	errNoEvents    = errors.New("the connection was closed before the first event")
)
