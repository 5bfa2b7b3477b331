package booking

import "bergamotrudder.example/bergamotrudder/pkg/fleet"

// AttemptState is the result of Begin.
type AttemptState int

const (
	// AttemptRun allows the caller to run the attempt and to call Finish afterwards.
	AttemptRun AttemptState = iota + 1
	// AttemptDuplicate means that the attempt has begun before; Resolve returns its state.
	AttemptDuplicate
	// AttemptRevoked means that the attempt was resolved before it began: notStarted.
	AttemptRevoked
	// AttemptExpired means that the deadline has passed: notStarted.
	AttemptExpired
	// AttemptInvalid means that the id is malformed or its deadline is too far in the
	// future: notStarted.
	AttemptInvalid
	// AttemptsFull means that the limit on remembered attempts is reached: notStarted.
	AttemptsFull
)

// Begin decides whether the attempt may run. The caller contacts its upstream only after
// AttemptRun.
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
		if t.isRevoked() {
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

// Finish records the outcome of an attempt for which Begin returned AttemptRun. Further
// calls for the same attempt have no effect. After the execution NotStarted the attempt
// never begins again.
func (a *Attempts) Finish(id string, outcome Outcome) {
	outcome = outcome.withBoundedAnswer(a.maxBytes)
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

// Resolution is the state or outcome of an attempt.
type Resolution struct {
	// Running is set while the attempt runs; Outcome.Execution is then Unknown.
	Running bool
	Outcome Outcome
}

// Resolve returns the outcome of an attempt that was sent to the given incarnation. An
// attempt that has not been seen is revoked: it never begins, and the outcome is
// NotStarted. The outcome is Unknown for another incarnation, for a malformed id, and when
// the attempt may have been removed or the revocation can't be recorded.
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

// AttemptsState holds the counts of attempts for a dump.
type AttemptsState struct {
	Remembered int `json:"remembered"`
	Bytes      int `json:"bytes"`
}

// State returns the current counts.
func (a *Attempts) State() AttemptsState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return AttemptsState{Remembered: len(a.attempts), Bytes: a.bytes}
}
