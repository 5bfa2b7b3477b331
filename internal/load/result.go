package load

import (
	"encoding/json"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Outcome is what became of a request.
type Outcome string

// Outcomes of requests.
const (
	// Completed requests got their whole answer, perhaps after the deadline.
	Completed Outcome = "completed"
	// NotStarted requests certainly did not run.
	NotStarted Outcome = "notStarted"
	// Unknown requests may have run.
	Unknown Outcome = "unknown"
	// WrongAnswer requests got an answer that is not theirs or not whole.
	WrongAnswer Outcome = "wrongAnswer"
	// CompletedNoAnswer requests ran, and the answer is no longer held.
	CompletedNoAnswer Outcome = "completedNoAnswer"
)

// Result is one request and what became of it.
type Result struct {
	ID           string
	Pipeline     string
	Organisation string
	Priority     fleet.Priority
	Input        json.RawMessage
	// Key is the Idempotency-Key that was sent, or empty.
	Key string
	// Due is the time at which the request was meant to be sent.
	Due     time.Time
	Outcome Outcome
	// Reason explains every outcome but Completed.
	Reason string
	// Status is the HTTP status of the last answer, or 0.
	Status   int
	Response Response
	// Latency is the time from Due to the whole answer or the failure.
	Latency time.Duration
	// FirstToken is the time from Due to the first token of a stream, or 0.
	FirstToken time.Duration
	// WithinDeadline is set for completed requests whose latency is within the deadline.
	WithinDeadline bool
	// Attempts is the number of times that the request was sent.
	Attempts int
	// unsettled is the number of attempts that were not answered with notStarted.
	unsettled int
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
