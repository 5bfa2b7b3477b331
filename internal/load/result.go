package load

import (
	"encoding/json"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Outcome is the result category of a request.
type Outcome string

// Outcomes of requests.
const (
	// Completed requests received their complete response, possibly after the deadline.
	Completed Outcome = "completed"
	// NotStarted requests certainly did not run.
	NotStarted Outcome = "notStarted"
	// Unknown requests may have run.
	Unknown Outcome = "unknown"
	// WrongAnswer requests received a response to another request or an incomplete one.
	WrongAnswer Outcome = "wrongAnswer"
	// CompletedNoAnswer requests ran, and their response is no longer stored.
	CompletedNoAnswer Outcome = "completedNoAnswer"
)

// Result is one request with its outcome.
type Result struct {
	ID           string
	Pipeline     string
	Organisation string
	Priority     fleet.Priority
	Input        json.RawMessage
	// Key is the Idempotency-Key that was sent, or empty.
	Key string
	// Due is the scheduled send time.
	Due     time.Time
	Outcome Outcome
	// Reason explains every outcome except Completed.
	Reason string
	// Status is the HTTP status of the last response, or 0.
	Status   int
	Response Response
	// Latency is the time from Due to the complete response or the failure.
	Latency time.Duration
	// FirstToken is the time from Due to the first token of a stream, or 0.
	FirstToken time.Duration
	// WithinDeadline is set for completed requests whose latency is within the deadline.
	WithinDeadline bool
	// Attempts is the number of times that the request was sent.
	Attempts int
	// unresolvedAttempts is the number of failed attempts that ran or may have run. The
	// Idempotency-Attempt of the next attempt is 1 more.
	unresolvedAttempts int
}

func outcomeOf(e fleet.Execution) Outcome {
	switch e {
	case fleet.NotStarted:
		return NotStarted
	case fleet.Completed:
		return CompletedNoAnswer
	default:
		return Unknown
	}
}
