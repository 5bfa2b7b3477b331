package upstream

import (
	"sync"
	"time"
)

// RecordState is the state of an execution.
type RecordState string

const (
	// RecordRunning executions have started and not ended.
	RecordRunning RecordState = "running"
	// RecordDone executions took effect.
	RecordDone RecordState = "done"
	// RecordAborted executions ended without effect.
	RecordAborted RecordState = "aborted"
)

// Record describes one execution, as observed by the stand-in.
type Record struct {
	// Sequence numbers the executions of one stand-in from 0.
	Sequence int `json:"sequence"`
	// Attempt is the attempt id from the request header.
	Attempt string `json:"attempt"`
	// Identity is the identity of the stand-in when the execution started.
	Identity string `json:"identity"`
	Path     string `json:"path"`
	// Input is the input, truncated to MaxRecordedInput bytes.
	Input string `json:"input"`
	// Digest is the Digest of the complete input.
	Digest   string      `json:"digest"`
	Priority string      `json:"priority,omitempty"`
	Stream   bool        `json:"stream,omitempty"`
	Tokens   int         `json:"tokens,omitempty"`
	State    RecordState `json:"state"`
	// StartedAt and EndedAt are read from the clock of the stand-in.
	StartedAt time.Time `json:"startedAt"`
	EndedAt   time.Time `json:"endedAt,omitzero"`
}

type recorder struct {
	mu      sync.Mutex
	records []Record
	limit   int
	dropped int
}

// begin records the start of an execution and returns the function that ends it.
func (r *recorder) begin(rec Record) func(RecordState, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) >= r.limit {
		r.dropped++
		return func(RecordState, int) {}
	}
	if len(rec.Input) > MaxRecordedInput {
		rec.Input = rec.Input[:MaxRecordedInput]
	}
	rec.Sequence = len(r.records)
	rec.State = RecordRunning
	rec.StartedAt = time.Now()
	r.records = append(r.records, rec)
	return func(state RecordState, tokens int) { r.end(rec.Sequence, rec.Attempt, state, tokens) }
}

func (r *recorder) end(i int, attempt string, state RecordState, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i >= len(r.records) || r.records[i].Attempt != attempt {
		return
	}
	r.records[i].State = state
	r.records[i].Tokens = tokens
	r.records[i].EndedAt = time.Now()
}

func (r *recorder) all() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.records...)
}

func (r *recorder) counts() (kept, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records), r.dropped
}

func (r *recorder) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records, r.dropped = nil, 0
}
