package forward

import (
	"fmt"
	"time"
)

// State is what is known of a request that brought no answer to pass on.
type State int

// States of a failed exchange.
const (
	// NotSent requests never left this process.
	NotSent State = iota
	// NotExecuted requests have not run and never will, by the upstream's own word.
	NotExecuted
	// Unknown requests were sent, wholly or in part, and may have run.
	Unknown
)

var stateNames = [...]string{"notSent", "notExecuted", "unknown"}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// Error says how an exchange failed.
type Error struct {
	State State
	// Misdirected says that another upstream answered at the address.
	Misdirected bool
	// Busy says that all connections that may be open to the upstream are in use.
	Busy bool
	// RetryAfter is when the upstream wants to be asked again, or 0.
	RetryAfter time.Duration
	Cause      error
}

// Error names the state and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange with the upstream, %s: %v", e.State, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
