package booking

import (
	"encoding/json"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Outcome is the result of a request that consumed a claim, a ticket or an attempt.
type Outcome struct {
	Execution fleet.Execution `json:"x"`
	// Reason states why there is no answer; it is empty after success.
	Reason string `json:"r,omitempty"`
	// Answer is a JSON value, bounded by MaxAnswerBytes for claims and tickets and by
	// AttemptsConfig.MaxBytes for attempts.
	Answer json.RawMessage `json:"a,omitempty"`
	// Dropped is set when the request produced an answer that is no longer stored.
	Dropped bool `json:"d,omitempty"`
}

// withBoundedAnswer returns the outcome with its answer in the encoding in which it is
// stored, or without an answer that exceeds the limit or isn't JSON.
func (o Outcome) withBoundedAnswer(limit int) Outcome {
	if len(o.Answer) == 0 {
		return o
	}
	b, err := json.Marshal(o.Answer)
	if err != nil || len(b) > limit {
		return o.withoutAnswer()
	}
	o.Answer = b
	return o
}

func (o Outcome) withoutAnswer() Outcome {
	if len(o.Answer) > 0 {
		o.Answer, o.Dropped = nil, true
	}
	return o
}

func (o Outcome) isValid() bool {
	return o.Execution == fleet.Completed || o.Execution == fleet.Unknown || o.Execution == fleet.NotStarted
}

// executionOnly returns only what is needed to prevent the request from running again.
func (o Outcome) executionOnly() Outcome {
	return Outcome{Execution: o.Execution, Dropped: o.Dropped || o.Reason != "" || len(o.Answer) > 0}
}
