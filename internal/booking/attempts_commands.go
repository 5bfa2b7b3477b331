package booking

import "bergamotrudder.example/bergamotrudder/pkg/fleet"

// AttemptState is the answer to Begin.
type AttemptState int

const (
	// AttemptRun lets the caller run the attempt; it calls Finish afterwards.
	AttemptRun AttemptState = iota + 1
	// AttemptDuplicate says that the attempt began before; Resolve tells its state.
	AttemptDuplicate
	// AttemptRevoked says that the attempt was resolved before it began: notStarted.
	AttemptRevoked
	// AttemptExpired says that the deadline is over: notStarted.
	AttemptExpired
	// AttemptInvalid says that the id is malformed or its deadline is too far ahead: notStarted.
	AttemptInvalid
	// AttemptsFull says that the memory is full: notStarted.
	AttemptsFull
)

// Begin decides whether the attempt may run. The caller contacts its upstream only
// after AttemptRun.
func (a *Attempts) Begin(id string) AttemptState {
	deadline, err := parseAttemptID(id)
	if err != nil {
		return AttemptInvalid
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.sweep(now.Unix())
	if t, ok := a.attempts[id]; ok {
		if t.isFinal() {
			return AttemptRevoked
		}
		return AttemptDuplicate
	}
	switch {
	case expiry(deadline) <= now.Unix():
		return AttemptExpired
	case deadline.Sub(now) > MaxDeadlineAhead:
		return AttemptInvalid
	case len(a.attempts) >= a.maxAttempts:
		return AttemptsFull
	}
	a.add(id, expiry(deadline), &attempt{})
	return AttemptRun
}

func (a *Attempts) add(id string, expiry int64, t *attempt) {
	a.attempts[id] = t
	a.byExpiry[expiry] = append(a.byExpiry[expiry], id)
}

// Finish records the outcome of an attempt that Begin let run. A later Finish of the
// same attempt changes nothing. With execution NotStarted the attempt never begins again.
func (a *Attempts) Finish(id string, outcome Outcome) {
	outcome = outcome.bounded(a.maxBytes)
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.attempts[id]
	if !ok || t.finished {
		return
	}
	t.finished, t.outcome = true, outcome
	if len(outcome.Answer) == 0 {
		return
	}
	t.answer = a.answers.PushBack(t)
	a.bytes += len(outcome.Answer)
	for a.bytes > a.maxBytes {
		oldest, _ := a.answers.Front().Value.(*attempt)
		a.dropAnswer(oldest)
	}
}

// Resolution is what became of an attempt.
type Resolution struct {
	// Running is set while the attempt runs; Outcome.Execution is then Unknown.
	Running bool
	Outcome Outcome
}

// Resolve returns what became of the attempt that was sent to the incarnation. An
// attempt that was never seen is revoked: it never begins, and the answer is
// NotStarted. The answer is Unknown for another incarnation, for a malformed id, and
// when the attempt may have been forgotten or can't be remembered as revoked.
func (a *Attempts) Resolve(id, incarnation string) Resolution {
	unknown := Resolution{Outcome: Outcome{Execution: fleet.Unknown}}
	deadline, err := parseAttemptID(id)
	if err != nil || incarnation != a.incarnation {
		return unknown
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.sweep(now.Unix())
	if t, ok := a.attempts[id]; ok {
		if !t.finished {
			return Resolution{Running: true, Outcome: Outcome{Execution: fleet.Unknown}}
		}
		return Resolution{Outcome: t.outcome}
	}
	if expiry(deadline) <= now.Unix() || deadline.Sub(now) > MaxDeadlineAhead || len(a.attempts) >= a.maxAttempts {
		return unknown
	}
	revoked := Outcome{Execution: fleet.NotStarted}
	a.add(id, expiry(deadline), &attempt{finished: true, outcome: revoked})
	return Resolution{Outcome: revoked}
}

// AttemptsState counts the attempts for a dump.
type AttemptsState struct {
	Remembered int `json:"remembered"`
	Bytes      int `json:"bytes"`
}

// State returns the counts.
func (a *Attempts) State() AttemptsState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return AttemptsState{Remembered: len(a.attempts), Bytes: a.bytes}
}
