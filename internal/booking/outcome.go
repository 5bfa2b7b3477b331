package booking

import (
	"encoding/json"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Outcome is the end of a request that consumed a claim, a ticket or an attempt.
type Outcome struct {
	Execution fleet.Execution `json:"x"`
	// Reason says why there is no answer; it is empty after success.
	Reason string `json:"r,omitempty"`
	// Answer is a JSON value of at most MaxAnswerBytes.
	Answer json.RawMessage `json:"a,omitempty"`
	// Dropped is set when the request was answered but the answer is no longer held.
	Dropped bool `json:"d,omitempty"`
}

// bounded returns the outcome with its answer in the encoding in which it is stored,
// or without an answer that is too long or isn't JSON.
func (o Outcome) bounded(limit int) Outcome {
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

// bare returns only what is needed to never run the request again.
func (o Outcome) bare() Outcome {
	return Outcome{Execution: o.Execution, Dropped: o.Dropped || o.Reason != "" || len(o.Answer) > 0}
}
